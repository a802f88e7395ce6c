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

// requireServes reads whole streamed answers from one instance alone, several at a time.
func requireServes(t *testing.T, in *Instance, answers int) {
	t.Helper()
	const atOnce, tokens = 4, 20
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	var group sync.WaitGroup
	errs, short := make([]error, answers), make([]int, answers)
	for first := range atOnce {
		group.Go(func() {
			for i := first; i < answers; i += atOnce {
				a, err := caller.Completion{
					APIKey: APIKey, Model: ModelName, Prompt: "Reserve a stall.", Tokens: tokens, Seed: uint64(i + 1),
					Instances: []netip.AddrPort{in.Address()}, MaxAttempts: 20,
				}.Stream(ctx)
				errs[i] = err
				if a.FinishReason == "" {
					short[i] = tokens - a.Tokens
				}
			}
		})
	}
	group.Wait()
	for i := range answers {
		require.NoError(t, errs[i])
		require.Zero(t, short[i], "tokens that are missing")
	}
}

func requireWithinSlots(t *testing.T, d *Deployment) {
	t.Helper()
	fell, peak := (&load{d: d}).over()
	require.Zero(t, fell, "engines that were given more than their limit")
	require.LessOrEqual(t, peak, testSlots)
}

// requireNoneLent waits until nothing is lent, so that no ended borrower keeps a slot.
func requireNoneLent(t *testing.T, d *Deployment) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, in := range d.Instances {
			for _, c := range in.Slots.Counts() {
				if !in.ended() && c.Lent > 0 {
					return false
				}
			}
		}
		return true
	}, 20*time.Second, 50*time.Millisecond, "slots that an ended borrower keeps")
}

// Guards against an instance restarted while the service is down that serves nothing, against
// engines that get more than their slots from it, then or after it joins, and against slots that
// stay lent to its incarnation that ended.
func TestRestartedInOutageServes(t *testing.T) {
	for _, c := range []struct {
		name string
		// again ends the restarted instance under load, and starts it a second time if back is set.
		again, back bool
	}{
		{"joins_later", false, false},
		{"ends_and_returns", true, true},
		{"ends", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := slotPlan(4, false)
			p.Services = 1
			d, err := Start(t.Context(), p)
			require.NoError(t, err)
			defer d.Close()
			requireAllHeld(t, d)
			l := &load{d: d, callers: 12}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { defer close(ended); l.run(ctx, 12) }()
			time.Sleep(300 * time.Millisecond)

			d.Platform.SetFaults(standinplatform.Faults{Down: true})
			restart := func() *Instance {
				d.Instances[1].Kill()
				<-d.Instances[1].done
				require.NoError(t, d.RestartInstance(1, d.Instances[0].PeerAddress))
				eventually(t, d.Instances[1].Ready)
				return d.Instances[1]
			}
			in := restart()
			requireServes(t, in, 40)
			require.False(t, in.Slots.NoReleasesPending(), "it cannot have joined")
			require.Zero(t, in.Slots.Counts()["target"].Held)
			a, err := caller.Call{APIKey: APIKey, Entry: ServiceName, Method: http.MethodGet, Path: "/stalls"}.Do(t.Context(), in.Address())
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, a.Status, a.Body)
			requireWithinSlots(t, d)
			if c.again {
				in.Kill()
				<-in.done
			}
			if c.back {
				in = restart()
				requireServes(t, in, 40)
				requireWithinSlots(t, d)
			}

			d.Platform.SetFaults(standinplatform.Faults{})
			if !in.ended() {
				eventually(t, in.Slots.NoReleasesPending)
				requireServes(t, in, 40)
			}
			requireAllHeld(t, d)
			cancel()
			<-ended
			requireNoneLent(t, d)
			requireWithinSlots(t, d)
			t.Logf("%d answers under load, %d failed", l.done.Load(), l.failed.Load())
		})
	}
}

// Guards against an instance restarted in an outage that goes on to start work when it is also cut
// off from all members, which could no longer fence it.
func TestRestartedInOutageCutOff(t *testing.T) {
	d, err := Start(t.Context(), slotPlan(3, false))
	require.NoError(t, err)
	defer d.Close()
	d.Platform.SetFaults(standinplatform.Faults{Down: true})
	d.Instances[1].Kill()
	<-d.Instances[1].done
	require.NoError(t, d.RestartInstance(1, d.Instances[0].PeerAddress))
	in := d.Instances[1]
	eventually(t, in.Ready)
	requireServes(t, in, 4)
	d.Disconnect(in, d.Instances[0])
	d.Disconnect(in, d.Instances[2])
	eventually(t, func() bool { return !in.Ready() })
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
	eventually(t, in.Ready)
	requireServes(t, in, 4)
}
