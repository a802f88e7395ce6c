package feed

import (
	"context"
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an instance that takes its copy for the latest one although others have announced a later one, the
// store was restored or nothing has confirmed it, and against one that never does again.
func TestCurrentCopy(t *testing.T) {
	store := newStoreStub()
	store.put("operators/table", "1")
	way := &partitionedStore{storeStub: store}
	r := &Replicator{Store: way, InstanceName: "b", IsReader: func() bool { return false }}
	recorder := startReplicator(t, r)
	requireEventually(t, recorder, "operators/table", "1", time.Second)
	await := func(wait time.Duration) bool {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		return r.AwaitCurrent(ctx)
	}
	require.True(t, await(time.Second))
	_, confirmed := r.currency(time.Now().Add(currentFor + WatchWait + time.Second))
	require.False(t, confirmed, "not confirmed for too long")

	way.partitioned.Store(true)
	store.put("operators/table", "2")
	announcement := func(version Version) {
		data, ok := encodeMessage(&ChangeMessage{FromRevision: version.Revision, ToRevision: version.Revision, FromEra: version.Era, Era: version.Era, Reader: "a"})
		require.True(t, ok)
		r.HandleMessage(time.Now(), data)
	}
	announcement(Version{Revision: 2})
	require.Eventually(t, func() bool { return !await(50 * time.Millisecond) }, 3*time.Second, time.Millisecond)
	way.partitioned.Store(false)
	require.True(t, await(3*time.Second))
	require.Equal(t, "2", recorder.get("operators/table"))

	// The store does not have this one.
	announcement(Version{Revision: 9})
	require.Eventually(t, func() bool { return !await(20 * time.Millisecond) }, 3*time.Second, time.Millisecond)
	require.True(t, await(3*WatchWait))
}

// awaitCurrent reports whether an instance takes its copy for the latest one, after a short wait.
func awaitCurrent(r *Replicator) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	return r.AwaitCurrent(ctx)
}

// Guards against heartbeats that waited in a full link for seconds and count as proof that the copy is the latest one now.
func TestDelayedHeartbeatsDoNotConfirmTheCopy(t *testing.T) {
	runFleetTest(t, "fleet", func(t *testing.T) {
		f := startFleet(t, 12, routeTable(20))
		in := f.find(false)
		in.refused.Store(true)
		in.mute.Store(true)
		require.True(t, awaitCurrent(in.replicator))
		in.delay.Store(int64(8 * time.Second))
		time.Sleep(4 * time.Second)
		table := routeTable(25)
		f.store.put("operators/table", table)
		changedAt := time.Now()
		for in.recorder.get("operators/table") != table {
			if behind := time.Since(changedAt); behind > maxApplyTime {
				require.False(t, awaitCurrent(in.replicator), "%s after a change that has not arrived", behind)
			}
			time.Sleep(50 * time.Millisecond)
		}
		require.Greater(t, time.Since(changedAt), 7*time.Second)
		in.delay.Store(0)
		in.refused.Store(false)
		time.Sleep(maxApplyTime)
		require.True(t, awaitCurrent(in.replicator))
	})
}

// Guards against an answer of the store that takes seconds to arrive and counts as what the store holds at its end.
func TestSlowAnswerConfirmsTheCopyAsOfItsBeginning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slow = 6 * time.Second
		store := &trickledStore{storeStub: newStoreStub()}
		store.put("operators/table", "1")
		r := &Replicator{Store: store, InstanceName: "a", IsReader: func() bool { return true }}
		recorder := startReplicator(t, r)
		requireEventually(t, recorder, "operators/table", "1", time.Second)
		time.Sleep(2 * WatchWait)
		require.True(t, awaitCurrent(r))
		store.trickle.Store(int64(slow))
		store.put("operators/table", "2")
		requireEventually(t, recorder, "operators/table", "2", 2*slow)
		require.False(t, awaitCurrent(r))
		store.trickle.Store(0)
		time.Sleep(slow + WatchWait)
		require.True(t, awaitCurrent(r))
	})
}

// Guards against a message with an age out of range that confirms the copy in the future, and so for good.
func TestAgeOutOfRangeDoesNotConfirmTheFuture(t *testing.T) {
	for _, age := range []int64{-1000, math.MinInt64, math.MaxInt64, math.MaxInt64/int64(time.Millisecond) + 1} {
		r := &Replicator{Prefixes: []string{"operators/"}, Apply: func(time.Time, Update) {}}
		r.Init()
		data, ok := encodeMessage(&ChangeMessage{FromRevision: 1, ToRevision: 1, Reader: "a", ResponseAgeMillis: age, ConfirmedMillis: &age})
		require.True(t, ok)
		r.HandleMessage(time.Now(), data)
		r.drainMessages()
		_, confirmed := r.currency(time.Now().Add(currentFor + time.Second))
		require.False(t, confirmed, "age %d", age)
	}
}

// trickledStore is a store whose answers to watches arrive slowly.
type trickledStore struct {
	*storeStub
	trickle atomic.Int64
}

func (s *trickledStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error) {
	c, err := s.storeStub.Watch(ctx, prefix, after, wait)
	for end := time.Now().Add(time.Duration(s.trickle.Load())); err == nil && time.Now().Before(end) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		ReportProgress(ctx)
	}
	return c, err
}

// Guards against messages that count as delayed because clocks differ, restart, drift or stand still, and against a delay that goes
// unnoticed.
func TestDelayOfMessages(t *testing.T) {
	const interval = 400 * time.Millisecond
	start := time.Now()
	var d delayTracker
	at, sent := time.Duration(0), time.Duration(0)
	// play receives messages for a time, each with a delay, and returns the last estimate.
	play := func(clock uint64, lasts, delay time.Duration) (estimate time.Duration) {
		for end := at + lasts; at < end; at, sent = at+interval, sent+interval {
			estimate = d.delay(start.Add(at+delay), clock, sent)
		}
		return estimate
	}
	require.Zero(t, play(1, 10*time.Second, 5*time.Millisecond))
	require.Equal(t, 7*time.Second, play(1, 20*time.Second, 7*time.Second+5*time.Millisecond))
	require.Zero(t, play(1, 10*time.Second, 5*time.Millisecond))
	require.Equal(t, 2*time.Millisecond, play(1, 10*time.Second, 7*time.Millisecond))

	sent = 0
	require.Zero(t, play(2, 10*time.Second, 5*time.Millisecond), "the sender has restarted")
	at += 30 * time.Second
	require.Equal(t, 30*time.Second, play(2, interval, 5*time.Millisecond), "the sender's machine was suspended")
	require.Zero(t, play(2, 3*delayWindow, 5*time.Millisecond))
	sent += 30 * time.Second
	require.Zero(t, play(2, interval, 5*time.Millisecond), "this instance's machine was suspended")

	require.Zero(t, d.delay(start.Add(at), 0, 0), "a build that states no clock")
	at += 10 * delayWindow
	play(3, interval, 0)
	require.Len(t, d.clocks, 1)
}
