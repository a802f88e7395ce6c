package generation

import (
	"math/rand/v2"
	"slices"
	"time"
)

// SilentAgain is the reason for an attempt after a target was silent twice or did not accept.
const SilentAgain = "silent_again"

const (
	// quickTries is the number of attempts without a token before pauses set in.
	// One reattach and three other targets are tried at once; a fourth failure
	// is likely to be a common cause, which more requests would only worsen.
	quickTries = 4
	// maxRetryWait bounds the pauses, so that a stream goes on soon after capacity is back.
	maxRetryWait = time.Second
	maxDoublings = 8
	// firstWait bounds the wait for a target to accept a request at all. Nothing
	// is lost then, and the caller does better to ask another instance.
	firstWait = 3 * time.Second
)

// fault replaces an attempt whose output breaks the order of positions.
func (s *Stream) fault(now time.Time, a *attempt, reason string) {
	s.remove(a)
	s.leave(a, reason, s.attempts)
	s.shun(a.target)
	s.missing = s.missing || a.target == s.Target
	if !s.hopeful(a) && !s.paused {
		s.again(now, reason)
	}
}

func (s *Stream) drop(now time.Time, ev Event) {
	a := s.find(ev.Attempt)
	if a == nil {
		return
	}
	if ev.Target != "" {
		a.target = ev.Target
	}
	s.remove(a)
	s.mark(a, ev)
	if ev.Kind == NoTarget {
		if ev.Reason == CrashesTargets {
			s.fail(CrashesTargets, s.outcome(), 0)
			return
		}
		s.postpone(now)
		return
	}
	if s.hopeful(a) || s.paused {
		return
	}
	s.replace(now, a, ev)
}

// mark notes what a lost attempt tells about its target.
func (s *Stream) mark(a *attempt, ev Event) {
	switch ev.Kind {
	case ConnectionLost:
		s.doubtful = true
		if !s.Exclusive {
			s.strays = append(s.strays, a)
		}
	case RecordMissing:
		s.missing = s.missing || a.target == s.Target
	case NoTarget:
		s.unplaced, s.versionGone = true, ev.Reason == VersionGone
		s.avoid = s.avoid[:0]
	}
}

// replace begins the attempt that follows a lost one.
//
// A target whose connection was lost is asked for its record first, but not
// again when the reattached connection was lost before it brought a token.
func (s *Stream) replace(now time.Time, a *attempt, ev Event) {
	again := (a.way != Reattach || a.flowing) && !s.Exclusive
	if ev.Kind == ConnectionLost && a.accepted && a.target != "" && again && s.tries <= quickTries {
		s.begin(now, Reattach, a.target, "connection_lost")
		return
	}
	s.shun(a.target)
	reason := map[EventKind]string{ConnectionLost: "target_lost", Unreachable: "target_unreachable", RecordMissing: "record_missing", Refused: "target_refused"}[ev.Kind]
	s.again(now, reason)
}

// again begins another attempt, at once for the first ones and after pauses later.
func (s *Stream) again(now time.Time, reason string) {
	if s.tries < quickTries {
		s.elsewhere(now, reason)
		return
	}
	s.postpone(now)
}

// postpone sets the time of the next try by exponential backoff with jitter.
func (s *Stream) postpone(now time.Time) {
	wait := s.RetryWait << min(max(s.tries-quickTries, 0), maxDoublings)
	wait = min(wait, maxRetryWait)
	jitter := rand.New(rand.NewPCG(s.Seed, uint64(s.LastAttempt))).Int64N(int64(wait)/2 + 1)
	s.retryAt = now.Add(wait - time.Duration(jitter))
}

// watch acts on silence, on retries that are due and on the end of the resume wait.
func (s *Stream) watch(now time.Time) {
	if s.paused {
		return
	}
	if !now.Before(s.waitEnd()) {
		s.giveUp()
		return
	}
	if !s.hopeful(nil) {
		if !now.Before(s.retryAt) {
			s.retry(now)
		}
		return
	}
	for _, a := range s.attempts {
		if !a.silent && !a.queued && !now.Before(a.silentAt()) {
			a.silent = true
			s.silence(now, a)
			return
		}
	}
}

// waitEnd returns when the stream gives up if no token comes.
func (s *Stream) waitEnd() time.Time {
	if s.Position == 0 && !s.accepted {
		wait := s.AcceptWait
		if wait == 0 {
			wait = firstWait
		}
		return s.progressAt.Add(min(s.ResumeWait, wait))
	}
	return s.progressAt.Add(s.ResumeWait)
}

// retry tries again after a pause.
//
// When no target was found, the last one is asked for its record: it may be back.
func (s *Stream) retry(now time.Time) {
	open := slices.ContainsFunc(s.attempts, func(a *attempt) bool { return a.target == s.Target })
	if s.unplaced && !open {
		s.unplaced = false
		s.lookBack(now, "retry")
		return
	}
	s.elsewhere(now, "retry")
}

// silence reacts to an attempt that has been quiet for its patience.
//
// An accepted attempt may only have lost its connection, so its target is asked
// again on a new one first. A target that does not even accept is left.
func (s *Stream) silence(now time.Time, a *attempt) {
	if s.Exclusive {
		s.remove(a)
		s.leave(a, SilentAgain, nil)
		s.doubtful = true
		s.shun(a.target)
		s.again(now, SilentAgain)
		return
	}
	if s.hopeful(a) {
		s.shun(a.target)
		return
	}
	if a.accepted && a.target != "" && (a.way != Reattach || a.flowing) {
		s.begin(now, Reattach, a.target, "silent")
		return
	}
	s.shun(a.target)
	s.again(now, SilentAgain)
}

// giveUp ends a stream that got no token for the resume wait.
func (s *Stream) giveUp() {
	o := s.outcome()
	code := "engines_lost"
	switch {
	case o == NotRun:
		code = "no_engine"
	case s.versionGone:
		code = VersionGone
	}
	s.fail(code, o, time.Second)
}

// outcome tells what is known of a stream that is given up.
func (s *Stream) outcome() Outcome {
	switch {
	case s.accepted || s.Position > 0:
		return Ran
	case s.doubtful || slices.ContainsFunc(s.attempts, func(a *attempt) bool { return !a.queued }):
		return Unknown
	}
	return NotRun
}
