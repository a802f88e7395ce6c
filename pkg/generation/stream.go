package generation

import (
	"slices"
	"time"
)

// Stream decides the actions for one generation.
//
// Set the exported fields before the first Step. To continue from a cursor, set Position, Digest,
// Target and LastAttempt; the stream then has no kept text.
type Stream struct {
	// Position is the position of the next token to deliver.
	Position uint64
	// Digest covers the tokens before Position.
	Digest Digest
	// Target is the target that delivered the last token, if any.
	Target string
	// LastAttempt is the highest attempt number used so far.
	LastAttempt int
	// MaxKeptBytes bounds the delivered text that is kept for continuing at another target.
	MaxKeptBytes int
	// ResumeWait is the time without a token after which the stream gives up.
	ResumeWait time.Duration
	// RetryWait is the first delay between attempts that found no target.
	RetryWait time.Duration
	// Timeouts applies until an attempt is accepted with timeouts of its own.
	Timeouts Timeouts
	// Exclusive is set for targets that keep no record of a generation and must not run it twice: a
	// lost or silent attempt is cancelled before the next one, which uses another target.
	Exclusive bool
	// ReserveReplacement, if set, reserves all that the replacement of a silent attempt needs, which
	// is to avoid the given targets. An Exclusive stream cancels a silent attempt only if it returns
	// true; otherwise it goes on waiting for the attempt, and asks again.
	ReserveReplacement func(now time.Time, avoid []string) bool
	// AcceptWait bounds the wait for a target to accept the request; 0 means 3 s.
	AcceptWait time.Duration
	// Seed varies the retry times of streams that lost their engines together.
	Seed uint64

	attempts []*attempt
	// lostAttempts are attempts with lost connections whose targets may still be computing.
	lostAttempts   []*attempt
	keptText       []byte
	textDropped    bool
	paused         bool
	done           bool
	lastProgressAt time.Time
	// retryAt is the time of the next attempt if no attempt is active by then.
	retryAt time.Time
	// attemptsSinceToken is the number of attempts begun since the last token.
	attemptsSinceToken int
	// accepted is set once a target accepted an attempt, maybeAccepted once one may have.
	accepted      bool
	maybeAccepted bool
	// recordMissing is set when Target has no record, noTarget when no target was found.
	recordMissing bool
	noTarget      bool
	versionGone   bool
	avoid         []string
	actions       []Action
	stats         Stats
}

// Stats counts the cost of resuming a stream.
type Stats struct {
	// Resumes is the number of attempts after the first.
	Resumes int
	// Recomputed is the number of delivered tokens that engines generated again one by one.
	Recomputed int
	// Prefilled is the number of delivered tokens that engines processed again as part of a prompt.
	Prefilled int
	// Overlapping is the number of attempts begun while another one was open at another target.
	Overlapping int
	// Discarded is the number of received tokens that were not delivered.
	Discarded int
}

// Stats returns the cost of resuming so far.
func (s *Stream) Stats() Stats { return s.stats }

// Done reports whether the stream has finished, failed or been abandoned.
func (s *Stream) Done() bool { return s.done }

// DeliveredText returns the text of the tokens before Position and reports whether all of it is
// kept.
func (s *Stream) DeliveredText() (string, bool) { return string(s.keptText), !s.textDropped }

// KeptBytes returns the memory used by the kept text.
func (s *Stream) KeptBytes() int { return cap(s.keptText) }

// DropKeptText drops the kept text; a later attempt at another target regenerates it and checks the
// digest.
func (s *Stream) DropKeptText() {
	s.textDropped = true
	s.keptText = nil
}

// Step handles one event and returns the resulting actions, which are valid until the next Step.
func (s *Stream) Step(now time.Time, ev Event) []Action {
	s.actions = s.actions[:0]
	if s.done {
		return nil
	}
	s.handleEvent(now, ev)
	if !s.done {
		s.checkTimeouts(now)
	}
	return s.actions
}

func (s *Stream) handleEvent(now time.Time, ev Event) {
	switch ev.Kind {
	case Started:
		s.start(now)
	case Accepted:
		s.handleAccepted(now, ev)
	case TokenReceived:
		s.handleToken(now, ev)
	case Ended:
		s.handleEnd(now, ev)
	case ConnectionLost, RecordMissing, Refused, NoTarget, Unreachable:
		s.handleLoss(now, ev)
	case Queued, Dequeued:
		s.recordQueueing(now, ev)
	case Paused:
		s.pause()
	case Resumed:
		s.resume(now)
	case Delayed:
		s.restartTimers(now)
	case Suspected:
		s.handleSuspicion(now, ev)
	case Abandoned:
		s.abandon("caller_gone")
	case Ticked:
	}
}

// NextTick returns the next time at which Step needs a Ticked event, or the zero time.
func (s *Stream) NextTick() time.Time {
	if s.done || s.paused {
		return time.Time{}
	}
	next := s.giveUpAt()
	active := false
	for _, a := range s.attempts {
		active = active || !a.silent
		if a.silent || a.queued {
			continue
		}
		if t := a.silentAt(); t.Before(next) {
			next = t
		}
	}
	if !active && s.retryAt.Before(next) {
		next = s.retryAt
	}
	return next
}

func (s *Stream) start(now time.Time) {
	s.lastProgressAt = now
	if s.Position == 0 && s.LastAttempt == 0 {
		s.beginAttempt(now, Fresh, "", "first_attempt")
		return
	}
	s.textDropped = s.Position > 0 && !s.Exclusive
	if s.Target != "" && !s.Exclusive {
		s.beginAttempt(now, Reattach, s.Target, "cursor")
		return
	}
	s.beginElsewhere(now, "cursor")
}

func (s *Stream) pause() {
	s.paused = true
	// A queued attempt would take capacity from streams whose readers are waiting.
	for _, a := range slices.Clone(s.attempts) {
		a.skipGap = true
		if a.queued {
			s.removeAttempt(a)
			s.endAttempt(a, "reader_paused", nil)
		}
	}
}

// resume restarts the timers and replaces what was lost during the pause.
func (s *Stream) resume(now time.Time) {
	if !s.paused {
		return
	}
	s.paused = false
	s.lastProgressAt = now
	for _, a := range s.attempts {
		a.lastHeardAt, a.silent = now, false
	}
	switch {
	case len(s.attempts) > 0:
	case s.attemptsSinceToken <= immediateAttempts:
		s.reattachOrBeginElsewhere(now, "reader_resumed")
	default:
		s.scheduleRetry(now)
	}
}

// restartTimers restarts the timers after the process did not run for a while.
//
// Without it a busy instance would treat its own delay as silence of the engines, and the attempts
// that replace them would add to its load.
func (s *Stream) restartTimers(now time.Time) {
	s.lastProgressAt = now
	for _, a := range s.attempts {
		if !a.silent {
			a.lastHeardAt = now
		}
	}
}

// reattachOrBeginElsewhere asks the last target for its record if it may have one, and otherwise begins
// an attempt elsewhere.
func (s *Stream) reattachOrBeginElsewhere(now time.Time, reason string) {
	if s.Target != "" && !s.recordMissing && !s.Exclusive {
		s.beginAttempt(now, Reattach, s.Target, reason)
		return
	}
	s.beginElsewhere(now, reason)
}

func (s *Stream) abandon(reason string) {
	s.done = true
	s.endOthers(nil, reason)
}

func (s *Stream) fail(code string, o Outcome, retry time.Duration) {
	s.abandon(code)
	s.actions = append(s.actions, Action{Kind: Fail, Err: &Failure{Code: code, Outcome: o, RetryAfter: retry}})
}
