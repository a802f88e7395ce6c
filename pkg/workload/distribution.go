package workload

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxValue bounds recorded values; it is 36 minutes in microseconds.
	maxValue = 1<<31 - 1
	// valueDigits is the number of significant decimal digits that are kept of a value.
	valueDigits = 2
	// generationAge is the age at which a generation gives way to a new one if it has enough values.
	generationAge = time.Minute
	// enoughValues is the number of values from which a distribution is used without its fallback.
	enoughValues = 16
)

// distribution is a decaying histogram in two generations: once the newer one is full or old, the older one is dropped. It
// holds one to two times the size of a generation. Histograms are sparse, since a dense one takes 28 KB at two digits.
type distribution struct {
	newer *hdrhistogram.PackedHistogram // nil until the first value
	both  *hdrhistogram.PackedHistogram // the newer and the older generation
	began time.Time                     // of the newer generation
}

// record adds a value to a distribution of generations of the given size.
func (d *distribution) record(now time.Time, v int64, size int) {
	if d.newer == nil {
		d.newer = hdrhistogram.NewPacked(1, maxValue, valueDigits)
		d.both = hdrhistogram.NewPacked(1, maxValue, valueDigits)
	}
	n := d.newer.TotalCount()
	full := n >= int64(size)
	old := n >= enoughValues && now.Sub(d.began) > generationAge
	if full || old {
		d.newer, d.both = d.both, d.newer
		d.newer.Reset()
	}
	// A start in the future is from before the clock stepped back.
	if d.newer.TotalCount() == 0 || d.began.After(now) {
		d.began = now
	}
	v = min(max(v, 0), maxValue)
	// The value is within the range of the histograms, so that recording it can't fail.
	_ = d.newer.RecordValue(v)
	_ = d.both.RecordValue(v)
}

func (d *distribution) total() int {
	if d.both == nil {
		return 0
	}
	return int(d.both.TotalCount())
}

// quantile returns the value that a share q of the recorded ones does not exceed, or 0 without values.
func (d *distribution) quantile(q float64) float64 {
	if d.both == nil {
		return 0
	}
	return float64(d.both.ValueAtPercentile(100 * q))
}

// spread returns the logarithm of the ratio of the quantiles 0.9 and 0.1.
func (d *distribution) spread() float64 {
	return math.Log(max(d.quantile(0.9), 1) / max(d.quantile(0.1), 1))
}
