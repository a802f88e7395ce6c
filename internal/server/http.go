package server

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// DeadlineHeader carries the number of milliseconds that a request may still take.
const DeadlineHeader = "Bambooferry-Deadline"

// RequestIDHeader carries the request's id in each response.
const RequestIDHeader = "Bambooferry-Request"

// Handler returns the handler of the instance's HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.handle(s.handleCompletion))
	mux.HandleFunc("POST /v1/chat/completions", s.handle(s.handleCompletion))
	mux.HandleFunc("/call/{entry}", s.handle(s.handleCall))
	mux.HandleFunc("/call/{entry}/", s.handle(s.handleCall))
	mux.HandleFunc("GET /v1/models", s.handle(s.listModels))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.serveReady)
	for _, path := range []string{"/v1/completions", "/v1/chat/completions", "/v1/models"} {
		mux.HandleFunc(path, s.handle(func(http.ResponseWriter, *request) error {
			return newRefusal(http.StatusMethodNotAllowed, "wrong_method", "the path does not take this method")
		}))
	}
	mux.HandleFunc("/", s.handle(func(http.ResponseWriter, *request) error {
		return newRefusal(http.StatusNotFound, "unknown_path", "there is nothing at this path")
	}))
	return mux
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// request is one caller's request with the state of its handling.
type request struct {
	*http.Request
	id        string
	now       time.Time
	document  *catalogue.Document
	workspace *catalogue.Workspace
	// terminalWritten is set once the request's terminal event has been written to the timeline.
	terminalWritten atomic.Bool
	account         *account
	// entry and outcome are set for the metrics as soon as they are known.
	entry   string
	outcome string
	// lastTokenAt is when the last token was taken from the outbox for the caller.
	lastTokenAt time.Time
	onPart      func(p part)
}

// trackedResponse is a response writer that records whether the header was written.
type trackedResponse struct {
	http.ResponseWriter
	headerWritten bool
}

// Unwrap gives http.ResponseController access to the connection.
func (t *trackedResponse) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// WriteHeader writes the header.
func (t *trackedResponse) WriteHeader(status int) {
	t.headerWritten = true
	t.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (t *trackedResponse) Write(b []byte) (int, error) {
	t.headerWritten = true
	return t.ResponseWriter.Write(b)
}

// handle wraps a handler: it authenticates the request and converts errors and panics into responses.
func (s *Server) handle(h func(http.ResponseWriter, *request) error) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		w := &trackedResponse{ResponseWriter: rw}
		ctx, cancel := s.interruptible(r.Context(), w)
		defer cancel()
		req := &request{Request: r.WithContext(ctx), id: newID(), now: time.Now()}
		req.onPart = s.newPartObserver(req)
		w.Header().Set(RequestIDHeader, req.id)
		s.activeHandlers.Add(1)
		defer s.ensureTerminalEvent(req)
		if r.ContentLength != 0 {
			// The server continues to read the body after an early refusal, so the time for it is bounded.
			_ = http.NewResponseController(w).SetReadDeadline(req.now.Add(s.Limits.UploadTimeout))
		}
		defer s.countRequest(req)
		defer func() {
			if v := recover(); v != nil {
				s.logPanic(req, v)
				s.writeTerminalEvent(req, timeline.Event{Kind: "request_failed", Decision: "fail", Why: "handler_panicked", Outcome: string(generation.Unknown)})
				s.refuseRequest(w, req, errors.New("internal"))
			}
		}()
		err := s.authenticate(req)
		if err == nil {
			defer req.account.releaseAll()
			err = h(w, req)
		}
		var lost *callerLostError
		switch {
		case err != nil && isInterrupted(ctx) && !w.headerWritten:
			s.refuseRequest(w, req, interruptRefusal(err))
		case errors.As(err, &lost):
			// Part of an answer may have been written, so the connection cannot be used any more.
			panic(http.ErrAbortHandler)
		case err != nil:
			s.refuseRequest(w, req, err)
		}
	}
}

// logPanic logs and counts a panic, except http.ErrAbortHandler, with which it panics again. The
// panic's value may contain request content, so it is not logged.
func (s *Server) logPanic(r *request, v any) {
	if v == http.ErrAbortHandler {
		panic(v)
	}
	s.Metrics.GetOrCreateCounter("bambooferry_panics_total").Inc()
	s.Log.Error().Str("request", r.id).Str("stack", string(debug.Stack())).Msg("server: A request's handler panicked.")
}

func (s *Server) refuseRequest(w *trackedResponse, r *request, err error) {
	f := toRefusal(err)
	s.writeTerminalEvent(r, timeline.Event{Kind: "request_refused", Entry: r.entry, Decision: "refuse", Why: f.Code, Outcome: string(f.Outcome)})
	r.outcome = string(f.Outcome)
	s.countRefusal(f)
	if w.headerWritten {
		panic(http.ErrAbortHandler)
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.Limits.ReaderIdleTimeout))
	writeRefusal(w, r.id, f)
}

func (s *Server) authenticate(r *request) error {
	d, ok := Catalogue.Get(s.Board)
	if s.rejectNew.Load() {
		return leavingRefusal()
	}
	if !ok {
		return newRefusal(http.StatusServiceUnavailable, "not_ready", "the instance has no catalogue yet").retryAfter(time.Second)
	}
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if found {
		r.document, r.workspace = d, d.WorkspaceByKey(key)
	}
	if r.workspace == nil {
		return s.refuseUnknown(r.now, http.StatusUnauthorized, "wrong_key", "the bearer key belongs to no workspace")
	}
	r.account = s.newAccount(r.workspace.Name)
	return nil
}

// deadline returns when the request must end, according to the entry and the caller.
func (r *request) deadline(e *catalogue.Entry) (time.Time, error) {
	d := time.Duration(e.Limits.Deadline)
	if h := r.Header.Get(DeadlineHeader); h != "" {
		ms, err := strconv.ParseInt(h, 10, 64)
		if err != nil || ms < 1 || ms > int64(24*time.Hour/time.Millisecond) {
			return time.Time{}, newRefusal(http.StatusBadRequest, "invalid_deadline", DeadlineHeader+" must be a number of milliseconds")
		}
		d = min(d, time.Duration(ms)*time.Millisecond)
	}
	return r.now.Add(d), nil
}

// modelList lists models in the widely used JSON format.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// listModels lists the models that the workspace may use: each entry is open to all workspaces.
func (s *Server) listModels(w http.ResponseWriter, r *request) error {
	list := modelList{Object: "list", Data: []model{}}
	for i := range r.document.Entries {
		if e := &r.document.Entries[i]; e.Kind == catalogue.Model {
			list.Data = append(list.Data, model{ID: e.Name, Object: "model", OwnedBy: e.Owner})
		}
	}
	data, err := json.Marshal(list)
	if err != nil {
		return err
	}
	r.outcome = string(generation.Ran)
	return s.writeWhole(w, r, data)
}

func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
