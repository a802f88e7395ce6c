package server

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"bambooferry.example/bambooferry/internal/platform"
	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/slot"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// RosterStore is the part of the platform's API that the roster needs.
type RosterStore interface {
	Get(ctx context.Context, key string) (platform.Value, error)
	CompareAndSwap(ctx context.Context, key string, old int64, data []byte) (int64, error)
	ListInstances(ctx context.Context) ([]platform.ListedInstance, error)
}

// Slots performs the I/O for a slot.Holder: it exchanges the holder's messages with other instances
// and maintains the roster. Set the exported fields before Run. The lock guards the holder and the
// unexported fields.
type Slots struct {
	Self    slot.Key
	Address netip.AddrPort
	Store   RosterStore
	Peers   Peers
	Board   *blackboard.Board
	Events  *timeline.Writer
	Metrics *metrics.Set
	Log     zerolog.Logger
	Times   SlotTimes

	mu            sync.Mutex
	holder        *slot.Holder
	unansweredAt  map[slot.Key]time.Time
	busy          map[slot.Key]bool
	counts        map[string]slot.Usage
	lastHeartbeat time.Time
	rosterChanged chan struct{}
	// storeAnsweredAt is when the service last answered a read of the roster, or the start time.
	storeAnsweredAt time.Time
	// limitsKnown is set once the limits of a catalogue are in force.
	limitsKnown bool
	leaving     bool
	keeper      rosterKeeper
}

// SlotTimes holds the intervals and timeouts of the slot and roster protocol.
type SlotTimes struct {
	// TickInterval is the pause between checks for due asks and audits, PingInterval that between
	// pings to other members.
	TickInterval, PingInterval time.Duration
	// BorrowTimeout bounds one attempt to borrow a slot, CallTimeout any other call.
	BorrowTimeout, CallTimeout time.Duration
	// Linger is how long a target may still run work of an ended instance.
	Linger time.Duration
	// UnlistedAfter is how long the platform's list must lack an instance to prove that it has
	// ended. It must be longer than the isolation time and the list's lag.
	UnlistedAfter time.Duration
	// KeeperTimeout is the age of the keeper's last heartbeat at which the next member takes over.
	KeeperTimeout time.Duration
	// JoinTimeout is how long a new instance only tries to reach the service before it starts to
	// work on borrowed slots. It bounds the borrowing that an ordinary start could cause.
	JoinTimeout time.Duration
	// EnlistAfter is how long a borrower that is not a member may leave audits unanswered before it
	// is added to the roster, and the mean pause between attempts to do so.
	EnlistAfter time.Duration
	// LenderBackoff is how long a lender that did not answer is not asked again.
	LenderBackoff time.Duration
}

// DefaultSlotTimes returns the default intervals and timeouts.
func DefaultSlotTimes() SlotTimes {
	return SlotTimes{
		TickInterval: 100 * time.Millisecond, PingInterval: 500 * time.Millisecond,
		BorrowTimeout: 150 * time.Millisecond, CallTimeout: time.Second, Linger: 6 * time.Second,
		UnlistedAfter: 20 * time.Second, KeeperTimeout: 2 * time.Second, JoinTimeout: time.Second, EnlistAfter: 10 * time.Second,
		LenderBackoff: time.Second,
	}
}

// errNoPeers means that the instance accepts no RPCs from others, so it must be the only one.
var errNoPeers = errors.New("instance has no address for other instances")

// maxBorrowAttempts bounds the lenders that are asked in turn for one request.
const maxBorrowAttempts = 3

// Init initialises the slots and registers their RPC service; it must be called before Run.
func (s *Slots) Init() error {
	s.holder = slot.NewHolder(s.Self)
	s.holder.Address, s.holder.EnlistAfter = s.Address, s.Times.EnlistAfter
	s.unansweredAt, s.busy, s.counts = map[slot.Key]time.Time{}, map[slot.Key]bool{}, map[string]slot.Usage{}
	s.rosterChanged = make(chan struct{}, 1)
	s.keeper.tracker = slot.RemovalTracker{Self: s.Self, Linger: s.Times.Linger, ListLag: s.Times.UnlistedAfter}
	if s.Peers == nil {
		// A single instance lends to nobody, so it need not wait for the platform's list.
		s.keeper.tracker.ListLag = 0
	}
	s.registerGauges()
	if s.Peers == nil {
		return nil
	}
	return s.Peers.Register("Slots", &slotService{s})
}

// TargetPool returns the name of a target's pool.
func TargetPool(entry, target string) string { return "target/" + entry + "/" + target }

// EntryPool returns the name of an entry's pool.
func EntryPool(entry string) string { return "entry/" + entry }

// WorkspacePool returns the name of a workspace's pool.
func WorkspacePool(workspace string) string { return "workspace/" + workspace }

// poolLimits returns the limits of all pools of a catalogue.
func poolLimits(d *catalogue.Document) map[string]int {
	m := map[string]int{}
	for i := range d.Entries {
		e := &d.Entries[i]
		m[EntryPool(e.Name)] = e.Limits.InProgress
		for _, t := range e.Targets {
			m[TargetPool(e.Name, t.Name)] = t.Slots
		}
	}
	for _, w := range d.Workspaces {
		m[WorkspacePool(w.Name)] = w.InProgress
	}
	return m
}

// Run maintains the slots and the roster until ctx ends.
func (s *Slots) Run(ctx context.Context) error {
	var group sync.WaitGroup
	s.mu.Lock()
	s.storeAnsweredAt = time.Now()
	s.mu.Unlock()
	group.Go(func() { s.followLimits(ctx) })
	group.Go(func() { s.joinRoster(ctx) })
	group.Go(func() { s.workOnBorrowed(ctx) })
	group.Go(func() { s.enlistSilentBorrowers(ctx) })
	group.Go(func() { runEvery(ctx, s.Times.TickInterval, func() { s.sendDue(ctx) }) })
	group.Go(func() { s.runPings(ctx) })
	group.Go(func() { s.runKeeper(ctx) })
	group.Wait()
	return ctx.Err()
}

func runEvery(ctx context.Context, d time.Duration, f func()) {
	for sleep(ctx, d) == nil {
		f()
	}
}

func (s *Slots) followLimits(ctx context.Context) {
	for {
		changed := Catalogue.Changed(s.Board)
		if d, ok := Catalogue.Get(s.Board); ok {
			limits := poolLimits(d)
			s.mu.Lock()
			s.holder.SetLimits(time.Now(), limits)
			s.limitsKnown = true
			s.mu.Unlock()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Ready reports whether the instance knows the limits of the pools and either is in the roster or,
// while the service is unreachable, may borrow from members of the roster.
//
// Without limits no pool has slots, and requests would be refused as if the entry were full.
func (s *Slots) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limitsKnown && (s.holder.IsMember() || s.holder.CanStartWork(time.Now()))
}

// NoReleasesPending reports whether the instance is a member, knows the limits of the pools and
// waits for no slot that another instance has yet to release.
func (s *Slots) NoReleasesPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.holder.UsageByKind() {
		if c.Awaiting > 0 {
			return false
		}
	}
	return s.limitsKnown && s.holder.IsMember()
}

// isMember reports whether the instance is in the roster.
func (s *Slots) isMember() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.IsMember()
}

// callMember sends an RPC to a member and records whether the member answered.
func (s *Slots) callMember(ctx context.Context, wait time.Duration, m slot.Member, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	startedAt := time.Now()
	err := error(errNoPeers)
	if s.Peers != nil {
		err = s.Peers.Call(ctx, m.Address, "Slots."+method, in, out)
	}
	s.Metrics.GetOrCreateCounter(`bambooferry_slot_calls_total{method="` + method + `"}`).Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.unansweredAt[m.Key()] = time.Now()
		return err
	}
	delete(s.unansweredAt, m.Key())
	// The roster may list a former incarnation at this instance's own address; an answer from
	// there does not prove contact with another instance.
	if m.Address != s.Address {
		// Use the time of the call, since the reply may have been delayed while this process was paused.
		s.recordContact(startedAt)
	}
	return nil
}

// recordContact records contact with another member; the caller holds the lock.
func (s *Slots) recordContact(at time.Time) { s.holder.RecordContact(at) }

// sendDue sends the asks and audits that are due, one at a time to each member.
func (s *Slots) sendDue(ctx context.Context) {
	s.mu.Lock()
	asks, audits := s.holder.DueAsks(time.Now()), s.holder.DueAudits(time.Now())
	s.mu.Unlock()
	for _, a := range asks {
		go s.sendAsk(ctx, a)
	}
	for _, a := range audits {
		go s.sendAudit(ctx, a)
	}
	s.publishCounts()
}

func (s *Slots) sendAsk(ctx context.Context, a slot.OutgoingAsk) {
	var r slot.Released
	if s.callMember(ctx, s.Times.CallTimeout, a.To, "Ask", a.Ask, &r) != nil {
		return
	}
	s.mu.Lock()
	s.holder.ApplyReleased(a.To.Key(), a.Ask, r)
	behind := r.Epoch > s.holder.Epoch()
	s.mu.Unlock()
	if behind {
		s.fetchRoster(ctx, a.To.Address)
	}
}

func (s *Slots) sendAudit(ctx context.Context, a slot.OutgoingAudit) {
	var unknown slot.Loans
	if s.callMember(ctx, s.Times.CallTimeout, a.To, "Audit", a.Loans, &unknown) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.ApplyAuditAnswer(time.Now(), a.To.Key(), unknown)
}
