package server

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// Guards against a request without a terminal event, or with two, regardless of how its handler ends.
func TestEachRequestHasOneTerminalEvent(t *testing.T) {
	for name, c := range map[string]struct {
		handler func(s *Server, r *request) error
		want    string
	}{
		"refused":     {func(*Server, *request) error { return newRefusal(http.StatusNotFound, "unknown_model", "no") }, "request_refused unknown_model not_run"},
		"no response": {func(*Server, *request) error { return nil }, "request_abandoned caller_gone unknown"},
		"panic":       {func(*Server, *request) error { panic("fault") }, "request_failed handler_panicked unknown"},
		"aborted":     {func(*Server, *request) error { panic(http.ErrAbortHandler) }, "request_abandoned caller_gone unknown"},
		"event written, refused": {func(s *Server, r *request) error {
			s.writeTerminalEvent(r, timeline.Event{Kind: "request_failed", Why: "no_engine", Outcome: "not_run"})
			return context.Canceled
		}, "request_failed no_engine not_run"},
		"event written, panic": {func(s *Server, r *request) error {
			s.writeTerminalEvent(r, timeline.Event{Kind: "request_finished", Why: "length", Outcome: "ran"})
			panic("fault")
		}, "request_finished length ran"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			s := &Server{Board: blackboard.New(), Metrics: metrics.NewSet(), Events: &timeline.Writer{Out: &out, Instance: "a", Incarnation: 1, Clock: &timeline.Clock{}}}
			Catalogue.Put(s.Board, &catalogue.Document{Revision: 1, Workspaces: []catalogue.Workspace{{Name: "w", KeySHA256: catalogue.HashKey("key")}}})
			h := s.handle(func(_ http.ResponseWriter, r *request) error { return c.handler(s, r) })
			r := httptest.NewRequest(http.MethodPost, "/", nil)
			r.Header.Set("Authorization", "Bearer key")
			func() {
				defer func() { _ = recover() }()
				h(httptest.NewRecorder(), r)
			}()
			lines := strings.Split(strings.TrimSpace(out.String()), "\n")
			require.Len(t, lines, 1)
			got, err := timeline.Decode([]byte(lines[0]))
			require.NoError(t, err)
			require.Equal(t, c.want, got.Kind+" "+got.Why+" "+got.Outcome)
			require.Zero(t, s.activeHandlers.Load())
		})
	}
}
