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

// callLimits returns limits that are short enough for tests. Only times and the number of shards differ from the defaults.
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

// startCalls starts a deployment with services and short limits, which configure may change.
func startCalls(t *testing.T, configure func(*Config)) *Deployment {
	cfg := Config{Instances: 3, Services: 3, EngineTemplate: DefaultEngine(), Limits: callLimits(), Events: io.Discard}
	if configure != nil {
		configure(&cfg)
	}
	d, err := Start(t.Context(), cfg)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	return d
}

func bookingCall(i int) caller.Call {
	return caller.Call{
		APIKey: APIKey, Entry: ServiceName, Method: http.MethodPost, Path: "/stalls", Body: fmt.Sprintf(`{"stall":%d}`, i),
		IdempotencyKey: fmt.Sprintf("booking-%d", i), Deadline: 3 * time.Second, Client: &http.Client{},
	}
}

// runCount returns how often a call with this content ran, summed over all targets.
func (d *Deployment) runCount(c caller.Call) int {
	runs := 0
	for _, s := range d.Services {
		runs += s.RunCounts()[service.ContentHash(c.Method, c.Path, c.Body)]
	}
	return runs
}

// callerOutcomes holds the responses to all callers of one key: the bodies of answers, the number of not_run
// refusals, and the number of other failures by code.
type callerOutcomes struct {
	bodies map[string]bool
	notRun int
	other  map[string]int
}

const maxCallAttempts = 6

// callUntilFinal sends one call to random instances until it has a response or a refusal that rules out a retry.
func (o *callerOutcomes) callUntilFinal(ctx context.Context, d *Deployment, c caller.Call, rng *rand.Rand, mu *sync.Mutex) {
	for range maxCallAttempts {
		mu.Lock()
		address := d.Instances[rng.IntN(len(d.Instances))].Address()
		mu.Unlock()
		response, err := c.Do(ctx, address)
		mu.Lock()
		switch {
		case err != nil:
			o.other["connection"]++
		case response.Error == nil:
			o.bodies[response.Body] = true
		case response.Error.Outcome == "not_run":
			o.notRun++
		default:
			o.other[response.Error.Code]++
		}
		mu.Unlock()
		if err == nil && (response.Error == nil || !response.Error.Retry) {
			return
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// callFault is one fault that occurs while calls are made.
type callFault struct {
	name string
	// configure changes the deployment; inject causes the fault while calls are made.
	configure func(*Config)
	inject    func(d *Deployment, rng *rand.Rand)
	// minServed is the minimum share of keys for which some caller must get an answer.
	minServed float64
}

// serviceFault sets the faults of one random service after a random delay.
func serviceFault(f service.Faults) func(*Deployment, *rand.Rand) {
	return func(d *Deployment, rng *rand.Rand) {
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
		d.Services[rng.IntN(len(d.Services))].SetFaults(f)
	}
}

// platformFault sets the faults of the key-value service for a time, after a random delay.
func platformFault(f standinplatform.Faults, duration time.Duration) func(*Deployment, *rand.Rand) {
	return func(d *Deployment, rng *rand.Rand) {
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
		d.Platform.SetFaults(f)
		time.Sleep(duration)
		d.Platform.SetFaults(standinplatform.Faults{})
	}
}

var slowService = service.Faults{Delay: catalogue.Duration(30 * time.Millisecond)}

var callFaults = []callFault{
	{name: "none", minServed: 1},
	{name: "target_dies_before_running", inject: serviceFault(service.Faults{DieBeforeRun: true}), minServed: 0.5},
	{name: "target_dies_after_running", inject: serviceFault(service.Faults{DieAfterRun: true}), minServed: 0.5},
	{name: "target_loses_answers", inject: serviceFault(service.Faults{LoseResponses: 5}), minServed: 0.5},
	{name: "target_refuses", inject: serviceFault(service.Faults{Refuse: true}), minServed: 1},
	{name: "instance_killed", inject: func(d *Deployment, rng *rand.Rand) {
		for _, s := range d.Services {
			s.SetFaults(slowService)
		}
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
		d.Instances[rng.IntN(len(d.Instances))].Kill()
	}, minServed: 0.3},
	{name: "instances_partitioned", inject: func(d *Deployment, rng *rand.Rand) {
		in := d.Instances[rng.IntN(len(d.Instances))]
		time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
		in.SetPartitioned(true)
		time.Sleep(300 * time.Millisecond)
		in.SetPartitioned(false)
	}, minServed: 0.5},
	{name: "platform_down", inject: platformFault(standinplatform.Faults{Down: true}, 900*time.Millisecond)},
	{name: "platform_silent", inject: platformFault(standinplatform.Faults{Silent: true}, 900*time.Millisecond)},
	{name: "platform_slow", inject: platformFault(standinplatform.Faults{DelayWrites: catalogue.Duration(300 * time.Millisecond)}, 700*time.Millisecond)},
	{name: "write_answers_lost", inject: platformFault(standinplatform.Faults{LoseResponses: 20}, time.Second), minServed: 0.9},
	{name: "writes_dropped", inject: platformFault(standinplatform.Faults{DropWrites: 20}, time.Second), minServed: 0.5},
	{name: "writes_late", inject: platformFault(standinplatform.Faults{LateWrites: 20, LateBy: catalogue.Duration(60 * time.Millisecond)}, time.Second), minServed: 0.5},
}

const (
	callKeys      = 24
	callersPerKey = 3
	callSeeds     = 3
)

// TestCallsRunOnce guards against a booking that runs twice, and against a not_run refusal of a booking
// that ran, when several callers use the same key concurrently under each fault.
func TestCallsRunOnce(t *testing.T) {
	for _, f := range callFaults {
		for seed := range uint64(callSeeds) {
			t.Run(fmt.Sprintf("%s/%d", f.name, seed), func(t *testing.T) {
				t.Parallel()
				d := startCalls(t, f.configure)
				checkCallsUnderFault(t, d, f, rand.New(rand.NewPCG(seed, 1)))
			})
		}
	}
}

// checkCallsUnderFault sends each call from several callers while a fault occurs, and checks that each ran at
// most once, that its callers received the same answer, and that not_run was true.
func checkCallsUnderFault(t *testing.T, d *Deployment, f callFault, rng *rand.Rand) {
	var mu sync.Mutex
	var goroutines sync.WaitGroup
	outcomes := make([]callerOutcomes, callKeys)
	faultRNG := rand.New(rand.NewPCG(rng.Uint64(), 2))
	if f.inject != nil {
		goroutines.Go(func() { f.inject(d, faultRNG) })
	}
	for i := range outcomes {
		outcomes[i] = callerOutcomes{bodies: map[string]bool{}, other: map[string]int{}}
		mu.Lock()
		delay := time.Duration(rng.IntN(80)) * time.Millisecond
		mu.Unlock()
		for range callersPerKey {
			goroutines.Go(func() {
				time.Sleep(delay)
				outcomes[i].callUntilFinal(t.Context(), d, bookingCall(i), rng, &mu)
			})
		}
	}
	goroutines.Wait()
	served := 0
	for i, o := range outcomes {
		runs := d.runCount(bookingCall(i))
		require.LessOrEqual(t, runs, 1, "key %d ran more than once: %+v", i, o)
		require.LessOrEqual(t, len(o.bodies), 1, "key %d got different answers: %+v", i, o)
		if len(o.bodies) > 0 {
			served++
			require.Equal(t, 1, runs, "key %d was answered without a run: %+v", i, o)
		}
		if len(o.bodies) == 0 && len(o.other) == 0 {
			require.Zero(t, runs, "all callers of key %d received not_run, but it ran: %+v", i, o)
		}
	}
	require.GreaterOrEqual(t, float64(served)/callKeys, f.minServed, "too few calls were served: %+v", outcomes)
}
