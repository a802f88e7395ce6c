package slot

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// ownAllAssigned makes a holder the owner of all slots assigned to it, as after a time without changes.
func ownAllAssigned(h *Holder) {
	for _, p := range h.pools {
		for i, s := range p.seats {
			if s != nil && s.assignedSince != 0 {
				s.growSlots(seatCapacity(p.limit, i, h.SeatsPerPool))
				for n := range s.slots {
					s.markOwned(n)
				}
			}
		}
	}
}

// TestStateAndMessagesAtScale guards against state or messages of one instance that grow with the whole
// deployment: a member keeps about its share of the pools, and a join takes few messages.
func TestStateAndMessagesAtScale(t *testing.T) {
	for _, c := range []struct{ members, engines, workspaces, entries int }{{9, 60, 10, 2}, {420, 5300, 240, 12}} {
		limits := map[string]int{}
		for i := range c.engines {
			limits[fmt.Sprint("target/m/engine-", i)] = 16
		}
		for i := range c.workspaces {
			limits[fmt.Sprint("workspace/w", i)] = 200
		}
		for i := range c.entries {
			limits[fmt.Sprint("entry/e", i)] = 4000
		}
		r := rosterSized(c.members)
		joined := rosterSized(c.members + 1)
		sampled, pools, slots, asks, wants, took := 0, 0, 0, 0, 0, time.Duration(0)
		for i := 0; i < c.members; i += max(1, c.members/9) {
			h := NewHolder(Key{fmt.Sprint("instance-", i), 1})
			h.SetLimits(start, limits)
			h.SetRoster(start, r)
			ownAllAssigned(h)
			startedAt := time.Now()
			h.SetRoster(start, joined)
			took += time.Since(startedAt)
			sampled++
			pools += h.PoolCount()
			for _, n := range h.UsageByKind() {
				slots += n.Held
			}
			for _, a := range h.DueAsks(start) {
				asks++
				wants += len(a.Ask.Wants)
			}
		}
		joiner := NewHolder(Key{fmt.Sprint("instance-", c.members), 1})
		joiner.SetLimits(start, limits)
		joiner.SetRoster(start, joined)
		joinerAsks := joiner.DueAsks(start)
		t.Logf("%d members, %d pools: a member keeps %d pools and %d slots; a join takes it %v and %d asks of %d wants; the new member sends %d asks",
			c.members, len(limits), pools/sampled, slots/sampled, (took / time.Duration(sampled)).Round(10*time.Microsecond), asks/sampled, wants/max(1, asks), len(joinerAsks))
		share := float64(len(limits)*min(DefaultSeats, c.members)) / float64(c.members)
		require.Less(t, float64(pools/sampled), 1.5*share+2)
		require.LessOrEqual(t, len(joinerAsks), c.members)
	}
}
