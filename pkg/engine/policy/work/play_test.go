package work_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const playSeconds = 40.0

// spreadAbout returns a value with a relative spread about a mean, at least a fifth of the mean.
func spreadAbout(rng *rand.Rand, mean, spread float64) float64 {
	return max(mean*(1+spread*rng.NormFloat64()), mean/5)
}

// arrivals returns jobs at a rate, with what fill sets of each.
func arrivals(seed uint64, perSecond float64, fill func(rng *rand.Rand, j *job)) []*job {
	rng := rand.New(rand.NewPCG(seed, 77))
	var jobs []*job
	for at := 0.0; at < playSeconds; at += rng.ExpFloat64() / perSecond {
		j := &job{id: fmt.Sprint(len(jobs)), arrival: at, decider: rng.IntN(1 << 20)}
		fill(rng, j)
		jobs = append(jobs, j)
	}
	return jobs
}

func usualStream(rng *rand.Rand, j *job) {
	j.read, j.write, j.expected = spreadAbout(rng, 5200, 0.3), spreadAbout(rng, 700, 0.35), 700
}

func evenStream(_ *rand.Rand, j *job) { j.read, j.write, j.expected = 5200, 700, 700 }

// unevenStream is a short prompt or, one in five, one six times as long.
func unevenStream(rng *rand.Rand, j *job) {
	size := 2600.0
	if rng.IntN(5) == 0 {
		size = 15600
	}
	j.read, j.write, j.expected = spreadAbout(rng, size, 0.3), spreadAbout(rng, 700, 0.5), 700
}

// usualCall takes 15 to 30 ms, and one in 30 up to 220 ms.
func usualCall(rng *rand.Rand, j *job) {
	j.call = 0.015 + 0.015*rng.Float64()
	if rng.IntN(30) == 0 {
		j.call = 0.03 + 0.19*rng.Float64()
	}
}

func repeated(n int, values ...float64) []float64 {
	list := make([]float64, n)
	for i := range list {
		list[i] = values[i%len(values)]
	}
	return list
}

// play runs a copy of a world with another kind of decider.
func play(w world, k kind) *world {
	w.kind = k
	jobs := w.jobs
	w.jobs = nil
	for _, j := range jobs {
		c := *j
		w.jobs = append(w.jobs, &c)
	}
	w.run()
	return &w
}

// forDeciders plays with 9, 80 and 300 deciders; with the race detector, with which the larger ones take minutes, only with
// 9. CI also runs these tests without it.
func forDeciders(t *testing.T, check func(t *testing.T, deciders int, seed uint64)) {
	numbers := []int{9, 80, 300}
	if raceDetector {
		numbers = numbers[:1]
	}
	for _, n := range numbers {
		t.Run(fmt.Sprint(n), func(t *testing.T) { check(t, n, uint64(n)) })
	}
}

// Guards against slow engines that get as many streams as fast ones while fast ones have room.
func TestUnevenSpeedsAtLightLoad(t *testing.T) {
	forDeciders(t, func(t *testing.T, n int, seed uint64) {
		w := world{seed: seed, deciders: n, slowness: repeated(280, 0.6, 1, 1.6), slots: 12, jobs: arrivals(seed, 64, usualStream)}
		counts, chosen, ideal := play(w, byCounts).meanTime(), play(w, byWork).meanTime(), play(w, knowingAll).meanTime()
		t.Logf("mean time in progress: %.3f s by counts, %.3f s by work (%.3f), %.3f s knowing all (%.3f)", counts, chosen, chosen/counts, ideal, chosen/ideal)
		require.LessOrEqual(t, chosen, 0.75*counts)
		require.LessOrEqual(t, chosen, 1.1*ideal)
	})
}

// unevenCost is a world of equal engines with prompts of very different lengths.
func unevenCost(n int, seed uint64) world {
	return world{seed: seed, deciders: n, slowness: repeated(120, 1), slots: 24, memory: 100000, objective: 10 * time.Second, jobs: arrivals(seed, 0.7*120/(5200*readSeconds), unevenStream)}
}

// Guards against prompts that wait behind long ones, which counts do not show.
func TestUnevenCost(t *testing.T) {
	forDeciders(t, func(t *testing.T, n int, seed uint64) {
		w := unevenCost(n, seed)
		counts, chosen := play(w, byCounts), play(w, byWork)
		own := quantile(measured(w.jobs, func(j *job) float64 { return j.read * readSeconds }), 0.95)
		t.Logf("time to first event, 95 in 100: %.3f s by counts, %.3f s by work (%.3f), own reading alone %.3f s (%.3f); mean time in progress %.3f, %.3f s (%.3f)",
			counts.firstOutput(0.95), chosen.firstOutput(0.95), chosen.firstOutput(0.95)/counts.firstOutput(0.95), own, own/counts.firstOutput(0.95), counts.meanTime(), chosen.meanTime(), chosen.meanTime()/counts.meanTime())
		require.LessOrEqual(t, chosen.firstOutput(0.95), 0.8*counts.firstOutput(0.95))
	})
}

// Guards against a decider that sends to an engine which it knows to have no room, and against more sends beyond memory
// than by counts where memory is short.
func TestMemoryIsKept(t *testing.T) {
	forDeciders(t, func(t *testing.T, n int, seed uint64) {
		w := unevenCost(n, seed)
		w.memory = 65000
		counts, chosen := play(w, byCounts), play(w, byWork)
		t.Logf("sends beyond 65,000 tokens of memory: %d by counts, %d by work", counts.overMemoryTruly, chosen.overMemoryTruly)
		require.Zero(t, chosen.overMemory)
		require.Less(t, chosen.overMemoryTruly, counts.overMemoryTruly)
	})
}

// Guards against calls that keep going to a server whose machine is slow for a while.
func TestInterference(t *testing.T) {
	forDeciders(t, func(t *testing.T, n int, seed uint64) {
		w := world{seed: seed, deciders: n, slowness: repeated(4, 1), slots: 6, calls: true, jobs: arrivals(seed, 365, usualCall)}
		w.prepare = func(w *world) {
			rng := rand.New(rand.NewPCG(seed, 3))
			for at := 2.0; at < playSeconds; {
				end := at + 0.4 + 0.4*rng.Float64()
				w.schedule(at, func() { w.change(w.servers[0], func() { w.servers[0].slowness = 2.5 }) })
				w.schedule(end, func() { w.change(w.servers[0], func() { w.servers[0].slowness = 1 }) })
				at = end + 1.7 + 3.4*rng.Float64()
			}
		}
		counts, chosen := play(w, byCounts).lateCalls(), play(w, byWork).lateCalls()
		t.Logf("late calls: %.4f by counts, %.4f by work (%.3f)", counts, chosen, chosen/counts)
		require.LessOrEqual(t, chosen, 0.5*counts)
	})
}

// Guards against a loss where all engines and streams are alike, so that counts say all.
func TestEvenTargetsAndCost(t *testing.T) {
	forDeciders(t, func(t *testing.T, n int, seed uint64) {
		w := world{seed: seed, deciders: n, slowness: repeated(120, 1), slots: 24, jobs: arrivals(seed, 0.5*120/(5200*readSeconds), evenStream)}
		counts, chosen := play(w, byCounts), play(w, byWork)
		t.Logf("mean time in progress: %.3f s by counts, %.3f s by work (%.3f); first event, 95 in 100: %.3f, %.3f s",
			counts.meanTime(), chosen.meanTime(), chosen.meanTime()/counts.meanTime(), counts.firstOutput(0.95), chosen.firstOutput(0.95))
		require.LessOrEqual(t, chosen.meanTime(), 1.02*counts.meanTime())
	})
}
