package instance

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDeath guards against a dead member that is found late, or by some members only.
func TestDeath(t *testing.T) {
	t.Parallel()
	for _, n := range []int{2, 3, 9, 100, 420} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(n, 1)
			f.run(3 * time.Second)
			victim := f.ids[n/2]
			f.down[victim] = true
			first, ok := f.until(5*time.Second, func() bool { return f.seen(victim, Dead) > 0 })
			require.True(t, ok)
			rest, ok := f.until(5*time.Second, func() bool { return f.seen(victim, Dead) == n-1 })
			require.True(t, ok)
			t.Logf("members %d: first %v, all %v", n, first, first+rest)
			require.LessOrEqual(t, first, 2*time.Second)
			require.LessOrEqual(t, first+rest, 3*time.Second)
			require.Equal(t, n-1, f.deaths())
		})
	}
}

// TestNoFalseDeath guards against deaths declared because of links that lose messages.
func TestNoFalseDeath(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		n    int
		lost func(f *fleet) func(from, to string) bool
	}{
		{"one link cut both ways", 9, func(f *fleet) func(string, string) bool {
			a, b := f.ids[0], f.tables[f.ids[0]].rings.targets(f.ids[0])[0]
			return func(from, to string) bool { return from == a && to == b || from == b && to == a }
		}},
		{"one link cut one way", 3, func(f *fleet) func(string, string) bool {
			return func(from, to string) bool { return from == f.ids[0] && to == f.ids[1] }
		}},
		{"answers of one link cut", 3, func(f *fleet) func(string, string) bool {
			return func(from, to string) bool { return from == f.ids[1] && to == f.ids[0] }
		}},
		{"two monitors cut from one member", 9, func(f *fleet) func(string, string) bool {
			b := f.ids[4]
			m := f.tables[b].rings.monitors(b)[:2]
			return func(from, to string) bool {
				return to == b && (from == m[0] || from == m[1]) || from == b && (to == m[0] || to == m[1])
			}
		}},
		{"a tenth of all messages lost", 9, func(f *fleet) func(string, string) bool {
			return func(string, string) bool { return f.random.IntN(10) == 0 }
		}},
		{"half the messages of one member lost", 100, func(f *fleet) func(string, string) bool {
			return func(from, to string) bool { return (from == f.ids[7] || to == f.ids[7]) && f.random.IntN(2) == 0 }
		}},
	}
	for _, c := range cases {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(c.name, " ", seed), func(t *testing.T) {
				f := newFleet(c.n, seed)
				f.run(2 * time.Second)
				f.lost = c.lost(f)
				for range 20 {
					f.run(time.Second)
					require.Zero(t, f.deaths(), strings.Join(f.log, "\n"))
				}
			})
		}
	}
}

// TestPause guards against a paused member that declares others dead, or that does not come back in the same incarnation.
func TestPause(t *testing.T) {
	f := newFleet(9, 1)
	f.run(2 * time.Second)
	paused := f.ids[3]
	f.down[paused] = true
	f.run(10 * time.Second)
	require.Equal(t, 8, f.seen(paused, Dead))
	before := f.tables[paused].View()
	require.Len(t, before.Live(), 9, "a paused member keeps its view")
	f.down[paused] = false
	took, ok := f.until(5*time.Second, func() bool { return f.seen(paused, Alive) == 8 })
	require.True(t, ok)
	t.Logf("back after %v", took)
	f.run(3 * time.Second)
	require.Zero(t, f.deaths())
	require.EqualValues(t, 1, f.tables[paused].View().Self.Incarnation)
	require.Contains(t, strings.Join(f.log, "\n"), paused+" paused "+paused)
}

// TestNewIncarnation guards against a restarted member that is held dead, or for its former self.
func TestNewIncarnation(t *testing.T) {
	f := newFleet(9, 1)
	f.run(2 * time.Second)
	id := f.ids[5]
	f.down[id] = true
	f.run(5 * time.Second)
	m := memberOf(5, 9)
	m.Incarnation = 2
	f.tables[id], f.down[id] = NewTable(m, DefaultTiming()), false
	f.tables[id].AddProbeCandidates([]Member{{ID: f.ids[0], Address: memberOf(0, 9).Address, Incarnation: 1, State: Alive}})
	_, ok := f.until(15*time.Second, func() bool { return f.seen(id, Alive) == 8 && len(f.tables[id].View().Live()) == 9 })
	require.True(t, ok, strings.Join(f.log, "\n"))
	for _, other := range f.ids {
		got, _ := f.tables[other].View().Member(id)
		require.EqualValues(t, 2, got.Incarnation)
	}
}

// TestDataCentreCut guards against a side that stops working or does not merge again.
func TestDataCentreCut(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		n    int
		hold time.Duration
	}{{3, 5 * time.Second}, {9, 0}, {9, 5 * time.Second}, {99, 0}, {99, 5 * time.Second}, {420, 5 * time.Second}} {
		n := c.n
		t.Run(fmt.Sprint(n, " held ", c.hold), func(t *testing.T) {
			f := newFleet(n, 1)
			f.run(2 * time.Second)
			centre := func(id string) string { return f.tables[id].self.DataCentre }
			f.lost = func(from, to string) bool { return (centre(from) == "dc-0") != (centre(to) == "dc-0") }
			sides := func() bool {
				for _, id := range f.ids {
					want := n / 3
					if centre(id) != "dc-0" {
						want = n - n/3
					}
					if len(f.tables[id].View().Live()) != want {
						return false
					}
				}
				return true
			}
			cut, ok := f.until(30*time.Second, func() bool { return f.round%10 == 0 && sides() })
			require.True(t, ok)
			f.run(c.hold)
			require.True(t, sides(), "the sides must stay as they are")
			f.requireNoDeathWithin(t, centre)
			f.lost = func(string, string) bool { return false }
			merged, ok := f.until(time.Minute, func() bool { return f.round%10 == 0 && f.deaths() == 0 })
			require.True(t, ok)
			t.Logf("members %d: both sides settled after %v, merged after %v", n, cut, merged)
			f.run(5 * time.Second)
			require.Zero(t, f.deaths())
			f.requireNoDeathWithin(t, centre)
		})
	}
}

// requireNoDeathWithin guards against members of one side that hold each other dead, at any time.
func (f *fleet) requireNoDeathWithin(t *testing.T, centre func(string) string) {
	for _, line := range f.log {
		w := strings.Fields(line)
		if w[2] == "died" {
			require.NotEqual(t, centre(w[1]) == "dc-0", centre(w[3]) == "dc-0", "%s\n%s", line, strings.Join(f.log[:min(len(f.log), 40)], "\n"))
		}
	}
}

// TestLeave guards against a leaving member that others still give new work to after 2 s.
func TestLeave(t *testing.T) {
	t.Parallel()
	for _, n := range []int{2, 9, 420} {
		f := newFleet(n, 1)
		f.run(2 * time.Second)
		id := f.ids[1]
		f.tables[id].Leave()
		took, ok := f.until(5*time.Second, func() bool { return f.seen(id, Leaving) == n-1 })
		require.True(t, ok)
		t.Logf("members %d: all know of the leave after %v", n, took)
		require.LessOrEqual(t, took, 2*time.Second)
		f.down[id] = true
		f.run(4 * time.Second)
		require.Equal(t, n-1, f.seen(id, Dead))
		require.Contains(t, strings.Join(f.log, "\n"), "left "+id)
	}
}

// TestRevisionSpread guards against a catalogue revision that takes more than its 9 s.
func TestRevisionSpread(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		n     int
		limit time.Duration
	}{{9, time.Second}, {420, 9 * time.Second}} {
		f := newFleet(c.n, 1)
		f.run(2 * time.Second)
		f.revision[f.ids[0]] = 7
		took, ok := f.until(20*time.Second, func() bool {
			for _, id := range f.ids {
				if f.revision[id] != 7 {
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

// TestHolders guards against a number of watch holders that grows with the fleet.
func TestHolders(t *testing.T) {
	t.Parallel()
	for _, n := range []int{1, 3, 9, 420} {
		f := newFleet(n, 1)
		f.run(2 * time.Second)
		holders := map[string]bool{}
		for _, id := range f.ids {
			for _, m := range RankByRendezvousHash(f.tables[id].View().Live(), "catalogue", 2) {
				holders[m.ID] = true
			}
		}
		require.Len(t, holders, min(n, 2))
	}
}

// TestReports guards against a death by the report of one monitor, and one that waits for more than two.
func TestReports(t *testing.T) {
	f := newFleet(9, 1)
	f.run(2 * time.Second)
	// The table hears of the member only by what monitors say, so that nothing refutes it.
	a := f.tables[f.ids[0]]
	victim := ""
	for id, r := range a.records {
		if a.watches[id] == nil && !r.suspected() {
			victim = id
		}
	}
	monitors := a.rings.monitors(victim)
	said := func(by int) {
		n := a.records[victim].Note
		n.State, n.Reporter = Suspect, monitors[by]
		a.take(f.now, n)
	}
	state := func() State {
		f.now = f.now.Add(100 * time.Millisecond)
		a.noticePause(f.now)
		a.judge(f.now)
		return a.records[victim].State
	}
	for range 30 {
		said(0)
		require.Equal(t, Suspect, state())
	}
	said(1)
	begun := f.now
	for state() != Dead {
		require.Less(t, f.now.Sub(begun), 2*time.Second)
	}
	require.GreaterOrEqual(t, f.now.Sub(begun), DefaultTiming().RefuteTimeout)
}

// TestSameSeedSameLog guards against decisions that depend on anything but their inputs.
func TestSameSeedSameLog(t *testing.T) {
	play := func() []string {
		f := newFleet(20, 3)
		f.lost = func(string, string) bool { return f.random.IntN(4) == 0 }
		f.run(4 * time.Second)
		f.down[f.ids[4]] = true
		f.run(6 * time.Second)
		return f.log
	}
	first := play()
	require.NotEmpty(t, first)
	require.Equal(t, first, play())
}

// TestMonitors guards against members that have too few monitors for a death to be reported twice.
func TestMonitors(t *testing.T) {
	for n := 2; n <= 60; n++ {
		f := newFleet(n, 1)
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
