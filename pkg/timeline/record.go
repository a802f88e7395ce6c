package timeline

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
)

// Record is one decoded line of a log.
type Record struct {
	Stamp
	Event
	Instance    string
	Incarnation int64
	Sequence    uint64
	// Suppressed counts the request's events over its limit; it is set on its terminal event.
	Suppressed int
	// Previous and Hash are the hashes of the previous line and of this line, in hexadecimal.
	Previous string
	Hash     string
	// Raw is the line without its line feed.
	Raw []byte
	// FileIndex and Line are the position from which the record was read; Line counts from 1.
	FileIndex int
	Line      int
}

// LineError states what is wrong with a line.
type LineError struct {
	// Reason is too_long, not_json or field_missing.
	Reason string
}

func (e *LineError) Error() string { return strings.ReplaceAll(e.Reason, "_", " ") }

type encodedRecord struct {
	Stamp
	Instance    string           `json:"instance"`
	Incarnation int64            `json:"incarnation"`
	Sequence    uint64           `json:"sequence"`
	Kind        string           `json:"kind"`
	Request     string           `json:"request"`
	Generation  string           `json:"generation"`
	Workspace   string           `json:"workspace"`
	Entry       string           `json:"entry"`
	Version     string           `json:"version"`
	Target      string           `json:"target"`
	Member      string           `json:"member"`
	Decision    string           `json:"decision"`
	Why         string           `json:"why"`
	Outcome     string           `json:"outcome"`
	Attempt     int              `json:"attempt"`
	Revision    int64            `json:"revision"`
	Suppressed  int              `json:"suppressed"`
	Inputs      map[string]int64 `json:"inputs"`
	Previous    string           `json:"previous"`
	Hash        string           `json:"hash"`
}

// Decode decodes a copy of one line; any error is a *LineError.
func Decode(line []byte) (*Record, error) {
	if len(line) > MaxLineBytes {
		return nil, &LineError{Reason: "too_long"}
	}
	f := encodedRecord{}
	if json.Unmarshal(line, &f) != nil {
		return nil, &LineError{Reason: "not_json"}
	}
	if f.Instance == "" || f.Kind == "" || f.Sequence == 0 || f.Wall <= 0 {
		return nil, &LineError{Reason: "field_missing"}
	}
	r := &Record{
		Stamp: f.Stamp, Instance: f.Instance, Incarnation: f.Incarnation, Sequence: f.Sequence, Suppressed: f.Suppressed,
		Previous: f.Previous, Hash: f.Hash, Raw: slices.Clone(line),
		Event: Event{
			Kind: f.Kind, Request: f.Request, Generation: f.Generation, Workspace: f.Workspace, Entry: f.Entry, Version: f.Version,
			Target: f.Target, Member: f.Member, Attempt: f.Attempt, Revision: f.Revision, Decision: f.Decision, Why: f.Why, Outcome: f.Outcome,
		},
	}
	for name, v := range f.Inputs {
		r.Inputs = append(r.Inputs, Input{Name: name, Value: v})
	}
	slices.SortFunc(r.Inputs, func(a, b Input) int { return cmp.Compare(a.Name, b.Name) })
	return r, nil
}

// HashMatches reports whether the line's own hash matches its content.
func (r *Record) HashMatches() bool {
	line := string(r.Raw)
	i := strings.LastIndex(line, hashField)
	if i < 0 || line[i+len(hashField):] != r.Hash+"\"}" {
		return false
	}
	sum := sha256.Sum256(r.Raw[:i])
	return hex.EncodeToString(sum[:hashBytes]) == r.Hash
}

// InputValue returns the value of the named input, or 0 if there is none.
func (r *Record) InputValue(name string) int64 {
	for _, in := range r.Inputs {
		if in.Name == name {
			return in.Value
		}
	}
	return 0
}

// CompareCausal orders records so that causes precede their effects.
func CompareCausal(a, b *Record) int {
	return cmp.Or(a.Compare(b.Stamp), CompareSource(a, b))
}

// CompareSource orders records by instance, incarnation and sequence number.
func CompareSource(a, b *Record) int {
	return cmp.Or(
		cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(string(a.Raw), string(b.Raw)), cmp.Compare(a.FileIndex, b.FileIndex), cmp.Compare(a.Line, b.Line),
	)
}

// CompareRequest orders records by request and then causally.
func CompareRequest(a, b *Record) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), CompareCausal(a, b))
}

// SameLine reports whether two records are copies of the same line.
func (r *Record) SameLine(o *Record) bool {
	return o != nil && string(r.Raw) == string(o.Raw)
}
