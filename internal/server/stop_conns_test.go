package server_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/generation"
)

var requestKinds = []string{"whole", "streamed", "call", "repeatable"}

const (
	testService = "booking"
	// lossSlack bounds the time from a request's last byte to a close without an answer.
	lossSlack = 200 * time.Millisecond
	// answerTimeout bounds the wait for an answer in tests.
	answerTimeout = 10 * time.Second
	// stopSlack bounds the time by which Run may end after the drain period and the stop timeout.
	stopSlack = 3 * time.Second
)

// recordingTarget is an engine and a service that records which requests reached it.
type recordingTarget struct {
	// delay is the time before an answer's first byte, pause the time before its end.
	delay time.Duration
	pause time.Duration
	// release ends requests that hang; nil means that none does.
	release chan struct{}
	mu      sync.Mutex
	seen    map[string]bool
}

// reached reports whether the request with an id has reached the target.
func (g *recordingTarget) reached(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.seen[id]
}

func (g *recordingTarget) record(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.seen == nil {
		g.seen = map[string]bool{}
	}
	g.seen[id] = true
}

func (g *recordingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id, isCall := strings.CutPrefix(r.URL.Path, "/run/")
	q := engine.Request{}
	if !isCall {
		if json.Unmarshal(data, &q) != nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		id = q.Prompt
	}
	g.record(id)
	if g.release != nil {
		if !isCall {
			_ = http.NewResponseController(w).Flush()
		}
		<-g.release
		return
	}
	time.Sleep(g.delay)
	if isCall {
		_, _ = io.WriteString(w, id)
		time.Sleep(g.pause)
		return
	}
	enc := json.NewEncoder(w)
	_ = enc.Encode(engine.Token{Attempt: q.Attempt, Position: q.From, Text: id})
	_ = http.NewResponseController(w).Flush()
	time.Sleep(g.pause)
	_ = enc.Encode(engine.Token{Attempt: q.Attempt, Position: q.From + 1, End: "length"})
}

// startStopInstance starts an instance whose model and service have the target.
func startStopInstance(t testing.TB, g *recordingTarget, drain, stop time.Duration, edits ...func(*server.Limits)) *testInstance {
	l := server.DefaultLimits()
	l.DrainPeriod, l.StopTimeout = drain, stop
	l.SilenceTimeouts = generation.Timeouts{FirstToken: time.Minute, NextToken: time.Minute, Accept: time.Minute}
	for _, edit := range edits {
		edit(&l)
	}
	model, service := startEngine(t, g), startEngine(t, g)
	if g.release != nil {
		t.Cleanup(func() { close(g.release) })
	}
	return startInstanceWithService(t, l, model, service)
}

// startInstanceWithService starts an instance whose model and service have one target each.
func startInstanceWithService(t testing.TB, l server.Limits, model, service netip.AddrPort) *testInstance {
	in := startInstance(t, l, model)
	d := testDocument([]netip.AddrPort{model})
	d.Revision++
	s := testDocument([]netip.AddrPort{service}).Entries[0]
	s.Name, s.Kind, s.Limits.Tokens = testService, catalogue.Service, 0
	d.Entries = append(d.Entries, s)
	require.NoError(t, d.Check())
	data, err := json.Marshal(d)
	require.NoError(t, err)
	require.True(t, in.ApplyCatalogue(time.Now(), data))
	return in
}

// waitStopped requires that Run ends within stopSlack after a stop may take.
func (in *testInstance) waitStopped(t testing.TB) {
	select {
	case <-in.done:
	case <-time.After(in.Limits.DrainPeriod + in.Limits.StopTimeout + stopSlack):
		require.Fail(t, "the instance has not stopped in time")
	}
}

// rawRequest returns the bytes of a request of a kind for an id: whole, streamed, call or repeatable.
func rawRequest(kind, id string) string {
	method, path, contentType, body := http.MethodPost, "/v1/completions", "application/json", fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":1,"stream":%v}`, testModel, id, kind == "streamed")
	switch kind {
	case "call":
		path, contentType, body = "/call/"+testService+"/run/"+id, "text/plain", "x"
	case "repeatable":
		method, path, body = http.MethodGet, "/call/"+testService+"/run/"+id, ""
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", method, path, testKey, contentType, len(body), body)
}

// rawConn is a caller's connection.
type rawConn struct {
	net.Conn
	in *bufio.Reader
}

// rawAnswer is a whole response.
type rawAnswer struct {
	status  int
	close   bool
	body    string
	refusal server.Refusal
}

func dialRaw(address netip.AddrPort) (*rawConn, error) {
	c, err := net.Dial("tcp", address.String())
	if err != nil {
		return nil, err
	}
	return &rawConn{Conn: c, in: bufio.NewReader(c)}, nil
}

func openRaw(t testing.TB, in *testInstance) *rawConn {
	c, err := dialRaw(in.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// answer reads a whole response.
func (c *rawConn) answer() (*rawAnswer, error) {
	_ = c.SetReadDeadline(time.Now().Add(answerTimeout))
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, err
	}
	a := &rawAnswer{status: res.StatusCode, close: res.Close, body: string(data)}
	var e struct{ Error server.Refusal }
	if a.status != http.StatusOK && json.Unmarshal(data, &e) == nil {
		a.refusal = e.Error
	}
	return a, nil
}

// check returns an error unless the answer to the request with an id is whole or a refusal that is true.
func (a *rawAnswer) check(g *recordingTarget, id string) error {
	switch {
	case a.status == http.StatusOK && strings.Contains(a.body, id) && g.reached(id):
		return nil
	case a.status >= http.StatusBadRequest && a.refusal.Outcome == generation.NotRun && !g.reached(id):
		return nil
	}
	return fmt.Errorf("status %d, reached target: %v: %s", a.status, g.reached(id), a.body)
}

// checkLeaving is like check, but the only refusal it accepts is the one of a stopping instance.
func (a *rawAnswer) checkLeaving(g *recordingTarget, id string) error {
	if err := a.check(g, id); err != nil || a.status == http.StatusOK {
		return err
	}
	if a.status != http.StatusServiceUnavailable || a.refusal.Code != "leaving" || !a.close {
		return fmt.Errorf("status %d, connection closes: %v: %s", a.status, a.close, a.body)
	}
	return nil
}

// use sends a first request so that the connection is a kept one.
func (c *rawConn) use(t testing.TB, g *recordingTarget, id string) {
	_, err := io.WriteString(c, rawRequest("whole", id))
	require.NoError(t, err)
	a, err := c.answer()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.status, a.body)
	require.False(t, a.close)
	require.True(t, g.reached(id))
}

// TestHalfSentHeaderAtEndOfDrain guards against a request without an answer whose header has arrived in part when the drain period ends.
func TestHalfSentHeaderAtEndOfDrain(t *testing.T) {
	g := &recordingTarget{}
	in := startStopInstance(t, g, 100*time.Millisecond, 10*time.Second)
	type half struct {
		*rawConn
		id, rest string
	}
	var halves []half
	for _, kept := range []bool{true, false} {
		for _, part := range []string{"P", "POST", "POST /v1/compl", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthori", "\r\n\r\n"} {
			id := fmt.Sprintf("half-%d", len(halves))
			raw := rawRequest("whole", id)
			n := strings.Index(raw, part) + len(part)
			if part == "\r\n\r\n" {
				n--
			}
			c := openRaw(t, in)
			if kept {
				c.use(t, g, "first-"+id)
			}
			_, err := io.WriteString(c, raw[:n])
			require.NoError(t, err)
			halves = append(halves, half{c, id, raw[n:]})
		}
	}
	in.stop()
	time.Sleep(in.Limits.DrainPeriod + 300*time.Millisecond)
	for i, h := range halves {
		t.Run(fmt.Sprintf("kept=%v/%d", i < len(halves)/2, i%(len(halves)/2)), func(t *testing.T) {
			_, err := io.WriteString(h, h.rest)
			require.NoError(t, err)
			a, err := h.answer()
			require.NoError(t, err)
			require.NoError(t, a.checkLeaving(g, h.id))
		})
	}
	in.waitStopped(t)
}

// TestUnusedConnectionAfterDrain guards against a connection that is still open after the drain period but drops the first request on it.
func TestUnusedConnectionAfterDrain(t *testing.T) {
	for _, kept := range []bool{true, false} {
		t.Run(fmt.Sprintf("kept=%v", kept), func(t *testing.T) {
			g := &recordingTarget{}
			in := startStopInstance(t, g, 100*time.Millisecond, 10*time.Second)
			c := openRaw(t, in)
			if kept {
				c.use(t, g, "first")
			}
			in.stop()
			_ = c.SetReadDeadline(time.Now().Add(in.Limits.DrainPeriod + 300*time.Millisecond))
			_, err := c.in.Peek(1)
			require.Error(t, err)
			if errors.Is(err, os.ErrDeadlineExceeded) {
				_, err = io.WriteString(c, rawRequest("whole", "next"))
				require.NoError(t, err)
				a, err := c.answer()
				require.NoError(t, err)
				require.NoError(t, a.checkLeaving(g, "next"))
			}
			require.NoError(t, c.Close())
			in.waitStopped(t)
		})
	}
}

// TestPipelinedRequestAtEndOfDrain guards against a request without an answer that has arrived behind one in progress when the drain period ends.
func TestPipelinedRequestAtEndOfDrain(t *testing.T) {
	for _, kind := range requestKinds {
		t.Run(kind, func(t *testing.T) {
			g := &recordingTarget{pause: 400 * time.Millisecond}
			in := startStopInstance(t, g, 100*time.Millisecond, 10*time.Second)
			c := openRaw(t, in)
			_, err := io.WriteString(c, rawRequest(kind, "first"))
			require.NoError(t, err)
			// A streamed answer's header is read before the stop, so it does not say that the connection closes.
			_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
			_, err = c.in.Peek(1)
			require.Equal(t, kind == "streamed", err == nil)
			_, err = io.WriteString(c, rawRequest(kind, "second"))
			require.NoError(t, err)
			in.stop()
			a, err := c.answer()
			require.NoError(t, err)
			require.NoError(t, a.check(g, "first"))
			if !a.close {
				a, err = c.answer()
				require.NoError(t, err, "the first answer did not say that the connection closes")
				require.NoError(t, a.checkLeaving(g, "second"))
				return
			}
			require.False(t, g.reached("second"))
		})
	}
}

// maxBurst is the longest time for which a goroutine runs without being preempted on one processor.
const maxBurst = 8 * time.Millisecond

// burst writes a text on each connection from begin on, and yields the only processor at end.
//
// It reports whether all texts were written before the time latest and no other goroutine can have run since, so
// that the kernel holds them at end.
func burst(conns []*rawConn, texts []string, begin, latest, end time.Time) bool {
	time.Sleep(time.Until(begin))
	startedAt := time.Now()
	for i, c := range conns {
		_, _ = io.WriteString(c, texts[i])
	}
	written := time.Now()
	for time.Now().Before(end) {
		continue
	}
	return written.Before(latest) && time.Since(startedAt) < maxBurst
}

// keepOneProcessor runs the test on one processor without garbage collection until the test ends.
func keepOneProcessor(t *testing.T) {
	n, percent := runtime.GOMAXPROCS(1), debug.SetGCPercent(-1)
	t.Cleanup(func() { runtime.GOMAXPROCS(n); debug.SetGCPercent(percent) })
}

// useAll opens connections and sends a first request on each.
func useAll(t *testing.T, in *testInstance, g *recordingTarget, n int) []*rawConn {
	conns := make([]*rawConn, n)
	for i := range conns {
		conns[i] = openRaw(t, in)
		conns[i].use(t, g, fmt.Sprint("first-", i))
	}
	return conns
}

// requireAllLeaving requires an answer to each request of a burst.
func requireAllLeaving(t *testing.T, g *recordingTarget, conns []*rawConn) {
	lost := 0
	for i, c := range conns {
		a, err := c.answer()
		if err != nil {
			lost++
			continue
		}
		require.NoError(t, a.checkLeaving(g, fmt.Sprint("burst-", i)))
	}
	require.Zero(t, lost, "requests without an answer")
}

// TestRequestsInKernelAtEndOfDrain guards against requests without an answer that the kernel holds for idle kept connections when the drain period ends.
func TestRequestsInKernelAtEndOfDrain(t *testing.T) {
	keepOneProcessor(t)
	const drain = 100 * time.Millisecond
	for range 20 {
		g := &recordingTarget{}
		in := startStopInstance(t, g, drain, 10*time.Second)
		conns, texts := useAll(t, in, g, 100), make([]string, 100)
		for i := range texts {
			texts[i] = rawRequest(requestKinds[i%len(requestKinds)], fmt.Sprint("burst-", i))
		}
		earliest := time.Now().Add(drain)
		in.stop()
		require.Eventually(t, func() bool { return !in.Ready() }, 5*time.Second, 100*time.Microsecond)
		undisturbed := burst(conns, texts, earliest.Add(-4*time.Millisecond), earliest, time.Now().Add(drain+time.Millisecond))
		if undisturbed {
			requireAllLeaving(t, g, conns)
			in.waitStopped(t)
			return
		}
	}
	require.Fail(t, "the test's goroutine was interrupted in each attempt")
}

// stopResult counts how the requests of many callers ended.
type stopResult struct {
	mu       sync.Mutex
	answered int
	refused  int
	// lost counts requests without an answer.
	lost   int
	faults []string
}

func (s *stopResult) add(g *recordingTarget, id string, sentAt time.Time, a *rawAnswer, err error) {
	took := time.Since(sentAt)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil && a.status == http.StatusOK:
		s.answered++
	case err == nil:
		s.refused++
	default:
		s.lost++
		if reached := g.reached(id); reached || took > lossSlack {
			s.faults = append(s.faults, fmt.Sprintf("%s: no answer after %v, reached target: %v: %v", id, took, reached, err))
		}
		return
	}
	if err := a.check(g, id); err != nil {
		s.faults = append(s.faults, fmt.Sprintf("%s: %v", id, err))
	}
}

// runCaller sends requests on kept connections until no new connection can be opened.
func (s *stopResult) runCaller(g *recordingTarget, address netip.AddrPort, rng *rand.Rand, name string) {
	var c *rawConn
	for n := 0; ; n++ {
		if c == nil {
			var err error
			if c, err = dialRaw(address); err != nil {
				return
			}
		}
		time.Sleep(time.Duration(rng.Int64N(int64(60 * time.Millisecond))))
		id := fmt.Sprintf("%s-%d", name, n)
		raw := rawRequest(requestKinds[rng.IntN(len(requestKinds))], id)
		if rng.IntN(4) == 0 {
			cut := 1 + rng.IntN(len(raw)-1)
			_, _ = io.WriteString(c, raw[:cut])
			time.Sleep(time.Duration(rng.Int64N(int64(30 * time.Millisecond))))
			raw = raw[cut:]
		}
		_, err := io.WriteString(c, raw)
		sentAt := time.Now()
		var a *rawAnswer
		if err == nil {
			a, err = c.answer()
		}
		s.add(g, id, sentAt, a, err)
		if err != nil || a.close {
			_ = c.Close()
			c = nil
		}
	}
}

// TestStopWithKeptConnections guards against requests that are lost late or behind their target when callers use kept connections until the instance is gone.
func TestStopWithKeptConnections(t *testing.T) {
	const callers = 200
	for _, processors := range []int{runtime.GOMAXPROCS(0), 1} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("processors=%d/seed=%d", processors, seed), func(t *testing.T) {
				defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(processors))
				rng := rand.New(rand.NewPCG(seed, 1))
				g, s := &recordingTarget{delay: 5 * time.Millisecond}, &stopResult{}
				in := startStopInstance(t, g, 1+time.Duration(rng.Int64N(int64(100*time.Millisecond))), 10*time.Second)
				var group sync.WaitGroup
				for i := range callers {
					r := rand.New(rand.NewPCG(seed, uint64(i)+2))
					group.Go(func() { s.runCaller(g, in.Address(), r, fmt.Sprint("caller-", i)) })
				}
				time.Sleep(300 * time.Millisecond)
				in.stop()
				group.Wait()
				in.waitStopped(t)
				t.Logf("answered %d, refused %d, without an answer %d", s.answered, s.refused, s.lost)
				require.Positive(t, s.answered)
				require.Empty(t, s.faults)
			})
		}
	}
}
