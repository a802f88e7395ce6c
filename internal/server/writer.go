package server

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/generation"
)

// errReaderIdle ends a stream whose reader has read nothing for too long.
var errReaderIdle = errors.New("reader_idle")

// startLoop runs the stream's loop; stop ends it, releases its memory and must be called once.
func (st *stream) startLoop() (stop func(cause error)) {
	// The server cancels the request's context on a write error before the writer can state the cause.
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(st.request.Context()))
	done := make(chan struct{})
	st.outbox.setStart(st.core.Position, st.core.Digest)
	go func() {
		defer close(done)
		defer func() {
			// A panic in one stream must not end the others.
			if v := recover(); v != nil {
				st.server.logPanic(st.request, v)
				st.outbox.setEnd("", errors.New("internal"))
			}
		}()
		st.run(ctx)
	}()
	return func(cause error) {
		cancel(cause)
		<-done
		st.account.add(-st.outbox.discard())
	}
}

// takePart removes the next part and reports whether there was one.
func (st *stream) takePart(p *part) bool {
	freed, ok := st.outbox.take(p)
	st.account.add(-freed)
	return ok
}

// nextPart waits for the next part. idle is called before the first wait and after each keep-alive interval without a part.
func (st *stream) nextPart(p *part, idle func() error) error {
	var timer <-chan time.Time
	for !st.takePart(p) {
		if timer == nil {
			if err := idle(); err != nil {
				return err
			}
			timer = time.After(st.server.Limits.KeepAliveInterval)
		}
		select {
		case <-st.outbox.ready:
		case <-timer:
			timer = nil
		case <-st.request.Context().Done():
			if isInterrupted(st.request.Context()) {
				*p = part{err: st.interrupt()}
				return nil
			}
			return st.request.Context().Err()
		}
	}
	return nil
}

// sendStream writes the answer as server-sent events while it is generated.
func (s *Server) sendStream(w http.ResponseWriter, r *request, st *stream) (err error) {
	p := &part{}
	stop := st.startLoop()
	defer func() { stop(cmp.Or(err, p.err)) }()
	e := &eventWriter{w: w, out: http.NewResponseController(w), idleTimeout: s.Limits.ReaderIdleTimeout}
	for done := false; !done; {
		if err := st.nextPart(p, e.flushOrKeepAlive); err != nil {
			return s.callerLost(r, err)
		}
		if p.err != nil && !e.headerWritten {
			return p.err
		}
		e.writeHeader()
		r.onPart(*p)
		done = st.appendPart(e, p)
		if err := e.write(); err != nil {
			return s.callerLost(r, err)
		}
	}
	if err := e.flush(); err != nil {
		return s.callerLost(r, err)
	}
	return nil
}

// callerLost records why a caller's connection was given up; nothing more can be written to it.
func (s *Server) callerLost(r *request, err error) error {
	r.outcome = outcomeAbandoned
	if errors.Is(err, os.ErrDeadlineExceeded) {
		s.Metrics.GetOrCreateCounter("bambooferry_idle_readers_total").Inc()
		return &callerLostError{cause: errReaderIdle}
	}
	return &callerLostError{cause: err}
}

// callerLostError states that the caller's connection was lost, so no response can be written.
type callerLostError struct{ cause error }

func (l *callerLostError) Error() string { return "caller lost: " + l.cause.Error() }

// Unwrap returns why the caller was lost.
func (l *callerLostError) Unwrap() error { return l.cause }

// eventWriter writes server-sent events and bounds each wait for the reader.
type eventWriter struct {
	w             http.ResponseWriter
	out           *http.ResponseController
	idleTimeout   time.Duration
	headerWritten bool
	// flushed is set once everything written has been flushed.
	flushed bool
	// buf holds the events to be written next.
	buf []byte
	// deadlineSetAt is when the write deadline was last set.
	deadlineSetAt time.Time
}

// writeHeader writes the response header before the first event.
func (e *eventWriter) writeHeader() {
	if e.headerWritten {
		return
	}
	e.headerWritten = true
	h := e.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	// Without this, proxies such as nginx buffer events.
	h.Set("X-Accel-Buffering", "no")
	e.w.WriteHeader(http.StatusOK)
}

// maxEventBuffer is the largest buffer that is kept for further events.
const maxEventBuffer = 1 << 10

// write writes the events in the buffer; it fails if the reader reads nothing for the idle time.
func (e *eventWriter) write() error {
	e.flushed = false
	e.renewDeadline()
	_, err := e.w.Write(e.buf)
	if e.buf = e.buf[:0]; cap(e.buf) > maxEventBuffer {
		e.buf = nil
	}
	return err
}

func (e *eventWriter) flush() error {
	e.renewDeadline()
	return e.out.Flush()
}

// deadlineRenewals is how often the write deadline is set within the idle time; setting it
// for each token would take longer than writing the token.
const deadlineRenewals = 16

// renewDeadline sets the write deadline to the idle time from now, or up to a sixteenth later.
func (e *eventWriter) renewDeadline() {
	now, step := time.Now(), e.idleTimeout/deadlineRenewals
	if now.Sub(e.deadlineSetAt) < step {
		return
	}
	e.deadlineSetAt = now
	_ = e.out.SetWriteDeadline(now.Add(e.idleTimeout + step))
}

// flushOrKeepAlive flushes what was written, or sends a comment if nothing was written since the last flush.
func (e *eventWriter) flushOrKeepAlive() error {
	if e.flushed {
		e.writeHeader()
		e.buf = append(e.buf, ": keep-alive\n\n"...)
		if err := e.write(); err != nil {
			return err
		}
	}
	e.flushed = true
	if !e.headerWritten {
		return nil
	}
	return e.flush()
}

// appendPart appends one part as an event to the buffer and reports whether it was the last.
func (st *stream) appendPart(e *eventWriter, p *part) (last bool) {
	if p.err != nil {
		f := toRefusal(p.err)
		f.RequestID = st.request.id
		st.request.outcome = string(f.Outcome)
		st.server.countRefusal(f)
		data, _ := json.Marshal(errorBody{f})
		e.buf = appendEvent(e.buf, data)
		return true
	}
	from := len(e.buf)
	e.buf = st.appendCursor(e.buf, p)
	to := len(e.buf)
	e.buf = append(e.buf, "data: "...)
	e.buf = st.appendPartJSON(e.buf, p)
	e.buf = append(e.buf, "\n\n"...)
	if p.finishReason == "" {
		return false
	}
	st.request.outcome = string(generation.Ran)
	if st.wantUsage {
		e.buf = append(e.buf, e.buf[from:to]...)
		e.buf = appendEvent(e.buf, st.encodeUsage(*p))
	}
	e.buf = append(e.buf, "data: [DONE]\n\n"...)
	return true
}

// appendCursor appends the event's id: the cursor that resumes the answer after a part.
func (st *stream) appendCursor(b []byte, p *part) []byte {
	c := st.cursor
	c.Generation, c.Version, c.Adapter = st.engineRequest.Generation, st.engineRequest.Version, st.engineRequest.Adapter
	c.Seed, c.Tokens = st.engineRequest.Seed, uint64(st.engineRequest.MaxTokens)
	c.Position, c.Attempt, c.Digest, c.Target = p.position, uint64(p.attempt), p.digest, p.target
	c.Expires = st.request.now.Add(st.server.Limits.CursorTTL)
	return append(st.server.Signer.AppendSign(append(b, "id: "...), &c), '\n')
}

func appendEvent(b, data []byte) []byte {
	return append(append(append(b, "data: "...), data...), "\n\n"...)
}

// sendWhole collects the answer and writes it as one JSON object.
func (s *Server) sendWhole(w http.ResponseWriter, r *request, st *stream) (err error) {
	stop := st.startLoop()
	defer func() { stop(err) }()
	var text strings.Builder
	p := &part{}
	for {
		err := st.nextPart(p, func() error { return nil })
		switch {
		case err != nil:
			return s.callerLost(r, err)
		case p.err != nil:
			return p.err
		case text.Len()+len(p.text) > s.Limits.MaxAnswerBytes:
			f := newRefusal(http.StatusInsufficientStorage, "answer_too_large", "the answer is larger than an instance collects; ask for a stream")
			f.Outcome = generation.Ran
			return f
		}
		before := text.Cap()
		text.WriteString(p.text)
		if err := st.account.reserve(text.Cap() - before); err != nil {
			// The text is discarded here, so none of it remains counted.
			f := toRefusal(err)
			f.Outcome = generation.Ran
			return f
		}
		r.onPart(*p)
		if p.finishReason == "" {
			continue
		}
		r.outcome = string(generation.Ran)
		p.text = text.String()
		return s.writeWhole(w, r, st.encodePart(*p, true))
	}
}

// writeWhole writes a JSON answer and bounds the wait for the reader.
func (s *Server) writeWhole(w http.ResponseWriter, r *request, data []byte) error {
	r.account.add(len(data))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)+1))
	out := http.NewResponseController(w)
	_ = out.SetWriteDeadline(time.Now().Add(s.Limits.ReaderIdleTimeout))
	_, err := w.Write(append(data, '\n'))
	if err == nil {
		err = out.Flush()
	}
	if err != nil {
		return s.callerLost(r, err)
	}
	return nil
}
