package server

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/generation"
)

// sendEvent passes an event to the loop and reports whether it did so before the attempt was ended.
func (st *stream) sendEvent(ctx context.Context, ev generation.Event) bool {
	select {
	case st.events <- ev:
		return true
	case <-ctx.Done():
		return false
	}
}

// attemptConnection is one attempt's connection to its engine; a separate goroutine reads it.
//
// While the reader has stopped, the goroutine waits in sendEvent. The work of each step is done
// in functions that have returned by then, so that the stack can shrink to 4 KiB.
type attemptConnection struct {
	st     *stream
	ctx    context.Context
	target catalogue.Target
	// attempt is the attempt's number.
	attempt int
	stats   attemptStats
	// readCtx ends with ctx, or when the request is found to crash its targets.
	readCtx    context.Context
	cancelRead context.CancelFunc
	// resumed is set when the attempt continues work that began earlier.
	resumed bool
	// running is the record of the request on its target, for crash detection; unregister removes it.
	running    *targetRequest
	unregister func()
	lines      engine.TokenReader
}

// readAttempt opens an attempt and forwards the engine's tokens to the loop.
func (st *stream) readAttempt(ctx context.Context, t catalogue.Target, req *engine.Request, mode generation.AttemptMode, placement *Placement) {
	c := &attemptConnection{st: st, ctx: ctx, target: t, attempt: req.Attempt, stats: attemptStats{placement: placement}, resumed: mode != generation.Fresh}
	c.readCtx, c.cancelRead = context.WithCancel(ctx)
	c.running, c.unregister = st.server.calls.registerRequest(t.Name, st.contentDigest(), req.From, c.cancelRead)
	defer c.close()
	if !c.open(req, mode) {
		return
	}
	for c.forwardLine() {
	}
}

// close releases the attempt's resources; a panic in one attempt must not end the others.
func (c *attemptConnection) close() {
	v := recover()
	if c.lines != nil {
		_ = c.lines.Close()
	}
	c.unregister()
	c.cancelRead()
	defer c.stats.report(c.ctx)
	if v != nil {
		c.st.server.logPanic(c.st.request, v)
		c.st.sendEvent(c.ctx, generation.Event{Kind: generation.ConnectionLost, Attempt: c.attempt, Target: c.target.Name, Reason: "internal"})
	}
}

// open sends the request and notifies the loop whether the engine accepted it.
func (c *attemptConnection) open(req *engine.Request, mode generation.AttemptMode) bool {
	st := c.st
	var err error
	if c.lines, err = st.server.openAttempt(c.readCtx, c.target, req, mode); err != nil {
		c.reportOpenFailure(err, mode)
		return false
	}
	timeouts := st.server.tokenGaps.silenceTimeouts(gapKey{entry: st.entry.Name, version: req.Version, target: c.target.Name}, st.server.Limits.SilenceTimeouts)
	return st.sendEvent(c.ctx, generation.Event{Kind: generation.Accepted, Attempt: c.attempt, Target: c.target.Name, Timeouts: timeouts})
}

// reportOpenFailure notifies the loop why the attempt could not be opened.
func (c *attemptConnection) reportOpenFailure(err error, mode generation.AttemptMode) {
	c.stats.err = err
	c.stats.report(c.ctx)
	kind := openFailureKind(err, mode)
	if kind == generation.Unreachable {
		// The request did not reach the target, so it cannot have crashed it.
		c.unregister()
	}
	if status := (*statusError)(nil); !errors.As(err, &status) {
		c.st.checkForCrash(err, c.target, c.resumed)
	}
	c.st.sendEvent(c.ctx, generation.Event{Kind: kind, Attempt: c.attempt, Target: c.target.Name, Reason: err.Error()})
}

// forwardLine passes one line to the loop and reports whether more will follow.
func (c *attemptConnection) forwardLine() bool {
	ev := generation.Event{}
	more := c.readEvent(&ev)
	if !c.st.sendEvent(c.ctx, ev) || !more {
		return false
	}
	c.running.recordToken(ev.Position + 1)
	return true
}

// readEvent reads one line as an event and reports whether more will follow.
func (c *attemptConnection) readEvent(ev *generation.Event) bool {
	waitStart := time.Now()
	tok, err := c.lines.Next()
	if err == nil && tok.Attempt != c.attempt {
		err = &engine.LineError{Attempt: tok.Attempt, Bytes: len(tok.Text)}
	}
	c.stats.recordLine(c.ctx, waitStart, tok, err)
	if err != nil {
		*ev = generation.Event{Kind: generation.ConnectionLost, Attempt: c.attempt, Target: c.target.Name, Reason: err.Error()}
		c.st.checkForCrash(err, c.target, c.resumed)
		return false
	}
	*ev = generation.Event{Kind: generation.TokenReceived, Attempt: tok.Attempt, Position: tok.Position, Text: tok.Text}
	if tok.End == "" {
		return true
	}
	ev.Kind, ev.Reason = generation.Ended, tok.End
	c.st.server.calls.recordSuccess(c.st.contentDigest())
	return false
}
