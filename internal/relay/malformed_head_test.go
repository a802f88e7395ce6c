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
