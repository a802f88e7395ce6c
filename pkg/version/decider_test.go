package version_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bambooferry.example/bambooferry/pkg/version"
)

// cell is a value under compare-and-swap with its writers' fencing numbers.
type cell struct {
	at     int64
	record version.Record
	fences []int64
}

// candidate is one instance that decides while it believes that it holds the lease.
type candidate struct {
	change *version.Change
	fence  int64
	at     int64
}

// TestOneDeciderWrites guards the single-decider rule: whatever the order of lease
// changes, pauses, reads and late writes, the record is never written with an older
// fencing number after a newer one was, and never leaves a final state.
func TestOneDeciderWrites(t *testing.T) {
	plan := version.Plan{ID: 9, Entry: "e", From: "v1", To: "v2", Deadline: start.Add(time.Minute), LargestShare: 0.2}
	rapid.Check(t, func(t *rapid.T) {
		store := &cell{}
		list := make([]*candidate, 3)
		for i := range list {
			list[i] = &candidate{change: version.NewChange(start, plan, version.DefaultLimits()), at: -1}
		}
		fence, over := int64(0), false
		for step := range 80 {
			now := start.Add(time.Duration(step) * time.Second)
			c := list[rapid.IntRange(0, 2).Draw(t, "who")]
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0: // gets the lease; the one before may not know
				fence++
				c.fence, c.at = fence, -1
			case 1: // reads
				if c.fence == 0 || store.record.Fence > c.fence {
					continue
				}
				c.at = store.at
				if store.at > 0 {
					c.change.ResumeFrom(store.record)
				}
			case 2: // decides
				c.change.Step(now, version.Event{Kind: version.CapacityChanged, Capacity: 1})
				if rapid.IntRange(0, 9).Draw(t, "bad") == 0 {
					c.change.Step(now, version.Event{Kind: version.MarkedBad, Why: "bad_failing"})
				}
				c.change.Step(now, version.Event{Kind: version.Ticked})
			case 3: // writes, perhaps long after it read
				if c.at < 0 || c.at != store.at {
					c.at = -1
					continue
				}
				c.change.Record.Fence = c.fence
				store.at, store.record = store.at+1, c.change.Record
				store.fences = append(store.fences, c.fence)
				c.at = store.at
			}
			for i := 1; i < len(store.fences); i++ {
				require.GreaterOrEqual(t, store.fences[i], store.fences[i-1], "an old decider wrote after a new one")
			}
			require.False(t, over && !store.record.Finished(), "a final state was left")
			over = store.record.Finished()
		}
	})
}
