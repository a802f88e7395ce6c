package deployment

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/caller"
	"bambooferry.example/bambooferry/internal/server"
)

// pausedStore delays the results of writes, as if the instance were paused before it receives them.
type pausedStore struct {
	server.Store
	pause *atomic.Int64
}

// CompareAndSwap writes immediately and returns after the pause.
func (s *pausedStore) CompareAndSwap(ctx context.Context, key string, expectedVersion int64, data []byte) (int64, error) {
	v, err := s.Store.CompareAndSwap(ctx, key, expectedVersion, data)
	time.Sleep(time.Duration(s.pause.Load()))
	return v, err
}

// pausedRouter delays the choice of a target, which follows the confirmation of the claim.
type pausedRouter struct {
	server.Router
	pause *atomic.Int64
}

// Choose chooses a target after the pause.
func (r *pausedRouter) Choose(q server.TargetQuery) (server.TargetChoice, bool) {
	time.Sleep(time.Duration(r.pause.Load()))
	return r.Router.Choose(q)
}

// TestPausedInstanceDoesNotSend guards against an instance that is paused between writing its claim and
// sending the call, and then sends it after the deadline, when the caller has already received not_run.
func TestPausedInstanceDoesNotSend(t *testing.T) {
	var pause atomic.Int64
	for name, addPause := range map[string]func(*Instance){
		"before the claim is confirmed": func(in *Instance) { in.Store = &pausedStore{in.Store, &pause} },
		"after the claim is confirmed":  func(in *Instance) { in.Router = &pausedRouter{in.Router, &pause} },
	} {
		t.Run(name, func(t *testing.T) {
			pause.Store(0)
			d := startCalls(t, func(cfg *Config) {
				cfg.Instances = 2
				cfg.PrepareInstance = func(in *Instance) {
					// Each instance writes its own claims.
					in.Peers = nil
					if in.ID == "instance-0" {
						addPause(in)
					}
				}
			})
			// The instances redistribute slots after both have joined.
			require.Eventually(t, func() bool {
				return mustCall(t, d, 0, caller.Call{APIKey: APIKey, Entry: ServiceName, Method: "GET", Path: "/"}).Error == nil
			}, 5*time.Second, 10*time.Millisecond)
			pause.Store(int64(400 * time.Millisecond))
			c := bookingCall(1)
			c.Deadline = 200 * time.Millisecond
			response, err := c.Do(t.Context(), d.Instances[0].Address())
			require.NoError(t, err)
			require.NotNil(t, response.Error)
			require.Contains(t, []string{"claims_unavailable", "still_running", "deadline"}, response.Error.Code, "the call must have reached the pause")
			time.Sleep(600 * time.Millisecond)
			require.Zero(t, d.runCount(c), "the call was sent after its deadline")
			pause.Store(0)
			c.Deadline = 2 * time.Second
			response, err = c.Do(t.Context(), d.Instances[0].Address())
			require.NoError(t, err)
			require.Nil(t, response.Error, "an unused claim must not block the next call")
			require.Equal(t, 1, d.runCount(c))
		})
	}
}
