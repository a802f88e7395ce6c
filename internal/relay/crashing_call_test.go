package relay

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that crashes each engine of a small pool for as long as it comes, since no crash counts while no other
// engine of the pool can be reached.
func TestRequestThatCrashesSmallPoolIsRefused(t *testing.T) {
	const (
		duration = 20 * time.Second
		every    = 1500 * time.Millisecond
		// maxLateRetries is the number of requests that may reach engines later than contactTime after the third crash.
		maxLateRetries = 3
	)
	for _, engines := range []int{1, 2, 3, 4} {
		for _, downTime := range []time.Duration{2 * time.Second, 5 * time.Second, 9 * time.Second} {
			t.Run(fmt.Sprintf("%d engines away for %s", engines, downTime), func(t *testing.T) {
				t.Parallel()
				f := startFleet(t, 3, nil)
				c := &crashingCluster{t: t, relays: f.relays, downTime: downTime, entryTime: 3600 * time.Millisecond}
				c.startEngines(engines)
				end := time.Now().Add(duration)
				var calls sync.WaitGroup
				var mu sync.Mutex
				served := 0
				calls.Go(func() {
					for n := 0; time.Now().Before(end); n++ {
						calls.Go(func() {
							if f.relays[n%3].request("POST", "/book/sound", fmt.Sprint(n), "Id", fmt.Sprintf("sound-%d", n), "Patience", "1.5s").status == http.StatusOK {
								mu.Lock()
								served++
								mu.Unlock()
							}
						})
						time.Sleep(30 * time.Millisecond)
					}
				})
				for n := 0; time.Now().Before(end); n++ {
					calls.Go(func() {
						f.relays[n%3].request("POST", "/book/return", "poison", "Id", fmt.Sprintf("poison-%d", n), "Patience", "1.5s")
					})
					time.Sleep(every)
				}
				calls.Wait()
				c.mu.Lock()
				defer c.mu.Unlock()
				late := 0
				for _, at := range c.badArrivals {
					if len(c.crashes) >= 3 && at.After(c.crashes[2].Add(contactTime)) {
						late++
					}
				}
				t.Logf("%d crashes, %d late retries, %d sound calls served", len(c.crashes), late, served)
				require.GreaterOrEqual(t, len(c.crashes), 2)
				require.LessOrEqual(t, late, maxLateRetries)
			})
		}
	}
}
