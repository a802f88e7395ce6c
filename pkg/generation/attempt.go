package generation

import (
	"slices"
	"time"
)

// maxOpenAttempts bounds the number of attempts of one stream that are open at once; most of them
// are silent.
const maxOpenAttempts = 4

// attempt is the state of one attempt to obtain the next tokens.
type attempt struct {
	number       int
	mode         AttemptMode
	target       string
	nextPosition uint64
	digest       Digest
	accepted     bool
	// producedToken is set once the attempt has sent a token.
	producedToken bool
	// pastFirstToken is set when the target is known to have produced its first token.
	pastFirstToken bool
	silent         bool
	queued         bool
	// skipGap is set when the time to the next token must not be reported as a gap: before the
	// attempt's first delivered token and after the reader paused the stream.
	skipGap     bool
	lastHeardAt time.Time
	timeouts    Timeouts
	// nextReservationAt is when a replacement that was denied is asked for again.
	nextReservationAt time.Time
}

// silentAt returns when the attempt is to be treated as silent.
func (a *attempt) silentAt() time.Time {
	timeout := a.timeouts.NextToken
	switch {
	case !a.accepted:
		timeout = a.timeouts.Accept
	case !a.producedToken && !a.pastFirstToken:
		timeout = a.timeouts.FirstToken
	}
	if t := a.lastHeardAt.Add(timeout); t.After(a.nextReservationAt) {
		return t
	}
	return a.nextReservationAt
}

func (s *Stream) beginAttempt(now time.Time, mode AttemptMode, target, reason string) {
	s.limitOpenAttempts()
	s.LastAttempt++
	s.attemptsSinceToken++
	a := &attempt{number: s.LastAttempt, mode: mode, target: target, lastHeardAt: now, timeouts: s.Timeouts, nextPosition: s.Position, skipGap: true}
	a.pastFirstToken = mode == Reattach && s.Position > 0 && target == s.Target
	if mode == Regenerate {
		a.nextPosition = 0
	}
	if a.number > 1 {
		s.stats.Resumes++
	}
	if mode == Continue {
		s.stats.Prefilled += int(s.Position)
	}
	if mode != Reattach && len(s.attempts) > 0 {
		s.stats.Overlapping++
	}
	s.attempts = append(s.attempts, a)
	s.actions = append(s.actions, Action{Kind: Begin, Attempt: a.number, Mode: mode, Position: a.nextPosition, Target: target, Avoid: slices.Clone(s.avoid), Reason: reason})
}

// limitOpenAttempts ends the oldest silent attempt if too many are open.
func (s *Stream) limitOpenAttempts() {
	if len(s.attempts) < maxOpenAttempts {
		return
	}
	for _, a := range s.attempts {
		if a.silent {
			s.removeAttempt(a)
			s.endAttempt(a, "too_many_attempts", s.attempts)
			s.maybeAccepted = true
			return
		}
	}
}

// beginElsewhere begins an attempt at a target other than those that failed.
func (s *Stream) beginElsewhere(now time.Time, reason string) {
	if s.Position == 0 {
		s.beginAttempt(now, Fresh, "", reason)
		return
	}
	if !s.textDropped {
		s.beginAttempt(now, Continue, "", reason)
		return
	}
	s.beginAttempt(now, Regenerate, "", reason)
}

func (s *Stream) findAttempt(n int) *attempt {
	for _, a := range s.attempts {
		if a.number == n {
			return a
		}
	}
	return nil
}

func (s *Stream) removeAttempt(a *attempt) {
	s.attempts = slices.DeleteFunc(s.attempts, func(b *attempt) bool { return a == b })
}

// hasActiveAttempt reports whether an attempt other than a may still deliver the next token soon.
func (s *Stream) hasActiveAttempt(a *attempt) bool {
	return slices.ContainsFunc(s.attempts, func(b *attempt) bool { return b != a && !b.silent })
}

// endOthers ends all attempts except the winner, which may be nil, including lost ones.
func (s *Stream) endOthers(winner *attempt, reason string) {
	all := append(s.lostAttempts, s.attempts...)
	for i, a := range all {
		if a == winner {
			continue
		}
		rest := all[i+1:]
		if winner != nil && a.target == winner.target {
			rest = []*attempt{winner}
		}
		s.endAttempt(a, reason, rest)
	}
	s.lostAttempts = nil
	s.attempts = s.attempts[:0]
	if winner != nil {
		s.attempts = append(s.attempts, winner)
	}
}

// endAttempt ends an attempt; if one of the others uses the same target, the generation continues
// there.
func (s *Stream) endAttempt(a *attempt, reason string, others []*attempt) {
	kind := Cancel
	if a.target != "" && slices.ContainsFunc(others, func(b *attempt) bool { return b.target == a.target }) {
		kind = Detach
	}
	s.actions = append(s.actions, Action{Kind: kind, Attempt: a.number, Target: a.target, Reason: reason})
}

func (s *Stream) avoidTarget(target string) {
	if target != "" && !slices.Contains(s.avoid, target) {
		s.avoid = append(s.avoid, target)
	}
}
