package relay

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRequestLateInGraceIsCutOff guards against a request that a stopping instance takes, passes on, and ends without an
// answer when its grace period is over.
func TestRequestLateInGraceIsCutOff(t *testing.T) {
	for name, c := range map[string]struct{ grace, deregistration time.Duration }{
		"grace period of seconds":                       {3 * time.Second, 800 * time.Millisecond},
		"grace period below the deregistration delay":   {700 * time.Millisecond, 2500 * time.Millisecond},
		"grace period below the time for final answers": {150 * time.Millisecond, 2500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			reached := map[string]bool{}
			stub := startStub(t, "e1", func(conn net.Conn, r *http.Request, _ string) bool {
				mu.Lock()
				reached[r.Header.Get("Id")] = true
				mu.Unlock()
				time.Sleep(120 * time.Millisecond)
				return writeResponse(conn, r, 200, "done", "Seal: s")
			})
			stub.slots = 100
			tr := startRelay(t, stub)
			tr.relay.GracePeriod, tr.relay.DeregistrationDelay = c.grace, c.deregistration
			require.Equal(t, 200, tr.request("POST", "/book/warm", "").status)
			startedAt := time.Now()
			tr.stop()
			// A request that comes before the instance notices the stop is served like any other.
			require.Eventually(t, func() bool { return tr.relay.stoppingSince.Load() != nil }, c.grace, time.Millisecond)
			var group sync.WaitGroup
			answered, refused, closed := 0, 0, 0
			for n := 0; time.Since(startedAt) < c.grace; n++ {
				// Without a limit of the caller's, with one that ends late, and with one that ends in the grace period.
				for _, patience := range []string{"0s", "5s", "250ms"} {
					id := fmt.Sprintf("r%d-%s", n, patience)
					group.Go(func() {
						res := tr.request("POST", "/untimed/"+id, "", "Id", id, "Patience", patience)
						mu.Lock()
						defer mu.Unlock()
						switch {
						case res.err == nil && res.status == 503:
							refused++
							if reached[id] {
								t.Errorf("%s was refused and has run", id)
							}
						case res.err == nil:
							answered++
							if patience != "250ms" {
								t.Errorf("%s was taken", id)
							}
						default:
							closed++
							if reached[id] {
								t.Errorf("%s was passed on and got no answer: %v", id, res.err)
							}
						}
					})
				}
				time.Sleep(15 * time.Millisecond)
			}
			group.Wait()
			t.Logf("answered %d, refused %d, not taken %d", answered, refused, closed)
			require.Positive(t, refused+closed)
		})
	}
}
