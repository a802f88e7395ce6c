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

// pausedStore holds back the answers to writes, as a paused instance would take them late.
type pausedStore struct {
	server.Store
	pause *atomic.Int64
}

// CompareAndSwap writes at once and returns after the pause.
func (p *pausedStore) CompareAndSwap(ctx context.Context, key string, old int64, data []byte) (int64, error) {
	v, err := p.Store.CompareAndSwap(ctx, key, old, data)
	time.Sleep(time.Duration(p.pause.Load()))
	return v, err
}

// pausedRouter holds back the choice of a target, which comes after the claim was confirmed.
type pausedRouter struct {
	server.Router
	pause *atomic.Int64
}

// Choose returns after the pause.
func (p *pausedRouter) Choose(q server.TargetQuery) (server.TargetChoice, bool) {
	time.Sleep(time.Duration(p.pause.Load()))
	return p.Router.Choose(q)
}

// TestPausedInstanceDoesNotSend guards against an instance that is paused between the write of
// its claim and the sending, and sends after the deadline, when its caller was told not_run.
func TestPausedInstanceDoesNotSend(t *testing.T) {
	var pause atomic.Int64
	for name, wrap := range map[string]func(*Instance){
		"before the claim is confirmed": func(in *Instance) { in.Store = &pausedStore{in.Store, &pause} },
		"after the claim is confirmed":  func(in *Instance) { in.Router = &pausedRouter{in.Router, &pause} },
	} {
		t.Run(name, func(t *testing.T) {
			pause.Store(0)
			d := startCalls(t, func(p *Config) {
				p.Instances = 2
				p.PrepareInstance = func(in *Instance) {
					// Each instance writes its own claims.
					in.Peers = nil
					if in.ID == "instance-0" {
						wrap(in)
					}
				}
			})
			// Slots pass between the instances after both have joined.
			require.Eventually(t, func() bool {
				return ask(t, d, 0, caller.Call{APIKey: APIKey, Entry: ServiceName, Method: "GET", Path: "/"}).Error == nil
			}, 5*time.Second, 10*time.Millisecond)
			pause.Store(int64(400 * time.Millisecond))
			c := booking(1)
			c.Deadline = 200 * time.Millisecond
			a, err := c.Do(t.Context(), d.Instances[0].Address())
			require.NoError(t, err)
			require.NotNil(t, a.Error)
			require.Contains(t, []string{"claims_unavailable", "still_running", "deadline"}, a.Error.Code, "the call must have come as far as the pause")
			time.Sleep(600 * time.Millisecond)
			require.Zero(t, d.runsOf(c), "the call was sent after its deadline")
			pause.Store(0)
			c.Deadline = 2 * time.Second
			a, err = c.Do(t.Context(), d.Instances[0].Address())
			require.NoError(t, err)
			require.Nil(t, a.Error, "a claim that was not used must not bar the next")
			require.Equal(t, 1, d.runsOf(c))
		})
	}
}
