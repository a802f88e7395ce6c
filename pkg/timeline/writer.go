package timeline

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// DefaultQueueBytes holds about 10,000 lines, some seconds of a busy instance.
const DefaultQueueBytes = 4 << 20

// Writer writes the events of one incarnation of one process; set its exported fields before the first Write.
type Writer struct {
	// Out receives one JSON object a line; nil means that events are not kept.
	Out io.Writer
	// Instance names the process, and Incarnation its run.
	Instance    string
	Incarnation int64
	Clock       *Clock
	// QueueBytes bounds the lines that wait for Flush; with 0, Write calls Flush itself.
	QueueBytes int
	// MaxRequestEvents bounds the lines of one request; 0 means DefaultRequestEvents.
	MaxRequestEvents int

	mu       sync.Mutex
	log      *zerolog.Logger
	line     []byte
	previous [sumBytes]byte
	sequence uint64
	pending  []byte
	dropped  uint64
	closed   bool
	requests requestTable
	stats    WriterStats
	ready    chan struct{}

	// out guards the order of writes to Out, and the lines on their way to it.
	out    sync.Mutex
	unsent []byte
	spare  []byte
}

// WriterStats counts the events of a Writer.
type WriterStats struct {
	// Written counts lines in the chain.
	Written uint64
	// Dropped counts events lost to a full queue, Suppressed those over a request's bound.
	Dropped    uint64
	Suppressed uint64
	// AfterClose counts events that came after Close.
	AfterClose uint64
}

// Stats returns the counts so far.
func (w *Writer) Stats() WriterStats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}

// Ready returns the channel that tells of lines to Flush.
func (w *Writer) Ready() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.start()
	return w.ready
}

// Write adds one event; the order of calls is the order of sequence numbers.
//
// With a queue it never waits for Out.
func (w *Writer) Write(now time.Time, ev Event) {
	if w == nil || w.Out == nil {
		return
	}
	w.mu.Lock()
	w.start()
	w.write(now, &ev)
	w.mu.Unlock()
	if w.QueueBytes == 0 {
		_ = w.Flush()
	}
}

// Close adds the last line, log_closed, with the reason of the stop; Flush must follow.
func (w *Writer) Close(now time.Time, why string) {
	if w == nil || w.Out == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.start()
	if w.closed {
		return
	}
	for range 2 {
		w.forget(now)
	}
	w.reportDropped(now)
	w.append(now, &Event{Kind: LogClosed, Why: why}, 0)
	w.closed = true
}

// Flush writes what waits to Out; what Out did not take is kept for the next Flush.
func (w *Writer) Flush() error {
	if w == nil || w.Out == nil {
		return nil
	}
	w.out.Lock()
	defer w.out.Unlock()
	if err := w.send(); err != nil {
		return err
	}
	w.mu.Lock()
	w.unsent, w.pending = w.pending, w.spare[:0]
	w.mu.Unlock()
	w.spare = w.unsent
	return w.send()
}

// send writes the unsent lines; the caller holds out.
func (w *Writer) send() error {
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

func (w *Writer) start() {
	if w.ready == nil {
		w.ready = make(chan struct{}, 1)
		log := zerolog.New(sink{w})
		w.log = &log
	}
}

// write decides whether an event becomes a line; the caller holds mu.
func (w *Writer) write(now time.Time, ev *Event) {
	if w.closed {
		w.stats.AfterClose++
		return
	}
	if w.requests.full() {
		w.forget(now)
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
	if !w.room(ev.Outcome != "") {
		w.dropped++
		w.stats.Dropped++
		return
	}
	w.reportDropped(now)
	w.append(now, ev, suppressed)
}

// room keeps the last quarter of the queue for terminal events, without which a request stays unexplained.
func (w *Writer) room(terminal bool) bool {
	size := w.QueueBytes
	if size == 0 {
		size = DefaultQueueBytes
	}
	if !terminal {
		size -= size / 4
	}
	return len(w.pending) < size
}

func (w *Writer) reportDropped(now time.Time) {
	if w.dropped == 0 {
		return
	}
	n := w.dropped
	w.dropped = 0
	w.append(now, &Event{Kind: LinesDropped, Why: "queue_full", Inputs: []Input{{Name: "lines", Value: int64(n)}}}, 0)
}

// forget takes requests out of the table that have not been seen for long.
func (w *Writer) forget(now time.Time) {
	for id, n := range w.requests.rotate() {
		if !w.room(true) {
			w.dropped++
			w.stats.Dropped++
			continue
		}
		w.append(now, &Event{Kind: EventsSuppressed, Request: id, Inputs: []Input{{Name: "events", Value: int64(n)}}}, 0)
	}
}
