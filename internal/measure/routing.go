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
	routingLength  = 5 * time.Second
	routingWarm    = time.Second
	routingCallers = 32
	routingTokens  = 16
	// The prefixes of all prompts together are twice what one engine caches.
	routingPrefixes     = 32
	routingPrefixBlocks = 16
	routingCacheBlocks  = 256
	routingFirstToken   = 80 * time.Millisecond
)

// lateReports are the faults under which policies are compared.
var lateReports = standin.Faults{
	LoadLag: catalogue.Duration(300 * time.Millisecond), EventLag: catalogue.Duration(500 * time.Millisecond), DropEveryNthEvent: 7,
}

// routing compares the policies on the same load, one after the other.
func routing(ctx context.Context, seed uint64) ([]Row, error) {
	policies := []string{server.DefaultRouting, "round_robin", "least_requests", "two_choices"}
	results := map[string]routed{}
	for _, p := range policies {
		r, err := routingRun(ctx, seed, p)
		if err != nil {
			return nil, errors.Wrap(err, p)
		}
		results[p] = r
	}
	var rows []Row
	for _, p := range policies {
		r, variant := results[p], Baseline
		first := row(p, variant, "time to the first token", "ms", r.first)
		late := row(p, variant, "95th percentile of the same", "ms", []float64{quantile(r.first, 0.95)})
		hit := row(p, variant, "prompt blocks found in the cache", "share", []float64{r.hit})
		if p == server.DefaultRouting {
			for _, o := range []*Row{&first, &late, &hit} {
				o.Variant = Ours
			}
			median, share := true, true
			for _, o := range policies[1:] {
				median = median && quantile(r.first, 0.5) < quantile(results[o].first, 0.5)
				share = share && r.hit > results[o].hit
			}
			first, hit = first.bound("below all baselines", median), hit.bound("above all baselines", share)
		}
		rows = append(rows, first, late, hit, row(p, variant, "requests that failed", "count", []float64{float64(r.failed)}))
	}
	return rows, nil
}

// routed is what one policy showed.
type routed struct {
	first  []float64
	hit    float64
	failed int
}

func routingRun(ctx context.Context, seed uint64, policy string) (routed, error) {
	e := deployment.DefaultEngine()
	e.FirstToken, e.TokenInterval, e.CacheBlocks, e.MaxRequests = routingFirstToken, 3*time.Millisecond, routingCacheBlocks, 1<<10
	d, err := deployment.Start(ctx, deployment.Config{Instances: 2, Engines: 8, EngineTemplate: e, Limits: server.DefaultLimits(), RoutingPolicy: policy})
	if err != nil {
		return routed{}, err
	}
	defer d.Close()
	for _, e := range d.Engines {
		e.SetFaults(lateReports)
	}
	routingLoad(ctx, d, seed, routingWarm)
	before := cacheStats(d)
	r := routingLoad(ctx, d, seed+1, routingLength)
	after := cacheStats(d)
	r.hit = float64(after.ReusedBlocks-before.ReusedBlocks) / float64(max(after.TotalBlocks-before.TotalBlocks, 1))
	return r, nil
}

func cacheStats(d *deployment.Deployment) (sum standin.Stats) {
	for _, e := range d.Engines {
		s := e.Stats()
		sum.ReusedBlocks, sum.TotalBlocks = sum.ReusedBlocks+s.ReusedBlocks, sum.TotalBlocks+s.TotalBlocks
	}
	return sum
}

// routingLoad runs callers in closed loops, whose prompts share prefixes.
func routingLoad(ctx context.Context, d *deployment.Deployment, seed uint64, length time.Duration) routed {
	until := time.Now().Add(length)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: routingCallers}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var r routed
	var group sync.WaitGroup
	for i := range routingCallers {
		group.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			for time.Now().Before(until) && ctx.Err() == nil {
				c := completion(d, rng.Uint64()>>1, routingTokens)
				c.Prompt = sharedPrompt(rng.IntN(routingPrefixes), rng.Uint64())
				c.Instances, c.MaxAttempts, c.Client = d.AddressesFrom(i), 1, client
				first, err := streamTimed(ctx, c)
				mu.Lock()
				if err != nil || first == 0 {
					r.failed++
				} else {
					r.first = append(r.first, ms(first))
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return r
}

// sharedPrompt returns a prompt of a known prefix and two blocks of its own.
func sharedPrompt(prefix int, own uint64) string {
	part := func(name string, n uint64, blocks int) string {
		block := fmt.Sprintf("%s %020d ", name, n)
		return strings.Repeat(block+strings.Repeat(".", engine.BlockBytes-len(block)), blocks)
	}
	return part("rule book", uint64(prefix), routingPrefixBlocks) + part("question", own, 2)
}

// streamTimed reads an answer and returns the time from the request to the first token, 0 if there was none.
func streamTimed(ctx context.Context, c caller.Completion) (first time.Duration, err error) {
	begun := time.Now()
	c.OnToken = func(n int) {
		if n == 1 {
			first = time.Since(begun)
		}
	}
	_, err = c.Stream(ctx)
	return first, err
}
