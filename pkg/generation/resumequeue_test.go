package generation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against resuming long-waiting streams, or those with many delivered tokens, last after a
// large loss.
func TestResumeQueueOrder(t *testing.T) {
	queue := &ResumeQueue{}
	queue.Add(QueuedResume{ID: 1, Since: t0, DeliveredTokens: 10})
	queue.Add(QueuedResume{ID: 2, Since: t0, DeliveredTokens: 3000})
	queue.Add(QueuedResume{ID: 3, Since: t0.Add(-time.Second), DeliveredTokens: 10})
	queue.Add(QueuedResume{ID: 4, Since: t0.Add(4 * time.Second), DeliveredTokens: 3000})
	require.Equal(t, []uint64{2, 3}, queue.Grant(2))
	require.Empty(t, queue.Grant(2))
	queue.Remove(3)
	queue.Remove(1)
	require.Equal(t, []uint64{4}, queue.Grant(2))
	require.Zero(t, queue.Waiting())
	require.Equal(t, 2, queue.InFlight())
}

// Guards against more resumes in flight than there are slots, and against resumes that are lost or
// granted twice.
func TestResumeQueueNeverExceedsCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := &ResumeQueue{}
		waiting, inFlight := map[uint64]bool{}, map[uint64]bool{}
		for id := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				queue.Add(QueuedResume{ID: id, Since: t0.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "since")) * time.Second)})
				waiting[id] = true
			case 1:
				removed := rapid.Uint64Range(0, id).Draw(t, "removed")
				queue.Remove(removed)
				delete(waiting, removed)
				delete(inFlight, removed)
			case 2:
				capacity, inFlightBefore := rapid.IntRange(-1, 5).Draw(t, "capacity"), len(inFlight)
				for _, granted := range queue.Grant(capacity) {
					require.True(t, waiting[granted])
					delete(waiting, granted)
					inFlight[granted] = true
				}
				require.LessOrEqual(t, len(inFlight), max(inFlightBefore, capacity))
				require.True(t, len(waiting) == 0 || len(inFlight) >= capacity)
			}
			require.Equal(t, len(waiting), queue.Waiting())
			require.Equal(t, len(inFlight), queue.InFlight())
		}
	})
}
