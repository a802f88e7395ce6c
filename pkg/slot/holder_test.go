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

func drawElement[T any](t *rapid.T, list []T) T {
	return list[rapid.IntRange(0, len(list)-1).Draw(t, "i")]
}

// randomStep applies one random event to the model.
func (m *model) randomStep(t *rapid.T) {
	nodes := m.runningNodes()
	if len(nodes) == 0 {
		m.start(fmt.Sprint("i", rapid.IntRange(0, 5).Draw(t, "id")), false)
		return
	}
	n, name := drawElement(t, nodes), drawElement(t, m.poolNames)
	switch what := rapid.IntRange(0, 99).Draw(t, "what"); {
	case what < 14:
		for range 4 {
			if len(m.messages) > 0 {
				m.deliver(rapid.IntRange(0, len(m.messages)-1).Draw(t, "message"), rapid.IntRange(0, 5).Draw(t, "again") == 0)
			}
		}
	case what < 24:
		m.deliverAll()
	case what < 30:
		for _, n := range nodes {
			if !m.readRoster(n) && !n.holder.IsMember() {
				m.borrowOnly(n, drawElement(t, nodes))
			}
			m.runHolder(n, false)
		}
	case what < 33 && len(m.messages) > 0:
		i := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
		m.messages = append(m.messages[:i:i], m.messages[i+1:]...)
	case what < 48:
		m.runHolder(n, rapid.Bool().Draw(t, "lose"))
	case what < 56:
		m.readRoster(n)
	case what < 66:
		for range rapid.IntRange(1, 5).Draw(t, "uses") {
			m.use(n, name)
		}
	case what < 72:
		m.borrow(n, name, rapid.IntRange(0, modelSeats-1).Draw(t, "turn"))
	case what < 78:
		if len(m.runningWork) > 0 {
			if r := drawElement(t, m.runningWork); r.node != nil && r.node.alive && !r.node.paused {
				m.endWork(r.node, r.ticket)
			}
		}
	case what < 82:
		m.runRemovals(n, rapid.Bool().Draw(t, "lose"))
	case what < 88:
		m.advanceClock(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
	case what < 90:
		m.start(fmt.Sprint("i", rapid.IntRange(0, 5).Draw(t, "id")), rapid.Bool().Draw(t, "offline"))
	case what < 92:
		m.stopNode(n)
	case what < 93:
		for range len(m.runningWork) {
			m.adopt(n)
		}
	case what < 94:
		m.borrowOnly(n, drawElement(t, nodes))
	case what < 95:
		n.paused = true
	case what < 96:
		for _, p := range m.nodes {
			p.paused = false
		}
	case what < 97:
		n.offline = !n.offline
	case what < 98:
		a, b := n.holder.Self.ID, drawElement(t, nodes).holder.Self.ID
		m.partitioned[[2]string{min(a, b), max(a, b)}] = !m.blocked(a, b)
	case what < 99:
		m.serviceDown = !m.serviceDown
	default:
		if n.lastRoster != nil {
			m.writeRoster(n, n.lastRoster.MarkLeaving(n.holder.Self, false), false)
		}
	}
}

// randomOutageStep applies an event that makes non-members borrow, or that ends them and their lenders.
func (m *model) randomOutageStep(t *rapid.T) {
	nodes := m.runningNodes()
	n := drawElement(t, nodes)
	switch what := rapid.IntRange(0, 15).Draw(t, "what"); {
	case what < 2:
		m.start(fmt.Sprint("i", rapid.IntRange(0, 3).Draw(t, "id")), rapid.IntRange(0, 3).Draw(t, "online") > 0)
	case what < 6:
		m.borrowOnly(n, drawElement(t, nodes))
		m.deliverAll()
		m.deliverAll()
		for range rapid.IntRange(1, 4).Draw(t, "borrows") {
			m.borrow(n, drawElement(t, m.poolNames), rapid.IntRange(0, modelSeats-1).Draw(t, "turn"))
		}
		m.deliverAll()
		m.deliverAll()
	case what < 7:
		m.stopNode(n)
	case what < 8:
		for range len(m.runningWork) {
			m.adopt(n)
		}
	case what < 9:
		n.offline = !n.offline
	case what < 11:
		m.advanceClock(time.Duration(rapid.IntRange(1, 4).Draw(t, "s")) * time.Second)
	case what < 12:
		for range 5 {
			m.use(n, drawElement(t, m.poolNames))
		}
	default:
		for _, n := range nodes {
			m.readRoster(n)
			m.runHolder(n, false)
			m.runRemovals(n, false)
		}
		m.deliverAll()
		m.deliverAll()
	}
}

// deliverAll delivers, in order, the messages that are in flight now.
func (m *model) deliverAll() {
	for range len(m.messages) {
		m.deliver(0, false)
	}
}

// recoverAndDrain ends all faults and lets all work end.
func (m *model) recoverAndDrain() {
	m.serviceDown, m.partitioned = false, map[[2]string]bool{}
	for _, n := range m.nodes {
		n.paused, n.offline = false, false
	}
	for range 60 {
		m.advanceClock(time.Second)
		for _, n := range m.runningNodes() {
			m.readRoster(n)
			m.runHolder(n, false)
			m.runRemovals(n, false)
			for _, id := range slices.Sorted(maps.Keys(n.holder.tickets)) {
				m.endWork(n, id)
			}
		}
		for len(m.messages) > 0 {
			m.deliverAll()
		}
		m.checkLimits()
	}
}

// TestNoSlotHasTwoHolders guards against two holders of one slot, and against a slot that stays idle for
// ever, under joins, ends, pauses, leaves, partitions, outages and lost, late and repeated messages.
func TestNoSlotHasTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.poolNames = modelNames[:rapid.IntRange(1, len(modelNames)).Draw(t, "pools")]
		outage := rapid.Bool().Draw(t, "outage")
		for range rapid.IntRange(20, 400).Draw(t, "steps") {
			if outage && len(m.runningNodes()) > 0 && rapid.IntRange(0, 1).Draw(t, "kind") == 0 {
				m.randomOutageStep(t)
			} else {
				m.randomStep(t)
			}
			m.checkLimits()
		}
		m.runningWork = nil
		m.recoverAndDrain()
		for _, r := range m.runningWork {
			require.Nil(t, r.node)
		}
		working := 0
		for _, n := range m.runningNodes() {
			if n.holder.IsMember() && !n.holder.selfMember.Leaving {
				working++
			}
		}
		if working == 0 {
			return
		}
		for _, n := range m.runningNodes() {
			t.Logf("%v epoch %d member %v counts %v", n.holder.Self, n.holder.Epoch(), n.holder.IsMember(), n.holder.UsageByKind())
		}
		t.Logf("roster %+v", m.roster)
		for _, name := range modelNames {
			free := 0
			for _, n := range m.runningNodes() {
				free += n.holder.FreeSlots(m.now, name)
			}
			require.Equal(t, modelPools[name], free, "%s has idle slots", name)
		}
	})
}
