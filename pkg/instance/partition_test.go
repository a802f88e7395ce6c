package instance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// restart replaces a member by a new incarnation that knows one other member.
func (tc *testCluster) restart(i int, seed string) {
	id, n := tc.ids[i], len(tc.ids)
	m := testMember(i, n)
	m.Incarnation = tc.tables[id].self.Incarnation + 1
	tc.tables[id] = NewTable(m, DefaultTiming())
	tc.tables[id].AddProbeCandidates([]Member{tc.tables[seed].self.Member})
	tc.revisions[id] = 0
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
	tc := newTestCluster(members, 1)
	region := func(id string) string { return tc.tables[id].self.DataCentre }
	tc.advance(2 * time.Second)
	tc.messagesSent = 0
	tc.advance(time.Minute)
	messagesBefore := tc.messagesSent

	tc.dropped = func(from, to string) bool { return (region(from) == "dc-0") != (region(to) == "dc-0") }
	tc.advance(partitionTime / 3)
	tc.restart(1, tc.ids[0])
	tc.restart(6, tc.ids[7])
	tc.advance(partitionTime / 3)
	tc.revisions[tc.ids[5]] = 2
	tc.tables[tc.ids[11]].Leave()
	tc.advance(5 * time.Second)
	tc.down[tc.ids[11]] = true
	tc.advance(partitionTime / 3)
	tc.requireNoMemberHeldDeadWithinSide(t, region)
	tc.messagesSent = 0
	tc.advance(time.Minute)
	t.Logf("messages per minute: %d before the partition, %d during it", messagesBefore, tc.messagesSent)
	// In addition to the heartbeats, each member probes one unreachable member per second.
	require.LessOrEqual(t, tc.messagesSent, messagesBefore+members*60+messagesBefore/10)

	tc.dropped = func(string, string) bool { return false }
	inForce := func() bool {
		for _, id := range tc.ids {
			if !tc.down[id] && tc.revisions[id] != 2 {
				return false
			}
		}
		return true
	}
	allLive := func() bool {
		for _, id := range tc.ids {
			if !tc.down[id] && len(tc.tables[id].View().Live()) != members-1 {
				return false
			}
		}
		return true
	}
	mergeTime, ok := tc.advanceUntil(time.Minute, func() bool { return allLive() && inForce() })
	require.True(t, ok, "the sides did not merge")
	require.Less(t, mergeTime, maxPropagation, "the partitioned side must receive the revision in time")
	t.Logf("merged after %v", mergeTime)
	tc.advance(5 * time.Second)
	require.True(t, allLive())
	for _, id := range tc.ids {
		if tc.down[id] {
			continue
		}
		for _, restarted := range []int{1, 6} {
			m, _ := tc.tables[id].View().Member(tc.ids[restarted])
			require.EqualValues(t, 2, m.Incarnation, "%s has an ended incarnation of %s", id, m.ID)
		}
	}
}

// requireNoMemberHeldDeadWithinSide checks that no running member holds a running member of its own side dead.
func (tc *testCluster) requireNoMemberHeldDeadWithinSide(t *testing.T, side func(string) string) {
	for _, id := range tc.ids {
		for _, m := range tc.tables[id].View().Members {
			if side(id) == "dc-0" == (m.DataCentre == "dc-0") && !tc.down[id] && !tc.down[m.ID] {
				require.NotEqual(t, Dead, m.State, "%s considers %s dead", id, m.ID)
			}
		}
	}
}
