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
	// maxBookingCalls limits the calls of a case, and maxCallsPerCaller those of one caller.
	maxBookingCalls   = 1000
	maxCallsPerCaller = 100
	// bookingWriteDelay is the time that a write takes at the stand-in key-value service.
	bookingWriteDelay = 3 * time.Millisecond
	// resultWriteWait is the time after which the last results have been written.
	resultWriteWait = time.Second
	// perShardBudgets is the variant in which each shard has its own write budget.
	perShardBudgets   = "budget per shard"
	outageCalls       = 100
	outageCallers     = 16
	outageMaxAttempts = 3
	outageDeadline    = 5 * time.Second
)

// measureBooking measures the cost of claims, and how many calls are served without the key-value service.
func measureBooking(ctx context.Context, _ uint64) ([]Row, error) {
	var rows []Row
	for _, callers := range []int{1, 8, 32, 128} {
		for _, variant := range []string{Ours, perShardBudgets, Baseline} {
			variantRows, err := measureClaimCosts(ctx, callers, variant)
			if err != nil {
				return rows, err
			}
			rows = append(rows, variantRows...)
		}
	}
	for _, variant := range []string{Ours, Baseline} {
		variantRows, err := measureOutage(ctx, variant)
		if err != nil {
			return rows, err
		}
		rows = append(rows, variantRows...)
	}
	return rows, nil
}

// measureClaimCosts compares calls with and without claims. The baseline writes each claim and result separately.
//
// Writes per second are summed over all instances.
func measureClaimCosts(ctx context.Context, callers int, variant string) ([]Row, error) {
	limits := server.DefaultLimits()
	limits.Calls.PerShardBudgets = variant == perShardBudgets
	if variant == Baseline {
		limits.Calls.MaxGroup, limits.Calls.WriteSpacing, limits.Calls.RecordDelay = 1, 0, 0
	}
	d, err := deployment.Start(ctx, deployment.Config{Instances: 3, Services: 6, EngineTemplate: deployment.DefaultEngine(), Limits: limits})
	if err != nil {
		return nil, err
	}
	defer d.Close()
	d.Platform.SetFaults(platform.Faults{DelayWrites: catalogue.Duration(bookingWriteDelay)})
	calls := min(maxBookingCalls, maxCallsPerCaller*callers)
	unclaimedLatencies := sendCalls(ctx, d, calls, callers, false)
	swapsBefore := d.Platform.CallCounts()["swap"]
	startedAt := time.Now()
	claimedLatencies := sendCalls(ctx, d, calls, callers, true)
	elapsed := time.Since(startedAt)
	swapsDuring := d.Platform.CallCounts()["swap"] - swapsBefore
	time.Sleep(resultWriteWait)
	writes := d.Platform.CallCounts()["swap"] - swapsBefore
	if len(unclaimedLatencies) != calls || len(claimedLatencies) != calls {
		return nil, errors.Newf("%d of %d calls were served", len(claimedLatencies), calls)
	}
	addedLatency := func(q float64) []float64 {
		i := int(q * float64(calls-1))
		return []float64{float64((claimedLatencies[i] - unclaimedLatencies[i]).Microseconds()) / 1000}
	}
	caseName := fmt.Sprintf("%d callers", callers)
	return []Row{
		row(caseName, variant, "writes per 1,000 calls", "writes", []float64{float64(writes) * 1000 / float64(calls)}),
		row(caseName, variant, "writes a second", "writes/s", []float64{float64(swapsDuring) / elapsed.Seconds()}),
		row(caseName, variant, "latency added at p50", "ms", addedLatency(0.5)),
		row(caseName, variant, "latency added at p95", "ms", addedLatency(0.95)),
		row(caseName, variant, "latency added at p99", "ms", addedLatency(0.99)),
	}, nil
}

// bookingCall returns the i-th booking, without an idempotency key.
func bookingCall(i int) caller.Call {
	return caller.Call{APIKey: deployment.APIKey, Entry: deployment.ServiceName, Method: http.MethodPost, Path: "/stalls", Body: fmt.Sprintf(`{"stall":%d}`, i)}
}

// sendCalls sends the calls from several callers and returns the latencies of those that were served, sorted.
func sendCalls(ctx context.Context, d *deployment.Deployment, calls, callers int, withKeys bool) []time.Duration {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var goroutines sync.WaitGroup
	var latencies []time.Duration
	for first := range callers {
		goroutines.Go(func() {
			for i := first; i < calls; i += callers {
				c := bookingCall(i)
				c.Client = client
				if withKeys {
					c.IdempotencyKey = fmt.Sprintf("booking-%d", i)
				}
				startedAt := time.Now()
				response, err := c.Do(ctx, d.Instances[i%len(d.Instances)].Address())
				elapsed := time.Since(startedAt)
				mu.Lock()
				if err == nil && response.Error == nil {
					latencies = append(latencies, elapsed)
				}
				mu.Unlock()
			}
		})
	}
	goroutines.Wait()
	slices.Sort(latencies)
	return latencies
}

// measureOutage measures calls made while the key-value service is down. The baseline's callers use no tickets.
func measureOutage(ctx context.Context, variant string) ([]Row, error) {
	d, err := deployment.Start(ctx, deployment.Config{Instances: 9, Services: 3, EngineTemplate: deployment.DefaultEngine(), Limits: server.DefaultLimits()})
	if err != nil {
		return nil, err
	}
	defer d.Close()
	d.Platform.SetFaults(platform.Faults{Down: true})
	var mu sync.Mutex
	var goroutines sync.WaitGroup
	served, ranTwice := 0, 0
	for first := range outageCallers {
		goroutines.Go(func() {
			for i := first; i < outageCalls; i += outageCallers {
				ok := callDuringOutage(ctx, d, i, variant == Ours)
				mu.Lock()
				if ok {
					served++
				}
				mu.Unlock()
			}
		})
	}
	goroutines.Wait()
	for i := range outageCalls {
		c, runs := bookingCall(i), 0
		for _, s := range d.Services {
			runs += s.RunCounts()[service.ContentHash(c.Method, c.Path, c.Body)]
		}
		if runs > 1 {
			ranTwice++
		}
	}
	return []Row{
		row("service down", variant, "share served", "of calls", []float64{float64(served) / outageCalls}),
		row("service down", variant, "run twice", "calls", []float64{float64(ranTwice)}).withTarget("0", ranTwice == 0),
	}, nil
}

// callDuringOutage tries one call at several instances in turn, using the first ticket that it gets, and
// reports whether it was served.
func callDuringOutage(ctx context.Context, d *deployment.Deployment, i int, useTickets bool) bool {
	c := bookingCall(i)
	c.IdempotencyKey, c.Deadline = fmt.Sprintf("booking-%d", i), outageDeadline
	hasTicket := false
	for attempt := range outageMaxAttempts {
		response, err := c.Do(ctx, d.Instances[(i+attempt)%len(d.Instances)].Address())
		if err == nil && response.Error == nil {
			return true
		}
		if ticket := response.Header.Get(server.TicketHeader); useTickets && ticket != "" && !hasTicket {
			c.IdempotencyKey, hasTicket = ticket, true
		}
	}
	return false
}
