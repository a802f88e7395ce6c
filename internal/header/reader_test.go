package header

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// TestReaderBoundsHeadersOnly guards against headers without end that are decoded, and against a body that counts as header.
func TestReaderBoundsHeadersOnly(t *testing.T) {
	lines := strings.Repeat("A:\r\n", 5000)
	for name, c := range map[string]struct {
		text string
		ok   bool
	}{
		"short lines":              {"HTTP/1.1 200 S\r\n" + lines, false},
		"interim headers":          {strings.Repeat("HTTP/1.1 102 S\r\n\r\n", 200), false},
		"short lines after one":    {"HTTP/1.1 103 S\r\n\r\nHTTP/1.1 200 S\r\n" + lines[:3000] + "\r\n", false},
		"a line without end":       {"HTTP/1.1 200 S\r\nA: " + strings.Repeat("x", 2*MaxBytes), false},
		"lines in the body":        {"HTTP/1.1 200 S\r\nA: 1\r\n\r\n" + lines, true},
		"blank lines in the body":  {"HTTP/1.1 200 S\r\nA: 1\r\n\r\n" + strings.Repeat("\n", 5000), true},
		"many lines of the header": {"HTTP/1.1 200 S\r\n" + strings.Repeat("A:\r\n", 200) + "\r\n" + lines, true},
	} {
		for _, read := range []struct {
			name string
			of   func(io.Reader) io.Reader
		}{{"whole", func(r io.Reader) io.Reader { return r }}, {"halves", iotest.HalfReader}, {"bytes", iotest.OneByteReader}} {
			t.Run(name+" in "+read.name, func(t *testing.T) {
				r := &Reader{Src: read.of(strings.NewReader(c.text))}
				require.NoError(t, r.Begin(nil))
				in := bufio.NewReaderSize(r, 4<<10)
				res, err := http.ReadResponse(in, nil)
				for err == nil && res.StatusCode < 200 {
					buffered, _ := in.Peek(in.Buffered())
					if err = r.Next(buffered); err == nil {
						res, err = http.ReadResponse(in, nil)
					}
				}
				if !c.ok {
					require.Error(t, err)
					return
				}
				require.NoError(t, err)
				r.End()
				_, body, _ := strings.Cut(c.text, "\r\n\r\n")
				data, err := io.ReadAll(res.Body)
				require.NoError(t, err)
				require.Equal(t, body, string(data))
			})
		}
	}
}

// Guards against short lines that were read with the body of the response before and are decoded without a bound.
func TestBufferedLinesAreBounded(t *testing.T) {
	lines := strings.Repeat("A:\r\n", MaxLines)
	for text, ok := range map[string]bool{
		"HTTP/1.1 200 S\r\n" + lines:                 false,
		"HTTP/1.1 200 S\r\nA: 1\r\n\r\n" + lines:     true,
		"HTTP/1.1 103 S\r\n\r\nHTTP/1.1 200 S\r\nA:": true,
	} {
		r := &Reader{Src: strings.NewReader("")}
		require.Equal(t, ok, r.Begin([]byte(text)) == nil, text)
	}
}
