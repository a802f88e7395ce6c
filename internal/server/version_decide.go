package server

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/platform"
	"bambooferry.example/bambooferry/pkg/instance"
	"bambooferry.example/bambooferry/pkg/timeline"
	"bambooferry.example/bambooferry/pkg/version"
)

// DeciderLease is the lease that the single decider of version changes and sender of orders holds.
const DeciderLease = "decider"

// decider is the state of a candidate; the lock of Versions guards it.
type decider struct {
	lease            platform.Lease
	leaseUntil       time.Time
	renewalStartedAt time.Time
	leaseSince       time.Time
	changes          map[uint64]*trackedChange
}

// trackedChange is one change as a candidate sees it.
type trackedChange struct {
	*version.Change
	// storeVersion is the version of the record in the key-value service, or -1 until it has been read.
	storeVersion int64
	dirty        bool
}

// applyEvidence adds evidence to the changes; every candidate does so, whether or not it is the decider.
func (v *Versions) applyEvidence(list []version.Report) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range list {
		if c := v.decider.changes[r.ChangeID]; c != nil {
			c.Step(now, version.Event{Kind: version.Reported, Report: r})
		}
	}
}

// decideChanges advances the changes if this instance is a candidate.
func (v *Versions) decideChanges(ctx context.Context) {
	plans := v.plans()
	self, live := v.liveMembers()
	candidate := len(live) == 0 || containsMember(instance.RankByRendezvousHash(live, candidateRankKey, candidateCount), self)
	if len(plans) == 0 && !v.wantsRoles() || !candidate {
		v.mu.Lock()
		v.decider = decider{}
		v.mu.Unlock()
		return
	}
	v.syncChanges(plans)
	v.renewLease(ctx)
	for _, p := range plans {
		v.decideChange(ctx, p)
	}
}

// syncChanges keeps one change for each plan.
func (v *Versions) syncChanges(plans []version.Plan) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.decider.changes
	v.decider.changes = map[uint64]*trackedChange{}
	for _, p := range plans {
		c := old[p.ID]
		if c == nil {
			c = &trackedChange{Change: version.NewChange(now, p, v.Limits), storeVersion: -1}
		}
		v.decider.changes[p.ID] = c
	}
}

// leaseMarginDivisor determines the margin at the end of the lease in which no write is started,
// so that a write in progress can arrive: a quarter of the lease's duration.
const leaseMarginDivisor = 4

// renewLease acquires or renews the lease. Its local end is counted from a time before the call.
func (v *Versions) renewLease(ctx context.Context) {
	now := time.Now()
	v.mu.Lock()
	d := &v.decider
	interval := v.LeaseDuration / 4
	if now.Sub(d.renewalStartedAt) < interval {
		v.mu.Unlock()
		return
	}
	d.renewalStartedAt = now
	v.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, v.LeaseDuration/2)
	defer cancel()
	l, err := v.Leases.AcquireLease(ctx, DeciderLease, v.leaseHolder(), v.LeaseDuration)
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil {
		return
	}
	if l.Holder != v.leaseHolder() {
		d.leaseUntil = time.Time{}
		return
	}
	if l.Fence != d.lease.Fence {
		d.leaseSince = time.Now()
		for _, c := range d.changes {
			// Another decider may have written the record, so it is read again before the next write.
			c.storeVersion = -1
		}
		v.Server.Events.Write(now, timeline.Event{Kind: "decider_began", Decision: "decide", Inputs: []timeline.Input{{Name: "fence", Value: l.Fence}}})
	}
	d.lease, d.leaseUntil = l, now.Add(v.LeaseDuration-v.LeaseDuration/leaseMarginDivisor)
}

// leaseHolder identifies this incarnation of the instance, so that it gets a new fencing number after a restart.
func (v *Versions) leaseHolder() string {
	return v.Server.ID + "/" + time.Unix(0, v.Server.Incarnation).UTC().Format("20060102T150405.000000000")
}

func (v *Versions) holdsLease(now time.Time) bool { return now.Before(v.decider.leaseUntil) }

func recordKey(entry string) string { return "change-" + entry }

// decideChange loads, advances and stores one change.
func (v *Versions) decideChange(ctx context.Context, p version.Plan) {
	now := time.Now()
	v.mu.Lock()
	c, isDecider := v.decider.changes[p.ID], v.holdsLease(now)
	needsRead := c.storeVersion < 0
	v.mu.Unlock()
	if isDecider && needsRead && !v.loadRecord(ctx, p, c) {
		return
	}
	badReason := v.stepChange(now, p, c, isDecider)
	if badReason != "" {
		v.broadcastMark(ctx, now, p, badReason)
	}
	if isDecider {
		v.storeRecord(ctx, p, c)
	}
}

// stepChange advances one change. A candidate that is not the decider only evaluates the evidence.
func (v *Versions) stepChange(now time.Time, p version.Plan, c *trackedChange, isDecider bool) (badReason string) {
	views, _ := VersionChanges.Get(v.Server.Board)
	view := views[p.Entry]
	capacity, interval := v.capacityEvent(p), v.summaryInterval()
	v.mu.Lock()
	defer v.mu.Unlock()
	if !isDecider {
		// The decider's record determines the progress of the change; this candidate keeps its own evidence.
		if view.Record.ID == p.ID && !c.Record.Finished() {
			c.Record = view.Record
		}
		if reason, isBad := c.EvaluateEvidence(now); isBad {
			return reason
		}
		return ""
	}
	events := []version.Event{capacity, {Kind: version.Ticked}}
	if reason := v.marks[p.ID]; reason != "" {
		events = append([]version.Event{{Kind: version.MarkedBad, Why: reason}}, events...)
	}
	for _, ev := range events {
		for _, a := range c.Step(now, ev) {
			c.dirty = true
			v.writeStepEvent(now, c, a)
			if a.Bad {
				badReason = c.Record.Why
			}
		}
	}
	if now.Sub(v.lastStored[p.ID]) >= interval && !c.Record.Finished() {
		c.dirty = true
	}
	return badReason
}

// summaryInterval returns how often the totals of a change are written when no step is taken.
//
// It is longer with many members, since each member fetches each record.
func (v *Versions) summaryInterval() time.Duration {
	if _, live := v.liveMembers(); len(live) > maxDirectMembers {
		return 10 * time.Second
	}
	return time.Second
}

func (v *Versions) writeStepEvent(now time.Time, c *trackedChange, a version.Action) {
	r := &c.Record
	v.Server.Events.Write(now, timeline.Event{
		Kind: "version_step", Entry: r.Entry, Version: r.To, Revision: r.Revision, Decision: a.Step, Why: r.Why, Target: r.Route,
		Inputs: []timeline.Input{
			{Name: "share_ppm", Value: int64(r.Share * 1e6)},
			{Name: "new_requests", Value: int64(r.New.Requests)},
			{Name: "new_failed", Value: int64(r.New.Failed)},
			{Name: "new_slow", Value: int64(r.New.SlowFirstTokens) + int64(r.New.SlowTokenIntervals)},
			{Name: "old_requests", Value: int64(r.Old.Requests)},
			{Name: "old_failed", Value: int64(r.Old.Failed)},
			{Name: "wealth", Value: int64(min(r.Wealth, 1e12))},
			{Name: "fence", Value: v.decider.lease.Fence},
		},
	})
	v.Server.Metrics.GetOrCreateCounter(`bambooferry_version_steps_total{step="` + a.Step + `"}`).Inc()
}

// loadRecord reads the record of a change and continues from the state that the last decider stored.
func (v *Versions) loadRecord(ctx context.Context, p version.Plan, c *trackedChange) bool {
	ctx, cancel := context.WithTimeout(ctx, v.LeaseDuration/2)
	defer cancel()
	val, err := v.Server.Store.Get(ctx, recordKey(p.Entry))
	if err != nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	c.storeVersion = val.Version
	r, err := version.DecodeRecord(val.Data)
	switch {
	case err == nil && r.Fence > v.decider.lease.Fence:
		// Another decider has already taken over.
		v.decider.leaseUntil = time.Time{}
		c.storeVersion = -1
		return false
	case err == nil && r.ID == p.ID && r.Fence == v.decider.lease.Fence && c.Record.Fence == r.Fence:
		// No other decider wrote the record, so the local state is newer.
	case err == nil && r.ID == p.ID:
		c.ResumeFrom(r)
	case val.Version > 0 && err != nil:
		v.Server.Log.Error().Err(err).Str("entry", p.Entry).Msg("version: The record of the change is not valid. The change restarts.")
	}
	c.dirty = true
	return true
}

// storeRecord stores the record by compare-and-swap and then publishes it.
func (v *Versions) storeRecord(ctx context.Context, p version.Plan, c *trackedChange) {
	v.mu.Lock()
	if !c.dirty || c.storeVersion < 0 || !v.holdsLease(time.Now()) {
		v.mu.Unlock()
		return
	}
	c.Record.Fence, c.Record.Decider = v.decider.lease.Fence, v.Server.ID
	rec, storeVersion := c.Record, c.storeVersion
	c.dirty = false
	v.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, v.LeaseDuration/leaseMarginDivisor)
	defer cancel()
	data := rec.Encode()
	next, err := v.Server.Store.CompareAndSwap(ctx, recordKey(p.Entry), storeVersion, data)
	now := time.Now()
	v.mu.Lock()
	if err != nil {
		c.storeVersion, c.dirty = -1, true
		if conflict := (*platform.ConflictError)(nil); errors.As(err, &conflict) {
			v.Server.Events.Write(now, timeline.Event{
				Kind: "version_write_refused", Entry: p.Entry, Version: p.To, Decision: "read_again", Why: "compare_and_swap_conflict",
				Inputs: []timeline.Input{{Name: "fence", Value: rec.Fence}, {Name: "version", Value: conflict.Current.Version}},
			})
		}
		v.mu.Unlock()
		return
	}
	c.storeVersion = next
	if v.lastStored == nil {
		v.lastStored = map[uint64]time.Time{}
	}
	v.lastStored[p.ID] = now
	v.mu.Unlock()
	v.applyRecord(now, rec, next)
	// With many members the record is distributed in the replies to reports, so that the decider's own traffic stays small.
	if _, live := v.liveMembers(); len(live) <= maxDirectMembers {
		v.broadcast(ctx, "Versions.Publish", []RecordAt{{data, next}})
	}
}
