package server

import (
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

// errReaderIdle ends a stream whose reader took nothing for too long.
var errReaderIdle = errors.New("reader_idle")

// start runs the stream's loop; stop ends it, gives back its memory and must be called once.
func (st *stream) start() (stop func(cause error)) {
	// The server ends the request's context on a write error, before the writer can tell the cause.
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(st.request.Context()))
	done := make(chan struct{})
	st.out.begin(st.core.Position, st.core.Digest)
	go func() {
		defer close(done)
		defer func() {
			// A fault in one stream must not end the others.
			if v := recover(); v != nil {
				st.server.panicked(st.request, v)
				st.out.end("", errors.New("internal"))
			}
		}()
		st.run(ctx)
	}()
	return func(cause error) {
		cancel(cause)
		<-done
		st.account.hold(-st.out.drop())
	}
}

// take removes the next part, if there is one.
func (st *stream) take(p *part) bool {
	freed, ok := st.out.take(p)
	st.account.hold(-freed)
	return ok
}

// next waits for the next part; idle is called each time the keep-alive period passes first.
func (st *stream) next(p *part, idle func() error) error {
	var timer <-chan time.Time
	for !st.take(p) {
		if timer == nil {
			if err := idle(); err != nil {
				return err
			}
			timer = time.After(st.server.Limits.KeepAliveInterval)
		}
		select {
		case <-st.out.ready:
		case <-timer:
			timer = nil
		case <-st.request.Context().Done():
			return st.request.Context().Err()
		}
	}
	return nil
}

// sendStream writes the answer as server-sent events while it is made.
func (s *Server) sendStream(w http.ResponseWriter, r *request, st *stream) (err error) {
	stop := st.start()
	defer func() { stop(err) }()
	e := &eventWriter{w: w, out: http.NewResponseController(w), idle: s.Limits.ReaderIdleTimeout}
	p := &part{}
	for over := false; !over; {
		if err := st.next(p, e.wait); err != nil {
			return s.lost(r, err)
		}
		if p.err != nil && !e.begun {
			return p.err
		}
		e.begin()
		r.observe(*p)
		over = st.appendPart(e, p)
		if err := e.write(); err != nil {
			return s.lost(r, err)
		}
	}
	if err := e.flush(); err != nil {
		return s.lost(r, err)
	}
	return nil
}

// lost notes why a caller's connection was given up; nothing more can be written to it.
func (s *Server) lost(r *request, err error) error {
	r.outcome = outcomeAbandoned
	if errors.Is(err, os.ErrDeadlineExceeded) {
		s.Metrics.GetOrCreateCounter("bambooferry_idle_readers_total").Inc()
		return &lostCaller{cause: errReaderIdle}
	}
	return &lostCaller{cause: err}
}

// lostCaller tells that the caller's connection was lost, so that nobody can be answered.
type lostCaller struct{ cause error }

func (l *lostCaller) Error() string { return "caller lost: " + l.cause.Error() }

// Unwrap returns why the caller was lost.
func (l *lostCaller) Unwrap() error { return l.cause }

// eventWriter writes server-sent events and bounds each wait for the reader.
type eventWriter struct {
	w     http.ResponseWriter
	out   *http.ResponseController
	idle  time.Duration
	begun bool
	// waited is set once all that was written has been flushed.
	waited bool
	// buf holds the events that are to be written next.
	buf []byte
	// renewed is when the write deadline was last set.
	renewed time.Time
}

// begin writes the header before the first event.
func (e *eventWriter) begin() {
	if e.begun {
		return
	}
	e.begun = true
	h := e.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	// Without this, proxies such as nginx collect events before they pass them on.
	h.Set("X-Accel-Buffering", "no")
	e.w.WriteHeader(http.StatusOK)
}

// maxEventBuffer is the largest buffer that is kept for the next events.
const maxEventBuffer = 1 << 10

// write writes the events in the buffer; it fails when the reader takes nothing for the idle time.
func (e *eventWriter) write() error {
	e.waited = false
	e.renew()
	_, err := e.w.Write(e.buf)
	if e.buf = e.buf[:0]; cap(e.buf) > maxEventBuffer {
		e.buf = nil
	}
	return err
}

func (e *eventWriter) flush() error {
	e.renew()
	return e.out.Flush()
}

// renewals is the number of times in the idle time that the write deadline is set, since setting it
// for each token takes longer than writing the token.
const renewals = 16

// renew sets the write deadline to the idle time from now, or up to a sixteenth later.
func (e *eventWriter) renew() {
	now, step := time.Now(), e.idle/renewals
	if now.Sub(e.renewed) < step {
		return
	}
	e.renewed = now
	_ = e.out.SetWriteDeadline(now.Add(e.idle + step))
}

// wait flushes what was written, or sends a comment when nothing came for the keep-alive time.
func (e *eventWriter) wait() error {
	if e.waited {
		e.begin()
		e.buf = append(e.buf, ": keep-alive\n\n"...)
		if err := e.write(); err != nil {
			return err
		}
	}
	e.waited = true
	if !e.begun {
		return nil
	}
	return e.flush()
}

// appendPart adds one part as an event to what is written next and reports whether it was the last.
func (st *stream) appendPart(e *eventWriter, p *part) (over bool) {
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
	e.buf = st.appendPiece(e.buf, p)
	e.buf = append(e.buf, "\n\n"...)
	if p.finish == "" {
		return false
	}
	st.request.outcome = string(generation.Ran)
	if st.usage {
		e.buf = append(e.buf, e.buf[from:to]...)
		e.buf = appendEvent(e.buf, st.encodeUsage(*p))
	}
	e.buf = append(e.buf, "data: [DONE]\n\n"...)
	return true
}

// appendCursor adds the event's id: the cursor that goes on after a part.
func (st *stream) appendCursor(b []byte, p *part) []byte {
	c := st.cursor
	c.Generation, c.Version, c.Adapter = st.wire.Generation, st.wire.Version, st.wire.Adapter
	c.Seed, c.Tokens = st.wire.Seed, uint64(st.wire.MaxTokens)
	c.Position, c.Attempt, c.Digest, c.Target = p.position, uint64(p.attempt), p.digest, p.target
	c.Expires = st.request.now.Add(st.server.Limits.CursorTTL)
	return append(st.server.Signer.AppendSign(append(b, "id: "...), &c), '\n')
}

func appendEvent(b, data []byte) []byte {
	return append(append(append(b, "data: "...), data...), "\n\n"...)
}

// sendWhole collects the answer and writes it as one JSON object.
func (s *Server) sendWhole(w http.ResponseWriter, r *request, st *stream) (err error) {
	stop := st.start()
	defer func() { stop(err) }()
	var text strings.Builder
	p := &part{}
	for {
		err := st.next(p, func() error { return nil })
		switch {
		case err != nil:
			return s.lost(r, err)
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
			// The text is garbage from here on, so nothing of it stays counted.
			f := toRefusal(err)
			f.Outcome = generation.Ran
			return f
		}
		r.observe(*p)
		if p.finish == "" {
			continue
		}
		r.outcome = string(generation.Ran)
		p.text = text.String()
		return s.writeWhole(w, r, st.encode(*p, true))
	}
}

// writeWhole writes a JSON answer and bounds the wait for the reader.
func (s *Server) writeWhole(w http.ResponseWriter, r *request, data []byte) error {
	r.account.hold(len(data))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)+1))
	out := http.NewResponseController(w)
	_ = out.SetWriteDeadline(time.Now().Add(s.Limits.ReaderIdleTimeout))
	_, err := w.Write(append(data, '\n'))
	if err == nil {
		err = out.Flush()
	}
	if err != nil {
		return s.lost(r, err)
	}
	return nil
}
