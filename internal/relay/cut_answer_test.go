package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/route"
)

// answerForm is a form of an answer whose bytes may be cut.
type answerForm struct {
	name       string
	head, body string
	// content is the body without its framing.
	content string
	// endsWithConn is set if the end of the connection is the end of the body, so that a cut body can't be told from
	// a whole one.
	endsWithConn bool
}

// answerForms are the forms of answers; ID stands for the request's id.
var answerForms = []answerForm{
	{name: "length", head: "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Length: 4\r\n\r\n", body: "done", content: "done"},
	{name: "chunks", head: "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", body: "4\r\ndone\r\n0\r\n\r\n", content: "done"},
	{name: "empty", head: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: ID\r\nSeal: s\r\n\r\n"},
	{name: "no content", head: "HTTP/1.1 204 No Content\r\nId: ID\r\nSeal: s\r\n\r\n"},
	{name: "end of connection", head: "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nConnection: close\r\n\r\n", body: "done", content: "done", endsWithConn: true},
	{name: "line feeds alone", head: "HTTP/1.1 200 OK\nId: ID\nSeal: s\nContent-Length: 4\n\n", body: "done", content: "done"},
	{name: "folded header", head: "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nX-Long: a\r\n b\r\nContent-Length: 4\r\n\r\n", body: "done", content: "done"},
	{name: "after early hints", head: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Length: 4\r\n\r\n", body: "done", content: "done"},
}

// isWhole reports whether an answer that is cut after some bytes is the target's whole one, as far as that can be known.
func (f *answerForm) isWhole(cut int) bool {
	return cut >= len(f.head)+len(f.body) || f.endsWithConn && cut >= len(f.head)
}

// pipeConn is one end of a net.Pipe on which, as on a TCP connection, a deadline can be set after the other end was closed.
type pipeConn struct{ net.Conn }

// SetReadDeadline sets the deadline if the other end is open.
func (c pipeConn) SetReadDeadline(t time.Time) error {
	_ = c.Conn.SetReadDeadline(t)
	return nil
}

// FuzzCutAnswer guards against an answer that is cut anywhere and taken for a whole one.
func FuzzCutAnswer(f *testing.F) {
	for form := range answerForms {
		for cut := 0; cut <= len(answerForms[form].head)+len(answerForms[form].body); cut += 5 {
			f.Add(uint8(form), uint16(cut))
		}
	}
	f.Fuzz(func(t *testing.T, form uint8, cut uint16) {
		a := &answerForms[int(form)%len(answerForms)]
		bytes := a.head + a.body
		n := min(int(cut), len(bytes))
		ours, targets := net.Pipe()
		go func() {
			_, _ = http.ReadRequest(bufio.NewReader(targets))
			_, _ = io.WriteString(targets, bytes[:n])
			_ = targets.Close()
		}()
		c := newConn(pipeConn{ours}, route.Target{Pool: "p"}, &Links{}, "")
		defer c.Close()
		req, err := http.NewRequest(http.MethodPost, "http://h.example/", nil)
		require.NoError(t, err)
		res, err := c.roundTrip(req)
		if err != nil {
			require.Less(t, n, len(a.head))
			return
		}
		require.GreaterOrEqual(t, n, len(a.head), "a head that was cut")
		body, err := io.ReadAll(res.Body)
		require.Equal(t, a.isWhole(n), err == nil)
		if err == nil && !a.endsWithConn {
			require.Equal(t, a.content, string(body))
		}
	})
}

// cuttingStub answers each request as its path says: KIND/FORM-CUT, with a reset in place of a close if -reset follows.
func cuttingStub(c net.Conn, r *http.Request, _ string) bool {
	parts := strings.Split(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], "-")
	form, err := strconv.Atoi(parts[0])
	if err != nil {
		return writeResponse(c, r, 200, "fine", "Seal: s")
	}
	cut, _ := strconv.Atoi(parts[1])
	a := &answerForms[form]
	id := r.Header.Get("Id")
	// The cut is counted without what the id is longer than its placeholder.
	text := strings.ReplaceAll((a.head + a.body)[:cut], "ID", id)
	_, _ = io.WriteString(c, text)
	if len(parts) > 2 {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	return false
}

// TestCutAnswerIsPassedOnAsWhole guards against callers that get a success with an empty or short body, framed as whole,
// since the target's connection ended in the head or in the body; directly and through another instance.
func TestCutAnswerIsPassedOnAsWhole(t *testing.T) {
	var stubs []*engineStub
	for i := range 3 {
		stubs = append(stubs, startStub(t, fmt.Sprintf("e%d", i), cuttingStub))
	}
	f := startFleet(t, 2, stubs)
	for name, carried := range map[string]bool{"direct": false, "through another instance": true} {
		t.Run(name, func(t *testing.T) {
			tr := f.relays[0]
			if carried {
				f.cut(0, cutReset, []int{0, 1, 2})
				require.Eventually(t, func() bool { return tr.request("POST", "/book/warm", "").status == 200 }, 5*time.Second, 10*time.Millisecond)
			}
			var mu sync.Mutex
			var faults []string
			requests, successes := 0, 0
			var group sync.WaitGroup
			for form := range answerForms {
				a := &answerForms[form]
				group.Go(func() {
					for cut := 0; cut <= len(a.head)+len(a.body); cut += 3 {
						for _, end := range []string{"", "-reset"} {
							path := fmt.Sprintf("/book/%d-%d%s", form, cut, end)
							res := tr.request("POST", path, "")
							mu.Lock()
							requests++
							if res.err == nil && res.status < 300 {
								successes++
								if !a.isWhole(cut) || !a.endsWithConn && res.body != a.content || a.endsWithConn && end != "" && cut < len(a.head)+len(a.body) {
									faults = append(faults, fmt.Sprintf("%s %s: %d %q", a.name, path, res.status, res.body))
								}
							}
							mu.Unlock()
						}
					}
				})
			}
			group.Wait()
			t.Logf("%d requests, %d successes", requests, successes)
			require.Empty(t, faults)
			require.Positive(t, successes)
			require.Equal(t, carried, strings.Contains(tr.log.String(), `"member":"1"`), "whether another instance carried")
		})
	}
}

// TestResumedStreamWithCutHead guards against a stream that is joined with, or ended by, a second answer whose head was
// cut.
func TestResumedStreamWithCutHead(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for cut := 0; cut <= len(head); cut += 7 {
		var mu sync.Mutex
		attempts := 0
		handle := func(c net.Conn, r *http.Request, _ string) bool {
			mu.Lock()
			attempts++
			n := attempts
			mu.Unlock()
			switch n {
			case 1:
				writeEvents(c, r, 0, 2, false)
				return false
			case 2:
				_, _ = io.WriteString(c, strings.ReplaceAll(head[:cut], "ID", r.Header.Get("Id")))
				return false
			}
			writeEvents(c, r, 3, 5, true)
			return true
		}
		tr := startRelay(t, startStub(t, "e1", handle), startStub(t, "e2", handle), startStub(t, "e3", handle))
		res := tr.request("POST", "/draft/1", "")
		require.NoError(t, res.err, "cut after %d", cut)
		require.Equal(t, 200, res.status)
		require.Equal(t, eventsText(0, 5), res.body, "cut after %d", cut)
	}
}
