package feed

import (
	"context"
	"sync"
	"time"
)

const (
	// stallTimeout is how long a call to the store may bring no data once its response has begun.
	stallTimeout = time.Second
	// maxCallTime bounds a call whose response keeps arriving.
	maxCallTime = 10 * time.Second
)

type progressKey struct{}

// callProgress is the progress of a call's response.
type callProgress struct {
	mu      sync.Mutex
	timer   *time.Timer
	beganAt time.Time
}

func (p *callProgress) report(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.beganAt.IsZero() {
		p.beganAt = now
	}
	p.timer.Reset(stallTimeout)
}

// withStallTimeout returns a context that ends if a call's response does not begin within a time, or stops
// arriving. A fixed bound for the whole response would make all instances throw away what a busy link has
// brought and begin again, which keeps the link busy.
func withStallTimeout(ctx context.Context, begin time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancelTotal := context.WithTimeout(ctx, maxCallTime)
	ctx, cancel := context.WithCancelCause(ctx)
	p := &callProgress{timer: time.AfterFunc(begin, func() { cancel(context.DeadlineExceeded) })}
	ctx = context.WithValue(ctx, progressKey{}, p)
	return ctx, func() {
		p.timer.Stop()
		cancel(nil)
		cancelTotal()
	}
}

// ReportProgress reports that the response of a call has brought data; ctx is the context of the call.
func ReportProgress(ctx context.Context) {
	if p, ok := ctx.Value(progressKey{}).(*callProgress); ok {
		p.report(time.Now())
	}
}

// responseBegan returns when the response of a call that is complete now began to arrive. What the store did later is not in it.
func responseBegan(ctx context.Context, now time.Time) time.Time {
	p, ok := ctx.Value(progressKey{}).(*callProgress)
	if !ok {
		return now
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.beganAt.IsZero() {
		return now
	}
	return p.beganAt
}

// stallError returns the error of a call, which is context.DeadlineExceeded if its response did not arrive in time.
func stallError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); err != nil && cause == context.DeadlineExceeded {
		return cause
	}
	return err
}
