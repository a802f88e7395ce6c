package workload

import (
	"math/bits"
	"slices"
	"time"
)

const (
	usualSamples = 64
	usualEnough  = 8 // samples, until which a default is used
	loadClasses  = 8 // powers of two of the streams at a target
)

// usualTime is the median of the latest times per unit of work.
type usualTime struct {
	samples [usualSamples]float64 // ring, in nanoseconds
	n, next int
	median  float64
}

func (u *usualTime) record(x float64) {
	u.samples[u.next] = x
	u.next = (u.next + 1) % usualSamples
	u.n = min(u.n+1, usualSamples)
	sorted := u.samples
	slices.Sort(sorted[:u.n])
	u.median = middle(sorted[:u.n])
}

func (u *usualTime) learned() bool { return u.n >= usualEnough }

func (u *usualTime) time(fallback time.Duration) time.Duration {
	if !u.learned() {
		return fallback
	}
	// Rates are divided by it.
	return max(time.Duration(u.median), time.Nanosecond)
}

// loadClass returns the class of a target with the given number of streams; steps take longer if there are more.
func loadClass(streams float64) int {
	n := uint64(min(max(streams, 1), 1<<loadClasses))
	return min(bits.Len64(n)-1, loadClasses-1)
}
