package generation

import (
	"testing"
	"time"
)

// BenchmarkStep measures Step for one token of a healthy stream.
func BenchmarkStep(b *testing.B) {
	s := testStream()
	s.Step(t0, Event{Kind: Started})
	s.Step(t0, Event{Kind: Accepted, Attempt: 1, Target: "engine-a"})
	now := t0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(38 * time.Millisecond)
		s.Step(now, Event{Kind: TokenReceived, Attempt: 1, Position: uint64(i), Text: "token "})
		_ = s.NextTick()
	}
}

// BenchmarkGaps measures recording one token gap.
func BenchmarkGaps(b *testing.B) {
	g := &TimeoutEstimator{}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		g.ObserveGap(time.Duration(i%400) * time.Millisecond)
	}
}
