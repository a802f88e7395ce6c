package booking

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against losses that count as crashes of a target that goes on or leaves, and against crashes that never count.
func TestLossesAreConfirmedByTheListOfTargets(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		fate      TargetFate
		refused   bool
		after     time.Duration
		confirmed bool
	}{
		"listed":                        {TargetListed, true, time.Second, false},
		"leaving":                       {TargetLeaving, true, time.Second, false},
		"replaced":                      {TargetReplaced, true, 10 * time.Second, true},
		"replaced after silence":        {TargetReplaced, false, 10 * time.Second, true},
		"replaced long after silence":   {TargetReplaced, false, 21 * time.Second, false},
		"replaced long after a refusal": {TargetReplaced, true, 61 * time.Second, false},
		"gone after a refusal":          {TargetGone, true, 4 * time.Second, true},
		"gone after silence":            {TargetGone, false, 4 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			u := UnconfirmedCrashes{}
			loss := UnconfirmedCrash{Target: "e1", Address: netip.MustParseAddrPort("127.0.0.1:1"), LostAt: now, StartedAt: now.Add(-time.Second), Request: "r", Refused: c.refused}
			u.Record(now, loss)
			later := loss
			later.LostAt = now.Add(5 * time.Millisecond)
			u.Record(now, later)
			got := u.Confirm(now.Add(c.after), func(*UnconfirmedCrash) TargetFate { return c.fate })
			require.Equal(t, c.confirmed, len(got) == 1, "%v", got)
			require.Empty(t, u.Confirm(now.Add(c.after), func(*UnconfirmedCrash) TargetFate { return c.fate }), "each loss counts once")
		})
	}
}
