package version_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bambooferry.example/bambooferry/pkg/version"
)

// TestAllowancesStayWithinTheLimit guards against instances that together send more to a version than its limit allows.
func TestAllowancesStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := version.ExposureLimit{Share: 0.1, Slack: 50}
		n := rapid.IntRange(1, 300).Draw(t, "instances")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		list := make([]*version.Allowance, n)
		for i := range list {
			list[i] = version.NewAllowance(limit.Part(n, i, true), uint64(i))
		}
		weights := rapid.IntRange(1, 4).Draw(t, "skew")
		exposed := 0
		for total := 1; total <= 3000; total++ {
			u := 1.0
			for range weights {
				u *= rng.Float64()
			}
			a, share := list[int(u*float64(n))], []float64{0.05, 0.3, 1}[rng.IntN(3)]
			usesNew := a.Allows(share)
			a.Choose(share, true, usesNew)
			a.CountSent()
			if usesNew {
				exposed++
			}
			require.LessOrEqual(t, float64(exposed), limit.Allowed(float64(total)), "of %d", total)
		}
	})
}

// TestAllowanceKeepsItsShare guards against a share that differs from the one that was decided.
func TestAllowanceKeepsItsShare(t *testing.T) {
	for _, share := range []float64{0.01, 0.1, 0.37, 1} {
		a, chosen, runs, run := version.NewAllowance(version.ExposureLimit{Slack: 1e6}, 3), 0, map[int]int{}, 0
		for range 10000 {
			usesNew := a.Allows(share)
			a.Choose(share, true, usesNew)
			run++
			if usesNew {
				chosen++
				runs[run]++
				run = 0
			}
		}
		require.InDelta(t, share*10000, chosen, 2)
		if share == 0.1 {
			require.Greater(t, len(runs), 10, "the choice has no period")
		}
	}
}
