package usage

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a false time in one message that overflows the bound of the clock estimate, and so lets reports be made that
// another holder may have sent.
func TestTimesOutOfRangeAreRejected(t *testing.T) {
	for clock, field := range map[int64]string{-1: "clock_ms", 0: "clock_ms", math.MaxInt64: "clock_ms", 1 << 43: "clock_ms", 1_780_000_000_000: ""} {
		err := (&Counts{Instance: "i", Incarnation: 1, ClockMillis: clock}).Validate()
		requireField(t, field, err)
	}
	for clock, field := range map[int64]string{0: "true_ms", math.MaxInt64: "true_ms", 1_780_000_000_000: ""} {
		err := (&Acknowledgement{Instance: "i", TrueMillis: clock, EchoMillis: 1}).Validate()
		requireField(t, field, err)
	}
}

func requireField(t *testing.T, field string, err error) {
	t.Helper()
	if field == "" {
		require.NoError(t, err)
		return
	}
	bad := (*MessageError)(nil)
	require.ErrorAs(t, err, &bad)
	require.Equal(t, field, bad.Field)
}
