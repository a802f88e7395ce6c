package relay

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/route"
)

// Guards against a 404 or 401 for a route or key that a later table holds, from an instance that knows that it lacks it.
func TestOutdatedTableDoesNotDenyRoutesAndKeys(t *testing.T) {
	engine := startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool { return writeResponse(c, r, 200, "x", "Seal: s") })
	limits, pools := route.Limits{MaxBodyBytes: 1 << 10, IdleTimeout: time.Minute}, []route.Pool{{Name: "p", HealthPath: "/health"}}
	added := append([]route.Route{{Name: "added", Host: "h.example", Prefix: "/added/", Kind: route.Once, Timeout: time.Second, MaxAttempts: 1, PoolWeights: []route.PoolWeight{{Pool: "p", Weight: 1}}}}, testRoutes...)
	later := route.NewTable(2, limits, added, pools, map[string]*route.Workspace{"k": {Name: "w"}, "added": {Name: "x"}})
	for name, c := range map[string]struct {
		// arrives is set if the later table arrives while the request waits, and known if the table is known to be the latest one.
		arrives, known bool
		path, key      string
		status         int
		code           string
	}{
		"route, later table arrives":     {true, true, "/added/", "k", 200, ""},
		"key, later table arrives":       {true, true, "/book/", "added", 200, ""},
		"no such route, it arrives":      {true, true, "/none/", "k", 404, codeNoRoute},
		"route, later table is missing":  {false, false, "/added/", "k", 503, codeTableOutdated},
		"key, later table is missing":    {false, false, "/book/", "added", 503, codeTableOutdated},
		"route, table is the latest one": {false, true, "/added/", "k", 404, codeNoRoute},
		"key, table is the latest one":   {false, true, "/book/", "added", 401, codeKeyUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			tr := startRelay(t, engine)
			tr.relay.AwaitCurrentTable = func(ctx context.Context) bool {
				if c.arrives {
					time.Sleep(50 * time.Millisecond)
					TableKey.Put(tr.relay.Board, later)
				}
				if !c.known {
					<-ctx.Done()
				}
				return c.known
			}
			startedAt := time.Now()
			got := tr.request("POST", c.path, "", "Key", c.key, "Patience", "2s")
			require.NoError(t, got.err)
			require.Equal(t, c.status, got.status)
			require.Contains(t, got.body, c.code)
			require.Less(t, time.Since(startedAt), time.Second)
			if c.status == http.StatusServiceUnavailable {
				require.Contains(t, got.body, "not_run")
				require.NotEmpty(t, got.header.Get("Retry-After"))
			}
		})
	}
}
