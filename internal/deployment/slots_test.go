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

func slotPlan(instances int, alone bool) Config {
	e := DefaultEngine()
	e.Slots, e.MaxRequests = testSlots, testSlots
	e.FirstToken, e.TokenInterval, e.Linger = 10*time.Millisecond, 3*time.Millisecond, 300*time.Millisecond
	if alone {
		e.MaxRequests = 1 << 20
	}
	times := server.DefaultSlotTimes()
	times.Linger, times.UnlistedAfter, times.EnlistAfter = time.Second, 2*time.Second, time.Second
	limits := server.DefaultLimits()
	limits.Linger = time.Second
	return Config{Instances: instances, Engines: testEngines, EngineTemplate: e, Limits: limits, SlotTimes: times, LocalAdmission: alone}
}

// load sends requests from many callers until its context ends.
type load struct {
	d *Deployment
	// callers is their number; testCallers if 0.
	callers  int
	done     atomic.Int64
	failed   atomic.Int64
	lastDone atomic.Int64
}

func (l *load) run(ctx context.Context, seed uint64) {
	var group sync.WaitGroup
	for i := range cmp.Or(l.callers, testCallers) {
		group.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				l.one(ctx, rng, client)
			}
		})
	}
	group.Wait()
}

func (l *load) one(ctx context.Context, rng *rand.Rand, client *http.Client) {
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
	l.lastDone.Store(time.Now().UnixNano())
}

func (l *load) addresses(first int) []netip.AddrPort {
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	return l.d.AddressesFrom(first)
}

func (l *load) over() (fell, peak int) {
	for _, e := range l.d.Engines {
		s := e.Stats()
		if s.Overloaded {
			fell++
		}
		peak = max(peak, s.PeakRequests)
	}
	return fell, peak
}

// Guards against more work at an engine than its slots while instances join, end, freeze, are cut
// off from each other or lose the service, and against work that stops flowing.
func TestEnginesNeverFallOver(t *testing.T) {
	for _, c := range []struct {
		name      string
		seed      uint64
		instances int
		disturb   func(t *testing.T, d *Deployment, rng *rand.Rand)
	}{
		{"calm", 1, 3, func(*testing.T, *Deployment, *rand.Rand) { time.Sleep(2 * time.Second) }},
		{"join", 2, 3, join},
		{"join_nine", 3, 8, join},
		{"kill", 4, 4, kill},
		{"kill_nine", 5, 9, kill},
		{"restart", 6, 4, restart},
		{"freeze", 7, 4, freeze},
		{"partition", 8, 5, partition},
		{"service_down", 9, 4, serviceDown},
		{"lost_answers", 10, 3, lostAnswers},
		{"leave", 11, 4, leave},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, err := Start(t.Context(), slotPlan(c.instances, false))
			require.NoError(t, err)
			defer d.Close()
			l := &load{d: d}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { defer close(ended); l.run(ctx, c.seed) }()
			time.Sleep(700 * time.Millisecond)
			c.disturb(t, d, rand.New(rand.NewPCG(c.seed, 0)))
			before := l.done.Load()
			time.Sleep(1500 * time.Millisecond)
			after := l.done.Load()
			cancel()
			<-ended
			fell, peak := l.over()
			t.Logf("seed %d: %d answers, %d failed, %d in the last 1.5 s, peak %d of %d, fell over %d", c.seed, l.done.Load(), l.failed.Load(), after-before, peak, testSlots, fell)
			require.Zero(t, fell, "engines that were given more than their limit")
			require.LessOrEqual(t, peak, testSlots)
			require.Positive(t, after-before, "answers after the disturbance")
			requireAllHeld(t, d)
		})
	}
}

// requireAllHeld waits until the live instances hold all slots of the targets again.
func requireAllHeld(t *testing.T, d *Deployment) {
	t.Helper()
	all := 0
	for _, e := range d.Catalogue.Entries {
		for _, target := range e.Targets {
			all += target.Slots
		}
	}
	held := func() int {
		n := 0
		for _, in := range d.Instances {
			if in.ended() {
				continue
			}
			n += in.Slots.Counts()["target"].Held
		}
		return n
	}
	require.Eventually(t, func() bool { return held() == all }, 20*time.Second, 50*time.Millisecond, "slots that stay idle")
}

func (in *Instance) ended() bool {
	select {
	case <-in.done:
		return true
	default:
		return false
	}
}

func join(t *testing.T, d *Deployment, _ *rand.Rand) {
	t.Helper()
	for range 2 {
		_, err := d.AddInstance(len(d.Instances))
		require.NoError(t, err)
		time.Sleep(700 * time.Millisecond)
	}
}

func kill(t *testing.T, d *Deployment, rng *rand.Rand) {
	t.Helper()
	d.Instances[rng.IntN(len(d.Instances))].Kill()
	time.Sleep(6 * time.Second)
}

func restart(t *testing.T, d *Deployment, rng *rand.Rand) {
	t.Helper()
	i := rng.IntN(len(d.Instances))
	d.Instances[i].Kill()
	_, err := d.AddInstance(i)
	require.NoError(t, err)
	time.Sleep(4 * time.Second)
}

func freeze(t *testing.T, d *Deployment, rng *rand.Rand) {
	t.Helper()
	in := d.Instances[rng.IntN(len(d.Instances))]
	in.PauseNetwork()
	_, err := d.AddInstance(len(d.Instances))
	require.NoError(t, err)
	time.Sleep(2 * time.Second)
	in.ResumeNetwork()
	time.Sleep(time.Second)
}

func partition(t *testing.T, d *Deployment, rng *rand.Rand) {
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

func serviceDown(t *testing.T, d *Deployment, rng *rand.Rand) {
	t.Helper()
	d.Platform.SetFaults(standinplatform.Faults{Down: true})
	d.Instances[rng.IntN(len(d.Instances))].Kill()
	time.Sleep(3 * time.Second)
	d.Platform.SetFaults(standinplatform.Faults{})
	time.Sleep(4 * time.Second)
}

func lostAnswers(t *testing.T, d *Deployment, rng *rand.Rand) {
	t.Helper()
	d.Platform.SetFaults(standinplatform.Faults{LoseResponses: 3})
	join(t, d, rng)
}

func leave(t *testing.T, d *Deployment, rng *rand.Rand) {
	t.Helper()
	in := d.Instances[rng.IntN(len(d.Instances))]
	in.requestStop()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.NoError(t, in.Slots.Leave(ctx))
	<-in.done
}

// Shows the failure that the limits across instances prevent: with instances that count alone,
// the same load gives engines more than their slots.
func TestInstancesThatCountAloneExceedLimits(t *testing.T) {
	for _, n := range []int{3, 9} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			d, err := Start(t.Context(), slotPlan(n, true))
			require.NoError(t, err)
			defer d.Close()
			l := &load{d: d}
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			l.run(ctx, 1)
			over := 0
			for _, e := range d.Engines {
				if e.Stats().PeakRequests > testSlots {
					over++
				}
			}
			_, peak := l.over()
			t.Logf("%d instances: %d of %d engines were given more than %d, at most %d", n, over, testEngines, testSlots, peak)
			require.Positive(t, over)
		})
	}
}

// sums are totals over all instances.
type sums struct{ uses, lent, refused, failed, calls, bytes float64 }

func measure(d *Deployment) sums {
	var n sums
	for _, in := range d.Instances {
		n.bytes += float64(in.PeerBytes())
		for _, m := range []string{"Ask", "Lend", "Return", "Audit", "Fence", "Ping"} {
			n.calls += float64(in.Metrics.GetOrCreateCounter(`bambooferry_slot_calls_total{method="` + m + `"}`).Get())
		}
		for _, kind := range []string{"target", "entry", "workspace"} {
			n.uses += float64(in.Metrics.GetOrCreateCounter(`bambooferry_slot_uses_total{pool="` + kind + `"}`).Get())
			for result, sum := range map[string]*float64{"lent": &n.lent, "refused": &n.refused, "failed": &n.failed} {
				*sum += float64(in.Metrics.GetOrCreateCounter(`bambooferry_slot_borrows_total{pool="` + kind + `",result="` + result + `"}`).Get())
			}
		}
	}
	return n
}

// Guards against messages between idle instances that grow with their number, and reports what
// limits across instances cost under load.
func TestSlotCosts(t *testing.T) {
	for _, n := range []int{3, 9} {
		for _, callers := range []int{testSlots * testEngines / 2, 2 * testSlots * testEngines} {
			t.Run(fmt.Sprintf("%d instances %d callers", n, callers), func(t *testing.T) {
				d, err := Start(t.Context(), slotPlan(n, false))
				require.NoError(t, err)
				defer d.Close()
				requireAllHeld(t, d)
				time.Sleep(time.Second)
				before := measure(d)
				time.Sleep(2 * time.Second)
				idle := measure(d)
				l := &load{d: d, callers: callers}
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				l.run(ctx, 1)
				busy := measure(d)
				done := float64(l.done.Load())
				perSecond := (idle.calls - before.calls) / 2 / float64(n)
				lent, uses := busy.lent-idle.lent, busy.uses-idle.uses
				t.Logf("idle: %.1f calls/s and %.0f bytes/s an instance", perSecond, (idle.bytes-before.bytes)/2/float64(n))
				t.Logf("load: %.0f answers, %.0f%% of slots borrowed, %.0f borrows refused, %.0f failed, %.1f calls and %.0f bytes a request",
					done, 100*lent/(lent+uses), busy.refused-idle.refused, busy.failed-idle.failed, (busy.calls-idle.calls)/done, (busy.bytes-idle.bytes)/done)
				reportBorrowTime(t, d)
				require.Less(t, perSecond, 10.0)
			})
		}
	}
}

// reportBorrowTime prints the time that one attempt to borrow took, from the instances' histograms.
func reportBorrowTime(t *testing.T, d *Deployment) {
	t.Helper()
	sum, count := 0.0, 0.0
	for _, in := range d.Instances {
		var b strings.Builder
		in.Metrics.WritePrometheus(&b)
		for line := range strings.Lines(b.String()) {
			for name, to := range map[string]*float64{"bambooferry_slot_borrow_seconds_sum ": &sum, "bambooferry_slot_borrow_seconds_count ": &count} {
				if v, ok := strings.CutPrefix(line, name); ok {
					f, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
					require.NoError(t, err)
					*to += f
				}
			}
		}
	}
	t.Logf("a borrow took %.2f ms in the mean of %.0f", 1000*sum/max(1, count), count)
}

// Guards against new work at a target that leaves, and against the end of work in progress there.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	d, err := Start(t.Context(), slotPlan(3, false))
	require.NoError(t, err)
	defer d.Close()
	requireAllHeld(t, d)
	l := &load{d: d, callers: 24}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); l.run(ctx, 1) }()
	time.Sleep(500 * time.Millisecond)
	doc := *d.Catalogue
	doc.Revision++
	doc.Entries = slices.Clone(doc.Entries)
	doc.Entries[0].Targets = slices.Clone(doc.Entries[0].Targets)
	doc.Entries[0].Targets[0].Leaving = true
	require.NoError(t, d.PutCatalogue(&doc))
	time.Sleep(2 * time.Second)
	before, cancelled := d.Engines[0].Stats(), l.failed.Load()
	time.Sleep(time.Second)
	after := d.Engines[0].Stats()
	require.Equal(t, before.Started, after.Started, "new work after 2 s")
	require.Zero(t, after.Cancelled, "work in progress that was ended")
	require.Zero(t, cancelled, "requests that failed")
	cancel()
	<-ended
}
