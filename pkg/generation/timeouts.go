package generation

import (
	"math"
	"time"
)

// Bounds of the timeouts that a TimeoutEstimator returns.
const (
	// MinNextToken prevents short scheduling pauses of an engine from being treated as silence.
	MinNextToken = 300 * time.Millisecond
	// MaxNextToken leaves time, within 3 s of a loss, for two timeouts and a first token of 1.1 s
	// on another engine.
	MaxNextToken = 900 * time.Millisecond
	// MinFirstToken is the time to the first token that 95 in 100 requests must not exceed.
	MinFirstToken = 1100 * time.Millisecond
	// MaxFirstToken bounds the wait for an engine that queues the attempt.
	MaxFirstToken = 3 * time.Second
)

const (
	// A stream moves to another engine only after two timeouts in a row. On an engine with gaps of
	// up to 1.5 s, 44 of 4,000 streams did so needlessly with a factor of 1, 9 with 1.25 and 1 with
	// 1.5. The 0.999 quantile with a factor of 2 gave 26 (TestHealthyNoisyStreamsStayOnTheirEngine,
	// seed 7).
	gapQuantile   = 0.9999
	gapFactor     = 1.5
	firstQuantile = 0.99
	firstFactor   = 2
	// minGapSamples and minFirstSamples are the numbers of samples below which a quantile is not
	// reliable.
	minGapSamples   = 256
	minFirstSamples = 32
	// agingSamples is the count at which all counts are halved, so that within some minutes the
	// estimate follows an engine that has become slower or faster. At that count about six samples
	// are above the quantile.
	agingSamples     = 1 << 16
	bucketCount      = 96
	bucketsPerOctave = 8
)

// TimeoutEstimator estimates how long an engine's tokens may take; its zero value is ready for use.
//
// It keeps counts in buckets of 9% width from 1 ms to 4 s, in less than 1 KiB.
type TimeoutEstimator struct {
	gaps        histogram
	firstTokens histogram
}

// ObserveGap records the time between two tokens of one attempt.
func (e *TimeoutEstimator) ObserveGap(d time.Duration) { e.gaps.add(d) }

// ObserveFirstToken records the time from an attempt's acceptance to its first token.
func (e *TimeoutEstimator) ObserveFirstToken(d time.Duration) { e.firstTokens.add(d) }

// Timeouts returns base, replacing the timeouts for which there are enough samples.
func (e *TimeoutEstimator) Timeouts(base Timeouts) Timeouts {
	if e.gaps.count >= minGapSamples {
		base.NextToken = min(max(time.Duration(gapFactor*float64(e.gaps.quantile(gapQuantile))), MinNextToken), MaxNextToken)
	}
	if e.firstTokens.count >= minFirstSamples {
		base.FirstToken = min(max(firstFactor*e.firstTokens.quantile(firstQuantile), MinFirstToken), MaxFirstToken)
	}
	return base
}

// histogram counts durations in logarithmic buckets.
type histogram struct {
	count   float32
	buckets [bucketCount]float32
}

func (h *histogram) add(v time.Duration) {
	i := 0
	if v > time.Millisecond {
		i = min(int(bucketsPerOctave*math.Log2(float64(v)/float64(time.Millisecond))), bucketCount-1)
	}
	h.buckets[i]++
	h.count++
	if h.count >= agingSamples {
		h.halveCounts()
	}
}

func (h *histogram) halveCounts() {
	h.count = 0
	for i := range h.buckets {
		h.buckets[i] /= 2
		h.count += h.buckets[i]
	}
}

// quantile returns the upper edge of the bucket that holds the quantile.
func (h *histogram) quantile(q float64) time.Duration {
	above := h.count * float32(1-q)
	for i := bucketCount - 1; i >= 0; i-- {
		if h.buckets[i] > above {
			return time.Duration(float64(time.Millisecond) * math.Exp2(float64(i+1)/bucketsPerOctave))
		}
		above -= h.buckets[i]
	}
	return 0
}
