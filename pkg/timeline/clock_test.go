package timeline

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an effect that is ordered before its cause when clocks differ by seconds, over HTTP and RPC.
func TestEffectsComeAfterCausesAcrossClocks(t *testing.T) {
	ahead, behind := &Clock{}, &Clock{}
	aheadNow := func(d time.Duration) time.Time { return t0.Add(3*time.Second + d) }
	cause := ahead.Now(aheadNow(0))
	h := http.Header{}
	ahead.Inject(aheadNow(0), h)
	require.True(t, behind.Extract(t0.Add(time.Millisecond), h))
	effect := behind.Now(t0.Add(2 * time.Millisecond))
	require.True(t, cause.Before(effect))

	var reply ClockCarrier
	reply.SetStamp(t0.Add(3*time.Millisecond), behind)
	require.True(t, reply.ObserveStamp(aheadNow(4*time.Millisecond), ahead))
	require.True(t, effect.Before(ahead.Now(aheadNow(4*time.Millisecond))))
	require.False(t, (&ClockCarrier{}).ObserveStamp(t0, ahead))
}

// Guards against one process with a wrong clock that moves all other clocks forward.
func TestStampFarAheadIsRejected(t *testing.T) {
	c := &Clock{}
	require.True(t, c.Observe(t0, Stamp{Wall: t0.Add(MaxSkew).UnixNano()}))
	require.False(t, c.Observe(t0, Stamp{Wall: t0.Add(MaxSkew).UnixNano() + 1}))
	require.LessOrEqual(t, c.Now(t0).Wall, t0.Add(MaxSkew).UnixNano())
}

// Guards against an invalid header that is accepted as a stamp.
func TestStampTextIsParsedOrRejected(t *testing.T) {
	s := Stamp{Wall: t0.UnixNano(), Logical: 7}
	got, err := ParseStamp(s.String())
	require.NoError(t, err)
	require.Equal(t, s, got)
	for _, text := range []string{"", ".", "1", "1.", ".1", "-1.0", "1.-1", "1.2.3", "99999999999999999999.0", " 1.0"} {
		_, err := ParseStamp(text)
		var se *StampError
		require.ErrorAs(t, err, &se, text)
	}
}
