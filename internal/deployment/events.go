package deployment

import (
	"io"
	"time"
)

// writerUntilKilled discards everything written after its instance was killed, as a crash loses what was not yet written.
type writerUntilKilled struct {
	io.Writer
	killed <-chan struct{}
}

// Write writes b, or discards it if the instance was killed.
func (w writerUntilKilled) Write(b []byte) (int, error) {
	select {
	case <-w.killed:
		return len(b), nil
	default:
		return w.Writer.Write(b)
	}
}

// eventWriter returns the writer for the instance's events, or nil if they are not wanted.
func (in *Instance) eventWriter(cfg Config) io.Writer {
	out := cfg.Events
	if cfg.EventsFor != nil {
		out = cfg.EventsFor(in.ID)
	}
	if out == nil {
		return nil
	}
	return writerUntilKilled{out, in.killed}
}

// closeEvents writes the final event of an instance that was stopped, with the reason.
func (in *Instance) closeEvents() {
	reason := "graceful_stop"
	if !in.StoppedGracefully() {
		reason = "stopped_at_once"
	}
	in.Events.Close(time.Now(), reason)
	_ = in.Events.Flush()
}
