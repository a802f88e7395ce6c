package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bambooferry.example/bambooferry/pkg/engine/policy"
	"bambooferry.example/bambooferry/pkg/engine/policy/spread"
)

// Guards against several instances that choose the same engine because each considers only its own
// requests.
func TestRemoteCountsAffectChoice(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	chosen, err := policy.New(spread.Name, 1)
	require.NoError(t, err)
	p := Pool{Policy: chosen}
	available := []AvailableTarget{{Name: "a", Slots: 8}, {Name: "b", Slots: 8}}
	p.SetRemoteCounts(now, "other", map[string]RequestCounts{"a": {Running: 1, Pending: 1}})
	for range 20 {
		name, ok := p.Choose(now, available, nil, nil)
		require.True(t, ok)
		require.Equal(t, "b", name)
	}
	c, ok := p.ChooseCandidate(now.Add(remoteCountsTTL+time.Second), available[:1], nil, nil)
	require.True(t, ok)
	require.Zero(t, c.Load, "counts that are not renewed must expire")
}

// Guards against wrong counts of local requests, which are sent to other instances.
func TestLocalCounts(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := Pool{}
	p.RecordSent(now, "a", nil)
	p.RecordSent(now, "a", nil)
	p.RecordFirstOutput("a")
	require.Equal(t, map[string]RequestCounts{"a": {Running: 2, Pending: 1}}, p.LocalCounts())
	p.RecordEnd(now, "a", RequestResult{}, time.Second)
	require.Equal(t, map[string]RequestCounts{"a": {Running: 1, Pending: 1}}, p.LocalCounts())
	p.RecordEnd(now, "a", RequestResult{}, time.Second)
	require.Empty(t, p.LocalCounts())
}

// Guards against sums of the other instances' counts that drift from the counts, by renewal, expiry or a target that an
// instance no longer names.
func TestRemoteSumsEqualTheCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := Pool{}, time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		last, at := map[string]map[string]RequestCounts{}, map[string]time.Time{}
		targets := []string{"a", "b", "c"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			instance := rapid.SampledFrom([]string{"i", "j", "k"}).Draw(t, "instance")
			counts := rapid.MapOf(rapid.SampledFrom(targets), rapid.Custom(func(t *rapid.T) RequestCounts {
				return RequestCounts{Running: rapid.IntRange(-2, 9).Draw(t, "running"), Pending: rapid.IntRange(0, 9).Draw(t, "pending")}
			})).Draw(t, "counts")
			if rapid.Bool().Draw(t, "renewed") {
				p.SetRemoteCounts(now, instance, counts)
				last[instance], at[instance] = counts, now
			}
			for _, name := range targets {
				want := RequestCounts{}
				for i, counts := range last {
					if now.Sub(at[i]) <= remoteCountsTTL {
						want.Running += counts[name].Running
						want.Pending += counts[name].Pending
					}
				}
				require.Equal(t, want, p.remoteTotal(now, name))
			}
		}
	})
}
