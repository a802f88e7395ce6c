package deployment

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/caller"
	"bambooferry.example/bambooferry/internal/server"
	standinplatform "bambooferry.example/bambooferry/internal/standin/platform"
)

const (
	testSlots   = 4
	testEngines = 6
	testCallers = 48
)

// slotConfig returns a deployment whose engines crash above their slots, or accept any number of requests if
// instances enforce limits locally.
func slotConfig(instances int, localAdmission bool) Config {
	e := DefaultEngine()
	e.Slots, e.MaxRequests = testSlots, testSlots
	e.FirstToken, e.TokenInterval, e.Linger = 10*time.Millisecond, 3*time.Millisecond, 300*time.Millisecond
	if localAdmission {
		e.MaxRequests = 1 << 20
	}
	slotTimes := server.DefaultSlotTimes()
	slotTimes.Linger, slotTimes.UnlistedAfter, slotTimes.EnlistAfter = time.Second, 2*time.Second, time.Second
	limits := server.DefaultLimits()
	limits.Linger = time.Second
	return Config{Instances: instances, Engines: testEngines, EngineTemplate: e, Limits: limits, SlotTimes: slotTimes, LocalAdmission: localAdmission}
}

// loadGenerator sends requests from many callers until its context ends.
type loadGenerator struct {
	d *Deployment
	// callers is the number of callers; 0 means testCallers.
	callers    int
	done       atomic.Int64
	failed     atomic.Int64
	lastDoneAt atomic.Int64
}

// run runs the callers until ctx ends.
func (l *loadGenerator) run(ctx context.Context, seed uint64) {
	var callers sync.WaitGroup
	for i := range cmp.Or(l.callers, testCallers) {
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				l.sendOne(ctx, rng, client)
			}
		})
	}
	callers.Wait()
}

func (l *loadGenerator) sendOne(ctx context.Context, rng *rand.Rand, client *http.Client) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	c := caller.Completion{
		APIKey: APIKey, Model: ModelName, Prompt: "Reserve a stall.", Tokens: 5 + rng.IntN(30), Seed: rng.Uint64() >> 1,
		Instances: l.addresses(rng.IntN(64)), MaxAttempts: 4, Client: client,
	}
	if _, err := c.Stream(ctx); err != nil {
		l.failed.Add(1)
		time.Sleep(20 * time.Millisecond)
		return
	}
	l.done.Add(1)
	l.lastDoneAt.Store(time.Now().UnixNano())
}

func (l *loadGenerator) addresses(first int) []netip.AddrPort {
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	return l.d.AddressesFrom(first)
}

// overloadStats returns the number of engines that crashed from overload, and the peak of requests at one engine.
func (l *loadGenerator) overloadStats() (overloaded, peak int) {
	for _, e := range l.d.Engines {
		s := e.Stats()
		if s.Overloaded {
			overloaded++
		}
		peak = max(peak, s.PeakRequests)
	}
	return overloaded, peak
}

// Guards against engines that get more requests than they have slots while instances join, end, pause, are
// disconnected from each other or lose the key-value service, and against requests that are no longer served.
func TestEnginesNeverFallOver(t *testing.T) {
	for _, c := range []struct {
		name      string
		seed      uint64
		instances int
		disrupt   func(t *testing.T, d *Deployment, rng *rand.Rand)
	}{
		{"calm", 1, 3, func(*testing.T, *Deployment, *rand.Rand) { time.Sleep(2 * time.Second) }},
		{"join", 2, 3, addInstances},
		{"join_nine", 3, 8, addInstances},
		{"kill", 4, 4, killInstance},
		{"kill_nine", 5, 9, killInstance},
		{"restart", 6, 4, replaceInstance},
		{"freeze", 7, 4, pauseInstance},
		{"partition", 8, 5, isolateInstance},
		{"service_down", 9, 4, stopKeyValueService},
		{"lost_answers", 10, 3, loseResponses},
		{"leave", 11, 4, stopInstance},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, err := Start(t.Context(), slotConfig(c.instances, false))
			require.NoError(t, err)
			defer d.Close()
			generator := &loadGenerator{d: d}
			ctx, cancel := context.WithCancel(t.Context())
			loadEnded := make(chan struct{})
			go func() { defer close(loadEnded); generator.run(ctx, c.seed) }()
			time.Sleep(700 * time.Millisecond)
			c.disrupt(t, d, rand.New(rand.NewPCG(c.seed, 0)))
			before := generator.done.Load()
			time.Sleep(1500 * time.Millisecond)
			after := generator.done.Load()
			cancel()
			<-loadEnded
			overloaded, peak := generator.overloadStats()
			t.Logf("seed %d: %d answers, %d failed, %d in the last 1.5 s, peak %d of %d, %d engines overloaded", c.seed, generator.done.Load(), generator.failed.Load(), after-before, peak, testSlots, overloaded)
			require.Zero(t, overloaded, "engines that received more than their limit")
			require.LessOrEqual(t, peak, testSlots)
			require.Positive(t, after-before, "answers after the disruption")
			requireAllHeld(t, d)
		})
	}
}

// requireAllHeld waits until the live instances hold all slots of the targets again.
func requireAllHeld(t *testing.T, d *Deployment) {
	t.Helper()
	total := 0
	for _, e := range d.Catalogue.Entries {
		for _, target := range e.Targets {
			total += target.Slots
		}
	}
	held := func() int {
		n := 0
		for _, in := range d.Instances {
			if in.hasStopped() {
				continue
			}
			n += in.Slots.Counts()["target"].Held
		}
		return n
	}
	require.Eventually(t, func() bool { return held() == total }, 20*time.Second, 50*time.Millisecond, "slots that stay idle")
}

func (in *Instance) hasStopped() bool {
	select {
	case <-in.done:
		return true
	default:
		return false
	}
}

func addInstances(t *testing.T, d *Deployment, _ *rand.Rand) {
	t.Helper()
	for range 2 {
		_, err := d.AddInstance(len(d.Instances))
		require.NoError(t, err)
		time.Sleep(700 * time.Millisecond)
	}
}

func killInstance(t *testing.T, d *Deployment, rng *rand.Rand) {
	t.Helper()
	d.Instances[rng.IntN(len(d.Instances))].Kill()
	time.Sleep(6 * time.Second)
}

func replaceInstance(t *testing.T, d *Deployment, rng *rand.Rand) {
	t.Helper()
	i := rng.IntN(len(d.Instances))
	d.Instances[i].Kill()
	_, err := d.AddInstance(i)
	require.NoError(t, err)
	time.Sleep(4 * time.Second)
}

func pauseInstance(t *testing.T, d *Deployment, rng *rand.Rand) {
	t.Helper()
	in := d.Instances[rng.IntN(len(d.Instances))]
	in.PauseNetwork()
	_, err := d.AddInstance(len(d.Instances))
	require.NoError(t, err)
	time.Sleep(2 * time.Second)
	in.ResumeNetwork()
	time.Sleep(time.Second)
}

func isolateInstance(t *testing.T, d *Deployment, rng *rand.Rand) {
	t.Helper()
	in := d.Instances[rng.IntN(len(d.Instances))]
	for _, other := range d.Instances {
		if other != in {
			d.Disconnect(in, other)
		}
	}
	_, err := d.AddInstance(len(d.Instances))
	require.NoError(t, err)
	time.Sleep(2 * time.Second)
	for _, other := range d.Instances {
		d.Reconnect(in, other)
	}
	time.Sleep(time.Second)
}

func stopKeyValueService(t *testing.T, d *Deployment, rng *rand.Rand) {
	t.Helper()
	d.Platform.SetFaults(standinplatform.Faults{Down: true})
	d.Instances[rng.IntN(len(d.Instances))].Kill()
	time.Sleep(3 * time.Second)
	d.Platform.SetFaults(standinplatform.Faults{})
	time.Sleep(4 * time.Second)
}

func loseResponses(t *testing.T, d *Deployment, rng *rand.Rand) {
	t.Helper()
	d.Platform.SetFaults(standinplatform.Faults{LoseResponses: 3})
	addInstances(t, d, rng)
}

func stopInstance(t *testing.T, d *Deployment, rng *rand.Rand) {
	t.Helper()
	in := d.Instances[rng.IntN(len(d.Instances))]
	in.requestStop()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.NoError(t, in.Slots.Leave(ctx))
	<-in.done
}

// Shows the failure that shared limits prevent: when each instance enforces limits by its own counts, the
// same load gives engines more requests than they have slots.
func TestInstancesThatCountAloneExceedLimits(t *testing.T) {
	for _, n := range []int{3, 9} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			d, err := Start(t.Context(), slotConfig(n, true))
			require.NoError(t, err)
			defer d.Close()
			generator := &loadGenerator{d: d}
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			generator.run(ctx, 1)
			exceeded := 0
			for _, e := range d.Engines {
				if e.Stats().PeakRequests > testSlots {
					exceeded++
				}
			}
			_, peak := generator.overloadStats()
			t.Logf("%d instances: %d of %d engines received more than %d requests, at most %d", n, exceeded, testEngines, testSlots, peak)
			require.Positive(t, exceeded)
		})
	}
}

// slotTotals holds counters summed over all instances.
type slotTotals struct{ uses, lent, refused, failed, calls, peerBytes float64 }

func sumSlotMetrics(d *Deployment) slotTotals {
	var totals slotTotals
	for _, in := range d.Instances {
		totals.peerBytes += float64(in.PeerBytes())
		for _, method := range []string{"Ask", "Lend", "Return", "Audit", "Fence", "Ping"} {
			totals.calls += float64(in.Metrics.GetOrCreateCounter(`bambooferry_slot_calls_total{method="` + method + `"}`).Get())
		}
		for _, kind := range []string{"target", "entry", "workspace"} {
			totals.uses += float64(in.Metrics.GetOrCreateCounter(`bambooferry_slot_uses_total{pool="` + kind + `"}`).Get())
			for result, sum := range map[string]*float64{"lent": &totals.lent, "refused": &totals.refused, "failed": &totals.failed} {
				*sum += float64(in.Metrics.GetOrCreateCounter(`bambooferry_slot_borrows_total{pool="` + kind + `",result="` + result + `"}`).Get())
			}
		}
	}
	return totals
}

// Guards against traffic between idle instances that grows with their number, and reports what
// limits shared by instances cost under load.
func TestSlotCosts(t *testing.T) {
	for _, n := range []int{3, 9} {
		for _, callers := range []int{testSlots * testEngines / 2, 2 * testSlots * testEngines} {
			t.Run(fmt.Sprintf("%d instances %d callers", n, callers), func(t *testing.T) {
				d, err := Start(t.Context(), slotConfig(n, false))
				require.NoError(t, err)
				defer d.Close()
				requireAllHeld(t, d)
				time.Sleep(time.Second)
				before := sumSlotMetrics(d)
				time.Sleep(2 * time.Second)
				idle := sumSlotMetrics(d)
				generator := &loadGenerator{d: d, callers: callers}
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				generator.run(ctx, 1)
				busy := sumSlotMetrics(d)
				done := float64(generator.done.Load())
				perSecond := (idle.calls - before.calls) / 2 / float64(n)
				lent, uses := busy.lent-idle.lent, busy.uses-idle.uses
				t.Logf("idle: %.1f calls/s and %.0f bytes/s an instance", perSecond, (idle.peerBytes-before.peerBytes)/2/float64(n))
				t.Logf("load: %.0f answers, %.0f%% of slots borrowed, %.0f borrows refused, %.0f failed, %.1f calls and %.0f bytes a request",
					done, 100*lent/(lent+uses), busy.refused-idle.refused, busy.failed-idle.failed, (busy.calls-idle.calls)/done, (busy.peerBytes-idle.peerBytes)/done)
				reportBorrowTime(t, d)
				require.Less(t, perSecond, 10.0)
			})
		}
	}
}

// reportBorrowTime logs the mean time of an attempt to borrow a slot, from the instances' histograms.
func reportBorrowTime(t *testing.T, d *Deployment) {
	t.Helper()
	sum, count := 0.0, 0.0
	for _, in := range d.Instances {
		var b strings.Builder
		in.Metrics.WritePrometheus(&b)
		for line := range strings.Lines(b.String()) {
			for name, total := range map[string]*float64{"bambooferry_slot_borrow_seconds_sum ": &sum, "bambooferry_slot_borrow_seconds_count ": &count} {
				if v, ok := strings.CutPrefix(line, name); ok {
					f, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
					require.NoError(t, err)
					*total += f
				}
			}
		}
	}
	t.Logf("an attempt to borrow took %.2f ms on average, of %.0f attempts", 1000*sum/max(1, count), count)
}

// Guards against new work at a target that is leaving, and against aborting work in progress there.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	d, err := Start(t.Context(), slotConfig(3, false))
	require.NoError(t, err)
	defer d.Close()
	requireAllHeld(t, d)
	generator := &loadGenerator{d: d, callers: 24}
	ctx, cancel := context.WithCancel(t.Context())
	loadEnded := make(chan struct{})
	go func() { defer close(loadEnded); generator.run(ctx, 1) }()
	time.Sleep(500 * time.Millisecond)
	doc := *d.Catalogue
	doc.Revision++
	doc.Entries = slices.Clone(doc.Entries)
	doc.Entries[0].Targets = slices.Clone(doc.Entries[0].Targets)
	doc.Entries[0].Targets[0].Leaving = true
	require.NoError(t, d.PutCatalogue(&doc))
	time.Sleep(2 * time.Second)
	before, cancelled := d.Engines[0].Stats(), generator.failed.Load()
	time.Sleep(time.Second)
	after := d.Engines[0].Stats()
	require.Equal(t, before.Started, after.Started, "new work after 2 s")
	require.Zero(t, after.Cancelled, "work in progress that was aborted")
	require.Zero(t, cancelled, "requests that failed")
	cancel()
	<-loadEnded
}
