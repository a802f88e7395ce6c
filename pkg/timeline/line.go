package timeline

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/rs/zerolog"
)

const (
	hashBytes = 16
	// MaxLineBytes is the maximum length of a line; with the limits on names and codes a Writer stays below it.
	MaxLineBytes = 8 << 10

	maxCodeBytes = 64
	maxNameBytes = 128
	// malformed replaces text that may contain more than a name.
	malformed = "malformed"
	hashField = `,"hash":"`
)

// lineCapture receives the line that zerolog has encoded.
type lineCapture struct{ w *Writer }

// Write stores the line in the Writer until its hash is added.
func (c lineCapture) Write(b []byte) (int, error) {
	c.w.line = append(c.w.line[:0], b...)
	return len(b), nil
}

// appendLine encodes an event as the next line of the chain and queues it; the caller holds mu.
func (w *Writer) appendLine(now time.Time, ev *Event, suppressed int) {
	w.sequence++
	stamp := w.Clock.Now(now)
	e := w.encoder.Log().Int64("wall", stamp.Wall).Int64("logical", stamp.Logical).
		Str("instance", w.Instance).Int64("incarnation", w.Incarnation).
		Uint64("sequence", w.sequence).Str("kind", sanitiseName(ev.Kind, maxCodeBytes))
	e = appendNames(e, ev)
	if ev.Attempt != 0 {
		e = e.Int("attempt", ev.Attempt)
	}
	if ev.Revision != 0 {
		e = e.Int64("revision", ev.Revision)
	}
	if suppressed != 0 {
		e = e.Int("suppressed", suppressed)
	}
	if len(ev.Inputs) > 0 {
		d := zerolog.Dict()
		for _, in := range ev.Inputs[:min(len(ev.Inputs), MaxInputs)] {
			d = d.Int64(sanitiseName(in.Name, maxCodeBytes), in.Value)
		}
		e = e.Dict("inputs", d)
	}
	e.Hex("previous", w.previous[:]).Send()
	w.queueLineWithHash()
}

func appendNames(e *zerolog.Event, ev *Event) *zerolog.Event {
	for _, f := range [...]struct {
		name, value string
		limit       int
	}{
		{"request", ev.Request, maxNameBytes},
		{"generation", ev.Generation, maxNameBytes},
		{"workspace", ev.Workspace, maxNameBytes},
		{"entry", ev.Entry, maxNameBytes},
		{"version", ev.Version, maxNameBytes},
		{"target", ev.Target, maxNameBytes},
		{"member", ev.Member, maxNameBytes},
		{"decision", ev.Decision, maxCodeBytes},
		{"why", ev.Why, maxCodeBytes},
		{"outcome", ev.Outcome, maxCodeBytes},
	} {
		if f.value != "" {
			e = e.Str(f.name, sanitiseName(f.value, f.limit))
		}
	}
	return e
}

// queueLineWithHash queues the line with its hash, which covers the hash of the previous line.
func (w *Writer) queueLineWithHash() {
	body := w.line[:len(w.line)-len("}\n")]
	sum := sha256.Sum256(body)
	copy(w.previous[:], sum[:])
	start := len(w.pending)
	w.pending = append(append(w.pending, body...), hashField...)
	w.pending = hex.AppendEncode(w.pending, sum[:hashBytes])
	w.pending = append(w.pending, "\"}\n"...)
	w.line = append(w.line[:0], w.pending[start:]...)
	w.stats.Written++
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

// sanitiseName returns a name unchanged; text that is long or has spaces may be content of a caller or target and is replaced.
func sanitiseName(s string, limit int) string {
	if len(s) > limit {
		return malformed
	}
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '{' {
			return malformed
		}
	}
	return s
}
