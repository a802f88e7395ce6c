package instance

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDeadMemberIsDetected guards against a dead member that is detected late, or by some members only.
func TestDeadMemberIsDetected(t *testing.T) {
	t.Parallel()
	for _, n := range []int{2, 3, 9, 100, 420} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			tc := newTestCluster(n, 1)
			tc.advance(3 * time.Second)
			deadMember := tc.ids[n/2]
			tc.down[deadMember] = true
			first, ok := tc.advanceUntil(5*time.Second, func() bool { return tc.countHolding(deadMember, Dead) > 0 })
			require.True(t, ok)
			rest, ok := tc.advanceUntil(5*time.Second, func() bool { return tc.countHolding(deadMember, Dead) == n-1 })
			require.True(t, ok)
			t.Logf("members %d: first %v, all %v", n, first, first+rest)
			require.LessOrEqual(t, first, 2*time.Second)
			require.LessOrEqual(t, first+rest, 3*time.Second)
			require.Equal(t, n-1, tc.countDead())
		})
	}
}

// TestLossyLinksCauseNoFalseDeath guards against live members declared dead because links lose messages.
func TestLossyLinksCauseNoFalseDeath(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		n       int
		dropped func(tc *testCluster) func(from, to string) bool
	}{
		{"one link cut both ways", 9, func(tc *testCluster) func(string, string) bool {
			a, b := tc.ids[0], tc.tables[tc.ids[0]].rings.targets(tc.ids[0])[0]
			return func(from, to string) bool { return from == a && to == b || from == b && to == a }
		}},
		{"one link cut one way", 3, func(tc *testCluster) func(string, string) bool {
			return func(from, to string) bool { return from == tc.ids[0] && to == tc.ids[1] }
		}},
		{"answers of one link cut", 3, func(tc *testCluster) func(string, string) bool {
			return func(from, to string) bool { return from == tc.ids[1] && to == tc.ids[0] }
		}},
		{"two monitors cut from one member", 9, func(tc *testCluster) func(string, string) bool {
			b := tc.ids[4]
			m := tc.tables[b].rings.monitors(b)[:2]
			return func(from, to string) bool {
				return to == b && (from == m[0] || from == m[1]) || from == b && (to == m[0] || to == m[1])
			}
		}},
		{"a tenth of all messages lost", 9, func(tc *testCluster) func(string, string) bool {
			return func(string, string) bool { return tc.random.IntN(10) == 0 }
		}},
		{"half the messages of one member lost", 100, func(tc *testCluster) func(string, string) bool {
			return func(from, to string) bool { return (from == tc.ids[7] || to == tc.ids[7]) && tc.random.IntN(2) == 0 }
		}},
	}
	for _, c := range cases {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(c.name, " ", seed), func(t *testing.T) {
				tc := newTestCluster(c.n, seed)
				tc.advance(2 * time.Second)
				tc.dropped = c.dropped(tc)
				for range 20 {
					tc.advance(time.Second)
					require.Zero(t, tc.countDead(), strings.Join(tc.changeLog, "\n"))
				}
			})
		}
	}
}

// TestPausedMemberResumesInSameIncarnation guards against a paused member that declares others dead, or that
// does not become alive again in the same incarnation.
func TestPausedMemberResumesInSameIncarnation(t *testing.T) {
	tc := newTestCluster(9, 1)
	tc.advance(2 * time.Second)
	paused := tc.ids[3]
	tc.down[paused] = true
	tc.advance(10 * time.Second)
	require.Equal(t, 8, tc.countHolding(paused, Dead))
	before := tc.tables[paused].View()
	require.Len(t, before.Live(), 9, "a paused member keeps its view")
	tc.down[paused] = false
	took, ok := tc.advanceUntil(5*time.Second, func() bool { return tc.countHolding(paused, Alive) == 8 })
	require.True(t, ok)
	t.Logf("alive again in all views after %v", took)
	tc.advance(3 * time.Second)
	require.Zero(t, tc.countDead())
	require.EqualValues(t, 1, tc.tables[paused].View().Self.Incarnation)
	require.Contains(t, strings.Join(tc.changeLog, "\n"), paused+" paused "+paused)
}

// TestRestartedMemberRejoins guards against a restarted member that is held dead or in its former incarnation.
func TestRestartedMemberRejoins(t *testing.T) {
	tc := newTestCluster(9, 1)
	tc.advance(2 * time.Second)
	id := tc.ids[5]
	tc.down[id] = true
	tc.advance(5 * time.Second)
	m := testMember(5, 9)
	m.Incarnation = 2
	tc.tables[id], tc.down[id] = NewTable(m, DefaultTiming()), false
	tc.tables[id].AddProbeCandidates([]Member{{ID: tc.ids[0], Address: testMember(0, 9).Address, Incarnation: 1, State: Alive}})
	_, ok := tc.advanceUntil(15*time.Second, func() bool { return tc.countHolding(id, Alive) == 8 && len(tc.tables[id].View().Live()) == 9 })
	require.True(t, ok, strings.Join(tc.changeLog, "\n"))
	for _, other := range tc.ids {
		got, _ := tc.tables[other].View().Member(id)
		require.EqualValues(t, 2, got.Incarnation)
	}
}

// TestDataCentrePartitionMerges guards against a side of a partition that loses members or does not merge again.
func TestDataCentrePartitionMerges(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		n        int
		holdTime time.Duration
	}{{3, 5 * time.Second}, {9, 0}, {9, 5 * time.Second}, {99, 0}, {99, 5 * time.Second}, {420, 5 * time.Second}} {
		n := c.n
		t.Run(fmt.Sprint(n, " held ", c.holdTime), func(t *testing.T) {
			tc := newTestCluster(n, 1)
			tc.advance(2 * time.Second)
			dataCentre := func(id string) string { return tc.tables[id].self.DataCentre }
			tc.dropped = func(from, to string) bool { return (dataCentre(from) == "dc-0") != (dataCentre(to) == "dc-0") }
			sidesSettled := func() bool {
				for _, id := range tc.ids {
					want := n / 3
					if dataCentre(id) != "dc-0" {
						want = n - n/3
					}
					if len(tc.tables[id].View().Live()) != want {
						return false
					}
				}
				return true
			}
			settleTime, ok := tc.advanceUntil(30*time.Second, func() bool { return tc.round%10 == 0 && sidesSettled() })
			require.True(t, ok)
			tc.advance(c.holdTime)
			require.True(t, sidesSettled(), "the sides must not change")
			tc.requireNoDeathDeclaredWithinSide(t, dataCentre)
			tc.dropped = func(string, string) bool { return false }
			mergeTime, ok := tc.advanceUntil(time.Minute, func() bool { return tc.round%10 == 0 && tc.countDead() == 0 })
			require.True(t, ok)
			t.Logf("members %d: both sides settled after %v, merged after %v", n, settleTime, mergeTime)
			tc.advance(5 * time.Second)
			require.Zero(t, tc.countDead())
			tc.requireNoDeathDeclaredWithinSide(t, dataCentre)
		})
	}
}

// requireNoDeathDeclaredWithinSide checks that no member ever declared a member of its own side dead.
func (tc *testCluster) requireNoDeathDeclaredWithinSide(t *testing.T, dataCentre func(string) string) {
	for _, line := range tc.changeLog {
		w := strings.Fields(line)
		if w[2] == "died" {
			require.NotEqual(t, dataCentre(w[1]) == "dc-0", dataCentre(w[3]) == "dc-0", "%s\n%s", line, strings.Join(tc.changeLog[:min(len(tc.changeLog), 40)], "\n"))
		}
	}
}

// TestLeavingMemberIsKnownToAll guards against a leaving member that others still send new work after 2 s.
func TestLeavingMemberIsKnownToAll(t *testing.T) {
	t.Parallel()
	for _, n := range []int{2, 9, 420} {
		tc := newTestCluster(n, 1)
		tc.advance(2 * time.Second)
		id := tc.ids[1]
		tc.tables[id].Leave()
		took, ok := tc.advanceUntil(5*time.Second, func() bool { return tc.countHolding(id, Leaving) == n-1 })
		require.True(t, ok)
		t.Logf("members %d: known to all as leaving after %v", n, took)
		require.LessOrEqual(t, took, 2*time.Second)
		tc.down[id] = true
		tc.advance(4 * time.Second)
		require.Equal(t, n-1, tc.countHolding(id, Dead))
		require.Contains(t, strings.Join(tc.changeLog, "\n"), "left "+id)
	}
}

// TestRevisionReachesAllMembers guards against a catalogue revision that takes more than the allowed 9 s.
func TestRevisionReachesAllMembers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		n     int
		limit time.Duration
	}{{9, time.Second}, {420, 9 * time.Second}} {
		tc := newTestCluster(c.n, 1)
		tc.advance(2 * time.Second)
		tc.revisions[tc.ids[0]] = 7
		took, ok := tc.advanceUntil(20*time.Second, func() bool {
			for _, id := range tc.ids {
				if tc.revisions[id] != 7 {
					return false
				}
			}
			return true
		})
		require.True(t, ok)
		t.Logf("members %d: in force everywhere after %v", c.n, took)
		require.LessOrEqual(t, took, c.limit)
	}
}

// TestRankGivesAllMembersTheSameHolders guards against a number of key holders that grows with the cluster.
func TestRankGivesAllMembersTheSameHolders(t *testing.T) {
	t.Parallel()
	for _, n := range []int{1, 3, 9, 420} {
		tc := newTestCluster(n, 1)
		tc.advance(2 * time.Second)
		holders := map[string]bool{}
		for _, id := range tc.ids {
			for _, m := range RankByRendezvousHash(tc.tables[id].View().Live(), "catalogue", 2) {
				holders[m.ID] = true
			}
		}
		require.Len(t, holders, min(n, 2))
	}
}

// TestDeathNeedsTwoReports guards against a death declared on one monitor's report, or delayed after two reports.
func TestDeathNeedsTwoReports(t *testing.T) {
	tc := newTestCluster(9, 1)
	tc.advance(2 * time.Second)
	// The table has no direct contact with the member, only its monitors' reports, so that nothing refutes them.
	table := tc.tables[tc.ids[0]]
	suspect := ""
	for id, r := range table.records {
		if table.heartbeatTargets[id] == nil && !r.isSuspected() {
			suspect = id
		}
	}
	monitors := table.rings.monitors(suspect)
	reportFrom := func(monitor int) {
		n := table.records[suspect].Note
		n.State, n.Reporter = Suspect, monitors[monitor]
		table.applyNote(tc.now, n)
	}
	stateAfterStep := func() State {
		tc.now = tc.now.Add(100 * time.Millisecond)
		table.detectPause(tc.now)
		table.declareConfirmedDeaths(tc.now)
		return table.records[suspect].State
	}
	for range 30 {
		reportFrom(0)
		require.Equal(t, Suspect, stateAfterStep())
	}
	reportFrom(1)
	reportedAt := tc.now
	for stateAfterStep() != Dead {
		require.Less(t, tc.now.Sub(reportedAt), 2*time.Second)
	}
	require.GreaterOrEqual(t, tc.now.Sub(reportedAt), DefaultTiming().RefuteTimeout)
}

// TestSameSeedGivesSameDecisions guards against decisions that depend on anything but the inputs.
func TestSameSeedGivesSameDecisions(t *testing.T) {
	simulate := func() []string {
		tc := newTestCluster(20, 3)
		tc.dropped = func(string, string) bool { return tc.random.IntN(4) == 0 }
		tc.advance(4 * time.Second)
		tc.down[tc.ids[4]] = true
		tc.advance(6 * time.Second)
		return tc.changeLog
	}
	first := simulate()
	require.NotEmpty(t, first)
	require.Equal(t, first, simulate())
}

// TestEachMemberHasEnoughMonitors guards against members with too few monitors to report a death twice.
func TestEachMemberHasEnoughMonitors(t *testing.T) {
	for n := 2; n <= 60; n++ {
		tc := newTestCluster(n, 1)
		r := &tc.tables[tc.ids[0]].rings
		for _, id := range tc.ids {
			monitors := r.monitors(id)
			require.GreaterOrEqual(t, len(monitors), min(2, n-1))
			for _, m := range monitors {
				require.Contains(t, r.targets(m), id)
			}
			require.LessOrEqual(t, len(r.targets(id)), RingCount+1)
		}
	}
}
