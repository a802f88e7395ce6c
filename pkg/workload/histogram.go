package workload

import (
	"math"
	"math/bits"
	"time"
)

const (
	// subBuckets is the number of buckets for each power of two: a value is known to 1/16.
	subBuckets = 16
	// maxValue bounds recorded values; it is 36 minutes in microseconds.
	maxValue    = 1<<31 - 1
	bucketCount = (31-5)*subBuckets + 2*subBuckets
	// generationAge is the age at which a generation gives way to a new one if it has enough values.
	generationAge = time.Minute
	// enoughValues is the number of values from which a distribution is used without its fallback.
	enoughValues = 16
)

// histogram counts values in buckets of constant relative width.
type histogram struct {
	counts [bucketCount]uint16
	total  int
}

func bucketOf(v int64) int {
	shift := max(bits.Len64(uint64(v))-5, 0)
	return shift*subBuckets + int(v>>shift)
}

// bucketMiddle returns the middle of the values of a bucket.
func bucketMiddle(bucket int) float64 {
	if bucket < 2*subBuckets {
		return float64(bucket)
	}
	shift := bucket/subBuckets - 1
	low := int64(bucket-shift*subBuckets) << shift
	return float64(low) + float64(int64(1)<<shift-1)/2
}

func (h *histogram) record(v int64) {
	h.counts[bucketOf(min(max(v, 0), maxValue))]++
	h.total++
}

// distribution is a decaying histogram in two generations: once the newer one is full or old, the older one is dropped. It
// holds one to two times the size of a generation.
type distribution struct {
	current, previous histogram
	began             time.Time // of the current generation
}

// record adds a value to a distribution of generations of the given size, which is below 1<<16.
func (d *distribution) record(now time.Time, v int64, size int) {
	full := d.current.total >= size
	old := d.current.total >= enoughValues && now.Sub(d.began) > generationAge
	if full || old {
		d.previous, d.current = d.current, histogram{}
	}
	// A start in the future is from before the clock stepped back.
	if d.current.total == 0 || d.began.After(now) {
		d.began = now
	}
	d.current.record(v)
}

func (d *distribution) total() int { return d.current.total + d.previous.total }

// quantile returns the least value that a share q of the recorded ones does not exceed.
func (d *distribution) quantile(q float64) float64 {
	rank := max(int(math.Ceil(q*float64(d.total()))), 1)
	seen, last := 0, 0
	for i := range d.current.counts {
		n := int(d.current.counts[i]) + int(d.previous.counts[i])
		if n == 0 {
			continue
		}
		seen, last = seen+n, i
		if seen >= rank {
			break
		}
	}
	return bucketMiddle(last)
}

// spread returns the logarithm of the ratio of the quantiles 0.9 and 0.1.
func (d *distribution) spread() float64 {
	return math.Log(max(d.quantile(0.9), 1) / max(d.quantile(0.1), 1))
}
