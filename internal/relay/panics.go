package relay

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// rulePanicked is the rule of a ResponseError for a response whose handling panicked.
const rulePanicked = "panicked"

// logPanic reports a panic that is being recovered by where it happened; its value may hold a part of a request.
func (r *Relay) logPanic(now time.Time, requestID string) {
	r.instruments.recordPanic()
	r.Log.Write(now, timeline.Event{Kind: "panicked", Request: requestID, Why: panicLocation(), Decision: "fail"})
}

// panicLocation returns the line that panicked; it is to be called while the panic is recovered.
func panicLocation() string {
	var pcs [64]uintptr
	frames := runtime.CallersFrames(pcs[:runtime.Callers(1, pcs[:])])
	inPanic := false
	for {
		f, more := frames.Next()
		inRuntime := strings.HasPrefix(f.Function, "runtime.")
		if inPanic && !inRuntime {
			return fmt.Sprintf("%s:%d", filepath.Base(f.File), f.Line)
		}
		inPanic = inPanic || f.Function == "runtime.gopanic"
		if !more {
			return "unknown"
		}
	}
}

// withLock calls f while it holds mu. It is for the work of a request, whose panic is recovered: a lock that stayed held
// would stop all requests.
func withLock(mu sync.Locker, f func()) {
	mu.Lock()
	defer mu.Unlock()
	f()
}

// abortOnPanic ends the connection of a caller whose request panicked; it is to be called with the recovered value.
func (r *Relay) abortOnPanic(v any, requestID string) {
	if v != http.ErrAbortHandler {
		r.logPanic(time.Now(), requestID)
	}
	panic(http.ErrAbortHandler)
}

// runCallGuarded is like runCall, but makes a panic a failure of the attempt, since nothing else would keep it from ending
// the process.
func (a *attempt) runCallGuarded(ctx context.Context) (result *attemptResult) {
	defer func() {
		if recover() == nil {
			return
		}
		now := time.Now()
		a.relay.logPanic(now, a.req.ID)
		if !a.finished {
			a.finish(now, engine.RequestResult{Cancelled: true}, false, rulePanicked)
		}
		result = &attemptResult{attempt: a, err: &ResponseError{Rule: rulePanicked}}
	}()
	return a.runCall(ctx)
}

// endPanicked ends a stream whose handling panicked; it is to be called with the recovered value.
func (st *streamHandler) endPanicked(v any) {
	if v == http.ErrAbortHandler {
		panic(v)
	}
	now := time.Now()
	st.relay.logPanic(now, st.req.ID)
	if st.currentAttempt != nil && !st.currentAttempt.finished {
		st.endAttempt(engine.RequestResult{Cancelled: true}, false, rulePanicked)
	}
	st.releaseReservation(now)
	if st.headerSent {
		st.relay.logStreamEnd(st, string(generation.Ran), rulePanicked)
		panic(http.ErrAbortHandler)
	}
	st.relay.refuse(st.w, st.req, &Refusal{Status: http.StatusBadGateway, Code: codeBadAnswer, Outcome: generation.Unknown})
}
