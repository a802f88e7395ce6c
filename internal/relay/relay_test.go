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
)

// Guards against requests and answers that are changed on their way.
func TestBytesPassUnchanged(t *testing.T) {
	var line, got string
	var header http.Header
	e := startStub(t, "e1", func(c net.Conn, r *http.Request, body string) bool {
		line, got, header = r.Method+" "+r.RequestURI, body, r.Header
		return whole(c, r, 201, "\x00answer", "Seal: s", "X-Own: 1")
	})
	d := startRelay(t, e)
	a := d.ask("PUT", "/book//a/%2f/../b?x=%20&y", "body\r\n", "X-Caller", "v", "Accept-Encoding", "identity")
	require.NoError(t, a.err)
	require.Equal(t, 201, a.status)
	require.Equal(t, "\x00answer", a.body)
	require.Equal(t, "s", a.header.Get("Seal"))
	require.Equal(t, "1", a.header.Get("X-Own"))
	require.Empty(t, a.header.Get("Content-Type"), "no header may be added")
	require.Equal(t, "PUT /book//a/%2f/../b?x=%20&y", line)
	require.Equal(t, "body\r\n", got)
	require.Equal(t, "v", header.Get("X-Caller"))
	require.Equal(t, "e1", header.Get("Expect-Target"))
	require.Empty(t, header.Get("Key"), "the caller's key must not reach a target")
}

// Guards against wrong own answers: each says whether the request has run.
func TestOwnAnswers(t *testing.T) {
	hang := startStub(t, "e1", func(net.Conn, *http.Request, string) bool { time.Sleep(2 * time.Second); return false })
	d := startRelay(t, hang)
	for name, c := range map[string]struct {
		path, body string
		headers    []string
		status     int
		code       string
	}{
		"no route":        {"/none/", "", nil, 404, codeNoRoute},
		"unknown key":     {"/view/", "", []string{"Key", "other"}, 401, codeKeyUnknown},
		"large body":      {"/view/", strings.Repeat("x", 2<<10), nil, 413, codeBodyTooLarge},
		"route's timeout": {"/quick/", "", nil, 504, codeTimeout},
		"caller's time":   {"/book/", "", []string{"Patience", "200ms"}, 504, codeTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			begun := time.Now()
			a := d.ask("POST", c.path, c.body, c.headers...)
			require.NoError(t, a.err)
			require.Equal(t, c.status, a.status)
			require.Contains(t, a.body, c.code)
			require.Less(t, time.Since(begun), time.Second, "the answer must not come later than the deadline")
		})
	}
}

// Guards against a call that runs twice, and against a false word that it has not run.
func TestOnceRunsOnce(t *testing.T) {
	for name, c := range map[string]struct {
		handle func(c net.Conn, r *http.Request, body string) bool
		status int
		// runs is the number of requests that reach targets.
		runs int
	}{
		"connection lost": {func(net.Conn, *http.Request, string) bool { return false }, 502, 1},
		"answer cut": {func(c net.Conn, _ *http.Request, _ string) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab")
			return false
		}, 502, 1},
		"no seal": {func(c net.Conn, r *http.Request, _ string) bool { return whole(c, r, 200, "x") }, 502, 1},
		"other request's answer": {func(c net.Conn, _ *http.Request, _ string) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: other\r\nSeal: s\r\nContent-Length: 1\r\n\r\nx")
			return false
		}, 502, 1},
		"encoded": {func(c net.Conn, r *http.Request, _ string) bool {
			return whole(c, r, 200, "x", "Seal: s", "Content-Encoding: gzip")
		}, 502, 1},
		"bare 503":         {func(c net.Conn, r *http.Request, _ string) bool { return whole(c, r, 503, "x") }, 502, 1},
		"own failure":      {func(c net.Conn, r *http.Request, _ string) bool { return whole(c, r, 500, "x", "Seal: s") }, 500, 1},
		"no answer at all": {func(c net.Conn, _ *http.Request, _ string) bool { fmt.Fprint(c, "garbage\r\n\r\n"); return false }, 502, 1},
		"all refuse":       {func(c net.Conn, r *http.Request, _ string) bool { return whole(c, r, 503, "x", "Not-Run: 1") }, 503, 2},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := startStub(t, "e1", c.handle), startStub(t, "e2", c.handle)
			d := startRelay(t, a, b)
			got := d.ask("POST", "/book/1", "x")
			require.NoError(t, got.err)
			require.Equal(t, c.status, got.status)
			require.GreaterOrEqual(t, c.runs+1, len(a.seen())+len(b.seen()))
			if c.status != 503 {
				require.Len(t, append(a.seen(), b.seen()...), 1)
				require.Empty(t, got.header.Get("Retry-After"))
			} else {
				require.NotEmpty(t, got.header.Get("Retry-After"))
			}
		})
	}
}

// Guards against repeatable requests that fail although another target would answer.
func TestRepeatableGoesElsewhere(t *testing.T) {
	for name, bad := range map[string]func(c net.Conn, r *http.Request, body string) bool{
		"failure":         func(c net.Conn, r *http.Request, _ string) bool { return whole(c, r, 500, "x", "Seal: s") },
		"connection lost": func(net.Conn, *http.Request, string) bool { return false },
		"silent":          func(net.Conn, *http.Request, string) bool { time.Sleep(3 * time.Second); return false },
		"refused":         func(c net.Conn, r *http.Request, _ string) bool { return whole(c, r, 429, "x", "Not-Run: 1") },
	} {
		t.Run(name, func(t *testing.T) {
			good := func(c net.Conn, r *http.Request, _ string) bool { return whole(c, r, 200, "good", "Seal: s") }
			d := startRelay(t, startStub(t, "e1", bad), startStub(t, "e2", good))
			for n := range 6 {
				begun := time.Now()
				a := d.ask("GET", fmt.Sprintf("/view/%d", n), "")
				require.NoError(t, a.err)
				require.Equal(t, 200, a.status)
				require.Equal(t, "good", a.body)
				require.Less(t, time.Since(begun), 2*time.Second)
			}
		})
	}
}

// Guards against an answer that belongs to an earlier request on the same connection.
func TestLateExtraAnswerIsNotPassedOn(t *testing.T) {
	n := 0
	e := startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
		n++
		if n == 2 {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: r-/book/1\r\nSeal: s\r\nContent-Length: 4\r\n\r\nlate")
		}
		return whole(c, r, 200, fmt.Sprintf("answer %d", n), "Seal: s")
	})
	d := startRelay(t, e)
	require.Equal(t, "answer 1", d.ask("POST", "/book/1", "").body)
	require.Equal(t, "answer 2", d.ask("POST", "/book/2", "").body)
}

// Guards against sending a call on a connection that the target has closed while it was idle.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	var n atomic.Int32
	e := startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
		odd := n.Add(1)%2 == 1
		whole(c, r, 200, "x", "Seal: s")
		if odd {
			time.Sleep(20 * time.Millisecond)
			return false
		}
		return true
	})
	d := startRelay(t, e)
	for i := range 6 {
		require.Equal(t, 200, d.ask("POST", fmt.Sprintf("/book/%d", i), "").status)
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against a stop that breaks off requests, and against one that stays in rotation.
func TestStopIsGraceful(t *testing.T) {
	release := make(chan struct{})
	e := startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
		<-release
		return whole(c, r, 200, "done", "Seal: s")
	})
	d := startRelay(t, e)
	require.Equal(t, http.StatusOK, readyStatus(t, d))
	got := make(chan answerOf, 1)
	go func() { got <- d.ask("POST", "/book/1", "") }()
	require.Eventually(t, func() bool { return len(e.seen()) == 1 }, time.Second, time.Millisecond)
	d.stop()
	require.Eventually(t, func() bool { return readyStatus(t, d) == http.StatusServiceUnavailable }, time.Second, time.Millisecond)
	refused := d.ask("POST", "/draft/1", "")
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Contains(t, refused.body, codeStopping)
	close(release)
	a := <-got
	require.NoError(t, a.err)
	require.Equal(t, "done", a.body)
	require.NoError(t, <-d.done)
	d.done <- nil
}

func readyStatus(t *testing.T, d *deployment) int {
	t.Helper()
	res, err := http.Get("http://" + d.ready + "/")
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	return res.StatusCode
}

// Guards against an instance that takes requests before it knows a table.
func TestNotReadyWithoutTable(t *testing.T) {
	d := startRelay(t)
	TableKey.Put(d.relay.Board, testRelayTable())
	require.Equal(t, http.StatusOK, readyStatus(t, d))
	require.Equal(t, http.StatusServiceUnavailable, d.ask("POST", "/book/1", "").status, "without targets nothing runs")
}
