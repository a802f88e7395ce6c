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

// handleGenerate answers POST /generate: it starts a generation and streams its tokens.
func (e *Engine) handleGenerate(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	req := engine.Request{}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&req); err != nil {
		writeJSON(w, http.StatusBadRequest, refusal{Error: "invalid_json", Outcome: "not_run"})
		return
	}
	e.mu.Lock()
	f, known := e.faults, req.Model == e.Model && slices.Contains(e.Versions, req.Version)
	existing := e.records[req.Generation]
	superseded := existing != nil && existing.request.Attempt > req.Attempt
	e.mu.Unlock()
	crashAfter, crashes := f.crashDelay(req.Prompt)
	switch {
	case superseded:
		// A request that was delayed in transit must not end a newer attempt.
		writeJSON(w, http.StatusConflict, refusal{Error: "attempt_superseded", Outcome: "not_run"})
		return
	case f.Refuse:
		writeJSON(w, http.StatusServiceUnavailable, refusal{Error: "refused", Outcome: "not_run"})
		return
	case !known:
		writeJSON(w, http.StatusNotFound, refusal{Error: "unknown_version", Outcome: "not_run"})
		return
	case req.Delivered != "" && req.Delivered != AnswerText(&req, req.From):
		// A real engine would continue from any text; the stand-in reports text that differs from its own output.
		writeJSON(w, http.StatusConflict, refusal{Error: "delivered_text_differs", Outcome: "not_run"})
		return
	case crashes && crashAfter == 0:
		e.Kill()
		panic(http.ErrAbortHandler)
	}
	rec, ok := e.enqueue(ctx, req)
	if !ok {
		e.Kill()
		panic(http.ErrAbortHandler)
	}
	if crashes {
		time.AfterFunc(crashAfter, func() { e.crashDuring(rec) })
	}
	e.streamRecord(w, r, rec, req.Attempt, req.From)
}

// handleReattach answers GET /streams/{id}: it streams an existing record from the requested position.
func (e *Engine) handleReattach(w http.ResponseWriter, r *http.Request) {
	from, fromErr := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	attempt, attemptErr := strconv.Atoi(r.URL.Query().Get("attempt"))
	e.mu.Lock()
	rec := e.records[r.PathValue("id")]
	e.mu.Unlock()
	if fromErr != nil || attemptErr != nil || rec == nil || from < rec.firstPosition {
		writeJSON(w, http.StatusNotFound, refusal{Error: "record_missing", Outcome: "unknown"})
		return
	}
	e.streamRecord(w, r, rec, attempt, from)
}

// handleCancel answers DELETE /streams/{id}: it ends a generation unless a newer attempt runs it.
func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	attempt, _ := strconv.Atoi(r.URL.Query().Get("attempt"))
	rec := e.records[r.PathValue("id")]
	if rec == nil {
		// The request may still be in transit, so its end cannot be confirmed.
		writeJSON(w, http.StatusNotFound, refusal{Error: "record_missing", Outcome: "unknown"})
		return
	}
	// An older attempt's cancel must not end a newer attempt of the same generation.
	if rec.request.Attempt <= attempt {
		e.remove(rec)
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// streamRecord writes the tokens of a record, starting at a position, as they are generated.
func (e *Engine) streamRecord(w http.ResponseWriter, r *http.Request, rec *record, attempt int, from uint64) {
	e.mu.Lock()
	e.connections++
	connection := e.connections
	rec.readers++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		rec.readers--
		rec.lastReaderLeftAt = time.Now()
		e.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	_ = out.Flush()
	for position := from; ; {
		texts, endReason, aborted, changed := e.textsFrom(rec, position)
		for _, text := range texts {
			if !e.waitWritable(r.Context(), connection) {
				return
			}
			if err := e.writeToken(enc, engine.Token{Attempt: attempt, Position: position, Text: text}); err != nil {
				return
			}
			position++
		}
		if endReason != "" && e.waitWritable(r.Context(), connection) {
			_ = enc.Encode(engine.Token{Attempt: attempt, Position: position, End: endReason})
			return
		}
		if aborted {
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

// writeToken writes one token, subject to the faults that repeat or skip tokens.
func (e *Engine) writeToken(enc *json.Encoder, t engine.Token) error {
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

const maxTextsPerRead = 64

// textsFrom returns the texts available from a position on, and the record's end if no text follows them.
// The channel changed is closed once there is more to read.
func (e *Engine) textsFrom(rec *record, position uint64) (texts []string, endReason string, aborted bool, changed chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := position - rec.firstPosition; i < uint64(len(rec.texts)) {
		texts = rec.texts[i:min(i+maxTextsPerRead, uint64(len(rec.texts)))]
	}
	if position+uint64(len(texts)) >= rec.firstPosition+uint64(len(rec.texts)) {
		endReason, aborted = rec.endReason, rec.aborted && rec.endReason == ""
	}
	changed = rec.changed
	if len(texts) > 0 && endReason == "" && !aborted {
		changed = closedChannel
	}
	return texts, endReason, aborted, changed
}

var closedChannel = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// waitWritable waits while the engine is paused, and until ctx ends on a silenced connection.
// It reports whether the connection may be written to.
func (e *Engine) waitWritable(ctx context.Context, connection uint64) bool {
	if !e.waitUnpaused(ctx) {
		return false
	}
	e.mu.Lock()
	silenced := connection <= e.silencedUpTo
	e.mu.Unlock()
	if silenced {
		<-ctx.Done()
		return false
	}
	return true
}
