package relay

import (
	"net/http"
	"time"

	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// finish gives the caller the end of the answer.
func (st *streamRun) finish() {
	if st.current != nil {
		st.endAttempt(engine.Result{Cancelled: true}, false, callerGone)
	}
	q, r := st.q, st.relay
	gone := st.q.in.Context().Err() != nil
	switch {
	case st.gen.Done() && st.failure == nil && st.ctx.Err() == nil && !st.broken:
		r.endedStream(st, string(generation.Ran), "whole")
	case gone:
		r.endedStream(st, string(generation.Unknown), callerGone)
		panic(http.ErrAbortHandler)
	case st.headed:
		r.endedStream(st, string(generation.Ran), st.why())
		panic(http.ErrAbortHandler)
	case st.own != nil && st.ctx.Err() == nil:
		r.deliver(st.w, q, st.own)
	default:
		r.refuse(st.w, q, st.refusal())
	}
}

func (st *streamRun) why() string {
	switch {
	case st.ctx.Err() != nil:
		return codeTimeout
	case st.failure != nil:
		return st.failure.Code
	}
	return codeTargetLost
}

// refusal returns the answer to a stream of which nothing was sent.
func (st *streamRun) refusal() *Refusal {
	switch {
	case st.ran == 0 && st.refusals > 0:
		return notRun(codeTargetsRefuse, spreadRetry(refusedRetry))
	case st.ran == 0:
		return notRun(codeNoTarget, spreadRetry(startRetry))
	case st.ctx.Err() != nil:
		return timedOut()
	}
	return &Refusal{Status: http.StatusBadGateway, Code: codeTargetLost, Outcome: generation.Unknown}
}

// status returns the status of a stream that ended whole, or 0.
func (st *streamRun) status() int {
	if st.gen.Done() && st.failure == nil && !st.broken && st.ctx.Err() == nil {
		return http.StatusOK
	}
	return 0
}

// endedStream logs the end of a stream with the number of its events.
func (r *Relay) endedStream(st *streamRun, outcome, why string) {
	now := time.Now()
	r.Log.Write(now, timeline.Event{
		Kind: endKind(outcome, why, st.status()), Request: st.q.ID, Outcome: outcome, Why: why, Entry: st.q.route.Name, Workspace: workspaceOf(st.q), Revision: st.q.table.Version,
		Inputs: []timeline.Input{
			{Name: "events", Value: int64(st.gen.Position)},
			{Name: "took_ms", Value: now.Sub(st.q.begun).Milliseconds()},
			{Name: "attempts", Value: int64(st.q.attempts)},
			{Name: "first_event_ms", Value: st.firstAfter.Milliseconds()},
			{Name: "longest_pause_ms", Value: st.longestPause.Milliseconds()},
			{Name: "after_event", Value: int64(st.q.After)},
		},
	})
}
