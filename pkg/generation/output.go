package generation

import (
	"slices"
	"time"
)

// keepStep is by how many bytes a block of kept text grows; a large one grows by an eighth.
const keepStep = 2 << 10

func (s *Stream) accept(now time.Time, ev Event) {
	a := s.find(ev.Attempt)
	if a == nil {
		return
	}
	a.accepted, a.queued, a.heardAt, s.accepted = true, false, now, true
	if ev.Target != "" {
		a.target = ev.Target
	}
	if ev.Timeouts != (Timeouts{}) {
		a.patience = ev.Timeouts
	}
}

func (s *Stream) queue(now time.Time, ev Event) {
	if a := s.find(ev.Attempt); a != nil {
		a.queued, a.heardAt = ev.Kind == Queued, now
	}
}

func (s *Stream) receive(now time.Time, ev Event) {
	a := s.find(ev.Attempt)
	if a == nil {
		s.stats.Discarded++
		return
	}
	if ev.Position != a.expect {
		s.stats.Discarded++
		s.fault(now, a, "position_mismatch")
		return
	}
	wait := now.Sub(a.heardAt)
	first := !a.flowing
	a.accepted, a.flowing, a.silent, a.heardAt = true, true, false, now
	s.accepted = true
	a.expect++
	if ev.Position < s.Position {
		s.verify(a, ev)
		return
	}
	s.deliver(now, a, ev)
	s.measure(a, first, wait)
}

// verify checks a recomputed token against what the caller already has.
func (s *Stream) verify(a *attempt, ev Event) {
	a.digest = a.digest.Add(ev.Text)
	s.stats.Recomputed++
	if ev.Position+1 == s.Position && a.digest != s.Digest {
		s.fail("generation_diverged", Ran, 0)
	}
}

func (s *Stream) deliver(now time.Time, a *attempt, ev Event) {
	s.Digest = s.Digest.Add(ev.Text)
	s.Position++
	s.Target = a.target
	s.progressAt, s.tries = now, 0
	s.missing, s.unplaced, s.versionGone = false, false, false
	s.keep(ev.Text)
	if len(s.avoid) > 0 {
		s.avoid = s.avoid[:0]
	}
	if len(s.attempts) > 1 || len(s.strays) > 0 {
		s.leaveOthers(a, "superseded")
	}
	s.actions = append(s.actions, Action{Kind: Deliver, Attempt: a.number, Position: ev.Position, Text: ev.Text})
}

// measure adds to the last action, a Deliver, what it tells about the target's times.
//
// The first token of a reattached record was computed before it was asked for.
func (s *Stream) measure(a *attempt, first bool, wait time.Duration) {
	d := &s.actions[len(s.actions)-1]
	switch {
	case first && a.way != Reattach:
		d.FirstToken = wait
	case !first && !a.held:
		d.Gap = wait
	}
	a.held = false
}

func (s *Stream) keep(text string) {
	if s.lost || s.Exclusive {
		return
	}
	need := len(s.kept) + len(text)
	if need > s.MaxKeptBytes {
		s.DropKeptText()
		return
	}
	if need > cap(s.kept) {
		// Doubling would leave up to half of the block unused, which each stopped reader would hold.
		size := min(max(need, min(2*cap(s.kept), cap(s.kept)+max(keepStep, cap(s.kept)/8))), s.MaxKeptBytes)
		s.kept = append(slices.Grow([]byte(nil), size), s.kept...)
	}
	s.kept = append(s.kept, text...)
}

func (s *Stream) end(now time.Time, ev Event) {
	a := s.find(ev.Attempt)
	if a == nil {
		return
	}
	if ev.Position != a.expect {
		s.fault(now, a, "end_mismatch")
		return
	}
	if ev.Position < s.Position {
		// The same request ended earlier this time, so it is another generation.
		s.fail("generation_diverged", Ran, 0)
		return
	}
	s.done = true
	s.leaveOthers(a, "superseded")
	s.actions = append(s.actions, Action{Kind: Finish, Attempt: a.number, Position: s.Position, Reason: ev.Reason})
}
