package timeline

// Kinds of findings.
const (
	// DamagedLine is a line that cannot be decoded.
	DamagedLine = "damaged_line"
	// LineAltered is a line whose own hash does not match.
	LineAltered = "line_altered"
	// LinesMissing is a gap in the sequence numbers of an incarnation.
	LinesMissing = "lines_missing"
	// ChainBroken is a line whose previous hash is not the hash of the line before.
	ChainBroken = "chain_broken"
	// SequenceTwice is a sequence number that two different lines have.
	SequenceTwice = "sequence_twice"
	// OutOfOrder is a line that precedes its predecessor in a file.
	OutOfOrder = "out_of_order"
	// AfterClose is a line after log_closed.
	AfterClose = "after_close"
	// NoGracefulEnd is an incarnation whose last line is not log_closed.
	NoGracefulEnd = "no_graceful_end"
	// EventsDropped is a number of events that the writer itself reports as dropped.
	EventsDropped = "events_dropped"
	// NoOutcome is a request without a terminal event, OutcomeTwice one with several.
	NoOutcome    = "no_outcome"
	OutcomeTwice = "outcome_twice"
	// AttemptOpen is an attempt that began at a target and has no end.
	AttemptOpen = "attempt_open"
)

// Finding is one fault or gap in a set of logs.
type Finding struct {
	Kind        string `json:"kind"`
	Instance    string `json:"instance,omitempty"`
	Incarnation int64  `json:"incarnation,omitempty"`
	// From and To are the sequence numbers concerned, inclusive.
	From uint64 `json:"from,omitempty"`
	To   uint64 `json:"to,omitempty"`
	// Count is a number of events or outcomes.
	Count   int64  `json:"count,omitempty"`
	Request string `json:"request,omitempty"`
	Attempt int    `json:"attempt,omitempty"`
	Target  string `json:"target,omitempty"`
	// File and Line are the position of the line concerned, if there is a single one.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Why is a known cause, such as no_graceful_end of the request's instance.
	Why string `json:"why,omitempty"`
	// FileIndex is the index of the file, from which the caller fills in File.
	FileIndex int `json:"-"`
}

// Source identifies one incarnation of one instance.
type Source struct {
	Instance    string `json:"instance"`
	Incarnation int64  `json:"incarnation"`
}

// Source returns the incarnation that wrote the record.
func (r *Record) Source() Source { return Source{r.Instance, r.Incarnation} }

func (r *Record) newFinding(kind string) Finding {
	return Finding{Kind: kind, Instance: r.Instance, Incarnation: r.Incarnation, From: r.Sequence, To: r.Sequence, FileIndex: r.FileIndex, Line: r.Line}
}
