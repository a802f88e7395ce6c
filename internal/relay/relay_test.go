package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/generation"
)

// Guards against requests and responses that are modified on their way.
func TestBytesPassUnchanged(t *testing.T) {
	var requestLine, gotBody string
	var gotHeader http.Header
	e := startStub(t, "e1", func(c net.Conn, r *http.Request, body string) bool {
		requestLine, gotBody, gotHeader = r.Method+" "+r.RequestURI, body, r.Header
		return writeResponse(c, r, 201, "\x00answer", "Seal: s", "X-Own: 1")
	})
	tr := startRelay(t, e)
	got := tr.request("PUT", "/book//a/%2f/../b?x=%20&y", "body\r\n", "X-Caller", "v", "Accept-Encoding", "identity")
	require.NoError(t, got.err)
	require.Equal(t, 201, got.status)
	require.Equal(t, "\x00answer", got.body)
	require.Equal(t, "s", got.header.Get("Seal"))
	require.Equal(t, "1", got.header.Get("X-Own"))
	require.Empty(t, got.header.Get("Content-Type"), "no header may be added")
	require.Equal(t, "PUT /book//a/%2f/../b?x=%20&y", requestLine)
	require.Equal(t, "body\r\n", gotBody)
	require.Equal(t, "v", gotHeader.Get("X-Caller"))
	require.Equal(t, "e1", gotHeader.Get("Expect-Target"))
	require.Empty(t, gotHeader.Get("Key"), "the caller's key must not reach a target")
}

// Guards against wrong responses of the instance itself: each states whether the request has run.
func TestInstanceResponses(t *testing.T) {
	hang := startStub(t, "e1", func(net.Conn, *http.Request, string) bool { time.Sleep(2 * time.Second); return false })
	tr := startRelay(t, hang)
	for name, c := range map[string]struct {
		path, body string
		headers    []string
		status     int
		code       string
	}{
		"no route":         {"/none/", "", nil, 404, codeNoRoute},
		"unknown key":      {"/view/", "", []string{"Key", "other"}, 401, codeKeyUnknown},
		"large body":       {"/view/", strings.Repeat("x", 2<<10), nil, 413, codeBodyTooLarge},
		"route's timeout":  {"/quick/", "", nil, 504, codeTimeout},
		"caller's timeout": {"/book/", "", []string{"Patience", "200ms"}, 504, codeTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			startedAt := time.Now()
			got := tr.request("POST", c.path, c.body, c.headers...)
			require.NoError(t, got.err)
			require.Equal(t, c.status, got.status)
			require.Contains(t, got.body, c.code)
			require.Less(t, time.Since(startedAt), time.Second, "the response must not arrive after the deadline")
		})
	}
}

// Guards against a call that runs twice, and against a false statement that it has not run.
func TestNonRepeatableCallRunsOnce(t *testing.T) {
	for name, c := range map[string]struct {
		handle func(c net.Conn, r *http.Request, body string) bool
		status int
		// runs is the number of requests that reach targets.
		runs int
	}{
		"connection lost": {func(net.Conn, *http.Request, string) bool { return false }, 502, 1},
		"response truncated": {func(c net.Conn, _ *http.Request, _ string) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab")
			return false
		}, 502, 1},
		"no seal": {func(c net.Conn, r *http.Request, _ string) bool { return writeResponse(c, r, 200, "x") }, 502, 1},
		"another request's response": {func(c net.Conn, _ *http.Request, _ string) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: other\r\nSeal: s\r\nContent-Length: 1\r\n\r\nx")
			return false
		}, 502, 1},
		"encoded": {func(c net.Conn, r *http.Request, _ string) bool {
			return writeResponse(c, r, 200, "x", "Seal: s", "Content-Encoding: gzip")
		}, 502, 1},
		"503 without statement": {func(c net.Conn, r *http.Request, _ string) bool { return writeResponse(c, r, 503, "x") }, 502, 1},
		"own failure":           {func(c net.Conn, r *http.Request, _ string) bool { return writeResponse(c, r, 500, "x", "Seal: s") }, 500, 1},
		"no HTTP response":      {func(c net.Conn, _ *http.Request, _ string) bool { fmt.Fprint(c, "garbage\r\n\r\n"); return false }, 502, 1},
		"all refuse":            {func(c net.Conn, r *http.Request, _ string) bool { return writeResponse(c, r, 503, "x", "Not-Run: 1") }, 503, 2},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := startStub(t, "e1", c.handle), startStub(t, "e2", c.handle)
			tr := startRelay(t, a, b)
			got := tr.request("POST", "/book/1", "x")
			require.NoError(t, got.err)
			require.Equal(t, c.status, got.status)
			require.GreaterOrEqual(t, c.runs+1, len(a.seenRequests())+len(b.seenRequests()))
			if c.status != 503 {
				require.Len(t, append(a.seenRequests(), b.seenRequests()...), 1)
				require.Empty(t, got.header.Get("Retry-After"))
			} else {
				require.NotEmpty(t, got.header.Get("Retry-After"))
			}
		})
	}
}

// Guards against repeatable requests that fail although another target would respond.
func TestRepeatableRequestIsRetriedElsewhere(t *testing.T) {
	for name, bad := range map[string]func(c net.Conn, r *http.Request, body string) bool{
		"failure":         func(c net.Conn, r *http.Request, _ string) bool { return writeResponse(c, r, 500, "x", "Seal: s") },
		"connection lost": func(net.Conn, *http.Request, string) bool { return false },
		"silent":          func(net.Conn, *http.Request, string) bool { time.Sleep(3 * time.Second); return false },
		"refused":         func(c net.Conn, r *http.Request, _ string) bool { return writeResponse(c, r, 429, "x", "Not-Run: 1") },
	} {
		t.Run(name, func(t *testing.T) {
			good := func(c net.Conn, r *http.Request, _ string) bool { return writeResponse(c, r, 200, "good", "Seal: s") }
			tr := startRelay(t, startStub(t, "e1", bad), startStub(t, "e2", good))
			for n := range 6 {
				startedAt := time.Now()
				got := tr.request("GET", fmt.Sprintf("/view/%d", n), "")
				require.NoError(t, got.err)
				require.Equal(t, 200, got.status)
				require.Equal(t, "good", got.body)
				require.Less(t, time.Since(startedAt), 2*time.Second)
			}
		})
	}
}

// Guards against passing on a response that belongs to an earlier request on the same connection.
func TestStaleResponseIsDiscarded(t *testing.T) {
	n := 0
	e := startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
		n++
		if n == 2 {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: r-/book/1\r\nSeal: s\r\nContent-Length: 4\r\n\r\nlate")
		}
		return writeResponse(c, r, 200, fmt.Sprintf("answer %d", n), "Seal: s")
	})
	tr := startRelay(t, e)
	require.Equal(t, "answer 1", tr.request("POST", "/book/1", "").body)
	require.Equal(t, "answer 2", tr.request("POST", "/book/2", "").body)
}

// Guards against sending a call on a connection that the target has closed while it was idle.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	var n atomic.Int32
	e := startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
		odd := n.Add(1)%2 == 1
		writeResponse(c, r, 200, "x", "Seal: s")
		if odd {
			time.Sleep(20 * time.Millisecond)
			return false
		}
		return true
	})
	tr := startRelay(t, e)
	for i := range 6 {
		require.Equal(t, 200, tr.request("POST", fmt.Sprintf("/book/%d", i), "").status)
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against a shutdown that interrupts requests, and against an instance that stays registered
// with the load balancer.
func TestShutdownIsGraceful(t *testing.T) {
	release := make(chan struct{})
	e := startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
		<-release
		return writeResponse(c, r, 200, "done", "Seal: s")
	})
	tr := startRelay(t, e)
	require.Equal(t, http.StatusOK, readinessStatus(t, tr))
	responses := make(chan callerResponse, 1)
	go func() { responses <- tr.request("POST", "/book/1", "") }()
	require.Eventually(t, func() bool { return len(e.seenRequests()) == 1 }, time.Second, time.Millisecond)
	tr.stop()
	require.Eventually(t, func() bool { return readinessStatus(t, tr) == http.StatusServiceUnavailable }, time.Second, time.Millisecond)
	refused := tr.request("POST", "/draft/1", "")
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Contains(t, refused.body, codeStopping)
	close(release)
	got := <-responses
	require.NoError(t, got.err)
	require.Equal(t, "done", got.body)
	require.NoError(t, <-tr.done)
	tr.done <- nil
}

func readinessStatus(t *testing.T, tr *testRelay) int {
	t.Helper()
	res, err := http.Get("http://" + tr.readinessAddress + "/")
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	return res.StatusCode
}

// Guards against an instance that accepts requests before it has a table.
func TestNotReadyWithoutTable(t *testing.T) {
	tr := startRelay(t)
	TableKey.Put(tr.relay.Board, testRelayTable())
	require.Equal(t, http.StatusOK, readinessStatus(t, tr))
	require.Equal(t, http.StatusServiceUnavailable, tr.request("POST", "/book/1", "").status, "without targets no request runs")
}

// Guards against a late refusal without an id that belongs to an earlier request, after which a call that runs is sent
// again or reported as not run.
func TestResponseWithoutIDOnReusedConnectionIsNotTheCalls(t *testing.T) {
	var runs atomic.Int32
	e := startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
		if r.Header.Get("Id") == "r-/book/2" && runs.Add(1) == 1 {
			fmt.Fprint(c, "HTTP/1.1 503 S\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}
		return writeResponse(c, r, 200, "answer", "Seal: s")
	})
	tr := startRelay(t, e)
	require.Equal(t, "answer", tr.request("POST", "/book/1", "").body)
	got := tr.request("POST", "/book/2", "")
	require.EqualValues(t, 1, runs.Load())
	require.Equal(t, http.StatusBadGateway, got.status, got.body)
	require.Contains(t, got.body, string(generation.Unknown))
}
