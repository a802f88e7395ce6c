package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/engine/policy"
	"bambooferry.example/bambooferry/pkg/engine/policy/expected"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestPool(t *testing.T) *Pool {
	t.Helper()
	p, err := policy.New(expected.Name, 7)
	require.NoError(t, err)
	return &Pool{Policy: p}
}

func availableTargets(n int) []AvailableTarget {
	var list []AvailableTarget
	for i := range n {
		list = append(list, AvailableTarget{Name: fmt.Sprint("engine-", i), Slots: 8})
	}
	return list
}

// chosenShares chooses many times and returns each target's share of the choices.
func chosenShares(p *Pool, now time.Time, list []AvailableTarget, n int) map[string]float64 {
	got := map[string]float64{}
	for range n {
		name, _ := p.Choose(now, list, nil, nil)
		got[name] += 1 / float64(n)
	}
	return got
}

// Guards against a load report that hides requests sent after it was taken.
func TestStaleLoadReportIsCorrectedByLocalRequests(t *testing.T) {
	p := newTestPool(t)
	for i := range 3 {
		p.RecordSent(t0.Add(time.Duration(i)*time.Second), "engine-0", nil)
	}
	p.SetLoad("engine-0", Load{At: t0.Add(500 * time.Millisecond), Running: 4, Slots: 8})
	require.EqualValues(t, 6, p.target("engine-0").estimatedLoad(t0.Add(3*time.Second)))
	p.RecordEnd(t0.Add(3*time.Second), "engine-0", RequestResult{}, time.Second)
	require.EqualValues(t, 5, p.target("engine-0").estimatedLoad(t0.Add(3*time.Second)))
	p.SetLoad("engine-0", Load{At: t0.Add(time.Millisecond), Running: 8})
	require.EqualValues(t, 5, p.target("engine-0").estimatedLoad(t0.Add(3*time.Second)), "an older report must change nothing")
}

// Guards against a slow target that keeps its full share, or gets no requests at all.
func TestSlowTargetLosesWeightAndRecovers(t *testing.T) {
	p := newTestPool(t)
	for range 200 {
		for _, o := range availableTargets(6) {
			r := RequestResult{FirstTokenRatio: 1, MeanTokenGap: 10 * time.Millisecond}
			if o.Name == "engine-0" {
				r = RequestResult{FirstTokenRatio: 6, MeanTokenGap: 10 * time.Millisecond}
			}
			p.RecordEnd(t0, o.Name, r, time.Second)
		}
	}
	share := chosenShares(p, t0, availableTargets(6), 6000)["engine-0"]
	require.Less(t, share, 0.10)
	require.Greater(t, share, 0.001)
	for range 100 {
		p.RecordEnd(t0, "engine-0", RequestResult{FirstTokenRatio: 1, MeanTokenGap: 10 * time.Millisecond}, time.Second)
	}
	require.InDelta(t, 1.0/6, chosenShares(p, t0, availableTargets(6), 6000)["engine-0"], 0.04)
}

// Guards against a common cause that takes almost all targets of the pool out of use.
func TestLowWeightsAreCapped(t *testing.T) {
	p := newTestPool(t)
	for range 200 {
		for i, o := range availableTargets(6) {
			p.RecordEnd(t0, o.Name, RequestResult{Failed: i < 5}, time.Second)
		}
	}
	low := 0
	for _, w := range p.Weights(t0) {
		if w < healthyWeight {
			low++
		}
	}
	require.Equal(t, 3, low)
}

// Guards against a target that is retried too often while it is down, or overloaded when it
// recovers.
func TestRecoveredTargetIsLoadedGradually(t *testing.T) {
	p := newTestPool(t)
	p.RecordEnd(t0, "engine-0", RequestResult{Unreachable: true}, 0)
	require.Zero(t, chosenShares(p, t0.Add(100*time.Millisecond), availableTargets(4), 400)["engine-0"])
	back := t0.Add(300 * time.Millisecond)
	p.RecordEnd(back, "engine-0", RequestResult{FirstTokenRatio: 1}, time.Second)
	early := chosenShares(p, back, availableTargets(4), 4000)["engine-0"]
	late := chosenShares(p, back.Add(rampTime), availableTargets(4), 4000)["engine-0"]
	require.Less(t, early, 0.10)
	require.InDelta(t, 0.25, late, 0.06)
}

// Guards against refusing a request when only an avoided or unreachable target is left.
func TestOnlyTargetIsChosenEvenIfAvoided(t *testing.T) {
	p := newTestPool(t)
	p.RecordEnd(t0, "engine-0", RequestResult{Unreachable: true}, 0)
	name, ok := p.Choose(t0, availableTargets(1), nil, []string{"engine-0"})
	require.True(t, ok)
	require.Equal(t, "engine-0", name)
	_, ok = p.Choose(t0, nil, nil, nil)
	require.False(t, ok)
}

// Guards against cache events that are trusted after they are out of date, or after a gap.
func TestCachedPrefixIsTrustedLessWithAgeAndGaps(t *testing.T) {
	blocks := []uint64{1, 2, 3, 4}
	p := newTestPool(t)
	p.prefillSeconds = 0.1
	p.ApplyCacheEvents("engine-2", []CacheEvent{{Sequence: 1, At: t0, Block: 1}, {Sequence: 2, At: t0, Block: 2}, {Sequence: 3, At: t0, Block: 3}, {Sequence: 4, At: t0, Block: 4}})
	require.InDelta(t, 1, p.CachedShare(t0, "engine-2", blocks), 0.01)
	name, _ := p.Choose(t0, availableTargets(6), blocks, nil)
	require.Equal(t, "engine-2", name)
	require.Less(t, p.CachedShare(t0.Add(time.Minute), "engine-2", blocks), 0.2)
	p.ApplyCacheEvents("engine-2", []CacheEvent{{Sequence: 9, At: t0.Add(time.Second), Block: 9}})
	require.InDelta(t, gapTrust, p.CachedShare(t0, "engine-2", blocks), 0.01)
	p.ApplyCacheEvents("engine-2", []CacheEvent{{Sequence: 10, At: t0.Add(time.Second), Block: 2, Dropped: true}})
	require.InDelta(t, gapTrust/4, p.CachedShare(t0, "engine-2", blocks), 0.01)
}

// Guards against memory use that grows with the number of prompts.
func TestPrefixesAreBounded(t *testing.T) {
	p := &prefixCache{}
	for i := range uint64(3 * maxCachedBlocks) {
		p.recordPrompt(t0.Add(time.Duration(i)), []uint64{i})
	}
	require.LessOrEqual(t, len(p.blocks), maxCachedBlocks)
}

// Guards against equal block hashes of prompts that differ before the block.
func TestBlocksCoverThePrefix(t *testing.T) {
	long := string(make([]byte, 3*BlockBytes))
	a := BlockHashes("m", "v1", "", long, 10)
	require.Len(t, a, 3)
	require.NotEqual(t, a, BlockHashes("m", "v2", "", long, 10))
	b := BlockHashes("m", "v1", "", "x"+long[1:], 10)
	require.NotEqual(t, a[2], b[2])
	require.Len(t, BlockHashes("m", "v1", "", long, 2), 2)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{25, 100} {
		b.Run(fmt.Sprint(n, "_targets"), func(b *testing.B) {
			pol, _ := policy.New(expected.Name, 1)
			p, list := &Pool{Policy: pol}, availableTargets(n)
			blocks := make([]uint64, 64)
			for i := range blocks {
				blocks[i] = uint64(i)
			}
			b.ReportAllocs()
			for b.Loop() {
				name, _ := p.Choose(t0, list, blocks, nil)
				p.RecordSent(t0, name, blocks[:8])
				p.RecordEnd(t0, name, RequestResult{FirstTokenRatio: 1}, time.Second)
			}
		})
	}
}

// Guards against a predicted choice that ignores the predictions, or uses a target that is avoided or unreachable.
func TestChoosePredicted(t *testing.T) {
	p := newTestPool(t)
	p.PredictionPolicy = policy.Func(func(_ time.Time, list []policy.Candidate) int {
		best := 0
		for i := range list {
			if list[i].Predict(&list[i]).Finish < list[best].Predict(&list[best]).Finish {
				best = i
			}
		}
		return best
	})
	predict := func(c *policy.Candidate) policy.Prediction {
		return policy.Prediction{Finish: time.Duration(c.Name[len(c.Name)-1])}
	}
	chosen := func(avoid ...string) string {
		c, ok := p.ChoosePredicted(t0, availableTargets(3), avoid, predict)
		require.True(t, ok)
		return c.Name
	}
	require.Equal(t, "engine-0", chosen())
	p.RecordEnd(t0, "engine-0", RequestResult{Unreachable: true}, 0)
	require.Equal(t, "engine-1", chosen())
	require.Equal(t, "engine-2", chosen("engine-1"))
	require.Equal(t, "engine-0", chosen("engine-1", "engine-2"))
	_, ok := p.ChoosePredicted(t0, nil, nil, predict)
	require.False(t, ok)
}
