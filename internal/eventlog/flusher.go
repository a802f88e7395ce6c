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
	p := &Flusher{writer: w, stop: make(chan struct{}), abort: make(chan struct{}), done: make(chan error, 1)}
	go p.run()
	return p
}

// Close writes log_closed with the reason for the stop and waits until all lines are written or
// ctx ends; it must be called once.
//
// If ctx ends first, lines are lost and Close returns the error of ctx. An output that
// blocks for ever keeps the goroutine alive.
func (p *Flusher) Close(ctx context.Context, now time.Time, reason string) error {
	p.writer.Close(now, reason)
	close(p.stop)
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		close(p.abort)
		return ctx.Err()
	}
}

func (p *Flusher) run() {
	ready := p.writer.Ready()
	for {
		select {
		case <-ready:
		case <-p.stop:
			p.done <- p.flushUntil(p.abort)
			return
		}
		// After an error the lines stay queued for the next attempt; the writer counts those that it has to drop.
		_ = p.flushUntil(p.stop)
	}
}

// flushUntil tries until the output has taken all lines or end closes.
func (p *Flusher) flushUntil(giveUp <-chan struct{}) error {
	for {
		err := p.writer.Flush()
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
