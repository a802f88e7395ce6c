package relay

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestErrorOfNextTargetIsNotPartOfTheStream guards against an error in the middle, or in place of the end, of a stream.
func TestErrorOfNextTargetIsNotPartOfTheStream(t *testing.T) {
	head := func(status int, r *http.Request, headers string) string {
		return fmt.Sprintf("HTTP/1.1 %d S\r\nId: %s\r\n%s", status, r.Header.Get("Id"), headers)
	}
	for name, answer := range map[string]func(r *http.Request) string{
		"json with a length": func(r *http.Request) string {
			return head(200, r, "Seal: s\r\nContent-Type: application/json\r\nContent-Length: 18\r\n\r\n{\"error\": \"oops\"}\n")
		},
		"text with a blank line": func(r *http.Request) string {
			return head(200, r, "Seal: s\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\noops\n\n")
		},
		"text without a length":    func(r *http.Request) string { return head(200, r, "Seal: s\r\n\r\noops\n\n") },
		"nothing without a length": func(r *http.Request) string { return head(200, r, "Seal: s\r\n\r\n") },
		"error event": func(r *http.Request) string {
			return head(200, r, "Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n1a\r\nevent: error\ndata: oops\n\n\r\n0\r\n\r\n")
		},
		"error event without a length": func(r *http.Request) string {
			return head(200, r, "Seal: s\r\nContent-Type: text/event-stream\r\n\r\nevent: error\ndata: oops\n\n")
		},
		"without a seal":       func(r *http.Request) string { return head(200, r, "Content-Length: 6\r\n\r\noops\n\n") },
		"500":                  func(r *http.Request) string { return head(500, r, "Seal: s\r\nContent-Length: 6\r\n\r\noops\n\n") },
		"500 without a length": func(r *http.Request) string { return head(500, r, "Seal: s\r\n\r\noops\n\n") },
		"401":                  func(r *http.Request) string { return head(401, r, "Seal: s\r\nContent-Length: 6\r\n\r\noops\n\n") },
		"404":                  func(r *http.Request) string { return head(404, r, "Seal: s\r\nContent-Length: 6\r\n\r\noops\n\n") },
		"429":                  func(r *http.Request) string { return head(429, r, "Seal: s\r\nContent-Length: 6\r\n\r\noops\n\n") },
		"not run":              func(r *http.Request) string { return head(503, r, "Not-Run: 1\r\nContent-Length: 6\r\n\r\noops\n\n") },
		"informational first": func(r *http.Request) string {
			return "HTTP/1.1 103 S\r\nLink: oops\r\n\r\n" + head(500, r, "Seal: s\r\nContent-Length: 6\r\n\r\noops\n\n")
		},
		"head that is cut":   func(r *http.Request) string { return head(500, r, "Oops: oo") },
		"status that is cut": func(*http.Request) string { return "HTTP/1.1 50" },
		"no response":        func(*http.Request) string { return "oops oops\n\n" },
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			streams := 0
			handle := func(c net.Conn, r *http.Request, _ string) bool {
				mu.Lock()
				defer mu.Unlock()
				if r.URL.Path != "/draft/1" {
					return writeResponse(c, r, 200, "warm", "Seal: s")
				}
				if streams++; streams == 1 {
					writeEvents(c, r, 1, 2, false)
					return false
				}
				_, _ = fmt.Fprint(c, answer(r))
				return false
			}
			tr := startRelay(t, startStub(t, "e1", handle), startStub(t, "e2", handle))
			for i := range 6 {
				require.Equal(t, 200, tr.request("POST", fmt.Sprintf("/book/warm-%d", i), "").status)
			}
			got := tr.request("POST", "/draft/1", "Patience: 2s")
			require.Equal(t, eventsText(1, 2), got.body)
			require.Error(t, got.err, "the stream must not look complete")
			mu.Lock()
			defer mu.Unlock()
			require.Greater(t, streams, 1)
		})
	}
}

// TestResumedStreamMayEndWithoutFurtherEvents guards against a stream that counts as broken off though only its end was lost.
func TestResumedStreamMayEndWithoutFurtherEvents(t *testing.T) {
	var mu sync.Mutex
	streams := 0
	handle := func(c net.Conn, r *http.Request, _ string) bool {
		mu.Lock()
		defer mu.Unlock()
		if streams++; streams == 1 {
			writeEvents(c, r, 1, 2, false)
			return false
		}
		require.Equal(t, "2", r.Header.Get("After"))
		writeEvents(c, r, 3, 2, true)
		return true
	}
	tr := startRelay(t, startStub(t, "e1", handle), startStub(t, "e2", handle))
	got := tr.request("POST", "/draft/1", "")
	require.NoError(t, got.err)
	require.Equal(t, eventsText(1, 2), got.body)
}
