package steady

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a clock that goes back or stands, and against a time that is compared by Go's monotonic clock, which
// stops while the machine is suspended.
func TestNowAdvances(t *testing.T) {
	first := Now()
	time.Sleep(20 * time.Millisecond)
	second := Now()
	require.GreaterOrEqual(t, second.Sub(first), 20*time.Millisecond)
	require.Equal(t, second, second.Round(0), "no monotonic reading")
	require.Less(t, first.Year(), 2000, "not the wall clock")
}
