package measure

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"bambooferry.example/bambooferry/internal/caller"
	"bambooferry.example/bambooferry/internal/deployment"
	"bambooferry.example/bambooferry/internal/standin/engine"
)

const (
	// recoveryLoad leaves capacity to process the backlog of an outage, even on a slow machine.
	recoveryLoad       = 0.7
	recoveryWarmUp     = 1500 * time.Millisecond
	timeBeforeOutage   = 3 * time.Second
	outageLength       = 4 * time.Second
	timeAfterOutage    = 9 * time.Second
	recoveryStepLength = 500 * time.Millisecond
	// recoveredShare is the share of the throughput before the outage at which the deployment counts as recovered.
	recoveredShare = 0.95
	// recoveryMaxAttempts limits the attempts of one caller; the baseline has no limit.
	recoveryMaxAttempts = 8
	// defaultRetryPause is the pause between attempts if a response suggests none, and always in the baseline.
	defaultRetryPause = 100 * time.Millisecond
)

// measureRecovery measures useful throughput before, during and after an outage of all engines of an entry.
func measureRecovery(ctx context.Context, seed uint64) ([]Row, error) {
	var rows []Row
	for _, variant := range []string{Ours, Baseline} {
		r, err := runRecovery(ctx, seed, variant)
		if err != nil {
			return rows, err
		}
		singleRow := func(metric, unit string, v float64) Row {
			return row("outage of all engines for 4 s", variant, metric, unit, []float64{v})
		}
		before, during, after := r.meanRate(0, timeBeforeOutage), r.meanRate(timeBeforeOutage, outageLength), r.meanRate(timeBeforeOutage+outageLength, timeAfterOutage)
		recoveryTime, leastShare := r.recovery()
		rows = append(rows,
			singleRow("answers within the deadline before", "1/s", before),
			singleRow("answers within the deadline during", "1/s", during),
			singleRow("answers within the deadline in the 9 s after", "1/s", after),
			singleRow("time until above 0.95 of before, 9 if never", "s", recoveryTime.Seconds()),
			singleRow("least of 2 s after that, of before", "share", leastShare),
			singleRow("requests sent for each answer", "", float64(r.sent)/float64(max(r.answered, 1))))
	}
	return rows, nil
}

// recoveryResult counts answers within the deadline per time step since the end of the warm-up.
type recoveryResult struct {
	startsAt time.Time

	mu             sync.Mutex
	answersPerStep [(timeBeforeOutage + outageLength + timeAfterOutage) / recoveryStepLength]int
	sent, answered int
}

// recordAnswer records the end of a request that was sent at the given time.
func (r *recoveryResult) recordAnswer(sent time.Time, err error) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	if err != nil || now.Sub(sent) > overloadDeadline {
		return
	}
	r.answered++
	if i := int(now.Sub(r.startsAt) / recoveryStepLength); now.After(r.startsAt) && i < len(r.answersPerStep) {
		r.answersPerStep[i]++
	}
}

// meanRate returns the mean number of answers per second over a period.
func (r *recoveryResult) meanRate(from, length time.Duration) float64 {
	answers := 0
	for _, v := range r.answersPerStep[from/recoveryStepLength : (from+length)/recoveryStepLength] {
		answers += v
	}
	return float64(answers) / length.Seconds()
}

// recovery returns the time from the end of the outage to the first second whose rate is above recoveredShare
// of the rate before, and the lowest mean rate over two seconds from then on, as a share of the rate before.
func (r *recoveryResult) recovery() (recoveryTime time.Duration, leastShare float64) {
	before, outageEnd := r.meanRate(0, timeBeforeOutage), timeBeforeOutage+outageLength
	recoveryTime = timeAfterOutage
	for at := outageEnd; at+2*time.Second <= outageEnd+timeAfterOutage; at += recoveryStepLength {
		if recoveryTime == timeAfterOutage && r.meanRate(at, time.Second) > recoveredShare*before {
			recoveryTime, leastShare = at-outageEnd, r.meanRate(at, 2*time.Second)/before
		}
		if recoveryTime < timeAfterOutage {
			leastShare = min(leastShare, r.meanRate(at, 2*time.Second)/before)
		}
	}
	return recoveryTime, leastShare
}

// runRecovery sends requests at regular intervals, from callers that retry, while all engines pause for a time.
//
// The baseline admits all requests, and its callers retry after a short pause, without a limit on the attempts.
func runRecovery(ctx context.Context, seed uint64, variant string) (*recoveryResult, error) {
	d, err := deployment.Start(ctx, overloadConfig(variant))
	if err != nil {
		return nil, err
	}
	defer d.Close()
	client := overloadClient()
	defer client.CloseIdleConnections()
	startedAt := time.Now()
	r := &recoveryResult{startsAt: startedAt.Add(recoveryWarmUp)}
	endsAt := r.startsAt.Add(timeBeforeOutage + outageLength + timeAfterOutage)
	ctx, cancel := context.WithDeadline(ctx, endsAt)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() {
		for _, paused := range []bool{true, false} {
			time.Sleep(time.Until(r.startsAt.Add(timeBeforeOutage)))
			if !paused {
				time.Sleep(outageLength)
			}
			for _, e := range d.Engines {
				e.SetFaults(engine.Faults{Pause: paused})
			}
		}
	})
	requestInterval := time.Duration(float64(overloadAnswerTime) / (recoveryLoad * overloadEngines * overloadSlots))
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Until(startedAt.Add(time.Duration(i) * requestInterval)))
		group.Go(func() { r.runCaller(ctx, d, client, seed, i, variant) })
	}
	group.Wait()
	return r, nil
}

// runCaller sends one request until it is answered in time, its attempts are used up or the run ends.
func (r *recoveryResult) runCaller(ctx context.Context, d *deployment.Deployment, client *http.Client, seed uint64, i int, variant string) {
	rng := rand.New(rand.NewPCG(seed, uint64(i)))
	for attempt := 0; ctx.Err() == nil && (variant == Baseline || attempt < recoveryMaxAttempts); attempt++ {
		c := overloadCall(d, client, seed, i)
		c.Instances = d.AddressesFrom(i + attempt)
		sent := time.Now()
		result, err := c.Stream(ctx)
		r.recordAnswer(sent, err)
		if err == nil && time.Since(sent) <= overloadDeadline {
			return
		}
		pause(ctx, time.Duration(float64(retryPause(result, variant))*(0.8+0.4*rng.Float64())))
	}
}

// retryPause returns the pause before the next attempt.
func retryPause(result caller.CompletionResult, variant string) time.Duration {
	if variant == Baseline || result.Error == nil || result.Error.RetryAfterMillis == 0 {
		return defaultRetryPause
	}
	return time.Duration(result.Error.RetryAfterMillis) * time.Millisecond
}

// pause waits for a time or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
