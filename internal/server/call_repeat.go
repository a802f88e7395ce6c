package server

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// maxAttempts bounds the sendings of one repeatable call.
const maxAttempts = 3

// entryBudget is what one instance knows of the repeatable calls of one entry.
type entryBudget struct {
	mu     sync.Mutex
	budget booking.RetryBudget
	delay  booking.HedgeDelay
}

func (b *entryBudget) begin() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordRequest()
	return b.delay.Estimate()
}

func (b *entryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.AllowRetry()
}

func (b *entryBudget) saw(took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delay.Observe(took)
}

// repeat is one repeatable call with its sendings.
type repeat struct {
	*call
	server  *Server
	budget  *entryBudget
	tried   []string
	open    int
	ran     bool
	answers chan repeatAnswer
}

type repeatAnswer struct {
	targetAnswer
	target string
	took   time.Duration
	err    *sendError
}

// repeatCall sends a repeatable call, once more elsewhere when it fails or takes unusually long.
func (s *Server) repeatCall(ctx context.Context, c *call) (*booking.Result, error) {
	if s.calls.marked(c.digest) {
		return nil, crashesTargets()
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	r := &repeat{call: c, server: s, budget: s.calls.budget(c.entry.Name), answers: make(chan repeatAnswer, maxAttempts)}
	hedge := time.NewTimer(r.budget.begin())
	defer hedge.Stop()
	if !r.send(ctx, "first") {
		return nil, noTarget(0)
	}
	for {
		select {
		case a := <-r.answers:
			r.open--
			if a.err == nil && !a.notRun && !retryStatus(a.Status) {
				r.budget.saw(a.took)
				r.server.recordProgress(r.id, 1, time.Now())
				return a.Result, nil
			}
			r.ran = r.ran || !a.unsent()
			if r.more(ctx, "failed") || r.open > 0 {
				continue
			}
			return r.give(a)
		case <-hedge.C:
			// The slow one goes on; whichever answers first is used.
			r.more(ctx, "slow")
		case <-ctx.Done():
			return nil, unknownOutcome("deadline", true)
		}
	}
}

func retryStatus(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// more sends the call once more if the budget, the deadline and the crash marks allow it.
func (r *repeat) more(ctx context.Context, why string) bool {
	if len(r.tried) >= maxAttempts || ctx.Err() != nil || r.server.calls.marked(r.digest) || !r.budget.spend() {
		return false
	}
	return r.send(ctx, why)
}

func (r *repeat) send(ctx context.Context, why string) bool {
	s := r.server
	sent := s.versionOf(r.call)
	choice, ok := s.Router.Choose(TargetQuery{Now: time.Now(), Entry: r.entry, Version: sent, Avoid: r.tried, Retry: len(r.tried) > 0})
	if !ok {
		return false
	}
	if slices.Contains(r.tried, choice.Target.Name) && r.open > 0 {
		choice.Release()
		return false
	}
	s.markPlaced(r.id)
	r.tried = append(r.tried, choice.Target.Name)
	r.open++
	s.noteCall(r.call, timeline.Event{Kind: "call_attempt_begun", Version: sent, Target: choice.Target.Name, Attempt: len(r.tried), Decision: "send", Why: why})
	begun := time.Now()
	go func() {
		defer choice.Release()
		a, err := s.sendPooled(ctx, choice.Target, r.call)
		s.observeCall(ctx, r.call, sent, choice.Target.Name, time.Since(begun), a.status(), err)
		choice.Placement.endCall(ctx, err)
		r.answers <- repeatAnswer{a, choice.Target.Name, time.Since(begun), err}
	}()
	return true
}

// status returns the answer's status, or 0 without an answer.
func (a targetAnswer) status() int {
	if a.Result == nil {
		return 0
	}
	return a.Status
}

// unsent reports whether the target certainly did not run the call.
func (a *repeatAnswer) unsent() bool {
	if a.err != nil {
		return a.err.NotRun
	}
	return a.notRun
}

// give returns the last failure as far as it is known what the sendings did.
func (r *repeat) give(a repeatAnswer) (*booking.Result, error) {
	switch {
	case !r.ran:
		return nil, noTarget(len(r.tried))
	case r.server.calls.marked(r.digest):
		f := crashesTargets()
		f.Outcome = generation.Unknown
		return nil, f
	case a.err == nil && !a.notRun:
		return a.Result, nil
	case a.err == nil:
		return nil, unknownOutcome("answer_lost", true)
	}
	return nil, unknownOutcome(unknownCode(a.err.Code), true)
}

func unknownCode(code string) string {
	if _, ok := unknownText[code]; ok {
		return code
	}
	return "answer_lost"
}

// sendPooled sends a repeatable call over the shared client, whose own retries do no harm here.
func (s *Server) sendPooled(ctx context.Context, t catalogue.Target, c *call) (targetAnswer, *sendError) {
	req, err := c.request(ctx, t)
	if err != nil {
		return targetAnswer{}, &sendError{NotRun: true, Code: "invalid_call", Err: err}
	}
	// The transport by itself repeats a request without a body, or with one it can get
	// again, when a kept connection breaks. Those sendings would not be in the budget.
	req.GetBody = nil
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = io.NopCloser(strings.NewReader(""))
	}
	_, leave := s.calls.running(t.Name, c.digest, 0, nil)
	defer leave()
	connected := false
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}))
	res, err := s.Client.Do(req)
	if err == nil {
		defer res.Body.Close()
		var a targetAnswer
		if a, err = s.readAnswer(res); err == nil {
			s.calls.cleared(c.digest)
			return a, nil
		}
	}
	// A dial may also fail after the transport used a pooled connection, so the error alone does not tell.
	if !connected {
		return targetAnswer{}, &sendError{NotRun: true, Code: "target_unreachable", Err: err}
	}
	return targetAnswer{}, s.lostCall(ctx, t, err)
}
