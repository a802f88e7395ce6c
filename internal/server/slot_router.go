package server

import (
	"context"
	"slices"
	"time"

	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/engine"
)

// SlotRouter chooses targets within the limits that apply to all instances together.
type SlotRouter struct {
	Slots *Slots
	Board *blackboard.Board
	Pools *Pools
	// OnSlotFreed, if set, is called with the entry when a target's slot becomes free.
	OnSlotFreed func(entry string)

	// spares holds target slots borrowed for requests that are about to start.
	spares spareSlots
}

// maxPrefixBlocks bounds the prompt blocks that are compared with the targets' caches.
const maxPrefixBlocks = 64

// Choose takes a slot on the free target that the pool prefers, or borrows one.
func (r *SlotRouter) Choose(q TargetQuery) (TargetChoice, bool) {
	blocks := engine.BlockHashes(q.Entry.Name, q.Version, q.Adapter, q.Prompt, maxPrefixBlocks)
	all := r.servingTargets(q)
	free := slices.DeleteFunc(slices.Clone(all), func(o engine.AvailableTarget) bool {
		pool := TargetPool(q.Entry.Name, o.Name)
		return r.Slots.FreeSlots(q.Now, pool) == 0 && (q.Retry || r.spares.count(pool) == 0)
	})
	use := func(pool string) (func(), bool) {
		if release, ok := r.Slots.Acquire(q.Now, pool); ok {
			return release, true
		}
		if q.Retry {
			return nil, false
		}
		return r.spares.take(pool)
	}
	if c, ok := r.takePreferred(q, free, blocks, len(free), "here", use); ok {
		return c, true
	}
	borrow := func(pool string) (func(), bool) { return r.Slots.BorrowWithRetry(context.Background(), pool) }
	return r.takePreferred(q, all, blocks, maxBorrowAttempts, "borrowed", borrow)
}

// freeInPool returns the slots of a pool that can be used without contacting another instance.
func (r *SlotRouter) freeInPool(now time.Time, pool string) int {
	return r.Slots.FreeSlots(now, pool) + r.spares.count(pool)
}

// FreeSlots returns this instance's free slots on the targets that serve a version.
func (r *SlotRouter) FreeSlots(now time.Time, e *catalogue.Entry, version string) (free int, known bool) {
	for _, o := range r.servingTargets(TargetQuery{Entry: e, Version: version}) {
		free, known = free+r.freeInPool(now, TargetPool(e.Name, o.Name)), true
	}
	return free, known
}

// BorrowSlot borrows a slot on the target that the pool prefers and keeps it for the next choice.
func (r *SlotRouter) BorrowSlot(ctx context.Context, e *catalogue.Entry, version string) bool {
	available, pool := r.servingTargets(TargetQuery{Entry: e, Version: version}), r.Pools.poolFor(e.Name)
	for range maxBorrowAttempts {
		c, ok := pool.pickTarget(time.Now(), available, nil, nil)
		if !ok {
			return false
		}
		name := TargetPool(e.Name, c.Name)
		if release, ok := r.Slots.BorrowWithRetry(ctx, name); ok {
			r.spares.keep(name, release)
			return true
		}
		available = slices.DeleteFunc(available, func(o engine.AvailableTarget) bool { return o.Name == c.Name })
	}
	return false
}

// HoldSlot keeps a free slot on the target that the pool prefers for the next choice.
func (r *SlotRouter) HoldSlot(now time.Time, e *catalogue.Entry, version string) (ReservedSlot, bool) {
	available, pool := r.servingTargets(TargetQuery{Entry: e, Version: version}), r.Pools.poolFor(e.Name)
	for len(available) > 0 {
		c, ok := pool.pickTarget(now, available, nil, nil)
		if !ok {
			return nil, false
		}
		name := TargetPool(e.Name, c.Name)
		if release, ok := r.Slots.Acquire(now, name); ok {
			return r.spares.reserve(name, release), true
		}
		if h, ok := r.spares.reserveKept(name); ok {
			return h, true
		}
		available = slices.DeleteFunc(available, func(o engine.AvailableTarget) bool { return o.Name == c.Name })
	}
	return nil, false
}

// servingTargets returns the targets that accept new work of the version.
func (r *SlotRouter) servingTargets(q TargetQuery) []engine.AvailableTarget {
	roundTrips, _ := RoundTripTimes.Get(r.Board)
	var list []engine.AvailableTarget
	for _, t := range q.Entry.Targets {
		if !t.Leaving && t.Version == q.Version {
			list = append(list, engine.AvailableTarget{Name: t.Name, Slots: t.Slots, RoundTrip: roundTrips[t.DataCentre]})
		}
	}
	return list
}

// takePreferred tries to take a slot on the targets in the pool's order of preference, up to a number of tries.
func (r *SlotRouter) takePreferred(q TargetQuery, available []engine.AvailableTarget, blocks []uint64, tries int, source string, slot func(pool string) (func(), bool)) (TargetChoice, bool) {
	pool := r.Pools.poolFor(q.Entry.Name)
	for range tries {
		c, ok := pool.pickTarget(q.Now, available, blocks, q.Avoid)
		if !ok {
			return TargetChoice{}, false
		}
		release, ok := slot(TargetPool(q.Entry.Name, c.Name))
		if !ok {
			available = slices.DeleteFunc(available, func(o engine.AvailableTarget) bool { return o.Name == c.Name })
			continue
		}
		r.countChoice(c.CachedShare > 0, source)
		placement := pool.recordSent(q.Now, c, blocks)
		return TargetChoice{Target: *q.Entry.Target(c.Name), Placement: placement, Release: func() {
			placement.recordEnd(time.Now(), engine.RequestResult{Cancelled: true})
			release()
			if r.OnSlotFreed != nil {
				r.OnSlotFreed(q.Entry.Name)
			}
		}}, true
	}
	return TargetChoice{}, false
}

func (r *SlotRouter) countChoice(hit bool, source string) {
	cached := "no"
	if hit {
		cached = "yes"
	}
	r.Slots.Metrics.GetOrCreateCounter(`bambooferry_target_choices_total{cached="` + cached + `",slot="` + source + `"}`).Inc()
}

// Adopt takes a slot for work that the target already runs.
func (r *SlotRouter) Adopt(now time.Time, e *catalogue.Entry, target string) (TargetChoice, bool) {
	t := e.Target(target)
	if t == nil {
		return TargetChoice{}, false
	}
	release, ok := r.Slots.Adopt(now, TargetPool(e.Name, target))
	if !ok {
		// The work is counted twice until the instance that ran it before is proved to have ended.
		release, ok = r.Slots.BorrowWithRetry(context.Background(), TargetPool(e.Name, target))
	}
	return TargetChoice{Target: *t, Release: release}, ok
}

// Ready reports whether the instance knows the limits of the pools and is in the roster or may borrow slots.
func (r *SlotRouter) Ready() bool { return r.Slots.Ready() }
