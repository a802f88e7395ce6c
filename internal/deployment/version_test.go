package deployment_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/caller"
	"bambooferry.example/bambooferry/internal/deployment"
	"bambooferry.example/bambooferry/internal/platform"
	"bambooferry.example/bambooferry/internal/server"
	standin "bambooferry.example/bambooferry/internal/standin/engine"
	standinplatform "bambooferry.example/bambooferry/internal/standin/platform"
	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/order"
	"bambooferry.example/bambooferry/pkg/version"
)

// events is a buffer that several instances write to.
type events struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (e *events) Write(p []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.b.Write(p)
}

func (e *events) lines(kind string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []string
	for l := range strings.Lines(e.b.String()) {
		if strings.Contains(l, `"kind":"`+kind+`"`) {
			list = append(list, l)
		}
	}
	return list
}

// trial is a deployment whose model's traffic is to move to v2, under load.
type trial struct {
	*deployment.Deployment
	t      *testing.T
	events *events
	sent   atomic.Int64
	stop   context.CancelFunc
	group  sync.WaitGroup
}

const trialWait = 60 * time.Second

func startTrial(t *testing.T, beside bool) *trial { return startTrialWith(t, beside, nil) }

func startTrialWith(t *testing.T, beside bool, store func(int, *platform.Client) (server.Store, server.Leaser)) *trial {
	return startTrialOf(t, 3, beside, store)
}

func startTrialOf(t *testing.T, instances int, beside bool, store func(int, *platform.Client) (server.Store, server.Leaser)) *trial {
	tr := &trial{t: t, events: &events{}}
	e := deployment.DefaultEngine()
	e.FirstToken, e.TokenInterval, e.Slots, e.MaxRequests = 5*time.Millisecond, time.Millisecond, 32, 64
	e.Orders = standin.Orders{LoadTime: 300 * time.Millisecond, Store: &standin.WeightStore{MaxConcurrent: 2}}
	if beside {
		e.Versions = []string{"v1", "v2"}
	}
	limits := version.DefaultLimits()
	limits.MinDwell, limits.KeepWarm = 200*time.Millisecond, 3*time.Second
	var err error
	tr.Deployment, err = deployment.Start(t.Context(), deployment.Config{
		Instances: instances, Engines: 4, EngineTemplate: e, Limits: server.DefaultLimits(), Events: tr.events, VersionLimits: limits, StoreFor: store,
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	tr.stop = cancel
	for i := range 9 {
		tr.group.Go(func() { tr.load(ctx, i) })
	}
	t.Cleanup(func() { cancel(); tr.group.Wait(); tr.Close() })
	return tr
}

// load sends one short completion after another.
func (tr *trial) load(ctx context.Context, n int) {
	for i := 0; ctx.Err() == nil; i++ {
		c := caller.Completion{
			APIKey: deployment.APIKey, Model: deployment.ModelName, Prompt: fmt.Sprintf("caller %d", n), Tokens: 12, Seed: uint64(i),
			Instances: tr.AddressesFrom(n), MaxAttempts: 3,
		}
		_, _ = c.Stream(ctx)
		tr.sent.Add(1)
		// Each request opens two connections, and a closed one holds its port for a minute:
		// at several hundred requests a second the machine runs out of ports.
		time.Sleep(70 * time.Millisecond)
	}
}

func (tr *trial) view(i int) server.ChangeView {
	views, _ := server.VersionChanges.Get(tr.Instances[i].Board)
	return views[deployment.ModelName]
}

func (tr *trial) state(i int) version.State { return tr.view(i).Record.State }

// await waits until the given instances see a state.
func (tr *trial) await(s version.State, instances ...int) {
	tr.t.Helper()
	require.Eventually(tr.t, func() bool {
		for _, i := range instances {
			if tr.state(i) != s {
				return false
			}
		}
		return true
	}, trialWait, 10*time.Millisecond, "state %s; seen by the first %+v", s, tr.view(instances[0]).Record)
}

func (tr *trial) fault(f standin.Faults) {
	for _, e := range tr.Engines {
		e.SetFaults(f)
	}
}

// share reports which part of new requests an instance would send to the new version.
func (tr *trial) share(i int) float64 {
	d, _ := server.Catalogue.Get(tr.Instances[i].Board)
	n := 0
	for k := range 1000 {
		if tr.Instances[i].VersionFor(time.Now(), d.Entry(deployment.ModelName), fmt.Sprint(k)) == "v2" {
			n++
		}
	}
	return float64(n) / 1000
}

// decider returns the index of the instance that decides.
func (tr *trial) decider() int {
	for i, in := range tr.Instances {
		if in.ID == tr.view(0).Record.Decider {
			return i
		}
	}
	tr.t.Fatal("nobody decides")
	return 0
}

// TestGoodVersionMoves guards against good versions that miss their deadline, with
// targets of the new version and with engines that are ordered to load it.
func TestGoodVersionMoves(t *testing.T) {
	for name, from := range map[string]int{"targets beside": 2, "engines ordered": 99} {
		t.Run(name, func(t *testing.T) {
			tr := startTrial(t, from == 2)
			require.NoError(t, tr.ChangeModelVersion(time.Now().Add(15*time.Second), 0.2, from))
			tr.await(version.Done, 0, 1, 2)
			require.False(t, tr.view(0).Record.StateStart.After(tr.view(0).Record.Deadline))
			tr.await(version.Closed, 0, 1, 2)
			require.InDelta(t, 1.0, tr.share(1), 0.001)
			if from < 99 {
				return
			}
			require.Eventually(t, func() bool {
				for _, e := range tr.Engines {
					if orders := e.ObeyedOrders(); len(orders) == 0 || orders[len(orders)-1].Kind != "unload" {
						return false
					}
				}
				return true
			}, trialWait, 10*time.Millisecond, "the old version must go once it is not kept any longer")
			require.LessOrEqual(t, tr.Config.EngineTemplate.Orders.Store.Stats().PeakConcurrent, 2)
		})
	}
}

// TestBadVersionGoesBack guards against bad versions that stay, for each way in which they can be bad.
func TestBadVersionGoesBack(t *testing.T) {
	for name, f := range map[string]standin.Faults{
		"failing":         {FailVersion: "v2"},
		"slow":            {SlowVersion: "v2", VersionSlowdown: 6},
		"failing later":   {FailVersion: "v2", VersionFaults: standin.VersionFaults{BadAfter: 4e9}},
		"on some prompts": {FailVersion: "v2", VersionFaults: standin.VersionFaults{BadOnPrompt: "caller 3"}},
		"under load only": {FailVersion: "v2", VersionFaults: standin.VersionFaults{BadAboveRunning: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			tr := startTrial(t, true)
			tr.fault(f)
			require.NoError(t, tr.ChangeModelVersion(time.Now().Add(15*time.Second), 0.2, 2))
			tr.await(version.RolledBack, 0, 1, 2)
			for i := range tr.Instances {
				require.Zero(t, tr.share(i))
			}
			require.NotEmpty(t, tr.events.lines("version_step"))
			// The operator's next revision leaves the change as it is, and it must not start again.
			tr.Catalogue.Revision++
			require.NoError(t, tr.PutCatalogue(tr.Catalogue))
			time.Sleep(time.Second)
			require.Equal(t, version.RolledBack, tr.state(0))
		})
	}
}

// TestMarkTravelsWithoutService guards the 3 s in which a bad version loses its traffic while the service is down.
func TestMarkTravelsWithoutService(t *testing.T) {
	tr := startTrial(t, true)
	require.NoError(t, tr.ChangeModelVersion(time.Now().Add(90*time.Second), 0.3, 2))
	tr.await(version.Trial, 0, 1, 2)
	tr.Platform.SetFaults(standinplatform.Faults{Down: true})
	time.Sleep(3 * time.Second)
	require.Positive(t, tr.share(0), "the share must hold while the service is down")
	tr.fault(standin.Faults{FailVersion: "v2"})
	require.Eventually(t, func() bool { return len(tr.events.lines("version_marked")) > 0 }, trialWait, time.Millisecond)
	marked := time.Now()
	require.Eventually(t, func() bool { return tr.share(0)+tr.share(1)+tr.share(2) == 0 }, trialWait, time.Millisecond)
	took := time.Since(marked)
	t.Logf("all instances obeyed %v after the first mark", took)
	require.Less(t, took, 3*time.Second)
	tr.Platform.SetFaults(standinplatform.Faults{})
	tr.await(version.RolledBack, 0, 1, 2)
}

// TestManyInstances guards the way over collectors that reports and marks take with many instances.
func TestManyInstances(t *testing.T) {
	tr := startTrialOf(t, 20, true, nil)
	all := make([]int, 20)
	for i := range all {
		all[i] = i
	}
	require.NoError(t, tr.ChangeModelVersion(time.Now().Add(time.Minute), 0.2, 2))
	tr.await(version.Trial, all...)
	time.Sleep(3 * time.Second)
	for _, i := range all {
		require.Positive(t, tr.share(i), "confirmed over collectors")
	}
	tr.fault(standin.Faults{FailVersion: "v2"})
	tr.await(version.RolledBack, all...)
}

// TestDeciderKilled guards against changes that stop with the instance that decides them.
func TestDeciderKilled(t *testing.T) {
	tr := startTrial(t, true)
	require.NoError(t, tr.ChangeModelVersion(time.Now().Add(20*time.Second), 0.2, 2))
	tr.await(version.Trial, 0, 1, 2)
	first := tr.decider()
	fence := tr.view(first).Record.Fence
	tr.Instances[first].Kill()
	other := (first + 1) % 3
	tr.await(version.Done, other)
	require.Greater(t, tr.view(other).Record.Fence, fence)
	require.NotEqual(t, tr.Instances[first].ID, tr.view(other).Record.Decider)
}

// pausable is an instance's way to the key-value service. A pause holds back its next write and
// with it the loop that renews the lease, as a pause of the process between two of its steps does.
type pausable struct {
	*platform.Client
	mu   sync.Mutex
	gate chan struct{}
	late atomic.Int64
	lost atomic.Int64
}

func (p *pausable) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gate = make(chan struct{})
}

func (p *pausable) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.gate)
	p.gate = nil
}

// pass waits for the end of a pause; a paused process does not see its own timeouts.
func (p *pausable) pass(ctx context.Context) (context.Context, bool) {
	p.mu.Lock()
	gate := p.gate
	p.mu.Unlock()
	if gate == nil {
		return ctx, false
	}
	<-gate
	return context.WithoutCancel(ctx), true
}

func (p *pausable) CompareAndSwap(ctx context.Context, key string, old int64, data []byte) (int64, error) {
	ctx, held := p.pass(ctx)
	n, err := p.Client.CompareAndSwap(ctx, key, old, data)
	if held {
		p.late.Add(1)
		if err != nil {
			p.lost.Add(1)
		}
	}
	return n, err
}

// TestLateWriteOfOldDecider guards against a decider that comes back from a pause and writes over its successor.
func TestLateWriteOfOldDecider(t *testing.T) {
	stores := make([]*pausable, 3)
	tr := startTrialWith(t, true, func(i int, c *platform.Client) (server.Store, server.Leaser) {
		stores[i] = &pausable{Client: c}
		return stores[i], stores[i]
	})
	require.NoError(t, tr.ChangeModelVersion(time.Now().Add(40*time.Second), 0.2, 2))
	tr.await(version.Trial, 0, 1, 2)
	first := tr.decider()
	other := (first + 1) % 3
	old := tr.view(other).Record.Fence
	// The decider writes at least once a second, so that a write is caught in the pause.
	stores[first].pause()
	require.Eventually(t, func() bool { return tr.view(other).Record.Fence > old }, trialWait, time.Millisecond, "another goes on")
	before := tr.view(other)
	stores[first].resume()
	time.Sleep(2 * time.Second)
	after := tr.view(other)
	require.Positive(t, stores[first].late.Load())
	t.Logf("late writes %d, refused %d", stores[first].late.Load(), stores[first].lost.Load())
	require.Equal(t, stores[first].late.Load(), stores[first].lost.Load(), "every late write is refused")
	require.Equal(t, before.Record.Fence, after.Record.Fence, "the old decider changes nothing")
	require.GreaterOrEqual(t, after.Version, before.Version)
	tr.await(version.Done, 0, 1, 2)
}

// TestLateRecordIsIgnored guards against a record that an old decider publishes after its successor's.
func TestLateRecordIsIgnored(t *testing.T) {
	tr := startTrial(t, true)
	require.NoError(t, tr.ChangeModelVersion(time.Now().Add(30*time.Second), 0.2, 2))
	tr.await(version.Trial, 0, 1, 2)
	late := tr.view(1)
	require.Eventually(t, func() bool { return tr.view(1).Version > late.Version }, trialWait, time.Millisecond)
	late.Record.Share = 1
	// A newer record may hide the fault at once, so it is looked for many times.
	for range 50 {
		require.NoError(t, tr.Instances[0].Network.Call(t.Context(), tr.Instances[1].Network.Address(), "Versions.Publish",
			[]server.RecordAt{{Record: late.Record.Encode(), Version: late.Version}}, &struct{}{}))
		require.Less(t, tr.view(1).Record.Share, 1.0)
	}
}

// TestOrdersOfTwoSenders guards against an old sender's orders, at engines that
// honour fencing numbers and at engines that ignore them.
func TestOrdersOfTwoSenders(t *testing.T) {
	for name, ignore := range map[string]bool{"honouring": false, "ignoring": true} {
		t.Run(name, func(t *testing.T) {
			tr := startTrial(t, false)
			tr.fault(standin.Faults{FailVersion: "v2", VersionFaults: standin.VersionFaults{IgnoreFence: ignore}})
			require.NoError(t, tr.ChangeModelVersion(time.Now().Add(20*time.Second), 0.2, 99))
			tr.await(version.RolledBack, 0, 1, 2)
			gone := func() bool { return !slices.Contains(tr.loaded(0), "v2") }
			require.Eventually(t, gone, trialWait, 10*time.Millisecond, "a version that was rolled back is dropped")
			// An order that the first sender sent long ago arrives only now.
			late := order.Order{Fence: 1, Kind: order.Load, Model: deployment.ModelName, Version: "v2"}
			begun := tr.decidersBegun()
			tr.raiseFence()
			require.Eventually(t, func() bool { return tr.decidersBegun() > begun }, trialWait, time.Millisecond)
			require.Equal(t, http.StatusOK, tr.order(0, late), "the engine has not heard of a newer sender")
			tr.corrected(0)
			// The lapse ends the lease before its time, so the old sender may correct once more. From
			// the newer sender's first order on, an engine that honours numbers refuses the late one.
			for until, heard := time.Now().Add(trialWait), false; !heard; {
				require.True(t, time.Now().Before(until), "the newer sender corrects in the end")
				heard = tr.newestFence(0) > late.Fence
				if tr.order(0, late) == http.StatusOK {
					require.True(t, ignore || !heard, "an old number is refused")
					tr.corrected(0)
					continue
				}
				require.False(t, ignore, "an engine that ignores numbers refuses nothing")
				require.Greater(t, tr.newestFence(0), late.Fence, "only a newer sender's order is a reason to refuse")
			}
		})
	}
}

// corrected waits until a version that is not wanted is read back and dropped.
func (tr *trial) corrected(i int) {
	tr.t.Helper()
	there := func() bool { return slices.Contains(tr.loaded(i), "v2") }
	require.Eventually(tr.t, there, trialWait, time.Millisecond, "the order is obeyed")
	require.Eventually(tr.t, func() bool { return !there() }, trialWait, 10*time.Millisecond, "read back and corrected")
}

// newestFence returns the highest fencing number of the orders that an engine has obeyed.
func (tr *trial) newestFence(i int) int64 {
	newest := int64(0)
	for _, o := range tr.Engines[i].ObeyedOrders() {
		newest = max(newest, o.Fence)
	}
	return newest
}

func (tr *trial) decidersBegun() int { return len(tr.events.lines("decider_began")) }

// raiseFence ends the lease, so that its next holder has a higher fencing number.
func (tr *trial) raiseFence() {
	tr.Platform.SetFaults(standinplatform.Faults{ExpireLeases: true})
	tr.Platform.SetFaults(standinplatform.Faults{})
}

func (tr *trial) loaded(i int) []string {
	l := engine.Load{}
	res, err := http.Get("http://" + tr.Engines[i].Address().String() + "/load")
	require.NoError(tr.t, err)
	defer res.Body.Close()
	require.NoError(tr.t, json.NewDecoder(res.Body).Decode(&l))
	return l.Versions
}

func (tr *trial) order(i int, o order.Order) int {
	data, _ := json.Marshal(o)
	res, err := http.Post("http://"+tr.Engines[i].Address().String()+"/orders", "application/json", bytes.NewReader(data))
	require.NoError(tr.t, err)
	res.Body.Close()
	return res.StatusCode
}
