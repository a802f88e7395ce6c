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
	// recoveryLoad leaves room to work off what an outage leaves, also on a machine that is late.
	recoveryLoad   = 0.7
	recoveryWarm   = 1500 * time.Millisecond
	recoveryBefore = 3 * time.Second
	recoveryLength = 4 * time.Second
	recoveryAfter  = 9 * time.Second
	recoveryStep   = 500 * time.Millisecond
	// recoveryShare is the share of the useful work before at which it counts as back.
	recoveryShare = 0.95
	// recoveryTries bounds the tries of one caller; those of the baseline have no bound.
	recoveryTries = 8
	// recoveryPause is the pause between tries where an answer names none, and always in the baseline.
	recoveryPause = 100 * time.Millisecond
)

// recoveryRows measures useful work before, during and after an outage of all engines of an entry.
func recoveryRows(ctx context.Context, seed uint64) ([]Row, error) {
	var rows []Row
	for _, variant := range []string{Ours, Baseline} {
		r, err := recoveryRun(ctx, seed, variant)
		if err != nil {
			return rows, err
		}
		one := func(figure, unit string, v float64) Row {
			return row("outage of all engines for 4 s", variant, figure, unit, []float64{v})
		}
		before, during, after := r.mean(0, recoveryBefore), r.mean(recoveryBefore, recoveryLength), r.mean(recoveryBefore+recoveryLength, recoveryAfter)
		back, least := r.back()
		rows = append(rows,
			one("answers within the deadline before", "1/s", before),
			one("answers within the deadline during", "1/s", during),
			one("answers within the deadline in the 9 s after", "1/s", after),
			one("time until above 0.95 of before, 9 if never", "s", back.Seconds()),
			one("least of 2 s after that, of before", "share", least),
			one("requests sent for each answer", "", float64(r.sent)/float64(max(r.answered, 1))))
	}
	return rows, nil
}

// recoveryResult counts answers by the steps since the end of the warm-up.
type recoveryResult struct {
	from time.Time

	mu             sync.Mutex
	steps          [(recoveryBefore + recoveryLength + recoveryAfter) / recoveryStep]int
	sent, answered int
}

func (r *recoveryResult) count(sent time.Time, err error) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	if err != nil || now.Sub(sent) > overloadDeadline {
		return
	}
	r.answered++
	if i := int(now.Sub(r.from) / recoveryStep); now.After(r.from) && i < len(r.steps) {
		r.steps[i]++
	}
}

// mean returns the answers in a second over a time.
func (r *recoveryResult) mean(from, length time.Duration) float64 {
	n := 0
	for _, v := range r.steps[from/recoveryStep : (from+length)/recoveryStep] {
		n += v
	}
	return float64(n) / length.Seconds()
}

// back returns the time from the end of the outage to the first second above the share of before,
// and the least mean of two seconds from then on as a share of before.
func (r *recoveryResult) back() (took time.Duration, least float64) {
	before, end := r.mean(0, recoveryBefore), recoveryBefore+recoveryLength
	took = recoveryAfter
	for at := end; at+2*time.Second <= end+recoveryAfter; at += recoveryStep {
		if took == recoveryAfter && r.mean(at, time.Second) > recoveryShare*before {
			took, least = at-end, r.mean(at, 2*time.Second)/before
		}
		if took < recoveryAfter {
			least = min(least, r.mean(at, 2*time.Second)/before)
		}
	}
	return took, least
}

// recoveryRun has callers that retry send requests at regular times while all engines pause for a time.
//
// The baseline admits all, and its callers come back at once for as long as it takes.
func recoveryRun(ctx context.Context, seed uint64, variant string) (*recoveryResult, error) {
	d, err := deployment.Start(ctx, overloadPlan(variant))
	if err != nil {
		return nil, err
	}
	defer d.Close()
	client := overloadClient()
	defer client.CloseIdleConnections()
	begun := time.Now()
	r := &recoveryResult{from: begun.Add(recoveryWarm)}
	until := r.from.Add(recoveryBefore + recoveryLength + recoveryAfter)
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() {
		for _, paused := range []bool{true, false} {
			time.Sleep(time.Until(r.from.Add(recoveryBefore)))
			if !paused {
				time.Sleep(recoveryLength)
			}
			for _, e := range d.Engines {
				e.SetFaults(engine.Faults{Pause: paused})
			}
		}
	})
	gap := time.Duration(float64(overloadTook) / (recoveryLoad * overloadEngines * overloadSlots))
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Until(begun.Add(time.Duration(i) * gap)))
		group.Go(func() { r.caller(ctx, d, client, seed, i, variant) })
	}
	group.Wait()
	return r, nil
}

// caller sends one request until it is answered, gives up or the run ends.
func (r *recoveryResult) caller(ctx context.Context, d *deployment.Deployment, client *http.Client, seed uint64, i int, variant string) {
	rng := rand.New(rand.NewPCG(seed, uint64(i)))
	for try := 0; ctx.Err() == nil && (variant == Baseline || try < recoveryTries); try++ {
		c := overloadCall(d, client, seed, i)
		c.Instances = d.AddressesFrom(i + try)
		sent := time.Now()
		a, err := c.Stream(ctx)
		r.count(sent, err)
		if err == nil && time.Since(sent) <= overloadDeadline {
			return
		}
		pause(ctx, time.Duration(float64(recoveryWait(a, variant))*(0.8+0.4*rng.Float64())))
	}
}

// recoveryWait returns the pause before the next try.
func recoveryWait(a caller.CompletionResult, variant string) time.Duration {
	if variant == Baseline || a.Error == nil || a.Error.RetryAfterMillis == 0 {
		return recoveryPause
	}
	return time.Duration(a.Error.RetryAfterMillis) * time.Millisecond
}

// pause waits for a time or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
