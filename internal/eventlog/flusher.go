package eventlog

import (
	"context"
	"time"

	"bambooferry.example/bambooferry/pkg/timeline"
)

// retryWait is the pause after an output refused lines, such as a full disk.
const retryWait = 100 * time.Millisecond

// Flusher carries the lines of a writer with a queue to its output.
type Flusher struct {
	writer *timeline.Writer
	stop   chan struct{}
	abort  chan struct{}
	done   chan error
}

// StartFlusher starts the pump of a writer.
func StartFlusher(w *timeline.Writer) *Flusher {
	p := &Flusher{writer: w, stop: make(chan struct{}), abort: make(chan struct{}), done: make(chan error, 1)}
	go p.run()
	return p
}

// Close writes log_closed with the reason of the stop and waits for the output until ctx ends; it is called once.
//
// When ctx ends first, lines are lost and the error says so; an output that
// blocks for ever keeps the pump's goroutine.
func (p *Flusher) Close(ctx context.Context, now time.Time, why string) error {
	p.writer.Close(now, why)
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
			p.done <- p.flush(p.abort)
			return
		}
		// An error is kept for the next round; the writer counts what it must drop meanwhile.
		_ = p.flush(p.stop)
	}
}

// flush tries until the output has taken all lines or end closes.
func (p *Flusher) flush(end <-chan struct{}) error {
	for {
		err := p.writer.Flush()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(retryWait):
		case <-end:
			return err
		}
	}
}
