package engine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against implausible reports, which would affect the choice of targets until they expire.
func TestInvalidReportsAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		load, events string
		ok           bool
	}{
		"good":          {`{"at":"2026-01-01T00:00:00Z","running":1}`, `[{"sequence":2,"block":7},{"sequence":4,"block":8}]`, true},
		"negative":      {`{"at":"2026-01-01T00:00:00Z","running":-1}`, `[{"sequence":0}]`, false},
		"future":        {`{"at":"2026-01-01T00:01:00Z"}`, `[{"sequence":1,"at":"2026-01-01T00:01:00Z"}]`, false},
		"without_order": {`{"running":1}`, `[{"sequence":2},{"sequence":2}]`, false},
	} {
		_, err := DecodeLoad(t0, []byte(c.load))
		require.Equal(t, c.ok, err == nil, name)
		_, err = DecodeCacheEvents(t0, []byte(c.events))
		require.Equal(t, c.ok, err == nil, name)
	}
}

// Guards against input that makes the decoders panic or accept out-of-range values.
func FuzzReports(f *testing.F) {
	f.Add([]byte(`{"at":"2026-01-01T00:00:00Z","running":1}`))
	f.Add([]byte(`[{"sequence":2,"block":7}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if l, err := DecodeLoad(t0, data); err == nil {
			require.True(t, l.Running >= 0 && l.Waiting >= 0 && l.Slots >= 0 && !l.At.IsZero())
		}
		if list, err := DecodeCacheEvents(t0, data); err == nil {
			require.LessOrEqual(t, len(list), MaxCacheEvents)
			(&Pool{}).ApplyCacheEvents("engine-0", list)
		}
	})
}
