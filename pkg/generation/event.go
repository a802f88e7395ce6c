package generation

import "time"

// EventKind tells what happened to a stream.
type EventKind uint8

// The kinds of events.
const (
	// Started asks for the first attempt.
	Started EventKind = iota
	// Accepted tells that the target answered an attempt and will send tokens.
	Accepted
	// TokenReceived brings one token of an attempt.
	TokenReceived
	// Ended tells that an attempt's generation came to its end, at Position.
	Ended
	// ConnectionLost tells that an attempt's connection was lost or could not be made.
	ConnectionLost
	// RecordMissing tells that the target no longer has the generation's record.
	RecordMissing
	// Refused tells that the target said it did not run the attempt.
	Refused
	// NoTarget tells that no target could be found for an attempt.
	NoTarget
	// Ticked tells only that time has passed.
	Ticked
	// Paused tells that the reader holds the stream back.
	Paused
	// Resumed tells that the reader takes tokens again.
	Resumed
	// Abandoned tells that the caller has gone.
	Abandoned
	// Unreachable tells that no connection to the target could be made, so that no byte was sent.
	Unreachable
	// Queued tells that an attempt waits for its turn before it is sent.
	Queued
	// Dequeued tells that a queued attempt is now sent to its target.
	Dequeued
)

// Event is one thing that happened to a stream.
type Event struct {
	Kind     EventKind
	Attempt  int
	Position uint64
	Text     string
	// Target names the target that accepted the attempt.
	Target string
	// Reason is the end's reason, or why a connection was lost. Of an Unplaced
	// event, VersionGone tells that no target of the version is left.
	Reason string
	// Timeouts replaces the stream's patience when an attempt is accepted.
	Timeouts Timeouts
}

// CrashesTargets is the reason and the code when a generation is sent to no more targets since it crashes them.
const CrashesTargets = "crashes_targets"

// VersionGone is the reason and the code when no target of a generation's version is left.
const VersionGone = "version_gone"

// Timeouts tells how long a stream waits before it takes a connection for silent.
type Timeouts struct {
	// FirstToken is the wait for the first token of an attempt.
	FirstToken time.Duration
	// NextToken is the wait between two tokens.
	NextToken time.Duration
	// Accept is the wait for a target to accept a new connection.
	Accept time.Duration
}

// AttemptMode tells how an attempt gets the tokens that are still to come.
type AttemptMode uint8

// The ways, cheapest first after Fresh.
const (
	// Fresh runs the generation from its prompt.
	Fresh AttemptMode = iota
	// Reattach asks the same target for its record on a new connection.
	Reattach
	// Continue gives another target the prompt and the delivered text.
	Continue
	// Regenerate gives another target the prompt only and checks the prefix by digest.
	Regenerate
)

func (w AttemptMode) String() string {
	return [...]string{"fresh", "reattach", "continue", "regenerate"}[w]
}

// ActionKind tells what to do for a stream.
type ActionKind uint8

// The kinds of actions.
const (
	// Begin starts an attempt.
	Begin ActionKind = iota
	// Cancel ends an attempt at its target, whose output is not wanted any more.
	Cancel
	// Detach closes an attempt's connection and leaves the generation to a newer one.
	Detach
	// Deliver hands one token to the caller.
	Deliver
	// Finish ends the answer normally.
	Finish
	// Fail ends the answer with an error.
	Fail
)

// Action is one thing to do for a stream.
type Action struct {
	Kind     ActionKind
	Attempt  int
	Mode     AttemptMode
	Position uint64
	Text     string
	// Target is where a Reattach goes.
	Target string
	// Avoid names targets that lately failed this stream.
	Avoid []string
	// Reason is why the action is taken, for the time line.
	Reason string
	Err    *Failure
	// Gap is the time before a delivered token, if both it and the one before
	// came by this attempt and the reader held nothing back in between; or 0.
	Gap time.Duration
	// FirstToken is the time from the attempt's acceptance to a delivered first token, or 0.
	FirstToken time.Duration
}

// Outcome tells whether a request was run.
type Outcome string

// The outcomes that a caller is told.
const (
	NotRun  Outcome = "not_run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Failure tells why an answer could not be completed.
type Failure struct {
	Code       string
	Outcome    Outcome
	RetryAfter time.Duration
}

func (f *Failure) Error() string { return f.Code + ": " + string(f.Outcome) }
