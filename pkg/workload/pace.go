package workload

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	paceSamples = 31
	// sampleSpacing keeps spells of interference from filling the ring: they last about 0.6 s, and half of the ring lasts
	// 7.5 s at least.
	sampleSpacing = 500 * time.Millisecond
	// minSamples is the number of samples without which a base is only a guess. The pool's median counts as one sample
	// until then.
	minSamples = 3
	// tolerance is the difference of logarithms within which two figures count as the same.
	tolerance = 0.1

	driftAfter = 10 * time.Second
	driftOver  = 10 * time.Second

	// clockStep is how far a recorded time may be ahead. Callers may pass times slightly out of order; what is further
	// ahead was recorded before the clock stepped back.
	clockStep = time.Second

	// runSpacing is the distance of statements that count as independent, in times the persistence of interference.
	runSpacing = 3
)

// pace is what is known of the slowness of one target.
type pace struct {
	address netip.AddrPort
	samples [paceSamples]float64 // ring
	n, next int
	base    float64 // median of the samples, and of the pool's median if there are few

	sampledAt   time.Time // of the latest sample in the ring
	confirmedAt time.Time // of the latest figure
	restartedAt time.Time // statements up to then are of the former process
	latest      Statement
	// anchor is the statement with which the next one is compared to learn the persistence.
	anchor Statement
	// run is the latest independent one of the statements that are the same, and runCount is the number of those.
	run      Statement
	runCount int
	// suspected is set if the target may have been restarted: its base stays a guess until a figure confirms it, or
	// minSamples figures do not and replace it.
	suspected   bool
	unconfirmed []float64
}

// record adds a figure to the ring if its time has come, and reports whether it did.
func (t *pace) record(now time.Time, x, poolMedian float64) bool {
	if t.n > 0 && now.Sub(t.confirmedAt) >= driftAfter+driftOver {
		t.suspect()
	}
	if now.After(t.confirmedAt) {
		t.confirmedAt = now
	}
	if t.suspected {
		return t.recordSuspected(now, x, poolMedian)
	}
	if t.n >= minSamples && now.Sub(t.sampledAt) < sampleSpacing {
		return false
	}
	t.sampledAt = now
	t.samples[t.next] = x
	t.next = (t.next + 1) % paceSamples
	t.n = min(t.n+1, paceSamples)
	t.updateBase(poolMedian)
	return true
}

// suspect records that the target may have been restarted. The former samples are kept, since most silent targets were
// not, and the first samples of a new ring may all be of interference.
func (t *pace) suspect() {
	t.suspected = t.n >= minSamples
	t.unconfirmed = t.unconfirmed[:0]
}

func (t *pace) recordSuspected(now time.Time, x, poolMedian float64) bool {
	if same(x, t.base) {
		t.suspected = false
		return false
	}
	t.unconfirmed = append(t.unconfirmed, x)
	if len(t.unconfirmed) < minSamples {
		return false
	}
	t.replace(now, t.unconfirmed, poolMedian)
	return true
}

// replace replaces all samples.
func (t *pace) replace(now time.Time, samples []float64, poolMedian float64) {
	t.n = copy(t.samples[:], samples)
	t.next = t.n
	t.sampledAt, t.suspected = now, false
	t.updateBase(poolMedian)
}

func (t *pace) updateBase(poolMedian float64) {
	var sorted [paceSamples]float64
	n := copy(sorted[:], t.samples[:t.n])
	if n < minSamples {
		sorted[n] = poolMedian
		n++
	}
	slices.Sort(sorted[:n])
	t.base = middle(sorted[:n])
}

// restart forgets what holds for the former process only.
func (t *pace) restart(now time.Time) {
	t.suspect()
	t.restartedAt, t.confirmedAt = now, now
	t.runCount = 0
	t.latest, t.anchor = Statement{}, Statement{}
}

// forgetFuture drops times that are ahead because the clock has stepped back, and reports whether it did. Without that,
// new figures would be ignored until the clock has caught up. The samples are kept.
func (t *pace) forgetFuture(now time.Time) bool {
	// No other recorded time is later than confirmedAt.
	if t.confirmedAt.Sub(now) <= clockStep {
		return false
	}
	t.confirmedAt = now
	t.sampledAt, t.restartedAt = time.Time{}, time.Time{}
	t.latest, t.anchor, t.runCount = Statement{}, Statement{}, 0
	return true
}

// recordRun follows how long the target has stated the same figure, and takes it as base if that is too long for
// interference: the target was restarted, or its machine has changed.
func (t *pace) recordRun(s Statement, p *persistence, poolMedian float64) {
	switch {
	case t.runCount == 0 || !same(t.run.Slowness, s.Slowness):
		t.run, t.runCount = s, 1
		return
	case s.At.Sub(t.run.At) < runSpacing*p.time():
		return
	}
	t.run, t.runCount = s, t.runCount+1
	if same(t.base, s.Slowness) || t.runCount < p.runStatements(s.Slowness > t.base) {
		return
	}
	t.replace(s.At, []float64{s.Slowness, s.Slowness, s.Slowness}, poolMedian)
}

// baseAt returns the base, which drifts to the pool's median while it is not confirmed.
func (t *pace) baseAt(now time.Time, poolMedian float64) float64 {
	if t.n == 0 {
		return poolMedian
	}
	// The age of a time in the future is not known; see forgetFuture.
	silent := now.Sub(t.confirmedAt).Abs()
	if silent <= driftAfter {
		return t.base
	}
	return t.base + (poolMedian-t.base)*min(float64(silent-driftAfter)/float64(driftOver), 1)
}

func same(a, b float64) bool { return math.Abs(math.Log(a/b)) <= tolerance }

// middle returns the median of sorted values.
func middle(sorted []float64) float64 {
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}
