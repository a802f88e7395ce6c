package eventlog

import (
	"bufio"
	"compress/gzip"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/timeline"
)

// Damage tells of a line, or the rest of a file, that could not be read.
type Damage struct {
	File   string
	Line   int
	Reason string
}

// File is one log file.
type File struct {
	Path string
	// Index numbers the file in its records.
	Index int
	// OnDamage is called for what cannot be read; the rest is still read.
	OnDamage func(Damage)
}

// ForEach calls f for each line; an error comes from f or from opening the file.
func (l File) ForEach(f func(*timeline.Record) error) error {
	in, err := os.Open(l.Path)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer in.Close()
	return l.read(in, f)
}

var gzipMagic = []byte{0x1f, 0x8b}

func (l File) read(in io.Reader, f func(*timeline.Record) error) error {
	b := bufio.NewReaderSize(in, 2*timeline.MaxLineBytes)
	if magic, _ := b.Peek(len(gzipMagic)); string(magic) == string(gzipMagic) {
		z, err := gzip.NewReader(b)
		if err != nil {
			l.damage(1, "compressed_data_damaged")
			return nil
		}
		b = bufio.NewReaderSize(z, 2*timeline.MaxLineBytes)
	}
	for n := 1; ; n++ {
		line, whole, err := next(b)
		if err != nil && err != io.EOF {
			l.damage(n, "unreadable_from_here")
			err = io.EOF
		}
		if len(line) > 0 {
			if ferr := l.line(n, line, whole, f); ferr != nil {
				return ferr
			}
		}
		if err != nil {
			return nil
		}
	}
}

// line decodes one line; one cut off at the end of the file is told from other damage.
func (l File) line(n int, line []byte, whole bool, f func(*timeline.Record) error) error {
	r, err := timeline.Decode(line)
	var le *timeline.LineError
	switch {
	case errors.As(err, &le) && !whole:
		l.damage(n, "cut_off")
		return nil
	case errors.As(err, &le):
		l.damage(n, le.Reason)
		return nil
	}
	r.FileIndex, r.Line = l.Index, n
	return f(r)
}

func (l File) damage(n int, reason string) {
	if l.OnDamage != nil {
		l.OnDamage(Damage{File: l.Path, Line: n, Reason: reason})
	}
}

// next returns a line without its line feed; of a line that is too long it keeps enough to be refused.
func next(b *bufio.Reader) (line []byte, whole bool, err error) {
	line, err = b.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		head := append([]byte(nil), line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = b.ReadSlice('\n')
		}
		return head, err == nil, err
	}
	if err == nil {
		line = line[:len(line)-1]
	}
	return line, err == nil, err
}
