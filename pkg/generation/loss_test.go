package generation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runUntilDone steps a stream through ticks until it is done or a time is reached, and returns the
// attempts begun.
func runUntilDone(s *Stream, from, to time.Duration, respond func(a Action) Event) (attempts []Action, failed *Failure) {
	for now := t0.Add(from); !s.Done() && !now.After(t0.Add(to)); now = s.NextTick() {
		queue := []Event{{Kind: Ticked}}
		for len(queue) > 0 {
			for _, a := range step(s, now.Sub(t0), queue[0]) {
				switch a.Kind {
				case Begin:
					attempts = append(attempts, a)
					queue = append(queue, respond(a))
				case Fail:
					failed = a.Err
				}
			}
			queue = queue[1:]
		}
	}
	return attempts, failed
}

// Guards against a stream that gives up, or retries without delay, while no target can accept it.
func TestLostStreamWaitsForCapacity(t *testing.T) {
	for _, c := range []struct {
		name     string
		response Event
		code     string
	}{
		{"no free slot", Event{Kind: NoTarget}, "engines_lost"},
		{"version gone", Event{Kind: NoTarget, Reason: VersionGone}, "version_gone"},
		{"all targets refuse", Event{Kind: Refused, Target: "engine-b"}, "engines_lost"},
		{"all targets unreachable", Event{Kind: Unreachable, Target: "engine-b"}, "engines_lost"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := streamWithOneToken(t)
			step(s, 0, Event{Kind: ConnectionLost, Attempt: 1})
			step(s, 0, Event{Kind: Unreachable, Attempt: 2, Target: "engine-a"})
			respond := func(a Action) Event {
				ev := c.response
				ev.Attempt = a.Attempt
				return ev
			}
			step(s, 0, respond(Action{Attempt: 3}))
			attempts, failed := runUntilDone(s, 0, 10*time.Second, respond)
			require.Equal(t, c.code, failed.Code)
			require.Equal(t, Ran, failed.Outcome)
			require.Equal(t, t0.Add(10*time.Second), s.lastProgressAt.Add(s.ResumeWait))
			require.Greater(t, len(attempts), 8)
			require.Less(t, len(attempts), 30)
		})
	}
}

// Guards against reporting not_run for a request of which bytes may have reached a target.
func TestNotRunIsReportedOnlyIfCertain(t *testing.T) {
	for _, c := range []struct {
		name   string
		events []Event
		want   Outcome
	}{
		{"refused", []Event{{Kind: Refused, Attempt: 1, Target: "engine-a"}}, NotRun},
		{"unreached", []Event{{Kind: Unreachable, Attempt: 1, Target: "engine-a"}}, NotRun},
		{"unplaced", []Event{{Kind: NoTarget, Attempt: 1}}, NotRun},
		{"lost before it was accepted", []Event{{Kind: ConnectionLost, Attempt: 1, Target: "engine-a"}}, Unknown},
		{"no response yet", nil, Unknown},
		{"accepted", []Event{{Kind: Accepted, Attempt: 1, Target: "engine-a"}, {Kind: ConnectionLost, Attempt: 1}}, Ran},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testStream()
			step(s, 0, Event{Kind: Started})
			unplaced := func(a Action) Event { return Event{Kind: NoTarget, Attempt: a.Attempt} }
			for _, ev := range c.events {
				for _, a := range step(s, 0, ev) {
					step(s, 0, unplaced(a))
				}
			}
			_, failed := runUntilDone(s, 0, 10*time.Second, unplaced)
			require.Equal(t, c.want, failed.Outcome)
		})
	}
}

// Guards against the outcome not_run after a silent attempt, which its target may have begun, was ended for want of room.
func TestEndedSilentAttemptMayHaveRun(t *testing.T) {
	s := testStream()
	ended := 0
	for now := time.Duration(0); ended == 0 && now < 3*time.Second; now += 50 * time.Millisecond {
		ev := Event{Kind: Ticked}
		if now == 0 {
			ev.Kind = Started
		}
		for _, a := range step(s, now, ev) {
			if a.Kind == Cancel {
				ended = a.Attempt
			}
		}
	}
	require.Equal(t, 1, ended)
	respond := func(a Action) Event { return Event{Kind: Refused, Attempt: a.Attempt, Target: "engine-b"} }
	for n := 2; n <= s.LastAttempt; n++ {
		step(s, time.Second, respond(Action{Attempt: n}))
	}
	_, failed := runUntilDone(s, time.Second, 10*time.Second, respond)
	require.Equal(t, Unknown, failed.Outcome)
}

// Guards against endless reattaching to a target that accepts and closes connections.
func TestLostReattachContinuesElsewhere(t *testing.T) {
	s := streamWithOneToken(t)
	step(s, 0, Event{Kind: ConnectionLost, Attempt: 1})
	step(s, 0, Event{Kind: Accepted, Attempt: 2, Target: "engine-a"})
	got := step(s, 0, Event{Kind: ConnectionLost, Attempt: 2})
	require.Len(t, got, 1)
	require.Equal(t, Continue, got[0].Mode)
}

// Guards against a generation that keeps running at a target whose connection was lost.
func TestLostAttemptIsCancelledWhenAnotherDelivers(t *testing.T) {
	s := streamWithOneToken(t)
	step(s, 0, Event{Kind: ConnectionLost, Attempt: 1})
	step(s, 0, Event{Kind: ConnectionLost, Attempt: 2, Target: "engine-a"})
	step(s, 0, Event{Kind: Accepted, Attempt: 3, Target: "engine-b"})
	got := step(s, 0, Event{Kind: TokenReceived, Attempt: 3, Position: 1, Text: "b"})
	require.Equal(t, []Action{
		{Kind: Detach, Attempt: 1, Target: "engine-a", Reason: "superseded"},
		{Kind: Cancel, Attempt: 2, Target: "engine-a", Reason: "superseded"},
		{Kind: Deliver, Attempt: 3, Position: 1, Text: "b"},
	}, got)
}

// Guards against a silent attempt whose open connection prevents retries.
func TestRetriesContinueBesideASilentAttempt(t *testing.T) {
	s := streamWithOneToken(t)
	attempts, _ := runUntilDone(s, 400*time.Millisecond, 5*time.Second, func(a Action) Event {
		if a.Mode == Reattach {
			return Event{Kind: Accepted, Attempt: a.Attempt, Target: "engine-a"}
		}
		return Event{Kind: NoTarget, Attempt: a.Attempt}
	})
	require.Greater(t, len(attempts), 4)
	got := step(s, 5*time.Second, Event{Kind: TokenReceived, Attempt: 1, Position: 1, Text: "b"})
	require.Equal(t, Deliver, got[len(got)-1].Kind, "output of a target that resumes after a pause must be delivered")
}

// Guards against work for a reader that is paused: a loss is repaired only once it reads again.
func TestLossDuringAPauseIsRepairedOnResume(t *testing.T) {
	s := streamWithOneToken(t)
	step(s, 0, Event{Kind: Paused})
	require.Empty(t, step(s, time.Second, Event{Kind: ConnectionLost, Attempt: 1}))
	require.True(t, s.NextTick().IsZero())
	got := step(s, time.Hour, Event{Kind: Resumed})
	require.Equal(t, []Action{{Kind: Begin, Attempt: 2, Mode: Reattach, Position: 1, Target: "engine-a", Reason: "reader_resumed"}}, got)
	got = step(s, time.Hour, Event{Kind: RecordMissing, Attempt: 2, Target: "engine-a"})
	require.Equal(t, Continue, got[0].Mode)
}

// Guards against counting time in the resume queue as silence of the target.
func TestQueuedAttemptIsNotSilent(t *testing.T) {
	s := streamWithOneToken(t)
	step(s, 0, Event{Kind: ConnectionLost, Attempt: 1})
	step(s, 0, Event{Kind: Unreachable, Attempt: 2, Target: "engine-a"})
	step(s, 0, Event{Kind: Queued, Attempt: 3})
	require.Equal(t, t0.Add(10*time.Second), s.NextTick())
	require.Empty(t, step(s, 5*time.Second, Event{Kind: Dequeued, Attempt: 3}))
	require.Equal(t, t0.Add(5250*time.Millisecond), s.NextTick())
}
