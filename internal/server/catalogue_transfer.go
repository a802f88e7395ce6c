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

// maxForms is the number of revisions that an instance keeps, so that it can send only the
// difference to a peer that has one of them.
const maxForms = 4

// canonicalForm is one revision in canonical form: compact JSON with revision 0.
type canonicalForm struct {
	revision int64
	hash     uint64
	data     []byte
}

// catalogueForms is the blackboard key of the newest revisions, newest first.
var catalogueForms = blackboard.Key[[]canonicalForm]{Name: "catalogue-forms"}

func newCanonicalForm(d *catalogue.Document) (canonicalForm, error) {
	plain := *d
	plain.Revision = 0
	data, err := json.Marshal(&plain)
	return canonicalForm{d.Revision, xxhash.Sum64(data), data}, err
}

// document returns the JSON with its actual revision.
func (f canonicalForm) document() []byte {
	return bytes.Replace(f.data, []byte(`"revision":0`), fmt.Appendf(nil, `"revision":%d`, f.revision), 1)
}

// Fetch requests a revision of the catalogue above the one that the caller has.
type Fetch struct {
	After int64
	Hash  uint64
}

// Fetched is a revision of the catalogue, as a difference to the caller's revision if Base is not 0.
//
// At the design scale the document has half a megabyte and changes 6,800 times a day;
// always sending it whole would use a third of the traffic budget for control.
type Fetched struct {
	Revision int64
	Hash     uint64
	Base     int64
	// Prefix and Suffix are the numbers of bytes of the base that are kept before and after Data.
	Prefix int
	Suffix int
	// Data is compressed.
	Data []byte
}

// Check returns an error if the document is too large or a number is negative; its content is checked when it is decompressed.
func (f *Fetched) Check() error {
	if len(f.Data) > catalogue.MaxDocumentBytes || f.Prefix < 0 || f.Suffix < 0 || f.Revision < 0 || f.Base < 0 {
		return &instance.MessageError{Field: "data", Value: strconv.Itoa(len(f.Data)), Rule: "must be at most a megabyte with a valid base"}
	}
	return nil
}

// buildFetched returns the newest revision for a caller, or an empty reply if the caller has it.
func buildFetched(kept []canonicalForm, in Fetch) (Fetched, error) {
	if len(kept) == 0 || kept[0].revision <= in.After {
		return Fetched{}, nil
	}
	newest := kept[0]
	out := Fetched{Revision: newest.revision, Hash: newest.hash}
	for _, old := range kept[1:] {
		if old.revision == in.After && old.hash == in.Hash {
			out.Base = old.revision
			out.Prefix, out.Suffix = difference.CommonAffixes(old.data, newest.data)
		}
	}
	var err error
	out.Data, err = compress(newest.data[out.Prefix : len(newest.data)-out.Suffix])
	return out, err
}

// restoreDocument returns the document that a peer sent, given the revisions that the instance has.
func restoreDocument(kept []canonicalForm, f *Fetched) ([]byte, error) {
	data, err := decompress(f.Data)
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
	return canonicalForm{f.Revision, f.Hash, data}.document(), nil
}

func compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write(data); err != nil {
		return nil, err
	}
	err := z.Close()
	return b.Bytes(), err
}

// decompress returns at most catalogue.MaxDocumentBytes and an error if there is more.
func decompress(data []byte) ([]byte, error) {
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
