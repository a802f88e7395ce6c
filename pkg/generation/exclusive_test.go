package generation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func exclusiveStream(t *testing.T) *Stream {
	t.Helper()
	s := testStream()
	s.Exclusive = true
	step(s, 0, Event{Kind: Started})
	step(s, 0, Event{Kind: Accepted, Attempt: 1, Target: "engine-a"})
	step(s, 0, Event{Kind: TokenReceived, Attempt: 1, Position: 0, Text: "a"})
	return s
}

// Guards against a second run at an engine that keeps no record of a generation.
func TestExclusiveStreamIsNotReattached(t *testing.T) {
	s := exclusiveStream(t)
	got := step(s, time.Second, Event{Kind: ConnectionLost, Attempt: 1, Target: "engine-a"})
	require.Len(t, got, 1)
	require.Equal(t, Action{Kind: Begin, Attempt: 2, Mode: Continue, Position: 1, Avoid: []string{"engine-a"}, Reason: "target_lost"}, got[0])
}

// Guards against two engines that run one generation at once: the silent attempt is cancelled
// first.
func TestExclusiveStreamCancelsTheSilentAttemptFirst(t *testing.T) {
	s := exclusiveStream(t)
	got := step(s, time.Second, Event{Kind: Ticked})
	require.Len(t, got, 2)
	require.Equal(t, Action{Kind: Cancel, Attempt: 1, Target: "engine-a", Reason: SilentAgain}, got[0])
	require.Equal(t, Begin, got[1].Kind)
	require.Equal(t, Continue, got[1].Mode)
	require.Empty(t, step(s, time.Second, Event{Kind: TokenReceived, Attempt: 1, Position: 1, Text: "late"}), "output of the cancelled attempt must be dropped")
	require.EqualValues(t, 1, s.Position)
}

// Guards against giving up after 3 s on a request that an engine has queued.
func TestAcceptWaitIsConfigurable(t *testing.T) {
	s := testStream()
	s.Exclusive, s.AcceptWait = true, 8*time.Second
	s.Timeouts.Accept = 20 * time.Second
	step(s, 0, Event{Kind: Started})
	require.Empty(t, step(s, 4*time.Second, Event{Kind: Ticked}))
	got := step(s, 8*time.Second, Event{Kind: Ticked})
	require.Equal(t, Fail, got[len(got)-1].Kind)
}

// Guards against ending a silent attempt, or asking for its replacement all the time, while it can't be replaced.
func TestExclusiveStreamKeepsASilentAttemptWithoutReplacement(t *testing.T) {
	for _, c := range []struct {
		name string
		// before are the events after which the attempt is silent, from silentAt on.
		before   []Event
		silentAt time.Duration
	}{
		{"not accepted", nil, 250 * time.Millisecond},
		{"no token", []Event{{Kind: Accepted, Attempt: 1, Target: "engine-a"}}, time.Second},
		{"after a token", []Event{{Kind: Accepted, Attempt: 1, Target: "engine-a"}, {Kind: TokenReceived, Attempt: 1, Text: "a"}}, 400 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testStream()
			s.Exclusive, s.AcceptWait = true, 10*time.Second
			asked, allowed := 0, false
			s.ReserveReplacement = func(time.Time, []string) bool {
				asked++
				return allowed
			}
			step(s, 0, Event{Kind: Started})
			for _, ev := range c.before {
				step(s, 0, ev)
			}
			require.Equal(t, t0.Add(c.silentAt), s.NextTick())
			now := c.silentAt
			for ; now < 8*time.Second; now = s.NextTick().Sub(t0) {
				require.Empty(t, step(s, now, Event{Kind: Ticked}))
				require.Empty(t, step(s, now, Event{Kind: Ticked}), "a second check at the same time must not ask again")
			}
			require.LessOrEqual(t, asked, 32)
			require.GreaterOrEqual(t, asked, 28)
			allowed = true
			got := step(s, now, Event{Kind: Ticked})
			require.Len(t, got, 2)
			require.Equal(t, Cancel, got[0].Kind, "the silent attempt must be stopped first")
			require.Equal(t, Begin, got[1].Kind)
		})
	}
}

// Guards against dropping what a silent engine sends when it goes on.
func TestExclusiveStreamGoesOnAfterASilenceWithoutReplacement(t *testing.T) {
	s := exclusiveStream(t)
	s.ReserveReplacement = func(time.Time, []string) bool { return false }
	require.Empty(t, step(s, 400*time.Millisecond, Event{Kind: Ticked}))
	got := step(s, 1200*time.Millisecond, Event{Kind: TokenReceived, Attempt: 1, Position: 1, Text: "b"})
	require.Len(t, got, 1)
	require.Equal(t, Deliver, got[0].Kind)
	require.Equal(t, t0.Add(1600*time.Millisecond), s.NextTick(), "the next silence must be noticed as before")
}

// Guards against a delay between the end of a silent attempt and the attempt that was reserved.
func TestReservedReplacementBeginsAtOnce(t *testing.T) {
	s := exclusiveStream(t)
	s.ReserveReplacement = func(time.Time, []string) bool { return true }
	now := 400 * time.Millisecond
	for n := range immediateAttempts + 3 {
		got := step(s, now, Event{Kind: Ticked})
		require.Len(t, got, 2)
		require.Equal(t, Cancel, got[0].Kind)
		require.Equal(t, Begin, got[1].Kind)
		require.Equal(t, n+2, got[1].Attempt)
		now = s.NextTick().Sub(t0)
	}
}

// Guards against a lost connection that is not replaced because its engine was silent before.
func TestSilentAttemptThatIsLostIsReplaced(t *testing.T) {
	s := exclusiveStream(t)
	s.ReserveReplacement = func(time.Time, []string) bool { return false }
	require.Empty(t, step(s, 400*time.Millisecond, Event{Kind: Ticked}))
	got := step(s, 500*time.Millisecond, Event{Kind: ConnectionLost, Attempt: 1, Target: "engine-a"})
	require.Len(t, got, 1)
	require.Equal(t, Begin, got[0].Kind)
	require.Equal(t, "target_lost", got[0].Reason)
}

// Guards against ending an attempt that other instances report as lost while it can't be replaced, and against keeping it once it can be.
func TestSuspectedAttemptIsKeptUntilItIsReplaced(t *testing.T) {
	s := testStream()
	s.Exclusive, s.AcceptWait, s.Timeouts.Accept = true, 10*time.Second, 5*time.Second
	asked, allowed := 0, false
	s.ReserveReplacement = func(time.Time, []string) bool {
		asked++
		return allowed
	}
	suspected := Event{Kind: Suspected, Attempt: 1, Target: "engine-a", Reason: "lost_by_others"}
	step(s, 0, Event{Kind: Started})
	require.Empty(t, step(s, 100*time.Millisecond, suspected))
	require.Empty(t, step(s, 200*time.Millisecond, suspected))
	require.Equal(t, 1, asked, "the replacement must not be asked for at each report")
	require.Equal(t, t0.Add(5*time.Second), s.NextTick())
	allowed = true
	got := step(s, 350*time.Millisecond, suspected)
	require.Equal(t, []Action{
		{Kind: Cancel, Attempt: 1, Target: "engine-a", Reason: "lost_by_others"},
		{Kind: Begin, Attempt: 2, Avoid: []string{"engine-a"}, Reason: "lost_by_others"},
	}, got)
	require.Empty(t, step(s, 400*time.Millisecond, suspected), "a report on an earlier attempt says nothing about the next one")
}

// Guards against losing output that a stream with a record could still get from its engine.
func TestSuspicionIsIgnoredWithRecords(t *testing.T) {
	s := streamWithOneToken(t)
	require.Empty(t, step(s, 100*time.Millisecond, Event{Kind: Suspected, Attempt: 1, Target: "engine-a", Reason: "lost_by_others"}))
}
