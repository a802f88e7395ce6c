package server

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// maxAttempts bounds the attempts of one repeatable call.
const maxAttempts = 3

// entryRetryState holds one instance's retry budget and hedge delay for the repeatable calls of one entry.
type entryRetryState struct {
	mu         sync.Mutex
	budget     booking.RetryBudget
	hedgeDelay booking.HedgeDelay
}

func (b *entryRetryState) recordRequest() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordRequest()
	return b.hedgeDelay.Estimate()
}

func (b *entryRetryState) allowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.AllowRetry()
}

func (b *entryRetryState) observeLatency(took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hedgeDelay.Observe(took)
}

// repeatableRun is one repeatable call with its attempts.
type repeatableRun struct {
	*call
	server       *Server
	retries      *entryRetryState
	triedTargets []string
	inFlight     int
	mayHaveRun   bool
	responses    chan attemptResponse
}

type attemptResponse struct {
	targetResponse
	target string
	took   time.Duration
	err    *sendError
}

// runRepeatable sends a repeatable call, and sends it to another target when it fails or takes unusually long.
func (s *Server) runRepeatable(ctx context.Context, c *call) (*booking.Result, error) {
	if s.calls.isMarked(c.digest) {
		return nil, crashesTargetsRefusal()
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	r := &repeatableRun{call: c, server: s, retries: s.calls.retryState(c.entry.Name), responses: make(chan attemptResponse, maxAttempts)}
	hedge := time.NewTimer(r.retries.recordRequest())
	defer hedge.Stop()
	if !r.startAttempt(ctx, "first") {
		return nil, noTargetRefusal(0)
	}
	for {
		select {
		case a := <-r.responses:
			r.inFlight--
			if a.err == nil && !a.notRun && !isRetryableStatus(a.Status) {
				r.retries.observeLatency(a.took)
				r.server.recordProgress(r.id, 1, time.Now())
				return a.Result, nil
			}
			r.mayHaveRun = r.mayHaveRun || !a.certainlyNotRun()
			if r.retry(ctx, "failed") || r.inFlight > 0 {
				continue
			}
			return r.finalFailure(a)
		case <-hedge.C:
			// The slow attempt continues; the first response is used.
			r.retry(ctx, "slow")
		case <-ctx.Done():
			return nil, unknownOutcomeRefusal("deadline", true)
		}
	}
}

func isRetryableStatus(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// retry starts a further attempt if the budget, the deadline and the crash marks allow it.
func (r *repeatableRun) retry(ctx context.Context, reason string) bool {
	if len(r.triedTargets) >= maxAttempts || ctx.Err() != nil || r.server.calls.isMarked(r.digest) || !r.retries.allowRetry() {
		return false
	}
	return r.startAttempt(ctx, reason)
}

func (r *repeatableRun) startAttempt(ctx context.Context, reason string) bool {
	s := r.server
	version := s.currentVersion(r.call)
	choice, ok := s.Router.Choose(TargetQuery{Now: time.Now(), Entry: r.entry, Version: version, Avoid: r.triedTargets, Retry: len(r.triedTargets) > 0})
	if !ok {
		return false
	}
	if slices.Contains(r.triedTargets, choice.Target.Name) && r.inFlight > 0 {
		choice.Release()
		return false
	}
	s.markPlaced(r.id)
	r.triedTargets = append(r.triedTargets, choice.Target.Name)
	r.inFlight++
	s.writeCallEvent(r.call, timeline.Event{Kind: "call_attempt_begun", Version: version, Target: choice.Target.Name, Attempt: len(r.triedTargets), Decision: "send", Why: reason})
	startedAt := time.Now()
	go func() {
		defer choice.Release()
		a, err := s.sendRepeatable(ctx, choice.Target, r.call)
		s.recordVersionEvidence(ctx, r.call, version, choice.Target.Name, time.Since(startedAt), a.status(), err)
		choice.Placement.recordCallEnd(ctx, err)
		r.responses <- attemptResponse{a, choice.Target.Name, time.Since(startedAt), err}
	}()
	return true
}

// status returns the response's status, or 0 without a response.
func (a targetResponse) status() int {
	if a.Result == nil {
		return 0
	}
	return a.Status
}

// certainlyNotRun reports whether it is certain that the target did not run the call.
func (a *attemptResponse) certainlyNotRun() bool {
	if a.err != nil {
		return a.err.NotRun
	}
	return a.notRun
}

// finalFailure returns the result or the refusal that states what is known about the attempts' effects.
func (r *repeatableRun) finalFailure(a attemptResponse) (*booking.Result, error) {
	switch {
	case !r.mayHaveRun:
		return nil, noTargetRefusal(len(r.triedTargets))
	case r.server.calls.isMarked(r.digest):
		f := crashesTargetsRefusal()
		f.Outcome = generation.Unknown
		return nil, f
	case a.err == nil && !a.notRun:
		return a.Result, nil
	case a.err == nil:
		return nil, unknownOutcomeRefusal("answer_lost", true)
	}
	return nil, unknownOutcomeRefusal(unknownOutcomeCode(a.err.Code), true)
}

func unknownOutcomeCode(code string) string {
	if _, ok := unknownOutcomeMessages[code]; ok {
		return code
	}
	return "answer_lost"
}

// sendRepeatable sends a repeatable call to a target.
func (s *Server) sendRepeatable(ctx context.Context, t catalogue.Target, c *call) (targetResponse, *sendError) {
	req, err := c.httpRequest(ctx, t)
	if err != nil {
		return targetResponse{}, &sendError{NotRun: true, Code: "invalid_call", Err: err}
	}
	_, unregister := s.calls.registerRequest(t.Name, c.digest, 0, nil)
	defer unregister()
	connected := false
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}))
	res, err := s.Client.Do(req)
	if err == nil {
		defer res.Body.Close()
		var a targetResponse
		if a, err = s.readResponse(res); err == nil {
			s.calls.recordSuccess(c.digest)
			return a, nil
		}
	}
	if !connected {
		return targetResponse{}, &sendError{NotRun: true, Code: "target_unreachable", Err: err}
	}
	return targetResponse{}, s.classifyLoss(ctx, t, err)
}
