package work_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/engine"
)

// faultWorld is a small world in which faults are played.
func faultWorld(seed uint64) world {
	return world{seed: seed, deciders: 20, slowness: repeated(60, 1), slots: 12, jobs: arrivals(seed, 0.5*60/(5200*readSeconds), usualStream)}
}

// Guards against decisions that depend on each message.
func TestLostMessages(t *testing.T) {
	w := faultWorld(1)
	usual := play(w, byWork).meanTime()
	w.lossShare = 0.3
	lossy := play(w, byWork).meanTime()
	t.Logf("mean time in progress: %.3f s, %.3f s with 30%% of the messages lost (%.3f)", usual, lossy, lossy/usual)
	require.LessOrEqual(t, lossy, 1.05*usual)
}

// Guards against an instance whose false statements take targets out of use or draw all requests to them.
func TestFalseStatements(t *testing.T) {
	usual := play(faultWorld(1), byWork).meanTime()
	for name, v := range map[string]float64{"negative": -1e9, "huge": 1e18} {
		w := faultWorld(1)
		w.prepare = func(w *world) {
			w.all[3].lie = func(counts map[string]engine.RequestCounts) {
				for _, s := range w.servers[:30] {
					counts[s.name] = engine.RequestCounts{Running: 1, Pending: 1, Read: v, Write: v, Memory: v}
				}
			}
		}
		lied := play(w, byWork).meanTime()
		t.Logf("mean time in progress: %.3f s, %.3f s with %s statements of one in 20 (%.3f)", usual, lied, name, lied/usual)
		require.LessOrEqual(t, lied, 1.1*usual)
	}
}

// Guards against the work of a frozen instance that counts after its requests have ended.
func TestFrozenInstances(t *testing.T) {
	usual := play(faultWorld(1), byWork).meanTime()
	w := faultWorld(1)
	w.prepare = func(w *world) {
		w.schedule(15, func() {
			for _, d := range w.all[:5] {
				d.silent = true
			}
		})
	}
	silent := play(w, byWork).meanTime()
	t.Logf("mean time in progress: %.3f s, %.3f s with 5 of 20 silent (%.3f)", usual, silent, silent/usual)
	require.LessOrEqual(t, silent, 1.1*usual)
}

// Guards against a herd of 300 deciders on the same old news.
func TestBusiestEngineOf300Deciders(t *testing.T) {
	w := faultWorld(300)
	w.deciders = 300
	counts, chosen := play(w, byCounts).busiest, play(w, byWork).busiest
	t.Logf("busiest engine over the mean: %.2f by counts, %.2f by work", counts, chosen)
	require.LessOrEqual(t, chosen, 1.1*counts)
}

// Guards against engines that come back at their addresses with another speed and get as much as before.
func TestSpeedChanges(t *testing.T) {
	w := faultWorld(1)
	w.prepare = func(w *world) {
		for _, s := range w.servers[:6] {
			w.schedule(12, func() { w.change(s, func() { s.slowness = 3 }) })
		}
	}
	played, share := play(w, byWork), 0.0
	for _, j := range played.jobs {
		if j.arrival > 20 && j.target.index < 6 {
			share++
		}
	}
	share /= float64(len(measured(played.jobs, func(j *job) float64 { return j.arrival }))) * (playSeconds - 20) / (playSeconds - warmUp)
	t.Logf("share of streams at the 6 of 60 engines that became slow: %.3f", share)
	require.Less(t, share, 0.05)
	require.Positive(t, share, "they are tried again")
}
