package relay

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// firstPatience bounds the wait for the first event until the pool's own times are known.
	firstPatience = 5 * time.Second
	// resumePatience bounds the wait for the first event of an attempt that goes on.
	resumePatience = 2500 * time.Millisecond
	// nextPatience bounds the wait between events until the pool's own times are known.
	nextPatience = 400 * time.Millisecond
	// lookEvery is how often a stream that waits for its first event looks whether its target
	// was lost by others.
	lookEvery = 200 * time.Millisecond
	// retryWait is the first pause of a stream that found no target.
	retryWait = 100 * time.Millisecond
	// slowWrite is the time of a write from which the caller counts as having held the stream back.
	slowWrite = 50 * time.Millisecond
)

// streamRun is the state of one stream over its attempts.
type streamRun struct {
	relay *Relay
	q     *query
	w     http.ResponseWriter
	flush *http.ResponseController
	ctx   context.Context
	gen   generation.Stream

	// next is the attempt that is to begin, if any.
	next *generation.Action
	// now and number are the attempt that is open.
	now    *sending
	events eventReader
	headed bool
	// offset is added to a position to give the event's id.
	offset uint64
	// anchored is set once the first event's id is known.
	anchored bool
	// backup is the engine that holds a copy of the run's memory.
	backup netip.AddrPort
	// ran is the number of targets that accepted the stream.
	ran      int
	refusals int
	failure  *generation.Failure
	// told is set when the open attempt is left because its target was lost by others.
	told bool
	// broken is set when the answer to the caller can't go on.
	broken   bool
	lastSent time.Time
	// firstAfter and longestPause are what the caller saw.
	firstAfter   time.Duration
	longestPause time.Duration
	// own is the target's own failure, which is passed on if no other target is asked.
	own *reply
}

// serveStream passes a stream on and lets it go on elsewhere when its target is lost.
func (r *Relay) serveStream(ctx context.Context, w http.ResponseWriter, q *query) {
	now := time.Now()
	st := &streamRun{
		relay: r, q: q, w: w, flush: http.NewResponseController(w), ctx: ctx,
		gen: generation.Stream{
			Exclusive: true, ResumeWait: time.Until(q.deadline), FirstWait: time.Until(q.deadline), RetryWait: retryWait,
			Seed: xxhash.Sum64String(q.ID), Patience: q.pool.patience(defaultStreamPatience),
		},
	}
	if q.Resumes {
		st.offset, st.anchored = q.After+1, true
	}
	q.pool.earn(time.Now())
	st.do(st.gen.Step(now, generation.Event{Kind: generation.Started}))
	for !st.gen.Done() && !st.broken {
		st.turn()
	}
	st.finish()
}

var defaultStreamPatience = generation.Patience{First: firstPatience, Next: nextPatience, Answer: firstPatience}

// patience returns the silence time-outs of the next attempt. One that goes on reads little.
func (st *streamRun) patience() generation.Patience {
	base := defaultStreamPatience
	if st.gen.Position > 0 {
		base.First, base.Answer = resumePatience, resumePatience
	}
	return st.q.pool.patience(base)
}

// turn begins an attempt, passes one event on, or waits for the next try.
func (st *streamRun) turn() {
	switch {
	case st.ctx.Err() != nil:
		st.step(generation.Event{Kind: generation.Abandoned})
	case st.now != nil:
		st.pass()
	case st.next != nil:
		st.begin()
	default:
		st.rest()
	}
}

// rest waits until the stream wants to try again.
func (st *streamRun) rest() {
	wake := st.gen.Wake()
	t := time.NewTimer(max(time.Until(wake), time.Millisecond))
	defer t.Stop()
	select {
	case <-t.C:
		st.step(generation.Event{Kind: generation.Ticked})
	case <-st.ctx.Done():
	}
}

func (st *streamRun) step(ev generation.Event) {
	st.do(st.gen.Step(time.Now(), ev))
}

// do carries out the stream's actions.
func (st *streamRun) do(actions []generation.Action) {
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case generation.Begin:
			next := *a
			st.next = &next
		case generation.Cancel, generation.Detach:
			if st.next != nil && st.next.Attempt == a.Attempt {
				st.next = nil
			}
			if st.now != nil && st.now.number == a.Attempt {
				st.now.silent = a.Reason == generation.SilentAgain && !st.now.first.IsZero()
				st.close(engine.Result{Unreachable: a.Reason == generation.SilentAgain, Cancelled: a.Reason != generation.SilentAgain}, false, a.Reason)
			}
		case generation.Deliver:
			st.deliver(a)
		case generation.Fail:
			st.failure = a.Err
		case generation.Finish:
		}
	}
}

// begin opens the next attempt.
func (st *streamRun) begin() {
	a := st.next
	st.next = nil
	now := time.Now()
	if st.stopped(a) {
		st.broken = true
		return
	}
	t, load, ok := st.choose(now, a)
	if !ok {
		st.step(generation.Event{Kind: generation.Unplaced, Attempt: a.Attempt})
		return
	}
	send := Attempt{Urgency: urgencyOf(st.q, st.gen.Position > 0), Ranked: true, RequestID: st.q.ID}
	if next := st.offset + st.gen.Position; next > 0 && (st.gen.Position > 0 || st.q.Resumes) {
		send.Resumes, send.After = true, next-1
	}
	why := a.Reason
	if st.backup.IsValid() && t.Address == st.backup {
		send.Copy, why = st.backup, "backup"
	}
	st.backup = netip.AddrPort{}
	if b, ok := st.chooseBackup(now, t); ok {
		send.Backup = b.Address
	}
	s := st.relay.begin(now, st.q, t, why, load)
	s.number = a.Attempt
	st.now = s
	st.gen.Patience = st.patience()
	st.open(s, send)
}

// stopped reports whether no further attempt may be made.
func (st *streamRun) stopped(a *generation.Action) bool {
	if a.Attempt == 1 {
		return false
	}
	if st.ran > 0 && (!st.q.route.Repeats() || st.ran >= st.q.route.MaxAttempts) {
		return true
	}
	return !st.q.pool.spend(time.Now())
}

// choose prefers the engine that holds a copy of the run's memory.
func (st *streamRun) choose(now time.Time, a *generation.Action) (route.Target, float64, bool) {
	q := question{avoid: a.Avoid}
	if st.backup.IsValid() && st.gen.Position > 0 {
		if t, ok := st.q.pool.at(st.backup); ok {
			q.prefer = t.ID
		}
	}
	return st.q.pool.choose(now, st.relay.DataCentre, q)
}

// chooseBackup returns the engine that is to get copies, in another data centre if there is one.
func (st *streamRun) chooseBackup(now time.Time, t route.Target) (route.Target, bool) {
	if !st.q.pool.backups() || !st.q.route.Repeats() {
		return route.Target{}, false
	}
	b, _, ok := st.q.pool.choose(now, t.DataCentre, question{avoid: []string{t.ID}, awayFrom: t.DataCentre})
	return b, ok && b.ID != t.ID
}

// open sends the attempt and tells the stream what the target said.
func (st *streamRun) open(s *sending, send Attempt) {
	err := s.open(st.ctx, send, false, time.Now().Add(lookEvery), st.silent)
	now := time.Now()
	if st.gen.Done() || st.now == nil {
		return
	}
	ev := generation.Event{Attempt: s.number, Target: s.target.ID, Reason: lossWhy0(err)}
	switch {
	case err != nil && !s.left:
		ev.Kind = generation.Unreached
		s.silent = wasSilent(err)
		st.close(engine.Result{Unreachable: st.ctx.Err() == nil}, false, "unreachable")
	case err != nil:
		st.ran++
		ev.Kind = generation.Closed
		st.close(st.lossResult(), false, st.lossWhy(err))
	case s.refusedByTarget():
		ev.Kind = generation.Refused
		st.refusals++
		gone := s.res.StatusCode == http.StatusMisdirectedRequest
		_, err := io.Copy(io.Discard, io.LimitReader(s.res.Body, maxBuffered))
		st.close(engine.Result{Unreachable: gone}, err == nil, "not_run")
	default:
		st.ran++
		if st.failed(s, &ev) {
			break
		}
		ev.Kind, ev.Patience = generation.Accepted, st.patience()
		st.backup = send.Backup
		st.events = eventReader{in: bufio.NewReaderSize(s.res.Body, 512), raw: st.events.raw}
		if !st.headed {
			st.headed = true
			st.relay.head(st.w, s.res)
			// The first event flushes the header with it, unless it takes long.
		}
	}
	st.do(st.gen.Step(now, ev))
}

// failed handles an answer that is no stream.
func (st *streamRun) failed(s *sending, ev *generation.Event) bool {
	err := s.check()
	if err == nil && s.res.StatusCode < http.StatusMultipleChoices {
		return false
	}
	ev.Kind = generation.Closed
	p := &reply{s: s}
	if err == nil {
		p.read()
		if p.err == nil && p.rest == nil {
			st.own = p
		}
	}
	whole := err == nil && p.err == nil && p.rest == nil
	st.close(engine.Result{Failed: true}, whole, "failed")
	return true
}

func lossWhy0(err error) string {
	if err == nil {
		return ""
	}
	return lossWhy(err)
}

// silent is asked when the target has sent nothing by the stream's time.
func (st *streamRun) silent(now time.Time) (time.Time, bool) {
	s := st.now
	if s == nil || st.ctx.Err() != nil {
		return time.Time{}, false
	}
	if s.first.IsZero() && st.q.pool.lostSince(now, s.target.ID, s.begun) {
		st.told = true
		return time.Time{}, false
	}
	st.do(st.gen.Step(now, generation.Event{Kind: generation.Ticked}))
	if st.now != s || st.gen.Done() {
		return time.Time{}, false
	}
	return st.wake(now), true
}

// wake returns when a read is to look up again.
func (st *streamRun) wake(now time.Time) time.Time {
	wake := st.gen.Wake()
	if look := now.Add(lookEvery); wake.IsZero() || look.Before(wake) {
		wake = look
	}
	return wake
}

// pass reads one event and hands it to the stream.
func (st *streamRun) pass() {
	s := st.now
	s.conn.wake = st.wake(time.Now())
	raw, id, numbered, err := st.events.next()
	now := time.Now()
	if st.now != s {
		return
	}
	if err == nil {
		st.receive(now, s, raw, id, numbered)
		return
	}
	if errors.Is(err, io.EOF) {
		st.do(st.gen.Step(now, generation.Event{Kind: generation.Ended, Attempt: s.number, Position: st.gen.Position}))
		if st.now == s {
			st.close(engine.Result{}, true, "whole")
		}
		return
	}
	st.close(st.lossResult(), false, st.lossWhy(err))
	st.do(st.gen.Step(now, generation.Event{Kind: generation.Closed, Attempt: s.number, Target: s.target.ID, Reason: lossWhy(err)}))
}

// lossResult returns what the loss of the open attempt tells of its target: nothing, if the
// caller has gone or the target was left on others' word.
func (st *streamRun) lossResult() engine.Result {
	if st.told || st.ctx.Err() != nil {
		return engine.Result{Cancelled: true}
	}
	return engine.Result{Unreachable: true}
}

func (st *streamRun) lossWhy(err error) string {
	if st.told {
		st.told = false
		return "lost_by_others"
	}
	return lossWhy(err)
}

// receive hands one event of the target to the stream.
func (st *streamRun) receive(now time.Time, s *sending, raw []byte, id uint64, numbered bool) {
	if !numbered {
		st.write(raw)
		return
	}
	if !st.anchored {
		st.offset, st.anchored = id, true
	}
	if s.first.IsZero() {
		s.first = now
		st.q.pool.flowing(s.target)
	}
	st.do(st.gen.Step(now, generation.Event{Kind: generation.Received, Attempt: s.number, Position: id - st.offset, Text: string(raw)}))
}

// deliver writes one event to the caller.
func (st *streamRun) deliver(a *generation.Action) {
	now := time.Now()
	if a.Gap > 0 {
		st.q.pool.sawGap(a.Gap)
	}
	st.relay.numbers.event(st.q, now, st.lastSent)
	if st.lastSent.IsZero() {
		st.firstAfter = now.Sub(st.q.begun)
	} else {
		st.longestPause = max(st.longestPause, now.Sub(st.lastSent))
	}
	st.write([]byte(a.Text))
	st.lastSent = time.Now()
	if st.lastSent.Sub(now) > slowWrite {
		// The time in which the caller held the stream back says nothing of the target.
		st.gen.Step(st.lastSent, generation.Event{Kind: generation.Paused})
		st.gen.Step(st.lastSent, generation.Event{Kind: generation.Resumed})
	}
}

func (st *streamRun) write(raw []byte) {
	_, err := st.w.Write(raw)
	if err == nil {
		err = st.flush.Flush()
	}
	if err != nil {
		st.broken = true
	}
}

// close ends the open attempt.
func (st *streamRun) close(result engine.Result, whole bool, why string) {
	s := st.now
	if s == nil {
		return
	}
	st.now = nil
	s.done(time.Now(), result, whole, why)
}

// finish gives the caller the end of the answer.
func (st *streamRun) finish() {
	if st.now != nil {
		st.close(engine.Result{Cancelled: true}, false, callerGone)
	}
	q, r := st.q, st.relay
	gone := st.q.in.Context().Err() != nil
	switch {
	case st.gen.Done() && st.failure == nil && st.ctx.Err() == nil && !st.broken:
		r.endedStream(st, string(generation.Ran), "whole")
	case gone:
		r.endedStream(st, string(generation.Unknown), callerGone)
		panic(http.ErrAbortHandler)
	case st.headed:
		r.endedStream(st, string(generation.Ran), st.why())
		panic(http.ErrAbortHandler)
	case st.own != nil && st.ctx.Err() == nil:
		r.deliver(st.w, q, st.own)
	default:
		r.refuse(st.w, q, st.refusal())
	}
}

func (st *streamRun) why() string {
	switch {
	case st.ctx.Err() != nil:
		return codeTimeout
	case st.failure != nil:
		return st.failure.Code
	}
	return codeTargetLost
}

// refusal returns the answer to a stream of which nothing was sent.
func (st *streamRun) refusal() *Refusal {
	switch {
	case st.ran == 0 && st.refusals > 0:
		return notRun(codeTargetsRefuse, spreadRetry(refusedRetry))
	case st.ran == 0:
		return notRun(codeNoTarget, spreadRetry(startRetry))
	case st.ctx.Err() != nil:
		return timedOut()
	}
	return &Refusal{Status: http.StatusBadGateway, Code: codeTargetLost, Outcome: generation.Unknown}
}

// status returns the status of a stream that ended whole, or 0.
func (st *streamRun) status() int {
	if st.gen.Done() && st.failure == nil && !st.broken && st.ctx.Err() == nil {
		return http.StatusOK
	}
	return 0
}

// endedStream logs the end of a stream with the number of its events.
func (r *Relay) endedStream(st *streamRun, outcome, why string) {
	now := time.Now()
	r.Log.Write(now, timeline.Event{
		Kind: endKind(outcome, why, st.status()), Request: st.q.ID, Outcome: outcome, Why: why, Entry: st.q.route.Name, Workspace: workspaceOf(st.q), Revision: st.q.table.Version,
		Inputs: []timeline.Input{
			{Name: "events", Value: int64(st.gen.Position)},
			{Name: "took_ms", Value: now.Sub(st.q.begun).Milliseconds()},
			{Name: "attempts", Value: int64(st.q.attempts)},
			{Name: "first_event_ms", Value: st.firstAfter.Milliseconds()},
			{Name: "longest_pause_ms", Value: st.longestPause.Milliseconds()},
			{Name: "after_event", Value: int64(st.q.After)},
		},
	})
}
