package booking

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requestsWithoutOutput returns requests that a target has accepted without sending output.
func requestsWithoutOutput(digests ...string) []CrashRequest {
	out := make([]CrashRequest, 0, len(digests))
	for _, d := range digests {
		out = append(out, CrashRequest{Digest: d})
	}
	return out
}

// crashTrial is a pool in which targets crash at random and because of one guilty request.
type crashTrial struct {
	targets, requestsPerTarget int
	// popularShare is the share of requests with one of ten popular contents.
	popularShare float64
	// unrelatedCrashes is the number of crashes without the guilty request, within the retention of
	// the marks.
	unrelatedCrashes int
	// guiltySends is the number of times that the guilty request is sent at most.
	guiltySends int
	// sentTogether is the share of a crashed target's other requests that are resent to one target
	// together.
	sentTogether float64
}

const trialRuns = 2000

// run returns the number of innocent requests blamed, and after how many kills the guilty one was
// marked (0 if never).
func (c crashTrial) run(seed uint64) (blamed, kills int) {
	rng := rand.New(rand.NewPCG(seed, 3))
	s := CrashDetector{Retention: 10 * time.Minute, MaxCrashes: 64}
	now, guilty, newRequests := time.Unix(1_000_000, 0), hashParts("guilty"), 0
	request := func() string {
		if rng.Float64() < c.popularShare {
			return hashParts("popular", fmt.Sprint(rng.IntN(10)))
		}
		newRequests++
		return hashParts("fresh", fmt.Sprint(newRequests))
	}
	previous := []string{}
	crash := func(extraRequest string) {
		target := fmt.Sprint(rng.IntN(c.targets))
		requests := make([]string, 0, c.requestsPerTarget+1)
		for _, d := range previous {
			if rng.Float64() < c.sentTogether {
				requests = append(requests, d)
			}
		}
		for len(requests) < c.requestsPerTarget {
			requests = append(requests, request())
		}
		previous = requests
		if extraRequest != "" {
			requests = append(requests, extraRequest)
		}
		for _, d := range s.RecordCrash(now, Crash{Target: target, At: now.UnixMilli(), Requests: requestsWithoutOutput(requests...)}) {
			if d != guilty {
				blamed++
			}
		}
		now = now.Add(20 * time.Second)
		// Requests with popular contents often succeed somewhere before the next crash.
		for i := range 10 {
			if c.popularShare > 0 && rng.IntN(2) == 0 {
				s.ClearRequest(hashParts("popular", fmt.Sprint(i)))
			}
		}
	}
	for range c.unrelatedCrashes {
		crash("")
	}
	for n := 1; n <= c.guiltySends && !s.IsMarked(now, guilty); n++ {
		crash(guilty)
		if s.IsMarked(now, guilty) {
			kills = n
		}
	}
	return blamed, kills
}

// TestCrashMarkErrorRates guards against a rule that blames innocent requests or fails to mark a
// guilty one; the rates are those of seeded runs and are logged.
func TestCrashMarkErrorRates(t *testing.T) {
	for name, c := range map[string]struct {
		crashTrial
		maxBlamed, maxMissed float64
	}{
		"chance crashes only":         {crashTrial{targets: 25, requestsPerTarget: 8, unrelatedCrashes: 5}, 0, 1},
		"popular, chance only":        {crashTrial{targets: 25, requestsPerTarget: 8, popularShare: 0.1, unrelatedCrashes: 5}, 0.30, 1},
		"guilty alone":                {crashTrial{targets: 25, requestsPerTarget: 8, guiltySends: 3}, 0, 0.01},
		"guilty and two by chance":    {crashTrial{targets: 25, requestsPerTarget: 8, guiltySends: 3, unrelatedCrashes: 2}, 0, 0.01},
		"guilty, few sent together":   {crashTrial{targets: 25, requestsPerTarget: 8, guiltySends: 4, sentTogether: 0.1}, 0.02, 0.05},
		"guilty, third sent together": {crashTrial{targets: 25, requestsPerTarget: 8, guiltySends: 6, sentTogether: 0.33}, 0.02, 0.25},
		// Requests that move together from crash to crash cannot be told apart; this is the limit
		// of the rule.
		"guilty, half sent together": {crashTrial{targets: 25, requestsPerTarget: 8, guiltySends: 4, sentTogether: 0.5}, 0.02, 0.75},
		"guilty, popular":            {crashTrial{targets: 25, requestsPerTarget: 8, popularShare: 0.1, guiltySends: 4}, 0.15, 0.02},
		"guilty, three targets":      {crashTrial{targets: 3, requestsPerTarget: 8, guiltySends: 4}, 0, 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			blamed, missed, second := 0, 0, 0
			for seed := range uint64(trialRuns) {
				b, k := c.run(seed)
				blamed += min(b, 1)
				if c.guiltySends > 0 && k == 0 {
					missed++
				}
				if k == 2 {
					second++
				}
			}
			t.Logf("runs with an innocent blamed %.4f, guilty missed %.4f, marked at the second kill %.4f",
				float64(blamed)/trialRuns, float64(missed)/trialRuns, float64(second)/trialRuns)
			require.LessOrEqual(t, float64(blamed)/trialRuns, c.maxBlamed)
			require.LessOrEqual(t, float64(missed)/trialRuns, c.maxMissed)
		})
	}
}

// TestMarksExpire guards against a request that is refused permanently.
func TestMarksExpire(t *testing.T) {
	s, now := CrashDetector{Retention: time.Minute, MaxCrashes: 8}, time.Unix(1000, 0)
	bad := hashParts("bad")
	for i, target := range []string{"a", "b"} {
		s.RecordCrash(now, Crash{Target: target, At: now.UnixMilli(), Requests: requestsWithoutOutput(bad, hashParts(fmt.Sprint(i)))})
	}
	require.True(t, s.IsMarked(now, bad))
	require.False(t, s.IsMarked(now.Add(time.Minute), bad))
	require.Empty(t, s.RecordCrash(now.Add(2*time.Minute), Crash{Target: "c", At: now.Add(2 * time.Minute).UnixMilli(), Requests: requestsWithoutOutput(bad)}), "old crashes must not count")
}

// TestTwoReportsOfOneCrashCountOnce guards against counting one crash that two instances report as
// two.
func TestTwoReportsOfOneCrashCountOnce(t *testing.T) {
	s, now := CrashDetector{Retention: time.Minute, MaxCrashes: 8}, time.Unix(1000, 0)
	bad := hashParts("bad")
	for range 2 {
		require.Empty(t, s.RecordCrash(now, Crash{Target: "a", At: now.UnixMilli(), Requests: requestsWithoutOutput(bad)}))
	}
}

// TestRetryBudgetBoundsRetryRatio guards against retries that multiply the load of a failing back
// end.
func TestRetryBudgetBoundsRetryRatio(t *testing.T) {
	b, sent := RetryBudget{Ratio: RetryRatio, Burst: RetryBurst}, 0
	for range 1000 {
		b.RecordRequest()
		for b.AllowRetry() {
			sent++
		}
	}
	require.InDelta(t, RetryBurst+1000*RetryRatio, sent, 1)
}

// TestHedgeDelayFollowsQuantile guards against hedging calls with ordinary response times.
func TestHedgeDelayFollowsQuantile(t *testing.T) {
	rng, d, above := rand.New(rand.NewPCG(1, 1)), HedgeDelay{}, 0
	const settle, count = 2000, 20_000
	for i := range settle + count {
		took := time.Duration(float64(20*time.Millisecond) * (1 + rng.ExpFloat64()))
		if i >= settle && took > d.Estimate() {
			above++
		}
		d.Observe(took)
	}
	require.InDelta(t, 0.05, float64(above)/count, 0.01)
}
