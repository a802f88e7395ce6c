package usage

import (
	"context"
	"maps"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/feed"
	"bambooferry.example/bambooferry/pkg/timeline"
	"bambooferry.example/bambooferry/pkg/usage"
)

func present() int64 { return usage.WindowOf(time.Now(), testWindow) }

// Guards against windows that are missing, late, off, or that follow a wall clock that is ahead, behind, or jumps, when
// messages are lost as well.
func TestWindowsAreReported(t *testing.T) {
	for name, wrong := range map[string]func(step int) (holder, other time.Duration){
		"right clocks":        func(int) (a, b time.Duration) { return 0, 0 },
		"holder ahead":        func(int) (a, b time.Duration) { return 2 * time.Second, 0 },
		"holder behind":       func(int) (a, b time.Duration) { return -2 * time.Second, 0 },
		"holder jumps, back":  func(step int) (a, b time.Duration) { return time.Duration(step%2) * 2 * time.Second, 0 },
		"minority jumps back": func(step int) (a, b time.Duration) { return 0, -time.Duration(step%2) * 3 * time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, 5)
				for step := range 6 {
					f.mu.Lock()
					f.loss = 0.1
					f.nodes[addressOf(0)].wrong, _ = wrong(step)
					_, f.nodes[addressOf(3)].wrong = wrong(step)
					f.mu.Unlock()
					f.serve(4 * time.Second)
				}
				f.requireReported(present()-4, present()-1)
				require.Zero(t, f.log.count("usage_window_skipped"))
			})
		})
	}
}

// Guards against a second, different report, or a missing one, when the holder is killed between the record and the
// sending, or between the sending and the answer, and against counts that are lost with the duty.
func TestHolderIsKilled(t *testing.T) {
	for name, killAt := range map[string]bool{"before the sending": false, "before the answer": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, 5)
				f.serve(9 * time.Second)
				first, killed := present(), false
				f.onReport = func(ctx context.Context, executed bool) error {
					if executed != killAt || killed {
						return nil
					}
					killed = true
					f.kill(0)
					<-ctx.Done()
					return ctx.Err()
				}
				f.serve(4 * time.Second)
				require.True(t, killed)
				// The next candidate has the counts that the killed instance had told.
				f.elect(1)
				f.serve(12 * time.Second)
				f.requireReported(first, present()-2)
			})
		})
	}
}

// Guards against a call that goes on after its term has ended, and against reports that are lost with it.
func TestTermEndsWhileReportIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3)
		f.serve(9 * time.Second)
		first, ended := present(), make(chan time.Time, 1)
		f.onReport = func(ctx context.Context, executed bool) error {
			if executed {
				return nil
			}
			<-ctx.Done()
			ended <- time.Now()
			return ctx.Err()
		}
		f.serve(3 * time.Second)
		f.mu.Lock()
		f.onReport = nil
		f.mu.Unlock()
		f.elect(2)
		at := time.Now()
		f.serve(8 * time.Second)
		require.Less(t, (<-ended).Sub(at), 300*time.Millisecond)
		f.requireReported(first, present()-2)
	})
}

// Guards against a second report of a window when the store is restored to a state without its record, and against an end of
// the reports.
func TestStoreIsRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3)
		f.serve(6 * time.Second)
		before := locked(f, func() map[string]feed.Item { return maps.Clone(f.items) })
		f.serve(6 * time.Second)
		restoredIn := present()
		f.restore(before)
		f.elect(1)
		f.serve(19 * time.Second)
		f.requireReported(restoredIn, present()-2)
		for w, list := range f.accepted {
			for _, again := range list {
				require.Equal(t, list[0], again, "window %d", w)
			}
		}
	})
}

// Guards against windows that are lost while the store or the platform is away for a while.
func TestOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3)
		f.serve(9 * time.Second)
		first := present()
		set := func(store bool, report func(context.Context, bool) error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.storeDown, f.onReport = store, report
		}
		set(true, nil)
		f.serve(3 * time.Second)
		set(false, func(context.Context, bool) error { return errDown })
		f.serve(4 * time.Second)
		set(false, nil)
		f.serve(7 * time.Second)
		f.requireReported(first, present()-2)
	})
}

// Guards against counts of an instance that are lost when it ends after it told them, or doubled when it is started again.
func TestInstanceEndsInWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 5)
		f.serve(11 * time.Second)
		first := present()
		time.Sleep(700 * time.Millisecond)
		f.kill(4)
		time.Sleep(time.Second)
		f.start(4)
		f.serve(9 * time.Second)
		f.requireReported(first, present()-2)
	})
}

// Guards against a holder that lacks the counts of a window that has ended, because it was started again at an address that
// the others had told them already.
func TestRestartedCandidateBecomesHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The counts of the two instances that end are lost, since no further candidate is told here.
		f := startFleet(t, 60)
		f.serve(10*time.Second + 900*time.Millisecond)
		f.kill(0)
		f.kill(1)
		f.serve(400 * time.Millisecond)
		f.start(1)
		f.elect(1)
		f.serve(9 * time.Second)
		f.requireReported(present()-3, present()-2)
	})
}

// Guards against a cost of the count for each request.
func TestObserveAllocatesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 1)
		r := f.nodes[addressOf(0)].reporter
		r.Observe(r.Now(), "w")
		require.Zero(t, testing.AllocsPerRun(100, func() { r.Observe(r.Now(), "w") }))
	})
}

// Guards against a report of a window that a holder of the store's former era may have reported: a process that was
// suspended while it read the era must not take the era as known since before the suspension.
func TestEraIsNotDatedBeforeASuspension(t *testing.T) {
	f := &fleet{items: map[string]feed.Item{}, nodes: map[netip.AddrPort]*node{}, accepted: map[int64][]map[string]int64{}, late: map[int64]time.Duration{}, revision: 10}
	n := &node{fleet: f, address: addressOf(0)}
	end := usage.EndOf(1000, testWindow)
	now, suspend := end.Add(-6*time.Second), false
	clock := func() time.Time { return now }
	r := &Reporter{
		Address: n.address, Incarnation: 1, Window: testWindow, KeyPrefix: prefix, Store: n, Tenure: n, Platform: n, Messenger: n,
		Destinations: func() []netip.AddrPort { return nil }, Instances: func() int { return 1 }, Now: clock, WallClock: clock,
		Log: &timeline.Writer{Out: &f.log, Clock: &timeline.Clock{}}, Metrics: metrics.NewSet(),
		Era: func() int64 {
			if suspend {
				suspend, now = false, end.Add(2*time.Second)
				f.restore(map[string]feed.Item{})
			}
			return f.era
		},
	}
	r.init()
	r.plan(t.Context())
	suspend = true
	r.plan(t.Context())
	require.EqualValues(t, 1, f.era)
	f.elect(0)
	r.plan(t.Context())
	r.sending.Wait()
	require.Empty(t, f.accepted, "the window ended before the era was known")
}
