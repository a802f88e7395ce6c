package deployment

import (
	"io"
	"time"
)

// killedWriter takes nothing more once its instance is killed, as a crash loses what was not written.
type killedWriter struct {
	io.Writer
	cut <-chan struct{}
}

// Write writes, or drops what a crashed process would not have written.
func (k killedWriter) Write(b []byte) (int, error) {
	select {
	case <-k.cut:
		return len(b), nil
	default:
		return k.Writer.Write(b)
	}
}

// output returns where the instance's events go, or nil.
func (in *Instance) output(p Config) io.Writer {
	out := p.Events
	if p.EventsFor != nil {
		out = p.EventsFor(in.ID)
	}
	if out == nil {
		return nil
	}
	return killedWriter{out, in.cut}
}

// closeEvents ends the event log of an instance that was stopped.
func (in *Instance) closeEvents() {
	why := "graceful_stop"
	if !in.StoppedGracefully() {
		why = "stopped_at_once"
	}
	in.Events.Close(time.Now(), why)
	_ = in.Events.Flush()
}
