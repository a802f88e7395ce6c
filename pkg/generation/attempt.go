package generation

import (
	"slices"
	"time"
)

// maxOpen bounds the attempts of one stream that are open at once, most of them silent.
const maxOpen = 4

// attempt is what a stream knows of one try to get its next tokens.
type attempt struct {
	number   int
	way      AttemptMode
	target   string
	expect   uint64
	digest   Digest
	accepted bool
	// flowing is set once the attempt has sent a token.
	flowing bool
	// running is set when the target is known to be past its first token.
	running bool
	silent  bool
	queued  bool
	// held is set when the reader held the stream back since the last token.
	held     bool
	heardAt  time.Time
	patience Timeouts
}

func (a *attempt) silentAt() time.Time {
	switch {
	case !a.accepted:
		return a.heardAt.Add(a.patience.Accept)
	case !a.flowing && !a.running:
		return a.heardAt.Add(a.patience.FirstToken)
	default:
		return a.heardAt.Add(a.patience.NextToken)
	}
}

func (s *Stream) begin(now time.Time, way AttemptMode, target, reason string) {
	s.makeRoom()
	s.LastAttempt++
	s.tries++
	a := &attempt{number: s.LastAttempt, way: way, target: target, heardAt: now, patience: s.Timeouts, expect: s.Position, held: true}
	a.running = way == Reattach && s.Position > 0 && target == s.Target
	if way == Regenerate {
		a.expect = 0
	}
	if a.number > 1 {
		s.stats.Resumes++
	}
	if way == Continue {
		s.stats.Prefilled += int(s.Position)
	}
	if way != Reattach && len(s.attempts) > 0 {
		s.stats.Overlapping++
	}
	s.attempts = append(s.attempts, a)
	s.actions = append(s.actions, Action{Kind: Begin, Attempt: a.number, Mode: way, Position: a.expect, Target: target, Avoid: slices.Clone(s.avoid), Reason: reason})
}

// makeRoom ends the oldest silent attempt when too many are open.
func (s *Stream) makeRoom() {
	if len(s.attempts) < maxOpen {
		return
	}
	for _, a := range s.attempts {
		if a.silent {
			s.remove(a)
			s.leave(a, "too_many_attempts", s.attempts)
			return
		}
	}
}

// elsewhere begins an attempt at a target other than those that failed.
func (s *Stream) elsewhere(now time.Time, reason string) {
	if s.Position == 0 {
		s.begin(now, Fresh, "", reason)
		return
	}
	if !s.lost {
		s.begin(now, Continue, "", reason)
		return
	}
	s.begin(now, Regenerate, "", reason)
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
func (s *Stream) hopeful(a *attempt) bool {
	return slices.ContainsFunc(s.attempts, func(b *attempt) bool { return b != a && !b.silent })
}

// leaveOthers ends all attempts and strays but the winner, which may be nil.
func (s *Stream) leaveOthers(winner *attempt, reason string) {
	all := append(s.strays, s.attempts...)
	for i, a := range all {
		if a == winner {
			continue
		}
		rest := all[i+1:]
		if winner != nil && a.target == winner.target {
			rest = []*attempt{winner}
		}
		s.leave(a, reason, rest)
	}
	s.strays = nil
	s.attempts = s.attempts[:0]
	if winner != nil {
		s.attempts = append(s.attempts, winner)
	}
}

// leave ends an attempt; at a target of one of the others the generation must go on.
func (s *Stream) leave(a *attempt, reason string, others []*attempt) {
	kind := Cancel
	if a.target != "" && slices.ContainsFunc(others, func(b *attempt) bool { return b.target == a.target }) {
		kind = Detach
	}
	s.actions = append(s.actions, Action{Kind: kind, Attempt: a.number, Target: a.target, Reason: reason})
}

func (s *Stream) shun(target string) {
	if target != "" && !slices.Contains(s.avoid, target) {
		s.avoid = append(s.avoid, target)
	}
}
