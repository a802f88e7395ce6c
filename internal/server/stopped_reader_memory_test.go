//go:build !race

package server_test

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The race detector uses additional memory that is not the product's, so the bound is checked without it.

// TestMemoryOfStoppedReaders guards against unbounded memory for a stopped reader, and against a
// streamBytes that is less than what a stream uses besides its texts.
func TestMemoryOfStoppedReaders(t *testing.T) {
	sizes := []int{100}
	if os.Getenv("BAMBOOFERRY_MEASURE") != "" {
		sizes = append(sizes, 500, 1000)
	}
	for _, n := range sizes {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			heap, held := measureStoppedReaders(t, quickDetachLimits(), n, streamsPaused(n))
			t.Logf("%d readers: %.1f KiB of heap and stacks each, %.1f KiB counted each", n, heap/1024, held/1024)
			require.Less(t, heap, float64(maxReaderBytes))
			require.Less(t, heap, held, "the budgets count less than what is held")
			require.Less(t, held, float64(maxReaderBytes))
		})
	}
}

// TestMemoryOfHeldBackReaders guards against an engine connection that uses more memory than is
// counted for it while its reader has stopped and the connection is not closed yet.
func TestMemoryOfHeldBackReaders(t *testing.T) {
	sizes := []int{500}
	if os.Getenv("BAMBOOFERRY_MEASURE") != "" {
		sizes = append(sizes, 1000)
	}
	l := quickDetachLimits()
	l.DetachAfter = time.Hour
	for _, n := range sizes {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			heap, held := measureStoppedReaders(t, l, n, streamsPaused(n))
			t.Logf("%d readers: %.1f KiB of heap and stacks each, %.1f KiB counted each", n, heap/1024, held/1024)
			require.Less(t, heap, float64(maxReaderBytes))
			require.Less(t, heap, held, "the budgets count less than what is held")
		})
	}
}
