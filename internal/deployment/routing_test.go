package deployment_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/deployment"
	standin "bambooferry.example/bambooferry/internal/standin/engine"
)

// relativeLoadOfFirst runs a light load and returns the first engine's number of requests divided by the
// mean number of the other engines.
func relativeLoadOfFirst(t *testing.T, d *deployment.Deployment, length time.Duration) float64 {
	before := make([]int, len(d.Engines))
	for i, e := range d.Engines {
		before[i] = e.Stats().Started
	}
	runCallers(t, 8, length, func(ctx context.Context, i int) {
		c := completion(d, uint64(i))
		c.Tokens, c.MaxAttempts = 6, 1
		_, _ = c.Stream(ctx)
	})
	first, others := 0, 0
	for i, e := range d.Engines {
		if started := e.Stats().Started - before[i]; i == 0 {
			first = started
		} else {
			others += started
		}
	}
	return float64(first*(len(d.Engines)-1)) / float64(others)
}

// Guards against a slow engine that keeps its full share, or does not regain it when it is fast again.
func TestSlowEngineGetsLessUntilItIsQuickAgain(t *testing.T) {
	d := startDeployment(t, 1, 4, nil)
	d.Engines[0].SetFaults(standin.Faults{Slowdown: 5})
	relativeLoadOfFirst(t, d, time.Second)
	slow := relativeLoadOfFirst(t, d, time.Second)
	require.Less(t, slow, 0.7, "share while slow")
	d.Engines[0].SetFaults(standin.Faults{})
	recovered := 0.0
	for range 12 {
		if recovered = relativeLoadOfFirst(t, d, 500*time.Millisecond); recovered > 0.8 {
			break
		}
	}
	t.Logf("share of a mean engine's traffic: %.2f while slow, %.2f afterwards", slow, recovered)
	require.Greater(t, recovered, 0.8, "share afterwards")
}
