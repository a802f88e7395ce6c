package work_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/engine/policy"
	"bambooferry.example/bambooferry/pkg/engine/policy/spread"
	"bambooferry.example/bambooferry/pkg/engine/policy/work"
	"bambooferry.example/bambooferry/pkg/workload"
)

func newPolicy(t testing.TB, name string, seed uint64) policy.Policy {
	p, err := policy.New(name, seed)
	require.NoError(t, err)
	return p
}

// candidates returns candidates of which the given predictions hold.
func candidates(predictions ...policy.Prediction) []policy.Candidate {
	byName := map[string]policy.Prediction{}
	list := make([]policy.Candidate, len(predictions))
	for i, p := range predictions {
		list[i] = policy.Candidate{Name: fmt.Sprint(i), Weight: 1, Predict: func(c *policy.Candidate) policy.Prediction { return byName[c.Name] }}
		byName[list[i].Name] = p
	}
	return list
}

// Guards against a target without room, or one that misses the objective, that is chosen because it is fast.
func TestOrderOfCandidates(t *testing.T) {
	inTime := policy.Prediction{Finish: 9 * time.Second, Fits: true}
	late := policy.Prediction{Finish: 2 * time.Second, Fits: true, Late: true}
	full := policy.Prediction{Finish: time.Second}
	costly := policy.Prediction{Finish: 7 * time.Second, DelayToOthers: 4 * time.Second, Fits: true}
	for seed := range uint64(50) {
		p := newPolicy(t, work.Name, seed)
		require.Equal(t, 2, p.Pick(time.Time{}, candidates(full, late, inTime)))
		require.Equal(t, 1, p.Pick(time.Time{}, candidates(full, late)))
		require.Equal(t, 0, p.Pick(time.Time{}, candidates(full)))
		require.Equal(t, 1, p.Pick(time.Time{}, candidates(costly, inTime)), "the delay to others counts")
		list := candidates(inTime, policy.Prediction{Finish: 6 * time.Second, Fits: true})
		list[1].Weight = 0.5
		require.Equal(t, 0, p.Pick(time.Time{}, list), "an unhealthy target is penalised")
		list = candidates(inTime, inTime)
		list[0].RoundTrip = time.Second
		require.Equal(t, 1, p.Pick(time.Time{}, list), "distance counts")
	}
}

// Guards against a request that is sent to a target without room while one outside of the first sample has room.
func TestSearchGoesOnBeyondTheSample(t *testing.T) {
	predictions := make([]policy.Prediction, 100)
	predictions[37].Fits = true
	for seed := range uint64(20) {
		require.Equal(t, 37, newPolicy(t, work.Name, seed).Pick(time.Time{}, candidates(predictions...)))
	}
}

// Guards against a herd: of the instances that all know of one idle engine, at most the share that sample it may choose it,
// and the fewer the more of the others' requests are not yet known.
func TestOneIdleEngineIsNotChosenByAll(t *testing.T) {
	for pending, most := range map[int]int{0: 2 * 300 * 16 / 120, 1: 2 * 300 * 4 / 120} {
		predictions := make([]policy.Prediction, 120)
		for i := range predictions {
			predictions[i] = policy.Prediction{Finish: 8 * time.Second, Fits: true}
		}
		predictions[7].Finish = 5 * time.Second
		list, chosen := candidates(predictions...), 0
		for i := range list {
			list[i].Pending = pending
		}
		for seed := range uint64(300) {
			if newPolicy(t, work.Name, seed).Pick(time.Time{}, list) == 7 {
				chosen++
			}
		}
		require.Less(t, chosen, most)
	}
}

// benchmarkPool returns a pool and predictor that know of the given targets, each with two streams of other instances.
func benchmarkPool(b *testing.B, targets, instances int) (*engine.Pool, *workload.Predictor, []engine.AvailableTarget) {
	d := &decider{}
	d.backlog.Pace = pacesByName{d}
	d.predict.Backlog = &d.backlog
	p := &engine.Pool{Policy: newPolicy(b, spread.Name, 1), PredictionPolicy: newPolicy(b, work.Name, 1)}
	var open []engine.AvailableTarget
	stated := make([]map[string]engine.RequestCounts, instances)
	for i := range targets {
		name := fmt.Sprint("t", i)
		open = append(open, engine.AvailableTarget{Name: name, Slots: 12})
		for k := range 2 {
			n := (2*i + k) % instances
			if stated[n] == nil {
				stated[n] = map[string]engine.RequestCounts{}
			}
			stated[n][name] = engine.RequestCounts{Running: 1, Pending: k, Read: float64(5200 * k), Write: 500, Memory: 6000}
		}
		require.NoError(b, d.paces.RecordStated(clock(0), addressOf(name), workload.Statement{Slowness: 1, At: clock(0)}, false))
	}
	for n, counts := range stated {
		left := map[string]workload.Remaining{}
		for name, c := range counts {
			left[name] = workload.FromCounts(c)
		}
		d.backlog.SetRemote(clock(0), fmt.Sprint(n), left)
		p.SetRemoteCounts(clock(0), fmt.Sprint(n), counts)
	}
	return p, &d.predict, open
}

func BenchmarkChoose(b *testing.B) {
	for _, size := range [][2]int{{280, 62}, {5300, 420}} {
		p, predict, open := benchmarkPool(b, size[0], size[1])
		now := clock(0.1)
		b.Run(fmt.Sprint(size[0], "/whole"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p.ChoosePredicted(now, open, nil, predict.For(now, workload.Work{Read: 5200, Write: 700}, 0))
			}
		})
		list := make([]policy.Candidate, len(open))
		b.Run(fmt.Sprint(size[0], "/policy"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f := predict.For(now, workload.Work{Read: 5200, Write: 700}, 0)
				for i, o := range open {
					list[i] = policy.Candidate{Name: o.Name, Slots: o.Slots, Weight: 1, Predict: f}
				}
				p.PredictionPolicy.Pick(now, list)
			}
		})
		b.Run(fmt.Sprint(size[0], "/counts"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p.ChooseCandidate(now, open, nil, nil)
			}
		})
	}
}
