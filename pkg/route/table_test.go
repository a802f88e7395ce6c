package route

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against pools that count as contended because of calls or of routes without a workspace.
func TestPrioritiesDifferBetweenStreamsOnly(t *testing.T) {
	stream := func(priority int, public bool, pool string) Route {
		return Route{Host: "h", Prefix: "/", Kind: Streaming, Priority: priority, Public: public, PoolWeights: []PoolWeight{{Pool: pool, Weight: 1}}}
	}
	call := Route{Host: "h", Prefix: "/", Kind: Repeatable, Priority: 2, PoolWeights: []PoolWeight{{Pool: "p", Weight: 1}}}
	drained := stream(2, false, "p")
	drained.PoolWeights[0].Weight = 0
	for name, c := range map[string]struct {
		routes []Route
		want   bool
	}{
		"none":       {},
		"one":        {routes: []Route{stream(1, false, "p")}},
		"equal":      {routes: []Route{stream(1, false, "p"), stream(1, false, "p")}},
		"different":  {routes: []Route{stream(1, false, "p"), stream(0, false, "p")}, want: true},
		"public":     {routes: []Route{stream(1, false, "p"), stream(0, true, "p")}},
		"call":       {routes: []Route{stream(1, false, "p"), call}},
		"other pool": {routes: []Route{stream(1, false, "p"), stream(0, false, "q")}},
		"shared with another pool": {routes: []Route{
			{Host: "a", Prefix: "/", Kind: Streaming, PoolWeights: []PoolWeight{{Pool: "p", Weight: 1}, {Pool: "q", Weight: 1}}},
			{Host: "b", Prefix: "/", Kind: Streaming, Priority: 2, PoolWeights: []PoolWeight{{Pool: "p", Weight: 1}, {Pool: "r", Weight: 1}}},
		}, want: true},
		"without weight": {routes: []Route{stream(1, false, "p"), drained}},
	} {
		require.Equal(t, c.want, NewTable(1, Limits{}, c.routes, nil, nil).PrioritiesDiffer("p"), name)
	}
}
