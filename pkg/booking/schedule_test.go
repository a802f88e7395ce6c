package booking

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWriteSchedulerOrder guards against claims that wait behind results, and against a shard that
// is never picked.
func TestWriteSchedulerOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for name, c := range map[string]struct {
		tokens  float64
		demands []ShardDemand
		want    int
	}{
		"most claims first":               {5, []ShardDemand{{1, ago(20 * time.Millisecond)}, {3, ago(time.Millisecond)}}, 1},
		"the oldest of equals":            {5, []ShardDemand{{2, ago(time.Millisecond)}, {2, ago(20 * time.Millisecond)}}, 1},
		"a claim that waited half of it":  {5, []ShardDemand{{9, ago(time.Millisecond)}, {1, ago(41 * time.Millisecond)}}, 1},
		"claims before results":           {20, []ShardDemand{{0, ago(390 * time.Millisecond)}, {1, now}}, 1},
		"results that waited long":        {1, []ShardDemand{{0, ago(401 * time.Millisecond)}, {1, now}}, 0},
		"results alone, much left":        {20, []ShardDemand{{0, now}}, 0},
		"results alone, little left":      {10, []ShardDemand{{0, now}}, -1},
		"nothing left":                    {0.5, []ShardDemand{{4, ago(time.Second)}}, -1},
		"nothing waits":                   {20, nil, -1},
		"two shards have waited too long": {1, []ShardDemand{{1, ago(90 * time.Millisecond)}, {1, ago(95 * time.Millisecond)}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			scheduler := WriteScheduler{Spacing: 80 * time.Millisecond, Shards: 8, Burst: 3, tokens: c.tokens, lastRefill: now}
			got, wake := scheduler.Pick(now, c.demands)
			require.Equal(t, c.want, got)
			if got < 0 && len(c.demands) > 0 {
				require.True(t, wake.After(now))
				again, _ := scheduler.Pick(wake, c.demands)
				require.GreaterOrEqual(t, again, 0, "a write must be allowed at the wake time")
			}
		})
	}
}

// TestWriteSchedulerRateLimit guards against more writes than the key-value service allows, under
// any demand.
func TestWriteSchedulerRateLimit(t *testing.T) {
	scheduler, now, writes := WriteScheduler{Spacing: 80 * time.Millisecond, Shards: 32, Burst: 3}, time.Unix(1000, 0), 0
	const length = 10 * time.Second
	for end := now.Add(length); now.Before(end); now = now.Add(500 * time.Microsecond) {
		if i, _ := scheduler.Pick(now, []ShardDemand{{1, now}, {0, now.Add(-time.Minute)}}); i >= 0 {
			writes++
		}
	}
	const perSecond, saved = 400, 32 * 3
	require.LessOrEqual(t, writes, int(length/time.Second)*perSecond+saved+1)
	require.GreaterOrEqual(t, writes, int(length/time.Second)*perSecond)
}
