package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requireNoAnswer checks that the only answer of a target, in which ID stands for the request's id, is passed on neither
// as a success nor as the target's failure or refusal, on each kind of route, directly and through another instance.
func requireNoAnswer(t *testing.T, answers map[string]string) {
	t.Helper()
	for name, answer := range answers {
		for _, carried := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, carried: %v", name, carried), func(t *testing.T) {
				t.Parallel()
				runs := make(chan string, 100)
				f := startFleet(t, 2, []*engineStub{startStub(t, "e0", func(c net.Conn, r *http.Request, _ string) bool {
					if strings.HasSuffix(r.URL.Path, "/warm") {
						return writeResponse(c, r, 200, "fine", "Seal: s")
					}
					if r.Method != http.MethodGet {
						runs <- r.URL.Path
					}
					_, err := io.WriteString(c, strings.ReplaceAll(answer, "ID", r.Header.Get("Id")))
					return err == nil
				})})
				tr := f.relays[0]
				if carried {
					f.cut(0, cutReset, []int{0})
				}
				require.Eventually(t, func() bool {
					return tr.request("POST", "/book/warm", "").status == 200 && (!carried || strings.Contains(tr.log.String(), `"member":"1"`))
				}, 10*time.Second, 10*time.Millisecond)
				for _, path := range []string{"/book/1", "/view/1", "/once/1", "/draft/1"} {
					res := tr.request("POST", path, "x", "Patience", "2s")
					require.NoError(t, res.err, path)
					require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, res.status, "%s: %q", path, res.body)
					require.Empty(t, res.header.Get("Seal"), path)
					require.Empty(t, res.header.Get("Not-Run"), path)
					if path == "/book/1" {
						require.Equal(t, http.StatusBadGateway, res.status, "not known until the time limit")
						require.Len(t, runs, 1, "it runs once")
					}
				}
			})
		}
	}
}

// TestStatusOutsideHTTPIsNoAnswer guards against a header with a status below 100 that is taken for an informational one, or
// for an answer.
func TestStatusOutsideHTTPIsNoAnswer(t *testing.T) {
	answers := map[string]string{}
	for _, status := range []string{"000", "001", "099", "+99"} {
		answers[status+" with a length"] = "HTTP/1.1 " + status + " S\r\nId: ID\r\nSeal: s\r\nContent-Length: 4\r\n\r\ndone"
		answers[status+" that states that it was not run"] = "HTTP/1.1 " + status + " S\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		answers[status+" with an answer as its body"] = "HTTP/1.1 " + status + " S\r\nId: ID\r\nSeal: s\r\nContent-Length: 63\r\n\r\n" +
			"HTTP/1.1 200 S\r\nId: ID\r\nSeal: s\r\nContent-Length: 4\r\n\r\ndone"
	}
	answers["after early hints"] = "HTTP/1.1 103 S\r\n\r\nHTTP/1.1 000 S\r\nId: ID\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"
	requireNoAnswer(t, answers)
}

// TestInvalidFieldNameIsNoAnswer guards against a header in which the name of a field holds a blank or a control byte, and
// that is passed on, or that is read without the field and gives the answer another body.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	answers := map[string]string{
		"length without its name":   "HTTP/1.1 200 S\r\nId: ID\r\nSeal: s\r\nContent-Length : 4\r\n\r\ndone",
		"coding without its name":   "HTTP/1.1 200 S\r\nId: ID\r\nSeal: s\r\nTransfer-Encoding : chunked\r\nContent-Length: 14\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
		"failure":                   "HTTP/1.1 500 S\r\nId: ID\r\nSeal: s\r\nX Note: a\r\nContent-Length: 4\r\n\r\ndone",
		"refusal":                   "HTTP/1.1 503 S\r\nId: ID\r\nNot-Run: 1\r\nX Note: a\r\nContent-Length: 0\r\n\r\n",
		"informational response":    "HTTP/1.1 103 S\r\nX Note: a\r\n\r\nHTTP/1.1 200 S\r\nId: ID\r\nSeal: s\r\nContent-Length: 4\r\n\r\ndone",
		"stream":                    "HTTP/1.1 200 S\r\nId: ID\r\nSeal: s\r\nX Note: a\r\nContent-Type: text/event-stream\r\nContent-Length: 25\r\n\r\n" + eventText(0),
		"beside lines without a CR": "HTTP/1.1 200 S\nId: ID\nSeal: s\nX Note: a\nContent-Length: 4\n\ndone",
	}
	for _, c := range []string{" ", "\t", "\x00", "\x01", "\v", "\r", "\x1b", "\x7f"} {
		for place, name := range map[string]string{"in": "X" + c + "Note", "before": c + "X-Note", "after": "X-Note" + c} {
			if c == " " && place == "before" || c == "\t" && place == "before" {
				// Such a line continues the one before it.
				continue
			}
			answers[fmt.Sprintf("%q %s a name", c, place)] = "HTTP/1.1 200 S\r\nId: ID\r\nSeal: s\r\n" + name + ": a\r\nContent-Length: 4\r\n\r\ndone"
		}
	}
	requireNoAnswer(t, answers)
}
