package workload_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/engine/policy"
	"bambooferry.example/bambooferry/pkg/workload"
)

// evenPace reads 5 tokens a millisecond and writes one in 6 ms at every target; slow takes twice as long.
type evenPace struct{}

func (evenPace) Slowness(_ time.Time, target string) float64 {
	if target == "slow" {
		return 2
	}
	return 1
}
func (evenPace) ReadTime() time.Duration { return 200 * time.Microsecond }
func (evenPace) StepTime() time.Duration { return 6 * time.Millisecond }

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	stream = workload.Work{Read: 5000, Write: 500}
)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against own requests that count late, that age at the wrong pace, or that stay after their end.
func TestOwnRequests(t *testing.T) {
	b := workload.Backlog{Pace: evenPace{}}
	b.Begin(start, "a", "1", stream)
	require.Equal(t, workload.Remaining{Streams: 1, Readers: 1, Read: 5000, Write: 500, Memory: 5500}, b.At(start, "a"))
	require.InDelta(t, 3000, b.At(after(400), "a").Read, 1)
	b.Begin(after(400), "a", "2", stream)
	require.InDelta(t, 8000, b.At(after(400), "a").Read, 1, "prompts are read one after the other")
	require.EqualValues(t, 10000, b.Local(after(400))["a"].Read, "a prompt is stated whole until its first output")
	b.FirstOutput(after(500), "a", "1")
	require.InDelta(t, 5000, b.At(after(500), "a").Read, 1, "the second prompt was not begun before the first output")
	b.FirstOutput(after(1500), "a", "2")
	b.Progress(after(1500), "a", "1", 200)
	require.Zero(t, b.At(after(1500), "a").Read)
	require.InDelta(t, 800, b.At(after(1500), "a").Write, 1)
	require.InDelta(t, 600, b.At(after(2100), "a").Write, 1, "both streams go on")
	b.Progress(after(2100), "a", "1", 5000)
	require.Greater(t, b.At(after(2100), "a").Write, 500.0, "something is left of a stream that has not ended")
	b.End(after(2100), "a", "1")
	b.End(after(2100), "a", "2")
	require.Zero(t, b.At(after(2100), "a"))
	require.Empty(t, b.Local(after(2100)))
	b.Begin(start, "slow", "3", stream)
	require.InDelta(t, 4000, b.At(after(400), "slow").Read, 1)
}

// Guards against a target that does not respond and seems to have nothing to do once its prompts should have been read.
func TestOverduePrompts(t *testing.T) {
	b := workload.Backlog{Pace: evenPace{}}
	b.Begin(start, "a", "1", stream)
	require.Greater(t, b.At(after(1200), "a").Read, 900.0)
	require.Greater(t, b.At(after(5000), "a").Read, 4900.0)
	b.SetRemote(start, "i", map[string]workload.Remaining{"b": {Streams: 1, Readers: 1, Read: 5000, Write: 500, Memory: 5500}})
	require.Zero(t, b.At(after(1000), "b").Read, "the news of its first output may be on its way")
	require.Greater(t, b.At(after(2800), "b").Read, 4900.0)
}

// Guards against others' work that is not counted, does not age, or stays when it is not stated any more: a frozen or dead
// instance's is gone after 3 s.
func TestRemoteWork(t *testing.T) {
	b := workload.Backlog{Pace: evenPace{}}
	stated := map[string]workload.Remaining{"a": {Streams: 2, Readers: 1, Read: 5000, Write: 800, Memory: 11000}}
	b.SetRemote(start, "i", stated)
	b.SetRemote(start, "j", map[string]workload.Remaining{"b": {Streams: 1, Write: 500, Memory: 5000}})
	there := b.At(start, "a")
	require.Equal(t, 2, there.Streams)
	require.InDelta(t, 4125, there.Read, 1, "a statement is 175 ms old on average")
	require.EqualValues(t, 11000, there.Memory)
	require.Less(t, b.At(after(600), "a").Read, 1200.0)
	require.Less(t, b.At(after(600), "b").Write, 420.0)
	b.SetRemote(after(700), "i", map[string]workload.Remaining{"a": {Streams: 2, Write: 700, Memory: 11000}})
	require.Zero(t, b.At(after(700), "a").Read, "first outputs end reading")
	b.SetRemote(after(900), "i", nil)
	require.Zero(t, b.At(after(900), "a"))
	require.Equal(t, 1, b.At(after(3000), "b").Streams)
	require.Zero(t, b.At(after(3001), "b"))
}

// Guards against earlier prompts of others that still seem to be unread when a later own one has its first output.
func TestFirstOutputShowsThatEarlierPromptsAreRead(t *testing.T) {
	b := workload.Backlog{Pace: evenPace{}}
	other := map[string]workload.Remaining{"a": {Streams: 1, Readers: 1, Read: 5000, Write: 500, Memory: 5500}}
	b.SetRemote(start, "i", other)
	b.Begin(after(50), "a", "1", stream)
	require.Greater(t, b.At(after(500), "a").Read, 5000.0)
	b.FirstOutput(after(500), "a", "1")
	require.Zero(t, b.At(after(500), "a").Read)
	b.SetRemote(after(600), "i", other)
	require.Zero(t, b.At(after(600), "a").Read, "a repeated statement adds nothing")
}

// Guards against false statements that make a target seem idle or busy for ever, or that spoil sums.
func TestFalseStatements(t *testing.T) {
	b := workload.Backlog{Pace: evenPace{}}
	b.Begin(start, "own", "1", stream)
	for name, r := range map[string]workload.Remaining{
		"negative": {Streams: 1, Readers: 1, Read: -1e9, Write: -5, Memory: -1}, "huge": {Streams: 1, Readers: 1, Read: 1e18, Write: 1e300, Memory: 1e18},
		"nan": {Streams: 1, Readers: 1, Read: math.NaN(), Write: math.Inf(1), Memory: math.NaN()}, "former build": {Streams: 1, Readers: 1},
	} {
		b.SetRemote(start, "liar", map[string]workload.Remaining{"a": r})
		there := b.At(start, "a")
		require.InDelta(t, 2500, there.Read, 1000, name)
		require.InDelta(t, 500, there.Write, 1, name)
		require.InDelta(t, 5500, there.Memory, 1, name)
	}
	b.SetRemote(start, "liar", map[string]workload.Remaining{"a": {Streams: -5, Readers: 9, Read: 5}})
	require.Zero(t, b.At(start, "a"))
	b.SetRemote(start, "liar", map[string]workload.Remaining{"a": {Streams: math.MaxInt, Readers: math.MaxInt}})
	require.LessOrEqual(t, b.At(start, "a").Streams, 4096)
}

// Guards against sums that drift, turn negative or outlive the requests, whatever the order of events.
func TestBacklogStaysConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := workload.Backlog{Pace: evenPace{}}, start
		target := rapid.SampledFrom([]string{"a", "slow"})
		id := rapid.SampledFrom([]string{"1", "2", "3"})
		amount := rapid.Float64Range(0, 20000)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			name, request := target.Draw(t, "target"), id.Draw(t, "id")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				b.End(now, name, request)
				b.Begin(now, name, request, workload.Work{Read: amount.Draw(t, "read"), Write: amount.Draw(t, "write")})
			case 1:
				b.FirstOutput(now, name, request)
			case 2:
				b.Progress(now, name, request, amount.Draw(t, "written"))
			case 3:
				b.End(now, name, request)
			default:
				n := rapid.IntRange(-1, 3).Draw(t, "streams")
				b.SetRemote(now, request, map[string]workload.Remaining{name: {Streams: n, Readers: min(n, 1), Read: amount.Draw(t, "read"), Write: amount.Draw(t, "write")}})
			}
			for _, name := range []string{"a", "slow"} {
				r := b.At(now, name)
				require.True(t, r.Read >= 0 && r.Write >= 0 && r.Memory >= 0 && r.Streams >= 0 && r.Readers <= r.Streams, "%+v", r)
				require.LessOrEqual(t, r.Read, 6*131072.0+6*20000)
			}
		}
		for _, name := range []string{"a", "slow"} {
			for _, request := range []string{"1", "2", "3"} {
				for range 40 {
					b.End(now, name, request)
				}
			}
			require.Zero(t, b.At(now.Add(3001*time.Millisecond), name))
		}
	})
}

func predict(p *workload.Predictor, w workload.Work, target string) workload.Prediction {
	return p.Predict(start, w, 2*time.Second, &policy.Candidate{Name: target, Slots: 4})
}

// Guards against predictions that ignore the prompts ahead, the streams that a prompt delays, the target's speed, its slots
// or its memory.
func TestPrediction(t *testing.T) {
	b := &workload.Backlog{Pace: evenPace{}}
	p := &workload.Predictor{Backlog: b, Memory: func(string) float64 { return 15000 }}
	idle := predict(p, stream, "a")
	require.Equal(t, workload.Prediction{FirstOutput: time.Second, Finish: 4 * time.Second, Fits: true}, idle)
	require.Equal(t, 2*idle.Finish, predict(p, stream, "slow").Finish)
	b.Begin(start, "a", "1", stream)
	one := predict(p, stream, "a")
	require.Equal(t, 2*time.Second, one.FirstOutput)
	require.InDelta(t, 0.7, one.DelayToOthers.Seconds(), 0.1, "by nearly the reading time")
	require.True(t, one.Fits)
	b.Begin(start, "a", "2", workload.Work{Write: 5000})
	two := predict(p, stream, "a")
	require.InDelta(t, 1.5, two.DelayToOthers.Seconds(), 0.1)
	require.False(t, two.Fits)
	require.False(t, two.Late)
	b.Begin(start, "a", "3", workload.Work{Read: 100, Write: 1})
	require.True(t, predict(p, stream, "a").Late)
	b.Begin(start, "b", "4", workload.Work{Write: 2})
	require.Less(t, predict(p, stream, "b").DelayToOthers, 13*time.Millisecond, "at most what it still has to write")
	for i := range 4 {
		b.Begin(start, "c", fmt.Sprint(i), workload.Work{Write: 1000})
	}
	require.Greater(t, predict(p, stream, "c").FirstOutput, 2*time.Second, "waits for a slot")
}

// Guards against calls that wait at a busy or slow server while another is idle.
func TestPredictionOfCalls(t *testing.T) {
	b := &workload.Backlog{Pace: evenPace{}}
	p := &workload.Predictor{Backlog: b}
	call := workload.Work{Call: 30 * time.Millisecond}
	require.Equal(t, 30*time.Millisecond, predict(p, call, "a").Finish)
	require.Equal(t, 60*time.Millisecond, predict(p, call, "slow").Finish)
	for i := range 4 {
		b.Begin(start, "a", fmt.Sprint(i), call)
	}
	require.InDelta(t, 60, predict(p, call, "a").Finish.Milliseconds(), 1, "4 x 30 ms in 4 slots")
	require.InDelta(t, 20, b.Local(start)["a"].Write, 0.1, "calls are stated in steps of 6 ms")
}

// Guards against a backup at an engine that has no room, or much to do while another is idle.
func TestPredictionOfCopies(t *testing.T) {
	b := &workload.Backlog{Pace: evenPace{}}
	p := &workload.Predictor{Backlog: b, Memory: func(string) float64 { return 20000 }}
	copyAt := func(target string) workload.Prediction {
		return p.PredictCopy(start, stream, &policy.Candidate{Name: target, Slots: 4})
	}
	b.BeginCopy(start, "a", "1", workload.Work{Read: 10000})
	require.Equal(t, workload.Remaining{Memory: 10000}, b.At(start, "a"), "a copy costs memory, not time")
	require.Greater(t, copyAt("a").DelayToOthers, copyAt("b").DelayToOthers, "room in memory is preferred")
	require.Equal(t, copyAt("a").Finish, copyAt("b").Finish)
	require.True(t, copyAt("a").Fits)
	b.BeginCopy(start, "a", "2", workload.Work{Read: 9000})
	require.False(t, copyAt("a").Fits)
	b.Begin(start, "c", "3", stream)
	require.Greater(t, copyAt("c").Finish, copyAt("b").Finish)
}

// Guards against statements that change on their way.
func TestCounts(t *testing.T) {
	r := workload.Remaining{Streams: 3, Readers: 1, Read: 5000.04, Write: 812.26, Memory: 16000}
	require.Equal(t, engine.RequestCounts{Running: 3, Pending: 1, Read: 5000, Write: 812.3, Memory: 16000}, r.Counts())
	require.Equal(t, workload.Remaining{Streams: 3, Readers: 1, Read: 5000, Write: 812.3, Memory: 16000}, workload.FromCounts(r.Counts()))
}
