package measure

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRateBound guards against claiming a rate that the number of runs does not support.
func TestRateBound(t *testing.T) {
	require.InDelta(t, 0.00994, rateUpperBound(0, 300), 0.0001, "300 runs do not show 1 in 1,000")
	require.Greater(t, rateUpperBound(0, 2994), maxFalseRollbackRate)
	require.Less(t, rateUpperBound(0, 2995), maxFalseRollbackRate)
	require.Greater(t, rateUpperBound(1, 3000), maxFalseRollbackRate)
	// The bound for 4 of 10,000 is 9.15 in 10,000.
	require.InDelta(t, 0.000915, rateUpperBound(4, 10_000), 0.000001)
}
