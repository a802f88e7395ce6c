package server

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/generation"
)

// Guards against an unbounded number of estimates, and estimates that mix targets of two versions.
func TestGapTableIsBoundedAndSeparatesVersions(t *testing.T) {
	table := &gapTable{}
	base := generation.Timeouts{NextToken: 500 * time.Millisecond}
	slow := gapKey{entry: "e", version: "v1", target: "t"}
	samples := make([]time.Duration, 1000)
	for i := range samples {
		samples[i] = time.Second
	}
	table.estimateFor(slow).add(samples, 0)
	require.Equal(t, generation.MaxNextToken, table.silenceTimeouts(slow, base).NextToken)
	slow.version = "v2"
	require.Equal(t, base.NextToken, table.silenceTimeouts(slow, base).NextToken)
	var group sync.WaitGroup
	for g := range 4 {
		group.Go(func() {
			for i := range 10_000 {
				table.estimateFor(gapKey{entry: "e", target: fmt.Sprint(g, i)})
			}
		})
	}
	group.Wait()
	for i := range table.shards {
		require.LessOrEqual(t, len(table.shards[i].gaps), maxGapsPerShard)
	}
}
