package relay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/generation"
)

// rawCaller writes the bytes of its requests itself and keeps its connection.
type rawCaller struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func (r *testRelay) dial() *rawCaller {
	r.t.Helper()
	c, err := net.Dial("tcp", r.callerAddress)
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = c.Close() })
	return &rawCaller{t: r.t, conn: c, in: bufio.NewReader(c)}
}

func (c *rawCaller) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, text)
	require.NoError(c.t, err)
}

// receive reads one response.
func (c *rawCaller) receive() callerResponse {
	_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return callerResponse{err: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if res.Close {
		// http.ReadResponse removes the header.
		res.Header.Set("Connection", "close")
	}
	return callerResponse{status: res.StatusCode, header: res.Header, body: string(data), err: err}
}

// requestText returns the bytes of a request; headers are whole lines.
func requestText(path, id, headers string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nId: %s\r\nKey: k\r\n%sContent-Length: 4\r\n\r\nbody", path, id, headers)
}

// putIdleTimeout puts a table with another idle timeout in force.
func (r *testRelay) putIdleTimeout(d time.Duration) {
	table := testRelayTable()
	if old, ok := TableKey.Get(r.relay.Board); ok {
		table.Version = old.Version + 1
	}
	table.Limits.IdleTimeout = d
	TableKey.Put(r.relay.Board, table)
}

// partialRequest is a request of which the caller has sent the first part.
type partialRequest struct {
	name   string
	caller *rawCaller
	rest   string
}

// sendFirstParts sends the first parts of requests, each on a connection of its own: new ones, and
// ones that carry another request before it.
func sendFirstParts(t *testing.T, tr *testRelay) []partialRequest {
	t.Helper()
	cuts := []struct {
		name   string
		length func(text string) int
	}{
		{"first byte", func(string) int { return 1 }},
		{"three bytes", func(string) int { return 3 }},
		{"within a header line", func(text string) int { return strings.Index(text, "Content-") + 5 }},
		{"before the empty line", func(text string) int { return strings.Index(text, "\r\n\r\n") + 2 }},
		{"within the body", func(text string) int { return len(text) - 2 }},
	}
	var list []partialRequest
	for _, kind := range []string{"new connection", "after the answer", "before the answer", "with the request before"} {
		for _, cut := range cuts {
			name := kind + ", " + cut.name
			text := requestText("/book/2", name, "")
			n := cut.length(text)
			if kind == "with the request before" && n < 4 {
				// Only net/http's server sees the first three bytes in its buffer.
				continue
			}
			c := tr.dial()
			switch kind {
			case "new connection":
				c.send(text[:n])
			case "after the answer":
				c.send(requestText("/book/1", "before", ""))
				require.Equal(t, http.StatusOK, c.receive().status)
				c.send(text[:n])
			case "before the answer":
				c.send(requestText("/book/1", "slow", ""))
				time.Sleep(slowAnswer / 3)
				c.send(text[:n])
				require.Equal(t, http.StatusOK, c.receive().status)
			case "with the request before":
				c.send(requestText("/book/1", "before", "") + text[:n])
				require.Equal(t, http.StatusOK, c.receive().status)
			}
			list = append(list, partialRequest{name: name, caller: c, rest: text[n:]})
		}
	}
	return list
}

// slowAnswer is the time that a target takes for a request whose ID is "slow".
const slowAnswer = 60 * time.Millisecond

func startAnsweringStub(t *testing.T) *engineStub {
	t.Helper()
	return startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
		if r.Header.Get("Id") == "slow" {
			time.Sleep(slowAnswer)
		}
		return writeResponse(c, r, http.StatusOK, "whole", "Seal: s")
	})
}

// Guards against an idle timeout that closes a connection on which a request has begun to arrive.
func TestIdleTimeoutSparesRequestsThatArrive(t *testing.T) {
	tr := startRelay(t, startAnsweringStub(t))
	partial := sendFirstParts(t, tr)
	idle := tr.dial()
	idle.send(requestText("/book/1", "idle", ""))
	require.Equal(t, http.StatusOK, idle.receive().status)
	tr.putIdleTimeout(100 * time.Millisecond)
	_, err := idle.in.ReadByte()
	require.ErrorIs(t, err, io.EOF, "the idle connection must be closed")
	time.Sleep(50 * time.Millisecond)
	for _, p := range partial {
		t.Run(p.name, func(t *testing.T) {
			_, err := io.WriteString(p.caller.conn, p.rest)
			require.NoError(t, err)
			got := p.caller.receive()
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, "whole", got.body)
		})
	}
}

// Guards against a stop that closes a connection on which a request has begun to arrive.
func TestStopSparesRequestsThatArrive(t *testing.T) {
	e := startAnsweringStub(t)
	tr := startRelay(t, e)
	partial := sendFirstParts(t, tr)
	tr.stop()
	time.Sleep(tr.relay.DeregistrationDelay + 300*time.Millisecond)
	for _, p := range partial {
		t.Run(p.name, func(t *testing.T) {
			_, err := io.WriteString(p.caller.conn, p.rest)
			require.NoError(t, err)
			got := p.caller.receive()
			require.NoError(t, got.err)
			require.Equal(t, "close", got.header.Get("Connection"))
			if got.status == http.StatusOK {
				require.Equal(t, "whole", got.body)
				return
			}
			requireStoppingRefusal(t, got)
			require.NotContains(t, e.seenRequests(), p.name)
		})
	}
}

// requireStoppingRefusal checks that a response is the refusal of an instance that stops.
func requireStoppingRefusal(t *testing.T, got callerResponse) {
	t.Helper()
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, codeStopping, ownResponse(t, got).Code)
	require.Equal(t, generation.NotRun, ownResponse(t, got).Outcome)
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

// ownResponse returns the body of a response that the instance itself generated.
func ownResponse(t *testing.T, got callerResponse) Refusal {
	t.Helper()
	var body Refusal
	require.NoError(t, json.Unmarshal([]byte(got.body), &body), got.body)
	return body
}

// Guards against a stop that drops connections which wait in the listener's queue.
func TestStopAnswersQueuedConnections(t *testing.T) {
	e := startAnsweringStub(t)
	tr := startRelay(t, e)
	ln, ok := tr.relay.CallerListener.(*net.TCPListener)
	require.True(t, ok)
	// The server tries again 1,275 and 2,275 ms after its first failure to accept.
	require.NoError(t, ln.SetDeadline(time.Now()))
	time.Sleep(1400 * time.Millisecond)
	require.NoError(t, ln.SetDeadline(time.Time{}))
	var queued []*rawCaller
	for n := range 5 {
		c := tr.dial()
		c.send(requestText("/book/1", fmt.Sprint(n), ""))
		queued = append(queued, c)
	}
	tr.stop()
	for n, c := range queued {
		got := c.receive()
		require.NoError(t, got.err)
		require.Equal(t, "close", got.header.Get("Connection"))
		if got.status == http.StatusOK {
			require.Equal(t, "whole", got.body)
			continue
		}
		requireStoppingRefusal(t, got)
		require.NotContains(t, e.seenRequests(), fmt.Sprint(n))
	}
}

// Guards against the end of the grace period closing connections whose requests are in progress.
func TestStopAnswersRequestsInProgress(t *testing.T) {
	e := startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
		if r.Header.Get("Id") == "before" {
			return writeResponse(c, r, http.StatusOK, "whole", "Seal: s")
		}
		// The read ends when the relay gives up.
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	tr := startRelay(t, e)
	callers := map[string]*rawCaller{}
	for _, path := range []string{"/book/1", "/view/1", "/draft/1", "/once/1"} {
		callers[path] = tr.dial()
		callers[path].send(requestText(path, path, "Patience: 10s\r\n"))
	}
	for path := range callers {
		require.Eventually(t, func() bool { return slices.Contains(e.seenRequests(), path) }, time.Second, time.Millisecond)
	}
	late := tr.dial()
	late.send(requestText("/book/1", "before", ""))
	require.Equal(t, http.StatusOK, late.receive().status)
	text := requestText("/book/2", "deregistration delay", "")
	late.send(text[:20])
	callers["deregistration delay"] = late
	stoppedAt := time.Now()
	tr.stop()
	time.Sleep(tr.relay.DeregistrationDelay / 5)
	late.send(text[20:])

	var mu sync.Mutex
	responses, answeredAfter := map[string]callerResponse{}, map[string]time.Duration{}
	var group sync.WaitGroup
	for name, c := range callers {
		group.Go(func() {
			got := c.receive()
			mu.Lock()
			defer mu.Unlock()
			responses[name], answeredAfter[name] = got, time.Since(stoppedAt)
		})
	}
	group.Wait()
	for name, got := range responses {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, got.err)
			require.Less(t, answeredAfter[name], tr.relay.GracePeriod)
			require.Equal(t, "close", got.header.Get("Connection"))
			if !slices.Contains(e.seenRequests(), name) {
				requireStoppingRefusal(t, got)
				return
			}
			// A 503 would say that the request was not run.
			require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, got.status)
			require.Equal(t, generation.Unknown, ownResponse(t, got).Outcome)
		})
	}
}

// Guards against accepting calls whose time limits end after the grace period.
func TestStopRefusesCallsThatOutlastGracePeriod(t *testing.T) {
	e := startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
		if strings.HasPrefix(r.Header.Get("Id"), "long") {
			_, _ = c.Read(make([]byte, 1))
			return false
		}
		return writeResponse(c, r, http.StatusOK, "whole", "Seal: s")
	})
	tr := startRelay(t, e)
	var partial []partialRequest
	for _, path := range []string{"/book/1", "/view/1"} {
		for _, limit := range []string{"long", "short"} {
			c := tr.dial()
			c.send(requestText(path, "before", ""))
			require.Equal(t, http.StatusOK, c.receive().status)
			name := limit + path
			text := requestText(path, name, map[string]string{"long": "Patience: 5s\r\n", "short": "Patience: 1s\r\n"}[limit])
			c.send(text[:20])
			partial = append(partial, partialRequest{name: name, caller: c, rest: text[20:]})
		}
	}
	tr.stop()
	time.Sleep(tr.relay.GracePeriod / 3)
	for _, p := range partial {
		t.Run(p.name, func(t *testing.T) {
			sentAt := time.Now()
			_, err := io.WriteString(p.caller.conn, p.rest)
			require.NoError(t, err)
			got := p.caller.receive()
			require.NoError(t, got.err)
			require.Less(t, time.Since(sentAt), 500*time.Millisecond)
			require.Equal(t, "close", got.header.Get("Connection"))
			if strings.HasPrefix(p.name, "short") {
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, "whole", got.body)
				return
			}
			requireStoppingRefusal(t, got)
			require.NotContains(t, e.seenRequests(), p.name)
		})
	}
}

// Guards against closing a connection without an answer because its request's body can't be decoded.
func TestMalformedBodyIsRefused(t *testing.T) {
	e := startAnsweringStub(t)
	tr := startRelay(t, e)
	c := tr.dial()
	c.send("POST /book/1 HTTP/1.1\r\nHost: h.example\r\nId: malformed\r\nKey: k\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n")
	got := c.receive()
	require.NoError(t, got.err)
	require.Equal(t, http.StatusBadRequest, got.status)
	require.Equal(t, "close", got.header.Get("Connection"))
	require.Equal(t, codeBodyMalformed, ownResponse(t, got).Code)
	require.Equal(t, generation.NotRun, ownResponse(t, got).Outcome)
	require.Empty(t, e.seenRequests())
}
