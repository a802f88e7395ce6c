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

// attempt is one connection to one engine, or one that waits for its turn.
type attempt struct {
	number int
	target string
	// ctx ends when the attempt is not wanted any more.
	ctx    context.Context
	cancel context.CancelFunc
	action generation.Action
	// permit is set while the attempt counts as a resume in flight.
	permit   *permit
	accepted bool
	// closed is set once the connection was lost; the target may still compute.
	closed bool
	// ended tells that the attempt's end is on the time line.
	ended bool
}

// beginAttempt sends an attempt, or queues it when an engine must compute again.
func (st *stream) beginAttempt(ctx context.Context, now time.Time, a generation.Action) {
	ctx, cancel := context.WithCancel(ctx)
	at := &attempt{number: a.Attempt, ctx: ctx, cancel: cancel, action: a}
	st.attempts[a.Attempt] = at
	if a.Attempt > 1 && st.lostAt.IsZero() {
		st.lostAt = now
	}
	if a.Reason == generation.SilentAgain {
		st.server.resumes.fail(now, st.entry.Name, a.Avoid)
	}
	if a.Mode != generation.Continue && a.Mode != generation.Regenerate {
		st.launch(now, at)
		return
	}
	at.permit = st.server.resumes.enter(now, st.pool(), st.server.current, generation.QueuedResume{Since: st.lostAt, DeliveredTokens: st.core.Position})
	st.flying++
	select {
	case <-at.permit.granted:
		st.launch(now, at)
	default:
		st.note(now, timeline.Event{Kind: "resume_queued", Attempt: a.Attempt, Decision: a.Mode.String(), Why: "no_free_slot"})
		st.server.Metrics.GetOrCreateCounter("bambooferry_resumes_queued_total").Inc()
		go st.await(at.ctx, a.Attempt, at.permit.granted)
	}
}

// await tells the loop that an attempt is queued, then that its turn has come.
func (st *stream) await(ctx context.Context, number int, granted <-chan struct{}) {
	if !st.send(ctx, generation.Event{Kind: generation.Queued, Attempt: number}) {
		return
	}
	select {
	case <-granted:
		st.send(ctx, generation.Event{Kind: generation.Dequeued, Attempt: number})
	case <-ctx.Done():
	}
}

// launch finds a target and reads its answer in a goroutine of its own.
func (st *stream) launch(now time.Time, at *attempt) {
	a := at.action
	target, failed, ok := st.place(now, a)
	at.target = target.Name
	var placement *Placement
	if ok && a.Mode != generation.Reattach {
		placement = st.held[target.Name].Placement
	}
	st.note(now, timeline.Event{
		Kind: timeline.AttemptBegun, Attempt: a.Attempt, Target: target.Name, Decision: a.Mode.String(), Why: a.Reason,
		Inputs: append([]timeline.Input{
			{Name: "position", Value: int64(a.Position)}, {Name: "avoided", Value: int64(len(a.Avoid))},
		}, placement.inputs()...),
	})
	st.server.Metrics.GetOrCreateCounter(`bambooferry_attempts_total{way="` + a.Mode.String() + `",why="` + a.Reason + `"}`).Inc()
	if !ok {
		failed.Attempt = a.Attempt
		go st.send(at.ctx, failed)
		return
	}
	st.server.markPlaced(st.request.id)
	if at.permit != nil {
		at.permit.place()
	}
	req := st.wire
	req.Attempt, req.From = a.Attempt, a.Position
	if a.Mode != generation.Fresh {
		req.Priority = resumePriority
	}
	if a.Mode == generation.Regenerate {
		st.regenerating = now
	}
	if a.Mode == generation.Continue {
		req.Delivered, _ = st.core.DeliveredText()
	}
	go st.read(at.ctx, target, &req, a.Mode, placement)
}

// markPlaced tells the admitter that a request has a slot of a target.
func (s *Server) markPlaced(request string) {
	if a, ok := s.Admitter.(interface{ MarkPlaced(request string) }); ok {
		a.MarkPlaced(request)
	}
}

func (st *stream) pool() poolKey {
	return poolKey{entry: st.entry.Name, version: st.wire.Version}
}

// current returns the entry as the catalogue in force has it, or nil when it has none.
func (s *Server) current(entry string) *catalogue.Entry {
	d, ok := Catalogue.Get(s.Board)
	if !ok {
		return nil
	}
	return d.Entry(entry)
}

// place returns the target of an attempt and takes a slot there, unless one is held.
//
// Without a target it returns the event that tells why.
func (st *stream) place(now time.Time, a generation.Action) (catalogue.Target, generation.Event, bool) {
	e := st.server.current(st.entry.Name)
	unplaced := generation.Event{Kind: generation.NoTarget}
	if st.server.calls.isMarked(st.contentDigest()) {
		unplaced.Reason = generation.CrashesTargets
		return catalogue.Target{}, unplaced, false
	}
	if a.Mode == generation.Reattach {
		return st.replace(now, e, a.Target)
	}
	serves := func(t catalogue.Target) bool { return t.Version == st.wire.Version && !t.Leaving }
	if v, ok := st.server.Router.(interface {
		EntryForVersion(e *catalogue.Entry, version string) *catalogue.Entry
	}); ok && e != nil {
		// Engines that were ordered to load the version stand in the catalogue under another.
		e = v.EntryForVersion(e, st.wire.Version)
	}
	if e == nil || !slices.ContainsFunc(e.Targets, serves) {
		unplaced.Reason = generation.VersionGone
		return catalogue.Target{}, unplaced, false
	}
	c, ok := st.server.Router.Choose(TargetQuery{
		Now: now, Entry: e, Version: st.wire.Version, Adapter: st.wire.Adapter, Prompt: st.wire.Prompt,
		Avoid: append(a.Avoid, st.server.resumes.failing(now, e)...), Resume: a.Attempt > 1,
	})
	if !ok {
		return catalogue.Target{}, unplaced, false
	}
	st.vacate(c.Target.Name)
	st.occupy(c)
	return c.Target, generation.Event{}, true
}

// replace finds the target of an earlier attempt, which may have left the catalogue.
func (st *stream) replace(now time.Time, e *catalogue.Entry, name string) (catalogue.Target, generation.Event, bool) {
	missing := generation.Event{Kind: generation.RecordMissing, Target: name}
	if e == nil {
		return catalogue.Target{Name: name}, missing, false
	}
	t := e.Target(name)
	if t == nil {
		return catalogue.Target{Name: name}, missing, false
	}
	if st.regain(name) {
		return *t, generation.Event{}, true
	}
	c, ok := st.server.Router.Adopt(now, e, name)
	if !ok {
		return *t, generation.Event{Kind: generation.NoTarget}, false
	}
	st.occupy(c)
	return *t, generation.Event{}, true
}

// occupy keeps the slot of a choice until it is given back.
func (st *stream) occupy(c TargetChoice) {
	c = st.server.resumes.occupy(st.pool(), c)
	st.held[c.Target.Name] = &heldSlot{TargetChoice: c}
}

// regain reports whether the stream still has the slot at a target, and keeps it from then on.
//
// A second slot for the same generation would leave others without one for the linger time.
func (st *stream) regain(target string) bool {
	h := st.held[target]
	if h == nil {
		return false
	}
	if h.linger != nil && !h.linger.Stop() {
		delete(st.held, target)
		return false
	}
	h.linger = nil
	return true
}

// vacate gives back the slot at a target.
func (st *stream) vacate(target string) {
	if c, ok := st.held[target]; ok {
		delete(st.held, target)
		c.Release()
	}
}

// settle brings the attempts' slots and permits up to date with an event, before it is decided on.
func (st *stream) settle(now time.Time, ev generation.Event) {
	if ev.Kind == generation.TokenReceived && st.flying == 0 {
		return
	}
	at := st.attempts[ev.Attempt]
	if at == nil {
		return
	}
	switch ev.Kind {
	case generation.TokenReceived:
		st.land(now, at)
	case generation.Accepted:
		at.accepted = true
		if at.action.Mode == generation.Reattach {
			// The engine has a record, so that going on costs it nothing.
			st.recompute = 0
		}
		st.server.resumes.recover(st.entry.Name, ev.Target)
	case generation.ConnectionLost, generation.Unreachable, generation.RecordMissing, generation.Refused, generation.NoTarget:
		st.land(now, at)
		at.closed = true
		at.cancel()
		if !at.accepted && ev.Kind != generation.RecordMissing && at.target != "" {
			st.server.resumes.fail(now, st.entry.Name, []string{at.target})
		}
		if ev.Kind != generation.ConnectionLost {
			st.settleIdle(at, ev.Kind)
		}
	}
}

// settleIdle gives back the slot of a target that is known not to compute for the attempt.
func (st *stream) settleIdle(at *attempt, kind generation.EventKind) {
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
	st.vacate(at.target)
}

// land ends an attempt's time as a resume in flight.
func (st *stream) land(now time.Time, at *attempt) {
	if at.permit != nil {
		at.permit.leave(now)
		at.permit = nil
		st.flying--
	}
}

// endAttempt closes an attempt's connection and, for a cancel, ends its generation at the target.
func (st *stream) endAttempt(now time.Time, a generation.Action) {
	at := st.attempts[a.Attempt]
	if at == nil {
		return
	}
	at.cancel()
	st.land(now, at)
	delete(st.attempts, a.Attempt)
	decision := "cancel"
	if a.Kind == generation.Detach {
		decision = "detach"
	}
	st.noteEnd(now, at, decision, a.Reason)
	if a.Kind != generation.Cancel || at.target == "" {
		return
	}
	c, ok := st.held[at.target]
	if !ok {
		return
	}
	delete(st.held, at.target)
	go st.server.releaseAt(c.TargetChoice, st.wire.Generation, a.Attempt)
}
