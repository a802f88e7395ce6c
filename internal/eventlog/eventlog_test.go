package eventlog

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"bambooferry.example/bambooferry/pkg/timeline"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// logLines returns n lines for each instance; the instances' events alternate in time.
func logLines(instances, n int) [][]string {
	outs := make([]bytes.Buffer, instances)
	writers := make([]*timeline.Writer, instances)
	for i := range writers {
		writers[i] = &timeline.Writer{Out: &outs[i], Instance: fmt.Sprintf("instance-%d", i), Incarnation: 1, Clock: &timeline.Clock{}}
	}
	for j := range n {
		for i, w := range writers {
			w.Write(t0.Add(time.Duration(j*instances+i)*time.Millisecond), timeline.Event{Kind: "k", Revision: int64(j + 1)})
		}
	}
	lines := make([][]string, instances)
	for i := range outs {
		lines[i] = slices.Collect(strings.Lines(outs[i].String()))
	}
	return lines
}

func sortTexts(t require.TestingT, s *Sorter, texts ...string) (raw []string, damage []Damage) {
	defer func() { require.NoError(t, s.Close()) }()
	for i, text := range texts {
		f := File{Path: fmt.Sprintf("f%d", i), Index: i, OnDamage: func(d Damage) { damage = append(damage, d) }}
		require.NoError(t, f.readRecords(strings.NewReader(text), s.Add))
	}
	require.NoError(t, s.ForEach(func(r *timeline.Record) error { raw = append(raw, string(r.Raw)); return nil }))
	return raw, damage
}

// Guards against an event order that depends on how lines are distributed over files, truncated or repeated.
func TestOrderIsIndependentOfFiles(t *testing.T) {
	lines := logLines(3, 40)
	var all []string
	for j := range lines[0] {
		for i := range lines {
			all = append(all, strings.TrimSuffix(lines[i][j], "\n"))
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		files := make([][]string, rapid.IntRange(1, 5).Draw(rt, "files"))
		rng := rand.New(rand.NewPCG(seed, 1))
		for _, l := range all {
			for range 1 + rng.IntN(2) {
				i := rng.IntN(len(files))
				files[i] = append(files[i], l)
			}
		}
		kept := map[string]bool{}
		var texts []string
		cutFiles := 0
		for _, f := range files {
			rng.Shuffle(len(f), reflect.Swapper(f))
			text := strings.Join(f, "\n") + "\n"
			if rng.IntN(2) == 0 {
				text = text[:rng.IntN(len(text)+1)]
			}
			fileLines := strings.Split(text, "\n")
			for _, l := range fileLines {
				kept[l] = true
			}
			if last := fileLines[len(fileLines)-1]; last != "" && !slices.Contains(all, last) {
				cutFiles++
			}
			texts = append(texts, text)
		}
		want := slices.DeleteFunc(slices.Clone(all), func(l string) bool { return !kept[l] })
		got, damage := sortTexts(rt, &Sorter{Compare: timeline.CompareCausal, MemoryLimit: 20_000}, texts...)
		require.Equal(rt, want, got)
		require.Len(rt, damage, cutFiles)
	})
}

// Guards against memory use that grows with the logs, and against lines lost between runs.
func TestSortOfMoreThanMemoryAllows(t *testing.T) {
	const n, memory = 12_000, 100 << 10
	lines := logLines(2, n/2)
	rand.New(rand.NewPCG(1, 2)).Shuffle(n/2, reflect.Swapper(lines[0]))
	s := &Sorter{Compare: timeline.CompareCausal, MemoryLimit: memory}
	for i, l := range lines {
		path := filepath.Join(t.TempDir(), "log")
		require.NoError(t, os.WriteFile(path, []byte(strings.Join(l, "")), 0o600))
		lines[i] = nil
		require.NoError(t, File{Path: path, Index: i}.ForEach(s.Add))
		require.LessOrEqual(t, s.bufferedBytes, memory)
		require.LessOrEqual(t, len(s.runFiles), maxRuns)
	}
	require.Greater(t, s.RunsWritten, maxRuns)
	dir := s.tempDir
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var last *timeline.Record
	count := 0
	require.NoError(t, s.ForEach(func(r *timeline.Record) error {
		if last != nil {
			require.Negative(t, timeline.CompareCausal(last, r))
		}
		last = r
		if count++; count == n/2 {
			runtime.GC()
			runtime.ReadMemStats(&during)
		}
		return nil
	}))
	require.Equal(t, n, count)
	t.Logf("%d lines, %d runs written, heap while merging %d KiB larger than before", n, s.RunsWritten, (int64(during.HeapAlloc)-int64(before.HeapAlloc))/1024)
	require.Less(t, int64(during.HeapAlloc)-int64(before.HeapAlloc), int64((maxRuns+2)*runBufferBytes*2))
	require.NoError(t, s.Close())
	_, err := os.Stat(dir)
	require.ErrorIs(t, err, os.ErrNotExist)
}

func gzipped(text string) string {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write([]byte(text))
	_ = w.Close()
	return b.String()
}

// Guards against a damaged line that hides others or is skipped silently.
func TestDamageIsReportedByLine(t *testing.T) {
	lines := logLines(1, 4)[0]
	text := strings.Join(lines, "")
	long := strings.Repeat("x", 5*timeline.MaxLineBytes) + "\n"
	for name, c := range map[string]struct {
		text string
		read int
		want []Damage
	}{
		"whole":                  {text, 4, nil},
		"gzip":                   {gzipped(text), 4, nil},
		"empty":                  {"", 0, nil},
		"empty lines":            {lines[0] + "\n" + lines[1], 2, nil},
		"no last line feed":      {strings.TrimSuffix(text, "\n"), 4, nil},
		"cut in mid-line":        {text[:len(text)-20], 3, []Damage{{"f0", 4, "cut_off"}}},
		"no json":                {lines[0] + "oops\n" + lines[1], 2, []Damage{{"f0", 2, "not_json"}}},
		"another program's json": {"{\"level\":\"info\"}\n" + text, 4, []Damage{{"f0", 1, "field_missing"}}},
		"zero bytes":             {lines[0] + strings.Repeat("\x00", 50) + "\n" + lines[1], 2, []Damage{{"f0", 2, "not_json"}}},
		"too long":               {lines[0] + long + lines[1], 2, []Damage{{"f0", 2, "too_long"}}},
		"too long at the end":    {lines[0] + strings.TrimSuffix(long, "\n"), 1, []Damage{{"f0", 2, "cut_off"}}},
		"gzip magic only":        {"\x1f\x8b", 0, []Damage{{"f0", 1, "compressed_data_damaged"}}},
	} {
		t.Run(name, func(t *testing.T) {
			raw, damage := sortTexts(t, &Sorter{Compare: timeline.CompareCausal}, c.text)
			require.Len(t, raw, c.read)
			require.Equal(t, c.want, damage)
		})
	}
}

// Guards against a truncated compressed file of which nothing is read.
func TestTruncatedGzipIsReadUpToTheCut(t *testing.T) {
	lines := logLines(1, 500)[0]
	z := gzipped(strings.Join(lines, ""))
	raw, damage := sortTexts(t, &Sorter{Compare: timeline.CompareCausal}, z[:len(z)*3/4])
	require.Greater(t, len(raw), 200)
	require.NotEmpty(t, damage)
	require.Equal(t, "unreadable_from_here", damage[0].Reason)
	require.Equal(t, strings.TrimSuffix(lines[len(raw)-1], "\n"), raw[len(raw)-1])
}

// Guards against a slow output that blocks token delivery, and against dropped lines that the log does not report.
func TestBlockedOutputNeverBlocksWriters(t *testing.T) {
	defer goleak.VerifyNone(t)
	r, out := io.Pipe()
	w := &timeline.Writer{Out: out, Instance: "a", Incarnation: 1, Clock: &timeline.Clock{}, QueueBytes: 16 << 10}
	flusher := StartFlusher(w)
	for range 1000 {
		// The pipe has no reader yet: this loop would never end if a write waited for it.
		w.Write(t0, timeline.Event{Kind: "k"})
	}
	require.NotZero(t, w.Stats().Dropped)
	read := make(chan string, 1)
	go func() { data, _ := io.ReadAll(r); read <- string(data) }()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	require.NoError(t, flusher.Close(ctx, t0, "graceful_stop"))
	require.NoError(t, out.Close())
	raw, damage := sortTexts(t, &Sorter{Compare: timeline.CompareCausal}, <-read)
	require.Empty(t, damage)
	var dropped int64
	for _, l := range raw {
		rec, err := timeline.Decode([]byte(l))
		require.NoError(t, err)
		dropped += rec.InputValue("lines")
	}
	require.EqualValues(t, w.Stats().Dropped, dropped)
	require.EqualValues(t, len(raw), w.Stats().Written)
	require.Contains(t, raw[len(raw)-1], timeline.LogClosed)
}

// Guards against a stop that hangs because the output never accepts another line.
func TestCloseReturnsWhenOutputBlocks(t *testing.T) {
	defer goleak.VerifyNone(t)
	r, out := io.Pipe()
	flusher := StartFlusher(&timeline.Writer{Out: out, Instance: "a", Incarnation: 1, Clock: &timeline.Clock{}, QueueBytes: 1 << 10})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, flusher.Close(ctx, t0, "graceful_stop"), context.DeadlineExceeded)
	require.NoError(t, r.Close())
}

// flakyWriter fails its first writes, then sends each written line to a channel.
type flakyWriter struct {
	failuresLeft int
	lines        chan string
}

func (f *flakyWriter) Write(b []byte) (int, error) {
	if f.failuresLeft--; f.failuresLeft >= 0 {
		return 0, io.ErrShortWrite
	}
	f.lines <- string(b)
	return len(b), nil
}

// Guards against lines that are written only at the stop, or never after one failed write.
func TestFlusherWritesContinuouslyAndRetries(t *testing.T) {
	defer goleak.VerifyNone(t)
	out := &flakyWriter{failuresLeft: 2, lines: make(chan string, 2)}
	w := &timeline.Writer{Out: out, Instance: "a", Incarnation: 1, Clock: &timeline.Clock{}, QueueBytes: 1 << 10}
	flusher := StartFlusher(w)
	w.Write(t0, timeline.Event{Kind: "k"})
	require.Contains(t, <-out.lines, `"kind":"k"`)
	require.NoError(t, flusher.Close(context.Background(), t0, "graceful_stop"))
	require.Contains(t, <-out.lines, timeline.LogClosed)
}
