package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/instance"
)

// calls is what one instance holds for calls to services.
type calls struct {
	ctx context.Context
	// group holds the runs that go on without their callers, and recording the records of what
	// became of them, which another instance can take over.
	group     sync.WaitGroup
	recording sync.WaitGroup
	records   map[*booking.Op]struct{}
	closed    bool
	// given is set once this instance has given a ticket.
	given   atomic.Bool
	left    leftTable
	runs    runTable
	crashes crashTable

	mu      sync.Mutex
	budgets map[string]*entryBudget
	writers map[int]*shardWriter
	turns   writeTurns
	// sizedAt is when the write budget was last adapted to the shards of this instance.
	sizedAt time.Time
	dialer  func(ctx context.Context, network, address string) (net.Conn, error)
}

// startCalls prepares the state and offers it to other instances; ctx ends all calls.
func (s *Server) startCalls(ctx context.Context) error {
	s.calls.ctx = ctx
	s.calls.budgets, s.calls.writers = map[string]*entryBudget{}, map[int]*shardWriter{}
	s.calls.turns.core = booking.WriteScheduler{Spacing: s.Limits.Calls.WriteSpacing, Burst: writeBurst}
	s.calls.runs = runTable{limits: s.Limits.Calls, byKey: map[string]*heldRun{}, byNonce: map[string]*heldRun{}}
	s.calls.crashes = crashTable{
		suspects: booking.CrashDetector{Retention: s.Limits.Calls.CrashMarkTTL, MaxCrashes: maxCrashes},
		inside:   map[string]map[*taken]struct{}{},
		reported: map[string]crashReport{},
	}
	s.calls.dialer = (&net.Dialer{Timeout: time.Second}).DialContext
	if t, ok := s.Client.Transport.(*http.Transport); ok && t.DialContext != nil {
		s.calls.dialer = t.DialContext
	}
	if s.Peers == nil {
		return nil
	}
	return errors.Wrap(s.Peers.Register(callsService, &CallPeer{s}), "offer calls to other instances")
}

// spawn runs f in a goroutine that a graceful stop waits for, if it has not begun to wait.
func (k *calls) spawn(f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		go f()
		return
	}
	k.group.Go(f)
}

// keep runs f, which records an operation, until it ends or another instance has taken the operation over.
func (k *calls) keep(o *booking.Op, f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.records == nil {
		k.records = map[*booking.Op]struct{}{}
	}
	k.records[o] = struct{}{}
	k.recording.Go(func() {
		f()
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.records, o)
	})
}

// unwritten returns the operations that are not recorded yet.
func (k *calls) unwritten() []booking.Op {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]booking.Op, 0, len(k.records))
	for o := range k.records {
		list = append(list, *o)
	}
	return list
}

func (k *calls) base() context.Context { return k.ctx }

func (k *calls) dial(ctx context.Context, network, address string) (net.Conn, error) {
	return k.dialer(ctx, network, address)
}

func (k *calls) budget(entry string) *entryBudget {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := k.budgets[entry]
	if b == nil {
		b = &entryBudget{budget: booking.RetryBudget{Ratio: booking.RetryRatio, Burst: booking.RetryBurst}}
		k.budgets[entry] = b
	}
	return b
}

// resizeEvery spaces the looks at the number of shards that the instance writes.
const resizeEvery = 500 * time.Millisecond

func (s *Server) shardWriter(shard int) *shardWriter {
	k := &s.calls
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := time.Now(); now.Sub(k.sizedAt) > resizeEvery {
		k.sizedAt = now
		k.turns.resize(s.ownShards())
	}
	w := k.writers[shard]
	if w == nil {
		w = s.newShardWriter(shard, &k.turns)
		k.writers[shard] = w
	}
	return w
}

// claimant names this incarnation of the instance for a new claim.
func (s *Server) claimant(nonce string) booking.Claimant {
	return booking.Claimant{Instance: s.ID, Incarnation: s.Incarnation, Nonce: nonce}
}

// member returns another instance that is known at present.
func (s *Server) member(id string) (instance.Member, bool) {
	v, ok := Members.Get(s.Board)
	if !ok || s.Peers == nil {
		return instance.Member{}, false
	}
	return v.Member(id)
}

// ownShards counts the shards that this instance writes for all.
func (s *Server) ownShards() int {
	n := 0
	for shard := range s.Limits.Calls.Shards {
		if m, ok := s.shardOwner(shard); !ok || m.ID == s.ID {
			n++
		}
	}
	return n
}
