package usage

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Report holds the counts of all workspaces in a window.
type Report struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// Hash identifies the content of a report.
func (r *Report) Hash() uint64 {
	// The keys of a map are encoded in order.
	data, _ := json.Marshal(r)
	return xxhash.Sum64(data)
}

func (r *Report) validate() error {
	if r.Window <= 0 {
		return &MessageError{Field: "window"}
	}
	for workspace, n := range r.Counts {
		if workspace == "" || n < 0 {
			return &MessageError{Field: "counts"}
		}
	}
	return nil
}

// Record is the value that the store holds of the reports of one era.
type Record struct {
	// Unsent holds the reports that the platform may not have accepted, in the order of their windows.
	Unsent []Report `json:"unsent,omitempty"`
	// LastSent is the last report that it has accepted.
	LastSent *Report `json:"last_sent,omitempty"`
	// WrittenMillis is the latest true time at which it may have been written, in Unix milliseconds.
	WrittenMillis int64 `json:"written_ms,omitempty"`
}

// DecodeRecord decodes and checks a record.
func DecodeRecord(data []byte) (*Record, error) {
	r := &Record{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, errors.Wrap(err, "usage record")
	}
	return r, r.Validate()
}

// Validate checks a record.
func (r *Record) Validate() error {
	last := int64(0)
	for i := range r.Unsent {
		if err := r.Unsent[i].validate(); err != nil {
			return err
		}
		if r.Unsent[i].Window <= last {
			return &MessageError{Field: "unsent"}
		}
		last = r.Unsent[i].Window
	}
	if r.LastSent != nil {
		if err := r.LastSent.validate(); err != nil {
			return err
		}
	}
	if r.WrittenMillis < 0 {
		return &MessageError{Field: "written_ms"}
	}
	return nil
}

// Latest returns the latest window of which the record has a report, or 0.
func (r *Record) Latest() int64 {
	latest := int64(0)
	if r.LastSent != nil {
		latest = r.LastSent.Window
	}
	if n := len(r.Unsent); n > 0 {
		latest = max(latest, r.Unsent[n-1].Window)
	}
	return latest
}

// latestReport returns the report of the latest window, or nil.
func (r *Record) latestReport() *Report {
	if n := len(r.Unsent); n > 0 && (r.LastSent == nil || r.Unsent[n-1].Window > r.LastSent.Window) {
		return &r.Unsent[n-1]
	}
	return r.LastSent
}
