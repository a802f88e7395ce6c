package command

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/operator"
	client "bambooferry.example/bambooferry/internal/platform"
	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/internal/standin/platform"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/generation"
)

const (
	stopService = "booking"
	// lossSlack bounds the time from a request's last byte to a close without an answer.
	lossSlack = 200 * time.Millisecond
)

// recordingService is a service that records which calls reached it and answers with the call's id.
type recordingService struct {
	delay time.Duration
	// release ends calls that hang.
	release chan struct{}
	mu      sync.Mutex
	seen    map[string]bool
}

func (s *recordingService) reached(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[id]
}

func (s *recordingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := strings.TrimPrefix(r.URL.Path, "/")
	s.mu.Lock()
	s.seen[id] = true
	s.mu.Unlock()
	if strings.HasPrefix(id, "hang") {
		<-s.release
		return
	}
	time.Sleep(s.delay)
	_, _ = io.WriteString(w, id)
}

// startRecordingService starts a service and a stand-in platform whose catalogue lists it, and returns the platform's address.
func startRecordingService(t *testing.T, delay time.Duration) (string, *recordingService) {
	s := &recordingService{delay: delay, release: make(chan struct{}), seen: map[string]bool{}}
	target := httptest.NewServer(s)
	t.Cleanup(func() { close(s.release); target.Close() })
	p := httptest.NewServer((&platform.Service{}).Handler())
	t.Cleanup(func() { p.CloseClientConnections(); p.Close() })
	d := catalogue.Document{
		Format: catalogue.FormatVersion, Revision: 1,
		Entries: []catalogue.Entry{{
			Name: stopService, Owner: "booking team", Kind: catalogue.Service, Class: catalogue.Interactive,
			Limits:  catalogue.Limits{InProgress: 1000, Queue: 1000, Deadline: catalogue.Duration(time.Minute), BodyBytes: 1 << 20},
			Version: "v1", Versions: []catalogue.Version{{Name: "v1"}},
			Targets: []catalogue.Target{{Name: "booking-0", Address: netip.MustParseAddrPort(target.Listener.Addr().String()), DataCentre: "dc-0", Version: "v1", Slots: 1000}},
		}},
		Workspaces: []catalogue.Workspace{{Name: "market", KeySHA256: catalogue.HashKey(signalKey), Weight: 1, InProgress: 1000}},
	}
	require.NoError(t, d.Check())
	data, err := json.Marshal(&d)
	require.NoError(t, err)
	store := client.Client{Address: netip.MustParseAddrPort(p.Listener.Addr().String()), HTTP: &http.Client{}, Timeout: time.Second}
	_, err = store.CompareAndSwap(t.Context(), operator.CatalogueKey, 0, data)
	require.NoError(t, err)
	return p.Listener.Addr().String(), s
}

// startStopProcess starts one instance with a drain period and waits until it serves calls.
func startStopProcess(t *testing.T, platformAddress string, drain time.Duration, args ...string) (*process, netip.AddrPort) {
	cursorKey := filepath.Join(t.TempDir(), "cursor")
	require.NoError(t, os.WriteFile(cursorKey, []byte(strings.Repeat("ab", 32)), 0o600))
	address := freeAddress(t)
	p := &process{args: append([]string{
		"serve", "-id=only", "-data-centre=dc-0", "-listen=" + address, "-cursor-key-file=" + cursorKey, "-platform=" + platformAddress,
		"-drain-wait=" + drain.String(), "-event-log=" + filepath.Join(t.TempDir(), "events"),
	}, args...)}
	p.start(t)
	at := netip.MustParseAddrPort(address)
	require.Eventually(t, func() bool {
		c, err := dialKept(at)
		if err != nil {
			return false
		}
		defer c.Close()
		a, _, err := c.send(newCall("warm-up"))
		return err == nil && a.status == http.StatusOK
	}, 40*time.Second, 50*time.Millisecond)
	return p, at
}

func newCall(id string) string {
	return fmt.Sprintf("POST /call/%s/%s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 1\r\n\r\nx", stopService, id, signalKey)
}

// keptConn is a caller's connection.
type keptConn struct {
	net.Conn
	in *bufio.Reader
}

// keptAnswer is a whole response.
type keptAnswer struct {
	status  int
	close   bool
	body    string
	refusal server.Refusal
}

func dialKept(address netip.AddrPort) (*keptConn, error) {
	c, err := (&net.Dialer{Timeout: 5 * time.Second}).DialContext(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return &keptConn{Conn: c, in: bufio.NewReader(c)}, nil
}

// send sends a request and reads the answer; sentAt is when the last byte was sent.
func (c *keptConn) send(raw string) (a *keptAnswer, sentAt time.Time, err error) {
	_, err = io.WriteString(c, raw)
	sentAt = time.Now()
	if err == nil {
		a, err = c.answer()
	}
	return a, sentAt, err
}

// answer reads a whole response.
func (c *keptConn) answer() (*keptAnswer, error) {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, err
	}
	a := &keptAnswer{status: res.StatusCode, close: res.Close, body: string(data)}
	var e struct{ Error server.Refusal }
	if a.status != http.StatusOK && json.Unmarshal(data, &e) == nil {
		a.refusal = e.Error
	}
	return a, nil
}

// check returns an error unless the answer to a call is whole or a refusal that is true.
func (a *keptAnswer) check(s *recordingService, id string) error {
	switch {
	case a.status == http.StatusOK && a.body == id && s.reached(id):
		return nil
	case a.status >= http.StatusBadRequest && a.refusal.Outcome == generation.NotRun && !s.reached(id):
		return nil
	}
	return fmt.Errorf("status %d, reached target: %v: %s", a.status, s.reached(id), a.body)
}

// openKept opens connections, and if used is set sends a first call on each.
func openKept(t *testing.T, address netip.AddrPort, n int, used bool) []*keptConn {
	conns := make([]*keptConn, n)
	for i := range conns {
		c, err := dialKept(address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		if used {
			a, _, err := c.send(newCall(fmt.Sprint("first-", i)))
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, a.status, a.body)
			require.False(t, a.close)
		}
		conns[i] = c
	}
	return conns
}

// signalProcess sends a signal to the process.
func (p *process) signalProcess(t *testing.T, s syscall.Signal) {
	require.NoError(t, p.Process.Signal(s))
}

// TestFrozenOverEndOfDrain guards against requests without an answer that the kernel holds when a process frozen for a second wakes after its drain period.
func TestFrozenOverEndOfDrain(t *testing.T) {
	for _, c := range []struct {
		name       string
		processors string
		fresh      bool
	}{
		{name: "kept connections", processors: "8"},
		{name: "kept connections, one processor", processors: "1"},
		{name: "connections opened while frozen", processors: "8", fresh: true},
		{name: "connections opened while frozen, one processor", processors: "1", fresh: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Setenv("GOMAXPROCS", c.processors)
			platformAddress, s := startRecordingService(t, 0)
			p, address := startStopProcess(t, platformAddress, 400*time.Millisecond)
			var conns []*keptConn
			if !c.fresh {
				conns = openKept(t, address, 100, true)
			}
			termAt := time.Now()
			p.signalProcess(t, syscall.SIGTERM)
			time.Sleep(200 * time.Millisecond)
			p.signalProcess(t, syscall.SIGSTOP)
			t.Logf("frozen %v after the stop was requested", time.Since(termAt))
			time.Sleep(50 * time.Millisecond)
			if c.fresh {
				conns = openKept(t, address, 100, false)
			}
			for i, k := range conns {
				_, err := io.WriteString(k, newCall(fmt.Sprint("frozen-", i)))
				require.NoError(t, err)
			}
			time.Sleep(time.Second)
			p.signalProcess(t, syscall.SIGCONT)
			lost := 0
			for i, k := range conns {
				a, err := k.answer()
				if err != nil {
					lost++
					continue
				}
				require.NoError(t, a.check(s, fmt.Sprint("frozen-", i)))
			}
			require.Zero(t, lost, "requests without an answer")
			require.NoError(t, p.Wait(), "%s", p.logs.String())
		})
	}
}

// TestStopTimeoutAnswersCalls guards against calls in progress whose connections close silently when the stop timeout of a process passes.
func TestStopTimeoutAnswersCalls(t *testing.T) {
	platformAddress, s := startRecordingService(t, 0)
	p, address := startStopProcess(t, platformAddress, 100*time.Millisecond, "-stop-wait=500ms")
	requests := []struct{ id, raw string }{
		{"hang-unclaimed", newCall("hang-unclaimed")},
		{"hang-claimed", strings.Replace(newCall("hang-claimed"), "\r\n", "\r\nIdempotency-Key: first\r\n", 1)},
		{"hang-repeatable", fmt.Sprintf("GET /call/%s/hang-repeatable HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", stopService, signalKey)},
	}
	conns := openKept(t, address, len(requests), true)
	for i, r := range requests {
		_, err := io.WriteString(conns[i], r.raw)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return s.reached(r.id) }, 5*time.Second, time.Millisecond)
	}
	p.signalProcess(t, syscall.SIGTERM)
	for i, r := range requests {
		t.Run(r.id, func(t *testing.T) {
			a, err := conns[i].answer()
			require.NoError(t, err)
			require.True(t, a.close, a.body)
			require.GreaterOrEqual(t, a.status, http.StatusBadRequest, a.body)
			require.Equal(t, generation.Unknown, a.refusal.Outcome, a.body)
		})
	}
	_ = p.Wait()
}

// stopCounts counts how the requests of many callers ended.
type stopCounts struct {
	mu       sync.Mutex
	answered int
	refused  int
	lost     int
	faults   []string
}

func (n *stopCounts) add(s *recordingService, id string, sentAt time.Time, a *keptAnswer, err error) {
	took := time.Since(sentAt)
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case err == nil && a.status == http.StatusOK:
		n.answered++
	case err == nil:
		n.refused++
	default:
		n.lost++
		if reached := s.reached(id); reached || took > lossSlack {
			n.faults = append(n.faults, fmt.Sprintf("%s: no answer after %v, reached target: %v: %v", id, took, reached, err))
		}
		return
	}
	if err := a.check(s, id); err != nil {
		n.faults = append(n.faults, fmt.Sprintf("%s: %v", id, err))
	}
}

// runCaller sends calls on kept connections until no new connection can be opened.
func (n *stopCounts) runCaller(s *recordingService, address netip.AddrPort, rng *rand.Rand, name string) {
	var c *keptConn
	for i := 0; ; i++ {
		if c == nil {
			var err error
			if c, err = dialKept(address); err != nil {
				return
			}
		}
		time.Sleep(time.Duration(rng.Int64N(int64(200 * time.Millisecond))))
		id := fmt.Sprintf("%s-%d", name, i)
		a, sentAt, err := c.send(newCall(id))
		n.add(s, id, sentAt, a, err)
		if err != nil || a.close {
			_ = c.Close()
			c = nil
		}
	}
}

// TestStopUnderLoad guards against calls that are lost late or behind their target when a process is stopped under load, also if it is briefly frozen.
func TestStopUnderLoad(t *testing.T) {
	const callers = 200
	for _, processors := range []string{"8", "1"} {
		for _, frozen := range []bool{false, true} {
			for seed := range uint64(2) {
				t.Run(fmt.Sprintf("processors=%s/frozen=%v/seed=%d", processors, frozen, seed), func(t *testing.T) {
					t.Setenv("GOMAXPROCS", processors)
					rng := rand.New(rand.NewPCG(seed, 1))
					drain := 100*time.Millisecond + time.Duration(rng.Int64N(int64(100*time.Millisecond)))
					platformAddress, s := startRecordingService(t, 5*time.Millisecond)
					p, address := startStopProcess(t, platformAddress, drain)
					n := &stopCounts{}
					var group sync.WaitGroup
					for i := range callers {
						r := rand.New(rand.NewPCG(seed, uint64(i)+2))
						group.Go(func() { n.runCaller(s, address, r, fmt.Sprint("caller-", i)) })
					}
					time.Sleep(500 * time.Millisecond)
					p.signalProcess(t, syscall.SIGTERM)
					if frozen {
						time.Sleep(drain - 50*time.Millisecond)
						p.signalProcess(t, syscall.SIGSTOP)
						time.Sleep(time.Second)
						p.signalProcess(t, syscall.SIGCONT)
					}
					group.Wait()
					require.NoError(t, p.Wait(), "%s", p.logs.String())
					t.Logf("answered %d, refused %d, without an answer %d", n.answered, n.refused, n.lost)
					require.Positive(t, n.answered)
					require.Empty(t, n.faults)
				})
			}
		}
	}
}
