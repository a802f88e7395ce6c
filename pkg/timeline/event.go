package timeline

// Event is one decision or observation of a process.
type Event struct {
	// Kind is what happened, in snake case, such as attempt_begun.
	Kind    string
	Request string
	// Generation identifies the answer that a request streams; a request that resumes the answer has the same.
	Generation string
	Workspace  string
	Entry      string
	Version    string
	Target     string
	Attempt    int
	// Member is the other instance that the event is about.
	Member   string
	Revision int64
	// Decision is what was decided, and Why the reason, in snake case.
	Decision string
	Why      string
	// Outcome is set only on the terminal event of a request; each request has one.
	Outcome string
	// Inputs are the figures that the decision was based on, at most MaxInputs.
	Inputs []Input
}

// Kinds of events that this package itself writes or interprets.
const (
	// AttemptBegun and AttemptEnded mark the start and end of the work at a target.
	AttemptBegun = "attempt_begun"
	AttemptEnded = "attempt_ended"
	// AttemptLost means that the end of an attempt at its target is unknown.
	AttemptLost = "attempt_lost"
	// LogClosed is the last line of an incarnation that stopped gracefully.
	LogClosed = "log_closed"
	// LinesDropped states how many events were not written because the queue was full.
	LinesDropped = "lines_dropped"
	// EventsSuppressed states how many events exceeded the limit of a request whose end was not observed.
	EventsSuppressed = "events_suppressed"
)

// MaxInputs bounds the inputs of one event.
const MaxInputs = 8

// Input is one figure that a decision was based on.
type Input struct {
	Name  string
	Value int64
}
