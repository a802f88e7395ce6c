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
			f := newTestCluster(n, 1)
			f.advance(3 * time.Second)
			victim := f.ids[n/2]
			f.down[victim] = true
			first, ok := f.advanceUntil(5*time.Second, func() bool { return f.countHolding(victim, Dead) > 0 })
			require.True(t, ok)
			rest, ok := f.advanceUntil(5*time.Second, func() bool { return f.countHolding(victim, Dead) == n-1 })
			require.True(t, ok)
			t.Logf("members %d: first %v, all %v", n, first, first+rest)
			require.LessOrEqual(t, first, 2*time.Second)
			require.LessOrEqual(t, first+rest, 3*time.Second)
			require.Equal(t, n-1, f.countDead())
		})
	}
}

// TestLossyLinksCauseNoFalseDeath guards against live members declared dead because links lose messages.
func TestLossyLinksCauseNoFalseDeath(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		n    int
		lost func(f *testCluster) func(from, to string) bool
	}{
		{"one link cut both ways", 9, func(f *testCluster) func(string, string) bool {
			a, b := f.ids[0], f.tables[f.ids[0]].rings.targets(f.ids[0])[0]
			return func(from, to string) bool { return from == a && to == b || from == b && to == a }
		}},
		{"one link cut one way", 3, func(f *testCluster) func(string, string) bool {
			return func(from, to string) bool { return from == f.ids[0] && to == f.ids[1] }
		}},
		{"answers of one link cut", 3, func(f *testCluster) func(string, string) bool {
			return func(from, to string) bool { return from == f.ids[1] && to == f.ids[0] }
		}},
		{"two monitors cut from one member", 9, func(f *testCluster) func(string, string) bool {
			b := f.ids[4]
			m := f.tables[b].rings.monitors(b)[:2]
			return func(from, to string) bool {
				return to == b && (from == m[0] || from == m[1]) || from == b && (to == m[0] || to == m[1])
			}
		}},
		{"a tenth of all messages lost", 9, func(f *testCluster) func(string, string) bool {
			return func(string, string) bool { return f.random.IntN(10) == 0 }
		}},
		{"half the messages of one member lost", 100, func(f *testCluster) func(string, string) bool {
			return func(from, to string) bool { return (from == f.ids[7] || to == f.ids[7]) && f.random.IntN(2) == 0 }
		}},
	}
	for _, c := range cases {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(c.name, " ", seed), func(t *testing.T) {
				f := newTestCluster(c.n, seed)
				f.advance(2 * time.Second)
				f.dropped = c.lost(f)
				for range 20 {
					f.advance(time.Second)
					require.Zero(t, f.countDead(), strings.Join(f.changeLog, "\n"))
				}
			})
		}
	}
}

// TestPausedMemberResumesInSameIncarnation guards against a paused member that declares others dead, or that
// does not become alive again in the same incarnation.
func TestPausedMemberResumesInSameIncarnation(t *testing.T) {
	f := newTestCluster(9, 1)
	f.advance(2 * time.Second)
	paused := f.ids[3]
	f.down[paused] = true
	f.advance(10 * time.Second)
	require.Equal(t, 8, f.countHolding(paused, Dead))
	before := f.tables[paused].View()
	require.Len(t, before.Live(), 9, "a paused member keeps its view")
	f.down[paused] = false
	took, ok := f.advanceUntil(5*time.Second, func() bool { return f.countHolding(paused, Alive) == 8 })
	require.True(t, ok)
	t.Logf("alive again in all views after %v", took)
	f.advance(3 * time.Second)
	require.Zero(t, f.countDead())
	require.EqualValues(t, 1, f.tables[paused].View().Self.Incarnation)
	require.Contains(t, strings.Join(f.changeLog, "\n"), paused+" paused "+paused)
}

// TestRestartedMemberRejoins guards against a restarted member that is held dead or in its former incarnation.
func TestRestartedMemberRejoins(t *testing.T) {
	f := newTestCluster(9, 1)
	f.advance(2 * time.Second)
	id := f.ids[5]
	f.down[id] = true
	f.advance(5 * time.Second)
	m := testMember(5, 9)
	m.Incarnation = 2
	f.tables[id], f.down[id] = NewTable(m, DefaultTiming()), false
	f.tables[id].AddProbeCandidates([]Member{{ID: f.ids[0], Address: testMember(0, 9).Address, Incarnation: 1, State: Alive}})
	_, ok := f.advanceUntil(15*time.Second, func() bool { return f.countHolding(id, Alive) == 8 && len(f.tables[id].View().Live()) == 9 })
	require.True(t, ok, strings.Join(f.changeLog, "\n"))
	for _, other := range f.ids {
		got, _ := f.tables[other].View().Member(id)
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
			f := newTestCluster(n, 1)
			f.advance(2 * time.Second)
			dataCentre := func(id string) string { return f.tables[id].self.DataCentre }
			f.dropped = func(from, to string) bool { return (dataCentre(from) == "dc-0") != (dataCentre(to) == "dc-0") }
			sidesSettled := func() bool {
				for _, id := range f.ids {
					want := n / 3
					if dataCentre(id) != "dc-0" {
						want = n - n/3
					}
					if len(f.tables[id].View().Live()) != want {
						return false
					}
				}
				return true
			}
			settleTime, ok := f.advanceUntil(30*time.Second, func() bool { return f.round%10 == 0 && sidesSettled() })
			require.True(t, ok)
			f.advance(c.holdTime)
			require.True(t, sidesSettled(), "the sides must not change")
			f.requireNoDeathDeclaredWithinSide(t, dataCentre)
			f.dropped = func(string, string) bool { return false }
			mergeTime, ok := f.advanceUntil(time.Minute, func() bool { return f.round%10 == 0 && f.countDead() == 0 })
			require.True(t, ok)
			t.Logf("members %d: both sides settled after %v, merged after %v", n, settleTime, mergeTime)
			f.advance(5 * time.Second)
			require.Zero(t, f.countDead())
			f.requireNoDeathDeclaredWithinSide(t, dataCentre)
		})
	}
}

// requireNoDeathDeclaredWithinSide checks that no member ever declared a member of its own side dead.
func (f *testCluster) requireNoDeathDeclaredWithinSide(t *testing.T, centre func(string) string) {
	for _, line := range f.changeLog {
		w := strings.Fields(line)
		if w[2] == "died" {
			require.NotEqual(t, centre(w[1]) == "dc-0", centre(w[3]) == "dc-0", "%s\n%s", line, strings.Join(f.changeLog[:min(len(f.changeLog), 40)], "\n"))
		}
	}
}

// TestLeavingMemberIsKnownToAll guards against a leaving member that others still send new work after 2 s.
func TestLeavingMemberIsKnownToAll(t *testing.T) {
	t.Parallel()
	for _, n := range []int{2, 9, 420} {
		f := newTestCluster(n, 1)
		f.advance(2 * time.Second)
		id := f.ids[1]
		f.tables[id].Leave()
		took, ok := f.advanceUntil(5*time.Second, func() bool { return f.countHolding(id, Leaving) == n-1 })
		require.True(t, ok)
		t.Logf("members %d: known to all as leaving after %v", n, took)
		require.LessOrEqual(t, took, 2*time.Second)
		f.down[id] = true
		f.advance(4 * time.Second)
		require.Equal(t, n-1, f.countHolding(id, Dead))
		require.Contains(t, strings.Join(f.changeLog, "\n"), "left "+id)
	}
}

// TestRevisionReachesAllMembers guards against a catalogue revision that takes more than the allowed 9 s.
func TestRevisionReachesAllMembers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		n     int
		limit time.Duration
	}{{9, time.Second}, {420, 9 * time.Second}} {
		f := newTestCluster(c.n, 1)
		f.advance(2 * time.Second)
		f.revisions[f.ids[0]] = 7
		took, ok := f.advanceUntil(20*time.Second, func() bool {
			for _, id := range f.ids {
				if f.revisions[id] != 7 {
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
		f := newTestCluster(n, 1)
		f.advance(2 * time.Second)
		holders := map[string]bool{}
		for _, id := range f.ids {
			for _, m := range RankByRendezvousHash(f.tables[id].View().Live(), "catalogue", 2) {
				holders[m.ID] = true
			}
		}
		require.Len(t, holders, min(n, 2))
	}
}

// TestDeathNeedsTwoReports guards against a death declared on one monitor's report, or delayed after two reports.
func TestDeathNeedsTwoReports(t *testing.T) {
	f := newTestCluster(9, 1)
	f.advance(2 * time.Second)
	// The table has no direct contact with the member, only its monitors' reports, so that nothing refutes them.
	a := f.tables[f.ids[0]]
	victim := ""
	for id, r := range a.records {
		if a.heartbeatTargets[id] == nil && !r.isSuspected() {
			victim = id
		}
	}
	monitors := a.rings.monitors(victim)
	reportFrom := func(by int) {
		n := a.records[victim].Note
		n.State, n.Reporter = Suspect, monitors[by]
		a.applyNote(f.now, n)
	}
	stateAfterStep := func() State {
		f.now = f.now.Add(100 * time.Millisecond)
		a.detectPause(f.now)
		a.declareConfirmedDeaths(f.now)
		return a.records[victim].State
	}
	for range 30 {
		reportFrom(0)
		require.Equal(t, Suspect, stateAfterStep())
	}
	reportFrom(1)
	begun := f.now
	for stateAfterStep() != Dead {
		require.Less(t, f.now.Sub(begun), 2*time.Second)
	}
	require.GreaterOrEqual(t, f.now.Sub(begun), DefaultTiming().RefuteTimeout)
}

// TestSameSeedGivesSameDecisions guards against decisions that depend on anything but the inputs.
func TestSameSeedGivesSameDecisions(t *testing.T) {
	simulate := func() []string {
		f := newTestCluster(20, 3)
		f.dropped = func(string, string) bool { return f.random.IntN(4) == 0 }
		f.advance(4 * time.Second)
		f.down[f.ids[4]] = true
		f.advance(6 * time.Second)
		return f.changeLog
	}
	first := simulate()
	require.NotEmpty(t, first)
	require.Equal(t, first, simulate())
}

// TestEachMemberHasEnoughMonitors guards against members with too few monitors to report a death twice.
func TestEachMemberHasEnoughMonitors(t *testing.T) {
	for n := 2; n <= 60; n++ {
		f := newTestCluster(n, 1)
		r := &f.tables[f.ids[0]].rings
		for _, id := range f.ids {
			monitors := r.monitors(id)
			require.GreaterOrEqual(t, len(monitors), min(2, n-1))
			for _, m := range monitors {
				require.Contains(t, r.targets(m), id)
			}
			require.LessOrEqual(t, len(r.targets(id)), RingCount+1)
		}
	}
}
