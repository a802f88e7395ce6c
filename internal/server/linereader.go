package server

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/engine"
)

// lineBytes is the size of the buffer for lines. Nearly all are shorter than 100 bytes, and a
// stopped reader would hold the rest of a buffer for the longest line.
const lineBytes = 512

// lineReader reads an engine's JSON lines.
type lineReader struct {
	body io.ReadCloser
	in   *bufio.Reader
	// long collects a line that is larger than the buffer.
	long []byte
	// token is decoded into; a variable of Next would be allocated for each line.
	token engine.Token
}

// line returns the next line, which is valid until the next call.
func (l *lineReader) line() ([]byte, error) {
	line, err := l.in.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	l.long = l.long[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(l.long)+len(line) > engine.MaxLineBytes {
			return nil, err
		}
		l.long = append(l.long, line...)
		line, err = l.in.ReadSlice('\n')
	}
	if len(l.long)+len(line) > engine.MaxLineBytes {
		return nil, bufio.ErrBufferFull
	}
	l.long = append(l.long, line...)
	return l.long, err
}

// Next returns the next line's token.
func (l *lineReader) Next() (engine.Token, error) {
	l.token = engine.Token{}
	line, err := l.line()
	if err == nil {
		err = json.Unmarshal(line, &l.token)
	}
	if err != nil {
		return l.token, err
	}
	return l.token, l.token.Validate()
}

// Close ends the connection.
func (l *lineReader) Close() error { return l.body.Close() }
