package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// maxEventSize bounds one event of a stream.
	maxEventSize = 64 << 10
	// maxIdleBytes bounds the bytes without an event that has an id, such as comments.
	maxIdleBytes = 64 << 10
	// minIdleEvents is the number of events without an id after which a stream is checked for silence. What
	// arrived while the process was paused may begin with some.
	minIdleEvents = 16
	// eventCopies is the number of copies of an event that are held while it is written to the caller.
	eventCopies = 3
)

// EventError reports that a stream's bytes are not a valid event.
type EventError struct{ Rule string }

func (e *EventError) Error() string { return fmt.Sprintf("malformed event: %s", e.Rule) }

// eventReader splits a text/event-stream into events, whose bytes stay unchanged.
type eventReader struct {
	reader *bufio.Reader
	raw    []byte
	// held is what the attempt holds.
	held *heldBytes
	// idleBytes and idleEvents count what came since the last event with an id.
	idleBytes  int
	idleEvents int
}

// nextEvent returns the bytes of the next complete event and its id; numbered is false if it has
// none.
//
// The bytes are valid until the next call. The error is io.EOF after the last event and
// io.ErrUnexpectedEOF when the stream ends within one.
func (e *eventReader) nextEvent() (raw []byte, id uint64, numbered bool, err error) {
	e.raw = e.raw[:0]
	if cap(e.raw) > unreservedBytes {
		e.releaseRaw()
	}
	for {
		lineStart := len(e.raw)
		if err = e.appendLine(); err != nil {
			if err == io.EOF && len(e.raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, 0, false, err
		}
		line := bytes.TrimRight(e.raw[lineStart:], "\r\n")
		if len(line) == 0 {
			if lineStart == 0 {
				// Blank lines between events belong to the next one.
				continue
			}
			if err := e.countIdle(numbered); err != nil {
				return nil, 0, false, err
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

// countIdle bounds what a target may send without an event that makes progress.
func (e *eventReader) countIdle(numbered bool) error {
	if numbered {
		e.idleBytes, e.idleEvents = 0, 0
		return nil
	}
	e.idleEvents++
	if e.idleBytes += len(e.raw); e.idleBytes > maxIdleBytes {
		return &EventError{Rule: "no_progress"}
	}
	return nil
}

// isComment reports whether an event holds nothing but comments.
func isComment(raw []byte) bool {
	for line := range bytes.Lines(raw) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// releaseRaw releases the memory of a long event.
func (e *eventReader) releaseRaw() {
	if e.held != nil {
		e.held.release(eventCopies * reservedFor(cap(e.raw)))
	}
	e.raw = nil
}

// appendLine appends one line, including its line end, to raw.
func (e *eventReader) appendLine() error {
	for {
		part, err := e.reader.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) && !errors.Is(err, io.EOF) {
			// The attempt may have ended and released its memory.
			return err
		}
		if len(e.raw)+len(part) > maxEventSize {
			return &EventError{Rule: "size"}
		}
		for len(e.raw)+len(part) > cap(e.raw) {
			raw, ok := e.held.grow(e.raw, maxEventSize, eventCopies, "event")
			if !ok {
				return &ResponseError{Rule: ruleMemory}
			}
			e.raw = raw
		}
		e.raw = append(e.raw, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
