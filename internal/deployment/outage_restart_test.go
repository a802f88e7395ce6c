package deployment

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/caller"
	standinplatform "bambooferry.example/bambooferry/internal/standin/platform"
)

// requireServes requests streamed answers from a single instance, several concurrently, and checks that all are complete.
func requireServes(t *testing.T, in *Instance, answers int) {
	t.Helper()
	const concurrency, tokens = 4, 20
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	var callers sync.WaitGroup
	errs, missingTokens := make([]error, answers), make([]int, answers)
	for first := range concurrency {
		callers.Go(func() {
			for i := first; i < answers; i += concurrency {
				result, err := caller.Completion{
					APIKey: APIKey, Model: ModelName, Prompt: "Reserve a stall.", Tokens: tokens, Seed: uint64(i + 1),
					Instances: []netip.AddrPort{in.Address()}, MaxAttempts: 20,
				}.Stream(ctx)
				errs[i] = err
				if result.FinishReason == "" {
					missingTokens[i] = tokens - result.Tokens
				}
			}
		})
	}
	callers.Wait()
	for i := range answers {
		require.NoError(t, errs[i])
		require.Zero(t, missingTokens[i], "missing tokens")
	}
}

// requireWithinSlots checks that no engine ever held more requests than it has slots.
func requireWithinSlots(t *testing.T, d *Deployment) {
	t.Helper()
	overloaded, peak := (&loadGenerator{d: d}).overloadStats()
	require.Zero(t, overloaded, "engines that received more than their limit")
	require.LessOrEqual(t, peak, testSlots)
}

// requireNoSlotsLent waits until no slot is lent, so that no borrower that has ended keeps one.
func requireNoSlotsLent(t *testing.T, d *Deployment) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, in := range d.Instances {
			for _, usage := range in.Slots.Counts() {
				if !in.hasStopped() && usage.Lent > 0 {
					return false
				}
			}
		}
		return true
	}, 20*time.Second, 50*time.Millisecond, "slots kept by a borrower that has ended")
}

// Guards against three failures of an instance restarted while the key-value service is down: it serves
// nothing; engines get more requests than they have slots, before or after it joins; slots remain lent to
// its previous incarnation.
func TestRestartedInOutageServes(t *testing.T) {
	for _, c := range []struct {
		name string
		// stopAgain kills the restarted instance under load; restartAgain then starts it a second time.
		stopAgain, restartAgain bool
	}{
		{"joins_later", false, false},
		{"ends_and_returns", true, true},
		{"ends", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := slotConfig(4, false)
			cfg.Services = 1
			d, err := Start(t.Context(), cfg)
			require.NoError(t, err)
			defer d.Close()
			requireAllHeld(t, d)
			generator := &loadGenerator{d: d, callers: 12}
			ctx, cancel := context.WithCancel(t.Context())
			loadEnded := make(chan struct{})
			go func() { defer close(loadEnded); generator.run(ctx, 12) }()
			time.Sleep(300 * time.Millisecond)

			d.Platform.SetFaults(standinplatform.Faults{Down: true})
			restart := func() *Instance {
				d.Instances[1].Kill()
				<-d.Instances[1].done
				require.NoError(t, d.RestartInstance(1, d.Instances[0].PeerAddress))
				requireEventually(t, d.Instances[1].Ready)
				return d.Instances[1]
			}
			in := restart()
			requireServes(t, in, 40)
			require.False(t, in.Slots.NoReleasesPending(), "it cannot have joined")
			require.Zero(t, in.Slots.Counts()["target"].Held)
			response, err := caller.Call{APIKey: APIKey, Entry: ServiceName, Method: http.MethodGet, Path: "/stalls"}.Do(t.Context(), in.Address())
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.Status, response.Body)
			requireWithinSlots(t, d)
			if c.stopAgain {
				in.Kill()
				<-in.done
			}
			if c.restartAgain {
				in = restart()
				requireServes(t, in, 40)
				requireWithinSlots(t, d)
			}

			d.Platform.SetFaults(standinplatform.Faults{})
			if !in.hasStopped() {
				requireEventually(t, in.Slots.NoReleasesPending)
				requireServes(t, in, 40)
			}
			requireAllHeld(t, d)
			cancel()
			<-loadEnded
			requireNoSlotsLent(t, d)
			requireWithinSlots(t, d)
			t.Logf("%d answers under load, %d failed", generator.done.Load(), generator.failed.Load())
		})
	}
}

// Guards against an instance restarted in an outage that keeps starting work when it is also
// disconnected from all members, which could then no longer fence it.
func TestRestartedInOutageCutOff(t *testing.T) {
	d, err := Start(t.Context(), slotConfig(3, false))
	require.NoError(t, err)
	defer d.Close()
	d.Platform.SetFaults(standinplatform.Faults{Down: true})
	d.Instances[1].Kill()
	<-d.Instances[1].done
	require.NoError(t, d.RestartInstance(1, d.Instances[0].PeerAddress))
	in := d.Instances[1]
	requireEventually(t, in.Ready)
	requireServes(t, in, 4)
	d.Disconnect(in, d.Instances[0])
	d.Disconnect(in, d.Instances[2])
	requireEventually(t, func() bool { return !in.Ready() })
	require.False(t, in.Slots.CanStartWork(time.Now()))
	_, err = caller.Completion{
		APIKey: APIKey, Model: ModelName, Prompt: "Reserve a stall.", Tokens: 5, Seed: 1,
		Instances: []netip.AddrPort{in.Address()}, MaxAttempts: 1,
	}.Stream(t.Context())
	var refused *caller.ServiceError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, "not_run", refused.Outcome)
	d.Reconnect(in, d.Instances[0])
	d.Reconnect(in, d.Instances[2])
	requireEventually(t, in.Ready)
	requireServes(t, in, 4)
}
