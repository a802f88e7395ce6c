package scaling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a bound on the reading share that is not used, also while a data centre is lost.
func TestReadingShareBoundsSize(t *testing.T) {
	d := Demand{PerSecond: 30, ReadingTime: time.Second, Slots: 32}
	require.Equal(t, need{total: 60, why: WhyReading, growth: 1}, sizeFor(d, 0, 1, 3))
	d.readingShare = 0.3
	require.Equal(t, need{total: 101, why: WhyReadingLost, growth: 1}, sizeFor(d, 0, 1, 3))
	d.readingShare = 0.6
	require.Equal(t, need{total: 51, why: WhyReadingLost, growth: 1}, sizeFor(d, 0, 1, 3))
	require.Equal(t, need{total: 68, why: WhyReadingLost, growth: 1}, sizeFor(d, 0, 1, 2))
}
