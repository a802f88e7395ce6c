package instance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// restart replaces a member by a new incarnation that knows one other member.
func (f *testCluster) restart(i int, seed string) {
	id, n := f.ids[i], len(f.ids)
	m := testMember(i, n)
	m.Incarnation = f.tables[id].self.Incarnation + 1
	f.tables[id] = NewTable(m, DefaultTiming())
	f.tables[id].AddProbeCandidates([]Member{f.tables[seed].self.Member})
	f.revisions[id] = 0
}

// TestRegionsMergeAfterAnHourOfPartition guards against regions that forget each other, overload each other
// with probes or keep ended incarnations, when members restart on both sides of a partition of an hour.
func TestRegionsMergeAfterAnHourOfPartition(t *testing.T) {
	t.Parallel()
	const (
		members       = 12
		partitionTime = time.Hour
		// maxPropagation is the time within which a configuration change must be in force everywhere.
		maxPropagation = 9 * time.Second
	)
	f := newTestCluster(members, 1)
	region := func(id string) string { return f.tables[id].self.DataCentre }
	f.advance(2 * time.Second)
	f.messagesSent = 0
	f.advance(time.Minute)
	messagesBefore := f.messagesSent

	f.dropped = func(from, to string) bool { return (region(from) == "dc-0") != (region(to) == "dc-0") }
	f.advance(partitionTime / 3)
	f.restart(1, f.ids[0])
	f.restart(6, f.ids[7])
	f.advance(partitionTime / 3)
	f.revisions[f.ids[5]] = 2
	f.tables[f.ids[11]].Leave()
	f.advance(5 * time.Second)
	f.down[f.ids[11]] = true
	f.advance(partitionTime / 3)
	f.requireNoMemberHeldDeadWithinSide(t, region)
	f.messagesSent = 0
	f.advance(time.Minute)
	t.Logf("messages per minute: %d before the partition, %d during it", messagesBefore, f.messagesSent)
	// In addition to the heartbeats, each member probes one unreachable member per second.
	require.LessOrEqual(t, f.messagesSent, messagesBefore+members*60+messagesBefore/10)

	f.dropped = func(string, string) bool { return false }
	inForce := func() bool {
		for _, id := range f.ids {
			if !f.down[id] && f.revisions[id] != 2 {
				return false
			}
		}
		return true
	}
	allLive := func() bool {
		for _, id := range f.ids {
			if !f.down[id] && len(f.tables[id].View().Live()) != members-1 {
				return false
			}
		}
		return true
	}
	mergeTime, ok := f.advanceUntil(time.Minute, func() bool { return allLive() && inForce() })
	require.True(t, ok, "the sides did not merge")
	require.Less(t, mergeTime, maxPropagation, "the partitioned side must receive the revision in time")
	t.Logf("merged after %v", mergeTime)
	f.advance(5 * time.Second)
	require.True(t, allLive())
	for _, id := range f.ids {
		if f.down[id] {
			continue
		}
		for _, restarted := range []int{1, 6} {
			m, _ := f.tables[id].View().Member(f.ids[restarted])
			require.EqualValues(t, 2, m.Incarnation, "%s has an ended incarnation of %s", id, m.ID)
		}
	}
}

// requireNoMemberHeldDeadWithinSide checks that no running member holds a running member of its own side dead.
func (f *testCluster) requireNoMemberHeldDeadWithinSide(t *testing.T, side func(string) string) {
	for _, id := range f.ids {
		for _, m := range f.tables[id].View().Members {
			if side(id) == "dc-0" == (m.DataCentre == "dc-0") && !f.down[id] && !f.down[m.ID] {
				require.NotEqual(t, Dead, m.State, "%s considers %s dead", id, m.ID)
			}
		}
	}
}
