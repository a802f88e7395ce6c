package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat/distuv"

	"bambooferry.example/bambooferry/pkg/version"
)

const (
	// goodRuns is the number of runs of each good scenario. Up to 6 false rollbacks in all of them together
	// show that the rate is below maxFalseRollbackRate, at a confidence of 0.95.
	goodRuns = 3000
	badRuns  = 20
	// maxFalseRollbackRate is the stated bound on the rate of false rollbacks among good changes.
	maxFalseRollbackRate = 1.0 / 1000
	significance         = 0.05
	simTick              = 100 * time.Millisecond
	simDeadline          = 60 * time.Second
	simGoodLength        = 75 * time.Second
	simBadLength         = 2 * simDeadline
	simRequestsPerSecond = 60
	simCounters          = 3
	simLargestShare      = 0.1
	baseFailureRate      = 0.002
)

// changeScenario describes how the versions behave in a simulated change.
type changeScenario struct {
	name string
	seed uint64
	// noise is the standard deviation of the logarithm of all times.
	noise float64
	// failureRate is the probability that a request to the new version fails; slowdown multiplies its times.
	failureRate, slowdown float64
	// commonFailureRate and commonSlowdown affect both versions in the middle third of the run.
	commonFailureRate, commonSlowdown float64
	// fixedSchedule makes the share depend on the time only, as in the baseline.
	fixedSchedule bool
}

func goodScenarios() []changeScenario {
	return []changeScenario{
		{name: "calm", noise: 0.3},
		{name: "noisy times", noise: 1},
		{name: "general slowdown", noise: 0.5, commonSlowdown: 4},
		{name: "common outage", noise: 0.5, commonFailureRate: 0.4},
	}
}

func badScenarios() []changeScenario {
	return []changeScenario{
		{name: "failing half", noise: 0.5, failureRate: 0.5},
		{name: "failing 1 in 10", noise: 0.5, failureRate: 0.1},
		{name: "slow 3 times", noise: 0.5, slowdown: 3},
	}
}

// simulateChanges runs only the decision package, without network connections, from seeds.
func simulateChanges(seed uint64) []Row {
	var rows []Row
	rolledBack, runs := 0, 0
	for _, s := range goodScenarios() {
		n := s.falseRollbacks(seed)
		rolledBack, runs = rolledBack+n, runs+goodRuns
		rows = append(rows, row(fmt.Sprintf("simulated, %d good changes, %s", goodRuns, s.name), Ours, "false rollbacks", "count", []float64{float64(n)}))
	}
	upperBound := rateUpperBound(rolledBack, runs)
	rows = append(rows, row(fmt.Sprintf("simulated, %d good changes", runs), Ours, "rate of false rollbacks, upper bound at 0.95", "in 1,000", []float64{1000 * upperBound}).
		withTarget("under 1 in 1,000", upperBound < maxFalseRollbackRate))
	for _, s := range badScenarios() {
		for _, variant := range []string{Ours, Baseline} {
			var exposedRequests []float64
			rolledBackRuns := 0
			s.fixedSchedule = variant == Baseline
			for i := range badRuns {
				s.seed = seed*1_000_000 + uint64(i)
				state, n := s.run(simBadLength)
				exposedRequests = append(exposedRequests, float64(n))
				if state == version.RolledBack {
					rolledBackRuns++
				}
			}
			caseName := "simulated, " + s.name
			rows = append(rows, row(caseName, variant, "requests exposed to a bad version", "count", exposedRequests))
			if variant == Ours {
				rows = append(rows, row(caseName, variant, "rolled back", fmt.Sprintf("of %d", badRuns), []float64{float64(rolledBackRuns)}).withTarget("all", rolledBackRuns == badRuns))
			}
		}
	}
	return rows
}

// falseRollbacks runs a good scenario with goodRuns seeds on all processors and returns the number of rollbacks.
func (s changeScenario) falseRollbacks(seed uint64) int {
	var rolledBack atomic.Int64
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range goodRuns {
		s := s
		s.seed = seed*1_000_000 + uint64(i)
		group.Go(func() error {
			if state, _ := s.run(simGoodLength); state == version.RolledBack {
				rolledBack.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait()
	return int(rolledBack.Load())
}

// rateUpperBound returns the one-sided upper confidence limit (Clopper and Pearson) of the rate of an event that
// occurred in k of n runs: at this rate, k or fewer occurrences have a probability of significance.
func rateUpperBound(k, n int) float64 {
	return distuv.Beta{Alpha: float64(k + 1), Beta: float64(n - k)}.Quantile(1 - significance)
}

// run simulates one change and returns its last state and the number of requests sent to the new version.
func (s changeScenario) run(length time.Duration) (version.State, int) {
	rng := rand.New(rand.NewPCG(s.seed, 1))
	startedAt := time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)
	plan := version.Plan{ID: 1 + s.seed, Entry: "ferry-llm", From: "v1", To: "v2", Revision: 1, Deadline: startedAt.Add(simDeadline), LargestShare: simLargestShare}
	change := version.NewChange(startedAt, plan, version.DefaultLimits())
	counters := make([]*version.Counter, simCounters)
	for i := range counters {
		counters[i] = version.NewCounter(plan)
	}
	change.Step(startedAt, version.Event{Kind: version.CapacityChanged, Capacity: 1})
	sent, exposedRequests := 0, 0
	for elapsed := time.Duration(0); elapsed < length && (s.fixedSchedule || change.Record.State != version.RolledBack); elapsed += simTick {
		now := startedAt.Add(elapsed)
		share := change.Record.Share
		if s.fixedSchedule {
			share = version.FixedScheduleShare(plan, startedAt, now)
		}
		for range int(simRequestsPerSecond * simTick.Seconds()) {
			sent++
			isNew := version.RoutesToNew(plan.ID, share, fmt.Sprint(sent))
			if isNew {
				exposedRequests++
			}
			counters[sent%simCounters].Add(now, s.randomResult(rng, isNew, elapsed > length/3 && elapsed < 2*length/3))
		}
		for _, c := range counters {
			change.Step(now, version.Event{Kind: version.Reported, Report: c.TakeReport()})
		}
		change.Step(now, version.Event{Kind: version.Ticked})
	}
	return change.Record.State, exposedRequests
}

// randomResult returns the result of one request to the new or the old version.
func (s changeScenario) randomResult(rng *rand.Rand, isNew, inCommonFault bool) version.Result {
	r := version.Result{Version: "v1", Route: "/v1/completions|c1", Ended: true}
	failureRate, slowdown := baseFailureRate, 1.0
	if inCommonFault {
		failureRate, slowdown = max(failureRate, s.commonFailureRate), max(slowdown, s.commonSlowdown)
	}
	if isNew {
		r.Version = "v2"
		failureRate, slowdown = max(failureRate, s.failureRate), slowdown*max(1, s.slowdown)
	}
	r.Failed = rng.Float64() < failureRate
	randomDuration := func(mean time.Duration) time.Duration {
		return time.Duration(float64(mean) * slowdown * math.Exp(s.noise*rng.NormFloat64()))
	}
	r.FirstToken, r.TokenInterval = randomDuration(300*time.Millisecond), randomDuration(20*time.Millisecond)
	return r
}
