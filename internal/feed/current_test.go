package feed

import (
	"context"
	"testing"
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
