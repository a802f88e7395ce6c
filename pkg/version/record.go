package version

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"
)

// RecordFormat is the version of the record format that this package reads and writes.
const RecordFormat = 1

// MaxRecordBytes is the largest size of a record in the key-value service.
const MaxRecordBytes = 64 << 10

// State is the state of a change.
type State string

// The states of a change.
const (
	// Waiting changes have no target yet that can run the new version.
	Waiting State = "waiting"
	// Trial changes give the new version a small share until there is enough evidence.
	Trial State = "trial"
	// Moving changes have enough evidence that the new version is good and move traffic to it.
	Moving State = "moving"
	// Done changes have moved the traffic; a control share stays with the old version while it is kept warm.
	Done State = "done"
	// Closed changes no longer need the old version.
	Closed State = "closed"
	// RolledBack changes give the new version no traffic until an operator edits the entry.
	RolledBack State = "rolled_back"
)

var states = []State{Waiting, Trial, Moving, Done, Closed, RolledBack}

// Record is the state of a change as the key-value service stores it and the status command shows it.
type Record struct {
	Format   int       `json:"format"`
	ID       uint64    `json:"id"`
	Entry    string    `json:"entry"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	Revision int64     `json:"revision"`
	Deadline time.Time `json:"deadline"`
	State    State     `json:"state"`
	// Share is the fraction of requests that goes to the new version, from 0 to 1.
	Share float64 `json:"share"`
	// Why is the reason for the last step, in snake case.
	Why string `json:"why"`
	// Warning is the reason why the change will probably miss its deadline, or empty.
	Warning string `json:"warning,omitempty"`
	// Fence is the fencing number of the decider that wrote the record.
	Fence   int64  `json:"fence"`
	Decider string `json:"decider"`
	// TrialStart is when the trial began, StateStart when the present state did, LastStep when the share
	// or the state last changed.
	TrialStart time.Time `json:"started,omitzero"`
	StateStart time.Time `json:"since"`
	LastStep   time.Time `json:"stepped"`
	// Old and New are the results of the versions since the trial began.
	Old Counts `json:"old"`
	New Counts `json:"new"`
	// OwnFailures counts failures of the new version at times when the old one did not fail as well.
	OwnFailures uint32 `json:"own_failures"`
	// Wealth is the wealth of the sequential test; the version is bad at 1/Alpha.
	Wealth float64 `json:"wealth"`
	// AcceptLogOdds has the log odds that the version is good, for failing, slow_first and slow_pace.
	AcceptLogOdds [defectKinds]float64 `json:"accepted"`
	// Route and Kind are the route and the kind of defect with the strongest evidence.
	Route string `json:"route,omitempty"`
	Kind  string `json:"kind,omitempty"`
	// Ordered is set if engines are ordered to load the new version; Loaded has those that have loaded it.
	Ordered bool     `json:"ordered,omitempty"`
	Loaded  []string `json:"loaded,omitempty"`
}

// RecordError reports which field of a record violates which rule.
type RecordError struct {
	Field string
	Value string
	Rule  string
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("record of a change: %s: %s: %s", e.Field, e.Value, e.Rule)
}

// DecodeRecord parses one record from JSON, rejects unknown fields and checks the result.
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

// Finished reports whether the change is in a final state, in which it takes no further step.
func (r *Record) Finished() bool { return r.State == Closed || r.State == RolledBack }

// Encode returns the record as JSON.
func (r *Record) Encode() []byte {
	data, _ := json.Marshal(r)
	return data
}
