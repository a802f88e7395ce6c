package generation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testStream() *Stream {
	return &Stream{
		MaxKeptBytes: 1 << 10, ResumeWait: 10 * time.Second, RetryWait: 100 * time.Millisecond,
		Timeouts: Timeouts{FirstToken: time.Second, NextToken: 400 * time.Millisecond, Accept: 250 * time.Millisecond},
	}
}

// step calls Step and returns a copy of the actions.
func step(s *Stream, at time.Duration, ev Event) []Action {
	return append([]Action(nil), s.Step(t0.Add(at), ev)...)
}

func streamWithOneToken(t *testing.T) *Stream {
	t.Helper()
	s := testStream()
	require.Equal(t, Begin, step(s, 0, Event{Kind: Started})[0].Kind)
	step(s, 0, Event{Kind: Accepted, Attempt: 1, Target: "engine-a"})
	got := step(s, 0, Event{Kind: TokenReceived, Attempt: 1, Position: 0, Text: "a"})
	require.Equal(t, []Action{{Kind: Deliver, Attempt: 1, Text: "a"}}, got)
	return s
}

// Guards against abandoning a healthy target because its connection was lost.
func TestLostConnectionIsReattached(t *testing.T) {
	s := streamWithOneToken(t)
	got := step(s, time.Second, Event{Kind: ConnectionLost, Attempt: 1})
	require.Len(t, got, 1)
	require.Equal(t, Action{Kind: Begin, Attempt: 2, Mode: Reattach, Position: 1, Target: "engine-a", Reason: "connection_lost"}, got[0])
}

// Guards against waiting for a target that has ended.
func TestLostTargetIsReplaced(t *testing.T) {
	s := streamWithOneToken(t)
	step(s, time.Second, Event{Kind: ConnectionLost, Attempt: 1})
	got := step(s, time.Second, Event{Kind: ConnectionLost, Attempt: 2, Target: "engine-a"})
	require.Len(t, got, 1)
	require.Equal(t, Continue, got[0].Mode)
	require.Equal(t, []string{"engine-a"}, got[0].Avoid)
}

// Guards against delivering output of an older attempt.
func TestOutputOfLostAttemptIsDropped(t *testing.T) {
	s := streamWithOneToken(t)
	step(s, time.Second, Event{Kind: ConnectionLost, Attempt: 1})
	require.Empty(t, step(s, time.Second, Event{Kind: TokenReceived, Attempt: 1, Position: 1, Text: "b"}))
	require.EqualValues(t, 1, s.Position)
}

// Guards against gaps, repeats and wrong positions in the delivered text.
func TestWrongPositionEndsTheAttempt(t *testing.T) {
	for _, position := range []uint64{0, 2, 99} {
		s := streamWithOneToken(t)
		got := step(s, 0, Event{Kind: TokenReceived, Attempt: 1, Position: position, Text: "x"})
		require.Len(t, got, 2)
		require.Equal(t, Cancel, got[0].Kind)
		require.Equal(t, Begin, got[1].Kind)
		require.EqualValues(t, 1, s.Position)
	}
}

// Guards against waiting for a silent connection until the deadline.
func TestSilenceReattachesThenContinuesElsewhere(t *testing.T) {
	s := streamWithOneToken(t)
	require.Equal(t, t0.Add(400*time.Millisecond), s.NextTick())
	got := step(s, 400*time.Millisecond, Event{Kind: Ticked})
	require.Equal(t, Reattach, got[0].Mode)
	got = step(s, 650*time.Millisecond, Event{Kind: Ticked})
	require.Equal(t, Continue, got[0].Mode)
	step(s, 700*time.Millisecond, Event{Kind: Accepted, Attempt: 3, Target: "engine-b"})
	got = step(s, 800*time.Millisecond, Event{Kind: TokenReceived, Attempt: 3, Position: 1, Text: "b"})
	require.Equal(t, []Action{
		{Kind: Detach, Attempt: 1, Target: "engine-a", Reason: "superseded"},
		{Kind: Cancel, Attempt: 2, Target: "engine-a", Reason: "superseded"},
		{Kind: Deliver, Attempt: 3, Position: 1, Text: "b", FirstToken: 100 * time.Millisecond},
	}, got)
}

// Guards against mixing two generations when the delivered text is not kept.
func TestRegenerationIsCheckedByDigest(t *testing.T) {
	for _, text := range []string{"a", "other"} {
		s := testStream()
		s.Position, s.Digest, s.LastAttempt = 1, Digest{}.Add("a"), 4
		got := step(s, 0, Event{Kind: Started})
		require.Equal(t, Regenerate, got[0].Mode)
		require.EqualValues(t, 0, got[0].Position)
		got = step(s, 0, Event{Kind: TokenReceived, Attempt: 5, Position: 0, Text: text})
		if text == "a" {
			require.Empty(t, got)
			got = step(s, 0, Event{Kind: TokenReceived, Attempt: 5, Position: 1, Text: "b"})
			require.Equal(t, Deliver, got[0].Kind)
			continue
		}
		require.Equal(t, "generation_diverged", got[len(got)-1].Err.Code)
	}
}

// Guards against a busy or frozen instance that takes its own delay for silence of an engine.
func TestDelayedProcessDoesNotSuspectTheEngine(t *testing.T) {
	s := streamWithOneToken(t)
	require.Equal(t, t0.Add(400*time.Millisecond), s.NextTick())
	require.Empty(t, step(s, 3*time.Second, Event{Kind: Delayed}))
	require.Equal(t, t0.Add(3400*time.Millisecond), s.NextTick())
	require.Equal(t, Reattach, step(s, 3400*time.Millisecond, Event{Kind: Ticked})[0].Mode, "an engine that stays silent must still be replaced")
}

// Guards against giving up on an engine while the process could not run.
func TestDelayedProcessDoesNotGiveUp(t *testing.T) {
	s := testStream()
	s.Timeouts.Accept = time.Minute
	step(s, 0, Event{Kind: Started})
	require.Equal(t, t0.Add(defaultAcceptWait), s.NextTick())
	require.Empty(t, step(s, 5*time.Second, Event{Kind: Delayed}))
	require.False(t, s.Done())
	got := step(s, 5*time.Second+defaultAcceptWait, Event{Kind: Ticked})
	require.Equal(t, Fail, got[len(got)-1].Kind, "an engine that never accepts must still be given up")
}
