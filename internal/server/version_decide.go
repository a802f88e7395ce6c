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

// DeciderLease is the lease of the one decider of version changes and sender of orders.
const DeciderLease = "decider"

// decider is what a candidate holds; the lock of Versions guards it.
type decider struct {
	lease   platform.Lease
	until   time.Time
	asked   time.Time
	since   time.Time
	changes map[uint64]*change
}

// change is one change as a candidate sees it.
type change struct {
	*version.Change
	// at is the version of the record in the key-value service, -1 while it was not read.
	at    int64
	dirty bool
}

// receive feeds evidence to the changes; every candidate does so, decider or not.
func (v *Versions) receive(list []version.Report) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range list {
		if c := v.decider.changes[r.ChangeID]; c != nil {
			c.Step(now, version.Event{Kind: version.Reported, Report: r})
		}
	}
}

// decide steps the changes if this instance is a candidate.
func (v *Versions) decide(ctx context.Context) {
	plans := v.plans()
	self, live := v.members()
	candidate := len(live) == 0 || contains(instance.RankByRendezvousHash(live, rankKey, candidates), self)
	if len(plans) == 0 && !v.asksRoles() || !candidate {
		v.mu.Lock()
		v.decider = decider{}
		v.mu.Unlock()
		return
	}
	v.follow(plans)
	v.renew(ctx)
	for _, p := range plans {
		v.decideOne(ctx, p)
	}
}

// follow keeps a change for each plan.
func (v *Versions) follow(plans []version.Plan) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.decider.changes
	v.decider.changes = map[uint64]*change{}
	for _, p := range plans {
		c := old[p.ID]
		if c == nil {
			c = &change{Change: version.NewChange(now, p, v.Limits), at: -1}
		}
		v.decider.changes[p.ID] = c
	}
}

// leaseMargin is the part of the lease's duration that is left for a write to arrive in.
const leaseMargin = 4

// renew takes or renews the lease. Its local end is counted from before the call.
func (v *Versions) renew(ctx context.Context) {
	now := time.Now()
	v.mu.Lock()
	d := &v.decider
	wait := v.LeaseDuration / 4
	if now.Sub(d.asked) < wait {
		v.mu.Unlock()
		return
	}
	d.asked = now
	v.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, v.LeaseDuration/2)
	defer cancel()
	l, err := v.Leases.Acquire(ctx, DeciderLease, v.holder(), v.LeaseDuration)
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil {
		return
	}
	if l.Holder != v.holder() {
		d.until = time.Time{}
		return
	}
	if l.Fence != d.lease.Fence {
		d.since = time.Now()
		for _, c := range d.changes {
			// What another decider wrote has to be read before the next write.
			c.at = -1
		}
		v.Server.Events.Write(now, timeline.Event{Kind: "decider_began", Decision: "decide", Inputs: []timeline.Input{{Name: "fence", Value: l.Fence}}})
	}
	d.lease, d.until = l, now.Add(v.LeaseDuration-v.LeaseDuration/leaseMargin)
}

// holder names this incarnation of the instance, so that a restarted one gets a new fencing number.
func (v *Versions) holder() string {
	return v.Server.ID + "/" + time.Unix(0, v.Server.Incarnation).UTC().Format("20060102T150405.000000000")
}

func (v *Versions) holds(now time.Time) bool { return now.Before(v.decider.until) }

func recordKey(entry string) string { return "change-" + entry }

// decideOne reads, steps and writes one change.
func (v *Versions) decideOne(ctx context.Context, p version.Plan) {
	now := time.Now()
	v.mu.Lock()
	c, holds := v.decider.changes[p.ID], v.holds(now)
	unread := c.at < 0
	v.mu.Unlock()
	if holds && unread && !v.read(ctx, p, c) {
		return
	}
	bad := v.stepOne(now, p, c, holds)
	if bad != "" {
		v.mark(ctx, now, p, bad)
	}
	if holds {
		v.write(ctx, p, c)
	}
}

// stepOne steps one change. A candidate that is not the decider only weighs the evidence.
func (v *Versions) stepOne(now time.Time, p version.Plan, c *change, holds bool) (bad string) {
	views, _ := VersionChanges.Get(v.Server.Board)
	view := views[p.Entry]
	able, period := v.able(p), v.summaryPeriod()
	v.mu.Lock()
	defer v.mu.Unlock()
	if !holds {
		// The decider's record tells how far the change is; this candidate's own evidence goes on.
		if view.Record.ID == p.ID && !c.Record.Finished() {
			c.Record = view.Record
		}
		if why, is := c.EvaluateEvidence(now); is {
			return why
		}
		return ""
	}
	events := []version.Event{able, {Kind: version.Ticked}}
	if why := v.marks[p.ID]; why != "" {
		events = append([]version.Event{{Kind: version.MarkedBad, Why: why}}, events...)
	}
	for _, ev := range events {
		for _, a := range c.Step(now, ev) {
			c.dirty = true
			v.note(now, c, a)
			if a.Bad {
				bad = c.Record.Why
			}
		}
	}
	if now.Sub(v.seen[p.ID]) >= period && !c.Record.Finished() {
		c.dirty = true
	}
	return bad
}

// summaryPeriod is how often the sums of a change are written when no step is taken.
//
// Each member fetches each record, so that it is longer with many.
func (v *Versions) summaryPeriod() time.Duration {
	if _, live := v.members(); len(live) > fewMembers {
		return 10 * time.Second
	}
	return time.Second
}

func (v *Versions) note(now time.Time, c *change, a version.Action) {
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

// read takes up the record of a change where the last decider left it.
func (v *Versions) read(ctx context.Context, p version.Plan, c *change) bool {
	ctx, cancel := context.WithTimeout(ctx, v.LeaseDuration/2)
	defer cancel()
	val, err := v.Server.Store.Get(ctx, recordKey(p.Entry))
	if err != nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	c.at = val.Version
	r, err := version.DecodeRecord(val.Data)
	switch {
	case err == nil && r.Fence > v.decider.lease.Fence:
		// Another decider has taken over already.
		v.decider.until = time.Time{}
		c.at = -1
		return false
	case err == nil && r.ID == p.ID && r.Fence == v.decider.lease.Fence && c.Record.Fence == r.Fence:
		// Nobody else wrote; what stands here is newer.
	case err == nil && r.ID == p.ID:
		c.ResumeFrom(r)
	case val.Version > 0 && err != nil:
		v.Server.Log.Error().Err(err).Str("entry", p.Entry).Msg("version: The record of the change is not valid. The change starts again.")
	}
	c.dirty = true
	return true
}

// write stores the record by compare-and-swap and publishes it once it is stored.
func (v *Versions) write(ctx context.Context, p version.Plan, c *change) {
	v.mu.Lock()
	if !c.dirty || c.at < 0 || !v.holds(time.Now()) {
		v.mu.Unlock()
		return
	}
	c.Record.Fence, c.Record.Decider = v.decider.lease.Fence, v.Server.ID
	rec, at := c.Record, c.at
	c.dirty = false
	v.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, v.LeaseDuration/leaseMargin)
	defer cancel()
	data := rec.Encode()
	next, err := v.Server.Store.Swap(ctx, recordKey(p.Entry), at, data)
	now := time.Now()
	v.mu.Lock()
	if err != nil {
		c.at, c.dirty = -1, true
		if conflict := (*platform.ConflictError)(nil); errors.As(err, &conflict) {
			v.Server.Events.Write(now, timeline.Event{
				Kind: "version_write_refused", Entry: p.Entry, Version: p.To, Decision: "read_again", Why: "compare_and_swap_conflict",
				Inputs: []timeline.Input{{Name: "fence", Value: rec.Fence}, {Name: "version", Value: conflict.Current.Version}},
			})
		}
		v.mu.Unlock()
		return
	}
	c.at = next
	if v.seen == nil {
		v.seen = map[uint64]time.Time{}
	}
	v.seen[p.ID] = now
	v.mu.Unlock()
	v.take(now, rec, next)
	// With many members the answers to reports carry the record, so that the decider's own traffic stays small.
	if _, live := v.members(); len(live) <= fewMembers {
		v.tell(ctx, "Versions.Publish", []RecordAt{{data, next}})
	}
}
