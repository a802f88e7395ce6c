package rollout

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// goodFailures is the rate of failures of a good version in the simulated plays, and allowedFalseRollbacks the share of good
// versions that the best test may take back.
const (
	goodFailures          = 0.01
	allowedFalseRollbacks = 0.01
)

// bestPromotedShare returns the share of versions that fail at a rate which the best test of n results promotes: one that
// rejects a version by its number of failures, and at most allowedFalseRollbacks of the good ones.
func bestPromotedShare(n int, rate float64) float64 {
	good, bad := 0.0, 0.0
	for k := 0; k <= n; k++ {
		good += binomial(n, k, goodFailures)
		bad += binomial(n, k, rate)
		if 1-good <= allowedFalseRollbacks {
			return bad
		}
	}
	return 1
}

// binomial returns the probability of k successes in n trials of probability p.
func binomial(n, k int, p float64) float64 {
	logN, _ := math.Lgamma(float64(n + 1))
	logK, _ := math.Lgamma(float64(k + 1))
	logRest, _ := math.Lgamma(float64(n - k + 1))
	return math.Exp(logN - logK - logRest + float64(k)*math.Log(p) + float64(n-k)*math.Log1p(-p))
}

// TestVersionsThatTheirResultsShowBadArePromoted guards against bad versions that are promoted although their results tell them
// from good ones. KNOWABLE_PLAYS sets how many plays are made of each row, whose table is printed with -v.
func TestVersionsThatTheirResultsShowBadArePromoted(t *testing.T) {
	plays := knowablePlays
	if n, err := strconv.Atoi(os.Getenv("KNOWABLE_PLAYS")); err == nil {
		plays = n
	}
	t.Log("requests a second | interval | fails | results at the end | promoted: best test, ours | over the bound")
	for _, load := range []struct {
		rate     float64
		interval time.Duration
	}{{8, 15 * time.Second}, {30, 20 * time.Second}, {120, 20 * time.Second}, {120, 60 * time.Second}} {
		for _, failures := range []float64{0.01, 0.05, 0.1, 0.2, 0.3, 0.5} {
			promoted, over, results := 0, 0, 0
			for seed := range uint64(plays) {
				f := newFleet(t, seed, 8, load.rate)
				f.result = func(v, _ string, _ time.Duration) (bool, time.Duration) {
					if v == "v2" {
						return f.rng.Float64() < failures, goodTime
					}
					return f.good()
				}
				f.run(8 * time.Second)
				before := f.sent["v1"]
				f.order(testPool, "v2", load.interval)
				f.run(500 * time.Millisecond)
				f.slots[testPool]["v2"] = 30
				f.run(load.interval - 500*time.Millisecond)
				results += f.sent["v2"]
				if f.lastStatus() == "succeeded v2" {
					promoted++
				}
				if total := f.sent["v1"] + f.sent["v2"] - before; float64(f.sent["v2"]) > exposeShare*float64(total)+badVersionSlack {
					over++
				}
			}
			total := load.rate * load.interval.Seconds()
			allowed := int(exposeShare*total + badVersionSlack)
			best, ours := bestPromotedShare(allowed, failures), float64(promoted)/float64(plays)
			t.Logf("%v | %v | %.2f | %.0f of %d | %.3f, %.3f | %d", load.rate, load.interval, failures, float64(results)/float64(plays), allowed, best, ours, over)
			name := fmt.Sprintf("%v a second in %v, %.2f fail", load.rate, load.interval, failures)
			require.Zero(t, over, name)
			if best < 0.0005 {
				require.LessOrEqual(t, promoted, plays/100, name)
			}
			if failures == goodFailures {
				require.GreaterOrEqual(t, ours, 0.9, name)
			}
		}
	}
}
