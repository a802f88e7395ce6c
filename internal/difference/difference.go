// Package difference encodes a value as its difference from a base value.
//
// Apart from a pool of compressors it holds no state, and it imports no other package of this project.
package difference

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

// maxDictionaryBytes is the length of the suffix of a base that flate can refer to, its window size.
const maxDictionaryBytes = 32 << 10

// SizeError reports that a decoded value exceeds the size limit.
type SizeError struct{ Limit int }

func (e *SizeError) Error() string { return fmt.Sprintf("value exceeds %d bytes", e.Limit) }

// CommonAffixes returns the lengths of the longest common prefix of a and b and of the longest common suffix
// of the rest.
func CommonAffixes(a, b []byte) (prefix, suffix int) {
	n := min(len(a), len(b))
	for prefix < n && a[prefix] == b[prefix] {
		prefix++
	}
	for suffix < n-prefix && a[len(a)-1-suffix] == b[len(b)-1-suffix] {
		suffix++
	}
	return prefix, suffix
}

// Encode returns a value encoded as its difference from base, which may be empty.
func Encode(base, value []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := newWriter(&out, base)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	if len(base) == 0 {
		writerPool.Put(w)
	}
	return out.Bytes(), nil
}

// writerPool holds compressors without a base for reuse, since a new one allocates a megabyte.
var writerPool sync.Pool

func newWriter(out io.Writer, base []byte) (*flate.Writer, error) {
	if len(base) > 0 {
		return flate.NewWriterDict(out, flate.DefaultCompression, dictionary(base))
	}
	if w, ok := writerPool.Get().(*flate.Writer); ok {
		w.Reset(out)
		return w, nil
	}
	return flate.NewWriter(out, flate.DefaultCompression)
}

// Decode returns the value that was encoded with the same base; the error is a *SizeError if the value
// has more than limit bytes.
func Decode(base, encoded []byte, limit int) ([]byte, error) {
	r := flate.NewReaderDict(bytes.NewReader(encoded), dictionary(base))
	value, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(value) > limit {
		return nil, &SizeError{Limit: limit}
	}
	return value, nil
}

func dictionary(base []byte) []byte {
	return base[max(len(base)-maxDictionaryBytes, 0):]
}
