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
	overloadEngines = 4
	overloadSlots   = 4
	overloadFirst   = 40 * time.Millisecond
	overloadGap     = 5 * time.Millisecond
	overloadTokens  = 21
	// overloadTook is the time of one answer at its engine.
	overloadTook     = overloadFirst + (overloadTokens-1)*overloadGap
	overloadDeadline = time.Second
	// saturatedCallers keep about as many requests waiting as there are slots.
	saturatedCallers = 2 * overloadEngines * overloadSlots
	overloadWarm     = 1500 * time.Millisecond
	overloadLength   = 4 * time.Second
	// overloadShare is the share of the best useful work that must be left at three times the capacity.
	overloadShare = 0.95
	// baselineSlots keeps requests from waiting anywhere but at the engines.
	baselineSlots = 1000

	mixedLength      = 3 * time.Second
	mixedBatch       = 48
	mixedInteractive = 4
	mixedInProgress  = 8
	mixedDelay       = 100 * time.Millisecond
)

// overload measures useful work above capacity and interactive latency beside waiting batch work.
func overload(ctx context.Context, seed uint64) ([]Row, error) {
	loads := []float64{1, 2, 3}
	results := map[string][]overloadResult{}
	closed, err := saturatedRun(ctx, seed)
	if err != nil {
		return nil, err
	}
	best := closed.useful
	for _, variant := range []string{Ours, Baseline} {
		for _, load := range loads {
			r, err := overloadRun(ctx, seed, load, variant)
			if err != nil {
				return nil, err
			}
			results[variant] = append(results[variant], r)
			best = max(best, r.useful)
		}
	}
	rows := closed.rows("callers that wait for each answer", Ours, best)
	for i, load := range loads {
		for _, variant := range []string{Ours, Baseline} {
			r := results[variant][i]
			list := r.rows(fmt.Sprintf("%.0f times the capacity", load), variant, best)
			if variant == Ours && load == 3 {
				list[0] = list[0].bound(fmt.Sprintf("above %.2f", overloadShare), r.useful/best > overloadShare)
				// The runs compare different moments of the machine; this row has the run's own pace.
				i := slices.IndexFunc(list, func(r Row) bool { return r.Metric == usefulPart })
				list[i] = list[i].bound(fmt.Sprintf("above %.2f", overloadShare), list[i].Median > overloadShare)
			}
			rows = append(rows, list...)
		}
	}
	recovered, err := recoveryRows(ctx, seed)
	if err != nil {
		return rows, err
	}
	rows = append(rows, recovered...)
	for _, variant := range []string{Ours, Baseline} {
		first, err := mixedRun(ctx, variant)
		if err != nil {
			return rows, err
		}
		kase := "interactive while batch waits"
		rows = append(rows, row(kase, variant, "time to the first token", "ms", first),
			row(kase, variant, "95th percentile of the same", "ms", []float64{quantile(first, 0.95)}))
	}
	return rows, nil
}

// usefulPart names the share of the slots' time that went into answers within the deadline.
const usefulPart = "useful part of the slots' time"

// overloadResult is what one run brought in its window, and where the rest went.
type overloadResult struct {
	// useful is the number of answers within the deadline in a second.
	useful float64
	// busy is the share of the engines' slots in use, and stretch the time of one answer at its
	// engine as a multiple of what the engine is set to: above 1 the machine was late.
	busy, stretch float64
	// late is the share of the whole answers that came after the deadline by the caller's clock, and
	// cut the share that the instance ended at the deadline.
	late, cut float64
	// wasted is the share of the engines' tokens that were in no answer within the deadline.
	wasted float64
	// handover is the mean time from a target's slot coming free to its next use while requests waited.
	handover float64
	// waited, stopped and slow are answers that ended after the deadline, by cause, as a share of all that ended.
	waited, stopped, slow float64
}

func (r overloadResult) rows(kase, variant string, best float64) []Row {
	one := func(figure, unit string, v float64) Row { return row(kase, variant, figure, unit, []float64{v}) }
	rows := []Row{
		one("answers within the deadline, of the best", "share", r.useful/best),
		one("answers within the deadline", "1/s", r.useful),
		one("engine tokens in no such answer", "share", r.wasted),
		one("whole answers that came late", "share", r.late),
	}
	if variant != Ours {
		return rows
	}
	return append(rows,
		one("engine slots in use", "share", r.busy),
		one("time of an answer at its engine, of what it is set to", "times", r.stretch),
		one(usefulPart, "share", r.busy*(1-r.wasted)),
		one("answers cut off at the deadline", "share", r.cut),
		one("time of a free slot while requests wait", "ms", r.handover),
		one("ended late: started too late", "share", r.waited),
		one("ended late: target stopped", "share", r.stopped),
		one("ended late: ran longer than estimated", "share", r.slow),
	)
}

// overloadWindow observes the engines in the time that counts.
type overloadWindow struct {
	from, until time.Time

	mu            sync.Mutex
	answers       int
	late, cut     int
	samples, busy int
	first, last   int
}

// count takes in an answer that began at sent.
func (w *overloadWindow) count(sent time.Time, err error) {
	now := time.Now()
	if now.Before(w.from) || now.After(w.until) {
		return
	}
	var refused *caller.ServiceError
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case errors.As(err, &refused) && refused.Code == "deadline":
		w.cut++
	case err != nil:
	case now.Sub(sent) > overloadDeadline:
		w.late++
	default:
		w.answers++
	}
}

// watch samples the engines until the window ends.
func (w *overloadWindow) watch(ctx context.Context, d *deployment.Deployment) {
	tokens := func() (n int) {
		for _, e := range d.Engines {
			n += e.Stats().Tokens
		}
		return n
	}
	time.Sleep(time.Until(w.from))
	w.first = tokens()
	for time.Now().Before(w.until) && ctx.Err() == nil {
		for _, e := range d.Engines {
			w.busy += min(e.Running(), overloadSlots)
		}
		w.samples += overloadEngines * overloadSlots
		time.Sleep(time.Millisecond)
	}
	w.last = tokens()
}

// result computes the figures of a window that has ended.
func (w *overloadWindow) result(d *deployment.Deployment) overloadResult {
	r := overloadResult{useful: float64(w.answers) / overloadLength.Seconds()}
	whole := float64(max(w.answers+w.late+w.cut, 1))
	r.late, r.cut = float64(w.late)/whole, float64(w.cut)/whole
	tokens := float64(w.last - w.first)
	if w.samples > 0 && tokens > 0 {
		r.busy = float64(w.busy) / float64(w.samples)
		r.wasted = max(0, 1-float64(w.answers*overloadTokens)/tokens)
		served := r.busy * overloadEngines * overloadSlots * overloadLength.Seconds() / (tokens / overloadTokens)
		r.stretch = served / overloadTook.Seconds()
	}
	var sum workspace.Counts
	for _, in := range d.Instances {
		q, ok := in.Admitter.(*server.SlotAdmitter)
		if !ok {
			continue
		}
		c := q.Counts()
		sum.Ended, sum.IdleSlotTime, sum.IdleSlotsTaken = sum.Ended+c.Ended, sum.IdleSlotTime+c.IdleSlotTime, sum.IdleSlotsTaken+c.IdleSlotsTaken
		sum.LateStarted, sum.LateTargetStopped, sum.LateSlow = sum.LateStarted+c.LateStarted, sum.LateTargetStopped+c.LateTargetStopped, sum.LateSlow+c.LateSlow
	}
	ended := float64(max(sum.Ended, 1))
	r.waited, r.stopped, r.slow = float64(sum.LateStarted)/ended, float64(sum.LateTargetStopped)/ended, float64(sum.LateSlow)/ended
	r.handover = ms(sum.IdleSlotTime) / float64(max(sum.IdleSlotsTaken, 1))
	return r
}

func overloadPlan(variant string) deployment.Config {
	e := deployment.DefaultEngine()
	e.Slots, e.MaxRequests, e.FirstToken, e.TokenInterval = overloadSlots, 1<<20, overloadFirst, overloadGap
	p := deployment.Config{Instances: 2, Engines: overloadEngines, EngineTemplate: e, Limits: server.DefaultLimits()}
	if variant == Baseline {
		p.LocalAdmission = true
		p.EditCatalogue = func(d *catalogue.Document) {
			for i := range d.Entries[0].Targets {
				d.Entries[0].Targets[i].Slots = baselineSlots
			}
		}
	}
	return p
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

// overloadRun sends requests at random times at a multiple of the capacity.
//
// The baseline admits all and lets requests wait at the engines.
func overloadRun(ctx context.Context, seed uint64, load float64, variant string) (overloadResult, error) {
	d, err := deployment.Start(ctx, overloadPlan(variant))
	if err != nil {
		return overloadResult{}, err
	}
	defer d.Close()
	perSecond := load * overloadEngines * overloadSlots / overloadTook.Seconds()
	begun := time.Now()
	w := &overloadWindow{from: begun.Add(overloadWarm), until: begun.Add(overloadWarm + overloadLength)}
	client := overloadClient()
	defer client.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(seed, uint64(load)))
	var group sync.WaitGroup
	group.Go(func() { w.watch(ctx, d) })
	for i, at := 0, begun; at.Before(w.until) && ctx.Err() == nil; i++ {
		time.Sleep(time.Until(at))
		c := overloadCall(d, client, seed, i)
		sent := time.Now()
		group.Go(func() {
			_, err := c.Stream(ctx)
			w.count(sent, err)
		})
		at = at.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
	}
	group.Wait()
	return w.result(d), ctx.Err()
}

// saturatedRun keeps the engines full with callers that wait for each answer, so that nothing is
// refused or late: what it does not reach of the capacity is the machine or slots that stand idle.
func saturatedRun(ctx context.Context, seed uint64) (overloadResult, error) {
	d, err := deployment.Start(ctx, overloadPlan(Ours))
	if err != nil {
		return overloadResult{}, err
	}
	defer d.Close()
	begun := time.Now()
	w := &overloadWindow{from: begun.Add(overloadWarm), until: begun.Add(overloadWarm + overloadLength)}
	client := overloadClient()
	defer client.CloseIdleConnections()
	var group sync.WaitGroup
	group.Go(func() { w.watch(ctx, d) })
	for i := range saturatedCallers {
		group.Go(func() {
			for n := i; time.Now().Before(w.until) && ctx.Err() == nil; n += saturatedCallers {
				c := overloadCall(d, client, seed, n)
				sent := time.Now()
				_, err := c.Stream(ctx)
				w.count(sent, err)
			}
		})
	}
	group.Wait()
	return w.result(d), ctx.Err()
}

// mixedRun returns interactive times to the first token while batch calls of the same workspace wait for its slots.
//
// The baseline does not tell batch from interactive work.
func mixedRun(ctx context.Context, variant string) ([]float64, error) {
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
	d.Services[0].SetFaults(service.Faults{Delay: catalogue.Duration(mixedDelay)})
	until := time.Now().Add(mixedLength)
	var mu sync.Mutex
	var first []float64
	var group sync.WaitGroup
	for i := range mixedBatch + mixedInteractive {
		group.Go(func() {
			for n := uint64(0); time.Now().Before(until) && ctx.Err() == nil; n++ {
				if i < mixedBatch {
					c := caller.Call{APIKey: deployment.APIKey, Entry: deployment.ServiceName, Method: http.MethodGet, Path: "/draft"}
					_, _ = c.Do(ctx, d.AddressesFrom(0)[0])
					continue
				}
				c := completion(d, n, 4)
				c.MaxAttempts = 1
				if d, err := streamTimed(ctx, c); err == nil {
					mu.Lock()
					first = append(first, ms(d))
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	return first, ctx.Err()
}
