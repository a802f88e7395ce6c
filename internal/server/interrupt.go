package server

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// finalAnswerTime is the time in which requests that a stop interrupts are answered.
const finalAnswerTime = 250 * time.Millisecond

// errStopTimeout interrupts the requests that are in progress when StopTimeout has passed.
var errStopTimeout = errors.New("stop timeout")

// isInterrupted reports whether a stop has interrupted the request of a context.
func isInterrupted(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopTimeout) }

// interruptible returns a context for a request that ends when a stop interrupts requests. The request's
// body can't be read any more then.
func (s *Server) interruptible(ctx context.Context, w http.ResponseWriter) (context.Context, context.CancelFunc) {
	if s.stopContext == nil {
		// Only Run stops requests.
		return context.WithCancel(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.stopContext, func() {
		cancel(context.Cause(s.stopContext))
		// Ends the read of a body that is still arriving.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// mayOutlastStop reports whether a stop that has begun may interrupt a request with a deadline.
func (s *Server) mayOutlastStop(deadline time.Time) bool {
	at := s.interruptsAt.Load()
	return at != nil && deadline.After(*at)
}

// interruptRefusal returns the answer to an interrupted request whose handler returned err.
func interruptRefusal(err error) *Refusal {
	if f := (*Refusal)(nil); errors.As(err, &f) && f.Outcome == generation.NotRun {
		return leavingRefusal()
	}
	f := newRefusal(http.StatusBadGateway, "leaving", "the instance stopped before the request had ended; it may have run")
	f.Outcome, f.Close = generation.Unknown, true
	return f
}

// leavingRefusal returns the answer to a request that a stopping instance does not run.
func leavingRefusal() *Refusal {
	f := newRefusal(http.StatusServiceUnavailable, "leaving", "the instance is stopping; ask again, another will answer").retryAfter(time.Millisecond)
	f.Close = true
	return f
}

// interrupt ends a stream for its reader; what was delivered is valid.
func (st *stream) interrupt() *Refusal {
	f := interruptRefusal(nil)
	st.writeEvent(time.Now(), timeline.Event{Kind: "request_failed", Decision: "fail", Why: f.Code, Outcome: string(f.Outcome)})
	return f
}
