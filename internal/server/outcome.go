package server

import (
	"net/http"
	"time"

	"bambooferry.example/bambooferry/internal/callerconn"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// writeTerminalEvent writes a request's terminal event unless one has been written already.
func (s *Server) writeTerminalEvent(r *request, ev timeline.Event) {
	if r.terminalWritten.Swap(true) {
		return
	}
	ev.Request = r.id
	if r.workspace != nil {
		ev.Workspace = r.workspace.Name
	}
	if r.document != nil {
		ev.Revision = r.document.Revision
	}
	s.Events.Write(time.Now(), ev)
}

// ensureTerminalEvent writes a terminal event for a request that has none, also when its handler panics.
func (s *Server) ensureTerminalEvent(r *request) {
	defer s.activeHandlers.Add(-1)
	v := recover()
	if v != nil && v != http.ErrAbortHandler {
		s.writeTerminalEvent(r, timeline.Event{Kind: "request_failed", Decision: "fail", Why: "handler_panicked", Outcome: string(generation.Unknown)})
	}
	s.writeTerminalEvent(r, timeline.Event{Kind: "request_abandoned", Decision: "cancel", Why: s.abandonReason(), Outcome: string(generation.Unknown)})
	if v != nil {
		panic(v)
	}
}

// abandonReason returns why a request ended before its response was complete.
func (s *Server) abandonReason() string {
	if s.cutOff.Load() || s.runErr != nil && s.runErr() != nil {
		return "stopped_at_once"
	}
	return "caller_gone"
}

// terminalEventWait bounds the wait for the terminal events of requests that are cut off.
const terminalEventWait = time.Second

// closeNow cuts off requests in progress and waits for their terminal events.
func (s *Server) closeNow() error {
	s.cutOff.Store(true)
	err := s.callers.Close(callerconn.GraceOver)
	for deadline := time.Now().Add(terminalEventWait); s.activeHandlers.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	return err
}

// StoppedGracefully reports whether Run ended without cutting off a request.
func (s *Server) StoppedGracefully() bool { return s.graceful.Load() }
