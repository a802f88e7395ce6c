//go:build !race

package relay

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startIncompleteStub starts a stub that writes the text of a response once for each request, and then nothing more.
func startIncompleteStub(t *testing.T, text string) (*engineStub, *atomic.Int64) {
	written := &atomic.Int64{}
	before, after, _ := strings.Cut(text, "ID")
	rest := []byte(after)
	stub := startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
		written.Add(1)
		fmt.Fprint(c, before, r.Header.Get("Id"))
		_, _ = c.Write(rest)
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	stub.slots = 1000
	return stub, written
}

// TestMemoryHeldForIncompleteResponses guards against an instance that runs out of memory since each of many requests holds
// what a faulty target has sent.
func TestMemoryHeldForIncompleteResponses(t *testing.T) {
	const callers, perRequest, budget = 300, 48 << 10, 4 << 20
	body := strings.Repeat("x", maxBufferedBody-1)
	shortLines := strings.Builder{}
	for n := range 4000 {
		fmt.Fprintf(&shortLines, "%x:\r\n", n)
	}
	chunk := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s", len(body), body)
	for name, c := range map[string]struct{ path, text string }{
		"head of short lines": {"/book/1", "HTTP/1.1 200 S\r\nId: ID\r\nSeal: s\r\n" + shortLines.String()},
		"lines after another": {"/book/1", "HTTP/1.1 103 S\r\n\r\nHTTP/1.1 200 S\r\nId: ID\r\n" + shortLines.String()[:3900]},
		"unsealed success":    {"/book/1", "HTTP/1.1 200 S\r\nId: ID\r\n" + chunk},
		"unsealed failure":    {"/book/1", "HTTP/1.1 500 S\r\nId: ID\r\n" + chunk},
		"sealed success":      {"/book/1", "HTTP/1.1 200 S\r\nId: ID\r\nSeal: s\r\n" + chunk},
		"stated length":       {"/book/1", fmt.Sprintf("HTTP/1.1 200 S\r\nId: ID\r\nSeal: s\r\nContent-Length: %d\r\n\r\n", maxBufferedBody-2)},
		"failure of a stream": {"/once/1", "HTTP/1.1 400 S\r\nId: ID\r\nSeal: s\r\n" + chunk},
		"event":               {"/once/1", "HTTP/1.1 200 S\r\nId: ID\r\nSeal: s\r\n\r\nid: 1\ndata: " + body[:60<<10]},
		"comments":            {"/once/1", "HTTP/1.1 200 S\r\nId: ID\r\nSeal: s\r\n\r\n" + strings.Repeat(": wait\n\n", 7<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			stub, written := startIncompleteStub(t, c.text)
			tr := startRelay(t, stub)
			tr.relay.init()
			withLock(&tr.relay.heldBytes.mu, func() { tr.relay.heldBytes.limit = budget })
			m := runtime.MemStats{}
			runtime.GC()
			runtime.ReadMemStats(&m)
			before, most := m.HeapAlloc, uint64(0)
			for n := range callers {
				conn, err := net.Dial("tcp", tr.callerAddress)
				require.NoError(t, err)
				defer conn.Close()
				_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nId: r-%d\r\nKey: k\r\nPatience: 3s\r\nContent-Length: 0\r\n\r\n", c.path, n)
				require.NoError(t, err)
			}
			// Some are refused once the target has failed others.
			for n := 0; n < 100 && written.Load() < callers; n++ {
				time.Sleep(10 * time.Millisecond)
			}
			for range 6 {
				time.Sleep(50 * time.Millisecond)
				runtime.GC()
				runtime.ReadMemStats(&m)
				most = max(most, m.HeapAlloc-min(before, m.HeapAlloc))
			}
			t.Logf("%d KiB more", most>>10)
			require.Less(t, most, uint64(budget+callers*perRequest))
		})
	}
}
