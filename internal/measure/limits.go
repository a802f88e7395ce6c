package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"bambooferry.example/bambooferry/internal/deployment"
	"bambooferry.example/bambooferry/internal/server"
)

const (
	limitInstances = 3
	limitEngines   = 6
	limitSlots     = 4
	// limitCallers are twice as many as the engines have slots.
	limitCallers = 2 * limitEngines * limitSlots
	limitPhase   = 2 * time.Second
	// limitDeadline bounds one request, so that the load ends soon after its context.
	limitDeadline = 3 * time.Second
	limitPause    = 20 * time.Millisecond
)

// limits measures work beyond the engines' limits at twice capacity; the baseline's instances count alone.
func limits(ctx context.Context, seed uint64) ([]Row, error) {
	// Both run at once: none of these figures is a time.
	variants := []string{Ours, Baseline}
	rows := make([][]Row, len(variants))
	group, ctx := errgroup.WithContext(ctx)
	for i, variant := range variants {
		group.Go(func() (err error) {
			rows[i], err = limitsCase(ctx, seed, variant)
			return errors.Wrap(err, variant)
		})
	}
	err := group.Wait()
	return slices.Concat(rows...), err
}

// limitPlan gives engines that fall over when they hold more than their slots.
func limitPlan(variant string) deployment.Config {
	e := deployment.DefaultEngine()
	e.Slots, e.MaxRequests = limitSlots, limitSlots
	e.FirstToken, e.TokenInterval, e.Linger = 10*time.Millisecond, 3*time.Millisecond, 300*time.Millisecond
	times := server.DefaultSlotTimes()
	times.Linger, times.UnlistedAfter = time.Second, 2*time.Second
	l := server.DefaultLimits()
	l.Linger = time.Second
	return deployment.Config{Instances: limitInstances, Engines: limitEngines, EngineTemplate: e, Limits: l, SlotTimes: times, LocalAdmission: variant == Baseline}
}

// slotLoad sends requests from many callers until its context ends.
type slotLoad struct {
	mu        sync.Mutex
	addresses []netip.AddrPort
	done      atomic.Int64
	failed    atomic.Int64
}

func (l *slotLoad) set(addresses []netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addresses = addresses
}

func (l *slotLoad) from(first int) []netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []netip.AddrPort
	for i := range l.addresses {
		list = append(list, l.addresses[(first+i)%len(l.addresses)])
	}
	return list
}

func (l *slotLoad) run(ctx context.Context, d *deployment.Deployment, seed uint64) {
	var group sync.WaitGroup
	for i := range limitCallers {
		group.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				c := completion(d, rng.Uint64()>>1, 5+rng.IntN(30))
				c.Instances, c.Client = l.from(rng.IntN(64)), client
				one, cancel := context.WithTimeout(ctx, limitDeadline)
				_, err := c.Stream(one)
				cancel()
				switch {
				case err == nil:
					l.done.Add(1)
				case ctx.Err() == nil:
					l.failed.Add(1)
					time.Sleep(limitPause)
				}
			}
		})
	}
	group.Wait()
}

func limitsCase(ctx context.Context, seed uint64, variant string) ([]Row, error) {
	d, err := deployment.Start(ctx, limitPlan(variant))
	if err != nil {
		return nil, err
	}
	defer d.Close()
	l := &slotLoad{}
	l.set(d.AddressesFrom(0))
	time.Sleep(time.Second)
	before := slotSums(d)
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() { defer close(ended); l.run(running, d, seed) }()
	time.Sleep(limitPhase)
	calm := slotSums(d)
	calmDone := l.done.Load()
	d.Instances[1].Kill()
	time.Sleep(limitPhase)
	if _, err := d.AddInstance(limitInstances); err != nil {
		return nil, err
	}
	l.set(d.AddressesFrom(0))
	time.Sleep(2 * limitPhase)
	cancel()
	<-ended
	return limitRows(d, l, variant, calm.minus(before), float64(calmDone)), nil
}

func limitRows(d *deployment.Deployment, l *slotLoad, variant string, calm slotSum, calmDone float64) []Row {
	var peaks []float64
	fell := 0
	for _, e := range d.Engines {
		s := e.Stats()
		peaks = append(peaks, float64(s.PeakRequests))
		if s.Overloaded {
			fell++
		}
	}
	name := fmt.Sprintf("%d instances, twice capacity, one killed, one joins", limitInstances)
	over := row(name, variant, "engines that fell over", "of 6", []float64{float64(fell)})
	peak := row(name, variant, fmt.Sprintf("peak per engine, limit %d", limitSlots), "requests", peaks)
	if variant == Ours {
		over = over.bound("0", fell == 0)
		peak = peak.bound("at most 4", peak.Max <= limitSlots)
	}
	rows := []Row{
		over, peak,
		row(name, variant, "answers served", "count", []float64{float64(l.done.Load())}),
		row(name, variant, "requests failed", "count", []float64{float64(l.failed.Load())}),
	}
	name = fmt.Sprintf("%d instances, twice capacity, before the kill", limitInstances)
	// The baseline's engines fall over before they answer, which leaves no request to divide by.
	if calmDone == 0 {
		return rows
	}
	rows = append(rows, row(name, variant, "bytes between instances per request", "B", []float64{calm.bytes / calmDone}))
	if variant == Baseline {
		return rows
	}
	return append(rows,
		row(name, variant, "slots borrowed, of all pools", "share", []float64{calm.lent / max(1, calm.lent+calm.uses)}),
		row(name, variant, "slot calls between instances per request", "calls", []float64{calm.calls / calmDone}))
}

// slotSum is the sum of counters over all instances.
type slotSum struct{ uses, lent, calls, bytes float64 }

func (a slotSum) minus(b slotSum) slotSum {
	return slotSum{a.uses - b.uses, a.lent - b.lent, a.calls - b.calls, a.bytes - b.bytes}
}

func slotSums(d *deployment.Deployment) slotSum {
	n := slotSum{bytes: float64(peerBytes(d))}
	for _, in := range d.Instances {
		count := func(name string) float64 { return float64(in.Metrics.GetOrCreateCounter(name).Get()) }
		for _, m := range []string{"Ask", "Lend", "Return", "Audit", "Fence", "Ping"} {
			n.calls += count(`bambooferry_slot_calls_total{method="` + m + `"}`)
		}
		for _, kind := range []string{"target", "entry", "workspace"} {
			n.uses += count(`bambooferry_slot_uses_total{pool="` + kind + `"}`)
			n.lent += count(`bambooferry_slot_borrows_total{pool="` + kind + `",result="lent"}`)
		}
	}
	return n
}
