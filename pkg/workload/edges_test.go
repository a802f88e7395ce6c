package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a quantile that is NaN, as 0/0 in a caller gives, and makes the expected work NaN.
func TestQuantileNotANumber(t *testing.T) {
	e := &Estimator{}
	for _, r := range []Request{stream("a", 0), stream("a", 50), {Route: "book"}} {
		require.Equal(t, e.Estimate(start, r), e.Quantile(start, r, math.NaN()))
		e.RecordOutput(start, r, 300)
		e.RecordCall(start, r, time.Second, 1)
		require.Equal(t, e.Estimate(start, r), e.Quantile(start, r, math.NaN()))
	}
}

// Guards against a quiet key whose history no longer ages after the clock has stepped back.
func TestHistoryAgesAfterClockStep(t *testing.T) {
	e := &Estimator{}
	for i := range 300 {
		e.RecordOutput(after(time.Hour+time.Duration(i)*5*time.Second), stream("a", 0), 2000)
	}
	for i := range 2 * enoughValues {
		e.RecordOutput(after(time.Duration(i)*5*time.Second), stream("a", 0), 200)
	}
	require.InEpsilon(t, 200, e.Quantile(start, stream("a", 0), 0.95).Write, 0.05)
}

// Guards against declared maxima that mean "unlimited" and overflow to a bound of 0 tokens per event.
func TestEventSizeOfHugeMaxima(t *testing.T) {
	s := &EventSize{}
	for i := range 100 {
		s.Record(start, math.MaxInt, 100)
		if i%4 == 0 {
			s.Record(start, 800, 100)
		}
	}
	require.InEpsilon(t, 8, s.TokensPerEvent(), 0.05)
}

// Guards against a histogram that loses values or returns neighbouring quantiles, and a decay that keeps too many values
// or too few.
func TestDistribution(t *testing.T) {
	rng := rand.New(rand.NewPCG(6, 6))
	for _, scale := range []float64{3, 700, 1e6} {
		d := &distribution{}
		require.Zero(t, d.total())
		var recorded []float64
		for i := range 500 {
			v := int64(scale * math.Exp(rng.NormFloat64()))
			d.record(start, v, 64)
			recorded = append(recorded, float64(v))
			// The newer generation and the whole former one.
			kept := min(i+1, 64+i%64+1)
			require.EqualValues(t, kept, d.total())
			sorted := slices.Clone(recorded[len(recorded)-kept:])
			slices.Sort(sorted)
			for _, q := range []float64{0, 0.1, 0.5, 0.9, 1} {
				rank := q * float64(kept)
				low, high := sorted[max(int(math.Floor(rank))-1, 0)], sorted[min(int(math.Ceil(rank)), kept-1)]
				require.GreaterOrEqual(t, d.quantile(q), low*0.99, "q %g of %v", q, sorted)
				require.LessOrEqual(t, d.quantile(q), high*1.01, "q %g of %v", q, sorted)
			}
		}
	}
}

// Guards against statements that are ignored, and one that is believed, for as long as the clock has stepped back.
func TestPacesAfterClockStep(t *testing.T) {
	p := &Paces{}
	for i := range 20 {
		state(t, p, after(time.Hour+time.Duration(i)*time.Second), 1, 1)
		state(t, p, after(time.Hour+time.Duration(i)*time.Second), 2, 1)
	}
	p.RecordRestart(after(time.Hour+20*time.Second), address(2))
	state(t, p, after(time.Hour+20*time.Second), 1, 2.5)
	now := after(time.Minute)
	require.InDelta(t, 1, p.Slowness(now, address(1)), 0.01, "the last statement is of unknown age")
	require.Empty(t, p.LocalStatements(now), "their age would be negative")
	for i := range 30 {
		now = now.Add(time.Second)
		state(t, p, now, 1, 2)
		state(t, p, now, 2, 2)
		require.InDelta(t, 2, p.Slowness(now, address(1)), 0.01)
		require.Equal(t, Statement{2, now}, p.LocalStatements(now)[address(1)], i)
	}
	require.InDelta(t, 2, p.Base(now, address(1)), 0.01)
	require.InDelta(t, 2, p.Base(now, address(2)), 0.01)
}

// Guards against a target whose measurements are ignored, and that is avoided, until a clock that stepped back has caught
// up.
func TestMeasurementsAfterClockStep(t *testing.T) {
	p := &Paces{}
	late := after(time.Hour)
	for i := range 60 {
		late = late.Add(time.Second)
		state(t, p, late, 1, 1)
		state(t, p, late, 2, 1)
		state(t, p, late, 3, 2)
		p.RecordReading(late, address(1+i%2), 1000, 200*time.Millisecond)
	}
	now := start
	require.InDelta(t, 1, p.Base(now, address(3)), 0.01, "not confirmed by a figure from the future")
	for range 60 {
		now = now.Add(time.Second)
		p.RecordReading(now, address(2), 1000, 400*time.Millisecond)
	}
	require.InDelta(t, 2, p.Base(now, address(2)), 0.01)
}

// Guards against old messages about unknown addresses that displace targets in use.
func TestIgnoredStatementsAddNoTargets(t *testing.T) {
	p := &Paces{}
	for i := range maxAddresses {
		state(t, p, after(time.Duration(i)*time.Millisecond), i, 2)
	}
	unknown := netip.MustParseAddrPort("10.9.9.9:1")
	require.NoError(t, p.RecordStated(after(time.Minute), unknown, Statement{Slowness: 1}, false))
	require.Nil(t, p.elements[unknown])
	// A repeated statement does not make its target the last to be dropped.
	repeated := Statement{2, after(0)}
	require.NoError(t, p.RecordStated(after(time.Minute), address(0), repeated, false))
	state(t, p, after(time.Minute), maxAddresses, 1)
	require.Nil(t, p.elements[address(0)])
}

// Guards against histories that together take more than the 8 MB that an instance of 144 MB can spare: as many keys,
// routes and values as are kept, all with hints and with values that hardly share a bucket.
func TestMemoryIsBounded(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	heap := func() uint64 {
		runtime.GC()
		m := runtime.MemStats{}
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	e := &Estimator{}
	for route := range maxRoutes {
		for key := range maxKeys / maxRoutes {
			r := Request{Route: fmt.Sprint("r", route), Workspace: fmt.Sprint("w", key), PromptTokens: 1000}
			for range 2 * routeGeneration {
				output := int(math.Exp(rng.Float64() * math.Log(maxValue)))
				r.OutputHint = 1 + int(float64(output)*hintUnit/math.Exp(rng.Float64()*math.Log(maxValue)))
				e.RecordOutput(start, r, output)
			}
		}
	}
	used := heap() - before
	t.Logf("%d bytes", used)
	require.Less(t, used, uint64(8_000_000))
	require.Equal(t, 512, e.keys.order.Len()+e.routes.order.Len())
}
