package deployment_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/caller"
	"bambooferry.example/bambooferry/internal/deployment"
	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/internal/standin/service"
	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/catalogue"
)

// runCallers runs callers in closed loops for a time and waits until they have ended.
func runCallers(t *testing.T, callers int, length time.Duration, sendOne func(ctx context.Context, caller int)) {
	t.Helper()
	deadline := time.Now().Add(length)
	var goroutines sync.WaitGroup
	for i := range callers {
		goroutines.Go(func() {
			for time.Now().Before(deadline) {
				sendOne(t.Context(), i)
			}
		})
	}
	goroutines.Wait()
}

func fewSlots(cfg *deployment.Config) {
	cfg.EngineTemplate.Slots, cfg.EngineTemplate.MaxRequests = 4, 4
	cfg.EngineTemplate.FirstToken, cfg.EngineTemplate.TokenInterval = 20*time.Millisecond, 2*time.Millisecond
}

// Guards against a workspace that floods an entry and so deprives the others of their share or of queue space.
func TestFloodDoesNotStarveOtherWorkspaces(t *testing.T) {
	d := startDeployment(t, 1, 2, func(cfg *deployment.Config) {
		fewSlots(cfg)
		cfg.EditCatalogue = func(doc *catalogue.Document) { doc.Entries[0].Limits.Queue = 40 }
	})
	const flooders, others = 80, 9
	var answered [flooders + others]atomic.Int64
	runCallers(t, flooders+others, 2*time.Second, func(ctx context.Context, i int) {
		c := completion(d, uint64(i))
		c.Tokens, c.MaxAttempts = 10, 1
		if i >= flooders {
			c.APIKey = fmt.Sprintf("key-of-workspace-%d", i-flooders+1)
		}
		if _, err := c.Stream(ctx); err != nil {
			time.Sleep(20 * time.Millisecond)
			return
		}
		answered[i].Add(1)
	})
	floodAnswers, leastOther := int64(0), answered[flooders].Load()
	for i := range answered {
		if i < flooders {
			floodAnswers += answered[i].Load()
		} else {
			leastOther = min(leastOther, answered[i].Load())
		}
	}
	t.Logf("answers: %d of the flood by %d callers, at least %d of each other workspace's one caller", floodAnswers, flooders, leastOther)
	require.Greater(t, leastOther*flooders, 4*floodAnswers, "a caller of a small workspace must do far better than one of the flood")
}

// Guards against batch work that delays interactive work of the same workspace.
func TestBatchWaitsWhileInteractivePasses(t *testing.T) {
	d := startDeployment(t, 1, 2, func(cfg *deployment.Config) {
		cfg.Services = 1
		cfg.EditCatalogue = func(doc *catalogue.Document) {
			doc.Entries[1].Class = catalogue.Batch
			doc.Workspaces[0].InProgress = 4
		}
	})
	d.Services[0].SetFaults(service.Faults{Delay: catalogue.Duration(100 * time.Millisecond)})
	var mu sync.Mutex
	var batch, interactive []time.Duration
	runCallers(t, 41, 2*time.Second, func(ctx context.Context, i int) {
		startedAt := time.Now()
		durations := &batch
		var err error
		if i == 0 {
			durations = &interactive
			c := completion(d, 1)
			c.Tokens, c.MaxAttempts = 2, 1
			_, err = c.Stream(ctx)
		} else {
			c := caller.Call{APIKey: deployment.APIKey, Entry: deployment.ServiceName, Method: http.MethodGet, Path: "/draft"}
			_, err = c.Do(ctx, d.AddressesFrom(0)[0])
		}
		if err == nil {
			mu.Lock()
			*durations = append(*durations, time.Since(startedAt))
			mu.Unlock()
		}
	})
	require.NotEmpty(t, batch)
	require.NotEmpty(t, interactive)
	slices.Sort(batch)
	slices.Sort(interactive)
	batchMedian, interactiveMedian := batch[len(batch)/2], interactive[len(interactive)/2]
	t.Logf("median: batch %v of %d, interactive %v of %d", batchMedian, len(batch), interactiveMedian, len(interactive))
	require.Less(t, 2*interactiveMedian, batchMedian)
}

// Guards against requests that the queue refuses but that run nevertheless.
func TestEarlyRefusalNeverReachesEngines(t *testing.T) {
	d := startDeployment(t, 1, 1, func(cfg *deployment.Config) {
		fewSlots(cfg)
		cfg.EngineTemplate.Slots, cfg.EngineTemplate.MaxRequests = 1, 1
		cfg.EditCatalogue = func(doc *catalogue.Document) { doc.Entries[0].Limits.Queue = 1 }
	})
	var refused, served atomic.Int64
	var group sync.WaitGroup
	for i := range 10 {
		group.Go(func() {
			c := completion(d, uint64(i))
			c.MaxAttempts, c.Tokens = 1, 100
			response, err := c.Stream(t.Context())
			if err == nil {
				served.Add(1)
				return
			}
			refused.Add(1)
			if response.Error == nil || response.Error.Outcome != "not_run" || response.Error.Code != "queue_full" || !response.Error.Retry || response.Error.RetryAfterMillis <= 0 {
				t.Errorf("refused with %+v, %v", response.Error, err)
			}
		})
	}
	group.Wait()
	require.EqualValues(t, 2, served.Load())
	require.EqualValues(t, 8, refused.Load())
	require.EqualValues(t, 2, d.Engines[0].Stats().Started)
}

// hasClaim reports whether the key-value service holds a claim for the call.
func hasClaim(t *testing.T, d *deployment.Deployment, workspace, name string) bool {
	t.Helper()
	key := booking.ScopedKey(workspace, deployment.ServiceName, name)
	v, err := d.KeyValueClient().Get(t.Context(), fmt.Sprintf("claims/%d", booking.ShardOf(key, server.DefaultCallLimits().Shards)))
	if err != nil || len(v.Data) == 0 {
		return false
	}
	shard, err := booking.DecodeShard(v.Data)
	require.NoError(t, err)
	_, found := shard.Find(key)
	return found
}

// Guards against calls that are refused for lack of a target's slot although they could wait for one, and
// against claims and runs of calls that were refused while waiting.
func TestCallsWaitForTargets(t *testing.T) {
	for _, c := range []struct {
		name         string
		instances    int
		deadline     time.Duration
		wantRefusals bool
	}{
		{"in time, one instance", 1, 10 * time.Second, false},
		{"in time, two instances that borrow slots", 2, 10 * time.Second, false},
		{"too many for the deadline", 1, 700 * time.Millisecond, true},
		{"too many for the deadline, two instances", 2, 700 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := startDeployment(t, c.instances, 1, func(cfg *deployment.Config) {
				cfg.Services = 2
				cfg.EditCatalogue = func(doc *catalogue.Document) {
					for i := range doc.Entries[1].Targets {
						doc.Entries[1].Targets[i].Slots = 2
					}
				}
			})
			for _, s := range d.Services {
				s.SetFaults(service.Faults{Delay: catalogue.Duration(150 * time.Millisecond)})
			}
			const calls, warmUpCalls = 40, 20
			call := func(name string, i int, deadline time.Duration) (caller.CallResponse, error) {
				k := caller.Call{
					APIKey: fmt.Sprintf("key-of-workspace-%d", i%3), Entry: deployment.ServiceName, Method: http.MethodPost,
					Path: "/bookings", Body: fmt.Sprint(name, i), IdempotencyKey: fmt.Sprint(name, i), Deadline: deadline,
				}
				return k.Do(t.Context(), d.AddressesFrom(i)[0])
			}
			var ran, refused, cutOff atomic.Int64
			var group sync.WaitGroup
			// The duration of a call is estimated only after some calls have ended.
			for i := range warmUpCalls {
				group.Go(func() {
					response, err := call("warm-", i, 10*time.Second)
					if err != nil || response.Error != nil {
						t.Errorf("call %d: %v, %v", i, err, response.Error)
					}
				})
			}
			group.Wait()
			for i := range calls {
				group.Go(func() {
					startedAt := time.Now()
					response, err := call("call-", i, c.deadline)
					switch {
					case err != nil:
						t.Errorf("call %d: %v", i, err)
					case response.Error == nil:
						ran.Add(1)
					case response.Error.Outcome == "not_run" && response.Error.Code == "deadline_unreachable" && time.Since(startedAt) < c.deadline+deadlineSlack:
						refused.Add(1)
					case response.Error.Outcome == "unknown" && response.Error.Code == "deadline":
						cutOff.Add(1)
					default:
						t.Errorf("call %d: %+v after %v", i, *response.Error, time.Since(startedAt))
					}
				})
			}
			group.Wait()
			runs, claims := 0, 0
			for i := range calls {
				if hasClaim(t, d, fmt.Sprint("workspace-", i%3), fmt.Sprint("call-", i)) {
					claims++
				}
			}
			for _, s := range d.Services {
				for _, n := range s.RunCounts() {
					runs += n
				}
			}
			runs -= warmUpCalls
			t.Logf("%d ran, %d refused, %d cut off at the deadline, %d runs at targets, %d claims", ran.Load(), refused.Load(), cutOff.Load(), runs, claims)
			require.Equal(t, c.wantRefusals, refused.Load() > 0)
			require.EqualValues(t, ran.Load()+cutOff.Load(), runs)
			require.LessOrEqual(t, cutOff.Load(), ran.Load()/8, "calls were started that could not end in time")
			require.Equal(t, runs, claims)
		})
	}
}

// Guards against service calls of one workspace that prevent those of others from reaching the targets.
func TestFloodOfCallsDoesNotStarveOtherWorkspaces(t *testing.T) {
	d := startDeployment(t, 1, 1, func(cfg *deployment.Config) {
		cfg.Services = 2
		cfg.EditCatalogue = func(doc *catalogue.Document) {
			for i := range doc.Entries[1].Targets {
				doc.Entries[1].Targets[i].Slots = 2
			}
		}
	})
	for _, s := range d.Services {
		s.SetFaults(service.Faults{Delay: catalogue.Duration(50 * time.Millisecond)})
	}
	const flooders, others = 60, 3
	var answered [flooders + others]atomic.Int64
	runCallers(t, flooders+others, 2*time.Second, func(ctx context.Context, i int) {
		c := caller.Call{APIKey: deployment.APIKey, Entry: deployment.ServiceName, Method: http.MethodGet, Path: "/stalls"}
		if i >= flooders {
			c.APIKey = fmt.Sprintf("key-of-workspace-%d", i-flooders+1)
		}
		if response, err := c.Do(ctx, d.AddressesFrom(0)[0]); err != nil || response.Error != nil {
			time.Sleep(20 * time.Millisecond)
			return
		}
		answered[i].Add(1)
	})
	floodAnswers, leastOther := int64(0), answered[flooders].Load()
	for i := range answered {
		if i < flooders {
			floodAnswers += answered[i].Load()
		} else {
			leastOther = min(leastOther, answered[i].Load())
		}
	}
	t.Logf("answers: %d of the flood by %d callers, at least %d of each other workspace's one caller", floodAnswers, flooders, leastOther)
	require.Greater(t, leastOther*flooders, 4*floodAnswers, "a caller of a small workspace must do far better than one of the flood")
}

// deadlineSlack is the time after its deadline by which a waiting call must be refused. It allows for
// the interval at which the queue is checked and for a busy machine.
const deadlineSlack = 250 * time.Millisecond
