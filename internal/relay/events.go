package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEvent bounds one event of a stream.
const maxEvent = 64 << 10

// EventError tells that a stream's bytes are no event.
type EventError struct{ Rule string }

func (e *EventError) Error() string { return fmt.Sprintf("not an event: %s", e.Rule) }

// eventReader takes a text/event-stream apart into events, whose bytes stay unchanged.
type eventReader struct {
	in  *bufio.Reader
	raw []byte
}

// next returns the bytes of the next whole event and its id; numbered is false if it has none.
//
// The bytes are valid until the next call. The error is io.EOF after the last event and
// io.ErrUnexpectedEOF when the stream ends within one.
func (e *eventReader) next() (raw []byte, id uint64, numbered bool, err error) {
	e.raw = e.raw[:0]
	for {
		begin := len(e.raw)
		if err = e.line(); err != nil {
			if err == io.EOF && len(e.raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, 0, false, err
		}
		line := bytes.TrimRight(e.raw[begin:], "\r\n")
		if len(line) == 0 {
			if begin == 0 {
				// Blank lines between events belong to the next one.
				continue
			}
			return e.raw, id, numbered, nil
		}
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		if id, err = strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64); err != nil {
			return nil, 0, false, &EventError{Rule: "id"}
		}
		numbered = true
	}
}

// line appends one line with its end to raw.
func (e *eventReader) line() error {
	for {
		part, err := e.in.ReadSlice('\n')
		e.raw = append(e.raw, part...)
		if len(e.raw) > maxEvent {
			return &EventError{Rule: "size"}
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
