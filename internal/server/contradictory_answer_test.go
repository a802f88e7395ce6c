package server

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/catalogue"
)

// TestSuccessThatStatesNotRunIsNotBelieved guards against a call that runs twice since the answer to the first run states that
// the target did not run it.
func TestSuccessThatStatesNotRunIsNotBelieved(t *testing.T) {
	for status, notRun := range map[int]bool{200: false, 204: false, 302: false, 409: true, 429: true, 503: true, 504: true} {
		target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(OutcomeHeader, "not_run")
			w.WriteHeader(status)
		}))
		defer target.Close()
		s := &Server{Client: NewClient(time.Second), Limits: DefaultLimits()}
		require.NoError(t, s.initCalls(t.Context()))
		c := &call{method: http.MethodPost, entry: &catalogue.Entry{Name: "e"}, workspace: &catalogue.Workspace{Name: "w"}, deadline: time.Now().Add(time.Minute)}
		_, err := s.sendOnNewConnection(t.Context(), catalogue.Target{Name: "t", Address: netip.MustParseAddrPort(target.Listener.Addr().String())}, c)
		require.Error(t, err)
		require.Equal(t, notRun, err.NotRun, "status %d", status)
	}
}
