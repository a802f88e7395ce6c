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
	versionCallers = 6
	versionWait    = 60 * time.Second
)

// bookUntil sends bookings, each from two callers at once, until ctx ends, and status questions between them.
func bookUntil(ctx context.Context, d *Deployment, n int, all map[string]*said, mu *sync.Mutex) {
	for i := 0; ctx.Err() == nil; i++ {
		c := booking(n*1_000_000 + i)
		s := &said{bodies: map[string]bool{}, other: map[string]int{}}
		mu.Lock()
		all[c.Body] = s
		mu.Unlock()
		var twins sync.WaitGroup
		for range 2 {
			twins.Go(func() { s.repeat(context.WithoutCancel(ctx), d, c, rand.New(rand.NewPCG(uint64(n), uint64(i))), mu) })
		}
		twins.Wait()
		q := caller.Call{APIKey: APIKey, Entry: ServiceName, Method: http.MethodGet, Path: fmt.Sprintf("/stalls/%d", i), Client: c.Client}
		_, _ = q.Do(ctx, d.Instances[i%len(d.Instances)].Address())
		c.Client.CloseIdleConnections()
		time.Sleep(40 * time.Millisecond)
	}
}

// TestServiceChangesVersion guards against services that cannot change version, bad
// versions of them that stay, and bookings that run twice while traffic moves.
func TestServiceChangesVersion(t *testing.T) {
	for name, c := range map[string]struct {
		fault service.Faults
		want  version.State
	}{
		"good":          {service.Faults{}, version.Done},
		"failing":       {service.Faults{Fail: true}, version.RolledBack},
		"losing answer": {service.Faults{LoseResponses: 1 << 20}, version.RolledBack},
		"slow":          {service.Faults{Delay: catalogue.Duration(150 * time.Millisecond)}, version.RolledBack},
	} {
		t.Run(name, func(t *testing.T) {
			limits := version.DefaultLimits()
			limits.MinDwell = 200 * time.Millisecond
			d := startCalls(t, func(p *Config) { p.Services, p.VersionLimits = 4, limits })
			for _, s := range d.Services[2:] {
				s.SetFaults(c.fault)
			}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			var mu sync.Mutex
			var group sync.WaitGroup
			all := map[string]*said{}
			for n := range versionCallers {
				group.Go(func() { bookUntil(ctx, d, n, all, &mu) })
			}
			require.NoError(t, d.ChangeEntryVersion(ServiceName, time.Now().Add(20*time.Second), 0.3, 2))
			record := func(i int) version.Record {
				views, _ := server.VersionChanges.Get(d.Instances[i].Board)
				return views[ServiceName].Record
			}
			require.Eventually(t, func() bool {
				return record(0).State == c.want && record(1).State == c.want && record(2).State == c.want
			}, versionWait, 10*time.Millisecond)
			r := record(0)
			t.Logf("%s: %s with %d of %d results", r.State, r.Why, r.New.Requests, r.New.Requests+r.Old.Requests)
			require.Positive(t, r.New.Requests)
			require.True(t, r.StateStart.Before(r.Deadline), "decided only by the deadline: %+v", r)
			stop()
			group.Wait()
			onceEach(t, d, all)
		})
	}
}

// onceEach requires that no booking ran twice, and that its callers were told the truth.
func onceEach(t *testing.T, d *Deployment, all map[string]*said) {
	t.Helper()
	for body, s := range all {
		c := booking(0)
		c.Body = body
		runs := d.runsOf(c)
		require.LessOrEqual(t, runs, 1, "%s ran more than once: %+v", body, s)
		if len(s.bodies) == 0 && len(s.other) == 0 {
			require.Zero(t, runs, "callers of %s were told not_run, but it ran", body)
		}
		require.LessOrEqual(t, len(s.bodies), 1, "%s got different answers: %+v", body, s)
		if len(s.bodies) > 0 {
			require.Equal(t, 1, runs, "%s was answered without a run", body)
		}
	}
}
