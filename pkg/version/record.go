package version

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"
)

// RecordFormat is the format of records that this package reads and writes.
const RecordFormat = 1

// MaxRecordBytes bounds a record in the key-value service.
const MaxRecordBytes = 64 << 10

// State tells how far a change is.
type State string

// The states of a change.
const (
	// Waiting changes have no target that can run the new version yet.
	Waiting State = "waiting"
	// Trial changes give the new version a small share until the evidence suffices.
	Trial State = "trial"
	// Moving changes have evidence that the new version is good and move traffic to it.
	Moving State = "moving"
	// Done changes have moved; a control share stays with the old version while it is kept warm.
	Done State = "done"
	// Closed changes no longer need the old version.
	Closed State = "closed"
	// RolledBack changes give the new version nothing until an operator edits the entry.
	RolledBack State = "rolled_back"
)

var states = []State{Waiting, Trial, Moving, Done, Closed, RolledBack}

// Record is what the key-value service holds of a change, and what the status command shows.
type Record struct {
	Format   int       `json:"format"`
	ID       uint64    `json:"id"`
	Entry    string    `json:"entry"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	Revision int64     `json:"revision"`
	Deadline time.Time `json:"deadline"`
	State    State     `json:"state"`
	// Share is the part of requests that goes to the new version, in parts of 1.
	Share float64 `json:"share"`
	// Why is the reason of the last step, in snake case.
	Why string `json:"why"`
	// Warning is set when the change will probably miss its deadline.
	Warning string `json:"warning,omitempty"`
	// Fence is the fencing number of the decider that wrote the record.
	Fence   int64  `json:"fence"`
	Decider string `json:"decider"`
	// TrialStart is when the trial began, Since when the state did, Stepped when the share last changed.
	TrialStart time.Time `json:"started,omitzero"`
	StateStart time.Time `json:"since"`
	LastStep   time.Time `json:"stepped"`
	// Old and New sum up the results since the trial began.
	Old Counts `json:"old"`
	New Counts `json:"new"`
	// OwnFailures counts failures of the new version while the old one did not fail as well.
	OwnFailures uint32 `json:"own_failures"`
	// Wealth is the value of the sequential test; the version is bad at 1/Alpha.
	Wealth float64 `json:"wealth"`
	// AcceptLogOdds is the log of the odds that the version is good, for failing, slow_first and slow_pace.
	AcceptLogOdds [kinds]float64 `json:"accepted"`
	// Route and Kind tell where the evidence is strongest.
	Route string `json:"route,omitempty"`
	Kind  string `json:"kind,omitempty"`
	// Ordered is set when engines are ordered to load the new version, Loaded names those that have.
	Ordered bool     `json:"ordered,omitempty"`
	Loaded  []string `json:"loaded,omitempty"`
}

// RecordError tells which field of a record breaks which rule.
type RecordError struct {
	Field string
	Value string
	Rule  string
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("record of a change: %s: %s: %s", e.Field, e.Value, e.Rule)
}

// DecodeRecord reads one record strictly and checks it.
func DecodeRecord(data []byte) (Record, error) {
	r := Record{}
	if len(data) > MaxRecordBytes {
		return r, &RecordError{"record", fmt.Sprintf("%d bytes", len(data)), "is too large"}
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&r); err != nil {
		return Record{}, &RecordError{"record", err.Error(), "must be one JSON object of known fields"}
	}
	if dec.More() {
		return Record{}, &RecordError{"record", "more data", "must be one JSON object"}
	}
	if err := r.check(); err != nil {
		return Record{}, err
	}
	return r, nil
}

func (r *Record) check() error {
	switch {
	case r.Format != RecordFormat:
		return &RecordError{"format", fmt.Sprint(r.Format), "must be 1"}
	case !slices.Contains(states, r.State):
		return &RecordError{"state", string(r.State), "must be a known state"}
	case !(r.Share >= 0 && r.Share <= 1):
		return &RecordError{"share", fmt.Sprint(r.Share), "must be from 0 to 1"}
	case r.State == RolledBack && r.Share != 0:
		return &RecordError{"share", fmt.Sprint(r.Share), "must be 0 after a rollback"}
	case r.Fence < 0:
		return &RecordError{"fence", fmt.Sprint(r.Fence), "must not be negative"}
	case !(r.Wealth >= 0) || math.IsInf(r.Wealth, 0):
		return &RecordError{"wealth", fmt.Sprint(r.Wealth), "must not be negative"}
	case !r.Old.valid() || !r.New.valid():
		return &RecordError{"old and new", "counts", "must not have more bad results than results"}
	case r.Entry == "" || r.From == "" || r.To == "":
		return &RecordError{"entry", r.Entry, "must be given with both versions"}
	}
	return nil
}

// Finished reports whether the change takes no further step.
func (r *Record) Finished() bool { return r.State == Closed || r.State == RolledBack }

// Encode returns the JSON form of the record.
func (r *Record) Encode() []byte {
	data, _ := json.Marshal(r)
	return data
}
