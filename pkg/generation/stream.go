package generation

import (
	"slices"
	"time"
)

// Stream decides what to do for one generation.
//
// Set the exported fields before the first Step. A stream that goes on from a
// cursor sets Position, Digest, Target and LastAttempt and has no kept text.
type Stream struct {
	// Position is the position of the next token to deliver.
	Position uint64
	// Digest covers the tokens before Position.
	Digest Digest
	// Target is the target that last delivered, if any.
	Target string
	// LastAttempt is the highest attempt number used so far.
	LastAttempt int
	// MaxKeptBytes bounds the delivered text that is kept for continuing elsewhere.
	MaxKeptBytes int
	// ResumeWait bounds the time without a token after which the stream gives up.
	ResumeWait time.Duration
	// RetryWait is the first pause between attempts that found no target.
	RetryWait time.Duration
	// Timeouts holds until an attempt is accepted with its own.
	Timeouts Timeouts
	// Exclusive is set for targets that keep no record of a generation and must not run it
	// twice: a lost or silent attempt is cancelled before the next one, which goes elsewhere.
	Exclusive bool
	// AcceptWait bounds the wait for a target to accept the request; 0 means 3 s.
	AcceptWait time.Duration
	// Seed spreads the retries of streams that lost their engines together.
	Seed uint64

	attempts []*attempt
	// strays are lost attempts whose targets may still compute for them.
	lostAttempts   []*attempt
	keptText       []byte
	textDropped    bool
	paused         bool
	done           bool
	lastProgressAt time.Time
	// retryAt is when to try again if no attempt gives hope before.
	retryAt time.Time
	// tries is the number of attempts begun since the last token.
	attemptsSinceToken int
	// accepted is set once a target took an attempt, doubtful once one may have.
	accepted      bool
	maybeAccepted bool
	// missing is set when Target has no record, unplaced when no target was found.
	recordMissing bool
	noTarget      bool
	versionGone   bool
	avoid         []string
	actions       []Action
	stats         Stats
}

// Stats counts what resuming has cost a stream.
type Stats struct {
	// Resumes is the number of attempts after the first.
	Resumes int
	// Recomputed is the number of delivered tokens that engines computed again one by one.
	Recomputed int
	// Prefilled is the number of delivered tokens that engines took in again as a prompt.
	Prefilled int
	// Overlapping is the number of attempts begun while another one was open elsewhere.
	Overlapping int
	// Discarded is the number of received tokens that were not delivered.
	Discarded int
}

// Stats returns what resuming has cost so far.
func (s *Stream) Stats() Stats { return s.stats }

// Done reports whether the stream has finished, failed or been abandoned.
func (s *Stream) Done() bool { return s.done }

// DeliveredText returns the kept text of the tokens before Position, if all of it is held.
func (s *Stream) DeliveredText() (string, bool) { return string(s.keptText), !s.textDropped }

// KeptBytes returns the memory that the kept text takes.
func (s *Stream) KeptBytes() int { return cap(s.keptText) }

// DropKeptText gives up the kept text; a later attempt elsewhere regenerates it and checks the digest.
func (s *Stream) DropKeptText() {
	s.textDropped = true
	s.keptText = nil
}

// Step takes one event and returns the actions it leads to, which are valid until the next Step.
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
	case Abandoned:
		s.abandon("caller_gone")
	case Ticked:
	}
}

// NextTick returns the next time at which Step wants a Ticked event, or the zero time.
func (s *Stream) NextTick() time.Time {
	if s.done || s.paused {
		return time.Time{}
	}
	wake := s.giveUpAt()
	active := false
	for _, a := range s.attempts {
		active = active || !a.silent
		if a.silent || a.queued {
			continue
		}
		if t := a.silentAt(); t.Before(wake) {
			wake = t
		}
	}
	if !active && s.retryAt.Before(wake) {
		wake = s.retryAt
	}
	return wake
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
	// A queued attempt would keep its turn from streams whose readers wait.
	for _, a := range slices.Clone(s.attempts) {
		a.readerPaused = true
		if a.queued {
			s.remove(a)
			s.endAttempt(a, "reader_paused", nil)
		}
	}
}

// unpause starts the timers anew and replaces what was lost during the pause.
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
		s.reattachOrContinue(now, "reader_resumed")
	default:
		s.scheduleRetry(now)
	}
}

// lookBack asks the last target for its record if it may have one, and goes elsewhere if not.
func (s *Stream) reattachOrContinue(now time.Time, reason string) {
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
