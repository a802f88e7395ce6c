package server

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// stream is one generation that is delivered to one caller. core decides, and the stream carries out its actions.
//
// The loop goroutine owns everything except the outbox.
type stream struct {
	server        *Server
	request       *request
	entry         *catalogue.Entry
	deadline      time.Time
	chat          bool
	engineRequest engine.Request
	cursor        generation.Cursor
	core          generation.Stream
	outbox        *outbox
	events        chan generation.Event

	// account counts the bytes held; keptBytes is the part of them for delivered text.
	account   *account
	keptBytes int
	// wantUsage is set when the caller wants a usage event at the end.
	wantUsage bool

	attempts map[int]*attempt
	// slots holds the slots of the stream by target; pointer values keep a map of one entry small.
	slots    map[string]*heldSlot
	lostAt   time.Time
	paused   bool
	pausedAt time.Time
	// detached is set while the engine's connection is closed because the reader has stopped.
	detached bool
	// regenerateStart is when an attempt began to recompute delivered tokens, or zero.
	// recomputePerToken is the time that the last such attempt took for each of them.
	regenerateStart   time.Time
	recomputePerToken time.Duration
	// abandonReason states why the caller no longer reads the answer, or is empty.
	abandonReason string
	sampler       gapSampler
	// permitsHeld counts the attempts that hold a permit.
	permitsHeld int
	// partFrame is the cached frame of the answer's parts; only the writer's goroutine uses it.
	partFrame *partFrame
	// finished is set when the answer is complete.
	finished bool
	observer evidenceObserver
}

// maxLoopDelay is the delay of a stream's loop from which the time that passed shows nothing about its
// engines; it is well below the shortest silence timeout.
const maxLoopDelay = 100 * time.Millisecond

// heldSlot is a slot that the stream holds at a target.
type heldSlot struct {
	TargetChoice
	// lingerTimer releases the slot of a detached stream, whose engine ends the generation by itself.
	lingerTimer *time.Timer
}

// run processes the stream's events until it ends; ctx ends when the caller disconnects.
func (st *stream) run(ctx context.Context) {
	defer st.server.streams.add(st)()
	st.attempts, st.slots = map[int]*attempt{}, map[string]*heldSlot{}
	st.core.Seed = st.engineRequest.Seed
	defer st.cleanUp()
	timer := time.NewTimer(time.Until(st.deadline))
	defer timer.Stop()
	st.handleEvent(ctx, generation.Event{Kind: generation.Started})
	for !st.core.Done() {
		st.waitForEvent(ctx, timer)
	}
}

// waitForEvent waits for the next event and processes it.
func (st *stream) waitForEvent(ctx context.Context, timer *time.Timer) {
	events := st.events
	if st.paused {
		// Without a receiver the attempt stops reading, which stops the engine by back-pressure.
		events = nil
	}
	wake := st.core.NextTick()
	if wake.IsZero() || wake.After(st.deadline) {
		wake = st.deadline
	}
	if st.paused && !st.detached {
		if t := st.detachAt(); t.Before(wake) {
			wake = t
		}
	}
	timer.Reset(time.Until(wake))
	select {
	case ev := <-events:
		st.handleEvent(ctx, ev)
	case <-st.outbox.space:
		st.updateFlow(ctx)
	case <-timer.C:
		if now := time.Now(); !now.Before(st.deadline) {
			st.expire(ctx, now)
			return
		}
		select {
		case ev := <-events:
			// A token that has arrived must not count as silence, even if this loop is late.
			st.handleEvent(ctx, ev)
			return
		default:
		}
		st.detach(time.Now())
		if time.Since(wake) > maxLoopDelay {
			st.handleEvent(ctx, generation.Event{Kind: generation.Delayed})
			return
		}
		st.handleEvent(ctx, generation.Event{Kind: generation.Ticked})
	case <-ctx.Done():
		st.abandonReason = abandonCause(ctx)
		st.handleEvent(ctx, generation.Event{Kind: generation.Abandoned})
	}
}

// handleEvent passes one event to core and carries out the resulting actions.
func (st *stream) handleEvent(ctx context.Context, ev generation.Event) {
	now := time.Now()
	if ev.Kind == generation.ConnectionLost && st.lostAt.IsZero() {
		st.lostAt = now
	}
	st.recordAttemptLoss(now, ev)
	st.updateAttempt(now, ev)
	for _, a := range st.core.Step(now, ev) {
		st.observer.observe(now, st, a)
		st.execute(ctx, now, a)
	}
	if at := st.attempts[ev.Attempt]; ev.Kind == generation.Dequeued && at != nil {
		st.launch(now, at)
	}
	if ev.Kind == generation.TokenReceived {
		st.updateFlow(ctx)
	}
}

func (st *stream) execute(ctx context.Context, now time.Time, a generation.Action) {
	switch a.Kind {
	case generation.Begin:
		st.startAttempt(ctx, now, a)
	case generation.Cancel, generation.Detach:
		st.endAttempt(now, a)
	case generation.Deliver:
		st.deliver(now, a)
	case generation.Finish:
		st.finished = true
		st.recordAttemptEnd(now, st.attempts[a.Attempt], "finished", a.Reason)
		st.outbox.setEnd(a.Reason, nil)
		st.writeEvent(now, timeline.Event{Kind: "request_finished", Attempt: a.Attempt, Decision: "finish", Why: a.Reason, Outcome: "ran", Inputs: st.statInputs()})
	case generation.Fail:
		st.outbox.setEnd("", a.Err)
		st.writeEvent(now, timeline.Event{Kind: "request_failed", Decision: "fail", Why: a.Err.Code, Outcome: string(a.Err.Outcome), Inputs: st.statInputs()})
	}
}

func (st *stream) deliver(now time.Time, a generation.Action) {
	if !st.lostAt.IsZero() {
		took := now.Sub(st.lostAt)
		st.lostAt = time.Time{}
		st.server.Metrics.GetOrCreateHistogram("bambooferry_resume_seconds").Update(took.Seconds())
		st.writeEvent(now, timeline.Event{
			Kind: "stream_resumed", Attempt: a.Attempt, Target: st.core.Target, Decision: "deliver",
			Inputs: append(st.statInputs(), timeline.Input{Name: "resume_us", Value: took.Microseconds()}),
		})
	}
	if !st.regenerateStart.IsZero() {
		st.recomputePerToken = now.Sub(st.regenerateStart) / time.Duration(max(a.Position, 1))
		st.regenerateStart = time.Time{}
	}
	st.recordGap(a)
	st.account.add(st.outbox.put(a.Text, st.core.LastAttempt, st.core.Target))
	st.updateKeptText()
}

// updateKeptText counts the delivered text that is kept, and drops it if a budget is exceeded.
func (st *stream) updateKeptText() {
	kept := st.core.KeptBytes()
	if kept > 0 && st.account.exceeded() {
		st.core.DropKeptText()
		kept = 0
		st.server.Metrics.GetOrCreateCounter("bambooferry_kept_text_dropped_total").Inc()
		st.writeEvent(time.Now(), timeline.Event{Kind: "kept_text_dropped", Decision: "drop", Why: "memory_full", Inputs: st.statInputs()})
	}
	st.account.add(kept - st.keptBytes)
	st.keptBytes = kept
}

// updateFlow pauses or resumes the stream according to the undelivered text.
func (st *stream) updateFlow(ctx context.Context) {
	pending, limit := st.outbox.undelivered(), st.server.Limits.BufferBytes
	overBudget := pending > 0 && st.account.exceeded()
	switch {
	case !st.paused && (pending >= limit || overBudget):
		st.paused, st.pausedAt = true, time.Now()
		st.server.memory.pausedStreams.Add(1)
		st.handleEvent(ctx, generation.Event{Kind: generation.Paused})
	case st.paused && pending < limit/2 && !overBudget:
		st.paused = false
		st.observer.restartInterval()
		st.server.memory.pausedStreams.Add(-1)
		if st.detached {
			st.detached = false
			st.account.add(attemptBytes)
		}
		st.handleEvent(ctx, generation.Event{Kind: generation.Resumed})
	}
}

// detach closes the engine's connections once the reader has stopped for long enough.
//
// They hold about as much memory as the rest of a stopped stream. The kept text is dropped as
// well. When the reader continues, the stream reattaches to the engine's record, or regenerates
// the text if the engine no longer has it.
func (st *stream) detach(now time.Time) {
	if !st.paused || st.detached || now.Before(st.detachAt()) {
		return
	}
	st.detached = true
	st.account.add(-attemptBytes)
	st.core.DropKeptText()
	st.updateKeptText()
	for n := range maps.Clone(st.attempts) {
		st.endAttempt(now, generation.Action{Kind: generation.Detach, Attempt: n, Reason: "reader_stopped"})
		st.core.Step(now, generation.Event{Kind: generation.ConnectionLost, Attempt: n})
	}
	for _, h := range st.slots {
		// Without a reader the engine ends the generation by itself after its linger time.
		if h.lingerTimer == nil {
			h.lingerTimer = time.AfterFunc(st.server.Limits.Linger, h.Release)
		}
	}
}

// detachAt returns when the engine's connections of a paused stream are to be closed.
//
// An engine without a record recomputes all delivered tokens when the reader continues. A
// reader that is only slow would then wait longer each time, and the work would grow with the
// square of the answer. Therefore a stream that was regenerated stays attached for as long as a
// further regeneration would take: its cost is then at most twice the minimum, whenever the reader continues.
func (st *stream) detachAt() time.Time {
	l := &st.server.Limits
	wait := l.DetachAfter
	if st.recomputePerToken > 0 && !st.account.exceeded() {
		wait = max(wait, min(st.recomputePerToken*time.Duration(st.core.Position), l.ReaderIdleTimeout))
	}
	return st.pausedAt.Add(wait)
}

func (st *stream) expire(ctx context.Context, now time.Time) {
	o := st.outcome()
	st.handleEvent(ctx, generation.Event{Kind: generation.Abandoned})
	st.outbox.setEnd("", &generation.Failure{Code: "deadline", Outcome: o, RetryAfter: time.Second})
	st.writeEvent(now, timeline.Event{Kind: "request_failed", Decision: "fail", Why: "deadline", Outcome: string(o), Inputs: st.statInputs()})
}

// outcome returns the known outcome of a stream that ended early.
func (st *stream) outcome() generation.Outcome {
	if st.core.Position == 0 {
		return generation.Unknown
	}
	return generation.Ran
}

// cleanUp ends the remaining attempts and releases the stream's resources.
func (st *stream) cleanUp() {
	now := time.Now()
	if st.abandonReason != "" {
		reason := st.abandonReason
		if st.server.cutOff.Load() {
			reason = st.server.abandonReason()
		}
		st.writeEvent(now, timeline.Event{Kind: "request_abandoned", Decision: "cancel", Why: reason, Outcome: string(st.outcome()), Inputs: st.statInputs()})
	}
	st.flushSamples(0)
	if st.paused {
		st.server.memory.pausedStreams.Add(-1)
	}
	st.account.add(-st.keptBytes)
	for _, a := range st.attempts {
		st.recordAttemptEnd(now, a, "unknown", "stream_over")
		a.cancel()
		st.releasePermit(now, a)
	}
	for name, c := range st.slots {
		if st.finished && name == st.core.Target {
			c.Release()
			continue
		}
		if c.lingerTimer != nil && !c.lingerTimer.Stop() {
			continue
		}
		// After a lost connection or a missing response the generation may still be running.
		go st.server.cancelAndRelease(c.TargetChoice, st.engineRequest.Generation, st.core.LastAttempt)
	}
	signal(st.outbox.ready)
}

// abandonCause returns why the caller disconnected; it is empty if the caller received a refusal.
func abandonCause(ctx context.Context) string {
	var refusal *Refusal
	switch cause := context.Cause(ctx); {
	case errors.As(cause, &refusal):
		return ""
	case errors.Is(cause, errReaderIdle):
		return "reader_idle"
	default:
		return "caller_gone"
	}
}

// cancelAndRelease cancels a generation and releases its slot once the target has confirmed the end or must have ended it by itself.
func (s *Server) cancelAndRelease(c TargetChoice, generationID string, attempt int) {
	confirmed := s.cancelGeneration(c.Target, generationID, attempt)
	// A target that was briefly unavailable can confirm the end when it is available again, before its linger time has passed.
	for deadline := time.Now().Add(s.Limits.Linger); !confirmed && time.Now().Before(deadline); {
		if sleep(s.calls.baseContext(), min(cancelRetryPause, time.Until(deadline))) != nil {
			// The process is stopping; its slots become free when its end is proved.
			return
		}
		confirmed = s.cancelGeneration(c.Target, generationID, attempt)
	}
	c.Release()
}

func (st *stream) statInputs() []timeline.Input {
	c := st.core.Stats()
	return []timeline.Input{
		{Name: "position", Value: int64(st.core.Position)},
		{Name: "resumes", Value: int64(c.Resumes)},
		{Name: "recomputed", Value: int64(c.Recomputed)},
		{Name: "prefilled", Value: int64(c.Prefilled)},
		{Name: "discarded", Value: int64(c.Discarded)},
		{Name: "doubled", Value: int64(c.Overlapping)},
	}
}

// writeEvent writes an event of the request; of several terminal events only the first is written.
func (st *stream) writeEvent(now time.Time, ev timeline.Event) {
	if ev.Outcome != "" && st.request.terminalWritten.Swap(true) {
		return
	}
	ev.Generation = st.engineRequest.Generation
	ev.Request, ev.Workspace, ev.Entry, ev.Version = st.request.id, st.request.workspace.Name, st.entry.Name, st.engineRequest.Version
	ev.Revision = st.request.document.Revision
	st.server.Events.Write(now, ev)
}
