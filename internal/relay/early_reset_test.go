package relay

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/standin/responder"
	"bambooferry.example/bambooferry/pkg/route"
)

// uploadBytes is more than the kernel's buffers of a connection hold.
const uploadBytes = 8 << 20

// uploadTable returns the table of the test relay with a limit for bodies of uploadBytes.
func uploadTable() *route.Table {
	pools := []route.Pool{{Name: "p", HealthPath: "/health"}}
	return route.NewTable(2, route.Limits{MaxBodyBytes: uploadBytes, IdleTimeout: time.Minute}, testRoutes, pools, map[string]*route.Workspace{"k": {Name: "w"}})
}

// startUploadRelay starts a relay whose only target answers uploads early and then resets the connection, which is
// made directly or through another instance.
func startUploadRelay(t *testing.T, target *responder.Responder, carried bool) *testRelay {
	t.Helper()
	address, err := target.Start()
	require.NoError(t, err)
	t.Cleanup(func() { _ = target.Close() })
	stub := &engineStub{id: "e0", address: address}
	if !carried {
		tr := startRelay(t, stub)
		TableKey.Put(tr.relay.Board, uploadTable())
		return tr
	}
	f := startFleet(t, 2, []*engineStub{stub})
	// The links of a fleet pass on a reset as an end of bytes, so the carrier connects without one.
	f.relays[1].relay.Targets.Update(time.Now(), uploadTable(), map[string][]route.Target{"p": {{ID: "e0", Pool: "p", Address: address, DataCentre: "a", Slots: 8}}})
	f.cut(0, cutReset, []int{0})
	TableKey.Put(f.relays[0].relay.Board, uploadTable())
	require.Eventually(t, func() bool {
		f.relays[0].request("POST", "/book/warm", "", "Patience", "300ms")
		return strings.Contains(f.relays[0].log.String(), `"member":"1"`)
	}, 10*time.Second, 10*time.Millisecond, "the other instance must carry connections")
	return f.relays[0]
}

// earlyAnswer answers with a header, to which the request's id is added, and a body.
func earlyAnswer(head, body string) func(r *http.Request) string {
	return func(r *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nId: %s\r\n\r\n%s", head, r.Header.Get("Id"), body)
	}
}

// TestResetDuringUploadIsTheEndOfTheAnswer guards against an answer without a length that is passed on as whole although
// its target has reset the connection, since a write of the request got the kernel's report of the reset.
func TestResetDuringUploadIsTheEndOfTheAnswer(t *testing.T) {
	for path, carried := range map[string]bool{"direct": false, "through another instance": true} {
		for name, c := range map[string]struct{ path, head, body string }{
			"call that runs once":        {"/book/1", "200 S\r\nSeal: s", "part"},
			"call with an empty body":    {"/book/1", "200 S\r\nSeal: s", ""},
			"failed call that runs once": {"/book/1", "500 S\r\nSeal: s", "part"},
			"rejected call":              {"/book/1", "400 S\r\nSeal: s", "part"},
			"repeatable call":            {"/view/1", "200 S\r\nSeal: s", "part"},
			"stream that can be resumed": {"/draft/1", "200 S\r\nSeal: s\r\nContent-Type: text/event-stream", eventsText(0, 2)},
			"stream that runs once":      {"/once/1", "200 S\r\nSeal: s\r\nContent-Type: text/event-stream", eventsText(0, 2)},
			"stream without events":      {"/draft/1", "200 S\r\nSeal: s\r\nContent-Type: text/event-stream", ""},
			"stream that fails":          {"/draft/1", "400 S\r\nSeal: s", "part"},
			"close stated in the header": {"/book/1", "200 S\r\nSeal: s\r\nConnection: close", "part"},
		} {
			t.Run(name+", "+path, func(t *testing.T) {
				t.Parallel()
				tr := startUploadRelay(t, &responder.Responder{Answer: earlyAnswer(c.head, c.body)}, carried)
				for n := range 5 {
					res := tr.request("POST", c.path, strings.Repeat("x", uploadBytes), "Id", fmt.Sprint("r-", n), "Patience", "1s")
					require.False(t, res.err == nil && res.header.Get("Seal") != "", "try %d: %d %q", n, res.status, res.body)
					require.False(t, res.err == nil && res.status < 300, "try %d: %d %q", n, res.status, res.body)
				}
			})
		}
	}
}

// TestWholeAnswerToUnreadUploadReachesTheCaller guards against a whole answer that is lost since its target resets the
// connection instead of reading the rest of the request.
func TestWholeAnswerToUnreadUploadReachesTheCaller(t *testing.T) {
	for path, carried := range map[string]bool{"direct": false, "through another instance": true} {
		for name, c := range map[string]struct {
			head, body string
			endsBytes  bool
			status     int
		}{
			"rejection with a length":           {"413 S\r\nSeal: s\r\nContent-Length: 8", "too long", false, 413},
			"rejection in chunks":               {"413 S\r\nSeal: s\r\nTransfer-Encoding: chunked", "8\r\ntoo long\r\n0\r\n\r\n", false, 413},
			"rejection that ends with its conn": {"413 S\r\nSeal: s\r\nConnection: close", "too long", true, 413},
			"refusal with a length":             {"503 S\r\nNot-Run: 1\r\nContent-Length: 8", "too long", false, 503},
			"refusal that ends with its conn":   {"503 S\r\nNot-Run: 1\r\nConnection: close", "too long", true, 503},
			"refusal without an end":            {"503 S\r\nNot-Run: 1", "too long", false, 503},
		} {
			t.Run(name+", "+path, func(t *testing.T) {
				t.Parallel()
				tr := startUploadRelay(t, &responder.Responder{Answer: earlyAnswer(c.head, c.body), EndsBytes: c.endsBytes}, carried)
				for n := range 3 {
					res := tr.request("POST", "/book/1", strings.Repeat("x", uploadBytes), "Id", fmt.Sprint("r-", n))
					require.NoError(t, res.err)
					require.Equal(t, c.status, res.status, "try %d: %q\n%s", n, res.body, tr.log)
					if c.status == http.StatusRequestEntityTooLarge {
						require.Equal(t, "too long", res.body)
					}
				}
			})
		}
	}
}
