package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/caller"
	"bambooferry.example/bambooferry/internal/deployment"
	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/internal/standin/service"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/workspace"
)

const (
	overloadEngines       = 4
	overloadSlots         = 4
	overloadFirstToken    = 40 * time.Millisecond
	overloadTokenInterval = 5 * time.Millisecond
	overloadTokens        = 21
	// overloadAnswerTime is the time that one answer takes at its engine.
	overloadAnswerTime = overloadFirstToken + (overloadTokens-1)*overloadTokenInterval
	overloadDeadline   = time.Second
	// saturatedCallers keeps about as many requests waiting as there are slots.
	saturatedCallers = 2 * overloadEngines * overloadSlots
	overloadWarmUp   = 1500 * time.Millisecond
	overloadLength   = 4 * time.Second
	// minUsefulShare is the share of the highest useful throughput that must remain at three times the capacity.
	minUsefulShare = 0.95
	// baselineSlots is so large that requests wait only at the engines.
	baselineSlots = 1000

	mixedLength             = 3 * time.Second
	mixedBatchCallers       = 48
	mixedInteractiveCallers = 4
	mixedInProgress         = 8
	mixedServiceDelay       = 100 * time.Millisecond
)

// measureOverload measures useful throughput above capacity, and interactive latency while batch work waits.
func measureOverload(ctx context.Context, seed uint64) ([]Row, error) {
	loads := []float64{1, 2, 3}
	results := map[string][]overloadResult{}
	saturated, err := runSaturated(ctx, seed)
	if err != nil {
		return nil, err
	}
	best := saturated.answersPerSecond
	for _, variant := range []string{Ours, Baseline} {
		for _, load := range loads {
			r, err := runOverload(ctx, seed, load, variant)
			if err != nil {
				return nil, err
			}
			results[variant] = append(results[variant], r)
			best = max(best, r.answersPerSecond)
		}
	}
	rows := saturated.rows("callers that wait for each answer", Ours, best)
	for i, load := range loads {
		for _, variant := range []string{Ours, Baseline} {
			r := results[variant][i]
			variantRows := r.rows(fmt.Sprintf("%.0f times the capacity", load), variant, best)
			if variant == Ours && load == 3 {
				variantRows[0] = variantRows[0].withTarget(fmt.Sprintf("above %.2f", minUsefulShare), r.answersPerSecond/best > minUsefulShare)
				// The speed of the machine differs between runs; this row is relative to the speed in its own run.
				i := slices.IndexFunc(variantRows, func(r Row) bool { return r.Metric == usefulSlotTime })
				variantRows[i] = variantRows[i].withTarget(fmt.Sprintf("above %.2f", minUsefulShare), variantRows[i].Median > minUsefulShare)
			}
			rows = append(rows, variantRows...)
		}
	}
	recovery, err := measureRecovery(ctx, seed)
	if err != nil {
		return rows, err
	}
	rows = append(rows, recovery...)
	for _, variant := range []string{Ours, Baseline} {
		firstTokens, err := runMixed(ctx, variant)
		if err != nil {
			return rows, err
		}
		caseName := "interactive while batch waits"
		rows = append(rows, row(caseName, variant, "time to the first token", "ms", firstTokens),
			row(caseName, variant, "95th percentile of the same", "ms", []float64{quantile(firstTokens, 0.95)}))
	}
	return rows, nil
}

// usefulSlotTime names the metric for the share of the slots' time spent on answers within the deadline.
const usefulSlotTime = "useful part of the slots' time"

// overloadResult holds the useful throughput of one run in its window, and how the remaining capacity was lost.
type overloadResult struct {
	// answersPerSecond counts answers within the deadline.
	answersPerSecond float64
	// slotsInUse is the share of the engines' slots in use. stretch is the time of one answer at its engine
	// as a multiple of the configured time; above 1 the machine could not keep up.
	slotsInUse, stretch float64
	// lateShare is the share of answers that were complete only after the deadline, by the caller's clock.
	// cutOffShare is the share that the instance ended at the deadline.
	lateShare, cutOffShare float64
	// wastedTokens is the share of the engines' tokens that were part of no answer within the deadline.
	wastedTokens float64
	// slotIdleTime is the mean time between a target's slot becoming free and its next use while requests waited.
	slotIdleTime float64
	// startedLate, targetStopped and ranLong are answers that ended after the deadline, by cause, as a share of all
	// answers that ended.
	startedLate, targetStopped, ranLong float64
}

func (r overloadResult) rows(caseName, variant string, best float64) []Row {
	singleRow := func(metric, unit string, v float64) Row { return row(caseName, variant, metric, unit, []float64{v}) }
	rows := []Row{
		singleRow("answers within the deadline, of the best", "share", r.answersPerSecond/best),
		singleRow("answers within the deadline", "1/s", r.answersPerSecond),
		singleRow("engine tokens in no such answer", "share", r.wastedTokens),
		singleRow("whole answers that came late", "share", r.lateShare),
	}
	if variant != Ours {
		return rows
	}
	return append(rows,
		singleRow("engine slots in use", "share", r.slotsInUse),
		singleRow("time of an answer at its engine, of what it is set to", "times", r.stretch),
		singleRow(usefulSlotTime, "share", r.slotsInUse*(1-r.wastedTokens)),
		singleRow("answers cut off at the deadline", "share", r.cutOffShare),
		singleRow("time of a free slot while requests wait", "ms", r.slotIdleTime),
		singleRow("ended late: started too late", "share", r.startedLate),
		singleRow("ended late: target stopped", "share", r.targetStopped),
		singleRow("ended late: ran longer than estimated", "share", r.ranLong),
	)
}

// overloadWindow collects the answers and the engines' activity in the measured part of a run.
type overloadWindow struct {
	from, until time.Time

	mu                         sync.Mutex
	inTime                     int
	late, cutOff               int
	samples, busySamples       int
	tokensAtStart, tokensAtEnd int
}

// recordAnswer records the end of a request that was sent at the given time, if it is within the window.
func (w *overloadWindow) recordAnswer(sent time.Time, err error) {
	now := time.Now()
	if now.Before(w.from) || now.After(w.until) {
		return
	}
	var refusal *caller.ServiceError
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case errors.As(err, &refusal) && refusal.Code == "deadline":
		w.cutOff++
	case err != nil:
	case now.Sub(sent) > overloadDeadline:
		w.late++
	default:
		w.inTime++
	}
}

// sampleEngines samples the engines until the window ends.
func (w *overloadWindow) sampleEngines(ctx context.Context, d *deployment.Deployment) {
	totalTokens := func() (n int) {
		for _, e := range d.Engines {
			n += e.Stats().Tokens
		}
		return n
	}
	time.Sleep(time.Until(w.from))
	w.tokensAtStart = totalTokens()
	for time.Now().Before(w.until) && ctx.Err() == nil {
		for _, e := range d.Engines {
			w.busySamples += min(e.Running(), overloadSlots)
		}
		w.samples += overloadEngines * overloadSlots
		time.Sleep(time.Millisecond)
	}
	w.tokensAtEnd = totalTokens()
}

// result computes the results of a window that has ended.
func (w *overloadWindow) result(d *deployment.Deployment) overloadResult {
	r := overloadResult{answersPerSecond: float64(w.inTime) / overloadLength.Seconds()}
	answered := float64(max(w.inTime+w.late+w.cutOff, 1))
	r.lateShare, r.cutOffShare = float64(w.late)/answered, float64(w.cutOff)/answered
	generated := float64(w.tokensAtEnd - w.tokensAtStart)
	if w.samples > 0 && generated > 0 {
		r.slotsInUse = float64(w.busySamples) / float64(w.samples)
		r.wastedTokens = max(0, 1-float64(w.inTime*overloadTokens)/generated)
		slotTimePerAnswer := r.slotsInUse * overloadEngines * overloadSlots * overloadLength.Seconds() / (generated / overloadTokens)
		r.stretch = slotTimePerAnswer / overloadAnswerTime.Seconds()
	}
	var sum workspace.Counts
	for _, in := range d.Instances {
		admitter, ok := in.Admitter.(*server.SlotAdmitter)
		if !ok {
			continue
		}
		counts := admitter.Counts()
		sum.Ended, sum.IdleSlotTime, sum.IdleSlotsTaken = sum.Ended+counts.Ended, sum.IdleSlotTime+counts.IdleSlotTime, sum.IdleSlotsTaken+counts.IdleSlotsTaken
		sum.LateStarted, sum.LateTargetStopped, sum.LateSlow = sum.LateStarted+counts.LateStarted, sum.LateTargetStopped+counts.LateTargetStopped, sum.LateSlow+counts.LateSlow
	}
	ended := float64(max(sum.Ended, 1))
	r.startedLate, r.targetStopped, r.ranLong = float64(sum.LateStarted)/ended, float64(sum.LateTargetStopped)/ended, float64(sum.LateSlow)/ended
	r.slotIdleTime = milliseconds(sum.IdleSlotTime) / float64(max(sum.IdleSlotsTaken, 1))
	return r
}

// overloadConfig returns the deployment of a variant. The baseline admits all requests, so that they wait at the engines.
func overloadConfig(variant string) deployment.Config {
	e := deployment.DefaultEngine()
	e.Slots, e.MaxRequests, e.FirstToken, e.TokenInterval = overloadSlots, 1<<20, overloadFirstToken, overloadTokenInterval
	cfg := deployment.Config{Instances: 2, Engines: overloadEngines, EngineTemplate: e, Limits: server.DefaultLimits()}
	if variant == Baseline {
		cfg.LocalAdmission = true
		cfg.EditCatalogue = func(d *catalogue.Document) {
			for i := range d.Entries[0].Targets {
				d.Entries[0].Targets[i].Slots = baselineSlots
			}
		}
	}
	return cfg
}

func overloadClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
}

// overloadCall returns the i-th request of a run.
func overloadCall(d *deployment.Deployment, client *http.Client, seed uint64, i int) caller.Completion {
	c := completion(d, seed+uint64(i), overloadTokens)
	c.APIKey = fmt.Sprintf("key-of-workspace-%d", i%10)
	c.Instances, c.MaxAttempts, c.Deadline, c.Client = d.AddressesFrom(i), 1, overloadDeadline, client
	return c
}

// runOverload sends requests at random times, at a rate that is a multiple of the capacity.
//
// The baseline admits all requests and lets them wait at the engines.
func runOverload(ctx context.Context, seed uint64, load float64, variant string) (overloadResult, error) {
	d, err := deployment.Start(ctx, overloadConfig(variant))
	if err != nil {
		return overloadResult{}, err
	}
	defer d.Close()
	perSecond := load * overloadEngines * overloadSlots / overloadAnswerTime.Seconds()
	startedAt := time.Now()
	window := &overloadWindow{from: startedAt.Add(overloadWarmUp), until: startedAt.Add(overloadWarmUp + overloadLength)}
	client := overloadClient()
	defer client.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(seed, uint64(load)))
	var group sync.WaitGroup
	group.Go(func() { window.sampleEngines(ctx, d) })
	for i, at := 0, startedAt; at.Before(window.until) && ctx.Err() == nil; i++ {
		time.Sleep(time.Until(at))
		c := overloadCall(d, client, seed, i)
		sent := time.Now()
		group.Go(func() {
			_, err := c.Stream(ctx)
			window.recordAnswer(sent, err)
		})
		at = at.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
	}
	group.Wait()
	return window.result(d), ctx.Err()
}

// runSaturated keeps the engines full with callers that wait for each answer, so that nothing is refused
// or late. Any shortfall from the capacity is due to the machine or to idle slots.
func runSaturated(ctx context.Context, seed uint64) (overloadResult, error) {
	d, err := deployment.Start(ctx, overloadConfig(Ours))
	if err != nil {
		return overloadResult{}, err
	}
	defer d.Close()
	startedAt := time.Now()
	window := &overloadWindow{from: startedAt.Add(overloadWarmUp), until: startedAt.Add(overloadWarmUp + overloadLength)}
	client := overloadClient()
	defer client.CloseIdleConnections()
	var group sync.WaitGroup
	group.Go(func() { window.sampleEngines(ctx, d) })
	for i := range saturatedCallers {
		group.Go(func() {
			for n := i; time.Now().Before(window.until) && ctx.Err() == nil; n += saturatedCallers {
				c := overloadCall(d, client, seed, n)
				sent := time.Now()
				_, err := c.Stream(ctx)
				window.recordAnswer(sent, err)
			}
		})
	}
	group.Wait()
	return window.result(d), ctx.Err()
}

// runMixed returns the interactive times to the first token while batch calls of the same workspace wait for its slots.
//
// The baseline does not distinguish batch from interactive work.
func runMixed(ctx context.Context, variant string) ([]float64, error) {
	d, err := deployment.Start(ctx, deployment.Config{
		Instances: 1, Engines: 2, Services: 1, EngineTemplate: deployment.DefaultEngine(), Limits: server.DefaultLimits(),
		EditCatalogue: func(doc *catalogue.Document) {
			doc.Workspaces[0].InProgress = mixedInProgress
			if variant == Ours {
				doc.Entries[1].Class = catalogue.Batch
			}
		},
	})
	if err != nil {
		return nil, err
	}
	defer d.Close()
	d.Services[0].SetFaults(service.Faults{Delay: catalogue.Duration(mixedServiceDelay)})
	endsAt := time.Now().Add(mixedLength)
	var mu sync.Mutex
	var firstTokens []float64
	var group sync.WaitGroup
	for i := range mixedBatchCallers + mixedInteractiveCallers {
		group.Go(func() {
			for n := uint64(0); time.Now().Before(endsAt) && ctx.Err() == nil; n++ {
				if i < mixedBatchCallers {
					c := caller.Call{APIKey: deployment.APIKey, Entry: deployment.ServiceName, Method: http.MethodGet, Path: "/draft"}
					_, _ = c.Do(ctx, d.AddressesFrom(0)[0])
					continue
				}
				c := completion(d, n, 4)
				c.MaxAttempts = 1
				if d, err := timeFirstToken(ctx, c); err == nil {
					mu.Lock()
					firstTokens = append(firstTokens, milliseconds(d))
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	return firstTokens, ctx.Err()
}
