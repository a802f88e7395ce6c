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
	// modelLag is when the platform's list shows a new instance.
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
	h      *Holder
	k      RemovalTracker
	alive  bool
	paused bool
	begun  time.Time
	// offline nodes do not reach the service.
	offline bool
	// seen and version are what the node last read of the service.
	seen    *Roster
	version int64
}

// run is one piece of work at a target; it ends with its ticket, or some time after its node.
type run struct {
	pool   string
	by     *node
	ticket int64
	lost   time.Time
}

type message struct {
	from, to Key
	body     any
	deliver  func(to *node) (back any)
	answer   func(from *node, body any)
}

// model is a whole deployment: nodes, a network that may do anything to messages, and the service.
type model struct {
	t        *rapid.T
	now      time.Time
	nodes    []*node
	messages []message
	runs     []*run
	cut      map[[2]string]bool
	roster   *Roster
	version  int64
	down     bool
	lives    int64
	// names are the pools that work is begun in.
	names []string
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Unix(1_000_000, 0), cut: map[[2]string]bool{}, roster: &Roster{}}
	for i := range 3 {
		m.start(fmt.Sprint("i", i), false)
	}
	return m
}

// start starts an instance; one that ran under the same id has ended.
func (m *model) start(id string, offline bool) {
	for _, old := range m.nodes {
		if old.alive && old.h.Self.ID == id {
			m.kill(old)
		}
	}
	m.lives++
	n := &node{h: NewHolder(Key{id, m.lives}), alive: true, begun: m.now, offline: offline}
	n.h.SeatsPerPool, n.k.Linger, n.k.Self = modelSeats, modelLinger, n.h.Self
	n.h.Address, n.k.ListLag = addressOf(id), modelLag
	n.h.SetLimits(m.now, modelPools)
	m.nodes = append(m.nodes, n)
	m.join(n, false)
}

func (m *model) awake() []*node {
	return slices.DeleteFunc(slices.Clone(m.nodes), func(n *node) bool { return !n.alive || n.paused })
}

// read brings a node the roster from the service.
func (m *model) read(n *node) bool {
	if m.down || n.offline {
		return false
	}
	n.seen, n.version = m.roster, m.version
	n.h.RecordContact(m.now)
	n.h.SetRoster(m.now, m.roster)
	return true
}

// swap writes a roster at the version that the node last read; the answer may be lost.
func (m *model) swap(n *node, r *Roster, lose bool) {
	if m.down || n.offline || r == nil || n.seen == nil || n.version != m.version {
		return
	}
	m.roster, m.version = r, m.version+1
	require.NoError(m.t, r.Check())
	if !lose {
		m.read(n)
	}
}

func addressOf(id string) netip.AddrPort {
	return netip.AddrPortFrom(modelAddress.Addr(), uint16(1000+int(id[1])))
}

func (m *model) join(n *node, lose bool) {
	if m.read(n) {
		m.swap(n, m.roster.Join(n.h.Self.ID, n.h.Address, n.h.Self.Incarnation), lose)
	}
}

// borrowOnly lets a node that is no member work on borrowed slots, with the roster of another.
func (m *model) borrowOnly(n, from *node) {
	n.h.AllowBorrowOnly()
	m.send(n, from.h.Self, func(to *node) any { return to.h.Roster() }, func(from *node, body any) {
		from.h.SetRoster(m.now, body.(*Roster))
	})
}

// list is the platform's list, which shows a new instance late and no ended one.
func (m *model) list() []Member {
	var list []Member
	for _, n := range m.nodes {
		if n.alive && m.now.Sub(n.begun) >= modelLag {
			list = append(list, Member{ID: n.h.Self.ID, Address: n.h.Address, Incarnation: n.h.Self.Incarnation})
		}
	}
	return list
}

// maintain does what a node does at its own pace.
func (m *model) maintain(n *node, lose bool) {
	if !n.h.IsMember() && !n.h.retired {
		m.join(n, lose)
	}
	if silent := n.h.BorrowersToEnlist(m.now); len(silent) > 0 && m.read(n) {
		b := silent[0]
		m.swap(n, m.roster.EnlistBorrower(b.ID, b.Address, b.Incarnation), lose)
	}
	for _, a := range n.h.DueAsks(m.now) {
		m.send(n, a.To.Key(), func(to *node) any { return to.h.AnswerAsk(a.Ask) },
			func(from *node, body any) { from.h.ApplyReleased(a.To.Key(), a.Ask, body.(Released)) })
	}
	for _, a := range n.h.DueAudits(m.now) {
		m.send(n, a.To.Key(), func(to *node) any { return to.h.AnswerAudit(a.Loans) },
			func(from *node, body any) { from.h.ApplyAuditAnswer(m.now, a.To.Key(), body.(Loans)) })
	}
	if n.h.Drained() {
		m.swap(n, n.seen.Remove(n.h.Self), lose)
	}
}

// keep does the work of the keeper at any node.
func (m *model) keep(n *node, lose bool) {
	if n.seen == nil || m.down || n.offline {
		return
	}
	n.k.Update(m.now, m.now, n.seen, m.list())
	for _, f := range n.k.PendingFences(m.now) {
		r := n.seen
		m.send(n, f.To.Key(), func(to *node) any {
			to.h.SetRoster(m.now, r)
			return to.h.Fence(f.To.Key(), f.Ended)
		}, func(from *node, body any) {
			if body.(bool) {
				from.k.RecordFenced(f.Ended, f.To.Key())
			}
		})
	}
	if gone := n.k.Removable(m.now); len(gone) > 0 {
		m.swap(n, n.seen.Remove(gone...), lose)
		return
	}
	for _, member := range n.seen.Members {
		if other := m.node(member.Key()); !other.alive && !member.Ended {
			m.swap(n, n.seen.MarkLeaving(member.Key(), true), lose)
			return
		}
	}
}

func (m *model) node(k Key) *node {
	for _, n := range m.nodes {
		if n.h.Self == k {
			return n
		}
	}
	return nil
}

// receiver returns the node that gets a message: a call goes to whoever runs at the address now, an
// answer only to the one that called.
func (m *model) receiver(l message) *node {
	to := m.node(l.to)
	if l.deliver == nil || to != nil && to.alive {
		return to
	}
	for _, n := range m.nodes {
		if n.alive && n.h.Self.ID == l.to.ID {
			return n
		}
	}
	return to
}

func (m *model) send(from *node, to Key, deliver func(*node) any, answer func(*node, any)) {
	m.messages = append(m.messages, message{from: from.h.Self, to: to, deliver: deliver, answer: answer})
}

func (m *model) blocked(a, b string) bool { return m.cut[[2]string{min(a, b), max(a, b)}] }

// deliver hands over the i-th message; it is kept for another delivery when again is set.
func (m *model) deliver(i int, again bool) {
	l := m.messages[i]
	to := m.receiver(l)
	if m.blocked(l.from.ID, l.to.ID) || to == nil || !to.alive {
		if !again {
			m.messages = slices.Delete(m.messages, i, i+1)
		}
		return
	}
	if !again || to.paused {
		m.messages = slices.Delete(m.messages, i, i+1)
	}
	if to.paused {
		m.messages = append(m.messages, l)
		return
	}
	to.h.RecordContact(m.now)
	if l.deliver == nil {
		l.answer(to, l.body)
		return
	}
	m.messages = append(m.messages, message{from: to.h.Self, to: l.from, body: l.deliver(to), answer: l.answer})
}

func (m *model) use(n *node, name string) {
	if id, ok := n.h.Acquire(m.now, name); ok {
		m.runs = append(m.runs, &run{pool: name, by: n, ticket: id})
	}
}

func (m *model) borrow(n *node, name string, turn int) {
	list := n.h.Lenders(m.now, name, turn)
	if len(list) == 0 {
		return
	}
	b := n.h.BeginLoan(name, list[0].Key())
	m.send(n, list[0].Key(), func(to *node) any { return to.h.Lend(m.now, b) }, func(from *node, body any) {
		if from.h.ConfirmLoan(m.now, b, body.(Lent)) {
			m.runs = append(m.runs, &run{pool: name, by: from, ticket: b.Loan})
		}
	})
}

// done ends a run, or a loan that never came when the ticket has none.
func (m *model) done(n *node, ticket int64) {
	if lender, back := n.h.ReleaseTicket(m.now, ticket); back {
		m.send(n, lender, func(to *node) any {
			to.h.EndLoans(m.now, Loans{From: n.h.Self, Loans: []int64{ticket}})
			return nil
		}, func(*node, any) {})
	}
	m.runs = slices.DeleteFunc(m.runs, func(r *run) bool { return r.by == n && r.ticket == ticket })
}

func (m *model) kill(n *node) {
	n.alive = false
	for _, r := range m.runs {
		if r.by == n {
			r.by, r.lost = nil, m.now
		}
	}
}

// adopt lets a node take over a run whose node ended.
func (m *model) adopt(n *node) {
	for _, r := range m.runs {
		if r.by == nil {
			if id, ok := n.h.AdoptWork(m.now, r.pool); ok {
				r.by, r.ticket = n, id
			}
			return
		}
	}
}

func (m *model) advance(d time.Duration) {
	m.now = m.now.Add(d)
	m.runs = slices.DeleteFunc(m.runs, func(r *run) bool { return r.by == nil && m.now.Sub(r.lost) >= modelLinger })
}

// check fails when a target, entry or workspace has more work than its limit.
func (m *model) check() {
	count := map[string]int{}
	for _, r := range m.runs {
		count[r.pool]++
	}
	for name, n := range count {
		require.LessOrEqual(m.t, n, modelPools[name], "in use of %s", name)
	}
}
