package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return start.Add(d) }

func stream(workspace string, hint int) Request {
	return Request{Route: "chat", Workspace: workspace, PromptTokens: 5200, OutputTokens: 4000, OutputHint: hint}
}

// Guards against an estimate that a few long outputs among requests that look alike pull away from the usual one.
func TestUnevenOutputs(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	e := &Estimator{}
	for i := range 400 {
		output := 700 * math.Exp(0.5*rng.NormFloat64())
		if i%20 == 0 {
			output = 4000
		}
		e.RecordOutput(after(time.Duration(i)*time.Second), stream("a", 0), int(output))
	}
	now := after(400 * time.Second)
	require.InEpsilon(t, 720, e.Estimate(now, stream("a", 0)).Write, 0.15)
	require.InEpsilon(t, 700*math.Exp(0.5*1.28), e.Quantile(now, stream("a", 0), 0.87).Write, 0.25)
	require.InDelta(t, 5200, e.Estimate(now, stream("a", 0)).Read, 0)
}

// Guards against trust in a hint that is wrong by a factor, and against loss of what it says nevertheless.
func TestWrongHintIsLearned(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	e := &Estimator{}
	for i := range 200 {
		output := 100 + rng.IntN(2900)
		hint := int(float64(output) * 3 * (0.95 + 0.1*rng.Float64()))
		e.RecordOutput(after(time.Duration(i)*time.Second), stream("a", hint), output)
	}
	for _, output := range []int{150, 600, 2500} {
		require.InEpsilon(t, output, e.Estimate(start, stream("a", 3*output)).Write, 0.1)
		// A workspace without history gets what the route has shown.
		require.InEpsilon(t, output, e.Estimate(start, stream("b", 3*output)).Write, 0.1)
	}
}

// Guards against a hint without meaning that replaces steady outputs.
func TestRandomHintIsIgnored(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	e := &Estimator{}
	for i := range 200 {
		e.RecordOutput(after(time.Duration(i)*time.Second), stream("a", 1+rng.IntN(4000)), 650+rng.IntN(100))
	}
	for _, hint := range []int{1, 100, 3900} {
		require.InEpsilon(t, 700, e.Estimate(start, stream("a", hint)).Write, 0.1)
	}
}

// Guards against memory that grows with the names of requesters, and against a flood at one route that takes the
// histories of others.
func TestFloodOfKeys(t *testing.T) {
	e := &Estimator{}
	for i := range 50 {
		e.RecordOutput(after(time.Duration(i)*time.Second), Request{Route: "quiet", PromptTokens: 100}, 90)
	}
	for i := range 20_000 {
		e.RecordOutput(after(time.Minute), stream(fmt.Sprint("w", i), 1000), 700)
		require.LessOrEqual(t, e.keys.order.Len()+e.routes.order.Len(), 512)
		if i%100 == 0 {
			e.RecordOutput(after(time.Minute), stream("busy", 1000), 300)
		}
	}
	require.InEpsilon(t, 300, e.Estimate(start, stream("busy", 0)).Write, 0.05)
	require.Equal(t, e.keys.order.Len(), len(e.keys.elements))
	require.InEpsilon(t, 90, e.Estimate(start, Request{Route: "quiet", PromptTokens: 100}).Write, 0.05)
	require.InEpsilon(t, 700, e.Estimate(start, stream("w0", 0)).Write, 0.05)
	for i := range 1000 {
		e.RecordCall(start, Request{Route: fmt.Sprint("r", i), Bytes: i}, time.Millisecond, 1)
	}
	require.LessOrEqual(t, e.keys.order.Len()+e.routes.order.Len(), 512)
}

// Guards against estimates of nothing or without bound before the first request has ended.
func TestNoHistory(t *testing.T) {
	e := &Estimator{}
	require.Equal(t, Work{Read: 5200, Write: 3200}, e.Estimate(start, stream("a", 0)))
	require.Equal(t, Work{Read: 5200, Write: 3200}, e.Estimate(start, stream("a", 50)))
	require.Equal(t, Work{Read: 10, Write: defaultOutput}, e.Estimate(start, Request{PromptTokens: 10}))
	require.Equal(t, Work{Read: 10, Write: 50}, e.Estimate(start, Request{PromptTokens: 10, OutputHint: 50}))
	require.Equal(t, Work{Call: defaultCall}, e.Estimate(start, Request{Route: "book", Bytes: 300}))
	// One unusual output does not decide for all that follow.
	e.RecordOutput(start, stream("a", 0), 1)
	require.Greater(t, e.Estimate(start, stream("a", 0)).Write, 200.0)
}

// Guards against a history that outweighs a lasting change, in a busy key (by number) and a quiet one (by age).
func TestDecayAfterShift(t *testing.T) {
	for _, c := range []struct {
		every  time.Duration
		needed int
	}{{100 * time.Millisecond, keyGeneration + 1}, {5 * time.Second, 2 * enoughValues}} {
		e := &Estimator{}
		now := start
		record := func(n, output int) {
			for range n {
				now = now.Add(c.every)
				e.RecordOutput(now, stream("a", 0), output)
			}
		}
		record(300, 2000)
		require.InEpsilon(t, 2000, e.Estimate(now, stream("a", 0)).Write, 0.05)
		record(c.needed, 200)
		require.InEpsilon(t, 200, e.Estimate(now, stream("a", 0)).Write, 0.05, c.every)
	}
}

// Guards against calls that seem expensive only because they ran on slow machines, and against one size class for all.
func TestCalls(t *testing.T) {
	e := &Estimator{}
	for i := range 60 {
		slowness := []float64{0.6, 2.5}[i%2]
		took := time.Duration(slowness * float64(20*time.Millisecond))
		e.RecordCall(start, Request{Route: "book", Bytes: 300}, took, slowness)
		e.RecordCall(start, Request{Route: "book", Bytes: 30_000}, 200*time.Millisecond, 0)
	}
	require.InEpsilon(t, 20*time.Millisecond, e.Estimate(start, Request{Route: "book", Bytes: 290}).Call, 0.05)
	require.InEpsilon(t, 200*time.Millisecond, e.Estimate(start, Request{Route: "book", Bytes: 29_000}).Call, 0.05)
}

// Guards against overflow, NaN and results beyond the declared maximum for any numbers in headers.
func TestQuantileBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		number := rapid.OneOf(rapid.Int(), rapid.IntRange(-1, 5000))
		request := rapid.Custom(func(rt *rapid.T) Request {
			return Request{
				rapid.SampledFrom([]string{"", "x", "y"}).Draw(rt, "route"), "w",
				number.Draw(rt, "prompt"), number.Draw(rt, "output"), number.Draw(rt, "hint"), number.Draw(rt, "bytes"),
			}
		})
		e := &Estimator{}
		for i := range rapid.IntRange(0, 40).Draw(rt, "n") {
			now := after(time.Duration(i) * time.Minute)
			e.RecordOutput(now, request.Draw(rt, "stream"), number.Draw(rt, "tokens"))
			took := time.Duration(number.Draw(rt, "took"))
			e.RecordCall(now, request.Draw(rt, "call"), took, rapid.Float64().Draw(rt, "slowness"))
		}
		r := request.Draw(rt, "request")
		last := Work{}
		for _, q := range []float64{-1, 0, 0.1, 0.5, 0.9, 1, 2} {
			w := e.Quantile(start, r, q)
			require.False(rt, math.IsNaN(w.Write) || math.IsInf(w.Write, 0))
			require.GreaterOrEqual(rt, w.Write, last.Write)
			require.GreaterOrEqual(rt, w.Call, last.Call)
			if r.OutputTokens > 0 {
				require.LessOrEqual(rt, w.Write, float64(r.OutputTokens))
			}
			last = w
		}
	})
}

// Guards against remaining work that is counted in events where it is compared with tokens.
func TestEventSize(t *testing.T) {
	s := &EventSize{}
	require.InDelta(t, 1, s.TokensPerEvent(), 0)
	for i := range 200 {
		tokens := 400 + i%10*100 // one in ten reaches its declared maximum
		s.Record(start, 1300, (tokens+7)/8)
		s.Record(start, 0, 5)
		s.Record(start, 5, 0)
	}
	require.InEpsilon(t, 8, s.TokensPerEvent(), 0.05)
}

func BenchmarkEstimate(b *testing.B) {
	e := &Estimator{}
	for i := range 10_000 {
		e.RecordOutput(start, stream(fmt.Sprint(i%300), 1+i%999), i%1000)
	}
	r := stream("7", 400)
	b.ReportAllocs()
	for b.Loop() {
		e.Estimate(start, r)
	}
}
