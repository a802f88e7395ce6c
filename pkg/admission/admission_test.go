package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an urgent kind that loses its room to another, room that is left idle, and workspaces that get none.
func TestTwoKindsForHalfTheRoom(t *testing.T) {
	for _, instances := range instanceCounts() {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			const end = 45 * time.Second
			otherServed, left := 0.0, 0.0
			for seed := range uint64(3) {
				base, got := newPlay(seed, instances, false), newPlay(seed, instances, true)
				base.run(end)
				got.run(end)
				base.log(t)
				got.log(t)
				require.GreaterOrEqual(t, got.worth(0), 0.95)
				for kind := range playKinds {
					least, _ := got.leastShare(kind)
					require.GreaterOrEqual(t, least, 0.5)
				}
				require.Less(t, base.worth(0), 0.5, "the case must need admission")
				require.Less(t, len(got.engineRefusals), len(base.engineRefusals)/100)
				// Without admission the engines are never idle.
				left += base.started - got.worth(0)*got.demandOf(0)
				otherServed += got.worth(1) * got.demandOf(1)
			}
			t.Logf("the other kind got %.3f of what was left", otherServed/left)
			require.GreaterOrEqual(t, otherServed, 0.95*left)
		})
	}
}

// Guards against callers that get more by asking again at once than those that come back when they are told to.
func TestRepeatsAtOnceGainNothing(t *testing.T) {
	for _, instances := range instanceCounts() {
		p := newPlay(2, instances, true)
		for w := range p.sizes {
			p.sizes[w] = 1
		}
		p.impatient = func(w int) bool { return w/2%2 == 0 }
		p.run(45 * time.Second)
		p.log(t)
		impatient, patient := 0.0, 0.0
		for w := 1; w < workspaces; w += 2 {
			if p.impatient(w) {
				impatient += p.served[w]
			} else {
				patient += p.served[w]
			}
		}
		t.Logf("served in time: %.0f of callers that repeat at once, %.0f of others", impatient, patient)
		require.LessOrEqual(t, impatient, 1.05*patient)
		require.GreaterOrEqual(t, p.worth(0), 0.95)
	}
}

// Guards against requests that are refused because of a load that is over.
func TestNoRefusalAfterLoadEnds(t *testing.T) {
	for _, instances := range instanceCounts() {
		p := newPlay(3, instances, true)
		const endsAt = 20 * time.Second
		full := p.demand
		p.demand = func(kind int, at time.Duration) float64 {
			if at < endsAt {
				return full(kind, at)
			}
			return 0.3 * playCapacity
		}
		p.run(35 * time.Second)
		p.log(t)
		last := p.refusedAt[len(p.refusedAt)-1].Sub(t0)
		t.Logf("last refusal %v after the load ended", last-endsAt)
		require.Less(t, last, endsAt+2*time.Second)
		for _, in := range p.instances {
			require.Zero(t, in.controller.Waiting())
		}
	}
}

// Guards against a pool that is taken for short and not short by turns, at a load where it is just not short.
func TestNoOscillationAtTheThreshold(t *testing.T) {
	p := newPlay(4, 9, true)
	p.demand = func(int, time.Duration) float64 { return 0.46 * playCapacity }
	p.run(60 * time.Second)
	p.log(t)
	require.LessOrEqual(t, p.switches(), 20)
	require.GreaterOrEqual(t, p.worth(0), 0.99)
	require.GreaterOrEqual(t, p.worth(1), 0.99)
}

// Guards against the part of an instance that is gone, which stays unused.
func TestRoomOfDeadInstanceIsUsed(t *testing.T) {
	p := newPlay(5, 9, true)
	p.run(15 * time.Second)
	for i := range 3 {
		p.kill(i)
	}
	least := p.running
	require.Less(t, least, playSlots*3/4)
	p.run(18500 * time.Millisecond)
	t.Logf("3 of 9 instances died: %d of %d slots are used at once, %d after 3.5 s", least, playSlots, p.running)
	require.Greater(t, p.running, playSlots*95/100)
	parts := 0.0
	for _, in := range p.instances[3:] {
		parts += in.controller.arrivals.part(p.now, recentTime, leastArrivals)
	}
	require.InDelta(t, 1, parts, 0.15)
}

// Guards against an instance that takes the whole room after it was suspended, since it has heard of no other.
func TestFrozenInstanceTakesNoMoreThanItsPart(t *testing.T) {
	p := newPlay(6, 9, true)
	p.run(15 * time.Second)
	in := p.instances[0]
	in.frozen = true
	p.run(20 * time.Second)
	before := len(p.engineRefusals)
	waiting := in.controller.Waiting()
	in.frozen = false
	for range 60 {
		p.ask(&wish{kind: 1, workspace: 1, askedAt: p.now})
		p.settle(in)
	}
	p.run(21 * time.Second)
	t.Logf("%d requests waited at the frozen instance, %d refusals by engines in the second after", waiting, len(p.engineRefusals)-before)
	require.Positive(t, waiting)
	require.Less(t, len(p.engineRefusals)-before, 100)
	require.LessOrEqual(t, in.running, playSlots/9*2)
}
