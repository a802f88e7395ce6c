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
