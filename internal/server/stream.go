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

// stream is one generation on its way to one caller.
//
// The loop goroutine owns everything but the outbox.
type stream struct {
	server   *Server
	request  *request
	entry    *catalogue.Entry
	deadline time.Time
	chat     bool
	wire     engine.Request
	cursor   generation.Cursor
	core     generation.Stream
	out      *outbox
	events   chan generation.Event

	// account counts the bytes held; kept is the part of it for delivered text.
	account *account
	kept    int
	// usage is set when the caller wants a usage event at the end.
	usage bool

	attempts map[int]*attempt
	// held has the slots of the stream by target; pointers keep a map of one entry small.
	held     map[string]*heldSlot
	lostAt   time.Time
	paused   bool
	pausedAt time.Time
	// detached is set while the engine's connection is closed because the reader has stopped.
	detached bool
	// regenerating is when an attempt began to compute delivered tokens again, or zero, and
	// recompute the time that it last took for each of them.
	regenerating time.Time
	recompute    time.Duration
	// gone tells why the caller no longer takes the answer, if so.
	gone    string
	sampler sampler
	// flying counts the attempts that hold a permit.
	flying int
	// piece is the frame of the answer's parts; it belongs to the writer's goroutine.
	piece *pieceFrame
	// finished is set when the answer came to its end.
	finished bool
	observer evidenceObserver
}

// heldSlot is a slot that the stream has at a target.
type heldSlot struct {
	TargetChoice
	// linger releases the slot of a detached stream, whose engine ends the generation by itself.
	linger *time.Timer
}

// run steps the stream until it is over; ctx ends when the caller has gone.
func (st *stream) run(ctx context.Context) {
	defer st.server.streams.add(st)()
	st.attempts, st.held = map[int]*attempt{}, map[string]*heldSlot{}
	st.core.Seed = st.wire.Seed
	defer st.release()
	timer := time.NewTimer(time.Until(st.deadline))
	defer timer.Stop()
	st.step(ctx, generation.Event{Kind: generation.Started})
	for !st.core.Done() {
		st.wait(ctx, timer)
	}
}

// wait takes the next event, whatever comes first.
func (st *stream) wait(ctx context.Context, timer *time.Timer) {
	events := st.events
	if st.paused {
		// Not receiving makes the attempt stop reading, and the engine's connection fill up.
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
		st.step(ctx, ev)
	case <-st.out.space:
		st.flow(ctx)
	case <-timer.C:
		if now := time.Now(); !now.Before(st.deadline) {
			st.expire(ctx, now)
			return
		}
		select {
		case ev := <-events:
			// A token that has come is no silence, even when this loop is late.
			st.step(ctx, ev)
			return
		default:
		}
		st.detach(time.Now())
		st.step(ctx, generation.Event{Kind: generation.Ticked})
	case <-ctx.Done():
		st.gone = whyGone(ctx)
		st.step(ctx, generation.Event{Kind: generation.Abandoned})
	}
}

// step feeds one event to the decisions and carries out the actions.
func (st *stream) step(ctx context.Context, ev generation.Event) {
	now := time.Now()
	if ev.Kind == generation.ConnectionLost && st.lostAt.IsZero() {
		st.lostAt = now
	}
	st.noteLoss(now, ev)
	st.settle(now, ev)
	for _, a := range st.core.Step(now, ev) {
		st.observer.observe(now, st, a)
		st.act(ctx, now, a)
	}
	if at := st.attempts[ev.Attempt]; ev.Kind == generation.Dequeued && at != nil {
		st.launch(now, at)
	}
	if ev.Kind == generation.TokenReceived {
		st.flow(ctx)
	}
}

func (st *stream) act(ctx context.Context, now time.Time, a generation.Action) {
	switch a.Kind {
	case generation.Begin:
		st.beginAttempt(ctx, now, a)
	case generation.Cancel, generation.Detach:
		st.endAttempt(now, a)
	case generation.Deliver:
		st.deliver(now, a)
	case generation.Finish:
		st.finished = true
		st.noteEnd(now, st.attempts[a.Attempt], "finished", a.Reason)
		st.out.end(a.Reason, nil)
		st.note(now, timeline.Event{Kind: "request_finished", Attempt: a.Attempt, Decision: "finish", Why: a.Reason, Outcome: "ran", Inputs: st.costs()})
	case generation.Fail:
		st.out.end("", a.Err)
		st.note(now, timeline.Event{Kind: "request_failed", Decision: "fail", Why: a.Err.Code, Outcome: string(a.Err.Outcome), Inputs: st.costs()})
	}
}

func (st *stream) deliver(now time.Time, a generation.Action) {
	if !st.lostAt.IsZero() {
		took := now.Sub(st.lostAt)
		st.lostAt = time.Time{}
		st.server.Metrics.GetOrCreateHistogram("bambooferry_resume_seconds").Update(took.Seconds())
		st.note(now, timeline.Event{
			Kind: "stream_resumed", Attempt: a.Attempt, Target: st.core.Target, Decision: "deliver",
			Inputs: append(st.costs(), timeline.Input{Name: "resume_us", Value: took.Microseconds()}),
		})
	}
	if !st.regenerating.IsZero() {
		st.recompute = now.Sub(st.regenerating) / time.Duration(max(a.Position, 1))
		st.regenerating = time.Time{}
	}
	st.measure(a)
	st.account.hold(st.out.put(a.Text, st.core.LastAttempt, st.core.Target))
	st.keep()
}

// keep counts the delivered text that is kept, and gives it up when a budget is used up.
func (st *stream) keep() {
	kept := st.core.KeptBytes()
	if kept > 0 && st.account.over() {
		st.core.DropKeptText()
		kept = 0
		st.server.Metrics.GetOrCreateCounter("bambooferry_kept_text_dropped_total").Inc()
		st.note(time.Now(), timeline.Event{Kind: "kept_text_dropped", Decision: "drop", Why: "memory_full", Inputs: st.costs()})
	}
	st.account.hold(kept - st.kept)
	st.kept = kept
}

// flow pauses or resumes the stream by what its reader has taken.
func (st *stream) flow(ctx context.Context) {
	held, limit := st.out.held(), st.server.Limits.BufferBytes
	over := held > 0 && st.account.over()
	switch {
	case !st.paused && (held >= limit || over):
		st.paused, st.pausedAt = true, time.Now()
		st.server.memory.paused.Add(1)
		st.step(ctx, generation.Event{Kind: generation.Paused})
	case st.paused && held < limit/2 && !over:
		st.paused = false
		st.observer.restartInterval()
		st.server.memory.paused.Add(-1)
		if st.detached {
			st.detached = false
			st.account.hold(attemptBytes)
		}
		st.step(ctx, generation.Event{Kind: generation.Resumed})
	}
}

// detach closes the engine's connections once the reader has stopped for a while.
//
// They hold about as much as the rest of a stopped stream. The kept text goes as
// well. The stream reattaches to the engine's record when the reader takes tokens
// again, and regenerates when the engine no longer has it.
func (st *stream) detach(now time.Time) {
	if !st.paused || st.detached || now.Before(st.detachAt()) {
		return
	}
	st.detached = true
	st.account.hold(-attemptBytes)
	st.core.DropKeptText()
	st.keep()
	for n := range maps.Clone(st.attempts) {
		st.endAttempt(now, generation.Action{Kind: generation.Detach, Attempt: n, Reason: "reader_stopped"})
		st.core.Step(now, generation.Event{Kind: generation.ConnectionLost, Attempt: n})
	}
	for _, h := range st.held {
		// Without a reader the engine ends the generation by itself after its linger time.
		if h.linger == nil {
			h.linger = time.AfterFunc(st.server.Limits.Linger, h.Release)
		}
	}
}

// detachAt returns when the engine's connections of a paused stream are to be closed.
//
// An engine without a record computes all delivered tokens again when the reader goes on. A
// reader that is only slow would then wait longer each time, and the work would grow with the
// square of the answer. So a stream that was regenerated waits for as long as that would take
// again: what it loses is at most twice the least, whenever the reader goes on.
func (st *stream) detachAt() time.Time {
	l := &st.server.Limits
	wait := l.DetachAfter
	if st.recompute > 0 && !st.account.over() {
		wait = max(wait, min(st.recompute*time.Duration(st.core.Position), l.ReaderIdleTimeout))
	}
	return st.pausedAt.Add(wait)
}

func (st *stream) expire(ctx context.Context, now time.Time) {
	o := st.outcome()
	st.step(ctx, generation.Event{Kind: generation.Abandoned})
	st.out.end("", &generation.Failure{Code: "deadline", Outcome: o, RetryAfter: time.Second})
	st.note(now, timeline.Event{Kind: "request_failed", Decision: "fail", Why: "deadline", Outcome: string(o), Inputs: st.costs()})
}

// outcome tells what is known of a stream that is cut short.
func (st *stream) outcome() generation.Outcome {
	if st.core.Position == 0 {
		return generation.Unknown
	}
	return generation.Ran
}

// release ends what is left of the stream.
func (st *stream) release() {
	now := time.Now()
	if st.gone != "" {
		why := st.gone
		if st.server.cutOff.Load() {
			why = st.server.abandonReason()
		}
		st.note(now, timeline.Event{Kind: "request_abandoned", Decision: "cancel", Why: why, Outcome: string(st.outcome()), Inputs: st.costs()})
	}
	st.flushSamples(0)
	if st.paused {
		st.server.memory.paused.Add(-1)
	}
	st.account.hold(-st.kept)
	for _, a := range st.attempts {
		st.noteEnd(now, a, "unknown", "stream_over")
		a.cancel()
		st.land(now, a)
	}
	for name, c := range st.held {
		if st.finished && name == st.core.Target {
			c.Release()
			continue
		}
		if c.linger != nil && !c.linger.Stop() {
			continue
		}
		// A lost connection or an answer that never came may have left the generation running.
		go st.server.releaseAt(c.TargetChoice, st.wire.Generation, st.core.LastAttempt)
	}
	signal(st.out.ready)
}

// whyGone returns why the caller left; it is empty when the caller was told of a refusal.
func whyGone(ctx context.Context) string {
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

// releaseAt frees a slot once the target has confirmed the end or must have ended by itself.
func (s *Server) releaseAt(c TargetChoice, generationID string, attempt int) {
	confirmed := s.cancelAt(c.Target, generationID, attempt)
	// A target that was out for a moment confirms the end as soon as it is back, before its linger time is over.
	for over := time.Now().Add(s.Limits.Linger); !confirmed && time.Now().Before(over); {
		if sleep(s.calls.baseContext(), min(cancelPause, time.Until(over))) != nil {
			// The process ends; its slots come free when its end is proved.
			return
		}
		confirmed = s.cancelAt(c.Target, generationID, attempt)
	}
	c.Release()
}

func (st *stream) costs() []timeline.Input {
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

// note writes an event of the request; of terminal events only the first.
func (st *stream) note(now time.Time, ev timeline.Event) {
	if ev.Outcome != "" && st.request.terminalWritten.Swap(true) {
		return
	}
	ev.Generation = st.wire.Generation
	ev.Request, ev.Workspace, ev.Entry, ev.Version = st.request.id, st.request.workspace.Name, st.entry.Name, st.wire.Version
	ev.Revision = st.request.document.Revision
	st.server.Events.Write(now, ev)
}
