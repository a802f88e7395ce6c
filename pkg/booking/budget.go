package booking

import "time"

const (
	// RetryRatio is the number of retries allowed for each call. At a tenth, a back end that fails
	// every call sees its load grow by a tenth instead of doubling.
	RetryRatio = 0.1
	// RetryBurst is the largest number of unused retries that accumulate, so that an entry with
	// little traffic can retry too.
	RetryBurst = 10
)

// RetryBudget is a token bucket of retries that each new call refills by Ratio tokens.
type RetryBudget struct {
	Ratio       float64
	Burst       float64
	tokens      float64
	initialised bool
}

// RecordRequest counts the first attempt of a call.
func (b *RetryBudget) RecordRequest() {
	if !b.initialised {
		b.initialised, b.tokens = true, b.Burst
	}
	b.tokens = min(b.tokens+b.Ratio, b.Burst)
}

// AllowRetry consumes one retry from the budget and reports whether one was available.
func (b *RetryBudget) AllowRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

const (
	// initialHedgeDelay applies until the first response time has been observed.
	initialHedgeDelay = 100 * time.Millisecond
	minHedgeDelay     = 5 * time.Millisecond
	// quantileStep is the step of the quantile estimate relative to its value.
	quantileStep  = 0.05
	hedgeQuantile = 0.95
)

// HedgeDelay estimates the 95th percentile of response times; a hedged call is sent after that
// delay.
type HedgeDelay struct{ value time.Duration }

// Observe updates the estimate with the response time of one call.
func (d *HedgeDelay) Observe(took time.Duration) {
	if d.value == 0 {
		d.value = max(2*took, minHedgeDelay)
		return
	}
	step := float64(d.value) * quantileStep
	if took > d.value {
		d.value += time.Duration(step * hedgeQuantile)
	} else {
		d.value -= time.Duration(step * (1 - hedgeQuantile))
	}
	d.value = max(d.value, minHedgeDelay)
}

// Estimate returns the current estimate.
func (d *HedgeDelay) Estimate() time.Duration {
	if d.value == 0 {
		return initialHedgeDelay
	}
	return d.value
}
