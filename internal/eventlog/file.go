package eventlog

import (
	"bufio"
	"compress/gzip"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/timeline"
)

// Damage describes a line, or the rest of a file, that could not be read.
type Damage struct {
	File   string
	Line   int
	Reason string
}

// File is one log file.
type File struct {
	Path string
	// Index is the FileIndex of the file's records.
	Index int
	// OnDamage is called for each line that cannot be read; the other lines are still read.
	OnDamage func(Damage)
}

// ForEach calls f for each record; it returns errors of f and of opening the file.
func (l File) ForEach(f func(*timeline.Record) error) error {
	in, err := os.Open(l.Path)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer in.Close()
	return l.readRecords(in, f)
}

var gzipMagic = []byte{0x1f, 0x8b}

func (l File) readRecords(in io.Reader, f func(*timeline.Record) error) error {
	b := bufio.NewReaderSize(in, 2*timeline.MaxLineBytes)
	if magic, _ := b.Peek(len(gzipMagic)); string(magic) == string(gzipMagic) {
		unzipped, err := gzip.NewReader(b)
		if err != nil {
			l.reportDamage(1, "compressed_data_damaged")
			return nil
		}
		b = bufio.NewReaderSize(unzipped, 2*timeline.MaxLineBytes)
	}
	for n := 1; ; n++ {
		line, complete, err := readLine(b)
		if err != nil && err != io.EOF {
			l.reportDamage(n, "unreadable_from_here")
			err = io.EOF
		}
		if len(line) > 0 {
			if callbackErr := l.decodeLine(n, line, complete, f); callbackErr != nil {
				return callbackErr
			}
		}
		if err != nil {
			return nil
		}
	}
}

// decodeLine decodes one line; a line truncated at the end of the file is reported as cut_off.
func (l File) decodeLine(n int, line []byte, complete bool, f func(*timeline.Record) error) error {
	r, err := timeline.Decode(line)
	var le *timeline.LineError
	switch {
	case errors.As(err, &le) && !complete:
		l.reportDamage(n, "cut_off")
		return nil
	case errors.As(err, &le):
		l.reportDamage(n, le.Reason)
		return nil
	}
	r.FileIndex, r.Line = l.Index, n
	return f(r)
}

func (l File) reportDamage(n int, reason string) {
	if l.OnDamage != nil {
		l.OnDamage(Damage{File: l.Path, Line: n, Reason: reason})
	}
}

// readLine returns a line without its line feed. Of an overlong line it returns a prefix that is still
// too long, so that decoding rejects it.
func readLine(b *bufio.Reader) (line []byte, complete bool, err error) {
	line, err = b.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		prefix := append([]byte(nil), line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = b.ReadSlice('\n')
		}
		return prefix, err == nil, err
	}
	if err == nil {
		line = line[:len(line)-1]
	}
	return line, err == nil, err
}
