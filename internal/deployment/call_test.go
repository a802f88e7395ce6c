package deployment

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/caller"
	"bambooferry.example/bambooferry/internal/server"
	standinplatform "bambooferry.example/bambooferry/internal/standin/platform"
	"bambooferry.example/bambooferry/internal/standin/service"
	"bambooferry.example/bambooferry/pkg/catalogue"
)

// callLimits are short enough for tests; only waits differ from the defaults.
func callLimits() server.Limits {
	l := server.DefaultLimits()
	l.Calls.Shards = 4
	l.Calls.WriteSpacing = 5 * time.Millisecond
	l.Calls.RecordDelay = 20 * time.Millisecond
	l.Calls.ClaimTimeout = 500 * time.Millisecond
	l.Calls.WriteTimeout = 200 * time.Millisecond
	l.Calls.UnreachableWait = 300 * time.Millisecond
	return l
}

func startCalls(t *testing.T, edit func(*Config)) *Deployment {
	p := Config{Instances: 3, Services: 3, EngineTemplate: DefaultEngine(), Limits: callLimits(), Events: io.Discard}
	if edit != nil {
		edit(&p)
	}
	d, err := Start(t.Context(), p)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	return d
}

func booking(i int) caller.Call {
	return caller.Call{
		APIKey: APIKey, Entry: ServiceName, Method: http.MethodPost, Path: "/stalls", Body: fmt.Sprintf(`{"stall":%d}`, i),
		IdempotencyKey: fmt.Sprintf("booking-%d", i), Deadline: 3 * time.Second, Client: &http.Client{},
	}
}

// runsOf counts how often a call's content ran at all targets together.
func (d *Deployment) runsOf(c caller.Call) int {
	n := 0
	for _, s := range d.Services {
		n += s.RunCounts()[service.ContentHash(c.Method, c.Path, c.Body)]
	}
	return n
}

// said is what all callers of one key were told.
type said struct {
	bodies map[string]bool
	notRun int
	other  map[string]int
}

const callTries = 6

// repeat sends one call until it has its answer or an outcome that is final, at instances by chance.
func (s *said) repeat(ctx context.Context, d *Deployment, c caller.Call, rng *rand.Rand, mu *sync.Mutex) {
	for range callTries {
		mu.Lock()
		at := d.Instances[rng.IntN(len(d.Instances))].Address()
		mu.Unlock()
		a, err := c.Do(ctx, at)
		mu.Lock()
		switch {
		case err != nil:
			s.other["connection"]++
		case a.Error == nil:
			s.bodies[a.Body] = true
		case a.Error.Outcome == "not_run":
			s.notRun++
		default:
			s.other[a.Error.Code]++
		}
		mu.Unlock()
		if err == nil && (a.Error == nil || !a.Error.Retry) {
			return
		}
		time.Sleep(30 * time.Millisecond)
	}
}

type callFault struct {
	name string
	// plan changes the deployment, fault what happens while calls are made.
	plan  func(*Config)
	fault func(d *Deployment, rng *rand.Rand)
	// served is the least share of keys that must get their answer.
	served float64
}

func services(f service.Faults) func(*Deployment, *rand.Rand) {
	return func(d *Deployment, rng *rand.Rand) {
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
		d.Services[rng.IntN(len(d.Services))].SetFaults(f)
	}
}

func platformFaults(f standinplatform.Faults, last time.Duration) func(*Deployment, *rand.Rand) {
	return func(d *Deployment, rng *rand.Rand) {
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
		d.Platform.SetFaults(f)
		time.Sleep(last)
		d.Platform.SetFaults(standinplatform.Faults{})
	}
}

var slowService = service.Faults{Delay: catalogue.Duration(30 * time.Millisecond)}

var callFaults = []callFault{
	{name: "none", served: 1},
	{name: "target_dies_before_running", fault: services(service.Faults{DieBeforeRun: true}), served: 0.5},
	{name: "target_dies_after_running", fault: services(service.Faults{DieAfterRun: true}), served: 0.5},
	{name: "target_loses_answers", fault: services(service.Faults{LoseResponses: 5}), served: 0.5},
	{name: "target_refuses", fault: services(service.Faults{Refuse: true}), served: 1},
	{name: "instance_killed", fault: func(d *Deployment, rng *rand.Rand) {
		for _, s := range d.Services {
			s.SetFaults(slowService)
		}
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
		d.Instances[rng.IntN(len(d.Instances))].Kill()
	}, served: 0.3},
	{name: "instances_partitioned", fault: func(d *Deployment, rng *rand.Rand) {
		in := d.Instances[rng.IntN(len(d.Instances))]
		time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
		in.SetPartitioned(true)
		time.Sleep(300 * time.Millisecond)
		in.SetPartitioned(false)
	}, served: 0.5},
	{name: "platform_down", fault: platformFaults(standinplatform.Faults{Down: true}, 900*time.Millisecond)},
	{name: "platform_silent", fault: platformFaults(standinplatform.Faults{Silent: true}, 900*time.Millisecond)},
	{name: "platform_slow", fault: platformFaults(standinplatform.Faults{DelayWrites: catalogue.Duration(300 * time.Millisecond)}, 700*time.Millisecond)},
	{name: "write_answers_lost", fault: platformFaults(standinplatform.Faults{LoseResponses: 20}, time.Second), served: 0.9},
	{name: "writes_dropped", fault: platformFaults(standinplatform.Faults{DropWrites: 20}, time.Second), served: 0.5},
	{name: "writes_late", fault: platformFaults(standinplatform.Faults{LateWrites: 20, LateBy: catalogue.Duration(60 * time.Millisecond)}, time.Second), served: 0.5},
}

const (
	callKeys  = 24
	callTwins = 3
	callSeeds = 3
)

// TestCallsRunOnce guards against a second run of a booking and against a refusal that says
// not_run of a booking that ran, when several callers use a key at once under each fault.
func TestCallsRunOnce(t *testing.T) {
	for _, f := range callFaults {
		for seed := range uint64(callSeeds) {
			t.Run(fmt.Sprintf("%s/%d", f.name, seed), func(t *testing.T) {
				t.Parallel()
				d := startCalls(t, f.plan)
				callsUnder(t, d, f, rand.New(rand.NewPCG(seed, 1)))
			})
		}
	}
}

func callsUnder(t *testing.T, d *Deployment, f callFault, rng *rand.Rand) {
	var mu sync.Mutex
	var group sync.WaitGroup
	all := make([]said, callKeys)
	faults := rand.New(rand.NewPCG(rng.Uint64(), 2))
	if f.fault != nil {
		group.Go(func() { f.fault(d, faults) })
	}
	for i := range all {
		all[i] = said{bodies: map[string]bool{}, other: map[string]int{}}
		mu.Lock()
		wait := time.Duration(rng.IntN(80)) * time.Millisecond
		mu.Unlock()
		for range callTwins {
			group.Go(func() {
				time.Sleep(wait)
				all[i].repeat(t.Context(), d, booking(i), rng, &mu)
			})
		}
	}
	group.Wait()
	served := 0
	for i, s := range all {
		runs := d.runsOf(booking(i))
		require.LessOrEqual(t, runs, 1, "key %d ran more than once: %+v", i, s)
		require.LessOrEqual(t, len(s.bodies), 1, "key %d got different answers: %+v", i, s)
		if len(s.bodies) > 0 {
			served++
			require.Equal(t, 1, runs, "key %d was answered without a run: %+v", i, s)
		}
		if len(s.bodies) == 0 && len(s.other) == 0 {
			require.Zero(t, runs, "all callers of key %d were told not_run, but it ran: %+v", i, s)
		}
	}
	require.GreaterOrEqual(t, float64(served)/callKeys, f.served, "too few calls were served: %+v", all)
}
