package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAttemptOfUnreadResponseEnds guards against a long failure that is not passed on but stays in the count of its target's
// requests, and against memory that is not given back.
func TestAttemptOfUnreadResponseEnds(t *testing.T) {
	long := strings.Repeat("x", maxBufferedBody+1)
	failing := startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool { return writeResponse(c, r, 500, long, "Seal: s") })
	sound := startStub(t, "e2", func(c net.Conn, r *http.Request, _ string) bool {
		return writeResponse(c, r, 200, long[:maxBufferedBody/2], "Seal: s")
	})
	tr := startRelay(t, failing, sound)
	for n := 0; n < 50 && len(failing.seenRequests()) < 2; n++ {
		got := tr.request("GET", fmt.Sprintf("/view/%d", n), "")
		require.Equal(t, http.StatusOK, got.status)
		require.Len(t, got.body, maxBufferedBody/2)
	}
	require.NotEmpty(t, failing.seenRequests())
	require.Eventually(t, func() bool {
		inProgress := 0
		for _, counts := range tr.relay.Targets.pool("p").localCounts(time.Now()) {
			inProgress += counts.Running
		}
		return inProgress == 0 && tr.relay.heldBytes.heldBytes() == 0
	}, 3*time.Second, time.Millisecond)
}

// TestResponseBeyondMemoryIsPassedOn guards against the response of a sound target that is lost since no memory is left for it.
func TestResponseBeyondMemoryIsPassedOn(t *testing.T) {
	long := strings.Repeat("x", maxBufferedBody/2)
	for name, framing := range map[string]string{
		"length":  fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(long), long),
		"chunked": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(long), long),
	} {
		for _, status := range []int{200, 404, 500} {
			t.Run(fmt.Sprint(name, status), func(t *testing.T) {
				stub := startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
					_, err := fmt.Fprintf(c, "HTTP/1.1 %d S\r\nId: %s\r\nSeal: s\r\n%s", status, r.Header.Get("Id"), framing)
					return err == nil
				})
				tr := startRelay(t, stub)
				tr.relay.init()
				withLock(&tr.relay.heldBytes.mu, func() { tr.relay.heldBytes.limit = 0 })
				for range 3 {
					got := tr.request("POST", "/book/1", "")
					require.NoError(t, got.err)
					require.Equal(t, status, got.status)
					require.Equal(t, long, got.body)
				}
				require.Equal(t, []string{ruleMemory, ruleMemory, ruleMemory}, tr.log.reasons(t, "response_not_held"))
			})
		}
	}
}

// TestFaultyTargetsLeaveMemoryToOthers guards against faulty targets that take all of the memory for responses.
func TestFaultyTargetsLeaveMemoryToOthers(t *testing.T) {
	for _, faulty := range []int{1, 3, 15} {
		b := byteBudget{limit: 16 << 20}
		target := func(n int) netip.AddrPort { return netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(n)) }
		for denied := 0; denied < faulty; {
			denied = 0
			for n := range faulty {
				if !b.reserve(target(n), 8<<10) {
					denied++
				}
			}
		}
		own := int64(0)
		for b.reserve(target(faulty), 8<<10) {
			own += 8 << 10
		}
		require.GreaterOrEqual(t, own, b.limit/int64(faulty+1)/2-16<<10)
		b.release(target(faulty), own)
		for n := range faulty {
			b.release(target(n), b.heldOf[target(n)])
		}
		require.Zero(t, b.heldBytes())
		require.Empty(t, b.heldOf)
	}
}

// endingReader returns data, and then ends the attempt that reads it.
type endingReader struct {
	data io.Reader
	held *heldBytes
}

func (r *endingReader) Read(b []byte) (int, error) {
	if n, err := r.data.Read(b); n > 0 {
		return n, err
	}
	r.held.releaseAll()
	return 0, &SilenceTimeoutError{}
}

// Guards against memory that stays reserved for an attempt that was ended while it waited for the rest of an event.
func TestEventOfEndedAttemptReservesNothing(t *testing.T) {
	for _, size := range []int{1, unreservedBytes, unreservedBytes + 100, 2*unreservedBytes + 100, maxEventSize} {
		held := &heldBytes{budget: &byteBudget{limit: 1 << 20, observeDenied: func(string) {}}}
		src := &endingReader{strings.NewReader(strings.Repeat("x", size)), held}
		events := eventReader{reader: bufio.NewReaderSize(src, 512), held: held}
		_, _, _, err := events.nextEvent()
		require.ErrorAs(t, err, new(*SilenceTimeoutError), size)
		require.Zero(t, held.budget.heldBytes(), size)
	}
}
