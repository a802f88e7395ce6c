package generation

import (
	"math/rand/v2"
	"slices"
	"time"
)

// SilentAgain is the reason for an attempt after a target was silent twice or did not accept.
const SilentAgain = "silent_again"

const (
	// immediateAttempts is the number of attempts without a token before retries are delayed. One
	// reattach and three other targets are tried immediately; a fourth failure is likely to have a
	// common cause, which more requests would only worsen.
	immediateAttempts = 4
	// maxRetryDelay bounds the delay, so that a stream continues soon after capacity is available
	// again.
	maxRetryDelay       = time.Second
	maxBackoffDoublings = 8
	// defaultAcceptWait bounds the wait for a target to accept a request at all. No output is lost
	// at that point, and the caller should rather ask another instance.
	defaultAcceptWait = 3 * time.Second
	// reservationInterval is the time until a replacement that was denied is asked for again.
	reservationInterval = 250 * time.Millisecond
)

// replaceFaulty replaces an attempt whose output has unexpected positions.
func (s *Stream) replaceFaulty(now time.Time, a *attempt, reason string) {
	s.removeAttempt(a)
	s.endAttempt(a, reason, s.attempts)
	s.avoidTarget(a.target)
	s.recordMissing = s.recordMissing || a.target == s.Target
	if !s.hasActiveAttempt(a) && !s.paused {
		s.beginOrPostpone(now, reason)
	}
}

func (s *Stream) handleLoss(now time.Time, ev Event) {
	a := s.findAttempt(ev.Attempt)
	if a == nil {
		return
	}
	if ev.Target != "" {
		a.target = ev.Target
	}
	s.removeAttempt(a)
	s.recordLoss(a, ev)
	if ev.Kind == NoTarget {
		if ev.Reason == CrashesTargets {
			s.fail(CrashesTargets, s.knownOutcome(), 0)
			return
		}
		s.scheduleRetry(now)
		return
	}
	if s.hasActiveAttempt(a) || s.paused {
		return
	}
	s.beginReplacement(now, a, ev)
}

// recordLoss records what a lost attempt shows about its target.
func (s *Stream) recordLoss(a *attempt, ev Event) {
	switch ev.Kind {
	case ConnectionLost:
		s.maybeAccepted = true
		if !s.Exclusive {
			s.lostAttempts = append(s.lostAttempts, a)
		}
	case RecordMissing:
		s.recordMissing = s.recordMissing || a.target == s.Target
	case NoTarget:
		s.noTarget, s.versionGone = true, ev.Reason == VersionGone
		s.avoid = s.avoid[:0]
	}
}

// beginReplacement begins the attempt that replaces a lost one.
//
// A target whose connection was lost is asked for its record first, but not again if the reattached
// connection was lost before it delivered a token.
func (s *Stream) beginReplacement(now time.Time, a *attempt, ev Event) {
	reattach := (a.mode != Reattach || a.producedToken) && !s.Exclusive
	if ev.Kind == ConnectionLost && a.accepted && a.target != "" && reattach && s.attemptsSinceToken <= immediateAttempts {
		s.beginAttempt(now, Reattach, a.target, "connection_lost")
		return
	}
	s.avoidTarget(a.target)
	reason := map[EventKind]string{ConnectionLost: "target_lost", Unreachable: "target_unreachable", RecordMissing: "record_missing", Refused: "target_refused"}[ev.Kind]
	s.beginOrPostpone(now, reason)
}

// beginOrPostpone begins another attempt, immediately for the first ones and after a delay later.
func (s *Stream) beginOrPostpone(now time.Time, reason string) {
	if s.attemptsSinceToken < immediateAttempts {
		s.beginElsewhere(now, reason)
		return
	}
	s.scheduleRetry(now)
}

// scheduleRetry sets the time of the next attempt by exponential backoff with jitter.
func (s *Stream) scheduleRetry(now time.Time) {
	wait := s.RetryWait << min(max(s.attemptsSinceToken-immediateAttempts, 0), maxBackoffDoublings)
	wait = min(wait, maxRetryDelay)
	jitter := rand.New(rand.NewPCG(s.Seed, uint64(s.LastAttempt))).Int64N(int64(wait)/2 + 1)
	s.retryAt = now.Add(wait - time.Duration(jitter))
}

// checkTimeouts handles silent attempts, due retries and the end of the resume wait.
func (s *Stream) checkTimeouts(now time.Time) {
	if s.paused {
		return
	}
	if !now.Before(s.giveUpAt()) {
		s.giveUp()
		return
	}
	if !s.hasActiveAttempt(nil) {
		if !now.Before(s.retryAt) {
			s.retryAfterDelay(now)
		}
		return
	}
	for _, a := range s.attempts {
		if !a.silent && !a.queued && !now.Before(a.silentAt()) {
			a.silent = true
			s.handleSilence(now, a)
			return
		}
	}
}

// giveUpAt returns when the stream gives up if no token arrives.
func (s *Stream) giveUpAt() time.Time {
	if s.Position == 0 && !s.accepted {
		wait := s.AcceptWait
		if wait == 0 {
			wait = defaultAcceptWait
		}
		return s.lastProgressAt.Add(min(s.ResumeWait, wait))
	}
	return s.lastProgressAt.Add(s.ResumeWait)
}

// retryAfterDelay begins an attempt after a retry delay.
//
// If no target was found, the last one is asked for its record: it may be available again.
func (s *Stream) retryAfterDelay(now time.Time) {
	open := slices.ContainsFunc(s.attempts, func(a *attempt) bool { return a.target == s.Target })
	if s.noTarget && !open {
		s.noTarget = false
		s.reattachOrBeginElsewhere(now, "retry")
		return
	}
	s.beginElsewhere(now, "retry")
}

// handleSilence handles an attempt that has sent nothing for its timeout.
//
// An accepted attempt may only have lost its connection, so its target is first asked again on a
// new one. A target that does not even accept a request is abandoned.
func (s *Stream) handleSilence(now time.Time, a *attempt) {
	if s.Exclusive {
		s.replaceSilent(now, a, SilentAgain)
		return
	}
	if s.hasActiveAttempt(a) {
		s.avoidTarget(a.target)
		return
	}
	if a.accepted && a.target != "" && (a.mode != Reattach || a.producedToken) {
		s.beginAttempt(now, Reattach, a.target, "silent")
		return
	}
	s.avoidTarget(a.target)
	s.beginOrPostpone(now, SilentAgain)
}

// replaceSilent replaces the silent attempt of an Exclusive stream.
//
// Its target may only have paused, so the attempt is kept unless another one can begin at once.
func (s *Stream) replaceSilent(now time.Time, a *attempt, reason string) {
	reserves := s.ReserveReplacement != nil
	if reserves && !s.ReserveReplacement(now, s.avoid) {
		a.silent, a.nextReservationAt = false, now.Add(reservationInterval)
		return
	}
	s.removeAttempt(a)
	s.endAttempt(a, reason, nil)
	s.maybeAccepted = true
	s.avoidTarget(a.target)
	if reserves {
		s.beginElsewhere(now, reason)
		return
	}
	s.beginOrPostpone(now, reason)
}

// handleSuspicion replaces an attempt whose target others have lost.
func (s *Stream) handleSuspicion(now time.Time, ev Event) {
	a := s.findAttempt(ev.Attempt)
	if a == nil || !s.Exclusive || s.paused || now.Before(a.nextReservationAt) {
		return
	}
	if ev.Target != "" {
		a.target = ev.Target
	}
	s.replaceSilent(now, a, ev.Reason)
}

// giveUp ends a stream that received no token for the resume wait.
func (s *Stream) giveUp() {
	o := s.knownOutcome()
	code := "engines_lost"
	switch {
	case o == NotRun:
		code = "no_engine"
	case s.versionGone:
		code = VersionGone
	}
	s.fail(code, o, time.Second)
}

// knownOutcome returns what is known about whether a failed stream's request was run.
func (s *Stream) knownOutcome() Outcome {
	switch {
	case s.accepted || s.Position > 0:
		return Ran
	case s.maybeAccepted || slices.ContainsFunc(s.attempts, func(a *attempt) bool { return !a.queued }):
		return Unknown
	}
	return NotRun
}
