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

// TestLoadsStayWithinLimits guards against loads that overload the weight store, or leave an
// entry without capacity, whatever the order of the responses.
func TestLoadsStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := order.Limits{
			MaxConcurrentLoads: rapid.IntRange(1, 4).Draw(t, "at_once"), LoadTime: time.Second, Grace: time.Second,
			Backoff: 100 * time.Millisecond, MaxBackoff: time.Second,
		}
		p := order.Planner{Limits: limits, FenceAcquired: start}
		desired := []order.DesiredState{
			{Entry: "a", LoadVersion: "v2", Deadline: start.Add(time.Minute), Engines: engines(rapid.IntRange(1, 6).Draw(t, "a"))},
			{Entry: "b", LoadVersion: "v2", Deadline: start.Add(time.Hour), Engines: engines(rapid.IntRange(1, 6).Draw(t, "b"))},
		}
		type load struct{ entry, engine int }
		loading := map[load]bool{}
		for step := range 60 {
			now := start.Add(time.Duration(step) * 100 * time.Millisecond)
			for l := range loading {
				if rapid.Bool().Draw(t, "loaded") {
					e := &desired[l.entry].Engines[l.engine]
					e.Versions = []string{"v1", "v2"}
					delete(loading, l)
				}
			}
			orders, _ := p.Plan(now, desired)
			require.True(t, step >= 10 || len(orders) == 0, "no order before the grace time has passed")
			for _, planned := range orders {
				entry := int(planned.Entry[0] - 'a')
				i := slices.IndexFunc(desired[entry].Engines, func(e order.Engine) bool { return e.Name == planned.Engine })
				if rapid.Bool().Draw(t, "refused") {
					p.HandleRefusal(now, planned)
					continue
				}
				require.False(t, loading[load{entry, i}], "load ordered twice")
				loading[load{entry, i}] = true
			}
			require.LessOrEqual(t, len(loading), limits.MaxConcurrentLoads, "too many loads for the weight store")
			for entry, state := range desired {
				notLoading := len(state.Engines)
				for l := range loading {
					if l.entry == entry {
						notLoading--
					}
				}
				require.Positive(t, notLoading, "all engines of an entry are loading")
			}
		}
	})
}

// TestEarlierDeadlineLoadsFirst guards against loads that delay those of an entry with an earlier deadline.
func TestEarlierDeadlineLoadsFirst(t *testing.T) {
	p := order.Planner{Limits: order.Limits{MaxConcurrentLoads: 2, LoadTime: 10 * time.Second, Backoff: time.Second, MaxBackoff: time.Second}, FenceAcquired: start}
	orders, warnings := p.Plan(start, []order.DesiredState{
		{Entry: "late", LoadVersion: "v2", Deadline: start.Add(time.Hour), Engines: engines(4)},
		{Entry: "soon", LoadVersion: "v2", Deadline: start.Add(15 * time.Second), Engines: engines(4)},
	})
	require.Len(t, orders, 2)
	require.Equal(t, "soon", orders[0].Entry)
	require.Equal(t, "soon", orders[1].Entry)
	require.Equal(t, []order.Warning{{Entry: "soon", Why: "loads_end_after_deadline", ExpectedEnd: start.Add(20 * time.Second)}}, warnings)
}

// TestUndesiredStateIsCorrected guards against an engine that stays in an undesired state after it
// has executed a late order of a previous sender.
func TestUndesiredStateIsCorrected(t *testing.T) {
	p := order.Planner{Limits: order.DefaultLimits(), FenceAcquired: start}
	list := engines(1)
	list[0].Versions, list[0].Role, list[0].WantedRole = []string{"v1", "v2"}, "prefill", "decode"
	orders, _ := p.Plan(start.Add(time.Minute), []order.DesiredState{{Entry: "a", UnloadVersion: "v2", Engines: list}})
	require.Equal(t, []order.PlannedOrder{
		{Entry: "a", Engine: "engine-0", Order: order.Order{Kind: order.Unload, Model: "a", Version: "v2"}},
		{Entry: "a", Engine: "engine-0", Order: order.Order{Kind: order.Role, Model: "a", Role: "decode"}},
	}, orders)
}

// TestRoleIsReadBack guards against roles that are ordered again although the engine reports
// them, not ordered again after a late order of a previous sender, or ordered where none is wanted.
func TestRoleIsReadBack(t *testing.T) {
	p := order.Planner{Limits: order.Limits{Grace: time.Second, Backoff: time.Second, MaxBackoff: 8 * time.Second}, FenceAcquired: start}
	list := engines(3)
	list[0].WantedRole, list[1].WantedRole = "decode", "prefill"
	ordered := func(second int) []string {
		orders, warnings := p.Plan(start.Add(time.Duration(second)*time.Second), []order.DesiredState{{Entry: "a", Engines: list}})
		require.Empty(t, warnings)
		var out []string
		for _, planned := range orders {
			require.Equal(t, order.Order{Kind: order.Role, Model: "a", Role: planned.Order.Role}, planned.Order)
			out = append(out, planned.Engine+" "+planned.Order.Role)
		}
		return out
	}
	require.Empty(t, ordered(0), "an order of the previous sender may still be in flight")
	require.Equal(t, []string{"engine-0 decode", "engine-1 prefill"}, ordered(1))
	list[0].Role = "decode"
	require.Equal(t, []string{"engine-1 prefill"}, ordered(2), "sent again until the engine reports the role")
	require.Empty(t, ordered(3), "not before its backoff has passed")
	list[1].Role = "prefill"
	require.Empty(t, ordered(10))
	list[1].Role = "decode"
	require.Equal(t, []string{"engine-1 prefill"}, ordered(11), "a late order is corrected")
	list[1].HasReport = false
	require.Empty(t, ordered(30), "an engine without a load report gets no order")
}

// TestRefusedLoadBacksOff guards against a sender that repeats a refused order without backoff.
func TestRefusedLoadBacksOff(t *testing.T) {
	p := order.Planner{Limits: order.Limits{MaxConcurrentLoads: 1, LoadTime: time.Second, Backoff: time.Second, MaxBackoff: 4 * time.Second}, FenceAcquired: start}
	var orderedAt []int
	for second := range 20 {
		now := start.Add(time.Duration(second) * time.Second)
		list := engines(2)
		list[1].Versions = []string{"v1", "v2"}
		orders, _ := p.Plan(now, []order.DesiredState{{Entry: "a", LoadVersion: "v2", Deadline: start.Add(time.Hour), Engines: list}})
		for _, planned := range orders {
			orderedAt = append(orderedAt, second)
			p.HandleRefusal(now, planned)
		}
	}
	require.Equal(t, []int{0, 1, 3, 7, 11, 15, 19}, orderedAt)
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
