package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// refusingStub refuses the requests for one path until it has room, and writes the latest refusal once more, on its
// connection, before the answer to the next request for the path.
type refusingStub struct {
	path string

	mu       sync.Mutex
	hasRoom  bool
	refusals map[net.Conn]string
	runs     int
}

func (s *refusingStub) handle(c net.Conn, r *http.Request, _ string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path != s.path {
		return writeResponse(c, r, 200, r.URL.Path, "Seal: s")
	}
	if !s.hasRoom {
		s.refusals[c] = fmt.Sprintf("HTTP/1.1 503 S\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		_, err := fmt.Fprint(c, s.refusals[c])
		return err == nil
	}
	fmt.Fprint(c, s.refusals[c])
	s.runs++
	return writeResponse(c, r, 200, r.URL.Path, "Seal: s")
}

// TestCopyOfRefusalAfterManyRequests guards against a request that is refused although it ran, since its caller uses
// its id again and the copy of the former refusal arrives after many answers to other requests.
func TestCopyOfRefusalAfterManyRequests(t *testing.T) {
	for _, between := range []int{0, 1, 15, 16, 17, 100, maxCarried + 1} {
		t.Run(fmt.Sprint(between, " requests between"), func(t *testing.T) {
			s := &refusingStub{path: "/book/1", refusals: map[net.Conn]string{}}
			tr := startRelay(t, startStub(t, "e1", s.handle))
			require.Equal(t, 503, tr.request("POST", "/book/1", "").status)
			for i := range between {
				require.Equal(t, 200, tr.request("POST", fmt.Sprintf("/book/between-%d", i), "").status)
			}
			s.mu.Lock()
			s.hasRoom = true
			s.mu.Unlock()
			res := tr.request("POST", "/book/1", "")
			s.mu.Lock()
			defer s.mu.Unlock()
			require.Equal(t, 1, s.runs)
			require.Equal(t, 200, res.status, res.body)
			require.Equal(t, "/book/1", res.body)
		})
	}
}

// TestLateAnswerToAnotherRequest guards against a late answer that is passed on for another request's, or whose
// statements about its target are believed.
func TestLateAnswerToAnotherRequest(t *testing.T) {
	for name, c := range map[string]struct {
		late   string
		status int
	}{
		"success":               {"HTTP/1.1 200 S\r\nId: FORMER\r\nSeal: s\r\nContent-Length: 5\r\n\r\nother", 200},
		"success in chunks":     {"HTTP/1.1 200 S\r\nId: FORMER\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n", 200},
		"misdirected":           {"HTTP/1.1 421 S\r\nId: FORMER\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 200},
		"unauthorized":          {"HTTP/1.1 401 S\r\nId: FORMER\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", 200},
		"refusal":               {"HTTP/1.1 503 S\r\nId: FORMER\r\nNot-Run: 1\r\nBack-Off: 5s\r\nContent-Length: 0\r\n\r\n", 200},
		"limit":                 {"HTTP/1.1 200 S\r\nId: FORMER\r\nSeal: s\r\nLimit: 0.001\r\nContent-Length: 5\r\n\r\nother", 200},
		"leaving":               {"HTTP/1.1 200 S\r\nId: FORMER\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 5\r\n\r\nother", 200},
		"brittle":               {"HTTP/1.1 503 S\r\nId: FORMER\r\nNot-Run: 1\r\nBrittle: 0\r\nContent-Length: 0\r\n\r\n", 200},
		"failure without an id": {"HTTP/1.1 500 S\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", 502},
		"success without an id": {"HTTP/1.1 200 S\r\nSeal: s\r\nContent-Length: 5\r\n\r\nother", 502},
	} {
		t.Run(name, func(t *testing.T) {
			former := map[net.Conn]string{}
			var mu sync.Mutex
			stub := startStub(t, "e1", func(conn net.Conn, r *http.Request, _ string) bool {
				mu.Lock()
				defer mu.Unlock()
				if r.URL.Path == "/book/later" {
					require.NotEmpty(t, former[conn], "the request must come on a kept connection")
					fmt.Fprint(conn, strings.ReplaceAll(c.late, "FORMER", former[conn]))
				}
				former[conn] = r.Header.Get("Id")
				return writeResponse(conn, r, 200, r.URL.Path, "Seal: s")
			})
			tr := startRelay(t, stub)
			require.Equal(t, 200, tr.request("POST", "/book/first", "").status)
			res := tr.request("POST", "/book/later", "")
			require.Equal(t, c.status, res.status, res.body)
			if c.status == 200 {
				require.Equal(t, "/book/later", res.body)
				require.Contains(t, tr.log.String(), `"stale_response"`)
			}
			for i := range 5 {
				res := tr.request("POST", fmt.Sprint("/book/last-", i), "")
				require.Equal(t, 200, res.status, res.body)
			}
		})
	}
}
