package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/catalogue"
)

// VersionRouter wraps a router so that it also uses engines that have loaded the new version of a change.
type VersionRouter struct {
	Router
	Board *blackboard.Board

	mu     sync.Mutex
	copies map[string]loadedEntry
}

// loadedEntry is a copy of an entry whose loaded targets count as targets of the new version.
type loadedEntry struct {
	source        *catalogue.Entry
	recordVersion int64
	copy          *catalogue.Entry
}

// Choose calls the wrapped router with the targets that can run the version.
func (r *VersionRouter) Choose(q TargetQuery) (TargetChoice, bool) {
	q.Entry = r.EntryForVersion(q.Entry, q.Version)
	return r.Router.Choose(q)
}

// EntryForVersion returns the entry as requests of a version see it: targets that have loaded
// the new version of a change count as targets of that version.
func (r *VersionRouter) EntryForVersion(e *catalogue.Entry, version string) *catalogue.Entry {
	views, _ := VersionChanges.Get(r.Board)
	view, ok := views[e.Name]
	if ok && view.Record.Ordered && version == view.Record.To && version != e.Version {
		return r.loadedCopy(e, view)
	}
	return e
}

// FreeSlots calls the wrapped router, which must be a TargetCapacity, with the targets that can run the version.
func (r *VersionRouter) FreeSlots(now time.Time, e *catalogue.Entry, version string) (free int, known bool) {
	return r.Router.(TargetCapacity).FreeSlots(now, r.EntryForVersion(e, version), version)
}

// BorrowSlot calls the wrapped router, which must be a TargetCapacity, with the targets that can run the version.
func (r *VersionRouter) BorrowSlot(ctx context.Context, e *catalogue.Entry, version string) bool {
	return r.Router.(TargetCapacity).BorrowSlot(ctx, r.EntryForVersion(e, version), version)
}

// HoldSlot calls the wrapped router, which must be a TargetCapacity, with the targets that can run the version.
func (r *VersionRouter) HoldSlot(now time.Time, e *catalogue.Entry, version string) (ReservedSlot, bool) {
	return r.Router.(TargetCapacity).HoldSlot(now, r.EntryForVersion(e, version), version)
}

// Ready reports whether the wrapped router is ready.
func (r *VersionRouter) Ready() bool {
	inner, ok := r.Router.(interface{ Ready() bool })
	return !ok || inner.Ready()
}

func (r *VersionRouter) loadedCopy(e *catalogue.Entry, view ChangeView) *catalogue.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k := r.copies[e.Name]; k.source == e && k.recordVersion == view.Version {
		return k.copy
	}
	c := *e
	c.Targets = slices.Clone(e.Targets)
	for i := range c.Targets {
		if slices.Contains(view.Record.Loaded, c.Targets[i].Name) {
			c.Targets[i].Version = view.Record.To
		}
	}
	if r.copies == nil {
		r.copies = map[string]loadedEntry{}
	}
	r.copies[e.Name] = loadedEntry{source: e, recordVersion: view.Version, copy: &c}
	return &c
}
