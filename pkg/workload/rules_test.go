package workload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a new route that gets the defaults although all other routes need something else, and against a request
// whose headers lack numbers and that gets no output although its route has streams.
func TestFallbacks(t *testing.T) {
	e := &Estimator{}
	for range enoughValues {
		e.RecordOutput(start, stream("a", 0), 700)
		e.RecordCall(start, Request{Route: "book", Bytes: 300}, 80*time.Millisecond, 1)
	}
	require.InEpsilon(t, 700, e.Estimate(start, Request{Route: "new", PromptTokens: 10}).Write, 0.02)
	require.InEpsilon(t, 80*time.Millisecond, e.Estimate(start, Request{Route: "new"}).Call, 0.02)
	require.InEpsilon(t, 700, e.Estimate(start, Request{Route: "chat"}).Write, 0.02)
	require.Zero(t, e.Estimate(start, Request{Route: "book"}).Write)
}

// Guards against the loss of values that are too large for the histogram, which would leave only the small ones.
func TestHugeValuesCount(t *testing.T) {
	e := &Estimator{}
	for i := range 60 {
		e.RecordCall(start, Request{Route: "book"}, []time.Duration{time.Second, 2 * time.Hour, 2 * time.Hour}[i%3], 1)
	}
	require.Greater(t, e.Estimate(start, Request{Route: "book"}).Call, 30*time.Minute)
}

// Guards against interference at a former process that is expected of the new one.
func TestRestartForgetsStatement(t *testing.T) {
	p := &Paces{}
	for i := range 10 {
		state(t, p, after(time.Duration(i)*time.Second), 1, 1)
	}
	state(t, p, after(10*time.Second), 1, 2.5)
	p.RecordRestart(after(10*time.Second), address(1))
	require.InDelta(t, 1, p.Slowness(after(10*time.Second), address(1)), 0.01)
}

// Guards against callers that read the clock in another order and make a target forget its newest statement.
func TestSlightlyOldTime(t *testing.T) {
	p := &Paces{}
	state(t, p, after(time.Second), 1, 2)
	state(t, p, after(time.Second-time.Millisecond), 1, 1)
	require.InDelta(t, 2, p.Slowness(after(time.Second), address(1)), 0)
	require.Equal(t, Statement{2, after(time.Second)}, p.LocalStatements(after(time.Second))[address(1)])
}

// Guards against measurements that displace what the target states, and against those of one target taken as usual at once.
func TestMeasurementsGiveWay(t *testing.T) {
	p := &Paces{}
	now := start
	for i := range 40 {
		if i%4 == 0 {
			state(t, p, now, 1, 1)
		}
		if i == usualEnough-1 {
			require.Equal(t, defaultReadTime, p.ReadTime())
		}
		p.RecordReading(now, address(1), 1000, 100*time.Millisecond)
		p.RecordReading(now, address(2), 1000, 300*time.Millisecond)
		now = now.Add(2 * time.Second)
	}
	require.Equal(t, 100*time.Microsecond, p.ReadTime())
	require.InDelta(t, 1, p.Base(now, address(1)), 0.01)
	require.InDelta(t, 3, p.Base(now, address(2)), 0.01)
	for range 10 {
		now = now.Add(time.Second)
		state(t, p, now, 1, 1)
		for range 4 {
			now = now.Add(2400 * time.Millisecond)
			p.RecordReading(now, address(1), 1000, 200*time.Millisecond)
			require.InDelta(t, 1, p.Base(now, address(1)), 0.01)
		}
	}
}

// Guards against a pool whose median is that of targets that are long gone.
func TestMedianOfPresentTargets(t *testing.T) {
	p := &Paces{}
	for i := range 100 {
		for s := range minSamples {
			state(t, p, after(time.Duration(s)*time.Second), i, 2)
		}
	}
	for s := range 2 * minSamples {
		for i := 100; i < 140; i++ {
			state(t, p, after(medianAge+time.Duration(5+s)*time.Second), i, 0.5)
		}
	}
	require.InDelta(t, 0.5, p.Slowness(after(medianAge+20*time.Second), address(999)), 0.01)
}

// Guards against spells of interference taken for a restart, and against machines that became faster and are found late.
func TestRunsBySide(t *testing.T) {
	p := &persistence{}
	for i := range 100 {
		p.recordStatement([]float64{1, 1, 1, 1, 2.5}[i%5], 1)
	}
	require.Equal(t, minRunStatements, p.runStatements(false))
	require.Equal(t, 6, p.runStatements(true), "0.19 to the power of 6 is below 0.0001, to the power of 5 it is not")
}

// Guards against a persistence that no longer changes after a long time.
func TestPersistenceFollowsChange(t *testing.T) {
	p := &persistence{}
	play := func(pairs int, lasts time.Duration) {
		for i := range pairs {
			p.recordStatement([]float64{1, 1, 1, 1, 1, 1, 2.5}[i%7], 1)
			lag := time.Duration(100+100*(i%20)) * time.Millisecond
			p.recordPair(lag, lag < lasts)
		}
	}
	play(20_000, 1500*time.Millisecond)
	require.Greater(t, p.time(), 900*time.Millisecond)
	play(5000, 300*time.Millisecond)
	require.Less(t, p.time(), 350*time.Millisecond)
}
