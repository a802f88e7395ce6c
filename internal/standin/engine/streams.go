package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"bambooferry.example/bambooferry/pkg/engine"
)

const maxRequestBytes = 4 << 20

type refusal struct {
	Error   string `json:"error"`
	Outcome string `json:"outcome"`
}

func (e *Engine) generate(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	req := engine.Request{}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&req); err != nil {
		reply(w, http.StatusBadRequest, refusal{Error: "invalid_json", Outcome: "not_run"})
		return
	}
	e.mu.Lock()
	f, known := e.faults, req.Model == e.Model && slices.Contains(e.Versions, req.Version)
	newer := e.records[req.Generation]
	late := newer != nil && newer.request.Attempt > req.Attempt
	e.mu.Unlock()
	crashAfter, crashes := f.crashesSoon(req.Prompt)
	switch {
	case late:
		// A request that was held up on its way must not end a newer attempt.
		reply(w, http.StatusConflict, refusal{Error: "attempt_superseded", Outcome: "not_run"})
		return
	case f.Refuse:
		reply(w, http.StatusServiceUnavailable, refusal{Error: "refused", Outcome: "not_run"})
		return
	case !known:
		reply(w, http.StatusNotFound, refusal{Error: "unknown_version", Outcome: "not_run"})
		return
	case req.Delivered != "" && req.Delivered != AnswerText(&req, req.From):
		// A real engine would go on from any text; the stand-in shows a wrong one.
		reply(w, http.StatusConflict, refusal{Error: "delivered_text_differs", Outcome: "not_run"})
		return
	case crashes && crashAfter == 0:
		e.Kill()
		panic(http.ErrAbortHandler)
	}
	rec, ok := e.add(ctx, req)
	if !ok {
		e.Kill()
		panic(http.ErrAbortHandler)
	}
	if crashes {
		time.AfterFunc(crashAfter, func() { e.killWith(rec) })
	}
	e.send(w, r, rec, req.Attempt, req.From)
}

func (e *Engine) reattach(w http.ResponseWriter, r *http.Request) {
	from, err1 := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	attempt, err2 := strconv.Atoi(r.URL.Query().Get("attempt"))
	e.mu.Lock()
	rec := e.records[r.PathValue("id")]
	e.mu.Unlock()
	if err1 != nil || err2 != nil || rec == nil || from < rec.first {
		reply(w, http.StatusNotFound, refusal{Error: "record_missing", Outcome: "unknown"})
		return
	}
	e.send(w, r, rec, attempt, from)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	attempt, _ := strconv.Atoi(r.URL.Query().Get("attempt"))
	rec := e.records[r.PathValue("id")]
	if rec == nil {
		// The request may still be on its way, so the end cannot be confirmed.
		reply(w, http.StatusNotFound, refusal{Error: "record_missing", Outcome: "unknown"})
		return
	}
	// An older attempt's cancel must not end a newer attempt of the same generation.
	if rec.request.Attempt <= attempt {
		e.drop(rec)
	}
	reply(w, http.StatusOK, struct{}{})
}

// send writes the lines of a record from a position on, as they come.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, rec *record, attempt int, from uint64) {
	e.mu.Lock()
	e.connections++
	connection := e.connections
	rec.readers++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		rec.readers--
		rec.leftAt = time.Now()
		e.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	_ = out.Flush()
	for next := from; ; {
		tokens, end, broken, changed := e.read(rec, next)
		for _, text := range tokens {
			if !e.open(r.Context(), connection) {
				return
			}
			if err := e.line(enc, engine.Token{Attempt: attempt, Position: next, Text: text}); err != nil {
				return
			}
			next++
		}
		if end != "" && e.open(r.Context(), connection) {
			_ = enc.Encode(engine.Token{Attempt: attempt, Position: next, End: end})
			return
		}
		if broken {
			panic(http.ErrAbortHandler)
		}
		if out.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// line writes one token, with the faults that disturb the order of positions.
func (e *Engine) line(enc *json.Encoder, t engine.Token) error {
	e.mu.Lock()
	f := e.faults
	e.mu.Unlock()
	if f.SkipTokens && t.Position%10 == 9 {
		return nil
	}
	if f.RepeatTokens {
		if err := enc.Encode(t); err != nil {
			return err
		}
	}
	return enc.Encode(t)
}

const linesAtOnce = 64

func (e *Engine) read(rec *record, next uint64) (texts []string, end string, broken bool, changed chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := next - rec.first; i < uint64(len(rec.texts)) {
		texts = rec.texts[i:min(i+linesAtOnce, uint64(len(rec.texts)))]
	}
	if next+uint64(len(texts)) >= rec.first+uint64(len(rec.texts)) {
		end, broken = rec.end, rec.broken && rec.end == ""
	}
	changed = rec.changed
	if len(texts) > 0 && end == "" && !broken {
		changed = alreadyClosed
	}
	return texts, end, broken, changed
}

var alreadyClosed = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// open waits while the engine is paused, and for good on a connection that went silent.
func (e *Engine) open(ctx context.Context, connection uint64) bool {
	if !e.pass(ctx) {
		return false
	}
	e.mu.Lock()
	silent := connection <= e.silentBefore
	e.mu.Unlock()
	if silent {
		<-ctx.Done()
		return false
	}
	return true
}
