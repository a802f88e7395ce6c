package usage

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// trueOffset is the offset of true time in these tests.
const trueOffset = 1_700_000_000 * time.Second

func wallAt(now time.Time, wrong time.Duration) time.Time { return now.Add(trueOffset + wrong) }

// Guards against windows that follow a wall clock that is ahead, behind, or jumps and jumps back, of the holder or of a
// minority of the others.
func TestMedianIgnoresMinorityOfJumps(t *testing.T) {
	for name, wrong := range map[string]func(instance, step int) time.Duration{
		"holder ahead":  func(i, _ int) time.Duration { return map[int]time.Duration{0: 2 * time.Second}[i] },
		"holder behind": func(i, _ int) time.Duration { return map[int]time.Duration{0: -2 * time.Second}[i] },
		"holder and back": func(i, step int) time.Duration {
			return map[bool]time.Duration{true: 2 * time.Second}[i == 0 && step > 5 && step < 12]
		},
		"minority": func(i, step int) time.Duration {
			return map[bool]time.Duration{true: time.Duration(i-2) * 3 * time.Second}[i < 4 && step > 5]
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := &ClockEstimate{}
			for step := range 20 {
				now := start.Add(time.Duration(step) * 500 * time.Millisecond)
				for i := range 9 {
					late := time.Duration(i) * time.Millisecond
					c.ObserveStatement(now, fmt.Sprint(i), wallAt(now, wrong(i, step)-late))
				}
				c.ObserveOwn(now, wallAt(now, wrong(0, step)))
				e := c.Estimate(now, true)
				require.Equal(t, Median, e.Source)
				require.InDelta(t, trueOffset.Seconds(), e.Offset.Seconds(), 0.01)
				require.Less(t, e.Bound, time.Second+600*time.Millisecond)
			}
		})
	}
}

// Guards against a holder that takes messages for new which had waited while its process was suspended.
func TestMedianIgnoresDelayedMessages(t *testing.T) {
	c := &ClockEstimate{}
	for step := range 4 {
		for i := range 5 {
			now := start.Add(time.Duration(step) * 500 * time.Millisecond)
			c.ObserveStatement(now, fmt.Sprint(i), wallAt(now, 0))
		}
	}
	resumed := start.Add(3 * time.Second)
	for i := range 5 {
		c.ObserveStatement(resumed, fmt.Sprint(i), wallAt(resumed, -1500*time.Millisecond))
	}
	e := c.Estimate(resumed, true)
	require.Equal(t, trueOffset, e.Offset)
}

// Guards against an instance that leaves the holder's time, or takes it from a message that was delayed.
func TestAdoptedTime(t *testing.T) {
	c := &ClockEstimate{}
	now := start
	c.ObserveOwn(now, wallAt(now, 2*time.Second))
	require.Equal(t, OwnClock, c.Estimate(now, false).Source)
	sent := wallAt(now, 2*time.Second).UnixMilli()
	c.RecordSent(now, sent)
	now = now.Add(20 * time.Millisecond)
	require.False(t, c.Adopt(now, &Acknowledgement{EchoMillis: sent + 1, TrueMillis: wallAt(now, 0).UnixMilli()}), "not an answer")
	require.True(t, c.Adopt(now, &Acknowledgement{EchoMillis: sent, TrueMillis: wallAt(now, -10*time.Millisecond).UnixMilli(), BoundMillis: 5}))
	e := c.Estimate(now, false)
	require.Equal(t, Adopted, e.Source)
	require.InDelta(t, trueOffset.Seconds(), e.Offset.Seconds(), 0.002)
	require.Less(t, e.Bound, 20*time.Millisecond)
	c.RecordSent(now, sent+500)
	late := now.Add(2 * time.Second)
	require.False(t, c.Adopt(late, &Acknowledgement{EchoMillis: sent + 500, TrueMillis: wallAt(now, 0).UnixMilli()}))
	require.Equal(t, e.Offset, c.Estimate(late, false).Offset, "it is kept while no acknowledgement comes")
	require.Equal(t, e.Offset, c.Estimate(late, true).Offset, "also by a holder that knows fewer than three clocks")
}

// Guards against a single instance whose windows move with a short jump of its clock.
func TestOwnClockIgnoresShortJump(t *testing.T) {
	c := &ClockEstimate{}
	for step := range 40 {
		now := start.Add(time.Duration(step) * 500 * time.Millisecond)
		c.ObserveOwn(now, wallAt(now, map[bool]time.Duration{true: -2 * time.Second}[step >= 10 && step < 18]))
		require.Equal(t, trueOffset, c.Estimate(now, true).Offset)
	}
}
