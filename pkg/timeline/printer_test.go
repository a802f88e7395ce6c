package timeline

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// recordsOfResumedRequest returns the records of a request that loses first an engine, then its instance.
func recordsOfResumedRequest(t *testing.T) []*Record {
	var one, two bytes.Buffer
	clock := &Clock{}
	a := &Writer{Out: &one, Instance: "instance-0", Incarnation: 1, Clock: clock}
	b := &Writer{Out: &two, Instance: "instance-1", Incarnation: 2, Clock: clock}
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	base := Event{Request: "r1", Generation: "g", Workspace: "workspace-0", Entry: "ferry-llm", Version: "v1", Revision: 7}
	write := func(w *Writer, ms int, kind string, change func(*Event)) {
		ev := base
		ev.Kind = kind
		if change != nil {
			change(&ev)
		}
		w.Write(at(ms), ev)
	}
	write(a, 0, "request_admitted", nil)
	write(a, 1, AttemptBegun, func(e *Event) { e.Attempt, e.Target, e.Decision, e.Why = 1, "engine-0", "fresh", "first_attempt" })
	write(a, 900, AttemptLost, func(e *Event) { e.Attempt, e.Target, e.Decision, e.Why = 1, "engine-0", "unknown", "connection_lost" })
	write(a, 901, AttemptBegun, func(e *Event) {
		e.Attempt, e.Target, e.Decision, e.Why, e.Inputs = 2, "engine-1", "continue", "target_unreachable", []Input{{"position", 40}}
	})
	write(a, 950, "stream_resumed", func(e *Event) { e.Attempt, e.Target, e.Inputs = 2, "engine-1", []Input{{"resume_us", 50_250}} })
	base.Request = "r2"
	write(b, 1200, "request_admitted", func(e *Event) { e.Inputs = []Input{{"position", 61}} })
	write(b, 1201, "seat_borrowed", func(e *Event) {
		e.Target, e.Decision, e.Why, e.Inputs = "engine-1", "lend", "none_free", []Input{{"free_slots", 3}}
	})
	write(b, 1202, AttemptBegun, func(e *Event) {
		e.Attempt, e.Target, e.Decision, e.Why, e.Inputs = 3, "engine-1", "reattach", "cursor", []Input{{"position", 61}}
	})
	write(b, 2000, AttemptEnded, func(e *Event) { e.Attempt, e.Target, e.Decision, e.Why = 3, "engine-1", "finished", "length" })
	write(b, 2000, "request_finished", func(e *Event) {
		e.Why, e.Outcome, e.Inputs = "length", "ran", []Input{{"position", 100}, {"resumes", 1}, {"recomputed", 0}}
	})
	return decodeLines(t, one.String()+two.String())
}

// Guards against output that a newcomer cannot follow, or that stops at an unknown kind of event.
func TestRequestPrinterOnAResumedRequest(t *testing.T) {
	var out strings.Builder
	p := RequestPrinter{WriteLine: func(line string) { out.WriteString(line + "\n") }}
	for _, r := range recordsOfResumedRequest(t) {
		p.Print(r)
	}
	require.True(t, p.Finish())
	goldie.New(t).Assert(t, "story", []byte(out.String()))
}

// Guards against a sentence template that fails for a kind of event or finding, or that passes control characters through.
func TestEveryKindHasASentence(t *testing.T) {
	for _, tm := range sentenceTemplates.Templates() {
		if kind, ok := strings.CutPrefix(tm.Name(), "event "); ok {
			got := Sentence(&Record{Instance: "a", Event: Event{Kind: kind, Why: "x\x1b[2J", Outcome: "ran"}})
			require.NotContains(t, got, "template:", kind)
			require.NotContains(t, got, "\x1b", kind)
		}
		if kind, ok := strings.CutPrefix(tm.Name(), "finding "); ok {
			require.NotContains(t, Finding{Kind: kind}.Sentence(), "template:", kind)
		}
	}
	require.Contains(t, Sentence(&Record{Event: Event{Kind: "part source"}}), "part source")
}
