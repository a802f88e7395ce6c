package server

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"bambooferry.example/bambooferry/internal/difference"
	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/instance"
)

// keepForms is how many revisions an instance keeps, to answer with what changed since.
const keepForms = 4

// form is one revision in canonical form: compact JSON with revision 0.
type form struct {
	revision int64
	hash     uint64
	data     []byte
}

// forms holds the newest revisions, newest first.
var forms = blackboard.Key[[]form]{Name: "catalogue-forms"}

func formOf(d *catalogue.Document) (form, error) {
	plain := *d
	plain.Revision = 0
	data, err := json.Marshal(&plain)
	return form{d.Revision, xxhash.Sum64(data), data}, err
}

// document returns the form with its revision, ready to be decoded.
func (f form) document() []byte {
	return bytes.Replace(f.data, []byte(`"revision":0`), fmt.Appendf(nil, `"revision":%d`, f.revision), 1)
}

// Fetch asks for a revision of the catalogue above the one that the caller has.
type Fetch struct {
	After int64
	Hash  uint64
}

// Fetched is a revision of the catalogue, as a change of the caller's one if Base is not 0.
//
// At the design scale the document has half a megabyte and changes 6,800 times a day;
// sent whole each time it would take a third of the bytes allowed for control.
type Fetched struct {
	Revision int64
	Hash     uint64
	Base     int64
	// Prefix and Suffix are the bytes kept of the base, around Data.
	Prefix int
	Suffix int
	// Data is compressed.
	Data []byte
}

// Check reports a document that is too large; what it holds is checked when it is unpacked.
func (f *Fetched) Check() error {
	if len(f.Data) > catalogue.MaxDocumentBytes || f.Prefix < 0 || f.Suffix < 0 || f.Revision < 0 || f.Base < 0 {
		return &instance.MessageError{Field: "data", Value: strconv.Itoa(len(f.Data)), Rule: "must be at most a megabyte with a valid base"}
	}
	return nil
}

// fetched returns the newest revision for a caller, or nothing if the caller has it.
func fetched(kept []form, in Fetch) (Fetched, error) {
	if len(kept) == 0 || kept[0].revision <= in.After {
		return Fetched{}, nil
	}
	newest := kept[0]
	out := Fetched{Revision: newest.revision, Hash: newest.hash}
	for _, old := range kept[1:] {
		if old.revision == in.After && old.hash == in.Hash {
			out.Base = old.revision
			out.Prefix, out.Suffix = difference.Common(old.data, newest.data)
		}
	}
	var err error
	out.Data, err = pack(newest.data[out.Prefix : len(newest.data)-out.Suffix])
	return out, err
}

// restore returns the document that a peer sent, given the revisions that the instance has.
func restore(kept []form, f *Fetched) ([]byte, error) {
	data, err := unpack(f.Data)
	if err != nil {
		return nil, err
	}
	if f.Base != 0 {
		if len(kept) == 0 || kept[0].revision != f.Base || f.Prefix > len(kept[0].data)-f.Suffix {
			return nil, &instance.MessageError{Field: "base", Value: strconv.FormatInt(f.Base, 10), Rule: "must be the revision in force and fit it"}
		}
		base := kept[0].data
		data = bytes.Join([][]byte{base[:f.Prefix], data, base[len(base)-f.Suffix:]}, nil)
	}
	if len(data) > catalogue.MaxDocumentBytes || xxhash.Sum64(data) != f.Hash {
		return nil, &instance.MessageError{Field: "hash", Value: strconv.FormatUint(f.Hash, 16), Rule: "must be that of the document"}
	}
	return form{f.Revision, f.Hash, data}.document(), nil
}

func pack(data []byte) ([]byte, error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write(data); err != nil {
		return nil, err
	}
	err := z.Close()
	return b.Bytes(), err
}

// unpack restores at most catalogue.MaxBytes.
func unpack(data []byte) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	out, err := io.ReadAll(io.LimitReader(z, catalogue.MaxDocumentBytes+1))
	if err == nil && len(out) > catalogue.MaxDocumentBytes {
		err = &instance.MessageError{Field: "data", Value: strconv.Itoa(len(data)), Rule: "must hold at most a megabyte"}
	}
	return out, err
}
