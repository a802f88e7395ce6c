package relay

import (
	"net/http"
	"time"

	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// finish completes the response to the caller.
func (st *streamHandler) finish() {
	if st.currentAttempt != nil {
		st.endAttempt(engine.RequestResult{Cancelled: true}, false, reasonCallerGone)
	}
	req, r := st.req, st.relay
	callerGone := st.req.http.Context().Err() != nil
	switch {
	case st.gen.Done() && st.failure == nil && st.ctx.Err() == nil && !st.aborted:
		st.write(nil)
		r.logStreamEnd(st, string(generation.Ran), "whole")
	case callerGone:
		r.logStreamEnd(st, string(generation.Unknown), st.req.callerEndReason())
		panic(http.ErrAbortHandler)
	case st.headerSent:
		r.logStreamEnd(st, string(generation.Ran), st.failureReason())
		panic(http.ErrAbortHandler)
	case st.failureResponse != nil && st.ctx.Err() == nil:
		r.deliverResponse(st.w, req, st.failureResponse)
	default:
		r.refuse(st.w, req, st.refusal())
	}
}

func (st *streamHandler) failureReason() string {
	refusal := interruptedRefusal(st.ctx)
	switch {
	case refusal != nil:
		return refusal.Code
	case st.failure != nil:
		return st.failure.Code
	}
	return codeTargetLost
}

// refusal returns the response to a stream of which nothing was sent.
func (st *streamHandler) refusal() *Refusal {
	interrupted := interruptedRefusal(st.ctx)
	marked := st.relay.Crashes.refusal(time.Now(), st.req)
	switch {
	case marked != nil && st.acceptedCount > 0:
		return &Refusal{Status: http.StatusBadGateway, Code: marked.Code, Outcome: generation.Unknown, Part: marked.Part}
	case marked != nil:
		return marked
	case st.backoffRefusal != nil:
		return st.backoffRefusal
	case st.acceptedCount == 0 && st.refusals+st.unreachable > 0:
		return allRefusedRefusal(st.refusals)
	case st.acceptedCount == 0:
		return notRunRefusal(codeNoTarget, jitter(unavailableRetryAfter))
	case interrupted != nil:
		return interrupted
	}
	return &Refusal{Status: http.StatusBadGateway, Code: codeTargetLost, Outcome: generation.Unknown}
}

// status returns the status of a stream that ended completely, or 0.
func (st *streamHandler) status() int {
	if st.gen.Done() && st.failure == nil && !st.aborted && st.ctx.Err() == nil {
		return http.StatusOK
	}
	return 0
}

// logStreamEnd logs the end of a stream with the number of its events.
func (r *Relay) logStreamEnd(st *streamHandler, outcome, reason string) {
	now := time.Now()
	r.Log.Write(now, timeline.Event{
		Kind: endEventKind(outcome, reason, st.status()), Request: st.req.ID, Outcome: outcome, Why: reason, Entry: st.req.route.Name, Workspace: workspaceName(st.req), Revision: st.req.table.Version,
		Inputs: []timeline.Input{
			{Name: "events", Value: int64(st.gen.Position)},
			{Name: "took_ms", Value: now.Sub(st.req.startedAt).Milliseconds()},
			{Name: "attempts", Value: int64(st.req.attemptCount)},
			{Name: "first_event_ms", Value: st.firstEventDelay.Milliseconds()},
			{Name: "longest_pause_ms", Value: st.longestPause.Milliseconds()},
			{Name: "after_event", Value: int64(st.req.LastEventID)},
		},
	})
}
