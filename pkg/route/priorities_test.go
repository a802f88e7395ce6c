package route

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against admission control of a pool whose routes are all equally important, or against none where they differ.
func TestPrioritiesDiffer(t *testing.T) {
	weights := func(pools ...string) (list []PoolWeight) {
		for _, p := range pools {
			list = append(list, PoolWeight{Pool: p, Weight: 1})
		}
		return list
	}
	routes := []Route{
		{Host: "a", Prefix: "/", Priority: 0, PoolWeights: weights("p", "q")},
		{Host: "b", Prefix: "/", Priority: 2, PoolWeights: weights("p", "r")},
		{Host: "b", Prefix: "/x/", Priority: 2, PoolWeights: append(weights("r"), PoolWeight{Pool: "q"})},
	}
	table := NewTable(1, Limits{}, routes, nil, nil)
	for pool, want := range map[string]bool{"p": true, "q": false, "r": false, "s": false} {
		require.Equal(t, want, table.PrioritiesDiffer(pool), pool)
	}
}
