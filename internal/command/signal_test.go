package command

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/caller"
	"bambooferry.example/bambooferry/internal/operator"
	client "bambooferry.example/bambooferry/internal/platform"
	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/internal/standin/engine"
	"bambooferry.example/bambooferry/internal/standin/platform"
	"bambooferry.example/bambooferry/pkg/catalogue"
)

const signalKey = "secret"

// startTargets starts an engine and a stand-in platform as startService does, and returns the
// platform's address.
func startTargets(t *testing.T) (string, *engine.Engine) {
	service, e := startService(t)
	return service.Listener.Addr().String(), e
}

// startService starts an engine and a stand-in platform whose catalogue lists the engine.
func startService(t *testing.T) (*httptest.Server, *engine.Engine) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &engine.Engine{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Model: "ferry-llm", Versions: []string{"v1"}, Slots: 8, MaxRequests: 16,
		FirstToken: 10 * time.Millisecond, TokenInterval: 10 * time.Millisecond, Linger: 30 * time.Second, Retention: 30 * time.Second, Seed: 1,
	}
	done := make(chan struct{})
	go func() { defer close(done); _ = e.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	service := httptest.NewServer((&platform.Service{}).Handler())
	t.Cleanup(func() { service.CloseClientConnections(); service.Close() })
	d := catalogue.Document{
		Format: catalogue.FormatVersion, Revision: 1,
		Entries: []catalogue.Entry{{
			Name: "ferry-llm", Owner: "assistant team", Kind: catalogue.Model, Class: catalogue.Interactive,
			Limits:  catalogue.Limits{InProgress: 100, Queue: 100, Deadline: catalogue.Duration(time.Minute), BodyBytes: 1 << 20, Tokens: 1 << 20},
			Version: "v1", Versions: []catalogue.Version{{Name: "v1"}},
			Targets: []catalogue.Target{{Name: "engine-0", Address: e.Address(), DataCentre: "dc-0", Version: "v1", Slots: 8}},
		}},
		Workspaces: []catalogue.Workspace{{Name: "market", KeySHA256: catalogue.HashKey(signalKey), Weight: 1, InProgress: 100}},
	}
	require.NoError(t, d.Check())
	data, err := json.Marshal(&d)
	require.NoError(t, err)
	store := client.Client{Address: netip.MustParseAddrPort(service.Listener.Addr().String()), HTTP: &http.Client{}, Timeout: time.Second}
	_, err = store.CompareAndSwap(t.Context(), operator.CatalogueKey, 0, data)
	require.NoError(t, err)
	return service, e
}

// startServe starts one instance and waits until it is ready.
func startServe(t *testing.T, platformAddress, cursorKey string) (*process, netip.AddrPort) {
	address := freeAddress(t)
	p := &process{args: []string{
		"serve", "-id=only", "-data-centre=dc-0", "-listen=" + address, "-cursor-key-file=" + cursorKey, "-platform=" + platformAddress,
		"-drain-wait=200ms", "-event-log=" + filepath.Join(t.TempDir(), "events"),
	}}
	p.start(t)
	require.Eventually(t, func() bool { return httpStatus(address, "/readyz") == http.StatusOK }, 40*time.Second, 20*time.Millisecond)
	return p, netip.MustParseAddrPort(address)
}

func httpStatus(address, path string) int {
	res, err := http.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// TestSignals guards against a first SIGTERM that truncates a response, and against a second one that does
// not end the process or after which the caller cannot resume the exact rest of the response at the next instance.
func TestSignals(t *testing.T) {
	const tokens = 200
	cursorKey := filepath.Join(t.TempDir(), "cursor")
	require.NoError(t, os.WriteFile(cursorKey, []byte(strings.Repeat("ab", 32)), 0o600))
	platformAddress, e := startTargets(t)
	newRequest := func(at ...netip.AddrPort) caller.Completion {
		return caller.Completion{APIKey: signalKey, Model: "ferry-llm", Prompt: "rules", Tokens: tokens, Seed: 7, Instances: at, MaxAttempts: len(at)}
	}

	first, address := startServe(t, platformAddress, cursorKey)
	c := newRequest(address)
	c.OnToken = func(n int) {
		if n == 10 {
			require.NoError(t, first.Process.Signal(syscall.SIGTERM))
		}
		if n == tokens/2 {
			require.Zero(t, httpStatus(address.String(), "/readyz"), "no new request is accepted after the drain")
		}
	}
	whole, err := c.Stream(t.Context())
	require.NoError(t, err, "a graceful stop truncates no response")
	require.Equal(t, tokens, whole.Tokens)
	require.NoError(t, first.Wait(), "%s", first.logs.String())

	second, address := startServe(t, platformAddress, cursorKey)
	c = newRequest(address)
	c.OnToken = func(n int) {
		switch n {
		case 10:
			require.NoError(t, second.Process.Signal(syscall.SIGTERM))
		case 20:
			require.NoError(t, second.Process.Signal(syscall.SIGTERM))
		}
	}
	startedAt := time.Now()
	part, err := c.Stream(t.Context())
	require.Error(t, err, "the second signal ends the response")
	require.Less(t, part.Tokens, tokens)
	_ = second.Wait()
	require.Less(t, time.Since(startedAt), 5*time.Second)
	startedBefore := e.Stats().Started

	_, third := startServe(t, platformAddress, cursorKey)
	rest, err := newRequest(third).Resume(t.Context(), part)
	require.NoError(t, err)
	require.Equal(t, whole.Text, rest.Text, "the caller receives exactly the rest")
	require.Equal(t, startedBefore, e.Stats().Started, "the engine's kept generation is used and nothing is recomputed")
	// The slots of the incarnation that did not leave gracefully are reassigned once its work must have ended.
	next, err := newRequest(third).Stream(t.Context())
	require.NoError(t, err)
	require.Equal(t, whole.Text, next.Text)
}

// TestStopDuringStoreOutage guards against a stop that waits for an unavailable key-value service longer than
// platforms wait for a process, or that does not log it.
func TestStopDuringStoreOutage(t *testing.T) {
	cursorKey := filepath.Join(t.TempDir(), "cursor")
	require.NoError(t, os.WriteFile(cursorKey, []byte(strings.Repeat("ab", 32)), 0o600))
	service, _ := startService(t)
	p, _ := startServe(t, service.Listener.Addr().String(), cursorKey)
	service.CloseClientConnections()
	service.Close()
	startedAt := time.Now()
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	require.NoError(t, p.Wait(), "%s", p.logs.String())
	require.Less(t, time.Since(startedAt), 8*time.Second-server.DefaultLimits().DrainPeriod, "excluding the default drain; the test's own drain is 0.2 s")
	require.Contains(t, p.logs.String(), "could not remove itself from the roster")
}
