package measure

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/caller"
	"bambooferry.example/bambooferry/internal/deployment"
	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/internal/standin/platform"
	"bambooferry.example/bambooferry/internal/standin/service"
	"bambooferry.example/bambooferry/pkg/catalogue"
)

const (
	// bookingCalls bounds the calls of a case, and bookingCallsEach those of one caller.
	bookingCalls     = 1000
	bookingCallsEach = 100
	// bookingWrite is the time that a write takes at the stand-in key-value service.
	bookingWrite = 3 * time.Millisecond
	// bookingSettle is the time after which the last results are recorded.
	bookingSettle = time.Second
	// shardBudgets is the variant in which each shard has a budget of writes of its own.
	shardBudgets   = "budget per shard"
	outageCalls    = 100
	outageCallers  = 16
	outageTries    = 3
	outageDeadline = 5 * time.Second
)

// booking measures what claims cost, and how many calls are served without the key-value service.
func booking(ctx context.Context, _ uint64) ([]Row, error) {
	var rows []Row
	for _, callers := range []int{1, 8, 32, 128} {
		for _, variant := range []string{Ours, shardBudgets, Baseline} {
			got, err := claimCosts(ctx, callers, variant)
			if err != nil {
				return rows, err
			}
			rows = append(rows, got...)
		}
	}
	for _, variant := range []string{Ours, Baseline} {
		got, err := outage(ctx, variant)
		if err != nil {
			return rows, err
		}
		rows = append(rows, got...)
	}
	return rows, nil
}

// claimCosts compares calls with and without claims; the baseline writes each claim and result by itself.
//
// Writes a second count those of all instances together.
func claimCosts(ctx context.Context, callers int, variant string) ([]Row, error) {
	limits := server.DefaultLimits()
	limits.Calls.PerShardBudgets = variant == shardBudgets
	if variant == Baseline {
		limits.Calls.MaxGroup, limits.Calls.WriteSpacing, limits.Calls.RecordDelay = 1, 0, 0
	}
	d, err := deployment.Start(ctx, deployment.Config{Instances: 3, Services: 6, EngineTemplate: deployment.DefaultEngine(), Limits: limits})
	if err != nil {
		return nil, err
	}
	defer d.Close()
	d.Platform.SetFaults(platform.Faults{DelayWrites: catalogue.Duration(bookingWrite)})
	calls := min(bookingCalls, bookingCallsEach*callers)
	plain := volley(ctx, d, calls, callers, false)
	before := d.Platform.CallCounts()["swap"]
	begun := time.Now()
	claimed := volley(ctx, d, calls, callers, true)
	took := time.Since(begun)
	during := d.Platform.CallCounts()["swap"] - before
	time.Sleep(bookingSettle)
	writes := d.Platform.CallCounts()["swap"] - before
	if len(plain) != calls || len(claimed) != calls {
		return nil, errors.Newf("%d of %d calls were served", len(claimed), calls)
	}
	added := func(q float64) []float64 {
		i := int(q * float64(calls-1))
		return []float64{float64((claimed[i] - plain[i]).Microseconds()) / 1000}
	}
	kase := fmt.Sprintf("%d callers", callers)
	return []Row{
		row(kase, variant, "writes per 1,000 calls", "writes", []float64{float64(writes) * 1000 / float64(calls)}),
		row(kase, variant, "writes a second", "writes/s", []float64{float64(during) / took.Seconds()}),
		row(kase, variant, "latency added at p50", "ms", added(0.5)),
		row(kase, variant, "latency added at p95", "ms", added(0.95)),
		row(kase, variant, "latency added at p99", "ms", added(0.99)),
	}, nil
}

func bookingCall(i int) caller.Call {
	return caller.Call{APIKey: deployment.APIKey, Entry: deployment.ServiceName, Method: http.MethodPost, Path: "/stalls", Body: fmt.Sprintf(`{"stall":%d}`, i)}
}

// volley sends the calls from several callers and returns the latencies of those served, in order.
func volley(ctx context.Context, d *deployment.Deployment, calls, callers int, named bool) []time.Duration {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var group sync.WaitGroup
	var all []time.Duration
	for first := range callers {
		group.Go(func() {
			for i := first; i < calls; i += callers {
				c := bookingCall(i)
				c.Client = client
				if named {
					c.IdempotencyKey = fmt.Sprintf("booking-%d", i)
				}
				begun := time.Now()
				a, err := c.Do(ctx, d.Instances[i%len(d.Instances)].Address())
				took := time.Since(begun)
				mu.Lock()
				if err == nil && a.Error == nil {
					all = append(all, took)
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	slices.Sort(all)
	return all
}

// outage measures calls made while the key-value service is down; the baseline's callers use no tickets.
func outage(ctx context.Context, variant string) ([]Row, error) {
	d, err := deployment.Start(ctx, deployment.Config{Instances: 9, Services: 3, EngineTemplate: deployment.DefaultEngine(), Limits: server.DefaultLimits()})
	if err != nil {
		return nil, err
	}
	defer d.Close()
	d.Platform.SetFaults(platform.Faults{Down: true})
	var mu sync.Mutex
	var group sync.WaitGroup
	served, twice := 0, 0
	for first := range outageCallers {
		group.Go(func() {
			for i := first; i < outageCalls; i += outageCallers {
				ok := bookInOutage(ctx, d, i, variant == Ours)
				mu.Lock()
				if ok {
					served++
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	for i := range outageCalls {
		c, runs := bookingCall(i), 0
		for _, s := range d.Services {
			runs += s.RunCounts()[service.ContentHash(c.Method, c.Path, c.Body)]
		}
		if runs > 1 {
			twice++
		}
	}
	return []Row{
		row("service down", variant, "share served", "of calls", []float64{float64(served) / outageCalls}),
		row("service down", variant, "run twice", "calls", []float64{float64(twice)}).bound("0", twice == 0),
	}, nil
}

// bookInOutage tries one call at several instances in turn, and uses the first ticket it gets.
func bookInOutage(ctx context.Context, d *deployment.Deployment, i int, tickets bool) bool {
	c := bookingCall(i)
	c.IdempotencyKey, c.Deadline = fmt.Sprintf("booking-%d", i), outageDeadline
	held := false
	for try := range outageTries {
		a, err := c.Do(ctx, d.Instances[(i+try)%len(d.Instances)].Address())
		if err == nil && a.Error == nil {
			return true
		}
		if t := a.Header.Get(server.TicketHeader); tickets && t != "" && !held {
			c.IdempotencyKey, held = t, true
		}
	}
	return false
}
