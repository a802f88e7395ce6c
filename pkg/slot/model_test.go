package slot

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	modelSeats  = 3
	modelLinger = 5 * time.Second
	// modelLag is the time after which the platform's list shows a new instance.
	modelLag = 4 * time.Second
)

var (
	modelPools   = map[string]int{"target/a": 5, "target/b": 2, "entry/c": 9}
	modelNames   = []string{"target/b", "target/a", "entry/c"}
	errNoAnswer  = fmt.Errorf("no answer")
	modelAddress = netip.MustParseAddrPort("10.0.0.1:1000")
)

// node is one instance of the model.
type node struct {
	holder    *Holder
	removals  RemovalTracker
	alive     bool
	paused    bool
	startedAt time.Time
	// offline nodes cannot reach the key-value service.
	offline bool
	// lastRoster and lastVersion are what the node last read from the service.
	lastRoster  *Roster
	lastVersion int64
}

// work is one request that runs at a target; it ends with its ticket, or modelLinger after its node ended.
type work struct {
	pool   string
	node   *node
	ticket int64
	lostAt time.Time
}

type message struct {
	from, to     Key
	body         any
	handleCall   func(to *node) (back any)
	handleAnswer func(from *node, body any)
}

// model is a whole deployment: nodes, a network that may lose, delay, repeat and reorder messages, and the
// key-value service with the roster.
type model struct {
	t               *rapid.T
	now             time.Time
	nodes           []*node
	messages        []message
	runningWork     []*work
	partitioned     map[[2]string]bool
	roster          *Roster
	version         int64
	serviceDown     bool
	lastIncarnation int64
	// poolNames are the pools in which work is started.
	poolNames []string
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Unix(1_000_000, 0), partitioned: map[[2]string]bool{}, roster: &Roster{}}
	for i := range 3 {
		m.start(fmt.Sprint("i", i), false)
	}
	return m
}

// start starts an instance; a node that ran under the same id ends.
func (m *model) start(id string, offline bool) {
	for _, old := range m.nodes {
		if old.alive && old.holder.Self.ID == id {
			m.stopNode(old)
		}
	}
	m.lastIncarnation++
	n := &node{holder: NewHolder(Key{id, m.lastIncarnation}), alive: true, startedAt: m.now, offline: offline}
	n.holder.SeatsPerPool, n.removals.Linger, n.removals.Self = modelSeats, modelLinger, n.holder.Self
	n.holder.Address, n.removals.ListLag = addressOf(id), modelLag
	n.holder.SetLimits(m.now, modelPools)
	m.nodes = append(m.nodes, n)
	m.join(n, false)
}

func (m *model) runningNodes() []*node {
	return slices.DeleteFunc(slices.Clone(m.nodes), func(n *node) bool { return !n.alive || n.paused })
}

// readRoster lets a node read the roster from the service and reports whether it could.
func (m *model) readRoster(n *node) bool {
	if m.serviceDown || n.offline {
		return false
	}
	n.lastRoster, n.lastVersion = m.roster, m.version
	n.holder.RecordContact(m.now)
	n.holder.SetRoster(m.now, m.roster)
	return true
}

// writeRoster writes a roster if the service still has the version that the node last read; the answer is
// lost if lose is set.
func (m *model) writeRoster(n *node, r *Roster, lose bool) {
	if m.serviceDown || n.offline || r == nil || n.lastRoster == nil || n.lastVersion != m.version {
		return
	}
	m.roster, m.version = r, m.version+1
	require.NoError(m.t, r.Check())
	if !lose {
		m.readRoster(n)
	}
}

func addressOf(id string) netip.AddrPort {
	return netip.AddrPortFrom(modelAddress.Addr(), uint16(1000+int(id[1])))
}

func (m *model) join(n *node, lose bool) {
	if m.readRoster(n) {
		m.writeRoster(n, m.roster.Join(n.holder.Self.ID, n.holder.Address, n.holder.Self.Incarnation), lose)
	}
}

// borrowOnly lets a node that is not a member work on borrowed slots, with the roster of another node.
func (m *model) borrowOnly(n, from *node) {
	n.holder.AllowBorrowOnly()
	m.send(n, from.holder.Self, func(to *node) any { return to.holder.Roster() }, func(from *node, body any) {
		from.holder.SetRoster(m.now, body.(*Roster))
	})
}

// platformList returns the platform's list, which shows a new instance after modelLag and no ended one.
func (m *model) platformList() []Member {
	var list []Member
	for _, n := range m.nodes {
		if n.alive && m.now.Sub(n.startedAt) >= modelLag {
			list = append(list, Member{ID: n.holder.Self.ID, Address: n.holder.Address, Incarnation: n.holder.Self.Incarnation})
		}
	}
	return list
}

// runHolder does the periodic work of a node's holder.
func (m *model) runHolder(n *node, lose bool) {
	if !n.holder.IsMember() && !n.holder.removed {
		m.join(n, lose)
	}
	if silent := n.holder.BorrowersToEnlist(m.now); len(silent) > 0 && m.readRoster(n) {
		b := silent[0]
		m.writeRoster(n, m.roster.EnlistBorrower(b.ID, b.Address, b.Incarnation), lose)
	}
	for _, a := range n.holder.DueAsks(m.now) {
		m.send(n, a.To.Key(), func(to *node) any { return to.holder.AnswerAsk(a.Ask) },
			func(from *node, body any) { from.holder.ApplyReleased(a.To.Key(), a.Ask, body.(Released)) })
	}
	for _, a := range n.holder.DueAudits(m.now) {
		m.send(n, a.To.Key(), func(to *node) any { return to.holder.AnswerAudit(a.Loans) },
			func(from *node, body any) { from.holder.ApplyAuditAnswer(m.now, a.To.Key(), body.(Loans)) })
	}
	if n.holder.Drained() {
		m.writeRoster(n, n.lastRoster.Remove(n.holder.Self), lose)
	}
}

// runRemovals does the periodic work of a node's removal tracker.
func (m *model) runRemovals(n *node, lose bool) {
	if n.lastRoster == nil || m.serviceDown || n.offline {
		return
	}
	n.removals.Update(m.now, m.now, n.lastRoster, m.platformList())
	for _, f := range n.removals.PendingFences(m.now) {
		r := n.lastRoster
		m.send(n, f.To.Key(), func(to *node) any {
			to.holder.SetRoster(m.now, r)
			return to.holder.Fence(f.To.Key(), f.Ended)
		}, func(from *node, body any) {
			if body.(bool) {
				from.removals.RecordFenced(f.Ended, f.To.Key())
			}
		})
	}
	if removable := n.removals.Removable(m.now); len(removable) > 0 {
		m.writeRoster(n, n.lastRoster.Remove(removable...), lose)
		return
	}
	for _, member := range n.lastRoster.Members {
		if other := m.findNode(member.Key()); !other.alive && !member.Ended {
			m.writeRoster(n, n.lastRoster.MarkLeaving(member.Key(), true), lose)
			return
		}
	}
}

func (m *model) findNode(k Key) *node {
	for _, n := range m.nodes {
		if n.holder.Self == k {
			return n
		}
	}
	return nil
}

// receiver returns the node that gets a message: a call goes to the node that runs at the address now, an
// answer only to the caller.
func (m *model) receiver(msg message) *node {
	to := m.findNode(msg.to)
	if msg.handleCall == nil || to != nil && to.alive {
		return to
	}
	for _, n := range m.nodes {
		if n.alive && n.holder.Self.ID == msg.to.ID {
			return n
		}
	}
	return to
}

func (m *model) send(from *node, to Key, deliver func(*node) any, answer func(*node, any)) {
	m.messages = append(m.messages, message{from: from.holder.Self, to: to, handleCall: deliver, handleAnswer: answer})
}

func (m *model) blocked(a, b string) bool { return m.partitioned[[2]string{min(a, b), max(a, b)}] }

// deliver delivers the i-th message; the message is kept for another delivery if duplicate is set.
func (m *model) deliver(i int, duplicate bool) {
	msg := m.messages[i]
	to := m.receiver(msg)
	if m.blocked(msg.from.ID, msg.to.ID) || to == nil || !to.alive {
		if !duplicate {
			m.messages = slices.Delete(m.messages, i, i+1)
		}
		return
	}
	if !duplicate || to.paused {
		m.messages = slices.Delete(m.messages, i, i+1)
	}
	if to.paused {
		m.messages = append(m.messages, msg)
		return
	}
	to.holder.RecordContact(m.now)
	if msg.handleCall == nil {
		msg.handleAnswer(to, msg.body)
		return
	}
	m.messages = append(m.messages, message{from: to.holder.Self, to: msg.from, body: msg.handleCall(to), handleAnswer: msg.handleAnswer})
}

func (m *model) use(n *node, name string) {
	if id, ok := n.holder.Acquire(m.now, name); ok {
		m.runningWork = append(m.runningWork, &work{pool: name, node: n, ticket: id})
	}
}

func (m *model) borrow(n *node, name string, turn int) {
	list := n.holder.Lenders(m.now, name, turn)
	if len(list) == 0 {
		return
	}
	b := n.holder.BeginLoan(name, list[0].Key())
	m.send(n, list[0].Key(), func(to *node) any { return to.holder.Lend(m.now, b) }, func(from *node, body any) {
		if from.holder.ConfirmLoan(m.now, b, body.(Lent)) {
			m.runningWork = append(m.runningWork, &work{pool: name, node: from, ticket: b.Loan})
		}
	})
}

// endWork ends the work of a ticket, or a loan that was never received if the ticket has no work.
func (m *model) endWork(n *node, ticket int64) {
	if lender, wasBorrowed := n.holder.ReleaseTicket(m.now, ticket); wasBorrowed {
		m.send(n, lender, func(to *node) any {
			to.holder.EndLoans(m.now, Loans{From: n.holder.Self, Loans: []int64{ticket}})
			return nil
		}, func(*node, any) {})
	}
	m.runningWork = slices.DeleteFunc(m.runningWork, func(r *work) bool { return r.node == n && r.ticket == ticket })
}

func (m *model) stopNode(n *node) {
	n.alive = false
	for _, r := range m.runningWork {
		if r.node == n {
			r.node, r.lostAt = nil, m.now
		}
	}
}

// adopt lets a node take over work whose node ended.
func (m *model) adopt(n *node) {
	for _, r := range m.runningWork {
		if r.node == nil {
			if id, ok := n.holder.AdoptWork(m.now, r.pool); ok {
				r.node, r.ticket = n, id
			}
			return
		}
	}
}

func (m *model) advanceClock(d time.Duration) {
	m.now = m.now.Add(d)
	m.runningWork = slices.DeleteFunc(m.runningWork, func(r *work) bool { return r.node == nil && m.now.Sub(r.lostAt) >= modelLinger })
}

// checkLimits fails if a target, entry or workspace has more work than its limit.
func (m *model) checkLimits() {
	count := map[string]int{}
	for _, r := range m.runningWork {
		count[r.pool]++
	}
	for name, n := range count {
		require.LessOrEqual(m.t, n, modelPools[name], "in use of %s", name)
	}
}
