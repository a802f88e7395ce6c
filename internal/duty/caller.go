package duty

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"bambooferry.example/bambooferry/internal/steady"
	"bambooferry.example/bambooferry/pkg/duty"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// scalingShare is the share of the accepted rate that scaling uses at most.
	scalingShare = 0.5
	// rateShare is the share of the accepted rate that is used: calls that are sent with an even distance arrive with
	// an uneven one.
	rateShare = 0.9
	// minCallBackoff and maxCallBackoff bound the time without calls after one that was not accepted.
	minCallBackoff = 200 * time.Millisecond
	maxCallBackoff = 2 * time.Second
	// priorityPause is the time after which scaling checks again whether a usage report is waiting.
	priorityPause = 50 * time.Millisecond
	// limitedHold is the time since the last 429 after which the platform no longer counts as one that limits the calls.
	limitedHold = 5 * time.Second
)

// Platform executes the calls of the duties. The error is a *RefusedError, a *RateError or a *StatusError if the
// platform responded; after any other error, and after a *StatusError, the call may be executed, also later.
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
	// Now returns the present time, that of internal/steady if it is nil.
	Now func() time.Time

	mu sync.Mutex
	// all limits the calls, and part those of a duty that has to leave room for the other one.
	all, part *rate.Limiter
	// usageWaiting is the number of usage reports that wait.
	usageWaiting int
	failures     int
	blockedUntil time.Time
	// limitedAt is when the platform last refused a call for the rate.
	limitedAt time.Time
	belief    belief
}

// belief is how the platform responds, as far as this instance knows.
type belief string

const (
	answering  belief = "answering"
	limiting   belief = "limiting_rate"
	failing    belief = "failing"
	silent     belief = "silent"
	refusing   belief = "refusing_connections"
	unobserved belief = ""
)

// ReportUsage waits until the rate and the state of the platform allow a call, and makes it once if the term still
// holds. The error is a *NotHeldError, a *RefusedError, a *RateError, that of ctx, or one of a call whose outcome is
// unknown.
func (c *Caller) ReportUsage(ctx context.Context, t duty.Term, window int64, counts map[string]int64) error {
	return c.call(ctx, c.Usage, t, func() error {
		return c.Platform.ReportUsage(ctx, c.Instance, t.Token, window, counts)
	})
}

// OrderTargets is ReportUsage for an order of a number of targets.
func (c *Caller) OrderTargets(ctx context.Context, t duty.Term, pool, dataCentre string, n int) error {
	return c.call(ctx, c.Scaling, t, func() error {
		return c.Platform.OrderTargets(ctx, c.Instance, t.Token, pool, dataCentre, n)
	})
}

func (c *Caller) call(ctx context.Context, h *Holder, t duty.Term, send func() error) error {
	if err := c.wait(ctx, h); err != nil {
		return err
	}
	sentAt := c.now()
	if present, ok := h.Term(sentAt); !ok || present.Token != t.Token {
		return &NotHeldError{Duty: h.Name, Token: t.Token}
	}
	err := send()
	if errors.Is(ctx.Err(), context.Canceled) {
		return err
	}
	now := c.now()
	refused := (*RefusedError)(nil)
	if errors.As(err, &refused) {
		h.RecordRefused(now, t.Token)
	}
	if found := c.record(now, err); found == silent || found == refusing {
		h.RecordSilent(now, sentAt)
	} else {
		h.RecordAnswered(now)
	}
	return err
}

// wait waits until a call of a duty may be made.
func (c *Caller) wait(ctx context.Context, h *Holder) error {
	if h == c.Usage {
		c.addWaiting(1)
		defer c.addWaiting(-1)
	}
	for {
		pause := c.reserve(c.now(), h)
		if pause <= 0 {
			return ctx.Err()
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

func (c *Caller) addWaiting(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usageWaiting += n
}

// reserve takes one call of a duty from the accepted rate, or returns the time after which to ask again.
func (c *Caller) reserve(now time.Time, h *Holder) time.Duration {
	shares := c.sharesRate(now, h)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.all == nil {
		perSecond := rate.Limit(c.PerSecond * rateShare)
		c.all, c.part = rate.NewLimiter(perSecond, 1), rate.NewLimiter(perSecond*scalingShare, 1)
	}
	if pause := c.blockedUntil.Sub(now); pause > 0 {
		return pause
	}
	if h != c.Usage && c.usageWaiting > 0 {
		return priorityPause
	}
	all := c.all.ReserveN(now, 1)
	pause := all.DelayFrom(now)
	if !shares {
		if pause > 0 {
			all.CancelAt(now)
		}
		return pause
	}
	part := c.part.ReserveN(now, 1)
	pause = max(pause, part.DelayFrom(now))
	if pause > 0 {
		part.CancelAt(now)
		all.CancelAt(now)
	}
	return pause
}

// sharesRate reports whether a duty has to leave room for the other one: scaling always, and usage reports while another
// instance may make the calls of scaling.
func (c *Caller) sharesRate(now time.Time, h *Holder) bool {
	if h != c.Usage {
		return true
	}
	if c.Scaling == nil {
		return false
	}
	_, ok := c.Scaling.Term(now)
	return !ok
}

// record records the result of a call, and returns what it says of the platform.
func (c *Caller) record(now time.Time, err error) belief {
	found := classify(err)
	c.Metrics.GetOrCreateCounter(fmt.Sprintf("bambooferry_duty_calls_total{result=%q}", found)).Inc()
	c.mu.Lock()
	defer c.mu.Unlock()
	if found == answering {
		c.failures = 0
		if c.belief == limiting && now.Sub(c.limitedAt) < limitedHold {
			return found
		}
	} else {
		backoff := min(2*minCallBackoff<<min(c.failures, 8), maxCallBackoff)
		c.failures++
		c.blockedUntil = now.Add(backoff/2 + rand.N(backoff/2))
	}
	if found == limiting {
		c.limitedAt = now
	}
	if c.belief != found && (c.belief != unobserved || found != answering) {
		c.Log.Write(time.Now(), timeline.Event{Kind: "duty_platform", Decision: string(found), Why: string(c.belief)})
	}
	c.belief = found
	return found
}

// classify returns what the result of a call says of the platform.
func classify(err error) belief {
	refused, limited, status := (*RefusedError)(nil), (*RateError)(nil), (*StatusError)(nil)
	switch {
	case err == nil, errors.As(err, &refused):
		return answering
	case errors.As(err, &limited):
		return limiting
	case errors.As(err, &status):
		return failing
	case errors.Is(err, syscall.ECONNREFUSED):
		return refusing
	}
	return silent
}

func (c *Caller) now() time.Time {
	if c.Now != nil {
		return c.Now()
	}
	return steady.Now()
}
