package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// maxBufferedBody bounds the part of a response that is buffered until it is known to be
	// complete.
	maxBufferedBody = 256 << 10
	// allRefusedRetryAfter is the time after which a caller may retry when all targets have refused or could not
	// be reached.
	allRefusedRetryAfter = 200 * time.Millisecond
	// maxRefusals bounds the refusals of a call after which no further target is tried.
	maxRefusals = 3
)

// attemptResult is the result of one attempt of a call.
type attemptResult struct {
	attempt *attempt
	// body is the response body, or its beginning if unread is set.
	body   []byte
	unread io.Reader
	err    error
	// notRun is set if the target did not run the request.
	notRun bool
}

// deliverable reports whether the response can be passed on: as a success, or as the target's own
// rejection of the content.
func (r *attemptResult) deliverable() bool {
	return r.err == nil && !r.notRun && r.attempt.res.StatusCode < http.StatusInternalServerError
}

// callHandler holds the state of one call across its attempts.
type callHandler struct {
	relay        *Relay
	req          *callerRequest
	w            http.ResponseWriter
	triedTargets []string
	// results receives the results of open attempts.
	results      chan *attemptResult
	openAttempts int
	// possibleRuns is the number of targets that may have run the call.
	possibleRuns int
	// refusals is the number of targets that refused the call, and unreachable that of targets without a connection.
	refusals    int
	unreachable int
	lastFailure *attemptResult
	// received are the results so far.
	received []*attemptResult
}

// serveCall sends a call until it has a response, as often as its kind allows.
func (r *Relay) serveCall(ctx context.Context, w http.ResponseWriter, req *callerRequest) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sendCtx := ctx
	if req.route.Kind == route.Once {
		// A call that must not be repeated is allowed to finish at its target when its caller
		// disconnects.
		var stop context.CancelFunc
		sendCtx, stop = context.WithDeadline(context.WithoutCancel(ctx), req.deadline)
		context.AfterFunc(sendCtx, stop)
	}
	c := &callHandler{relay: r, req: req, w: w, results: make(chan *attemptResult, maxRefusals+max(req.route.MaxAttempts, 1)+1)}
	defer c.discardResults()
	req.pool.recordRequest(time.Now())
	if refusal := r.admitToPool(ctx, req, false); refusal != nil {
		r.refuse(w, req, refusal)
		return
	}
	r.endIfCallerLeft(req)
	if !c.startFirst(ctx, sendCtx) {
		refusal := req.backoffRefusal(time.Now(), 0)
		if refusal == nil {
			refusal = notRunRefusal(codeNoTarget, jitter(unavailableRetryAfter))
		}
		r.refuse(w, req, refusal)
		return
	}
	c.awaitResult(ctx, sendCtx)
}

// startAttempt starts one attempt and reports whether there was a target for it and, unless it is the
// first, a retry.
func (c *callHandler) startAttempt(ctx context.Context, reason string) bool {
	now := time.Now()
	t, load, ok := c.req.pool.chooseTarget(now, c.relay.DataCentre, targetCriteria{avoidTargets: c.triedTargets, firstAttempt: len(c.triedTargets) == 0, work: c.req.expectedWork(now, 0)})
	if !ok {
		return false
	}
	if len(c.triedTargets) > 0 && !c.req.pool.allowRetry(now) {
		c.req.releaseTarget(now, t)
		return false
	}
	c.triedTargets = append(c.triedTargets, t.ID)
	c.possibleRuns++
	c.openAttempts++
	a := c.relay.newAttempt(now, c.req, t, c.req.attemptCount+1, reason, load)
	go func() { c.results <- a.runCallGuarded(ctx) }()
	return true
}

// awaitResult handles results until one is final.
func (c *callHandler) awaitResult(ctx, sendCtx context.Context) {
	hedge := time.NewTimer(c.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case result := <-c.results:
			c.openAttempts--
			c.received = append(c.received, result)
			if c.handleResult(sendCtx, result) {
				return
			}
		case <-hedge.C:
			if c.mayRetry() {
				c.req.needsNewConn.Store(true)
				c.startAttempt(sendCtx, "slow")
			}
		case <-ctx.Done():
			c.abandon(ctx)
			return
		}
	}
}

// hedgeDelay returns how long to wait for a response before a repeatable call is also sent to a
// second target.
func (c *callHandler) hedgeDelay() time.Duration {
	if c.req.route.Kind != route.Repeatable {
		return time.Until(c.req.deadline) + time.Hour
	}
	d := hedgeFactor * c.req.pool.hedgeDelay()
	return max(d, c.req.route.Objective/2)
}

// hedgeFactor multiplies the time within which 95% of the responses arrive, since each response
// past that time would otherwise cost a second run.
const hedgeFactor = 2

// mayRetry reports whether the call may be sent to another target after one may have run it.
func (c *callHandler) mayRetry() bool {
	now := time.Now()
	return c.req.route.AllowsRerun() && c.possibleRuns < c.req.route.MaxAttempts && now.Before(c.req.deadline) && !c.relay.Crashes.isMarked(now, c.req)
}

// handleResult handles the result of an attempt and reports whether the call is finished.
func (c *callHandler) handleResult(ctx context.Context, result *attemptResult) bool {
	if result.deliverable() {
		c.relay.deliverResponse(c.w, c.req, result)
		return true
	}
	if result.notRun {
		c.possibleRuns--
		reason := "refused_by_target"
		if result.attempt.sent {
			c.refusals++
		} else {
			c.unreachable++
			reason = "target_unreachable"
		}
		if now := time.Now(); c.refusals+c.unreachable < maxRefusals && !(c.unreachable > 0 && c.req.pool.isUnreachable(now)) && now.Before(c.req.deadline) && !c.relay.Crashes.isMarked(now, c.req) && c.startAttempt(ctx, reason) {
			return false
		}
	} else {
		c.lastFailure = result
		if c.mayRetry() && c.startAttempt(ctx, "failed") {
			result.endUnread(time.Now())
			return false
		}
	}
	if c.openAttempts > 0 {
		return false
	}
	c.respondWithFailure()
	return true
}

// respondWithFailure responds to a call that no target completed successfully.
func (c *callHandler) respondWithFailure() {
	switch result := c.lastFailure; {
	case result == nil:
		refusal := c.relay.Crashes.refusal(time.Now(), c.req)
		if refusal == nil {
			refusal = c.req.backoffRefusal(time.Now(), 0)
		}
		if refusal == nil {
			refusal = allRefusedRefusal(c.refusals)
		}
		c.relay.refuse(c.w, c.req, refusal)
	case result.err == nil:
		c.relay.deliverResponse(c.w, c.req, result)
	case result.attempt.pastDeadline(time.Now()):
		c.relay.refuse(c.w, c.req, timeoutRefusal())
	default:
		code := codeTargetLost
		if bad := (*ResponseError)(nil); errors.As(result.err, &bad) {
			code = codeBadAnswer
		}
		c.relay.refuse(c.w, c.req, &Refusal{Status: http.StatusBadGateway, Code: code, Outcome: generation.Unknown})
	}
}

// abandon ends a call whose deadline has passed, whose caller has disconnected or whose instance
// stops.
func (c *callHandler) abandon(ctx context.Context) {
	if refusal := interruptedRefusal(ctx); refusal != nil {
		c.relay.refuse(c.w, c.req, refusal)
		return
	}
	c.relay.logEnd(c.req, string(generation.Unknown), c.req.callerEndReason(), 0)
	panic(http.ErrAbortHandler)
}

// runCall sends a call to one target and reads its response.
func (a *attempt) runCall(ctx context.Context) *attemptResult {
	result := &attemptResult{attempt: a}
	result.err = a.sendRequest(ctx, AttemptInfo{}, a.startedAt.Add(silentCallTime), a.checkSilentPath)
	now := time.Now()
	if result.err != nil {
		// If the connection could not be established, nothing of the request was sent.
		result.notRun = !a.sent
		if a.sent {
			a.relay.recordStart(now, a.req)
		}
		cancelled := errors.Is(ctx.Err(), context.Canceled) || !a.sent && errors.Is(result.err, context.Canceled) || isMarkedError(result.err)
		a.wentSilent = isSilence(result.err)
		reason := lossReason(result.err)
		if !a.sent && !cancelled {
			reason = reasonUnreachable
		}
		a.finish(now, engine.RequestResult{Unreachable: !cancelled && !a.pastDeadline(now), Cancelled: cancelled}, false, reason)
		return result
	}
	if a.handleRefusal() {
		result.notRun = true
		complete := a.discardRefusal(time.Now())
		a.finish(time.Now(), engine.RequestResult{Failed: a.res.StatusCode != http.StatusMisdirectedRequest, Unreachable: a.res.StatusCode == http.StatusMisdirectedRequest}, complete, "not_run")
		return result
	}
	a.relay.recordStart(now, a.req)
	if result.err = a.checkResponse(); result.err == nil {
		result.readBody()
	}
	if result.unread != nil && !a.info.Sealed {
		// Nothing proves that these bytes are the target's answer, or bounds them.
		result.unread, result.err = nil, &ResponseError{Rule: "unsealed_body"}
	}
	now = time.Now()
	if result.unread != nil {
		return result
	}
	if result.err == nil {
		a.req.pool.recordResponseTime(now.Sub(a.startedAt))
	}
	a.finish(now, engine.RequestResult{Failed: result.err != nil || a.res.StatusCode >= http.StatusInternalServerError, Cancelled: ctx.Err() != nil}, result.err == nil, resultReason(result))
	return result
}

const (
	// silentCallTime is the time without a response after which the path to a call's target is checked.
	silentCallTime = 100 * time.Millisecond
	// silentCallFraction is the part of a call's age after which its path is checked again, as a divisor.
	silentCallFraction = 4
)

// checkSilentPath has the path to a silent target checked from time to time; the call waits until its deadline.
func (a *attempt) checkSilentPath(now time.Time) (time.Time, bool) {
	if a.pastDeadline(now) {
		return time.Time{}, false
	}
	a.relay.checkSilentTarget(now, a.target, silentCallTime, a.conn)
	if !a.hangs && a.silentSincePathLost() && a.req.pool.recordHanging(now, a.target, a.startedAt) {
		a.hangs = true
		withLock(&a.req.pool.mu, func() { a.req.pool.placement.backlog.End(now, a.target.ID, a.req.work.id) })
		a.relay.Log.Write(now, timeline.Event{
			Kind: "attempt_hangs", Request: a.req.ID, Target: a.target.ID, Attempt: a.number, Why: reasonPathLost, Entry: a.req.route.Name, Decision: "not_counted",
			Inputs: []timeline.Input{{Name: "begun_ms", Value: ageMillis(now, a.startedAt)}, {Name: "lost_ms", Value: ageMillis(now, a.relay.Links.lostSince(a.target))}},
		})
	}
	next := now.Add(max(lossCheckInterval, now.Sub(a.startedAt)/silentCallFraction))
	if next.After(a.req.deadline) {
		next = a.req.deadline
	}
	return next, true
}

func (a *attempt) pastDeadline(now time.Time) bool { return !now.Before(a.req.deadline) }

func resultReason(result *attemptResult) string {
	if result.err != nil {
		return lossReason(result.err)
	}
	return "answered"
}

// readBody reads the response body into memory, up to maxBufferedBody or as far as the memory for it goes.
func (r *attemptResult) readBody() {
	res, limit := r.attempt.res, maxBufferedBody
	if n := res.ContentLength; n >= 0 && n < maxBufferedBody {
		limit = int(n) + 1
	}
	for {
		if len(r.body) == cap(r.body) {
			body, ok := r.body, len(r.body) < limit
			if ok {
				body, ok = r.attempt.held.grow(r.body, limit, 1, "body")
			}
			if !ok {
				r.unread = res.Body
				if len(r.body) < maxBufferedBody {
					r.attempt.recordNotHeld(time.Now(), len(r.body))
				}
				return
			}
			r.body = body
		}
		n, err := res.Body.Read(r.body[len(r.body):cap(r.body)])
		r.body = r.body[:len(r.body)+n]
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			r.err = err
			return
		}
	}
}

// endUnread ends an attempt whose response is not passed on and was not read to its end.
func (r *attemptResult) endUnread(now time.Time) {
	if r.unread != nil {
		r.unread, r.err = nil, &ResponseError{Rule: "not_passed_on"}
		failed := r.attempt.res.StatusCode >= http.StatusInternalServerError
		r.attempt.finish(now, engine.RequestResult{Failed: failed, Cancelled: !failed}, false, lossReason(r.err))
	}
}

// release releases the memory of the response.
func (r *attemptResult) release() {
	r.body = nil
	r.attempt.held.releaseAll()
}

// discardResults ends all attempts whose responses were not passed on, and releases the memory of all.
func (c *callHandler) discardResults() {
	discard := func(result *attemptResult) {
		result.endUnread(time.Now())
		result.release()
	}
	for _, result := range c.received {
		discard(result)
	}
	if c.openAttempts == 0 {
		return
	}
	go func() {
		defer func() {
			if recover() != nil {
				c.relay.logPanic(time.Now(), c.req.ID)
			}
		}()
		for range c.openAttempts {
			discard(<-c.results)
		}
	}()
}

func (p *pool) recordResponseTime(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hedgeDelays.Observe(took)
}
