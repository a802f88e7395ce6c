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
	// limitCallers is twice the number of the engines' slots.
	limitCallers     = 2 * limitEngines * limitSlots
	limitPhaseLength = 2 * time.Second
	// limitDeadline limits one request, so that the load ends soon after its context.
	limitDeadline     = 3 * time.Second
	limitFailurePause = 20 * time.Millisecond
)

// measureLimits measures requests beyond the engines' limits at twice their capacity. The baseline's instances
// enforce limits by their own counts only.
func measureLimits(ctx context.Context, seed uint64) ([]Row, error) {
	// The variants can run concurrently, because none of these metrics is a time.
	variants := []string{Ours, Baseline}
	rows := make([][]Row, len(variants))
	group, ctx := errgroup.WithContext(ctx)
	for i, variant := range variants {
		group.Go(func() (err error) {
			rows[i], err = measureLimitsVariant(ctx, seed, variant)
			return errors.Wrap(err, variant)
		})
	}
	err := group.Wait()
	return slices.Concat(rows...), err
}

// limitConfig returns a deployment whose engines crash when they hold more requests than slots.
func limitConfig(variant string) deployment.Config {
	e := deployment.DefaultEngine()
	e.Slots, e.MaxRequests = limitSlots, limitSlots
	e.FirstToken, e.TokenInterval, e.Linger = 10*time.Millisecond, 3*time.Millisecond, 300*time.Millisecond
	slotTimes := server.DefaultSlotTimes()
	slotTimes.Linger, slotTimes.UnlistedAfter = time.Second, 2*time.Second
	limits := server.DefaultLimits()
	limits.Linger = time.Second
	return deployment.Config{Instances: limitInstances, Engines: limitEngines, EngineTemplate: e, Limits: limits, SlotTimes: slotTimes, LocalAdmission: variant == Baseline}
}

// slotLoad sends requests from many callers until its context ends.
type slotLoad struct {
	mu        sync.Mutex
	addresses []netip.AddrPort
	done      atomic.Int64
	failed    atomic.Int64
}

func (l *slotLoad) setAddresses(addresses []netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addresses = addresses
}

// addressesFrom returns the addresses rotated to begin at index first.
func (l *slotLoad) addressesFrom(first int) []netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	var rotated []netip.AddrPort
	for i := range l.addresses {
		rotated = append(rotated, l.addresses[(first+i)%len(l.addresses)])
	}
	return rotated
}

func (l *slotLoad) run(ctx context.Context, d *deployment.Deployment, seed uint64) {
	var callers sync.WaitGroup
	for i := range limitCallers {
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				c := completion(d, rng.Uint64()>>1, 5+rng.IntN(30))
				c.Instances, c.Client = l.addressesFrom(rng.IntN(64)), client
				requestCtx, cancel := context.WithTimeout(ctx, limitDeadline)
				_, err := c.Stream(requestCtx)
				cancel()
				switch {
				case err == nil:
					l.done.Add(1)
				case ctx.Err() == nil:
					l.failed.Add(1)
					time.Sleep(limitFailurePause)
				}
			}
		})
	}
	callers.Wait()
}

// measureLimitsVariant runs the load of one variant while an instance is killed and another joins.
func measureLimitsVariant(ctx context.Context, seed uint64, variant string) ([]Row, error) {
	d, err := deployment.Start(ctx, limitConfig(variant))
	if err != nil {
		return nil, err
	}
	defer d.Close()
	load := &slotLoad{}
	load.setAddresses(d.AddressesFrom(0))
	time.Sleep(time.Second)
	countersBefore := sumSlotCounters(d)
	loadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	loadEnded := make(chan struct{})
	go func() { defer close(loadEnded); load.run(loadCtx, d, seed) }()
	time.Sleep(limitPhaseLength)
	beforeKill := sumSlotCounters(d)
	doneBeforeKill := load.done.Load()
	d.Instances[1].Kill()
	time.Sleep(limitPhaseLength)
	if _, err := d.AddInstance(limitInstances); err != nil {
		return nil, err
	}
	load.setAddresses(d.AddressesFrom(0))
	time.Sleep(2 * limitPhaseLength)
	cancel()
	<-loadEnded
	return limitRows(d, load, variant, beforeKill.minus(countersBefore), float64(doneBeforeKill)), nil
}

func limitRows(d *deployment.Deployment, load *slotLoad, variant string, beforeKill slotCounters, doneBeforeKill float64) []Row {
	var peaks []float64
	overloaded := 0
	for _, e := range d.Engines {
		s := e.Stats()
		peaks = append(peaks, float64(s.PeakRequests))
		if s.Overloaded {
			overloaded++
		}
	}
	caseName := fmt.Sprintf("%d instances, twice capacity, one killed, one joins", limitInstances)
	overloadedRow := row(caseName, variant, "engines that fell over", "of 6", []float64{float64(overloaded)})
	peakRow := row(caseName, variant, fmt.Sprintf("peak per engine, limit %d", limitSlots), "requests", peaks)
	if variant == Ours {
		overloadedRow = overloadedRow.withTarget("0", overloaded == 0)
		peakRow = peakRow.withTarget("at most 4", peakRow.Max <= limitSlots)
	}
	rows := []Row{
		overloadedRow, peakRow,
		row(caseName, variant, "answers served", "count", []float64{float64(load.done.Load())}),
		row(caseName, variant, "requests failed", "count", []float64{float64(load.failed.Load())}),
	}
	caseName = fmt.Sprintf("%d instances, twice capacity, before the kill", limitInstances)
	// The baseline's engines crash before they answer, which leaves no request to divide by.
	if doneBeforeKill == 0 {
		return rows
	}
	rows = append(rows, row(caseName, variant, "bytes between instances per request", "B", []float64{beforeKill.peerBytes / doneBeforeKill}))
	if variant == Baseline {
		return rows
	}
	return append(rows,
		row(caseName, variant, "slots borrowed, of all pools", "share", []float64{beforeKill.lent / max(1, beforeKill.lent+beforeKill.uses)}),
		row(caseName, variant, "slot calls between instances per request", "calls", []float64{beforeKill.calls / doneBeforeKill}))
}

// slotCounters holds counters summed over all instances.
type slotCounters struct{ uses, lent, calls, peerBytes float64 }

func (a slotCounters) minus(b slotCounters) slotCounters {
	return slotCounters{a.uses - b.uses, a.lent - b.lent, a.calls - b.calls, a.peerBytes - b.peerBytes}
}

func sumSlotCounters(d *deployment.Deployment) slotCounters {
	sum := slotCounters{peerBytes: float64(peerBytes(d))}
	for _, in := range d.Instances {
		count := func(name string) float64 { return float64(in.Metrics.GetOrCreateCounter(name).Get()) }
		for _, method := range []string{"Ask", "Lend", "Return", "Audit", "Fence", "Ping"} {
			sum.calls += count(`bambooferry_slot_calls_total{method="` + method + `"}`)
		}
		for _, kind := range []string{"target", "entry", "workspace"} {
			sum.uses += count(`bambooferry_slot_uses_total{pool="` + kind + `"}`)
			sum.lent += count(`bambooferry_slot_borrows_total{pool="` + kind + `",result="lent"}`)
		}
	}
	return sum
}
