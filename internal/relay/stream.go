package relay

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/generation"
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

	// planned is the attempt that is to begin, current the one that is open, if any.
	planned *generation.Action
	current *sending
	events  eventReader
	headed  bool
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
			Exclusive: true, ResumeWait: time.Until(q.deadline), AcceptWait: time.Until(q.deadline), RetryWait: retryWait,
			Seed: xxhash.Sum64String(q.ID), Timeouts: q.pool.patience(defaultStreamPatience),
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

var defaultStreamPatience = generation.Timeouts{FirstToken: firstPatience, NextToken: nextPatience, Accept: firstPatience}

// patience returns the silence time-outs of the next attempt. One that goes on reads little.
func (st *streamRun) patience() generation.Timeouts {
	base := defaultStreamPatience
	if st.gen.Position > 0 {
		base.FirstToken, base.Accept = resumePatience, resumePatience
	}
	return st.q.pool.patience(base)
}

// turn begins an attempt, passes one event on, or waits for the next try.
func (st *streamRun) turn() {
	switch {
	case st.ctx.Err() != nil:
		st.step(generation.Event{Kind: generation.Abandoned})
	case st.current != nil:
		st.pass()
	case st.planned != nil:
		st.begin()
	default:
		st.rest()
	}
}

// rest waits until the stream wants to try again.
func (st *streamRun) rest() {
	wake := st.gen.NextTick()
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
			st.planned = &next
		case generation.Cancel, generation.Detach:
			if st.planned != nil && st.planned.Attempt == a.Attempt {
				st.planned = nil
			}
			if st.current != nil && st.current.number == a.Attempt {
				st.current.silent = a.Reason == generation.SilentAgain && !st.current.first.IsZero()
				st.endAttempt(engine.Result{Unreachable: a.Reason == generation.SilentAgain, Cancelled: a.Reason != generation.SilentAgain}, false, a.Reason)
			}
		case generation.Deliver:
			st.deliver(a)
		case generation.Fail:
			st.failure = a.Err
		case generation.Finish:
		}
	}
}

// silent is asked when the target has sent nothing by the stream's time.
func (st *streamRun) silent(now time.Time) (time.Time, bool) {
	s := st.current
	if s == nil || st.ctx.Err() != nil {
		return time.Time{}, false
	}
	if s.first.IsZero() && st.q.pool.lostSince(now, s.target.ID, s.begun) {
		st.told = true
		return time.Time{}, false
	}
	st.do(st.gen.Step(now, generation.Event{Kind: generation.Ticked}))
	if st.current != s || st.gen.Done() {
		return time.Time{}, false
	}
	return st.wake(now), true
}

// wake returns when a read is to look up again.
func (st *streamRun) wake(now time.Time) time.Time {
	wake := st.gen.NextTick()
	if look := now.Add(lookEvery); wake.IsZero() || look.Before(wake) {
		wake = look
	}
	return wake
}

// pass reads one event and hands it to the stream.
func (st *streamRun) pass() {
	s := st.current
	s.conn.wake = st.wake(time.Now())
	raw, id, numbered, err := st.events.next()
	now := time.Now()
	if st.current != s {
		return
	}
	if err == nil {
		st.receive(now, s, raw, id, numbered)
		return
	}
	if errors.Is(err, io.EOF) {
		st.do(st.gen.Step(now, generation.Event{Kind: generation.Ended, Attempt: s.number, Position: st.gen.Position}))
		if st.current == s {
			st.endAttempt(engine.Result{}, true, "whole")
		}
		return
	}
	st.endAttempt(st.lossResult(), false, st.lossWhy(err))
	st.do(st.gen.Step(now, generation.Event{Kind: generation.ConnectionLost, Attempt: s.number, Target: s.target.ID, Reason: lossWhy(err)}))
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
	st.do(st.gen.Step(now, generation.Event{Kind: generation.TokenReceived, Attempt: s.number, Position: id - st.offset, Text: string(raw)}))
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

// endAttempt ends the open attempt.
func (st *streamRun) endAttempt(result engine.Result, whole bool, why string) {
	s := st.current
	if s == nil {
		return
	}
	st.current = nil
	s.done(time.Now(), result, whole, why)
}
