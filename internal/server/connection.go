package server

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/generation"
)

// send hands an event to the loop, unless the attempt has been ended.
func (st *stream) send(ctx context.Context, ev generation.Event) bool {
	select {
	case st.events <- ev:
		return true
	case <-ctx.Done():
		return false
	}
}

// connection is one attempt's connection to its engine, read by a goroutine of its own.
//
// While the reader has stopped the goroutine waits in send. What a step needs for itself is
// therefore kept in functions that have returned by then, so that its stack shrinks to 4 KiB.
type connection struct {
	st     *stream
	ctx    context.Context
	target catalogue.Target
	// attempt is the attempt's number.
	attempt int
	stats   attemptStats
	// reading ends with ctx, or when the request is found to crash its targets.
	reading context.Context
	stop    context.CancelFunc
	// again is set when the attempt goes on with work that was begun before.
	again bool
	// taken is what a crash of the target says of the request, until leave is called.
	taken *targetRequest
	leave func()
	lines engine.TokenReader
}

// read opens the attempt and passes on what the engine sends.
func (st *stream) read(ctx context.Context, t catalogue.Target, req *engine.Request, way generation.AttemptMode, placement *Placement) {
	c := &connection{st: st, ctx: ctx, target: t, attempt: req.Attempt, stats: attemptStats{placement: placement}, again: way != generation.Fresh}
	c.reading, c.stop = context.WithCancel(ctx)
	c.taken, c.leave = st.server.calls.registerRequest(t.Name, st.contentDigest(), req.From, c.stop)
	defer c.end()
	if !c.open(req, way) {
		return
	}
	for c.pass() {
	}
}

// end gives up what the attempt holds; a fault in one attempt must not end the others.
func (c *connection) end() {
	v := recover()
	if c.lines != nil {
		_ = c.lines.Close()
	}
	c.leave()
	c.stop()
	defer c.stats.report(c.ctx)
	if v != nil {
		c.st.server.panicked(c.st.request, v)
		c.st.send(c.ctx, generation.Event{Kind: generation.ConnectionLost, Attempt: c.attempt, Target: c.target.Name, Reason: "internal"})
	}
}

// open sends the request and tells the loop whether the engine accepted it.
func (c *connection) open(req *engine.Request, way generation.AttemptMode) bool {
	st := c.st
	var err error
	if c.lines, err = st.server.open(c.reading, c.target, req, way); err != nil {
		c.failed(err, way)
		return false
	}
	patience := st.server.gaps.patience(gapKey{entry: st.entry.Name, version: req.Version, target: c.target.Name}, st.server.Limits.SilenceTimeouts)
	return st.send(c.ctx, generation.Event{Kind: generation.Accepted, Attempt: c.attempt, Target: c.target.Name, Timeouts: patience})
}

// failed tells the loop why the attempt could not be opened.
func (c *connection) failed(err error, way generation.AttemptMode) {
	c.stats.err = err
	c.stats.report(c.ctx)
	kind := lossOf(err, way)
	if kind == generation.Unreachable {
		// Only a request that the target takes up can crash it.
		c.leave()
	}
	if status := (*statusError)(nil); !errors.As(err, &status) {
		c.st.checkForCrash(err, c.target, c.again)
	}
	c.st.send(c.ctx, generation.Event{Kind: kind, Attempt: c.attempt, Target: c.target.Name, Reason: err.Error()})
}

// pass hands one line to the loop and reports whether more are to come.
func (c *connection) pass() bool {
	ev := generation.Event{}
	more := c.next(&ev)
	if !c.st.send(c.ctx, ev) || !more {
		return false
	}
	c.taken.recordToken(ev.Position + 1)
	return true
}

// next reads one line as an event and reports whether more are to come.
func (c *connection) next(ev *generation.Event) bool {
	asked := time.Now()
	tok, err := c.lines.Next()
	if err == nil && tok.Attempt != c.attempt {
		err = &engine.LineError{Attempt: tok.Attempt, Bytes: len(tok.Text)}
	}
	c.stats.recordLine(c.ctx, asked, tok, err)
	if err != nil {
		*ev = generation.Event{Kind: generation.ConnectionLost, Attempt: c.attempt, Target: c.target.Name, Reason: err.Error()}
		c.st.checkForCrash(err, c.target, c.again)
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
