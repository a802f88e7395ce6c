package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against passing on a request whose body is complete only after a stop has interrupted requests.
func TestInterruptedUploadIsNotPassedOn(t *testing.T) {
	for _, path := range []string{"/book/1", "/view/1", "/draft/1"} {
		t.Run(path, func(t *testing.T) {
			stub := startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
				time.Sleep(100 * time.Millisecond)
				return writeResponse(c, r, 200, "ok", "Seal: s")
			})
			r := startRelay(t, stub)
			r.relay.GracePeriod = 2 * time.Second
			require.Equal(t, http.StatusOK, r.request("GET", "/view/before", "").status)
			c, err := net.Dial("tcp", r.callerAddress)
			require.NoError(t, err)
			defer c.Close()
			fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nId: a\r\nKey: k\r\nContent-Length: 4\r\n\r\nxx", path)
			time.Sleep(50 * time.Millisecond)
			r.stop()
			// Requests are interrupted at 1.5 s, and connections closed at 1.75 s.
			time.Sleep(1570 * time.Millisecond)
			sentAt := time.Now()
			fmt.Fprint(c, "xx")
			require.NoError(t, c.SetReadDeadline(time.Now().Add(3*time.Second)))
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			took := time.Since(sentAt)
			time.Sleep(100 * time.Millisecond)
			require.NotContains(t, stub.seenRequests(), "a", "status %d after %v", res.StatusCode, took)
			require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
		})
	}
}

// Guards against breaking off a stream that has begun when a stop interrupts requests, although it ends before connections are closed.
func TestBegunStreamOutlivesInterruption(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	tr := startRelay(t, startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
		writeEvents(c, r, 1, 4, false)
		close(begun)
		<-release
		writeStreamEvents(c, 5, 9, true)
		return true
	}))
	tr.setRetryBudget(0, 0)
	responses := make(chan callerResponse, 1)
	go func() { responses <- tr.request("POST", "/draft/1", "prompt") }()
	<-begun
	stoppedAt := time.Now()
	tr.stop()
	time.Sleep(time.Until(tr.relay.interruptsAt(stoppedAt).Add(finalAnswerTime / 2)))
	close(release)
	got := <-responses
	require.NoError(t, got.err)
	require.Equal(t, eventsText(1, 9), got.body)
}
