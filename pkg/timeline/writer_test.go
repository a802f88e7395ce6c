package timeline

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestWriter(out io.Writer) *Writer {
	return &Writer{Out: out, Instance: "a", Incarnation: 1, Clock: &Clock{}}
}

func decodeLines(t *testing.T, text string) []*Record {
	t.Helper()
	var list []*Record
	for i, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		r, err := Decode([]byte(line))
		require.NoError(t, err, line)
		r.Line = i + 1
		list = append(list, r)
	}
	return list
}

func eventKinds(list []*Record) []string {
	var k []string
	for _, r := range list {
		k = append(k, r.Kind)
	}
	return k
}

// Guards against a field that is written but not decoded, and against an invalid hash chain.
func TestLinesAreDecoded(t *testing.T) {
	var out bytes.Buffer
	w := newTestWriter(&out)
	ev := Event{
		Kind: "attempt_begun", Request: "r", Generation: "g", Workspace: "w", Entry: "e", Version: "v", Target: "t", Member: "m", Attempt: 2,
		Revision: 3, Decision: "continue", Why: "silent", Outcome: "ran", Inputs: []Input{{"a", 1}, {"b", -2}},
	}
	w.Write(t0, ev)
	w.Write(t0, ev)
	list := decodeLines(t, out.String())
	require.Equal(t, ev, list[0].Event)
	require.True(t, list[0].HashMatches())
	require.Equal(t, list[0].Hash, list[1].Previous)
	require.True(t, list[0].Before(list[1].Stamp))
	require.EqualValues(t, 2, list[1].Sequence)
}

// Guards against prompts, answers and keys in the log, which are texts with spaces or of great length.
func TestFreeTextIsNotWritten(t *testing.T) {
	var out bytes.Buffer
	newTestWriter(&out).Write(t0, Event{Kind: "k", Why: "Dear Sir or Madam", Target: strings.Repeat("x", 129), Inputs: []Input{{"{\"prompt\"", 1}}})
	require.NotContains(t, out.String(), "Dear")
	require.NotContains(t, out.String(), "xxx")
	require.NotContains(t, out.String(), "prompt")
}

// Guards against a line longer than the reader accepts.
func TestLongestLineIsReadable(t *testing.T) {
	var out bytes.Buffer
	name, code := strings.Repeat("n", maxNameBytes), strings.Repeat("c", maxCodeBytes)
	ev := Event{Kind: code, Request: name, Generation: name, Workspace: name, Entry: name, Version: name, Target: name, Member: name, Decision: code, Why: code, Outcome: code}
	for range 2 * MaxInputs {
		ev.Inputs = append(ev.Inputs, Input{code, -1 << 63})
	}
	newTestWriter(&out).Write(t0, ev)
	require.Less(t, out.Len(), MaxLineBytes/2)
	decodeLines(t, out.String())
}

// Guards against a request that fills the log, and against suppressing its outcome or the ends of its written attempts.
func TestLinesOfARequestAreBounded(t *testing.T) {
	var out bytes.Buffer
	w := newTestWriter(&out)
	w.MaxRequestEvents = 4
	for i := range 10 {
		w.Write(t0, Event{Kind: AttemptBegun, Request: "r", Target: "t", Attempt: i + 1})
	}
	for i := range 10 {
		w.Write(t0, Event{Kind: AttemptEnded, Request: "r", Target: "t", Attempt: i + 1})
	}
	w.Write(t0, Event{Kind: "request_failed", Request: "r", Outcome: "ran"})
	list := decodeLines(t, out.String())
	require.Len(t, list, 9)
	require.Equal(t, 12, list[8].Suppressed)
	require.EqualValues(t, 12, w.Stats().Suppressed)
	require.Empty(t, outcomeFindings(list))
}

// Guards against counts that are lost when the writer evicts a request, and against a tracker that grows without limit.
func TestSuppressedEventsOfAnOpenRequestAreCounted(t *testing.T) {
	var out bytes.Buffer
	w := newTestWriter(&out)
	w.MaxRequestEvents = 1
	w.Write(t0, Event{Kind: "k", Request: "r"})
	w.Write(t0, Event{Kind: "k", Request: "r"})
	w.Close(t0, "stopped")
	require.NoError(t, w.Flush())
	list := decodeLines(t, out.String())
	require.Equal(t, []string{"k", EventsSuppressed, LogClosed}, eventKinds(list))
	require.EqualValues(t, 1, list[1].InputValue("events"))

	tracker := requestTracker{}
	for i := range 5 * maxTrackedRequests {
		if tracker.needsRotation() {
			tracker.rotate()
		}
		tracker.admit(&Event{Request: string(rune(i)) + "x", Kind: "k"}, 1)
	}
	require.LessOrEqual(t, len(tracker.recent)+len(tracker.older), 2*maxTrackedRequests)
}

// Guards against a full queue that drops events without a record, breaks the chain or drops terminal events first.
func TestFullQueueIsReported(t *testing.T) {
	var out bytes.Buffer
	w := newTestWriter(&out)
	w.QueueBytes = 2048
	for range 100 {
		w.Write(t0, Event{Kind: "k"})
	}
	before := w.Stats()
	require.NotZero(t, before.Dropped)
	w.Write(t0, Event{Kind: "request_failed", Request: "r", Outcome: "ran"})
	require.Equal(t, before.Dropped, w.Stats().Dropped)
	for range 100 {
		w.Write(t0, Event{Kind: "k", Request: "q", Outcome: "ran"})
	}
	require.NoError(t, w.Flush())
	w.Write(t0, Event{Kind: "k"})
	w.Close(t0, "stopped")
	w.Write(t0, Event{Kind: "k"})
	require.NoError(t, w.Flush())
	st, list := w.Stats(), decodeLines(t, out.String())
	var dropped int64
	for _, r := range list {
		dropped += r.InputValue("lines")
	}
	require.EqualValues(t, st.Dropped, dropped)
	require.EqualValues(t, 1, st.AfterClose)
	require.Equal(t, []string{LinesDropped, "k", LogClosed}, eventKinds(list[len(list)-3:]))
	for _, f := range chainFindings(list) {
		require.Equal(t, EventsDropped, f.Kind)
	}
}

// failingWriter accepts a few bytes per call and returns an error on every second call.
type failingWriter struct {
	out   bytes.Buffer
	calls int
}

func (f *failingWriter) Write(b []byte) (int, error) {
	f.calls++
	n, _ := f.out.Write(b[:min(len(b), 100)])
	if f.calls%2 == 0 {
		return n, errors.New("no space left")
	}
	return n, nil
}

// Guards against lines that are lost or truncated when the output accepts a part and fails.
func TestFailingOutputLosesNothing(t *testing.T) {
	output := &failingWriter{}
	w := newTestWriter(output)
	for range 20 {
		w.Write(t0, Event{Kind: "k"})
	}
	w.Close(t0, "stopped")
	for range 1000 {
		if w.Flush() == nil {
			break
		}
	}
	list := decodeLines(t, output.out.String())
	require.Len(t, list, 21)
	require.Empty(t, chainFindings(list))
}

// Measures writing one event of typical size, including its hash.
func BenchmarkWrite(b *testing.B) {
	w := newTestWriter(io.Discard)
	w.QueueBytes = DefaultQueueBytes
	ev := Event{
		Kind: "attempt_begun", Request: "0123456789abcdef01234567", Workspace: "workspace-0", Entry: "ferry-llm", Version: "v1",
		Target: "engine-3", Attempt: 1, Revision: 7, Decision: "fresh", Why: "first_attempt", Inputs: []Input{{"position", 0}, {"avoided", 0}},
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		ev.Outcome = ""
		if n++; n%8 == 0 {
			ev.Outcome = "ran"
		}
		w.Write(t0, ev)
		if n%1024 == 0 {
			_ = w.Flush()
		}
	}
	if w.Stats().Dropped > 0 {
		b.Fatal("events were dropped")
	}
}
