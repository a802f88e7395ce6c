package version_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bambooferry.example/bambooferry/pkg/version"
)

// store has a record that is written by compare-and-swap, and the fencing numbers of its writers.
type store struct {
	version int64
	record  version.Record
	fences  []int64
}

// candidate is an instance that acts as the decider as long as it assumes that it holds the lease.
type candidate struct {
	change      *version.Change
	fence       int64
	readVersion int64
}

// TestOneDeciderWrites guards the single-decider rule: whatever the order of lease changes,
// pauses, reads and late writes, the record is never written with an older fencing number
// after it was written with a newer one, and never leaves a final state.
func TestOneDeciderWrites(t *testing.T) {
	plan := version.Plan{ID: 9, Entry: "e", From: "v1", To: "v2", Deadline: start.Add(time.Minute), LargestShare: 0.2}
	rapid.Check(t, func(t *rapid.T) {
		kv := &store{}
		candidates := make([]*candidate, 3)
		for i := range candidates {
			candidates[i] = &candidate{change: version.NewChange(start, plan, version.DefaultLimits()), readVersion: -1}
		}
		lastFence, finished := int64(0), false
		for step := range 80 {
			now := start.Add(time.Duration(step) * time.Second)
			c := candidates[rapid.IntRange(0, 2).Draw(t, "who")]
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0: // gets the lease, possibly without the knowledge of the previous decider
				lastFence++
				c.fence, c.readVersion = lastFence, -1
			case 1: // reads
				if c.fence == 0 || kv.record.Fence > c.fence {
					continue
				}
				c.readVersion = kv.version
				if kv.version > 0 {
					c.change.ResumeFrom(kv.record)
				}
			case 2: // decides
				c.change.Step(now, version.Event{Kind: version.CapacityChanged, Capacity: 1})
				if rapid.IntRange(0, 9).Draw(t, "bad") == 0 {
					c.change.Step(now, version.Event{Kind: version.MarkedBad, Why: "bad_failing"})
				}
				c.change.Step(now, version.Event{Kind: version.Ticked})
			case 3: // writes, possibly long after it read
				if c.readVersion < 0 || c.readVersion != kv.version {
					c.readVersion = -1
					continue
				}
				c.change.Record.Fence = c.fence
				kv.version, kv.record = kv.version+1, c.change.Record
				kv.fences = append(kv.fences, c.fence)
				c.readVersion = kv.version
			}
			for i := 1; i < len(kv.fences); i++ {
				require.GreaterOrEqual(t, kv.fences[i], kv.fences[i-1], "an old decider wrote after a new one")
			}
			require.False(t, finished && !kv.record.Finished(), "a final state was left")
			finished = kv.record.Finished()
		}
	})
}
