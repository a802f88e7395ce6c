package deployment_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/deployment"
	standin "bambooferry.example/bambooferry/internal/standin/engine"
)

// shareOfFirst drives a light load and returns the first engine's requests per request of a mean other engine.
func shareOfFirst(t *testing.T, d *deployment.Deployment, length time.Duration) float64 {
	before := make([]int, len(d.Engines))
	for i, e := range d.Engines {
		before[i] = e.Stats().Started
	}
	drive(t, 8, length, func(ctx context.Context, i int) {
		c := completion(d, uint64(i))
		c.Tokens, c.MaxAttempts = 6, 1
		_, _ = c.Stream(ctx)
	})
	first, others := 0, 0
	for i, e := range d.Engines {
		if n := e.Stats().Started - before[i]; i == 0 {
			first = n
		} else {
			others += n
		}
	}
	return float64(first*(len(d.Engines)-1)) / float64(others)
}

// Guards against a slow engine that keeps its full share, or does not get it back when it is quick again.
func TestSlowEngineGetsLessUntilItIsQuickAgain(t *testing.T) {
	d := start(t, 1, 4, nil)
	d.Engines[0].SetFaults(standin.Faults{Slowdown: 5})
	shareOfFirst(t, d, time.Second)
	slow := shareOfFirst(t, d, time.Second)
	require.Less(t, slow, 0.7, "share while slow")
	d.Engines[0].SetFaults(standin.Faults{})
	after := 0.0
	for range 12 {
		if after = shareOfFirst(t, d, 500*time.Millisecond); after > 0.8 {
			break
		}
	}
	t.Logf("share of a mean engine's traffic: %.2f while slow, %.2f afterwards", slow, after)
	require.Greater(t, after, 0.8, "share afterwards")
}
