package eventlog

import (
	"context"
	"time"

	"bambooferry.example/bambooferry/pkg/timeline"
)

// flushRetryInterval is the pause after a failed write, for example to a full disk.
const flushRetryInterval = 100 * time.Millisecond

// Flusher writes the queued lines of a timeline.Writer to its output in the background.
type Flusher struct {
	writer *timeline.Writer
	stop   chan struct{}
	abort  chan struct{}
	done   chan error
}

// StartFlusher starts a Flusher for a writer.
func StartFlusher(w *timeline.Writer) *Flusher {
	f := &Flusher{writer: w, stop: make(chan struct{}), abort: make(chan struct{}), done: make(chan error, 1)}
	go f.run()
	return f
}

// Close writes log_closed with the reason for the stop and waits until all lines are written or
// ctx ends; it must be called once.
//
// If ctx ends first, lines are lost and Close returns the error of ctx. An output that
// blocks for ever keeps the goroutine alive.
func (f *Flusher) Close(ctx context.Context, now time.Time, reason string) error {
	f.writer.Close(now, reason)
	close(f.stop)
	select {
	case err := <-f.done:
		return err
	case <-ctx.Done():
		close(f.abort)
		return ctx.Err()
	}
}

func (f *Flusher) run() {
	ready := f.writer.Ready()
	for {
		select {
		case <-ready:
		case <-f.stop:
			f.done <- f.flushUntil(f.abort)
			return
		}
		// After an error the lines stay queued for the next attempt; the writer counts those that it has to drop.
		_ = f.flushUntil(f.stop)
	}
}

// flushUntil retries until all queued lines are written or giveUp is closed.
func (f *Flusher) flushUntil(giveUp <-chan struct{}) error {
	for {
		err := f.writer.Flush()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(flushRetryInterval):
		case <-giveUp:
			return err
		}
	}
}
