package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/engine/policy"
	"bambooferry.example/bambooferry/pkg/engine/policy/spread"
)

// Guards against several instances that choose the same engine because each knows only its own work.
func TestSharesOfOthersCount(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	chosen, err := policy.New(spread.Name, 1)
	require.NoError(t, err)
	p := Pool{Policy: chosen}
	open := []Open{{Name: "a", Slots: 8}, {Name: "b", Slots: 8}}
	p.Others(now, "other", map[string]Share{"a": {Running: 1, Pending: 1}})
	for range 20 {
		name, ok := p.Choose(now, open, nil, nil)
		require.True(t, ok)
		require.Equal(t, "b", name)
	}
	c, ok := p.Pick(now.Add(shareLife+time.Second), open[:1], nil, nil)
	require.True(t, ok)
	require.Zero(t, c.Load, "what is not renewed must expire")
}

// Guards against own work that is told wrongly to other instances.
func TestOwnShares(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := Pool{}
	p.Sent(now, "a", nil)
	p.Sent(now, "a", nil)
	p.Begun("a")
	require.Equal(t, map[string]Share{"a": {Running: 2, Pending: 1}}, p.Own())
	p.Ended(now, "a", Result{}, time.Second)
	require.Equal(t, map[string]Share{"a": {Running: 1, Pending: 1}}, p.Own())
	p.Ended(now, "a", Result{}, time.Second)
	require.Empty(t, p.Own())
}
