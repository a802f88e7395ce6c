package feed

import (
	"context"
	"time"
)

const (
	// stallTimeout is how long a call to the store may bring no data once its response has begun.
	stallTimeout = time.Second
	// maxCallTime bounds a call whose response keeps arriving.
	maxCallTime = 10 * time.Second
)

type progressKey struct{}

// withStallTimeout returns a context that ends if a call's response does not begin within a time, or stops
// arriving. A fixed bound for the whole response would make all instances throw away what a busy link has
// brought and begin again, which keeps the link busy.
func withStallTimeout(ctx context.Context, begin time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancelTotal := context.WithTimeout(ctx, maxCallTime)
	ctx, cancel := context.WithCancelCause(ctx)
	t := time.AfterFunc(begin, func() { cancel(context.DeadlineExceeded) })
	ctx = context.WithValue(ctx, progressKey{}, func() { t.Reset(stallTimeout) })
	return ctx, func() {
		t.Stop()
		cancel(nil)
		cancelTotal()
	}
}

// ReportProgress reports that the response of a call has brought data; ctx is the context of the call.
func ReportProgress(ctx context.Context) {
	if report, ok := ctx.Value(progressKey{}).(func()); ok {
		report()
	}
}

// stallError returns the error of a call, which is context.DeadlineExceeded if its response did not arrive in time.
func stallError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); err != nil && cause == context.DeadlineExceeded {
		return cause
	}
	return err
}
