package booking

import "time"

const (
	// RetryRatio is the share of calls that may be sent once more. At a tenth, a back end that
	// fails every call sees its load grow by a tenth instead of doubling.
	RetryRatio = 0.1
	// RetryBurst is the largest number of retries saved up, so that a quiet entry can retry too.
	RetryBurst = 10
)

// RetryBudget is a token bucket of retries, filled by the calls themselves.
type RetryBudget struct {
	Ratio  float64
	Burst  float64
	tokens float64
	begun  bool
}

// RecordRequest counts a first sending.
func (b *RetryBudget) RecordRequest() {
	if !b.begun {
		b.begun, b.tokens = true, b.Burst
	}
	b.tokens = min(b.tokens+b.Ratio, b.Burst)
}

// AllowRetry takes leave for one more sending and reports whether there was any.
func (b *RetryBudget) AllowRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

const (
	// firstDelay holds until answers were seen.
	firstDelay = 100 * time.Millisecond
	minDelay   = 5 * time.Millisecond
	// quantileGain is the step of the quantile estimate relative to its value.
	quantileGain = 0.05
	hedgeAbove   = 0.95
)

// HedgeDelay estimates the time within which 95 in 100 answers come; a hedged call waits that long.
type HedgeDelay struct{ value time.Duration }

// Observe takes in the time that one answer took.
func (d *HedgeDelay) Observe(took time.Duration) {
	if d.value == 0 {
		d.value = max(2*took, minDelay)
		return
	}
	step := float64(d.value) * quantileGain
	if took > d.value {
		d.value += time.Duration(step * hedgeAbove)
	} else {
		d.value -= time.Duration(step * (1 - hedgeAbove))
	}
	d.value = max(d.value, minDelay)
}

// Estimate returns the present estimate.
func (d *HedgeDelay) Estimate() time.Duration {
	if d.value == 0 {
		return firstDelay
	}
	return d.value
}
