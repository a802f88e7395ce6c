package generation

import "time"

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events.
const (
	// Started requests the first attempt.
	Started EventKind = iota
	// Accepted reports that the target accepted an attempt and will send tokens.
	Accepted
	// TokenReceived carries one token of an attempt.
	TokenReceived
	// Ended reports that an attempt's generation ended at Position.
	Ended
	// ConnectionLost reports that an attempt's connection was lost or could not be made.
	ConnectionLost
	// RecordMissing reports that the target no longer has the generation's record.
	RecordMissing
	// Refused reports that the target stated that it did not run the attempt.
	Refused
	// NoTarget reports that no target could be found for an attempt.
	NoTarget
	// Ticked only reports that time has passed.
	Ticked
	// Paused reports that the reader is not accepting tokens for now.
	Paused
	// Resumed reports that the reader accepts tokens again.
	Resumed
	// Abandoned reports that the caller has disconnected.
	Abandoned
	// Unreachable reports that no connection to the target could be made, so that no byte was sent.
	Unreachable
	// Queued reports that an attempt waits in the resume queue before it is sent.
	Queued
	// Dequeued reports that a queued attempt is now sent to its target.
	Dequeued
	// Delayed reports that the process did not run when the stream was due, so that the time since
	// then shows nothing about the targets.
	Delayed
	// Suspected reports that others have lost the target of an attempt of an Exclusive stream.
	Suspected
)

// Event reports something that happened to a stream.
type Event struct {
	Kind     EventKind
	Attempt  int
	Position uint64
	Text     string
	// Target is the target that accepted the attempt.
	Target string
	// Reason is the reason of the end, of the lost connection or of the suspicion. In a NoTarget event, VersionGone
	// means that no target of the version is left.
	Reason string
	// Timeouts replaces the stream's timeouts when an attempt is accepted.
	Timeouts Timeouts
}

// CrashesTargets is the reason and the failure code when a generation is not sent to further
// targets because it crashes them.
const CrashesTargets = "crashes_targets"

// VersionGone is the reason and the failure code when no target of a generation's version is left.
const VersionGone = "version_gone"

// Timeouts holds how long a stream waits before it treats a connection as silent.
type Timeouts struct {
	// FirstToken is the wait for the first token of an attempt.
	FirstToken time.Duration
	// NextToken is the wait between two tokens.
	NextToken time.Duration
	// Accept is the wait for a target to accept a new connection.
	Accept time.Duration
}

// AttemptMode is the way in which an attempt obtains the remaining tokens.
type AttemptMode uint8

// The modes, cheapest first after Fresh.
const (
	// Fresh runs the generation from its prompt.
	Fresh AttemptMode = iota
	// Reattach asks the same target for its record on a new connection.
	Reattach
	// Continue sends the prompt and the delivered text to another target.
	Continue
	// Regenerate sends only the prompt to another target and checks the regenerated prefix by its
	// digest.
	Regenerate
)

func (w AttemptMode) String() string {
	return [...]string{"fresh", "reattach", "continue", "regenerate"}[w]
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	// Begin starts an attempt.
	Begin ActionKind = iota
	// Cancel ends an attempt at its target, because its output is no longer needed.
	Cancel
	// Detach closes an attempt's connection and leaves the generation running for a newer attempt.
	Detach
	// Deliver passes one token to the caller.
	Deliver
	// Finish ends the response normally.
	Finish
	// Fail ends the response with an error.
	Fail
)

// Action is an instruction to the owner of a stream.
type Action struct {
	Kind     ActionKind
	Attempt  int
	Mode     AttemptMode
	Position uint64
	Text     string
	// Target is the target of a Reattach.
	Target string
	// Avoid lists targets that recently failed for this stream.
	Avoid []string
	// Reason is why the action is taken; it is recorded in the timeline.
	Reason string
	Err    *Failure
	// Gap is the time since the previous token, if both tokens came from this attempt and the
	// reader did not pause in between; otherwise 0.
	Gap time.Duration
	// FirstToken is the time from the attempt's acceptance to its first token, if that is
	// delivered; otherwise 0.
	FirstToken time.Duration
}

// Outcome states whether a request was run.
type Outcome string

// The outcomes that are reported to callers.
const (
	NotRun  Outcome = "not_run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Failure is the reason why a response could not be completed.
type Failure struct {
	Code       string
	Outcome    Outcome
	RetryAfter time.Duration
}

func (f *Failure) Error() string { return f.Code + ": " + string(f.Outcome) }
