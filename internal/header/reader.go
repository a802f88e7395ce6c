// Package header bounds what is read of the header of a response, and rejects invalid ones.
package header

import (
	"bytes"
	"fmt"
	"io"
	"slices"
)

const (
	// MaxBytes bounds the header of a response and the informational ones before it.
	MaxBytes = 32 << 10
	// MaxLines bounds their lines: a decoded line takes some 200 bytes, however short it is.
	MaxLines = 256
)

// LinesError reports a header of more than MaxLines lines.
type LinesError struct{ Lines int }

func (e *LinesError) Error() string { return fmt.Sprintf("header has %d lines or more", e.Lines) }

// Reader bounds what is read of a connection until the header of a response is complete; set its exported fields before the
// first read.
type Reader struct {
	Src io.Reader
	// Reserve, if set, is called before more than the first ShortBytes of a header are read; its error ends the read.
	Reserve    func() error
	ShortBytes int

	// reading is set until the header is complete, and reserved once Reserve was called.
	reading, reserved bool
	// bytes and lines count what was read of it, and tail is the end of that.
	bytes, lines int
	tail         []byte
	// linesRead counts the lines that were read with it, which may be those of the body.
	linesRead int
}

var newline = []byte{'\n'}

// Begin begins the header of a response, the beginning of which may be buffered.
func (r *Reader) Begin(buffered []byte) error {
	r.reading, r.reserved, r.bytes, r.linesRead = true, false, 0, bytes.Count(buffered, newline)
	return r.Next(buffered)
}

// Next begins the header that follows an informational one, the beginning of which may be buffered.
func (r *Reader) Next(buffered []byte) error {
	r.lines, r.tail = r.linesRead-bytes.Count(buffered, newline), r.tail[:0]
	return r.countLines(buffered)
}

// End ends the header of a response; the body is not bounded.
func (r *Reader) End() { r.reading = false }

// Read reads from Src. The error is io.EOF after MaxBytes and a *LinesError after MaxLines.
func (r *Reader) Read(b []byte) (int, error) {
	if !r.reading {
		return r.Src.Read(b)
	}
	if r.bytes >= MaxBytes {
		return 0, io.EOF
	}
	if r.Reserve != nil && !r.reserved && r.bytes >= r.ShortBytes {
		if err := r.Reserve(); err != nil {
			return 0, err
		}
		r.reserved = true
	}
	n, err := r.Src.Read(b[:min(len(b), MaxBytes-r.bytes)])
	r.bytes += n
	r.linesRead += bytes.Count(b[:n], newline)
	if err := r.countLines(b[:n]); err != nil {
		return 0, err
	}
	return n, err
}

// countLines counts the lines of the header; the body may follow it.
func (r *Reader) countLines(b []byte) error {
	n := bytes.Count(b, newline)
	if r.lines+n > MaxLines {
		header := slices.Concat(r.tail, b)
		for _, end := range []string{"\n\r\n", "\n\n"} {
			if i := bytes.Index(header, []byte(end)); i >= 0 {
				header = header[:i+1]
			}
		}
		n = bytes.Count(header, newline)
	}
	r.lines += n
	r.tail = append(r.tail, b[max(len(b)-2, 0):]...)
	r.tail = append(r.tail[:0], r.tail[max(len(r.tail)-2, 0):]...)
	if r.lines > MaxLines {
		return &LinesError{Lines: r.lines}
	}
	return nil
}
