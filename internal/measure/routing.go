package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/caller"
	"bambooferry.example/bambooferry/internal/deployment"
	"bambooferry.example/bambooferry/internal/server"
	standin "bambooferry.example/bambooferry/internal/standin/engine"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/engine"
)

const (
	routingTime    = 5 * time.Second
	routingWarmUp  = time.Second
	routingCallers = 32
	routingTokens  = 16
	// The prefixes of all prompts together take twice the cache of one engine.
	routingPrefixes     = 32
	routingPrefixBlocks = 16
	routingCacheBlocks  = 256
	routingFirstToken   = 80 * time.Millisecond
)

// reportFaults delays the engines' load reports and cache events and drops every 7th cache event. All policies run
// under these faults.
var reportFaults = standin.Faults{
	LoadLag: catalogue.Duration(300 * time.Millisecond), EventLag: catalogue.Duration(500 * time.Millisecond), DropEveryNthEvent: 7,
}

// measureRouting compares the policies under the same load, one after the other.
func measureRouting(ctx context.Context, seed uint64) ([]Row, error) {
	policies := []string{server.DefaultRouting, "round_robin", "least_requests", "two_choices"}
	results := map[string]routingResult{}
	for _, p := range policies {
		r, err := runRouting(ctx, seed, p)
		if err != nil {
			return nil, errors.Wrap(err, p)
		}
		results[p] = r
	}
	var rows []Row
	for _, p := range policies {
		r, variant := results[p], Baseline
		firstTokenRow := row(p, variant, "time to the first token", "ms", r.firstTokens)
		percentileRow := row(p, variant, "95th percentile of the same", "ms", []float64{quantile(r.firstTokens, 0.95)})
		hitRow := row(p, variant, "prompt blocks found in the cache", "share", []float64{r.hitShare})
		if p == server.DefaultRouting {
			for _, other := range []*Row{&firstTokenRow, &percentileRow, &hitRow} {
				other.Variant = Ours
			}
			bestMedian, bestHitShare := true, true
			for _, other := range policies[1:] {
				bestMedian = bestMedian && quantile(r.firstTokens, 0.5) < quantile(results[other].firstTokens, 0.5)
				bestHitShare = bestHitShare && r.hitShare > results[other].hitShare
			}
			firstTokenRow, hitRow = firstTokenRow.withTarget("below all baselines", bestMedian), hitRow.withTarget("above all baselines", bestHitShare)
		}
		rows = append(rows, firstTokenRow, percentileRow, hitRow, row(p, variant, "requests that failed", "count", []float64{float64(r.failed)}))
	}
	return rows, nil
}

// routingResult holds the results of one policy.
type routingResult struct {
	// firstTokens holds the times to the first token in milliseconds.
	firstTokens []float64
	hitShare    float64
	failed      int
}

func runRouting(ctx context.Context, seed uint64, policy string) (routingResult, error) {
	e := deployment.DefaultEngine()
	e.FirstToken, e.TokenInterval, e.CacheBlocks, e.MaxRequests = routingFirstToken, 3*time.Millisecond, routingCacheBlocks, 1<<10
	d, err := deployment.Start(ctx, deployment.Config{Instances: 2, Engines: 8, EngineTemplate: e, Limits: server.DefaultLimits(), RoutingPolicy: policy})
	if err != nil {
		return routingResult{}, err
	}
	defer d.Close()
	for _, e := range d.Engines {
		e.SetFaults(reportFaults)
	}
	runRoutingLoad(ctx, d, seed, routingWarmUp)
	statsBefore := cacheStats(d)
	r := runRoutingLoad(ctx, d, seed+1, routingTime)
	statsAfter := cacheStats(d)
	r.hitShare = float64(statsAfter.ReusedBlocks-statsBefore.ReusedBlocks) / float64(max(statsAfter.TotalBlocks-statsBefore.TotalBlocks, 1))
	return r, nil
}

func cacheStats(d *deployment.Deployment) (sum standin.Stats) {
	for _, e := range d.Engines {
		s := e.Stats()
		sum.ReusedBlocks, sum.TotalBlocks = sum.ReusedBlocks+s.ReusedBlocks, sum.TotalBlocks+s.TotalBlocks
	}
	return sum
}

// runRoutingLoad runs callers in closed loops with prompts that share prefixes.
func runRoutingLoad(ctx context.Context, d *deployment.Deployment, seed uint64, duration time.Duration) routingResult {
	endsAt := time.Now().Add(duration)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: routingCallers}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var r routingResult
	var callers sync.WaitGroup
	for i := range routingCallers {
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			for time.Now().Before(endsAt) && ctx.Err() == nil {
				c := completion(d, rng.Uint64()>>1, routingTokens)
				c.Prompt = sharedPrompt(rng.IntN(routingPrefixes), rng.Uint64())
				c.Instances, c.MaxAttempts, c.Client = d.AddressesFrom(i), 1, client
				firstToken, err := timeFirstToken(ctx, c)
				mu.Lock()
				if err != nil || firstToken == 0 {
					r.failed++
				} else {
					r.firstTokens = append(r.firstTokens, milliseconds(firstToken))
				}
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	return r
}

// sharedPrompt returns a prompt that consists of a shared prefix and two blocks of its own.
func sharedPrompt(prefix int, question uint64) string {
	repeatBlock := func(name string, n uint64, blocks int) string {
		block := fmt.Sprintf("%s %020d ", name, n)
		return strings.Repeat(block+strings.Repeat(".", engine.BlockBytes-len(block)), blocks)
	}
	return repeatBlock("rule book", uint64(prefix), routingPrefixBlocks) + repeatBlock("question", question, 2)
}

// timeFirstToken reads an answer and returns the time from the request to the first token, or 0 if there was none.
func timeFirstToken(ctx context.Context, c caller.Completion) (firstToken time.Duration, err error) {
	startedAt := time.Now()
	c.OnToken = func(n int) {
		if n == 1 {
			firstToken = time.Since(startedAt)
		}
	}
	_, err = c.Stream(ctx)
	return firstToken, err
}
