package server_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/pkg/generation"
)

const (
	childAddress = "BAMBOOFERRY_TEST_CHILD"
	// maxReaderBytes is the most memory that the instance may hold for one stopped reader.
	maxReaderBytes = 64 << 10
)

// quickDetachLimits returns the default limits with a short wait before engine connections are closed.
func quickDetachLimits() server.Limits {
	l := server.DefaultLimits()
	l.DetachAfter = 200 * time.Millisecond
	// All readers begin simultaneously, and the resulting delay must not be taken for a silent engine.
	l.SilenceTimeouts = generation.Timeouts{FirstToken: time.Minute, NextToken: time.Minute, Accept: time.Minute}
	return l
}

// TestMemoryWithoutBound measures the baseline, in which everything that the engine sends is buffered.
func TestMemoryWithoutBound(t *testing.T) {
	l := server.DefaultLimits()
	l.BufferBytes, l.MaxKeptTextBytes, l.InstanceBytes, l.WorkspaceBytes = 1<<30, 1<<30, 1<<40, 1<<40
	heap, _ := measureStoppedReaders(t, l, 4, func(in *testInstance) bool { return heldBytes(in) > 4*6*maxReaderBytes })
	t.Logf("baseline: %.0f KiB of heap and stacks each", heap/1024)
	require.Greater(t, heap, float64(4*maxReaderBytes), "the measurement shows no difference between bounded and unbounded")
}

// measureStoppedReaders returns the bytes of heap and stacks, and the bytes counted, for each of n
// stopped readers. Engine and readers run in a separate process, so that only the instance is measured.
//
// It starts when the goroutines of earlier tests have ended, and measures once ready reports that all readers have stopped.
func measureStoppedReaders(t *testing.T, l server.Limits, n int, ready func(in *testInstance) bool) (heap, held float64) {
	require.Eventually(t, func() bool { return runtime.NumGoroutine() <= idleGoroutines }, 20*time.Second, 20*time.Millisecond, "earlier tests have not ended")
	child := exec.Command(os.Args[0], "-test.run=^TestReaderProcess$")
	in, err := child.StdinPipe()
	require.NoError(t, err)
	out, err := child.StdoutPipe()
	require.NoError(t, err)
	child.Env = append(os.Environ(), childAddress+"=1")
	require.NoError(t, child.Start())
	t.Cleanup(func() { _ = in.Close(); _ = child.Wait() })
	var address string
	_, err = fmt.Fscanln(out, &address)
	require.NoError(t, err)
	inst := startInstance(t, l, netip.MustParseAddrPort(address))
	inst.Events.Out = io.Discard
	before := memoryInUse()
	_, _ = fmt.Fprintln(in, inst.Address().String(), n)
	for begin := time.Now(); !ready(inst) && time.Since(begin) < 20*time.Second; {
		time.Sleep(20 * time.Millisecond)
	}
	waitForStableMemory(inst)
	time.Sleep(time.Second)
	require.True(t, ready(inst), "not all readers have stopped: %s", refusalMetrics(inst))
	return (memoryInUse() - before) / float64(n), heldBytes(inst) / float64(n)
}

// idleGoroutines is more than the goroutines of an idle test process.
const idleGoroutines = 20

// streamsPaused returns a condition that is met when n streams wait for their readers.
func streamsPaused(n int) func(in *testInstance) bool {
	return func(in *testInstance) bool { return gauge(in, "bambooferry_paused_streams") == float64(n) }
}

// refusalMetrics returns the counters of refused requests and of streams.
func refusalMetrics(in *testInstance) string {
	var all, found strings.Builder
	in.Metrics.WritePrometheus(&all)
	for line := range strings.Lines(all.String()) {
		if strings.Contains(line, "refusals") || strings.Contains(line, "_streams") {
			found.WriteString(line)
		}
	}
	return found.String()
}

func memoryInUse() float64 {
	m := runtime.MemStats{}
	// Each garbage collection halves a goroutine's stack that is no longer needed in full.
	for range 6 {
		runtime.GC()
	}
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// TestReaderProcess is the separate process with an engine and readers that do not read. It does
// nothing unless measureStoppedReaders started it.
func TestReaderProcess(t *testing.T) {
	if os.Getenv(childAddress) == "" {
		return
	}
	fmt.Println(startBoundedEngine(t, fastEngine{tokenBytes: 8}))
	var address string
	var n int
	_, err := fmt.Scanln(&address, &n)
	require.NoError(t, err)
	for i := range n {
		openReader(t, netip.MustParseAddrPort(address), "p"+strconv.Itoa(i), 1<<17)
	}
	_, _ = fmt.Scanln(&address)
}

// TestStoppedReadersGetTheWholeAnswer guards against lost or repeated text after a stream
// was paused, and against an exceeded budget.
func TestStoppedReadersGetTheWholeAnswer(t *testing.T) {
	const tokens = 1024
	readers := 20
	if os.Getenv("BAMBOOFERRY_MEASURE") != "" {
		readers = 1000
	}
	f := fastEngine{tokenBytes: 1024}
	l := server.DefaultLimits()
	l.DetachAfter = 200 * time.Millisecond
	in := startInstance(t, l, startEngine(t, f))
	var list []*slowReader
	for i := range readers {
		list = append(list, openReader(t, in.Address(), fmt.Sprint("p", i), tokens))
	}
	// The small socket buffers fill in steps, and between these the held bytes stay constant for longer than waitForStableMemory waits.
	require.Eventually(t, func() bool { return gauge(in, "bambooferry_paused_streams") == float64(readers) }, 20*time.Second, 20*time.Millisecond)
	waitForStableMemory(in)
	require.EqualValues(t, readers, gauge(in, "bambooferry_paused_streams"))
	require.LessOrEqual(t, heldBytes(in), float64(readers*maxReaderBytes))
	g, _ := errgroup.WithContext(context.Background())
	g.SetLimit(64)
	for i, r := range list {
		g.Go(func() error {
			text, err := r.readToEnd()
			if err != nil || text != f.expectedAnswer(fmt.Sprint("p", i), tokens) {
				return fmt.Errorf("reader %d: %d bytes, %w", i, len(text), err)
			}
			return nil
		})
	}
	require.NoError(t, g.Wait())
	require.Eventually(t, func() bool { return heldBytes(in) == 0 }, 5*time.Second, 10*time.Millisecond, "bytes were not given back")
}

// TestBudget guards against streams that exceed the instance's budget, and against refusals with a wrong code or outcome.
func TestBudget(t *testing.T) {
	l := server.DefaultLimits()
	l.InstanceBytes, l.DetachAfter = 4<<20, time.Minute
	in := startInstance(t, l, startEngine(t, fastEngine{tokenBytes: 8}))
	// With 74 KiB and their texts each, 64 readers exceed the budget.
	for i := range 64 {
		openReader(t, in.Address(), fmt.Sprint("p", i), 1<<17)
	}
	waitForStableMemory(in)
	// One more token for each stream may be in transit when the budget is found to be exceeded.
	require.LessOrEqual(t, heldBytes(in), float64(l.InstanceBytes+l.InstanceBytes/20))
	_, err := openReader(t, in.Address(), "late", 8).readToEnd()
	require.ErrorContains(t, err, `"code":"memory_full"`)
	require.ErrorContains(t, err, `"outcome":"not_run"`)
}

// TestIdleReader guards against a reader that blocks a handler for an unlimited time.
func TestIdleReader(t *testing.T) {
	l := server.DefaultLimits()
	l.ReaderIdleTimeout = 300 * time.Millisecond
	in := startInstance(t, l, startEngine(t, fastEngine{tokenBytes: 8}))
	openReader(t, in.Address(), "p", 1<<17)
	require.Eventually(t, func() bool { return gauge(in, "bambooferry_streams_in_progress") == 1 }, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return heldBytes(in) == 0 }, 20*time.Second, 10*time.Millisecond)
	require.Contains(t, in.events.String(), `"why":"reader_idle"`)
}

// TestTokenTimesBesideStoppedReaders guards against stopped readers that slow down other readers.
func TestTokenTimesBesideStoppedReaders(t *testing.T) {
	fast, paced := fastEngine{tokenBytes: 8}, fastEngine{tokenBytes: 8, gap: 10 * time.Millisecond}
	sent := atomic.Int64{}
	engines := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(data))
		if bytes.Contains(data, []byte("paced")) {
			paced.ServeHTTP(w, r)
			return
		}
		fast.ServeHTTP(&countingWriter{w, &sent}, r)
	})
	in := startInstance(t, quickDetachLimits(), startEngine(t, engines))
	alone := timePacedTokens(t, in)
	for i := range 200 {
		openReader(t, in.Address(), fmt.Sprint("p", i), 1<<17)
	}
	waitForStableMemory(in)
	// Until the engine has ended its answers, the times would show the engine's load rather than the readers' effect.
	for before := int64(-1); before != sent.Load(); time.Sleep(400 * time.Millisecond) {
		before = sent.Load()
	}
	before := sent.Load()
	beside := timePacedTokens(t, in)
	t.Logf("time for 100 tokens: %v alone, %v beside stopped readers, ratio %.3f, %d bytes sent for these in the meantime",
		alone, beside, float64(beside)/float64(alone), sent.Load()-before)
	// The target is 1.1; the margin allows for a busy machine.
	require.Less(t, beside, 2*alone)
}

// countingWriter counts the bytes of a response.
type countingWriter struct {
	http.ResponseWriter
	n *atomic.Int64
}

func (c *countingWriter) Write(b []byte) (int, error) {
	n, err := c.ResponseWriter.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// Unwrap lets the engine flush.
func (c *countingWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// timePacedTokens returns how long 20 concurrent readers take for 100 paced tokens.
func timePacedTokens(t *testing.T, in *testInstance) time.Duration {
	begin := time.Now()
	g := errgroup.Group{}
	for range 20 {
		r := openReader(t, in.Address(), "paced", 100)
		g.Go(func() error { _, err := r.readToEnd(); return err })
	}
	require.NoError(t, g.Wait())
	return time.Since(begin)
}
