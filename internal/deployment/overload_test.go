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

// drive runs callers in closed loops for a time and waits for them.
func drive(t *testing.T, callers int, length time.Duration, one func(ctx context.Context, caller int)) {
	t.Helper()
	until := time.Now().Add(length)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			for time.Now().Before(until) {
				one(t.Context(), i)
			}
		})
	}
	group.Wait()
}

func scarce(p *deployment.Config) {
	p.EngineTemplate.Slots, p.EngineTemplate.MaxRequests = 4, 4
	p.EngineTemplate.FirstToken, p.EngineTemplate.TokenInterval = 20*time.Millisecond, 2*time.Millisecond
}

// Guards against a workspace that floods an entry and so keeps the others from their share, or out of the queue.
func TestFloodDoesNotStarveOtherWorkspaces(t *testing.T) {
	d := start(t, 1, 2, func(p *deployment.Config) {
		scarce(p)
		p.EditCatalogue = func(doc *catalogue.Document) { doc.Entries[0].Limits.Queue = 40 }
	})
	const flooders, others = 80, 9
	var done [flooders + others]atomic.Int64
	drive(t, flooders+others, 2*time.Second, func(ctx context.Context, i int) {
		c := completion(d, uint64(i))
		c.Tokens, c.MaxAttempts = 10, 1
		if i >= flooders {
			c.APIKey = fmt.Sprintf("key-of-workspace-%d", i-flooders+1)
		}
		if _, err := c.Stream(ctx); err != nil {
			time.Sleep(20 * time.Millisecond)
			return
		}
		done[i].Add(1)
	})
	flood, least := int64(0), done[flooders].Load()
	for i := range done {
		if i < flooders {
			flood += done[i].Load()
		} else {
			least = min(least, done[i].Load())
		}
	}
	t.Logf("answers: %d of the flood by %d callers, at least %d of each other workspace's one caller", flood, flooders, least)
	require.Greater(t, least*flooders, 4*flood, "a caller of a small workspace must do far better than one of the flood")
}

// Guards against batch work that holds up interactive work of the same workspace.
func TestBatchWaitsWhileInteractivePasses(t *testing.T) {
	d := start(t, 1, 2, func(p *deployment.Config) {
		p.Services = 1
		p.EditCatalogue = func(doc *catalogue.Document) {
			doc.Entries[1].Class = catalogue.Batch
			doc.Workspaces[0].InProgress = 4
		}
	})
	d.Services[0].SetFaults(service.Faults{Delay: catalogue.Duration(100 * time.Millisecond)})
	var mu sync.Mutex
	var batch, interactive []time.Duration
	drive(t, 41, 2*time.Second, func(ctx context.Context, i int) {
		begun := time.Now()
		list := &batch
		var err error
		if i == 0 {
			list = &interactive
			c := completion(d, 1)
			c.Tokens, c.MaxAttempts = 2, 1
			_, err = c.Stream(ctx)
		} else {
			c := caller.Call{APIKey: deployment.APIKey, Entry: deployment.ServiceName, Method: http.MethodGet, Path: "/draft"}
			_, err = c.Do(ctx, d.AddressesFrom(0)[0])
		}
		if err == nil {
			mu.Lock()
			*list = append(*list, time.Since(begun))
			mu.Unlock()
		}
	})
	require.NotEmpty(t, batch)
	require.NotEmpty(t, interactive)
	slices.Sort(batch)
	slices.Sort(interactive)
	b, i := batch[len(batch)/2], interactive[len(interactive)/2]
	t.Logf("median: batch %v of %d, interactive %v of %d", b, len(batch), i, len(interactive))
	require.Less(t, 2*i, b)
}

// Guards against a refusal by the queue after which the work runs all the same.
func TestEarlyRefusalNeverReachesEngines(t *testing.T) {
	d := start(t, 1, 1, func(p *deployment.Config) {
		scarce(p)
		p.EngineTemplate.Slots, p.EngineTemplate.MaxRequests = 1, 1
		p.EditCatalogue = func(doc *catalogue.Document) { doc.Entries[0].Limits.Queue = 1 }
	})
	var refused, served atomic.Int64
	var group sync.WaitGroup
	for i := range 10 {
		group.Go(func() {
			c := completion(d, uint64(i))
			c.MaxAttempts, c.Tokens = 1, 100
			a, err := c.Stream(t.Context())
			if err == nil {
				served.Add(1)
				return
			}
			refused.Add(1)
			if a.Error == nil || a.Error.Outcome != "not_run" || a.Error.Code != "queue_full" || !a.Error.Retry || a.Error.RetryAfterMillis <= 0 {
				t.Errorf("refused with %+v, %v", a.Error, err)
			}
		})
	}
	group.Wait()
	require.EqualValues(t, 2, served.Load())
	require.EqualValues(t, 8, refused.Load())
	require.EqualValues(t, 2, d.Engines[0].Stats().Started)
}

// claimed reports whether the key-value service holds a claim of the call.
func claimed(t *testing.T, d *deployment.Deployment, workspace, name string) bool {
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

// Guards against calls that are refused for want of a target's slot although they could wait for
// one, and against claims and runs of calls that were refused while they waited.
func TestCallsWaitForTargets(t *testing.T) {
	for _, c := range []struct {
		name      string
		instances int
		deadline  time.Duration
		refused   bool
	}{
		{"in time, one instance", 1, 10 * time.Second, false},
		{"in time, two instances that borrow slots", 2, 10 * time.Second, false},
		{"too many for the deadline", 1, 700 * time.Millisecond, true},
		{"too many for the deadline, two instances", 2, 700 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := start(t, c.instances, 1, func(p *deployment.Config) {
				p.Services = 2
				p.EditCatalogue = func(doc *catalogue.Document) {
					for i := range doc.Entries[1].Targets {
						doc.Entries[1].Targets[i].Slots = 2
					}
				}
			})
			for _, s := range d.Services {
				s.SetFaults(service.Faults{Delay: catalogue.Duration(150 * time.Millisecond)})
			}
			const calls, warm = 40, 20
			call := func(name string, i int, deadline time.Duration) (caller.CallResponse, error) {
				k := caller.Call{
					APIKey: fmt.Sprintf("key-of-workspace-%d", i%3), Entry: deployment.ServiceName, Method: http.MethodPost,
					Path: "/bookings", Body: fmt.Sprint(name, i), IdempotencyKey: fmt.Sprint(name, i), Deadline: deadline,
				}
				return k.Do(t.Context(), d.AddressesFrom(i)[0])
			}
			var ran, refused, cut atomic.Int64
			var group sync.WaitGroup
			// The time of a call is not estimated before some have ended.
			for i := range warm {
				group.Go(func() {
					a, err := call("warm-", i, 10*time.Second)
					if err != nil || a.Error != nil {
						t.Errorf("call %d: %v, %v", i, err, a.Error)
					}
				})
			}
			group.Wait()
			for i := range calls {
				group.Go(func() {
					begun := time.Now()
					a, err := call("call-", i, c.deadline)
					switch {
					case err != nil:
						t.Errorf("call %d: %v", i, err)
					case a.Error == nil:
						ran.Add(1)
					case a.Error.Outcome == "not_run" && a.Error.Code == "deadline_unreachable" && time.Since(begun) < c.deadline+deadlineSlack:
						refused.Add(1)
					case a.Error.Outcome == "unknown" && a.Error.Code == "deadline":
						cut.Add(1)
					default:
						t.Errorf("call %d: %+v after %v", i, *a.Error, time.Since(begun))
					}
				})
			}
			group.Wait()
			runs, claims := 0, 0
			for i := range calls {
				if claimed(t, d, fmt.Sprint("workspace-", i%3), fmt.Sprint("call-", i)) {
					claims++
				}
			}
			for _, s := range d.Services {
				for _, n := range s.RunCounts() {
					runs += n
				}
			}
			runs -= warm
			t.Logf("%d ran, %d refused, %d cut off at the deadline, %d runs at targets, %d claims", ran.Load(), refused.Load(), cut.Load(), runs, claims)
			require.Equal(t, c.refused, refused.Load() > 0)
			require.EqualValues(t, ran.Load()+cut.Load(), runs)
			require.LessOrEqual(t, cut.Load(), ran.Load()/8, "calls are started that cannot end in time")
			require.Equal(t, runs, claims)
		})
	}
}

// Guards against service calls of one workspace that keep those of others from the targets.
func TestFloodOfCallsDoesNotStarveOtherWorkspaces(t *testing.T) {
	d := start(t, 1, 1, func(p *deployment.Config) {
		p.Services = 2
		p.EditCatalogue = func(doc *catalogue.Document) {
			for i := range doc.Entries[1].Targets {
				doc.Entries[1].Targets[i].Slots = 2
			}
		}
	})
	for _, s := range d.Services {
		s.SetFaults(service.Faults{Delay: catalogue.Duration(50 * time.Millisecond)})
	}
	const flooders, others = 60, 3
	var done [flooders + others]atomic.Int64
	drive(t, flooders+others, 2*time.Second, func(ctx context.Context, i int) {
		c := caller.Call{APIKey: deployment.APIKey, Entry: deployment.ServiceName, Method: http.MethodGet, Path: "/stalls"}
		if i >= flooders {
			c.APIKey = fmt.Sprintf("key-of-workspace-%d", i-flooders+1)
		}
		if a, err := c.Do(ctx, d.AddressesFrom(0)[0]); err != nil || a.Error != nil {
			time.Sleep(20 * time.Millisecond)
			return
		}
		done[i].Add(1)
	})
	flood, least := int64(0), done[flooders].Load()
	for i := range done {
		if i < flooders {
			flood += done[i].Load()
		} else {
			least = min(least, done[i].Load())
		}
	}
	t.Logf("answers: %d of the flood by %d callers, at least %d of each other workspace's one caller", flood, flooders, least)
	require.Greater(t, least*flooders, 4*flood, "a caller of a small workspace must do far better than one of the flood")
}

// deadlineSlack is the time after its deadline within which a waiting call is told of its refusal,
// for the period at which the queue is looked at and a busy machine.
const deadlineSlack = 250 * time.Millisecond
