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

func (sim *simulation) applyEvent(ev Event) {
	for _, a := range slices.Clone(sim.s.Step(sim.now, ev)) {
		sim.checkAction(a, ev)
	}
	if !sim.s.Done() && !sim.paused {
		require.False(sim.t, sim.s.NextTick().IsZero(), "a stream in progress must have a next tick")
	}
	require.LessOrEqual(sim.t, len(sim.s.attempts), maxOpenAttempts)
}

func (sim *simulation) checkAction(a Action, ev Event) {
	switch a.Kind {
	case Begin:
		require.NotContains(sim.t, sim.attempts, a.Attempt, "attempt numbers must not repeat")
		sim.attempts[a.Attempt] = &engineAttempt{next: a.Position, diverging: a.Mode == Regenerate && rapid.IntRange(0, 3).Draw(sim.t, "diverging") == 0}
		sim.live[a.Attempt] = true
		if !sim.now.Equal(sim.attemptsAt) {
			sim.attemptsAtOnce, sim.attemptsAt = 0, sim.now
		}
		sim.attemptsAtOnce++
	case Cancel, Detach:
		delete(sim.live, a.Attempt)
	case Deliver:
		require.True(sim.t, sim.live[ev.Attempt], "output of an ended attempt was delivered")
		require.Equal(sim.t, sim.delivered, a.Position)
		require.Equal(sim.t, tokenText(sim.delivered), a.Text)
		sim.delivered++
		sim.attemptsAtOnce = 0
	case Finish:
		require.EqualValues(sim.t, simulatedTokens, sim.delivered)
		sim.finished = true
	case Fail:
		sim.failed = a.Err
	}
	require.LessOrEqual(sim.t, sim.attemptsAtOnce, immediateAttempts+1, "attempts without a token must be spread in time")
}

// drawEvent draws the next event of some attempt, current or ended long ago.
func (sim *simulation) drawEvent() Event {
	n := rapid.IntRange(1, max(sim.s.LastAttempt, 1)).Draw(sim.t, "attempt")
	if rapid.Bool().Draw(sim.t, "newest") {
		n = max(sim.s.LastAttempt, 1)
	}
	engine := sim.attempts[n]
	target := fmt.Sprintf("engine-%d", rapid.IntRange(0, 3).Draw(sim.t, "target"))
	switch rapid.IntRange(0, 13).Draw(sim.t, "kind") {
	case 0:
		return Event{Kind: Accepted, Attempt: n, Target: target}
	case 1:
		return Event{Kind: ConnectionLost, Attempt: n, Target: target}
	case 2:
		return Event{Kind: RecordMissing, Attempt: n, Target: target}
	case 3:
		return Event{Kind: Refused, Attempt: n, Target: target}
	case 4:
		return Event{Kind: NoTarget, Attempt: n, Reason: rapid.SampledFrom([]string{"", VersionGone}).Draw(sim.t, "reason")}
	case 5:
		return Event{Kind: Unreachable, Attempt: n, Target: target}
	case 6:
		return Event{Kind: rapid.SampledFrom([]EventKind{Queued, Dequeued}).Draw(sim.t, "queueing"), Attempt: n}
	case 7:
		sim.paused = !sim.paused
		if sim.paused {
			return Event{Kind: Paused}
		}
		return Event{Kind: Resumed}
	case 8:
		return Event{Kind: TokenReceived, Attempt: n, Position: rapid.Uint64Range(0, simulatedTokens).Draw(sim.t, "position"), Text: "?"}
	case 9:
		return Event{Kind: Ended, Attempt: n, Position: rapid.Uint64Range(0, simulatedTokens-1).Draw(sim.t, "end")}
	case 10:
		sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(sim.t, "ms")) * time.Millisecond)
		return Event{Kind: Ticked}
	}
	return sim.engineOutput(n, engine)
}

// engineOutput returns the engine's next token, or the end of its response.
func (sim *simulation) engineOutput(n int, engine *engineAttempt) Event {
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
func (sim *simulation) showsBrokenEngine(ev Event) bool {
	a := sim.s.findAttempt(ev.Attempt)
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
		sim := &simulation{t: t, s: s, now: t0, attempts: map[int]*engineAttempt{}, live: map[int]bool{}}
		sim.applyEvent(Event{Kind: Started})
		for range rapid.IntRange(0, 120).Draw(t, "events") {
			if s.Done() {
				break
			}
			// A token at the right position with the wrong text, or an early end, is another valid
			// generation.
			if ev := sim.drawEvent(); !sim.showsBrokenEngine(ev) {
				sim.applyEvent(ev)
			}
		}
		sim.runToEnd()
	})
}

// runToEnd lets time pass until the stream is done.
func (sim *simulation) runToEnd() {
	if sim.paused {
		sim.paused = false
		sim.applyEvent(Event{Kind: Resumed})
	}
	limit := sim.now.Add(sim.s.ResumeWait + time.Second)
	for !sim.s.Done() {
		if wake := sim.s.NextTick(); wake.After(sim.now) {
			sim.now = wake
		}
		require.True(sim.t, sim.now.Before(limit), "the stream must end within its resume wait")
		sim.applyEvent(Event{Kind: Ticked})
	}
	require.True(sim.t, sim.finished != (sim.failed != nil))
}
