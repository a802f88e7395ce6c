package instance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// restart gives a member a new incarnation that knows one other member.
func (f *fleet) restart(i int, seed string) {
	id, n := f.ids[i], len(f.ids)
	m := memberOf(i, n)
	m.Incarnation = f.tables[id].self.Incarnation + 1
	f.tables[id] = NewTable(m, DefaultTiming())
	f.tables[id].AddProbeCandidates([]Member{f.tables[seed].self.Member})
	f.revision[id] = 0
}

// TestRegionsApartForAnHour guards against regions that forget each other, wear each other out or
// hold on to ended incarnations when they lose contact for an hour in which members restart on both sides.
func TestRegionsApartForAnHour(t *testing.T) {
	t.Parallel()
	const (
		members = 12
		apart   = time.Hour
		// changeWait is the time in which a change of configuration is in force everywhere.
		changeWait = 9 * time.Second
	)
	f := newFleet(members, 1)
	region := func(id string) string { return f.tables[id].self.DataCentre }
	f.run(2 * time.Second)
	f.sent = 0
	f.run(time.Minute)
	usual := f.sent

	f.lost = func(from, to string) bool { return (region(from) == "dc-0") != (region(to) == "dc-0") }
	f.run(apart / 3)
	f.restart(1, f.ids[0])
	f.restart(6, f.ids[7])
	f.run(apart / 3)
	f.revision[f.ids[5]] = 2
	f.tables[f.ids[11]].Leave()
	f.run(5 * time.Second)
	f.down[f.ids[11]] = true
	f.run(apart / 3)
	f.requireNoDeathWithinSides(t, region)
	f.sent = 0
	f.run(time.Minute)
	t.Logf("messages a minute: %d together, %d apart", usual, f.sent)
	// Besides the heartbeats, each member probes one lost member a second.
	require.LessOrEqual(t, f.sent, usual+members*60+usual/10)

	f.lost = func(string, string) bool { return false }
	inForce := func() bool {
		for _, id := range f.ids {
			if !f.down[id] && f.revision[id] != 2 {
				return false
			}
		}
		return true
	}
	whole := func() bool {
		for _, id := range f.ids {
			if !f.down[id] && len(f.tables[id].View().Live()) != members-1 {
				return false
			}
		}
		return true
	}
	merged, ok := f.until(time.Minute, func() bool { return whole() && inForce() })
	require.True(t, ok, "the sides merge")
	require.Less(t, merged, changeWait, "the side that was cut off learns the revision")
	t.Logf("merged after %v", merged)
	f.run(5 * time.Second)
	require.True(t, whole())
	for _, id := range f.ids {
		if f.down[id] {
			continue
		}
		for _, restarted := range []int{1, 6} {
			m, _ := f.tables[id].View().Member(f.ids[restarted])
			require.EqualValues(t, 2, m.Incarnation, "%s holds an ended incarnation of %s", id, m.ID)
		}
	}
}

// requireNoDeathWithinSides guards against running members of one side that hold each other dead.
func (f *fleet) requireNoDeathWithinSides(t *testing.T, side func(string) string) {
	for _, id := range f.ids {
		for _, m := range f.tables[id].View().Members {
			if side(id) == "dc-0" == (m.DataCentre == "dc-0") && !f.down[id] && !f.down[m.ID] {
				require.NotEqual(t, Dead, m.State, "%s holds %s dead", id, m.ID)
			}
		}
	}
}
