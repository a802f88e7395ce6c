package slot

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func pick[T any](t *rapid.T, list []T) T {
	return list[rapid.IntRange(0, len(list)-1).Draw(t, "i")]
}

// step does one random thing to the model.
func (m *model) step(t *rapid.T) {
	nodes := m.awake()
	if len(nodes) == 0 {
		m.start(fmt.Sprint("i", rapid.IntRange(0, 5).Draw(t, "id")), false)
		return
	}
	n, name := pick(t, nodes), pick(t, m.names)
	switch what := rapid.IntRange(0, 99).Draw(t, "what"); {
	case what < 14:
		for range 4 {
			if len(m.messages) > 0 {
				m.deliver(rapid.IntRange(0, len(m.messages)-1).Draw(t, "message"), rapid.IntRange(0, 5).Draw(t, "again") == 0)
			}
		}
	case what < 24:
		m.flush()
	case what < 30:
		for _, n := range nodes {
			if !m.read(n) && !n.h.IsMember() {
				m.borrowOnly(n, pick(t, nodes))
			}
			m.maintain(n, false)
		}
	case what < 33 && len(m.messages) > 0:
		i := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
		m.messages = append(m.messages[:i:i], m.messages[i+1:]...)
	case what < 48:
		m.maintain(n, rapid.Bool().Draw(t, "lose"))
	case what < 56:
		m.read(n)
	case what < 66:
		for range rapid.IntRange(1, 5).Draw(t, "uses") {
			m.use(n, name)
		}
	case what < 72:
		m.borrow(n, name, rapid.IntRange(0, modelSeats-1).Draw(t, "turn"))
	case what < 78:
		if len(m.runs) > 0 {
			if r := pick(t, m.runs); r.by != nil && r.by.alive && !r.by.paused {
				m.done(r.by, r.ticket)
			}
		}
	case what < 82:
		m.keep(n, rapid.Bool().Draw(t, "lose"))
	case what < 88:
		m.advance(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
	case what < 90:
		m.start(fmt.Sprint("i", rapid.IntRange(0, 5).Draw(t, "id")), rapid.Bool().Draw(t, "offline"))
	case what < 92:
		m.kill(n)
	case what < 93:
		for range len(m.runs) {
			m.adopt(n)
		}
	case what < 94:
		m.borrowOnly(n, pick(t, nodes))
	case what < 95:
		n.paused = true
	case what < 96:
		for _, p := range m.nodes {
			p.paused = false
		}
	case what < 97:
		n.offline = !n.offline
	case what < 98:
		a, b := n.h.Self.ID, pick(t, nodes).h.Self.ID
		m.cut[[2]string{min(a, b), max(a, b)}] = !m.blocked(a, b)
	case what < 99:
		m.down = !m.down
	default:
		if n.seen != nil {
			m.swap(n, n.seen.MarkLeaving(n.h.Self, false), false)
		}
	}
}

// outageStep does what makes instances borrow that are not members, and what ends them and their lenders.
func (m *model) outageStep(t *rapid.T) {
	nodes := m.awake()
	n := pick(t, nodes)
	switch what := rapid.IntRange(0, 15).Draw(t, "what"); {
	case what < 2:
		m.start(fmt.Sprint("i", rapid.IntRange(0, 3).Draw(t, "id")), rapid.IntRange(0, 3).Draw(t, "online") > 0)
	case what < 6:
		m.borrowOnly(n, pick(t, nodes))
		m.flush()
		m.flush()
		for range rapid.IntRange(1, 4).Draw(t, "borrows") {
			m.borrow(n, pick(t, m.names), rapid.IntRange(0, modelSeats-1).Draw(t, "turn"))
		}
		m.flush()
		m.flush()
	case what < 7:
		m.kill(n)
	case what < 8:
		for range len(m.runs) {
			m.adopt(n)
		}
	case what < 9:
		n.offline = !n.offline
	case what < 11:
		m.advance(time.Duration(rapid.IntRange(1, 4).Draw(t, "s")) * time.Second)
	case what < 12:
		for range 5 {
			m.use(n, pick(t, m.names))
		}
	default:
		for _, n := range nodes {
			m.read(n)
			m.maintain(n, false)
			m.keep(n, false)
		}
		m.flush()
		m.flush()
	}
}

// flush delivers the messages that are under way now, in order.
func (m *model) flush() {
	for range len(m.messages) {
		m.deliver(0, false)
	}
}

// settle lets everything work again and all work end.
func (m *model) settle() {
	m.down, m.cut = false, map[[2]string]bool{}
	for _, n := range m.nodes {
		n.paused, n.offline = false, false
	}
	for range 60 {
		m.advance(time.Second)
		for _, n := range m.awake() {
			m.read(n)
			m.maintain(n, false)
			m.keep(n, false)
			for _, id := range slices.Sorted(maps.Keys(n.h.tickets)) {
				m.done(n, id)
			}
		}
		for len(m.messages) > 0 {
			m.flush()
		}
		m.check()
	}
}

// Guards against two holders of one slot, and against a slot that stays idle for ever, under
// joins, ends, pauses, leaves, partitions, outages and lost, late and repeated messages.
func TestNoSlotHasTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.names = modelNames[:rapid.IntRange(1, len(modelNames)).Draw(t, "pools")]
		outage := rapid.Bool().Draw(t, "outage")
		for range rapid.IntRange(20, 400).Draw(t, "steps") {
			if outage && len(m.awake()) > 0 && rapid.IntRange(0, 1).Draw(t, "kind") == 0 {
				m.outageStep(t)
			} else {
				m.step(t)
			}
			m.check()
		}
		m.runs = nil
		m.settle()
		for _, r := range m.runs {
			require.Nil(t, r.by)
		}
		working := 0
		for _, n := range m.awake() {
			if n.h.IsMember() && !n.h.self.Leaving {
				working++
			}
		}
		if working == 0 {
			return
		}
		for _, n := range m.awake() {
			t.Logf("%v epoch %d member %v counts %v", n.h.Self, n.h.Epoch(), n.h.IsMember(), n.h.UsageByKind())
		}
		t.Logf("roster %+v", m.roster)
		for _, name := range modelNames {
			free := 0
			for _, n := range m.awake() {
				free += n.h.FreeSlots(m.now, name)
			}
			require.Equal(t, modelPools[name], free, "%s has idle slots", name)
		}
	})
}
