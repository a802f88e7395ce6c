package booking

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against counts that are cleared, so that the budget forgets its retries, because a concurrent caller has taken its
// time before another one and comes after it.
func TestEarlierTimeKeepsTheCounts(t *testing.T) {
	b := &SharedRetryBudget{Ratio: 0.5, Slack: 10, Window: 10 * time.Second}
	now := time.Unix(100, 0)
	for range 50 {
		b.RecordRequest(now)
	}
	before := b.LocalCounts(now)
	require.NotZero(t, before.Requests)
	require.Equal(t, before, b.LocalCounts(now.Add(-time.Millisecond)))
	require.Equal(t, before, b.LocalCounts(now))
}
