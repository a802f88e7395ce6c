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

// changeEvents is a buffer that several instances write their events to.
type changeEvents struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (e *changeEvents) Write(p []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.buf.Write(p)
}

func (e *changeEvents) lines(kind string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []string
	for l := range strings.Lines(e.buf.String()) {
		if strings.Contains(l, `"kind":"`+kind+`"`) {
			list = append(list, l)
		}
	}
	return list
}

// changeTest is a deployment under load whose model's traffic is to move to v2.
type changeTest struct {
	*deployment.Deployment
	t      *testing.T
	events *changeEvents
	sent   atomic.Int64
	stop   context.CancelFunc
	group  sync.WaitGroup
}

const changeTimeout = 60 * time.Second

// startChangeTest starts three instances and four engines, which have both versions or only v1, under load.
func startChangeTest(t *testing.T, bothVersions bool) *changeTest {
	return startChangeTestWithStore(t, bothVersions, nil)
}

func startChangeTestWithStore(t *testing.T, bothVersions bool, storeFor func(int, *platform.Client) (server.Store, server.Leaser)) *changeTest {
	return startChangeTestWithInstances(t, 3, bothVersions, storeFor)
}

func startChangeTestWithInstances(t *testing.T, instances int, bothVersions bool, storeFor func(int, *platform.Client) (server.Store, server.Leaser)) *changeTest {
	ct := &changeTest{t: t, events: &changeEvents{}}
	e := deployment.DefaultEngine()
	e.FirstToken, e.TokenInterval, e.Slots, e.MaxRequests = 5*time.Millisecond, time.Millisecond, 32, 64
	e.Orders = standin.Orders{LoadTime: 300 * time.Millisecond, Store: &standin.WeightStore{MaxConcurrent: 2}}
	if bothVersions {
		e.Versions = []string{"v1", "v2"}
	}
	limits := version.DefaultLimits()
	limits.MinDwell, limits.KeepWarm = 200*time.Millisecond, 3*time.Second
	var err error
	ct.Deployment, err = deployment.Start(t.Context(), deployment.Config{
		Instances: instances, Engines: 4, EngineTemplate: e, Limits: server.DefaultLimits(), Events: ct.events, VersionLimits: limits, StoreFor: storeFor,
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ct.stop = cancel
	for i := range 9 {
		ct.group.Go(func() { ct.sendRequests(ctx, i) })
	}
	t.Cleanup(func() { cancel(); ct.group.Wait(); ct.Close() })
	return ct
}

// sendRequests sends one short completion after another.
func (ct *changeTest) sendRequests(ctx context.Context, n int) {
	for i := 0; ctx.Err() == nil; i++ {
		c := caller.Completion{
			APIKey: deployment.APIKey, Model: deployment.ModelName, Prompt: fmt.Sprintf("caller %d", n), Tokens: 12, Seed: uint64(i),
			Instances: ct.AddressesFrom(n), MaxAttempts: 3,
		}
		_, _ = c.Stream(ctx)
		ct.sent.Add(1)
		// Each request opens two connections, and a closed connection keeps its port for a minute:
		// several hundred requests per second would exhaust the machine's ports.
		time.Sleep(70 * time.Millisecond)
	}
}

// view returns what an instance knows about the model's version change.
func (ct *changeTest) view(i int) server.ChangeView {
	views, _ := server.VersionChanges.Get(ct.Instances[i].Board)
	return views[deployment.ModelName]
}

func (ct *changeTest) state(i int) version.State { return ct.view(i).Record.State }

// requireState waits until the given instances see a state.
func (ct *changeTest) requireState(s version.State, instances ...int) {
	ct.t.Helper()
	require.Eventually(ct.t, func() bool {
		for _, i := range instances {
			if ct.state(i) != s {
				return false
			}
		}
		return true
	}, changeTimeout, 10*time.Millisecond, "state %s; seen by the first %+v", s, ct.view(instances[0]).Record)
}

func (ct *changeTest) setEngineFaults(f standin.Faults) {
	for _, e := range ct.Engines {
		e.SetFaults(f)
	}
}

// newVersionShare returns the share of new requests that an instance would send to the new version.
func (ct *changeTest) newVersionShare(i int) float64 {
	d, _ := server.Catalogue.Get(ct.Instances[i].Board)
	toNew := 0
	for k := range 1000 {
		if ct.Instances[i].VersionFor(time.Now(), d.Entry(deployment.ModelName), fmt.Sprint(k)) == "v2" {
			toNew++
		}
	}
	return float64(toNew) / 1000
}

// deciderIndex returns the index of the instance that decides on the change.
func (ct *changeTest) deciderIndex() int {
	for i, in := range ct.Instances {
		if in.ID == ct.view(0).Record.Decider {
			return i
		}
	}
	ct.t.Fatal("no instance decides")
	return 0
}

// TestGoodVersionMoves guards against good versions that miss their deadline, both with
// targets of the new version and with engines that are ordered to load it.
func TestGoodVersionMoves(t *testing.T) {
	for name, firstNewTarget := range map[string]int{"targets beside": 2, "engines ordered": 99} {
		t.Run(name, func(t *testing.T) {
			ct := startChangeTest(t, firstNewTarget == 2)
			require.NoError(t, ct.ChangeModelVersion(time.Now().Add(15*time.Second), 0.2, firstNewTarget))
			ct.requireState(version.Done, 0, 1, 2)
			require.False(t, ct.view(0).Record.StateStart.After(ct.view(0).Record.Deadline))
			ct.requireState(version.Closed, 0, 1, 2)
			require.InDelta(t, 1.0, ct.newVersionShare(1), 0.001)
			if firstNewTarget < 99 {
				return
			}
			require.Eventually(t, func() bool {
				for _, e := range ct.Engines {
					if orders := e.ObeyedOrders(); len(orders) == 0 || orders[len(orders)-1].Kind != "unload" {
						return false
					}
				}
				return true
			}, changeTimeout, 10*time.Millisecond, "the old version must be unloaded once it is no longer kept")
			require.LessOrEqual(t, ct.Config.EngineTemplate.Orders.Store.Stats().PeakConcurrent, 2)
		})
	}
}

// TestBadVersionGoesBack guards against bad versions that are not rolled back, for each kind of defect.
func TestBadVersionGoesBack(t *testing.T) {
	for name, f := range map[string]standin.Faults{
		"failing":         {FailVersion: "v2"},
		"slow":            {SlowVersion: "v2", VersionSlowdown: 6},
		"failing later":   {FailVersion: "v2", VersionFaults: standin.VersionFaults{BadAfter: 4e9}},
		"on some prompts": {FailVersion: "v2", VersionFaults: standin.VersionFaults{BadOnPrompt: "caller 3"}},
		"under load only": {FailVersion: "v2", VersionFaults: standin.VersionFaults{BadAboveRunning: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			ct := startChangeTest(t, true)
			ct.setEngineFaults(f)
			require.NoError(t, ct.ChangeModelVersion(time.Now().Add(15*time.Second), 0.2, 2))
			ct.requireState(version.RolledBack, 0, 1, 2)
			for i := range ct.Instances {
				require.Zero(t, ct.newVersionShare(i))
			}
			require.NotEmpty(t, ct.events.lines("version_step"))
			// The operator's next revision still contains the change, which must not start again.
			ct.Catalogue.Revision++
			require.NoError(t, ct.PutCatalogue(ct.Catalogue))
			time.Sleep(time.Second)
			require.Equal(t, version.RolledBack, ct.state(0))
		})
	}
}

// TestMarkTravelsWithoutService guards against a bad version that gets traffic for more than 3 s while the
// key-value service is down.
func TestMarkTravelsWithoutService(t *testing.T) {
	ct := startChangeTest(t, true)
	require.NoError(t, ct.ChangeModelVersion(time.Now().Add(90*time.Second), 0.3, 2))
	ct.requireState(version.Trial, 0, 1, 2)
	ct.Platform.SetFaults(standinplatform.Faults{Down: true})
	time.Sleep(3 * time.Second)
	require.Positive(t, ct.newVersionShare(0), "the share must hold while the service is down")
	ct.setEngineFaults(standin.Faults{FailVersion: "v2"})
	require.Eventually(t, func() bool { return len(ct.events.lines("version_marked")) > 0 }, changeTimeout, time.Millisecond)
	markedAt := time.Now()
	require.Eventually(t, func() bool { return ct.newVersionShare(0)+ct.newVersionShare(1)+ct.newVersionShare(2) == 0 }, changeTimeout, time.Millisecond)
	elapsed := time.Since(markedAt)
	t.Logf("all instances obeyed %v after the first mark", elapsed)
	require.Less(t, elapsed, 3*time.Second)
	ct.Platform.SetFaults(standinplatform.Faults{})
	ct.requireState(version.RolledBack, 0, 1, 2)
}

// TestManyInstances guards against reports and marks that are lost on their way through collectors, which
// are used when there are many instances.
func TestManyInstances(t *testing.T) {
	ct := startChangeTestWithInstances(t, 20, true, nil)
	all := make([]int, 20)
	for i := range all {
		all[i] = i
	}
	require.NoError(t, ct.ChangeModelVersion(time.Now().Add(time.Minute), 0.2, 2))
	ct.requireState(version.Trial, all...)
	time.Sleep(3 * time.Second)
	for _, i := range all {
		require.Positive(t, ct.newVersionShare(i), "the share must be confirmed through collectors")
	}
	ct.setEngineFaults(standin.Faults{FailVersion: "v2"})
	ct.requireState(version.RolledBack, all...)
}

// TestDeciderKilled guards against changes that stop when the instance that decides on them is killed.
func TestDeciderKilled(t *testing.T) {
	ct := startChangeTest(t, true)
	require.NoError(t, ct.ChangeModelVersion(time.Now().Add(20*time.Second), 0.2, 2))
	ct.requireState(version.Trial, 0, 1, 2)
	firstDecider := ct.deciderIndex()
	fence := ct.view(firstDecider).Record.Fence
	ct.Instances[firstDecider].Kill()
	other := (firstDecider + 1) % 3
	ct.requireState(version.Done, other)
	require.Greater(t, ct.view(other).Record.Fence, fence)
	require.NotEqual(t, ct.Instances[firstDecider].ID, ct.view(other).Record.Decider)
}

// pausableStore is an instance's client of the key-value service. A pause delays its next write, and
// thereby the loop that renews the lease, as a pause of the process between two of its steps would.
type pausableStore struct {
	*platform.Client
	mu            sync.Mutex
	resumed       chan struct{}
	lateWrites    atomic.Int64
	refusedWrites atomic.Int64
}

func (p *pausableStore) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resumed = make(chan struct{})
}

func (p *pausableStore) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.resumed)
	p.resumed = nil
}

// waitResumed waits for the end of a pause and reports whether there was one. The returned context then has
// no timeout, because a paused process does not notice its own timeouts.
func (p *pausableStore) waitResumed(ctx context.Context) (context.Context, bool) {
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	if resumed == nil {
		return ctx, false
	}
	<-resumed
	return context.WithoutCancel(ctx), true
}

func (p *pausableStore) CompareAndSwap(ctx context.Context, key string, expectedVersion int64, data []byte) (int64, error) {
	ctx, paused := p.waitResumed(ctx)
	newVersion, err := p.Client.CompareAndSwap(ctx, key, expectedVersion, data)
	if paused {
		p.lateWrites.Add(1)
		if err != nil {
			p.refusedWrites.Add(1)
		}
	}
	return newVersion, err
}

// TestLateWriteOfOldDecider guards against a decider that resumes after a pause and overwrites its successor's record.
func TestLateWriteOfOldDecider(t *testing.T) {
	stores := make([]*pausableStore, 3)
	ct := startChangeTestWithStore(t, true, func(i int, c *platform.Client) (server.Store, server.Leaser) {
		stores[i] = &pausableStore{Client: c}
		return stores[i], stores[i]
	})
	require.NoError(t, ct.ChangeModelVersion(time.Now().Add(40*time.Second), 0.2, 2))
	ct.requireState(version.Trial, 0, 1, 2)
	firstDecider := ct.deciderIndex()
	other := (firstDecider + 1) % 3
	oldFence := ct.view(other).Record.Fence
	// The decider writes at least once a second, so the pause delays at least one write.
	stores[firstDecider].pause()
	require.Eventually(t, func() bool { return ct.view(other).Record.Fence > oldFence }, changeTimeout, time.Millisecond, "another instance takes over")
	before := ct.view(other)
	stores[firstDecider].resume()
	time.Sleep(2 * time.Second)
	after := ct.view(other)
	require.Positive(t, stores[firstDecider].lateWrites.Load())
	t.Logf("late writes %d, refused %d", stores[firstDecider].lateWrites.Load(), stores[firstDecider].refusedWrites.Load())
	require.Equal(t, stores[firstDecider].lateWrites.Load(), stores[firstDecider].refusedWrites.Load(), "every late write is refused")
	require.Equal(t, before.Record.Fence, after.Record.Fence, "the old decider changes nothing")
	require.GreaterOrEqual(t, after.Version, before.Version)
	ct.requireState(version.Done, 0, 1, 2)
}

// TestLateRecordIsIgnored guards against applying a record that an old decider publishes after its successor's.
func TestLateRecordIsIgnored(t *testing.T) {
	ct := startChangeTest(t, true)
	require.NoError(t, ct.ChangeModelVersion(time.Now().Add(30*time.Second), 0.2, 2))
	ct.requireState(version.Trial, 0, 1, 2)
	late := ct.view(1)
	require.Eventually(t, func() bool { return ct.view(1).Version > late.Version }, changeTimeout, time.Millisecond)
	late.Record.Share = 1
	// A newer record may hide the fault immediately, so the check is repeated many times.
	for range 50 {
		require.NoError(t, ct.Instances[0].Network.Call(t.Context(), ct.Instances[1].Network.Address(), "Versions.Publish",
			[]server.RecordAt{{Record: late.Record.Encode(), Version: late.Version}}, &struct{}{}))
		require.Less(t, ct.view(1).Record.Share, 1.0)
	}
}

// TestOrdersOfTwoSenders guards against lasting effects of an old sender's orders, at engines that
// honour fencing numbers and at engines that ignore them.
func TestOrdersOfTwoSenders(t *testing.T) {
	for name, ignoreFence := range map[string]bool{"honouring": false, "ignoring": true} {
		t.Run(name, func(t *testing.T) {
			ct := startChangeTest(t, false)
			ct.setEngineFaults(standin.Faults{FailVersion: "v2", VersionFaults: standin.VersionFaults{IgnoreFence: ignoreFence}})
			require.NoError(t, ct.ChangeModelVersion(time.Now().Add(20*time.Second), 0.2, 99))
			ct.requireState(version.RolledBack, 0, 1, 2)
			dropped := func() bool { return !slices.Contains(ct.loadedVersions(0), "v2") }
			require.Eventually(t, dropped, changeTimeout, 10*time.Millisecond, "a version that was rolled back is unloaded")
			// An order that the first sender sent long ago arrives only now.
			lateOrder := order.Order{Fence: 1, Kind: order.Load, Model: deployment.ModelName, Version: "v2"}
			startsBefore := ct.deciderStarts()
			ct.expireLease()
			require.Eventually(t, func() bool { return ct.deciderStarts() > startsBefore }, changeTimeout, time.Millisecond)
			require.Equal(t, http.StatusOK, ct.sendOrder(0, lateOrder), "the engine has no order from a newer sender yet")
			ct.requireCorrected(0)
			// The lease ended prematurely, so the old sender may correct once more. From the newer
			// sender's first order on, an engine that honours fencing numbers refuses the late one.
			for deadline, newerSenderObeyed := time.Now().Add(changeTimeout), false; !newerSenderObeyed; {
				require.True(t, time.Now().Before(deadline), "the newer sender must send a correction")
				newerSenderObeyed = ct.newestFence(0) > lateOrder.Fence
				if ct.sendOrder(0, lateOrder) == http.StatusOK {
					require.True(t, ignoreFence || !newerSenderObeyed, "an old number is refused")
					ct.requireCorrected(0)
					continue
				}
				require.False(t, ignoreFence, "an engine that ignores numbers refuses nothing")
				require.Greater(t, ct.newestFence(0), lateOrder.Fence, "only a newer sender's order is a reason to refuse")
			}
		})
	}
}

// requireCorrected waits until an engine has loaded an unwanted version and was ordered to unload it.
func (ct *changeTest) requireCorrected(i int) {
	ct.t.Helper()
	present := func() bool { return slices.Contains(ct.loadedVersions(i), "v2") }
	require.Eventually(ct.t, present, changeTimeout, time.Millisecond, "the order is obeyed")
	require.Eventually(ct.t, func() bool { return !present() }, changeTimeout, 10*time.Millisecond, "read back and corrected")
}

// newestFence returns the highest fencing number of the orders that an engine has obeyed.
func (ct *changeTest) newestFence(i int) int64 {
	newest := int64(0)
	for _, o := range ct.Engines[i].ObeyedOrders() {
		newest = max(newest, o.Fence)
	}
	return newest
}

func (ct *changeTest) deciderStarts() int { return len(ct.events.lines("decider_began")) }

// expireLease ends the lease, so that its next holder gets a higher fencing number.
func (ct *changeTest) expireLease() {
	ct.Platform.SetFaults(standinplatform.Faults{ExpireLeases: true})
	ct.Platform.SetFaults(standinplatform.Faults{})
}

func (ct *changeTest) loadedVersions(i int) []string {
	l := engine.Load{}
	res, err := http.Get("http://" + ct.Engines[i].Address().String() + "/load")
	require.NoError(ct.t, err)
	defer res.Body.Close()
	require.NoError(ct.t, json.NewDecoder(res.Body).Decode(&l))
	return l.Versions
}

func (ct *changeTest) sendOrder(i int, o order.Order) int {
	data, _ := json.Marshal(o)
	res, err := http.Post("http://"+ct.Engines[i].Address().String()+"/orders", "application/json", bytes.NewReader(data))
	require.NoError(ct.t, err)
	res.Body.Close()
	return res.StatusCode
}
