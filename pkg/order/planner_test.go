package order_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bambooferry.example/bambooferry/pkg/order"
)

var start = time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)

func engines(n int) []order.Engine {
	var list []order.Engine
	for i := range n {
		list = append(list, order.Engine{Name: fmt.Sprintf("engine-%d", i), HasReport: true, Versions: []string{"v1"}, Slots: 8, Running: 2})
	}
	return list
}

// TestLoadsStayWithinLimits guards against loads that overrun the store, or leave an
// entry without capacity, in whatever order answers come.
func TestLoadsStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := order.Limits{
			MaxConcurrentLoads: rapid.IntRange(1, 4).Draw(t, "at_once"), LoadTime: time.Second, Grace: time.Second,
			Backoff: 100 * time.Millisecond, MaxBackoff: time.Second,
		}
		p := order.Planner{Limits: limits, FenceAcquired: start}
		wants := []order.DesiredState{
			{Entry: "a", Load: "v2", Deadline: start.Add(time.Minute), Engines: engines(rapid.IntRange(1, 6).Draw(t, "a"))},
			{Entry: "b", Load: "v2", Deadline: start.Add(time.Hour), Engines: engines(rapid.IntRange(1, 6).Draw(t, "b"))},
		}
		type load struct{ entry, engine int }
		loading := map[load]bool{}
		for step := range 60 {
			now := start.Add(time.Duration(step) * 100 * time.Millisecond)
			for l := range loading {
				if rapid.Bool().Draw(t, "loaded") {
					e := &wants[l.entry].Engines[l.engine]
					e.Versions = []string{"v1", "v2"}
					delete(loading, l)
				}
			}
			actions, _ := p.Plan(now, wants)
			require.True(t, step >= 10 || len(actions) == 0, "no order before the grace has passed")
			for _, a := range actions {
				entry := int(a.Entry[0] - 'a')
				i := slices.IndexFunc(wants[entry].Engines, func(e order.Engine) bool { return e.Name == a.Engine })
				if rapid.Bool().Draw(t, "refused") {
					p.HandleRefusal(now, a)
					continue
				}
				require.False(t, loading[load{entry, i}], "ordered twice")
				loading[load{entry, i}] = true
			}
			require.LessOrEqual(t, len(loading), limits.MaxConcurrentLoads, "store overrun")
			for entry, w := range wants {
				left := len(w.Engines)
				for l := range loading {
					if l.entry == entry {
						left--
					}
				}
				require.Positive(t, left, "all engines of an entry load")
			}
		}
	})
}

// TestEarlierDeadlineLoadsFirst guards against loads that take the store from a more urgent change.
func TestEarlierDeadlineLoadsFirst(t *testing.T) {
	p := order.Planner{Limits: order.Limits{MaxConcurrentLoads: 2, LoadTime: 10 * time.Second, Backoff: time.Second, MaxBackoff: time.Second}, FenceAcquired: start}
	actions, warnings := p.Plan(start, []order.DesiredState{
		{Entry: "late", Load: "v2", Deadline: start.Add(time.Hour), Engines: engines(4)},
		{Entry: "soon", Load: "v2", Deadline: start.Add(15 * time.Second), Engines: engines(4)},
	})
	require.Len(t, actions, 2)
	require.Equal(t, "soon", actions[0].Entry)
	require.Equal(t, "soon", actions[1].Entry)
	require.Equal(t, []order.Warning{{Entry: "soon", Why: "loads_end_after_deadline", ExpectedEnd: start.Add(20 * time.Second)}}, warnings)
}

// TestUnwantedStateIsCorrected guards against late orders of an old sender that an engine obeyed.
func TestUnwantedStateIsCorrected(t *testing.T) {
	p := order.Planner{Limits: order.DefaultLimits(), FenceAcquired: start}
	list := engines(1)
	list[0].Versions, list[0].Role, list[0].WantedRole = []string{"v1", "v2"}, "prefill", "decode"
	actions, _ := p.Plan(start.Add(time.Minute), []order.DesiredState{{Entry: "a", Unload: "v2", Engines: list}})
	require.Equal(t, []order.PlannedOrder{
		{Entry: "a", Engine: "engine-0", Order: order.Order{Kind: order.Unload, Model: "a", Version: "v2"}},
		{Entry: "a", Engine: "engine-0", Order: order.Order{Kind: order.Role, Model: "a", Role: "decode"}},
	}, actions)
}

// TestRoleIsReadBack guards against roles that are ordered again although the engine has
// them, not ordered again after a late order of an old sender, or ordered where none is asked for.
func TestRoleIsReadBack(t *testing.T) {
	p := order.Planner{Limits: order.Limits{Grace: time.Second, Backoff: time.Second, MaxBackoff: 8 * time.Second}, FenceAcquired: start}
	list := engines(3)
	list[0].WantedRole, list[1].WantedRole = "decode", "prefill"
	ordered := func(s int) []string {
		actions, warnings := p.Plan(start.Add(time.Duration(s)*time.Second), []order.DesiredState{{Entry: "a", Engines: list}})
		require.Empty(t, warnings)
		var out []string
		for _, a := range actions {
			require.Equal(t, order.Order{Kind: order.Role, Model: "a", Role: a.Order.Role}, a.Order)
			out = append(out, a.Engine+" "+a.Order.Role)
		}
		return out
	}
	require.Empty(t, ordered(0), "an order of the sender before may still be under way")
	require.Equal(t, []string{"engine-0 decode", "engine-1 prefill"}, ordered(1))
	list[0].Role = "decode"
	require.Equal(t, []string{"engine-1 prefill"}, ordered(2), "tried again until it is read back")
	require.Empty(t, ordered(3), "with backoff")
	list[1].Role = "prefill"
	require.Empty(t, ordered(10))
	list[1].Role = "decode"
	require.Equal(t, []string{"engine-1 prefill"}, ordered(11), "a late order is corrected")
	list[1].HasReport = false
	require.Empty(t, ordered(30), "an engine that gives no report gets no order")
}

// TestRefusedLoadBacksOff guards against a sender that hammers an engine or the store.
func TestRefusedLoadBacksOff(t *testing.T) {
	p := order.Planner{Limits: order.Limits{MaxConcurrentLoads: 1, LoadTime: time.Second, Backoff: time.Second, MaxBackoff: 4 * time.Second}, FenceAcquired: start}
	var at []int
	for s := range 20 {
		now := start.Add(time.Duration(s) * time.Second)
		list := engines(2)
		list[1].Versions = []string{"v1", "v2"}
		actions, _ := p.Plan(now, []order.DesiredState{{Entry: "a", Load: "v2", Deadline: start.Add(time.Hour), Engines: list}})
		for _, a := range actions {
			at = append(at, s)
			p.HandleRefusal(now, a)
		}
	}
	require.Equal(t, []int{0, 1, 3, 7, 11, 15, 19}, at)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"fence":1,"kind":"load","model":"m","version":"v2"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if o, err := order.Decode(data); err == nil {
			require.Positive(t, o.Fence)
			require.NotEmpty(t, o.Model)
		}
	})
}
