package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/gossip"
	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/route"
)

// engineSilence is how long a sound engine falls silent.
const engineSilence = 1200 * time.Millisecond

// silentRun is a run at an engine that falls silent once and goes on.
type silentRun struct {
	name string
	// events is the number of events before the silence; -1 means that not even the header is sent.
	events  int
	silence time.Duration
}

var silentRuns = []silentRun{
	{"before_the_header", -1, engineSilence},
	{"before_the_first_event", 0, engineSilence},
	{"between_events", 4, engineSilence},
	{"long_before_the_header", -1, firstEventTimeout + 500*time.Millisecond},
	{"long_before_the_first_event", 0, firstEventTimeout + 500*time.Millisecond},
}

// write writes a stream from event first to event last.
func (s silentRun) write(c net.Conn, r *http.Request, first, last int) bool {
	if s.events < 0 {
		time.Sleep(s.silence)
	}
	writeStreamHeader(c, r)
	resumeAt := first + max(s.events, 0)
	writeStreamEvents(c, first, resumeAt-1, false)
	if s.events >= 0 {
		time.Sleep(s.silence)
	}
	writeStreamEvents(c, resumeAt, last, true)
	return true
}

// setRetryBudget replaces the slack and ratio of the pool's retry budget.
func (r *testRelay) setRetryBudget(ratio, slack float64) {
	p := r.relay.Targets.pool("p")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget.Ratio, p.retryBudget.Slack = ratio, slack
}

// Guards against cutting a stream for its engine's silence although no other attempt can replace it.
func TestSilentStreamWithoutReplacementGoesOn(t *testing.T) {
	refuse := func(c net.Conn, r *http.Request) bool { return writeResponse(c, r, 503, "", "Not-Run: 1") }
	for _, c := range []struct {
		name, path string
		// lostRuns is the number of runs that are lost after one event each, before the silent one.
		lostRuns    int
		oneTarget   bool
		emptyBudget bool
	}{
		{name: "no_rerun", path: "/once/1"},
		{name: "attempts_used", path: "/draft/1", lostRuns: 4},
		{name: "no_other_target", path: "/draft/1", oneTarget: true},
		{name: "retry_budget_empty", path: "/draft/1", emptyBudget: true},
	} {
		for _, silent := range silentRuns {
			t.Run(c.name+"/"+silent.name, func(t *testing.T) {
				t.Parallel()
				var runs atomic.Int32
				handle := func(conn net.Conn, r *http.Request, _ string) bool {
					first := 1
					if after, err := strconv.Atoi(r.Header.Get("After")); err == nil {
						first = after + 1
					}
					switch n := int(runs.Add(1)); {
					case n <= c.lostRuns:
						writeEvents(conn, r, first, first, false)
						return false
					case n == c.lostRuns+1:
						return silent.write(conn, r, first, 9)
					default:
						return refuse(conn, r)
					}
				}
				stubs := []*engineStub{startStub(t, "e1", handle)}
				if !c.oneTarget {
					stubs = append(stubs, startStub(t, "e2", handle), startStub(t, "e3", handle))
				}
				tr := startRelay(t, stubs...)
				if c.emptyBudget {
					tr.setRetryBudget(0, 0)
				}
				got := tr.request("POST", c.path, "prompt", "Patience", "9s")
				require.NoError(t, got.err)
				require.Equal(t, 200, got.status)
				require.Equal(t, eventsText(1, 9), got.body)
				require.EqualValues(t, c.lostRuns+1, runs.Load(), "no engine may get the request while the silent one can't be replaced")
			})
		}
	}
}

// Guards against cutting a stream because other instances lost its engine, although no other attempt can replace it.
func TestReportedTargetWithoutReplacementGoesOn(t *testing.T) {
	for _, c := range []struct {
		name, path  string
		emptyBudget bool
	}{
		{name: "no_rerun", path: "/once/1"},
		{name: "retry_budget_empty", path: "/draft/1", emptyBudget: true},
	} {
		for _, silent := range silentRuns[:2] {
			t.Run(c.name+"/"+silent.name, func(t *testing.T) {
				t.Parallel()
				var runs atomic.Int32
				started := make(chan struct{}, 1)
				handle := func(conn net.Conn, r *http.Request, _ string) bool {
					if runs.Add(1) > 1 {
						return writeResponse(conn, r, 503, "", "Not-Run: 1")
					}
					started <- struct{}{}
					return silent.write(conn, r, 1, 9)
				}
				tr := startRelay(t, startStub(t, "e1", handle), startStub(t, "e2", handle))
				if c.emptyBudget {
					tr.setRetryBudget(0, 0)
				}
				responses := make(chan callerResponse, 1)
				go func() { responses <- tr.request("POST", c.path, "prompt") }()
				<-started
				time.Sleep(100 * time.Millisecond)
				for _, instance := range []string{"i2", "i3"} {
					tr.relay.Targets.ApplyRemoteProgress(time.Now(), instance, gossip.Progress{SilentTargets: []string{"e1", "e2"}})
				}
				got := <-responses
				require.NoError(t, got.err)
				require.Equal(t, 200, got.status)
				require.Equal(t, eventsText(1, 9), got.body)
				require.EqualValues(t, 1, runs.Load())
			})
		}
	}
}

// Guards against a second run, and against the statement that none has begun, after an engine that never sent a header.
func TestRunWithoutHeaderCounts(t *testing.T) {
	for _, c := range []struct {
		name, path  string
		emptyBudget bool
	}{
		{name: "no_rerun", path: "/once/1"},
		{name: "retry_budget_empty", path: "/draft/1", emptyBudget: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int32
			handle := func(conn net.Conn, r *http.Request, _ string) bool {
				if runs.Add(1) > 1 {
					writeEvents(conn, r, 1, 9, true)
					return true
				}
				time.Sleep(8 * time.Second)
				return false
			}
			tr := startRelay(t, startStub(t, "e1", handle), startStub(t, "e2", handle))
			if c.emptyBudget {
				tr.setRetryBudget(0, 0)
			}
			got := tr.request("POST", c.path, "prompt", "Patience", "7s")
			require.NoError(t, got.err)
			require.EqualValues(t, 1, runs.Load())
			require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, got.status)
		})
	}
}

// Guards against a stream that waits for a silent engine although it could go on at another one by now.
func TestSilentEngineIsReplacedOncePossible(t *testing.T) {
	const denied = 800 * time.Millisecond
	for _, name := range []string{"retry_budget", "no_target"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			silentSince := make(chan struct{})
			closed := make(chan struct{})
			silent := startStub(t, "e1", func(conn net.Conn, r *http.Request, _ string) bool {
				writeEvents(conn, r, 1, 4, false)
				close(silentSince)
				_, _ = conn.Read(make([]byte, 1))
				close(closed)
				return false
			})
			other := startStub(t, "e2", func(conn net.Conn, r *http.Request, _ string) bool {
				select {
				case <-closed:
				case <-time.After(400 * time.Millisecond):
					return false
				}
				after, _ := strconv.Atoi(r.Header.Get("After"))
				writeEvents(conn, r, after+1, 9, true)
				return true
			})
			tr := startRelay(t, silent)
			table := testRelayTable()
			list := []route.Target{{ID: "e1", Pool: "p", Address: silent.address, DataCentre: "a", Slots: 8}}
			addOther := func() {
				list = append(list, route.Target{ID: "e2", Pool: "p", Address: other.address, DataCentre: "b", Slots: 8})
				tr.relay.Targets.Update(time.Now(), table, map[string][]route.Target{"p": list})
			}
			responses := make(chan callerResponse, 1)
			if name == "retry_budget" {
				tr.setRetryBudget(0, 0)
			}
			go func() { responses <- tr.request("POST", "/draft/1", "prompt") }()
			<-silentSince
			if name == "retry_budget" {
				addOther()
			}
			time.Sleep(denied)
			require.Empty(t, other.seenRequests())
			changedAt := time.Now()
			if name == "retry_budget" {
				tr.setRetryBudget(0.5, 20)
			} else {
				addOther()
			}
			got := <-responses
			require.NoError(t, got.err)
			require.Equal(t, eventsText(1, 9), got.body)
			require.Less(t, time.Since(changedAt), time.Second)
			require.Equal(t, []string{name}, tr.log.reasons(t, "attempt_silent"))
		})
	}
}

// Guards against a log that does not tell why a stream waits, or repeats it at each check.
func TestSilenceWithoutReplacementIsLoggedOnce(t *testing.T) {
	for _, c := range []struct {
		denial, path string
		lostRuns     int
		targets      int
		emptyBudget  bool
		crashes      bool
	}{
		{denial: "no_rerun", path: "/once/1", targets: 3},
		{denial: "attempts_used", path: "/draft/1", lostRuns: 4, targets: 3},
		{denial: "no_target", path: "/draft/1", targets: 1},
		{denial: "retry_budget", path: "/draft/1", targets: 3, emptyBudget: true},
		{denial: codeCrashes, path: "/draft/1", targets: 3, crashes: true},
	} {
		t.Run(c.denial, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int32
			started := make(chan struct{}, 9)
			handle := func(conn net.Conn, r *http.Request, _ string) bool {
				n := int(runs.Add(1))
				writeStreamHeader(conn, r)
				writeStreamEvents(conn, n, n, false)
				started <- struct{}{}
				if n <= c.lostRuns {
					return false
				}
				for ev := n + 1; ev <= n+2; ev++ {
					time.Sleep(engineSilence)
					writeStreamEvents(conn, ev, ev, ev == n+2)
				}
				return true
			}
			var stubs []*engineStub
			for i := range c.targets {
				stubs = append(stubs, startStub(t, "e"+strconv.Itoa(i+1), handle))
			}
			tr := startRelay(t, stubs...)
			if c.emptyBudget {
				tr.setRetryBudget(0, 0)
			}
			responses := make(chan callerResponse, 1)
			go func() { responses <- tr.request("POST", c.path, "prompt", "Patience", "9s") }()
			if c.crashes {
				<-started
				digest := (&callerRequest{RequestInfo: RequestInfo{APIKey: "k"}, http: &http.Request{Host: "h.example", Method: "POST", RequestURI: c.path}, body: []byte("prompt")}).digest()
				for i := range 3 {
					at := time.Now().Add(time.Duration(i) * time.Millisecond)
					tr.relay.Crashes.recordCrash(at, at, "", digest)
				}
			}
			got := <-responses
			require.NoError(t, got.err)
			require.Equal(t, eventsText(1, c.lostRuns+3), got.body)
			require.Equal(t, []string{c.denial, c.denial}, tr.log.reasons(t, "attempt_silent"))
		})
	}
}

// Guards against giving up a silent engine for one that is not expected to accept the request.
func TestSilentEngineIsNotReplacedByADoubtfulOne(t *testing.T) {
	for name, disturb := range map[string]func(tr *testRelay){
		"lost here": func(tr *testRelay) {
			p := tr.relay.Targets.pool("p")
			p.recordEnded(time.Now(), route.Target{ID: "e2"}, true, engine.RequestResult{Unreachable: true}, true, 0)
		},
		"lost by others": func(tr *testRelay) {
			for _, instance := range []string{"i2", "i3"} {
				tr.relay.Targets.ApplyRemoteProgress(time.Now(), instance, gossip.Progress{SilentTargets: []string{"e2"}})
			}
		},
		"backs off": func(tr *testRelay) {
			tr.relay.Targets.ApplyRemoteProgress(time.Now(), "i2", gossip.Progress{BackoffMillis: map[string]int64{"e2": 5000}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tr := startRelay(t,
				startStub(t, "e1", func(conn net.Conn, r *http.Request, _ string) bool { return silentRuns[2].write(conn, r, 1, 9) }),
				startStub(t, "e2", func(conn net.Conn, r *http.Request, _ string) bool {
					return writeResponse(conn, r, 503, "", "Not-Run: 1")
				}))
			disturb(tr)
			got := tr.request("POST", "/draft/1", "prompt")
			require.NoError(t, got.err)
			require.Equal(t, eventsText(1, 9), got.body)
		})
	}
}

// Guards against waiting out the timeout of an engine that other instances have lost.
func TestReportedTargetIsReplaced(t *testing.T) {
	for _, silent := range silentRuns[3:] {
		t.Run(silent.name, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int32
			first := make(chan string, 1)
			handleAs := func(id string) func(conn net.Conn, r *http.Request, _ string) bool {
				return func(conn net.Conn, r *http.Request, _ string) bool {
					if runs.Add(1) == 1 {
						first <- id
						return silent.write(conn, r, 1, 9)
					}
					writeEvents(conn, r, 1, 9, true)
					return true
				}
			}
			tr := startRelay(t, startStub(t, "e1", handleAs("e1")), startStub(t, "e2", handleAs("e2")))
			responses := make(chan callerResponse, 1)
			go func() { responses <- tr.request("POST", "/draft/1", "prompt") }()
			id := <-first
			reportedAt := time.Now()
			for _, instance := range []string{"i2", "i3"} {
				tr.relay.Targets.ApplyRemoteProgress(reportedAt, instance, gossip.Progress{SilentTargets: []string{id}})
			}
			got := <-responses
			require.NoError(t, got.err)
			require.Equal(t, eventsText(1, 9), got.body)
			require.EqualValues(t, 2, runs.Load())
			require.Less(t, time.Since(reportedAt), time.Second)
			require.Equal(t, []string{reasonLostByOthers}, tr.log.reasons(t, "attempt_lost"))
		})
	}
}

// Guards against failing a call for its engine's silence, or for the failure of a second engine that was asked meanwhile.
func TestSilentCallGoesOn(t *testing.T) {
	const body = "the whole answer"
	answerLate := func(inBody bool) func(conn net.Conn, r *http.Request) bool {
		return func(conn net.Conn, r *http.Request) bool {
			if !inBody {
				time.Sleep(engineSilence)
				return writeResponse(conn, r, 200, body, "Seal: s")
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), len(body), body[:4])
			time.Sleep(engineSilence)
			fmt.Fprint(conn, body[4:])
			return true
		}
	}
	for _, c := range []struct {
		name, path  string
		oneTarget   bool
		emptyBudget bool
		// other is how each engine but the first that is asked responds.
		other func(conn net.Conn, r *http.Request) bool
	}{
		{name: "no_rerun", path: "/book/1"},
		{name: "no_other_target", path: "/view/1", oneTarget: true},
		{name: "retry_budget_empty", path: "/view/1", emptyBudget: true},
		{name: "other_refuses", path: "/view/1", other: func(conn net.Conn, r *http.Request) bool { return writeResponse(conn, r, 503, "", "Not-Run: 1") }},
		{name: "other_fails", path: "/view/1", other: func(conn net.Conn, r *http.Request) bool { return writeResponse(conn, r, 500, "x", "Seal: s") }},
		{name: "other_is_lost", path: "/view/1", other: func(net.Conn, *http.Request) bool { return false }},
	} {
		for name, inBody := range map[string]bool{"before_the_header": false, "within_the_body": true} {
			t.Run(c.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				var runs atomic.Int32
				handle := func(conn net.Conn, r *http.Request, _ string) bool {
					if runs.Add(1) == 1 || c.other == nil {
						return answerLate(inBody)(conn, r)
					}
					return c.other(conn, r)
				}
				stubs := []*engineStub{startStub(t, "e1", handle)}
				if !c.oneTarget {
					stubs = append(stubs, startStub(t, "e2", handle))
				}
				tr := startRelay(t, stubs...)
				if c.emptyBudget {
					tr.setRetryBudget(0, 0)
				}
				got := tr.request("POST", c.path, "x")
				require.NoError(t, got.err)
				require.Equal(t, 200, got.status)
				require.Equal(t, body, got.body)
				if c.path == "/book/1" || c.emptyBudget {
					require.EqualValues(t, 1, runs.Load())
				}
			})
		}
	}
}

// requestWithLongBody sends a request whose engine pauses before it reads anything.
func requestWithLongBody(t *testing.T, path string, pause time.Duration) callerResponse {
	t.Helper()
	const bodySize = 256 << 10
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		time.Sleep(pause)
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if n, err := io.Copy(io.Discard, r.Body); err != nil || n != bodySize {
			return
		}
		writeEvents(c, r, 1, 2, true)
	}()
	tr := startRelay(t, &engineStub{id: "e1", address: ln.Addr().(*net.TCPAddr).AddrPort()})
	TableKey.Put(tr.relay.Board, route.NewTable(2, route.Limits{MaxBodyBytes: bodySize, IdleTimeout: time.Minute}, testRoutes, []route.Pool{{Name: "p", HealthPath: "/health"}}, map[string]*route.Workspace{"k": {Name: "w"}}))
	return tr.request("POST", path, strings.Repeat("x", bodySize))
}

// Guards against closing the connection to an engine that reads a long body after a second only.
func TestPauseBeforeALongBody(t *testing.T) {
	for _, path := range []string{"/book/1", "/once/1"} {
		t.Run(strings.Split(path, "/")[1], func(t *testing.T) {
			t.Parallel()
			got := requestWithLongBody(t, path, engineSilence)
			require.NoError(t, got.err)
			require.Equal(t, eventsText(1, 2), got.body)
		})
	}
}

// Guards against closing the connection to an engine that reads a long body after unackedTimeout only.
func TestLongPauseBeforeALongBody(t *testing.T) {
	for _, path := range []string{"/book/1", "/once/1"} {
		t.Run(strings.Split(path, "/")[1], func(t *testing.T) {
			t.Parallel()
			got := requestWithLongBody(t, path, unackedTimeout+time.Second)
			require.NoError(t, got.err)
			require.Equal(t, eventsText(1, 2), got.body)
		})
	}
}
