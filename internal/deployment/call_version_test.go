package deployment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/caller"
	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/internal/standin/service"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/version"
)

const (
	bookingCallers = 6
	versionTimeout = 60 * time.Second
)

// bookUntil sends bookings, each from two concurrent callers, and status calls between them until ctx ends.
func bookUntil(ctx context.Context, d *Deployment, callerIndex int, outcomes map[string]*callerOutcomes, mu *sync.Mutex) {
	for i := 0; ctx.Err() == nil; i++ {
		c := bookingCall(callerIndex*1_000_000 + i)
		o := &callerOutcomes{bodies: map[string]bool{}, other: map[string]int{}}
		mu.Lock()
		outcomes[c.Body] = o
		mu.Unlock()
		var callers sync.WaitGroup
		for range 2 {
			callers.Go(func() {
				o.callUntilFinal(context.WithoutCancel(ctx), d, c, rand.New(rand.NewPCG(uint64(callerIndex), uint64(i))), mu)
			})
		}
		callers.Wait()
		statusCall := caller.Call{APIKey: APIKey, Entry: ServiceName, Method: http.MethodGet, Path: fmt.Sprintf("/stalls/%d", i), Client: c.Client}
		_, _ = statusCall.Do(ctx, d.Instances[i%len(d.Instances)].Address())
		c.Client.CloseIdleConnections()
		time.Sleep(40 * time.Millisecond)
	}
}

// TestServiceChangesVersion guards against services that cannot change their version, against bad
// versions that are not rolled back, and against bookings that run twice while traffic moves.
func TestServiceChangesVersion(t *testing.T) {
	for name, c := range map[string]struct {
		fault     service.Faults
		wantState version.State
	}{
		"good":          {service.Faults{}, version.Done},
		"failing":       {service.Faults{Fail: true}, version.RolledBack},
		"losing answer": {service.Faults{LoseResponses: 1 << 20}, version.RolledBack},
		"slow":          {service.Faults{Delay: catalogue.Duration(150 * time.Millisecond)}, version.RolledBack},
	} {
		t.Run(name, func(t *testing.T) {
			limits := version.DefaultLimits()
			limits.MinDwell = 200 * time.Millisecond
			d := startCalls(t, func(cfg *Config) { cfg.Services, cfg.VersionLimits = 4, limits })
			for _, s := range d.Services[2:] {
				s.SetFaults(c.fault)
			}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			var mu sync.Mutex
			var group sync.WaitGroup
			outcomes := map[string]*callerOutcomes{}
			for n := range bookingCallers {
				group.Go(func() { bookUntil(ctx, d, n, outcomes, &mu) })
			}
			require.NoError(t, d.ChangeEntryVersion(ServiceName, time.Now().Add(20*time.Second), 0.3, 2))
			record := func(i int) version.Record {
				views, _ := server.VersionChanges.Get(d.Instances[i].Board)
				return views[ServiceName].Record
			}
			require.Eventually(t, func() bool {
				return record(0).State == c.wantState && record(1).State == c.wantState && record(2).State == c.wantState
			}, versionTimeout, 10*time.Millisecond)
			rec := record(0)
			t.Logf("%s: %s with %d of %d results", rec.State, rec.Why, rec.New.Requests, rec.New.Requests+rec.Old.Requests)
			require.Positive(t, rec.New.Requests)
			require.True(t, rec.StateStart.Before(rec.Deadline), "the change was decided only at its deadline: %+v", rec)
			stop()
			group.Wait()
			requireBookedOnce(t, d, outcomes)
		})
	}
}

// requireBookedOnce checks that no booking ran twice and that the callers received outcomes that match its runs.
func requireBookedOnce(t *testing.T, d *Deployment, outcomes map[string]*callerOutcomes) {
	t.Helper()
	for body, o := range outcomes {
		call := bookingCall(0)
		call.Body = body
		runs := d.runCount(call)
		require.LessOrEqual(t, runs, 1, "%s ran more than once: %+v", body, o)
		if len(o.bodies) == 0 && len(o.other) == 0 {
			require.Zero(t, runs, "callers of %s received not_run, but it ran", body)
		}
		require.LessOrEqual(t, len(o.bodies), 1, "%s got different answers: %+v", body, o)
		if len(o.bodies) > 0 {
			require.Equal(t, 1, runs, "%s was answered without a run", body)
		}
	}
}
