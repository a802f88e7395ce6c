package usage

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulated is one instance of a simulation; its steady clock has an origin of its own.
type simulated struct {
	name        string
	incarnation int64
	origin      time.Duration
	wrong       time.Duration
	phase       time.Duration
	counter     *Counter
	clock       *ClockEstimate
	downUntil   time.Duration
}

func (s *simulated) now(at time.Duration) time.Time  { return start.Add(s.origin + at) }
func (s *simulated) wall(at time.Duration) time.Time { return simulatedTrue(at).Add(s.wrong) }
func simulatedTrue(at time.Duration) time.Time       { return time.Unix(1_767_225_600, 0).Add(at) }
func (s *simulated) estimate(at time.Duration) time.Time {
	e := s.clock.Estimate(s.now(at), false)
	return e.At(s.now(at))
}

// fleet simulates instances without a network: messages arrive at once or are lost.
type fleet struct {
	rng       *rand.Rand
	list      []*simulated
	holder    *ClockEstimate
	collector *Collector
	truth     Totals
	loss      float64
}

const simulatedWindow = 5 * time.Second

func newFleet(n int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(7, 9)), holder: &ClockEstimate{}, collector: &Collector{}, truth: Totals{}, loss: 0.03}
	for i := range n {
		f.list = append(f.list, &simulated{
			name: fmt.Sprint("i", i), incarnation: 1, origin: time.Duration(f.rng.IntN(1000)) * time.Second,
			wrong: time.Duration(f.rng.IntN(60)-30) * time.Millisecond, phase: time.Duration(f.rng.IntN(10)) * 50 * time.Millisecond,
			counter: &Counter{}, clock: &ClockEstimate{},
		})
	}
	return f
}

// step simulates 50 ms.
func (f *fleet) step(at time.Duration) {
	window := WindowOf(simulatedTrue(at), simulatedWindow)
	for _, s := range f.list {
		if at < s.downUntil {
			continue
		}
		if len(s.clock.own) == 0 {
			s.clock.ObserveOwn(s.now(at), s.wall(at))
		}
		if (at-s.phase)%SendInterval == 0 {
			f.send(at, s)
		}
		for ws := range 20 {
			if f.rng.Float64() < 0.02*float64(1+ws%3) {
				name := fmt.Sprint("w", ws)
				f.truth.set(window, name, f.truth[window][name]+1)
				s.counter.Add(s.now(at), WindowOf(s.estimate(at), simulatedWindow), name)
			}
		}
	}
}

func (f *fleet) send(at time.Duration, s *simulated) {
	now, wall := s.now(at), s.wall(at)
	s.clock.ObserveOwn(now, wall)
	since, all := Selection(now, s.estimate(at), simulatedWindow)
	m := counts(s.name, s.incarnation, Totals{})
	m.ClockMillis = wall.UnixMilli()
	s.counter.AppendTotals(m.Windows, WindowOf(s.estimate(at), simulatedWindow), since, all)
	s.clock.RecordSent(now, m.ClockMillis)
	if f.rng.Float64() < f.loss {
		return
	}
	holderNow := start.Add(at)
	f.holder.ObserveStatement(holderNow, s.name, time.UnixMilli(m.ClockMillis))
	e := f.holder.Estimate(holderNow, true)
	f.collector.Add(holderNow, WindowOf(e.At(holderNow), simulatedWindow), m)
	if f.rng.Float64() >= f.loss {
		s.clock.Adopt(now, &Acknowledgement{Instance: "h", TrueMillis: e.At(holderNow).UnixMilli(), EchoMillis: m.ClockMillis})
	}
}

// kill ends an instance, which is started again later with an empty counter.
func (f *fleet) kill(at time.Duration, s *simulated) {
	s.downUntil = at + time.Duration(500+f.rng.IntN(1500))*time.Millisecond
	s.incarnation++
	s.counter, s.clock = &Counter{}, &ClockEstimate{}
}

// Guards against reports that are off by more than one in twenty: a tenth of 300 instances are killed in a window after
// they told their counts, clocks jump at a minority, and messages are lost.
func TestCountsOfManyInstances(t *testing.T) {
	f := newFleet(300)
	const kills = 30
	windows, worst := 0, 0.0
	for at := time.Duration(0); at < 40*time.Second; at += 50 * time.Millisecond {
		f.step(at)
		if killing := at - 15*time.Second; killing >= 0 && killing < 5*time.Second && int(killing/(50*time.Millisecond))*kills/100 != int((killing+50*time.Millisecond)/(50*time.Millisecond))*kills/100 {
			f.kill(at, f.list[f.rng.IntN(len(f.list))])
		}
		for i := range 60 {
			f.list[i].wrong = map[bool]time.Duration{true: time.Duration(i%5-2) * time.Second}[at > 12*time.Second && at < 26*time.Second]
		}
		if ended := at - closeDelay; ended > 0 && ended%simulatedWindow == 0 {
			w := WindowOf(simulatedTrue(ended), simulatedWindow) - 1
			windows++
			sum := f.collector.Sum(w)
			for name, n := range f.truth[w] {
				worst = max(worst, math.Abs(float64(sum[name]-n))/float64(n))
				require.InEpsilon(t, n, sum[name], 0.05, "%s in window %d", name, windows)
			}
		}
	}
	require.Equal(t, 7, windows)
	t.Logf("largest error %.4f", worst)
}
