package generation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const simulatedTokens = 12

func tokenText(p uint64) string { return fmt.Sprintf("w%d ", p) }

// simulation acts as caller and engines for one stream and checks its actions.
type simulation struct {
	t         *rapid.T
	s         *Stream
	now       time.Time
	attempts  map[int]*engineAttempt
	live      map[int]bool
	delivered uint64
	finished  bool
	failed    *Failure
	paused    bool
	// attemptsAtOnce counts the attempts begun at one instant.
	attemptsAtOnce int
	attemptsAt     time.Time
}

// engineAttempt is the state of one attempt at its engine.
type engineAttempt struct {
	next      uint64
	diverging bool
}

func (w *simulation) applyEvent(ev Event) {
	for _, a := range slices.Clone(w.s.Step(w.now, ev)) {
		w.checkAction(a, ev)
	}
	if !w.s.Done() && !w.paused {
		require.False(w.t, w.s.NextTick().IsZero(), "a stream in progress must have a next tick")
	}
	require.LessOrEqual(w.t, len(w.s.attempts), maxOpenAttempts)
}

func (w *simulation) checkAction(a Action, ev Event) {
	switch a.Kind {
	case Begin:
		require.NotContains(w.t, w.attempts, a.Attempt, "attempt numbers must not repeat")
		w.attempts[a.Attempt] = &engineAttempt{next: a.Position, diverging: a.Mode == Regenerate && rapid.IntRange(0, 3).Draw(w.t, "diverging") == 0}
		w.live[a.Attempt] = true
		if !w.now.Equal(w.attemptsAt) {
			w.attemptsAtOnce, w.attemptsAt = 0, w.now
		}
		w.attemptsAtOnce++
	case Cancel, Detach:
		delete(w.live, a.Attempt)
	case Deliver:
		require.True(w.t, w.live[ev.Attempt], "output of an ended attempt was delivered")
		require.Equal(w.t, w.delivered, a.Position)
		require.Equal(w.t, tokenText(w.delivered), a.Text)
		w.delivered++
		w.attemptsAtOnce = 0
	case Finish:
		require.EqualValues(w.t, simulatedTokens, w.delivered)
		w.finished = true
	case Fail:
		w.failed = a.Err
	}
	require.LessOrEqual(w.t, w.attemptsAtOnce, immediateAttempts+1, "attempts without a token must be spread in time")
}

// drawEvent draws the next event of some attempt, current or ended long ago.
func (w *simulation) drawEvent() Event {
	n := rapid.IntRange(1, max(w.s.LastAttempt, 1)).Draw(w.t, "attempt")
	if rapid.Bool().Draw(w.t, "newest") {
		n = max(w.s.LastAttempt, 1)
	}
	engine := w.attempts[n]
	target := fmt.Sprintf("engine-%d", rapid.IntRange(0, 3).Draw(w.t, "target"))
	switch rapid.IntRange(0, 13).Draw(w.t, "kind") {
	case 0:
		return Event{Kind: Accepted, Attempt: n, Target: target}
	case 1:
		return Event{Kind: ConnectionLost, Attempt: n, Target: target}
	case 2:
		return Event{Kind: RecordMissing, Attempt: n, Target: target}
	case 3:
		return Event{Kind: Refused, Attempt: n, Target: target}
	case 4:
		return Event{Kind: NoTarget, Attempt: n, Reason: rapid.SampledFrom([]string{"", VersionGone}).Draw(w.t, "reason")}
	case 5:
		return Event{Kind: Unreachable, Attempt: n, Target: target}
	case 6:
		return Event{Kind: rapid.SampledFrom([]EventKind{Queued, Dequeued}).Draw(w.t, "queueing"), Attempt: n}
	case 7:
		w.paused = !w.paused
		if w.paused {
			return Event{Kind: Paused}
		}
		return Event{Kind: Resumed}
	case 8:
		return Event{Kind: TokenReceived, Attempt: n, Position: rapid.Uint64Range(0, simulatedTokens).Draw(w.t, "position"), Text: "?"}
	case 9:
		return Event{Kind: Ended, Attempt: n, Position: rapid.Uint64Range(0, simulatedTokens-1).Draw(w.t, "end")}
	case 10:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(w.t, "ms")) * time.Millisecond)
		return Event{Kind: Ticked}
	}
	return w.engineOutput(n, engine)
}

// engineOutput returns the engine's next token, or the end of its response.
func (w *simulation) engineOutput(n int, engine *engineAttempt) Event {
	if engine.next >= simulatedTokens {
		return Event{Kind: Ended, Attempt: n, Position: engine.next, Reason: "length"}
	}
	ev := Event{Kind: TokenReceived, Attempt: n, Position: engine.next, Text: tokenText(engine.next)}
	if engine.diverging {
		ev.Text = "other "
	}
	engine.next++
	return ev
}

// showsBrokenEngine reports whether an event comes from an engine that sends wrong text or ends too
// early, which the test excludes.
func (w *simulation) showsBrokenEngine(ev Event) bool {
	a := w.s.findAttempt(ev.Attempt)
	if a == nil {
		return false
	}
	return ev.Kind == TokenReceived && ev.Text == "?" && ev.Position == a.nextPosition || ev.Kind == Ended && ev.Position == a.nextPosition && ev.Position < simulatedTokens
}

// Guards against any order of engine faults that loses, repeats or mixes text, retries too fast or
// leaves a stream waiting forever.
func TestAnyOrderOfFaultsDeliversAPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := testStream()
		s.MaxKeptBytes = rapid.SampledFrom([]int{0, 10, 1 << 10}).Draw(t, "keep")
		w := &simulation{t: t, s: s, now: t0, attempts: map[int]*engineAttempt{}, live: map[int]bool{}}
		w.applyEvent(Event{Kind: Started})
		for range rapid.IntRange(0, 120).Draw(t, "events") {
			if s.Done() {
				break
			}
			// A token at the right position with the wrong text, or an early end, is another valid
			// generation.
			if ev := w.drawEvent(); !w.showsBrokenEngine(ev) {
				w.applyEvent(ev)
			}
		}
		w.runToEnd()
	})
}

// runToEnd lets time pass until the stream is done.
func (w *simulation) runToEnd() {
	if w.paused {
		w.paused = false
		w.applyEvent(Event{Kind: Resumed})
	}
	limit := w.now.Add(w.s.ResumeWait + time.Second)
	for !w.s.Done() {
		if wake := w.s.NextTick(); wake.After(w.now) {
			w.now = wake
		}
		require.True(w.t, w.now.Before(limit), "the stream must end within its resume wait")
		w.applyEvent(Event{Kind: Ticked})
	}
	require.True(w.t, w.finished != (w.failed != nil))
}
