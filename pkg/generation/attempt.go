package generation

import (
	"slices"
	"time"
)

// maxOpen bounds the attempts of one stream that are open at once, most of them silent.
const maxOpenAttempts = 4

// attempt is what a stream knows of one try to get its next tokens.
type attempt struct {
	number       int
	mode         AttemptMode
	target       string
	nextPosition uint64
	digest       Digest
	accepted     bool
	// flowing is set once the attempt has sent a token.
	producedToken bool
	// running is set when the target is known to be past its first token.
	pastFirstToken bool
	silent         bool
	queued         bool
	// held is set when the reader held the stream back since the last token.
	readerPaused bool
	lastHeardAt  time.Time
	timeouts     Timeouts
}

func (a *attempt) silentAt() time.Time {
	switch {
	case !a.accepted:
		return a.lastHeardAt.Add(a.timeouts.Accept)
	case !a.producedToken && !a.pastFirstToken:
		return a.lastHeardAt.Add(a.timeouts.FirstToken)
	default:
		return a.lastHeardAt.Add(a.timeouts.NextToken)
	}
}

func (s *Stream) beginAttempt(now time.Time, mode AttemptMode, target, reason string) {
	s.limitOpenAttempts()
	s.LastAttempt++
	s.attemptsSinceToken++
	a := &attempt{number: s.LastAttempt, mode: mode, target: target, lastHeardAt: now, timeouts: s.Timeouts, nextPosition: s.Position, readerPaused: true}
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

// makeRoom ends the oldest silent attempt when too many are open.
func (s *Stream) limitOpenAttempts() {
	if len(s.attempts) < maxOpenAttempts {
		return
	}
	for _, a := range s.attempts {
		if a.silent {
			s.remove(a)
			s.endAttempt(a, "too_many_attempts", s.attempts)
			return
		}
	}
}

// elsewhere begins an attempt at a target other than those that failed.
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

func (s *Stream) find(n int) *attempt {
	for _, a := range s.attempts {
		if a.number == n {
			return a
		}
	}
	return nil
}

func (s *Stream) remove(a *attempt) {
	s.attempts = slices.DeleteFunc(s.attempts, func(b *attempt) bool { return a == b })
}

// hopeful reports whether an attempt other than a may still bring the next token soon.
func (s *Stream) hasActiveAttempt(a *attempt) bool {
	return slices.ContainsFunc(s.attempts, func(b *attempt) bool { return b != a && !b.silent })
}

// leaveOthers ends all attempts and strays but the winner, which may be nil.
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

// leave ends an attempt; at a target of one of the others the generation must go on.
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
