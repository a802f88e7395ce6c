package relay

import (
	"bufio"
	"io"
	"net/http"
	"net/netip"
	"time"

	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/route"
)

// begin opens the next attempt.
func (st *streamRun) begin() {
	a := st.planned
	st.planned = nil
	now := time.Now()
	if st.stopped(a) {
		st.broken = true
		return
	}
	t, load, ok := st.choose(now, a)
	if !ok {
		st.step(generation.Event{Kind: generation.NoTarget, Attempt: a.Attempt})
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
	s := st.relay.begin(now, st.q, t, a.Attempt, why, load)
	st.current = s
	st.gen.Timeouts = st.patience()
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
	now := time.Now()
	return st.relay.Crashes.marked(now, st.q) || !st.q.pool.spend(now)
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
	err := s.open(st.ctx, send, time.Now().Add(lookEvery), st.silent)
	now := time.Now()
	if st.gen.Done() || st.current == nil {
		return
	}
	ev := generation.Event{Attempt: s.number, Target: s.target.ID, Reason: attemptWhy(err)}
	switch {
	case err != nil && !s.left:
		ev.Kind = generation.Unreachable
		s.silent = wasSilent(err)
		st.endAttempt(engine.Result{Unreachable: st.ctx.Err() == nil}, false, "unreachable")
	case err != nil:
		st.ran++
		ev.Kind = generation.ConnectionLost
		st.endAttempt(st.lossResult(), false, st.lossWhy(err))
	case s.refusedByTarget():
		ev.Kind = generation.Refused
		st.refusals++
		gone := s.res.StatusCode == http.StatusMisdirectedRequest
		_, err := io.Copy(io.Discard, io.LimitReader(s.res.Body, maxBuffered))
		st.endAttempt(engine.Result{Unreachable: gone}, err == nil, "not_run")
	default:
		st.ran++
		if st.failed(s, &ev) {
			break
		}
		ev.Kind, ev.Timeouts = generation.Accepted, st.patience()
		st.backup = send.Backup
		st.events = eventReader{in: bufio.NewReaderSize(s.res.Body, 512), raw: st.events.raw}
		if !st.headed {
			st.headed = true
			st.relay.head(st.w, s.res)
			// The header goes out with the first event.
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
	ev.Kind = generation.ConnectionLost
	p := &reply{s: s}
	if err == nil {
		p.read()
		if p.err == nil && p.rest == nil {
			st.own = p
			// What the target says of the request itself, another one would say too.
			st.broken = s.res.StatusCode < http.StatusInternalServerError
		}
	}
	whole := err == nil && p.err == nil && p.rest == nil
	st.endAttempt(engine.Result{Failed: true}, whole, "failed")
	return true
}

func attemptWhy(err error) string {
	if err == nil {
		return ""
	}
	return lossWhy(err)
}
