package generation

import (
	"slices"
	"time"
)

// textGrowth is the number of bytes by which the buffer of kept text grows; a smaller buffer doubles
// and a large one grows by an eighth.
const textGrowth = 2 << 10

func (s *Stream) handleAccepted(now time.Time, ev Event) {
	a := s.findAttempt(ev.Attempt)
	if a == nil {
		return
	}
	a.accepted, a.queued, a.lastHeardAt, s.accepted = true, false, now, true
	if ev.Target != "" {
		a.target = ev.Target
	}
	if ev.Timeouts != (Timeouts{}) {
		a.timeouts = ev.Timeouts
	}
}

func (s *Stream) recordQueueing(now time.Time, ev Event) {
	if a := s.findAttempt(ev.Attempt); a != nil {
		a.queued, a.lastHeardAt = ev.Kind == Queued, now
	}
}

func (s *Stream) handleToken(now time.Time, ev Event) {
	a := s.findAttempt(ev.Attempt)
	if a == nil {
		s.stats.Discarded++
		return
	}
	if ev.Position != a.nextPosition {
		s.stats.Discarded++
		s.replaceFaulty(now, a, "position_mismatch")
		return
	}
	wait := now.Sub(a.lastHeardAt)
	first := !a.producedToken
	a.accepted, a.producedToken, a.silent, a.lastHeardAt = true, true, false, now
	s.accepted = true
	a.nextPosition++
	if ev.Position < s.Position {
		s.verifyRecomputed(a, ev)
		return
	}
	s.deliver(now, a, ev)
	s.addTimings(a, first, wait)
}

// verifyRecomputed checks a recomputed token against the tokens already delivered.
func (s *Stream) verifyRecomputed(a *attempt, ev Event) {
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
	s.lastProgressAt, s.attemptsSinceToken = now, 0
	s.recordMissing, s.noTarget, s.versionGone = false, false, false
	s.keepText(ev.Text)
	if len(s.avoid) > 0 {
		s.avoid = s.avoid[:0]
	}
	if len(s.attempts) > 1 || len(s.lostAttempts) > 0 {
		s.endOthers(a, "superseded")
	}
	s.actions = append(s.actions, Action{Kind: Deliver, Attempt: a.number, Position: ev.Position, Text: ev.Text})
}

// addTimings adds the target's timings to the last action, which is a Deliver.
//
// The first token of a reattached record is not timed: it was computed before it was requested.
func (s *Stream) addTimings(a *attempt, first bool, wait time.Duration) {
	d := &s.actions[len(s.actions)-1]
	switch {
	case first && a.mode != Reattach:
		d.FirstToken = wait
	case !first && !a.skipGap:
		d.Gap = wait
	}
	a.skipGap = false
}

func (s *Stream) keepText(text string) {
	if s.textDropped || s.Exclusive {
		return
	}
	needed := len(s.keptText) + len(text)
	if needed > s.MaxKeptBytes {
		s.DropKeptText()
		return
	}
	if needed > cap(s.keptText) {
		// Doubling would leave up to half of the buffer unused, which each stopped reader would
		// hold.
		size := min(max(needed, min(2*cap(s.keptText), cap(s.keptText)+max(textGrowth, cap(s.keptText)/8))), s.MaxKeptBytes)
		s.keptText = append(slices.Grow([]byte(nil), size), s.keptText...)
	}
	s.keptText = append(s.keptText, text...)
}

func (s *Stream) handleEnd(now time.Time, ev Event) {
	a := s.findAttempt(ev.Attempt)
	if a == nil {
		return
	}
	if ev.Position != a.nextPosition {
		s.replaceFaulty(now, a, "end_mismatch")
		return
	}
	if ev.Position < s.Position {
		// The regenerated response ended before Position, so it differs from the delivered one.
		s.fail("generation_diverged", Ran, 0)
		return
	}
	s.done = true
	s.endOthers(a, "superseded")
	s.actions = append(s.actions, Action{Kind: Finish, Attempt: a.number, Position: s.Position, Reason: ev.Reason})
}
