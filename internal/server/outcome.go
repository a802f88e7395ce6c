package server

import (
	"net/http"
	"time"

	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// tell writes a request's terminal event, unless it has one.
func (s *Server) tell(r *request, ev timeline.Event) {
	if r.told.Swap(true) {
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

// settle gives a request that has no terminal event its last one, also when its handler panics.
func (s *Server) settle(r *request) {
	defer s.handling.Add(-1)
	v := recover()
	if v != nil && v != http.ErrAbortHandler {
		s.tell(r, timeline.Event{Kind: "request_failed", Decision: "fail", Why: "handler_panicked", Outcome: string(generation.Unknown)})
	}
	s.tell(r, timeline.Event{Kind: "request_abandoned", Decision: "cancel", Why: s.reasonGone(), Outcome: string(generation.Unknown)})
	if v != nil {
		panic(v)
	}
}

// reasonGone tells why a request ended before its answer did.
func (s *Server) reasonGone() string {
	if s.cut.Load() || s.over != nil && s.over() != nil {
		return "stopped_at_once"
	}
	return "caller_gone"
}

// settleWait bounds the wait for the terminal events of requests that are cut off.
const settleWait = time.Second

// close cuts off requests in progress and waits for their terminal events.
func (s *Server) close(server *http.Server) error {
	s.cut.Store(true)
	err := server.Close()
	for deadline := time.Now().Add(settleWait); s.handling.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	return err
}

// StoppedGracefully reports whether Run ended without cutting off a request.
func (s *Server) StoppedGracefully() bool { return s.inOrder.Load() }
