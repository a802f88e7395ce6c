package relay

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/generation"
)

const (
	// firstEventTimeout bounds the wait for the first event until the pool's own times are known.
	firstEventTimeout = 5 * time.Second
	// resumedFirstEventTimeout bounds the wait for the first event of an attempt that resumes a
	// stream.
	resumedFirstEventTimeout = 2500 * time.Millisecond
	// nextEventTimeout bounds the wait between events until the pool's own times are known.
	nextEventTimeout = 400 * time.Millisecond
	// lossCheckInterval is how often a stream that waits for its first event checks whether other
	// instances have lost its target.
	lossCheckInterval = 200 * time.Millisecond
	// initialRetryDelay is the first pause of a stream that found no target.
	initialRetryDelay = 100 * time.Millisecond
	// slowWriteThreshold is the duration of a write from which the caller counts as having blocked
	// the stream.
	slowWriteThreshold = 50 * time.Millisecond
)

// streamHandler holds the state of one stream across its attempts.
type streamHandler struct {
	relay      *Relay
	req        *callerRequest
	w          http.ResponseWriter
	controller *http.ResponseController
	ctx        context.Context
	gen        generation.Stream

	// plannedAttempt is the next attempt to start, currentAttempt the open one; both may be nil.
	plannedAttempt *generation.Action
	currentAttempt *attempt
	// reserved is what the planned attempt uses, if it replaces a silent one.
	reserved *reservation
	// awaitsReplacement is set from the cancellation of a silent attempt until another one delivers an
	// event.
	awaitsReplacement bool
	// postponeLogged is set when the wait for a retry has been logged.
	postponeLogged bool
	events         eventReader
	headerSent     bool
	// response is the response whose header is passed on with the first bytes of the stream.
	response *http.Response
	// held are comments that came before the first event of the stream, until which another answer can be given, or what came
	// without an id before the first event of an attempt that goes on with it.
	held []byte
	// idOffset is added to a position to give the event's id.
	idOffset uint64
	// idOffsetKnown is set once the first event's id is known.
	idOffsetKnown bool
	// backupEngine is the engine that holds a copy of the run's KV cache.
	backupEngine netip.AddrPort
	// acceptedCount is the number of targets that accepted the stream or may have.
	acceptedCount int
	// refusals is the number of targets that refused the stream, and unreachable that of targets without a connection.
	refusals    int
	unreachable int
	failure     *generation.Failure
	// aborted is set when the response to the caller can't continue.
	aborted    bool
	lastSentAt time.Time
	// firstEventDelay and longestPause are as the caller saw them.
	firstEventDelay time.Duration
	longestPause    time.Duration
	// backoffRefusal is the refusal of a stream that no target wants now, or nil.
	backoffRefusal *Refusal
	// failureResponse is the target's own failure, which is passed on if no other target is tried.
	failureResponse *attemptResult
}

// serveStream proxies a stream and resumes it at another target when its target is lost.
func (r *Relay) serveStream(ctx context.Context, w http.ResponseWriter, req *callerRequest) {
	now := time.Now()
	st := &streamHandler{
		relay: r, req: req, w: w, controller: http.NewResponseController(w), ctx: ctx,
		gen: generation.Stream{
			Exclusive: true, ResumeWait: time.Until(req.deadline), AcceptWait: time.Until(req.deadline), RetryWait: initialRetryDelay,
			Seed: xxhash.Sum64String(req.ID), Timeouts: req.pool.silenceTimeouts(defaultSilenceTimeouts),
		},
	}
	st.gen.ReserveReplacement = st.reserveReplacement
	defer st.releaseFailure()
	defer func() {
		if v := recover(); v != nil {
			st.endPanicked(v)
		}
	}()
	if req.Resuming {
		st.idOffset, st.idOffsetKnown = req.LastEventID+1, true
	}
	req.pool.recordRequest(time.Now())
	if refusal := r.admitToPool(ctx, req, false); refusal != nil {
		r.refuse(w, req, refusal)
		return
	}
	r.endIfCallerLeft(req)
	// The wait for room says nothing about targets.
	now = time.Now()
	st.gen.ResumeWait, st.gen.AcceptWait = time.Until(req.deadline), time.Until(req.deadline)
	st.performActions(st.gen.Step(now, generation.Event{Kind: generation.Started}))
	for !st.gen.Done() && !st.aborted {
		st.advance()
	}
	st.releaseReservation(time.Now())
	st.finish()
}

var defaultSilenceTimeouts = generation.Timeouts{FirstToken: firstEventTimeout, NextToken: nextEventTimeout, Accept: firstEventTimeout}

// silenceTimeouts returns the silence timeouts of the next attempt. One that resumes has little to
// read.
func (st *streamHandler) silenceTimeouts() generation.Timeouts {
	base := defaultSilenceTimeouts
	if st.gen.Position > 0 {
		base.FirstToken, base.Accept = resumedFirstEventTimeout, resumedFirstEventTimeout
	}
	return st.req.pool.silenceTimeouts(base)
}

// advance starts an attempt, forwards one event, or waits for the next try.
func (st *streamHandler) advance() {
	switch {
	case st.ctx.Err() != nil:
		st.handleEvent(generation.Event{Kind: generation.Abandoned})
	case st.currentAttempt != nil:
		st.readEvent()
	case st.plannedAttempt != nil:
		st.startAttempt()
	default:
		st.waitForRetry()
	}
}

// waitForRetry waits until the stream is due to try again.
func (st *streamHandler) waitForRetry() {
	wake := st.gen.NextTick()
	t := time.NewTimer(max(time.Until(wake), time.Millisecond))
	defer t.Stop()
	select {
	case <-t.C:
		st.handleEvent(generation.Event{Kind: generation.Ticked})
	case <-st.ctx.Done():
	}
}

func (st *streamHandler) handleEvent(ev generation.Event) {
	st.performActions(st.gen.Step(time.Now(), ev))
}

// performActions carries out the actions that gen returned.
func (st *streamHandler) performActions(actions []generation.Action) {
	for i := range actions {
		action := &actions[i]
		switch action.Kind {
		case generation.Begin:
			next := *action
			st.plannedAttempt = &next
		case generation.Cancel, generation.Detach:
			if st.plannedAttempt != nil && st.plannedAttempt.Attempt == action.Attempt {
				st.plannedAttempt = nil
			}
			if st.currentAttempt != nil && st.currentAttempt.number == action.Attempt {
				if st.currentAttempt.isUnanswered() {
					st.acceptedCount++
				}
				silent := action.Reason == generation.SilentAgain
				st.awaitsReplacement = silent || action.Reason == reasonLostByOthers || action.Reason == reasonPathLost
				if silent || action.Reason == reasonPathLost {
					st.req.needsNewConn.Store(true)
				}
				st.currentAttempt.wentSilent = silent && !st.currentAttempt.firstEventAt.IsZero()
				st.endAttempt(engine.RequestResult{Unreachable: silent, Cancelled: !silent}, false, action.Reason)
			}
		case generation.Deliver:
			st.deliverEvent(action)
		case generation.Fail:
			st.failure = action.Err
		case generation.Finish:
		}
	}
}

// onSilence is called when the target has sent no data by the time of the next check.
func (st *streamHandler) onSilence(now time.Time) (time.Time, bool) {
	current := st.currentAttempt
	if current == nil || st.ctx.Err() != nil {
		return time.Time{}, false
	}
	if current.firstEventAt.IsZero() && st.relay.Crashes.isMarked(now, st.req) {
		st.endMarkedAttempt(current)
		return time.Time{}, false
	}
	ev := generation.Event{Kind: generation.Ticked}
	if st.silentSincePathLost(now, current) {
		ev = generation.Event{Kind: generation.Suspected, Attempt: current.number, Target: current.target.ID, Reason: reasonPathLost}
	} else if current.firstEventAt.IsZero() && st.req.pool.lostSince(now, current.target.ID, current.startedAt) {
		ev = generation.Event{Kind: generation.Suspected, Attempt: current.number, Target: current.target.ID, Reason: reasonLostByOthers}
	}
	st.performActions(st.gen.Step(now, ev))
	if st.currentAttempt != current || st.gen.Done() {
		return time.Time{}, false
	}
	return st.nextCheck(now), true
}

// silentSincePathLost reports whether an attempt waits on a direct connection that has received no data since its path
// was lost. It has a path checked that is not known to be lost.
func (st *streamHandler) silentSincePathLost(now time.Time, current *attempt) bool {
	if current.silentSincePathLost() {
		return true
	}
	if patience := silentStreamTime(current); current.conn != nil && now.Sub(current.conn.lastReadAt) >= patience {
		st.relay.checkSilentTarget(now, current.target, patience, current.conn)
	}
	return false
}

// silentStreamTime returns the time without data after which the path to a stream's target is checked: events follow
// each other sooner than the first one comes.
func silentStreamTime(current *attempt) time.Duration {
	if current.firstEventAt.IsZero() {
		return time.Second
	}
	return lossCheckInterval
}

// endMarkedAttempt ends an attempt that has no event yet and was sent before its request was marked.
func (st *streamHandler) endMarkedAttempt(current *attempt) {
	if current.isUnanswered() {
		st.acceptedCount++
	}
	st.aborted = true
	st.endAttempt(engine.RequestResult{Cancelled: true}, false, codeCrashes)
}

// nextCheck returns when a read is to be interrupted for the next check.
func (st *streamHandler) nextCheck(now time.Time) time.Time {
	wake := st.gen.NextTick()
	if lossCheck := now.Add(lossCheckInterval); wake.IsZero() || lossCheck.Before(wake) {
		wake = lossCheck
	}
	return wake
}

// readEvent reads one event and passes it to the stream.
func (st *streamHandler) readEvent() {
	current := st.currentAttempt
	current.conn.nextCheck = st.nextCheck(time.Now())
	raw, id, numbered, err := st.events.nextEvent()
	now := time.Now()
	if st.currentAttempt != current {
		return
	}
	if err == nil && !numbered {
		err = st.reserveHeld(current, raw)
	}
	if err == nil {
		st.handleTargetEvent(now, current, raw, id, numbered)
		return
	}
	if errors.Is(err, io.EOF) && st.endsWithoutProof(current) {
		err = &ResponseError{Rule: ruleNoEvents}
	}
	if errors.Is(err, io.EOF) {
		if st.headerSent && current.firstEventAt.IsZero() {
			st.held = nil
		}
		st.performActions(st.gen.Step(now, generation.Event{Kind: generation.Ended, Attempt: current.number, Position: st.gen.Position}))
		if st.currentAttempt == current {
			st.endAttempt(engine.RequestResult{}, true, "whole")
		}
		return
	}
	st.endAttempt(st.lossResult(), false, lossReason(err))
	st.performActions(st.gen.Step(now, generation.Event{Kind: generation.ConnectionLost, Attempt: current.number, Target: current.target.ID, Reason: lossReason(err)}))
}

// ruleNoEvents is the rule of a ResponseError for a resumed stream that ends without a proof that nothing was left to send.
const ruleNoEvents = "no_events"

// endsWithoutProof reports whether an attempt that goes on with a stream has ended without an event of the stream, and with
// other text or without an explicit end, as an error in place of a stream does.
func (st *streamHandler) endsWithoutProof(current *attempt) bool {
	return st.headerSent && current.firstEventAt.IsZero() && (!hasExplicitEnd(current.res) || !isComment(st.held))
}

// lossResult returns what the loss of the open attempt says about its target: nothing, if the
// caller has disconnected.
func (st *streamHandler) lossResult() engine.RequestResult {
	if st.ctx.Err() != nil {
		return engine.RequestResult{Cancelled: true}
	}
	return engine.RequestResult{Unreachable: true}
}

// handleTargetEvent passes one event from the target to the stream.
func (st *streamHandler) handleTargetEvent(now time.Time, current *attempt, raw []byte, id uint64, numbered bool) {
	if !numbered {
		st.passUnnumbered(now, current, raw)
		return
	}
	if !st.idOffsetKnown {
		st.idOffset, st.idOffsetKnown = id, true
	}
	current.lastEventAt, current.silenceLogged = now, false
	st.awaitsReplacement, st.postponeLogged = false, false
	current.eventCount++
	current.recordEvent(now)
	if current.firstEventAt.IsZero() {
		current.firstEventAt = now
		st.req.pool.recordFirstOutput(now, current.target)
		st.relay.recordStart(now, st.req)
		current.recordFirstEvent(now)
		st.req.pool.recordFirstOutputTime(now.Sub(current.startedAt))
		current.observeFirstEvent(now)
		current.recordReading(now)
	}
	if current.eventCount >= soundAnswerEvents && now.Sub(current.firstEventAt) >= suspectAnswerTime {
		current.recordAnswer(now, current.firstEventAt)
	}
	st.performActions(st.gen.Step(now, generation.Event{Kind: generation.TokenReceived, Attempt: current.number, Position: id - st.idOffset, Text: string(raw)}))
}

// holdsBack reports whether an event without an id is held until one with an id follows.
func (st *streamHandler) holdsBack(current *attempt, raw []byte) bool {
	return st.headerSent && current.firstEventAt.IsZero() || !st.headerSent && isComment(raw)
}

// reserveHeld reserves the memory for an event that is to be held.
func (st *streamHandler) reserveHeld(current *attempt, raw []byte) error {
	if n := len(st.held) + len(raw); n > unreservedBytes && st.holdsBack(current, raw) {
		if !current.held.reserve(heldCopies*(n-max(len(st.held), unreservedBytes)), "comments") {
			return &ResponseError{Rule: ruleMemory}
		}
	}
	return nil
}

// heldCopies is the number of copies of held comments: a buffer that grows has up to twice the size of its content.
const heldCopies = 2

// passUnnumbered passes on an event without an id. A target that sends nothing else for long is silent.
//
// Once the response has begun, it is buffered until the attempt sends an event with an id.
func (st *streamHandler) passUnnumbered(now time.Time, current *attempt, raw []byte) {
	if st.holdsBack(current, raw) {
		st.held = append(st.held, raw...)
	} else {
		st.write(raw)
	}
	if wake := st.gen.NextTick(); st.events.idleEvents >= minIdleEvents && !wake.IsZero() && !now.Before(wake) {
		st.performActions(st.gen.Step(now, generation.Event{Kind: generation.Ticked}))
	}
}

// deliverEvent writes one event to the caller.
func (st *streamHandler) deliverEvent(action *generation.Action) {
	now := time.Now()
	if action.Gap > 0 {
		st.req.pool.recordGap(action.Gap)
	}
	st.relay.instruments.recordEvent(st.req, now, st.lastSentAt)
	if st.lastSentAt.IsZero() {
		st.firstEventDelay = now.Sub(st.req.startedAt)
	} else {
		st.longestPause = max(st.longestPause, now.Sub(st.lastSentAt))
	}
	st.write([]byte(action.Text))
	st.lastSentAt = time.Now()
	if st.lastSentAt.Sub(now) > slowWriteThreshold {
		// The time in which the caller blocked the stream says nothing about the target.
		if st.currentAttempt != nil {
			st.currentAttempt.pace.lastAt = time.Time{}
		}
		st.gen.Step(st.lastSentAt, generation.Event{Kind: generation.Paused})
		st.gen.Step(st.lastSentAt, generation.Event{Kind: generation.Resumed})
	}
}

// sendHeader sends the header of the response, after which no other answer can be given.
func (st *streamHandler) sendHeader() {
	if st.headerSent || st.response == nil {
		return
	}
	st.headerSent = true
	st.req.disableInterrupt()
	writeHeader(st.w, st.response)
}

func (st *streamHandler) write(raw []byte) {
	st.sendHeader()
	reserved := heldCopies * max(len(st.held)-unreservedBytes, 0)
	if len(st.held) > 0 {
		raw, st.held = append(st.held, raw...), nil
	}
	_, err := st.w.Write(raw)
	if st.currentAttempt != nil {
		st.currentAttempt.held.release(reserved)
	}
	if err == nil {
		err = st.controller.Flush()
	}
	if err != nil {
		st.aborted = true
	}
}

// releaseFailure releases the memory of the failure that was to be passed on, if any.
func (st *streamHandler) releaseFailure() {
	if st.failureResponse != nil {
		st.failureResponse.release()
	}
}

// endAttempt ends the open attempt.
func (st *streamHandler) endAttempt(result engine.RequestResult, complete bool, reason string) {
	current := st.currentAttempt
	if current == nil {
		return
	}
	st.currentAttempt = nil
	if !complete && current.conn != nil && st.ctx.Err() == nil {
		// The stream may go on at another target next.
		current.closeUnconfirmed = current.conn.closeAtTarget(time.Now())
	}
	current.finish(time.Now(), result, complete, reason)
	if st.failureResponse == nil || st.failureResponse.attempt != current {
		if cap(st.events.raw) > unreservedBytes {
			st.events.raw = nil
		}
		if !complete {
			st.held = nil
		}
		current.held.releaseAll()
	}
}
