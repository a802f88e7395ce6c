package timeline

// Kinds of findings.
const (
	// DamagedLine is a line that could not be read.
	DamagedLine = "damaged_line"
	// LineAltered is a line whose own hash does not fit.
	LineAltered = "line_altered"
	// LinesMissing is a gap in the sequence numbers of an incarnation.
	LinesMissing = "lines_missing"
	// ChainBroken is a line that does not name the hash of the line before.
	ChainBroken = "chain_broken"
	// SequenceTwice is a sequence number with two different lines.
	SequenceTwice = "sequence_twice"
	// OutOfOrder is a line that stands before its predecessor in a file.
	OutOfOrder = "out_of_order"
	// AfterClose is a line after the last one of a graceful stop.
	AfterClose = "after_close"
	// NoGracefulEnd is an incarnation whose last line is not log_closed.
	NoGracefulEnd = "no_graceful_end"
	// EventsDropped is a count of events that the writer itself reports as lost.
	EventsDropped = "events_dropped"
	// NoOutcome is a request without a terminal event, OutcomeTwice one with several.
	NoOutcome    = "no_outcome"
	OutcomeTwice = "outcome_twice"
	// AttemptOpen is an attempt that begun at a target and has no end.
	AttemptOpen = "attempt_open"
)

// Finding is one thing that a set of logs lacks or that is wrong with it.
type Finding struct {
	Kind        string `json:"kind"`
	Instance    string `json:"instance,omitempty"`
	Incarnation int64  `json:"incarnation,omitempty"`
	// From and To are the sequence numbers concerned, both included.
	From uint64 `json:"from,omitempty"`
	To   uint64 `json:"to,omitempty"`
	// Count is a number of events or outcomes.
	Count   int64  `json:"count,omitempty"`
	Request string `json:"request,omitempty"`
	Attempt int    `json:"attempt,omitempty"`
	Target  string `json:"target,omitempty"`
	// File and Line tell where, if it is one place.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Why is a known cause, such as no_graceful_end of the request's instance.
	Why string `json:"why,omitempty"`
	// FileIndex is the index of the file before its name is filled in.
	FileIndex int `json:"-"`
}

// Source names one incarnation of one instance.
type Source struct {
	Instance    string `json:"instance"`
	Incarnation int64  `json:"incarnation"`
}

// Source returns the incarnation that wrote the record.
func (r *Record) Source() Source { return Source{r.Instance, r.Incarnation} }

func (r *Record) finding(kind string) Finding {
	return Finding{Kind: kind, Instance: r.Instance, Incarnation: r.Incarnation, From: r.Sequence, To: r.Sequence, FileIndex: r.FileIndex, Line: r.Line}
}
