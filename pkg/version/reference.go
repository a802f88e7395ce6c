package version

import (
	"math"
	"time"
)

const (
	// Each bucket covers a twelfth of an octave, so that times that differ by 6% are distinguished, from
	// 0.1 ms to 100 s.
	bucketsPerOctave = 12
	bucketCount      = 20 * bucketsPerOctave
	smallestTime     = 100 * time.Microsecond
	// referenceQuantile is the quantile of the old version's times above which a result is slow.
	referenceQuantile = 0.9
	// referenceMinResults is the number of times that a bound needs.
	referenceMinResults = 20
	// referenceWindow is the number of recent times that determine the bound; the weight of older ones
	// is halved repeatedly, so that the bound follows a general slowdown within about 200 results.
	referenceWindow = 200
)

// reference estimates a quantile of the old version's recent times, the bound above which a time is slow.
type reference struct {
	counts [bucketCount]float64
	total  float64
	bound  time.Duration
}

// isSlow reports whether d is above the current bound.
func (r *reference) isSlow(d time.Duration) bool { return r.bound > 0 && d > r.bound }

// add adds a time of the old version.
func (r *reference) add(d time.Duration) {
	i := 0
	if d > smallestTime {
		i = min(int(math.Log2(float64(d)/float64(smallestTime))*bucketsPerOctave)+1, bucketCount-1)
	}
	r.counts[i]++
	r.total++
	if r.total >= 2*referenceWindow {
		r.total = 0
		for j := range r.counts {
			r.counts[j] /= 2
			r.total += r.counts[j]
		}
	}
}

// updateBound sets the bound from the times added so far.
//
// It is called only between windows: within a window both versions must be measured against the same bound.
func (r *reference) updateBound() {
	if r.total < referenceMinResults {
		return
	}
	sum := 0.0
	for i, n := range r.counts {
		if sum += n; sum >= referenceQuantile*r.total {
			r.bound = time.Duration(float64(smallestTime) * math.Exp2(float64(i)/bucketsPerOctave))
			return
		}
	}
}
