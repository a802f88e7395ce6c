package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// turnStart is a time at which a turn is open.
var turnStart = time.UnixMilli(1_700_000_000_000 + 100)

func myTurn() bool { return true }

func othersTurn() bool { return false }

func brittleAt(now time.Time, perSecond float64) RefusalStatement {
	return RefusalStatement{PerSecond: perSecond, Brittle: true, HeardAt: now}
}

// Guards against requests to a brittle target beyond the room that is known, and against room that is never found.
func TestRoomOfABrittleTargetIsLearntFromBelow(t *testing.T) {
	l, target, now := &RefusalLimits{}, Target{ID: "a"}, turnStart
	require.Zero(t, l.Wait(now, target, 100, 0, othersTurn), "nothing is stated")
	require.True(t, l.Record(target, brittleAt(now, 4), true))
	require.Zero(t, l.Wait(now, target, 0, 0, myTurn), "one request is always possible")
	require.Positive(t, l.Wait(now, target, 1, 0, myTurn))
	now = now.Add(time.Second)
	require.Zero(t, l.Wait(now, target, 1, 0, myTurn), "a quarter of the refusals looks for more room")
	l.Take(now, target, 1)
	require.Positive(t, l.Wait(now, target, 1, 0, myTurn))
	require.False(t, l.RecordAccepted(now, Target{ID: "a", Slots: 1}, 1), "it has been queued")
	require.True(t, l.RecordAccepted(now, target, 1))
	require.Zero(t, l.Wait(now, target, 1, 0, myTurn))
	l.RecordAccepted(now, target, 9)
	require.Positive(t, l.Wait(now, target, 3, 0, myTurn), "it may have been queued")
	l.RecordRunning(now, target, 9)
	require.True(t, l.RecordRefusal(now, target, 6))
	require.Zero(t, l.Wait(now, target, 5, 0, myTurn))
	require.Positive(t, l.Wait(now, target, 6, 0, myTurn))
	for _, load := range []float64{0, 1, 2, 3} {
		require.Zero(t, l.Wait(now, target, load, 0, othersTurn))
	}
	require.Positive(t, l.Wait(now, target, 4, 0, othersTurn), "the last places are filled by one instance at a time")
	require.Positive(t, l.Wait(now, target, 2, 100, othersTurn), "what others send meanwhile needs room as well")
	l.RecordRefusal(now, target, 0)
	require.Zero(t, l.Wait(now, target, 0, 0, myTurn))
}

// Guards against a statement that outlives its incarnation, and against late and older ones.
func TestRefusalStatementOfTheLatestIncarnationHolds(t *testing.T) {
	l, target, now := &RefusalLimits{}, Target{ID: "a", StartedAt: turnStart}, turnStart
	l.Record(target, brittleAt(now, 4), true)
	require.True(t, l.Brittle(target))
	require.False(t, l.Record(target, RefusalStatement{HeardAt: now.Add(-time.Second)}, true), "a late answer")
	require.True(t, l.Brittle(target))
	require.False(t, l.Brittle(Target{ID: "a", StartedAt: turnStart.Add(time.Second)}))
	require.False(t, l.Record(Target{ID: "a"}, RefusalStatement{HeardAt: now.Add(time.Hour)}, true), "of an earlier incarnation")
	require.True(t, l.Record(target, RefusalStatement{HeardAt: now.Add(time.Second)}, true))
	require.False(t, l.Brittle(target))
	require.False(t, l.Record(target, brittleAt(now.Add(500*time.Millisecond), 4), false), "another instance's older message")
	require.False(t, l.Any())
	l.Retain(now.Add(time.Hour), nil)
	require.Empty(t, l.targets)
}

// Guards against instances that each have to find the room by refusals of their own.
func TestRoomIsSharedBetweenInstances(t *testing.T) {
	here, there, target, now := &RefusalLimits{}, &RefusalLimits{}, Target{ID: "a"}, turnStart
	here.Record(target, brittleAt(now, 4), true)
	here.RecordRunning(now.Add(time.Millisecond), target, 7)
	for id, s := range here.Recent(now) {
		require.True(t, there.Record(Target{ID: id}, s, false))
	}
	require.Zero(t, there.Wait(now, target, 6, 0, myTurn))
	require.Empty(t, there.Recent(now), "what others have learnt is not reported again")
	less := brittleAt(now, 4)
	less.Room, less.RoomAt = 2, now.Add(2*time.Millisecond)
	there.Record(target, less, false)
	require.Zero(t, there.Wait(now, target, 6, 0, myTurn), "what one instance has found so far does not lower what another one knows")
	here.RecordRefusal(now.Add(2*time.Millisecond), target, 5)
	there.Record(target, here.Recent(now)["a"], false)
	require.Positive(t, there.Wait(now, target, 6, 0, myTurn))
	for _, id := range []string{"b", "c", "d", "e", "f"} {
		here.Record(Target{ID: id}, RefusalStatement{PerSecond: 4, Brittle: true, HeardAt: now, RoomAt: now}, true)
	}
	require.Len(t, here.Recent(now), maxReportedRooms)
	require.Contains(t, here.Recent(now), "a", "the room that was learnt last")
	old := brittleAt(now, 4)
	old.Room, old.RoomAt = 20, now.Add(-time.Second)
	there.Record(target, old, false)
	require.Positive(t, there.Wait(now, target, 6, 0, myTurn), "an older report")
}

// Guards against a rush on a target that is back after it fell over.
func TestReturnedTargetOfABrittlePoolIsBrittle(t *testing.T) {
	l, now := &RefusalLimits{}, turnStart
	back := Target{ID: "b", StartedAt: now}
	l.Inherit(now, back)
	require.False(t, l.Brittle(back))
	l.Record(Target{ID: "a"}, brittleAt(now, 4), true)
	l.Inherit(now, back)
	require.True(t, l.Brittle(back))
	require.Positive(t, l.Wait(now, back, 1, 0, othersTurn))
	l.Record(back, RefusalStatement{HeardAt: now}, true)
	require.False(t, l.Brittle(back), "its own answer says otherwise")
	l.Retain(now.Add(time.Minute), []Target{{ID: "a"}, back})
	l.Inherit(now.Add(time.Minute), back)
	require.False(t, l.Brittle(back))
}

// Guards against turns that overlap.
func TestTurnsBeginWithAGap(t *testing.T) {
	begin := time.UnixMilli(1_700_000_000_000)
	number, open := Turn(begin)
	require.False(t, open)
	before, open := Turn(begin.Add(-time.Millisecond))
	require.True(t, open)
	require.Equal(t, number, before+1)
	_, open = Turn(begin.Add(turnGap))
	require.True(t, open)
}
