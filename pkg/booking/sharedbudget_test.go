package booking

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// countRetries lets all instances retry at once as often as the budget allows, and returns the
// number of retries of each.
func countRetries(t *testing.T, instances, requestsEach, rounds int, shared bool) []int {
	t.Helper()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	all := make([]*SharedRetryBudget, instances)
	for i := range all {
		all[i] = &SharedRetryBudget{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}
		for range requestsEach {
			all[i].RecordRequest(now)
		}
	}
	got := make([]int, instances)
	for range rounds {
		for i, b := range all {
			if b.AllowRetry(now, instances) {
				got[i]++
			}
		}
		if !shared {
			continue
		}
		for i, b := range all {
			for j, o := range all {
				if i != j {
					b.SetRemoteCounts(now, fmt.Sprint(j), o.LocalCounts(now))
				}
			}
		}
	}
	return got
}

// Guards against a stream that is aborted because its instance's own share of the retries is used
// up while all instances together have retries left.
func TestOneInstanceMayUseTheSharedBudget(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	b := &SharedRetryBudget{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}
	b.RecordRequest(now)
	for i := range 90 {
		b.SetRemoteCounts(now, fmt.Sprint(i), SendCounts{Requests: 3})
	}
	for range 10 {
		require.True(t, b.AllowRetry(now, 91))
	}
}

// Guards against more retries than targets can handle, also when instances do not receive each
// other's counts: together they stay within the ratio of the requests and the slack.
func TestAllInstancesStayWithinTheBudget(t *testing.T) {
	for _, shared := range []bool{true, false} {
		for _, instances := range []int{1, 9, 91} {
			sum := 0
			for _, n := range countRetries(t, instances, 3, 50, shared) {
				sum += n
			}
			if shared {
				require.LessOrEqual(t, float64(sum), 0.8*3*float64(instances)+150, "%d instances", instances)
			}
			require.Positive(t, sum)
		}
	}
}

// Guards against a window that drops counts too early or never.
func TestWindowSlides(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	b := &SharedRetryBudget{Ratio: 1, Slack: 0, Window: 10 * time.Second}
	for range 10 {
		b.RecordRequest(now)
	}
	require.Equal(t, SendCounts{Requests: 10}, b.LocalCounts(now.Add(8*time.Second)))
	require.True(t, b.AllowRetry(now.Add(8*time.Second), 1))
	require.Equal(t, SendCounts{Retries: 1}, b.LocalCounts(now.Add(12*time.Second)))
	require.Equal(t, SendCounts{}, b.LocalCounts(now.Add(time.Minute)))
	require.False(t, b.AllowRetry(now.Add(time.Minute), 1))
}
