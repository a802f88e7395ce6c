// Package difference writes a value as its difference to another one.
//
// It holds no state and imports nothing of the project.
package difference

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

// maxDictionary is the part of a base that flate can refer to.
const maxDictionary = 32 << 10

// SizeError tells that a value is larger than allowed.
type SizeError struct{ Limit int }

func (e *SizeError) Error() string { return fmt.Sprintf("value has over %d bytes", e.Limit) }

// CommonAffixes returns the lengths of the longest common prefix, and suffix of the rest.
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

// Encode returns a value as its difference to a base, which may be empty.
func Encode(base, value []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := writer(&out, base)
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
		plain.Put(w)
	}
	return out.Bytes(), nil
}

// plain holds writers without a base: a new one takes a megabyte.
var plain sync.Pool

func writer(out io.Writer, base []byte) (*flate.Writer, error) {
	if len(base) > 0 {
		return flate.NewWriterDict(out, flate.DefaultCompression, dictionary(base))
	}
	if w, ok := plain.Get().(*flate.Writer); ok {
		w.Reset(out)
		return w, nil
	}
	return flate.NewWriter(out, flate.DefaultCompression)
}

// Decode returns the value that was packed with the same base; the error is a *SizeError when it
// has more than limit bytes.
func Decode(base, packed []byte, limit int) ([]byte, error) {
	r := flate.NewReaderDict(bytes.NewReader(packed), dictionary(base))
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
	return base[max(len(base)-maxDictionary, 0):]
}
