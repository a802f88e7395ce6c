package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/gossip"
	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/scaling"
)

// lossPeriod is the time between losses of a data centre.
const lossPeriod = 6500 * time.Millisecond

// lossesReported returns the targets that are reported as lost at a time: of each data centre in turn, for 1.2 s in each
// lossPeriod. Losses are noticed 0.3 to 1.5 s after their begin, and repeated for lossReportWindow.
func lossesReported(at time.Duration, each int) []string {
	dc, since := string("abc"[int(at/lossPeriod)%3]), at%lossPeriod
	var list []string
	for i := range each * 9 / 10 {
		noticed := 300*time.Millisecond + time.Duration(i%13)*100*time.Millisecond
		if since >= noticed && since <= noticed+lossReportWindow {
			list = append(list, fmt.Sprintf("%s%d", dc, i))
		}
	}
	return list
}

// Guards against losses of data centres that prevent each step down, because their repeated reports count as new losses or
// the time in which less was needed begins again with each; and against a number that does not bear such a loss.
func TestRepeatedLossesDelayLowering(t *testing.T) {
	const each, perSecond, needed = 40, 20, 40
	r := &TargetRegistry{RetryWindow: 10 * time.Second, Instances: func() int { return 4 }}
	model := &route.EngineSpec{Slots: 32}
	limits := &route.ScalingSpec{Min: 1, Max: each, BootTime: 8 * time.Second}
	table := route.NewTable(1, route.Limits{}, nil, []route.Pool{{Name: "p", Model: model, Scaling: limits}}, nil)
	desired := map[string]int{"a": each, "b": each, "c": each}
	update := func(now time.Time) {
		var list []route.Target
		for dc, n := range desired {
			for i := range n {
				list = append(list, route.Target{ID: fmt.Sprintf("%s%d", dc, i), Pool: "p", DataCentre: dc, Slots: 32})
			}
		}
		r.Update(now, table, map[string][]route.Target{"p": list})
	}
	update(t0)
	p := r.pool("p")
	p.demand.observeReading(time.Second)
	plan := scaling.Plan{Pool: "p", Limits: scaling.Limits{Min: limits.Min, Max: limits.Max, BootTime: limits.BootTime}}
	lostAt, orders := time.Duration(-time.Hour), 0
	known := map[string]bool{}
	for at := time.Duration(0); at < 40*time.Second; at += 100 * time.Millisecond {
		now, silent := t0.Add(at), lossesReported(at, each)
		for _, id := range silent {
			if !known[id] {
				lostAt = at
			}
		}
		clear(known)
		for _, id := range silent {
			known[id] = true
		}
		for _, instance := range []string{"i1", "i2"} {
			r.ApplyRemoteProgress(now, instance, gossip.Progress{
				AttemptCounts: map[string]booking.SendCounts{"p": {Requests: perSecond * 10 / 2}}, SilentTargets: silent,
			})
		}
		if at%(500*time.Millisecond) != 0 {
			continue
		}
		in := r.ScalingInputs(now)[0]
		for _, o := range plan.Step(now, in.Demand, in.Supply, in.View) {
			require.Less(t, o.Desired, desired[o.DataCentre])
			require.GreaterOrEqual(t, at-lostAt, 3*time.Second, "order at %v", at)
			require.GreaterOrEqual(t, at%lossPeriod, 1200*time.Millisecond, "a data centre is lost at %v", at)
			plan.RecordAccepted(o, 1)
			desired[o.DataCentre] = o.Desired
			orders++
		}
		update(now)
		total := desired["a"] + desired["b"] + desired["c"]
		require.GreaterOrEqual(t, total, needed)
		require.GreaterOrEqual(t, float64(total-max(desired["a"], desired["b"], desired["c"])), perSecond/0.75-1e-6)
	}
	t.Logf("%d orders, at the end %v", orders, desired)
	require.LessOrEqual(t, desired["a"]+desired["b"]+desired["c"], 3*each/2, "three steps down or more in each data centre")
}
