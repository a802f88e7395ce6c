package duty

import (
	"encoding/json"
	"fmt"
	"net/netip"
)

// maxNameBytes bounds the names in a record, and its nonce.
const maxNameBytes = 256

// Record is the value of a duty's key. Fields of later builds are ignored.
type Record struct {
	// Instance and Address identify the holder.
	Instance string         `json:"instance"`
	Address  netip.AddrPort `json:"address"`
	// Nonce identifies one try to write the key.
	Nonce string `json:"nonce"`
	// Term counts the terms of the duty, as far as the holder knew of them.
	Term int64 `json:"term"`
	// Former is the instance that held the duty before, so that a new process of it knows that it did.
	Former string `json:"former,omitempty"`
}

// RecordError reports which field of a record can't be used.
type RecordError struct{ Field string }

func (e *RecordError) Error() string { return "duty record: unusable " + e.Field }

// DecodeRecord decodes and checks the value of a duty's key; the error is a *RecordError for a bad field.
func DecodeRecord(data []byte) (Record, error) {
	r := Record{}
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("duty record: %w", err)
	}
	for field, v := range map[string]string{"instance": r.Instance, "nonce": r.Nonce} {
		if v == "" || len(v) > maxNameBytes {
			return Record{}, &RecordError{Field: field}
		}
	}
	if r.Term < 0 {
		return Record{}, &RecordError{Field: "term"}
	}
	return r, nil
}

// Encode returns the value of a duty's key.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		// Only names, an address and a number: there is nothing that can't be encoded.
		panic(err)
	}
	return data
}
