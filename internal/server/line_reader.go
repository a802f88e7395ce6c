package server

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/engine"
)

// lineBufferBytes is the size of the buffer for lines. Nearly all lines are shorter than 100 bytes, and
// with a stopped reader the unused part of a buffer for the longest line would be held as well.
const lineBufferBytes = 512

// lineReader reads an engine's JSON lines.
type lineReader struct {
	body io.ReadCloser
	in   *bufio.Reader
	// longLine collects a line that is longer than the buffer.
	longLine []byte
	// token is the decoding target; a local variable of Next would be allocated for each line.
	token engine.Token
}

// readLine returns the next line, which is valid until the next call.
func (l *lineReader) readLine() ([]byte, error) {
	line, err := l.in.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	l.longLine = l.longLine[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(l.longLine)+len(line) > engine.MaxLineBytes {
			return nil, err
		}
		l.longLine = append(l.longLine, line...)
		line, err = l.in.ReadSlice('\n')
	}
	if len(l.longLine)+len(line) > engine.MaxLineBytes {
		return nil, bufio.ErrBufferFull
	}
	l.longLine = append(l.longLine, line...)
	return l.longLine, err
}

// Next reads the next line and returns its token.
func (l *lineReader) Next() (engine.Token, error) {
	l.token = engine.Token{}
	line, err := l.readLine()
	if err == nil {
		err = json.Unmarshal(line, &l.token)
	}
	if err != nil {
		return l.token, err
	}
	return l.token, l.token.Check()
}

// Close closes the connection.
func (l *lineReader) Close() error { return l.body.Close() }
