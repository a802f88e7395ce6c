package usage

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// Guards against totals that don't fit into a datagram and are lost.
func TestCountsAreSplit(t *testing.T) {
	m := counts("127.0.0.1:7000", 1, Totals{})
	for i := range 300 {
		for w := range int64(4) {
			m.Windows.set(353445120+w, fmt.Sprintf("work<%d>é", i), int64(i*1000)+w)
		}
	}
	list, err := m.Encode()
	require.NoError(t, err)
	got := Totals{}
	for _, data := range list {
		require.LessOrEqual(t, len(data), MaxMessage)
		part, err := DecodeCounts(data)
		require.NoError(t, err)
		for w, byName := range part.Windows {
			for name, n := range byName {
				got.set(w, name, n)
			}
		}
	}
	require.Equal(t, m.Windows, got)
	require.Less(t, len(list), 50)
	list, err = counts("a", 1, nil).Encode()
	require.NoError(t, err)
	require.Len(t, list, 1, "a message without totals states the clock")
	list, err = counts("a", 1, Totals{1: {strings.Repeat("x", 2000): 1, "y": 2}}).Encode()
	require.NoError(t, err)
	require.Len(t, list, 1)
	require.NotContains(t, string(list[0]), "xx")
}

// Guards against messages that crash the receiver or are used unchecked.
func TestBadMessagesAreRefused(t *testing.T) {
	for _, text := range []string{
		``, `{`, `[]`, `{}`, `{"instance":"a","incarnation":0,"clock_ms":1}`, `{"instance":"a","incarnation":1}`,
		`{"instance":"a","incarnation":1,"clock_ms":1,"windows":{"1":{},"2":{},"3":{},"4":{},"5":{},"6":{},"7":{},"8":{},"9":{}}}`,
	} {
		_, err := DecodeCounts([]byte(text))
		require.Error(t, err, text)
	}
	for _, text := range []string{``, `{}`, `{"instance":"a","true_ms":1}`, `{"instance":"a","true_ms":1,"echo_ms":1,"recorded":-1}`, `{"instance":"a","true_ms":1,"echo_ms":1,"bound_ms":-1}`} {
		_, err := DecodeAcknowledgement([]byte(text))
		require.Error(t, err, text)
	}
	for text, field := range map[string]string{
		`{"unsent":[{"window":2,"counts":{}},{"window":2,"counts":{}}]}`: "unsent",
		`{"unsent":[{"window":0,"counts":{}}]}`:                          "window",
		`{"last_sent":{"window":1,"counts":{"a":-1}}}`:                   "counts",
		`{"written_ms":-1}`: "written_ms",
	} {
		_, err := DecodeRecord([]byte(text))
		bad := (*MessageError)(nil)
		require.True(t, errors.As(err, &bad), text)
		require.Equal(t, field, bad.Field)
	}
	r, err := DecodeRecord([]byte(`{"unsent":[{"window":7,"counts":{"a":1}}],"last_sent":{"window":6,"counts":{}},"added_later":1}`))
	require.NoError(t, err, "fields of a later build are ignored")
	require.EqualValues(t, 7, r.Latest())
}

func FuzzDecodeCounts(f *testing.F) {
	f.Add([]byte(`{"instance":"a","incarnation":1,"clock_ms":1,"windows":{"100":{"x":5}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := DecodeCounts(data)
		if err != nil {
			return
		}
		c := &Collector{}
		c.Add(start, 100, m)
		for _, n := range c.Sum(100) {
			require.Positive(t, n)
		}
		list, err := m.Encode()
		require.NoError(t, err)
		for _, part := range list {
			require.LessOrEqual(t, len(part), MaxMessage)
		}
	})
}

func FuzzDecodeAcknowledgement(f *testing.F) {
	f.Add([]byte(`{"instance":"a","true_ms":1767225600000,"echo_ms":1767225600000,"recorded":353445120}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := DecodeAcknowledgement(data)
		if err != nil {
			return
		}
		c := &ClockEstimate{}
		c.RecordSent(start, m.EchoMillis)
		require.True(t, c.Adopt(start, m))
	})
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"unsent":[{"window":7,"counts":{"a":1}}],"last_sent":{"window":6,"counts":{}},"written_ms":3}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := DecodeRecord(data); err == nil {
			require.GreaterOrEqual(t, r.Latest(), int64(0))
			for i := range r.Unsent {
				r.Unsent[i].Hash()
			}
		}
	})
}
