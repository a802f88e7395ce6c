package server

import (
	"context"
	"slices"
	"time"

	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const resumePriority = 1

// attempt is one connection to an engine, or one that waits for permission to start.
type attempt struct {
	number int
	target string
	// ctx ends when the attempt is no longer needed.
	ctx    context.Context
	cancel context.CancelFunc
	action generation.Action
	// permit is set while the attempt counts as a waiting or running resume.
	permit   *permit
	accepted bool
	// closed is set once the connection is lost; the target may still be computing.
	closed bool
	// endRecorded is set once the attempt's end has been written to the timeline.
	endRecorded bool
}

// startAttempt starts an attempt, or queues it if an engine has to recompute tokens.
func (st *stream) startAttempt(ctx context.Context, now time.Time, a generation.Action) {
	ctx, cancel := context.WithCancel(ctx)
	at := &attempt{number: a.Attempt, ctx: ctx, cancel: cancel, action: a}
	st.attempts[a.Attempt] = at
	if a.Attempt > 1 && st.lostAt.IsZero() {
		st.lostAt = now
	}
	if a.Reason == generation.SilentAgain {
		st.server.resumes.markFailing(now, st.entry.Name, a.Avoid)
	}
	if a.Mode != generation.Continue && a.Mode != generation.Regenerate {
		st.launch(now, at)
		return
	}
	at.permit = st.server.resumes.enqueue(now, st.versionKey(), st.server.currentEntry, generation.QueuedResume{Since: st.lostAt, DeliveredTokens: st.core.Position})
	st.permitsHeld++
	select {
	case <-at.permit.granted:
		st.launch(now, at)
	default:
		st.writeEvent(now, timeline.Event{Kind: "resume_queued", Attempt: a.Attempt, Decision: a.Mode.String(), Why: "no_free_slot"})
		st.server.Metrics.GetOrCreateCounter("bambooferry_resumes_queued_total").Inc()
		go st.notifyWhenGranted(at.ctx, a.Attempt, at.permit.granted)
	}
}

// notifyWhenGranted notifies the loop that an attempt is queued, and again when it may start.
func (st *stream) notifyWhenGranted(ctx context.Context, number int, granted <-chan struct{}) {
	if !st.sendEvent(ctx, generation.Event{Kind: generation.Queued, Attempt: number}) {
		return
	}
	select {
	case <-granted:
		st.sendEvent(ctx, generation.Event{Kind: generation.Dequeued, Attempt: number})
	case <-ctx.Done():
	}
}

// launch chooses a target and reads its response in a new goroutine.
func (st *stream) launch(now time.Time, at *attempt) {
	a := at.action
	target, failure, ok := st.acquireTarget(now, a)
	at.target = target.Name
	var placement *Placement
	if ok && a.Mode != generation.Reattach {
		placement = st.slots[target.Name].Placement
	}
	st.writeEvent(now, timeline.Event{
		Kind: timeline.AttemptBegun, Attempt: a.Attempt, Target: target.Name, Decision: a.Mode.String(), Why: a.Reason,
		Inputs: append([]timeline.Input{
			{Name: "position", Value: int64(a.Position)}, {Name: "avoided", Value: int64(len(a.Avoid))},
		}, placement.eventInputs()...),
	})
	st.server.Metrics.GetOrCreateCounter(`bambooferry_attempts_total{way="` + a.Mode.String() + `",why="` + a.Reason + `"}`).Inc()
	if !ok {
		failure.Attempt = a.Attempt
		go st.sendEvent(at.ctx, failure)
		return
	}
	st.server.markPlaced(st.request.id)
	if at.permit != nil {
		at.permit.markPlaced()
	}
	req := st.engineRequest
	req.Attempt, req.From = a.Attempt, a.Position
	if a.Mode != generation.Fresh {
		req.Priority = resumePriority
	}
	if a.Mode == generation.Regenerate {
		st.regenerateStart = now
	}
	if a.Mode == generation.Continue {
		req.Delivered, _ = st.core.DeliveredText()
	}
	go st.readAttempt(at.ctx, target, &req, a.Mode, placement)
}

// markPlaced tells the admitter that a request has a slot of a target.
func (s *Server) markPlaced(request string) {
	if a, ok := s.Admitter.(interface{ MarkPlaced(request string) }); ok {
		a.MarkPlaced(request)
	}
}

func (st *stream) versionKey() versionKey {
	return versionKey{entry: st.entry.Name, version: st.engineRequest.Version}
}

// currentEntry returns an entry of the catalogue in force, or nil if the catalogue does not have it.
func (s *Server) currentEntry(entry string) *catalogue.Entry {
	d, ok := Catalogue.Get(s.Board)
	if !ok {
		return nil
	}
	return d.Entry(entry)
}

// acquireTarget returns the target of an attempt and takes a slot there unless one is held.
//
// Without a target it returns the event that states the reason.
func (st *stream) acquireTarget(now time.Time, a generation.Action) (catalogue.Target, generation.Event, bool) {
	e := st.server.currentEntry(st.entry.Name)
	noTarget := generation.Event{Kind: generation.NoTarget}
	if st.server.calls.isMarked(st.contentDigest()) {
		noTarget.Reason = generation.CrashesTargets
		return catalogue.Target{}, noTarget, false
	}
	if a.Mode == generation.Reattach {
		return st.reacquireTarget(now, e, a.Target)
	}
	serves := func(t catalogue.Target) bool { return t.Version == st.engineRequest.Version && !t.Leaving }
	if v, ok := st.server.Router.(interface {
		EntryForVersion(e *catalogue.Entry, version string) *catalogue.Entry
	}); ok && e != nil {
		// In the catalogue, engines that were ordered to load the version still have their former version.
		e = v.EntryForVersion(e, st.engineRequest.Version)
	}
	if e == nil || !slices.ContainsFunc(e.Targets, serves) {
		noTarget.Reason = generation.VersionGone
		return catalogue.Target{}, noTarget, false
	}
	c, ok := st.server.Router.Choose(TargetQuery{
		Now: now, Entry: e, Version: st.engineRequest.Version, Adapter: st.engineRequest.Adapter, Prompt: st.engineRequest.Prompt,
		Avoid: append(a.Avoid, st.server.resumes.failingTargets(now, e)...), Resume: a.Attempt > 1,
	})
	if !ok {
		return catalogue.Target{}, noTarget, false
	}
	st.releaseSlot(c.Target.Name)
	st.keepSlot(c)
	return c.Target, generation.Event{}, true
}

// reacquireTarget finds the target of an earlier attempt, which may no longer be in the catalogue.
func (st *stream) reacquireTarget(now time.Time, e *catalogue.Entry, name string) (catalogue.Target, generation.Event, bool) {
	missing := generation.Event{Kind: generation.RecordMissing, Target: name}
	if e == nil {
		return catalogue.Target{Name: name}, missing, false
	}
	t := e.Target(name)
	if t == nil {
		return catalogue.Target{Name: name}, missing, false
	}
	if st.reclaimSlot(name) {
		return *t, generation.Event{}, true
	}
	c, ok := st.server.Router.Adopt(now, e, name)
	if !ok {
		return *t, generation.Event{Kind: generation.NoTarget}, false
	}
	st.keepSlot(c)
	return *t, generation.Event{}, true
}

// keepSlot keeps the slot of a chosen target until it is released.
func (st *stream) keepSlot(c TargetChoice) {
	c = st.server.resumes.countSlot(st.versionKey(), c)
	st.slots[c.Target.Name] = &heldSlot{TargetChoice: c}
}

// reclaimSlot reports whether the stream still has the slot at a target, and stops its linger timer.
//
// Taking a second slot for the same generation would deprive other requests of one for the linger time.
func (st *stream) reclaimSlot(target string) bool {
	h := st.slots[target]
	if h == nil {
		return false
	}
	if h.lingerTimer != nil && !h.lingerTimer.Stop() {
		delete(st.slots, target)
		return false
	}
	h.lingerTimer = nil
	return true
}

// releaseSlot gives back the slot at a target.
func (st *stream) releaseSlot(target string) {
	if c, ok := st.slots[target]; ok {
		delete(st.slots, target)
		c.Release()
	}
}

// updateAttempt updates an attempt's slot and permit for an event, before the event is passed to core.
func (st *stream) updateAttempt(now time.Time, ev generation.Event) {
	if ev.Kind == generation.TokenReceived && st.permitsHeld == 0 {
		return
	}
	at := st.attempts[ev.Attempt]
	if at == nil {
		return
	}
	switch ev.Kind {
	case generation.TokenReceived:
		st.releasePermit(now, at)
	case generation.Accepted:
		at.accepted = true
		if at.action.Mode == generation.Reattach {
			// The engine has a record, so that continuing requires no recomputation.
			st.recomputePerToken = 0
		}
		st.server.resumes.clearFailing(st.entry.Name, ev.Target)
	case generation.ConnectionLost, generation.Unreachable, generation.RecordMissing, generation.Refused, generation.NoTarget:
		st.releasePermit(now, at)
		at.closed = true
		at.cancel()
		if !at.accepted && ev.Kind != generation.RecordMissing && at.target != "" {
			st.server.resumes.markFailing(now, st.entry.Name, []string{at.target})
		}
		if ev.Kind != generation.ConnectionLost {
			st.releaseIdleSlot(at, ev.Kind)
		}
	}
}

// releaseIdleSlot gives back the slot of a target that is known not to be computing for the attempt.
func (st *stream) releaseIdleSlot(at *attempt, kind generation.EventKind) {
	delete(st.attempts, at.number)
	for n, other := range st.attempts {
		if other.target != at.target {
			continue
		}
		if kind != generation.RecordMissing || !other.closed {
			return
		}
		delete(st.attempts, n)
	}
	st.releaseSlot(at.target)
}

// releasePermit stops counting an attempt as a waiting or running resume.
func (st *stream) releasePermit(now time.Time, at *attempt) {
	if at.permit != nil {
		at.permit.release(now)
		at.permit = nil
		st.permitsHeld--
	}
}

// endAttempt closes an attempt's connection and, for a cancel action, ends its generation at the target.
func (st *stream) endAttempt(now time.Time, a generation.Action) {
	at := st.attempts[a.Attempt]
	if at == nil {
		return
	}
	at.cancel()
	st.releasePermit(now, at)
	delete(st.attempts, a.Attempt)
	decision := "cancel"
	if a.Kind == generation.Detach {
		decision = "detach"
	}
	st.recordAttemptEnd(now, at, decision, a.Reason)
	if a.Kind != generation.Cancel || at.target == "" {
		return
	}
	c, ok := st.slots[at.target]
	if !ok {
		return
	}
	delete(st.slots, at.target)
	go st.server.cancelAndRelease(c.TargetChoice, st.engineRequest.Generation, a.Attempt)
}
