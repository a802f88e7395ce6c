package timeline

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// DefaultQueueBytes holds about 10,000 lines, which a busy instance writes in some seconds.
const DefaultQueueBytes = 4 << 20

// Writer writes the events of one incarnation of one process; set its exported fields before the first Write.
type Writer struct {
	// Out receives one JSON object per line; if it is nil, events are discarded.
	Out io.Writer
	// Instance names the process, and Incarnation identifies its run.
	Instance    string
	Incarnation int64
	Clock       *Clock
	// QueueBytes bounds the lines that wait for Flush; if it is 0, Write calls Flush itself.
	QueueBytes int
	// MaxRequestEvents bounds the lines of one request; 0 means DefaultMaxRequestEvents.
	MaxRequestEvents int

	mu       sync.Mutex
	encoder  *zerolog.Logger
	line     []byte
	previous [hashBytes]byte
	sequence uint64
	pending  []byte
	dropped  uint64
	closed   bool
	requests requestTracker
	stats    WriterStats
	ready    chan struct{}

	// outMu guards Out, the lines being written to it and their order.
	outMu  sync.Mutex
	unsent []byte
	spare  []byte
}

// WriterStats counts the events of a Writer.
type WriterStats struct {
	// Written counts lines added to the chain.
	Written uint64
	// Dropped counts events lost because the queue was full, Suppressed those over a request's limit.
	Dropped    uint64
	Suppressed uint64
	// AfterClose counts events passed to Write after Close.
	AfterClose uint64
}

// Stats returns the counts so far.
func (w *Writer) Stats() WriterStats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}

// Ready returns a channel that receives a value when there are lines to flush.
func (w *Writer) Ready() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.init()
	return w.ready
}

// Write adds one event; sequence numbers follow the order of the calls.
//
// If QueueBytes is set, it never waits for Out.
func (w *Writer) Write(now time.Time, ev Event) {
	if w == nil || w.Out == nil {
		return
	}
	w.addEvent(now, &ev)
	if w.QueueBytes == 0 {
		_ = w.Flush()
	}
}

// Close adds the last line, log_closed, with the reason for the stop; the caller must Flush afterwards.
func (w *Writer) Close(now time.Time, why string) {
	if w == nil || w.Out == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.init()
	if w.closed {
		return
	}
	for range 2 {
		w.rotateRequests(now)
	}
	w.writeDropped(now)
	w.appendLine(now, &Event{Kind: LogClosed, Why: why}, 0)
	w.closed = true
}

// Flush writes the queued lines to Out; lines that Out did not accept are kept for the next Flush.
func (w *Writer) Flush() error {
	if w == nil || w.Out == nil {
		return nil
	}
	w.outMu.Lock()
	defer w.outMu.Unlock()
	if err := w.writeUnsent(); err != nil {
		return err
	}
	w.mu.Lock()
	w.unsent, w.pending = w.pending, w.spare[:0]
	w.mu.Unlock()
	w.spare = w.unsent
	return w.writeUnsent()
}

// writeUnsent writes the unsent lines; the caller holds outMu.
func (w *Writer) writeUnsent() error {
	for len(w.unsent) > 0 {
		n, err := w.Out.Write(w.unsent)
		w.unsent = w.unsent[max(min(n, len(w.unsent)), 0):]
		if err == nil && n <= 0 {
			err = io.ErrShortWrite
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (w *Writer) init() {
	if w.ready == nil {
		w.ready = make(chan struct{}, 1)
		log := zerolog.New(lineCapture{w})
		w.encoder = &log
	}
}

func (w *Writer) addEvent(now time.Time, ev *Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.init()
	w.writeEvent(now, ev)
}

// writeEvent adds an event as a line or counts why it is not written; the caller holds mu.
func (w *Writer) writeEvent(now time.Time, ev *Event) {
	if w.closed {
		w.stats.AfterClose++
		return
	}
	if w.requests.needsRotation() {
		w.rotateRequests(now)
	}
	limit := w.MaxRequestEvents
	if limit == 0 {
		limit = DefaultMaxRequestEvents
	}
	ok, suppressed := w.requests.admit(ev, limit)
	if !ok {
		w.stats.Suppressed++
		return
	}
	if !w.hasSpace(ev.Outcome != "") {
		w.dropped++
		w.stats.Dropped++
		return
	}
	w.writeDropped(now)
	w.appendLine(now, ev, suppressed)
}

// hasSpace reserves the last quarter of the queue for terminal events, without which a request's outcome is unknown.
func (w *Writer) hasSpace(terminal bool) bool {
	size := w.QueueBytes
	if size == 0 {
		size = DefaultQueueBytes
	}
	if !terminal {
		size -= size / 4
	}
	return len(w.pending) < size
}

func (w *Writer) writeDropped(now time.Time) {
	if w.dropped == 0 {
		return
	}
	n := w.dropped
	w.dropped = 0
	w.appendLine(now, &Event{Kind: LinesDropped, Why: "queue_full", Inputs: []Input{{Name: "lines", Value: int64(n)}}}, 0)
}

// rotateRequests evicts requests without recent events and records their suppressed events.
func (w *Writer) rotateRequests(now time.Time) {
	for id, n := range w.requests.rotate() {
		if !w.hasSpace(true) {
			w.dropped++
			w.stats.Dropped++
			continue
		}
		w.appendLine(now, &Event{Kind: EventsSuppressed, Request: id, Inputs: []Input{{Name: "events", Value: int64(n)}}}, 0)
	}
}
