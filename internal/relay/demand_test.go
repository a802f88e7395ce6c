package relay

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/gossip"
	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/scaling"
	"bambooferry.example/bambooferry/pkg/version"
)

func scaledRegistry(instances int, model *route.EngineSpec) *TargetRegistry {
	r := &TargetRegistry{RetryWindow: 10 * time.Second, Instances: func() int { return instances }}
	table := route.NewTable(1, route.Limits{}, nil, []route.Pool{
		{Name: "p", Model: model, Scaling: &route.ScalingSpec{Min: 1, Max: 9, BootTime: time.Second}}, {Name: "other", Model: model},
	}, nil)
	r.Update(t0, table, map[string][]route.Target{"p": {
		{ID: "a1", Pool: "p", DataCentre: "a", Slots: 12},
		{ID: "a2", Pool: "p", DataCentre: "a", Slots: 12},
		{ID: "a3", Pool: "p", DataCentre: "a", Slots: 12},
		{ID: "b1", Pool: "p", DataCentre: "b", Slots: 12},
		{ID: "b2", Pool: "p", DataCentre: "b", Slots: 12, Leaving: true},
	}})
	return r
}

// Guards against a size by this instance's own requests, and by the news of instances that are gone.
func TestScalingInputsCoverAllInstances(t *testing.T) {
	r := scaledRegistry(4, &route.EngineSpec{Slots: 12})
	require.True(t, r.HasScaled())
	p := r.pool("p")
	now := t0
	for range 20 {
		p.recordRequest(now)
		now = now.Add(500 * time.Millisecond)
	}
	in := r.ScalingInputs(now)
	require.Len(t, in, 1, "a pool without limits is not scaled")
	require.True(t, in[0].View.Stale)
	require.True(t, in[0].View.CostUnknown)

	remote := gossip.Progress{
		AttemptCounts: map[string]booking.SendCounts{"p": {Requests: 30}},
		InProgress:    map[string]engine.RequestCounts{"a1": {Running: 3, Pending: 1}, "b2": {Running: 2}, "elsewhere": {Running: 50}},
	}
	for _, instance := range []string{"i1", "i2"} {
		r.ApplyRemoteProgress(now, instance, remote)
	}
	_, _, ok := p.chooseTarget(now, "a", targetCriteria{preferredTarget: "b1"})
	require.True(t, ok)
	p.demand.observeReading(time.Second)
	in = r.ScalingInputs(now)
	require.False(t, in[0].View.Stale)
	require.False(t, in[0].View.CostUnknown)
	require.InDelta(t, 8, in[0].Demand.PerSecond, 0.3)
	require.Equal(t, []int{11, 3, 12}, []int{in[0].Demand.InProgress, in[0].Demand.Pending, in[0].Demand.Slots})
	require.Equal(t, scaling.Supply{"a": {Present: 3}, "b": {Present: 1, Leaving: 1}}, in[0].Supply)

	p.losses.recordLocal(now, "a1", true)
	p.losses.recordLocal(now, "a2", true)
	r.SetSplit("p", version.Split{Change: 1, Version: "v2", Limited: true})
	in = r.ScalingInputs(now.Add(time.Second))
	require.Equal(t, scaling.DataCentre{Present: 3, Lost: 2, Failing: true, SinceLoss: time.Second}, in[0].Supply["a"])
	require.True(t, in[0].View.Changing)
	require.False(t, in[0].View.Stale)
	in = r.ScalingInputs(now.Add(newsTTL + time.Millisecond))
	require.True(t, in[0].View.Stale, "the news of the others is too old")
}

// Guards against a pool of plain calls that is sized by this instance's calls alone, since others do not exchange what
// they have in progress there.
func TestScalingInputsOfPlainCalls(t *testing.T) {
	r := scaledRegistry(2, nil)
	p := r.pool("p")
	for range 100 {
		p.recordRequest(t0)
	}
	r.ApplyRemoteProgress(t0, "i1", gossip.Progress{AttemptCounts: map[string]booking.SendCounts{"p": {Requests: 1000}}})
	p.recordEnded(t0, p.targets[0], false, engine.RequestResult{}, false, 100*time.Millisecond)
	in := r.ScalingInputs(t0.Add(9 * time.Second))[0]
	require.Equal(t, 11, in.Demand.InProgress)
	require.Zero(t, in.Demand.ReadingTime)
	require.False(t, in.View.CostUnknown)
}

// Guards against the wait for other prompts in the estimate of the reading time.
func TestReadingTimeIsALowQuantile(t *testing.T) {
	d := demand{}
	for i := range 600 {
		took := time.Second
		if i%2 == 1 {
			took = 3 * time.Second
		}
		d.observeReading(took)
	}
	require.InDelta(t, 1, d.readingTime.Seconds(), 0.1)
	for range 60 {
		d.observeReading(500 * time.Millisecond)
	}
	require.InDelta(t, 0.5, d.readingTime.Seconds(), 0.05)
}

// Guards against a reading time that is never measured, or measured where a part of the prompt had been read before.
func TestStreamsTellTheReadingTime(t *testing.T) {
	const reading = 120 * time.Millisecond
	handle := func(c net.Conn, r *http.Request, _ string) bool {
		writeStreamHeader(c, r)
		time.Sleep(reading)
		if r.Header.Get("After") == "" {
			writeStreamEvents(c, 1, 9, true)
		} else {
			writeStreamEvents(c, 4, 9, true)
		}
		return true
	}
	tr := startRelay(t, startStub(t, "e1", handle))
	p := tr.relay.Targets.pool("p")
	get := func(path string, headers ...string) time.Duration {
		require.Equal(t, http.StatusOK, tr.request("POST", path, "prompt", headers...).status)
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.demand.readingTime
	}
	require.Zero(t, get("/draft/1"), "the pool is not scaled")
	p.mu.Lock()
	p.demand.spec = &route.ScalingSpec{Min: 1, Max: 2, BootTime: time.Second}
	p.mu.Unlock()
	require.Zero(t, get("/draft/2", "After", "3"))
	require.InDelta(t, reading.Seconds(), get("/draft/3").Seconds(), 0.1)
}
