package scaling

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	t0         = time.Unix(1000, 0)
	testLimits = Limits{Min: 1, Max: 200, BootTime: 8 * time.Second}
	centres    = []string{"a", "b", "c"}
)

const testStep = 500 * time.Millisecond

// simulation runs a plan against a platform that boots targets, and counts the orders.
type simulation struct {
	plan    Plan
	desired map[string]int
	// serving holds the targets that serve, and booting when others will.
	serving map[string]int
	booting map[string][]time.Time
	// perSecond, supply and view shape the inputs of a step at a time since the start.
	perSecond func(at time.Duration) float64
	demand    func(at time.Duration, d *Demand)
	supply    func(at time.Duration, s Supply)
	view      func(at time.Duration) View
	up, down  int
	most      int
	// log has the orders with their times.
	log []placed
}

type placed struct {
	at time.Duration
	Order
}

func newSimulation(each int, perSecond func(at time.Duration) float64) *simulation {
	s := &simulation{
		plan: Plan{Pool: "p", Limits: testLimits}, desired: map[string]int{}, serving: map[string]int{}, booting: map[string][]time.Time{},
		perSecond: perSecond, demand: func(time.Duration, *Demand) {}, supply: func(time.Duration, Supply) {}, view: func(time.Duration) View { return View{} },
	}
	for _, dc := range centres {
		s.desired[dc], s.serving[dc] = each, each
	}
	return s
}

// steady returns a constant rate.
func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// run runs steps from one time to another, and accepts all orders.
func (s *simulation) run(from, to time.Duration) {
	for at := from; at < to; at += testStep {
		for _, o := range s.step(at) {
			s.plan.RecordAccepted(o, 1)
			s.execute(at, o)
		}
	}
}

func (s *simulation) step(at time.Duration) []Order {
	now, supply := t0.Add(at), Supply{}
	for _, dc := range centres {
		for len(s.booting[dc]) > 0 && !s.booting[dc][0].After(now) {
			s.booting[dc] = s.booting[dc][1:]
			s.serving[dc]++
		}
		supply[dc] = DataCentre{Present: s.serving[dc]}
	}
	d := Demand{PerSecond: s.perSecond(at), ReadingTime: time.Second, Slots: 24}
	d.InProgress = int(5 * d.PerSecond)
	s.demand(at, &d)
	s.supply(at, supply)
	return s.plan.Step(now, d, supply, s.view(at))
}

func (s *simulation) execute(at time.Duration, o Order) {
	s.log = append(s.log, placed{at, o})
	if o.Desired > s.desired[o.DataCentre] {
		s.up++
	} else {
		s.down++
	}
	s.desired[o.DataCentre] = o.Desired
	s.most = max(s.most, s.total())
	for s.serving[o.DataCentre]+len(s.booting[o.DataCentre]) < o.Desired {
		s.booting[o.DataCentre] = append(s.booting[o.DataCentre], t0.Add(at+testLimits.BootTime))
	}
	for s.serving[o.DataCentre]+len(s.booting[o.DataCentre]) > o.Desired {
		if n := len(s.booting[o.DataCentre]); n > 0 {
			s.booting[o.DataCentre] = s.booting[o.DataCentre][:n-1]
		} else {
			s.serving[o.DataCentre]--
		}
	}
}

func (s *simulation) total() int {
	n := 0
	for _, d := range s.desired {
		n += d
	}
	return n
}

// Guards against a size that keeps one of the two bounds on the reading share only, or too few slots.
func TestSizeKeepsAllBounds(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		streams   int
		n, total  int
		why       string
	}{
		{perSecond: 30, n: 4, total: 60, why: WhyReading},
		{perSecond: 30, n: 3, total: 60, why: WhyReading},
		{perSecond: 31, n: 3, total: 63, why: WhyReadingLost},
		{perSecond: 30, n: 2, total: 80, why: WhyReadingLost},
		{perSecond: 30, n: 1, total: 60, why: WhyReading},
		{perSecond: 1, streams: 61, n: 3, total: 11, why: WhyStreams},
		{n: 3, total: 0, why: WhyReading},
	} {
		w := sizeFor(Demand{PerSecond: c.perSecond, ReadingTime: time.Second, Slots: 24}, c.streams, 1, c.n)
		require.Equal(t, need{total: c.total, why: c.why, growth: 1}, w, "%+v", c)
		if c.n > 1 {
			left := w.total - partOf(w.total, c.n, 0)
			require.LessOrEqual(t, c.perSecond, maxReadingShareLost*float64(left)+roundingSlack)
		}
	}
}

// Guards against a step in the demand that is answered late or in parts, and against an overshoot that stays.
func TestStepInDemand(t *testing.T) {
	s := newSimulation(10, func(at time.Duration) float64 {
		if at < 30*time.Second {
			return 15
		}
		return 30
	})
	s.run(0, 30*time.Second)
	require.Empty(t, s.log, "what is there is enough")
	s.run(30*time.Second, 31*time.Second)
	require.GreaterOrEqual(t, s.total(), 60, "a number goes up at once")
	s.run(31*time.Second, 120*time.Second)
	require.LessOrEqual(t, s.total(), 66)
	require.LessOrEqual(t, s.most, 90, "maxGrowth bounds what a step is taken for")
}

// Guards against a fall of the number in one go, or before less was needed for long enough, and against none at all.
func TestSlowDecline(t *testing.T) {
	s := newSimulation(20, func(at time.Duration) float64 {
		if at > 90*time.Second {
			return 3
		}
		return 30 - 0.2*at.Seconds()
	})
	s.run(0, 180*time.Second)
	require.Zero(t, s.up)
	require.LessOrEqual(t, s.total(), 8)
	last, at := map[string]int{"a": 20, "b": 20, "c": 20}, map[string]time.Duration{}
	for _, o := range s.log {
		before := last[o.DataCentre]
		require.LessOrEqual(t, before-o.Desired, max(before/4, 1))
		if former, ok := at[o.DataCentre]; ok {
			require.GreaterOrEqual(t, o.at-former, lowerInterval)
		}
		last[o.DataCentre], at[o.DataCentre] = o.Desired, o.at
	}
	require.GreaterOrEqual(t, s.log[0].at, holdTime)
}

// Guards against orders up and down with each wave of the demand.
func TestWaveCausesNoOscillation(t *testing.T) {
	s := newSimulation(20, func(at time.Duration) float64 { return 30 * (1 + 0.27*math.Sin(2*math.Pi*at.Seconds()/11)) })
	s.run(0, 5*time.Minute)
	require.Zero(t, s.down)
	require.Less(t, s.log[len(s.log)-1].at, 15*time.Second, "the first crest is followed, and the later ones need no order")
	require.LessOrEqual(t, s.most, 78, "no more than the crest takes")
}

// averaged returns what is counted of a rate over a window, with random arrivals.
func averaged(seed uint64, perSecond func(at time.Duration) float64, window time.Duration) func(at time.Duration) float64 {
	random, counts := rand.New(rand.NewPCG(seed, 1)), map[time.Duration]float64{}
	return func(at time.Duration) float64 {
		mean := perSecond(at) * testStep.Seconds()
		counts[at] = max(mean+math.Sqrt(mean)*random.NormFloat64(), 0)
		sum := 0.0
		for back := time.Duration(0); back < window; back += testStep {
			n, ok := counts[at-back]
			if !ok {
				n = perSecond(0) * testStep.Seconds()
			}
			sum += n
		}
		return sum / window.Seconds()
	}
}

// Guards against orders that follow the chance of arrivals, with the window in which instances count them.
func TestRandomArrivals(t *testing.T) {
	orders := 0
	for seed := range uint64(20) {
		s := newSimulation(21, averaged(seed, steady(31), 10*time.Second))
		s.demand = func(_ time.Duration, d *Demand) { d.Window = 10 * time.Second }
		s.run(0, 5*time.Minute)
		orders += s.up + s.down
		require.LessOrEqual(t, s.most, 90, "seed %d", seed)

		s = newSimulation(11, averaged(seed, func(at time.Duration) float64 { return map[bool]float64{false: 15, true: 30}[at >= 40*time.Second] }, 10*time.Second))
		s.demand = func(_ time.Duration, d *Demand) { d.Window = 10 * time.Second }
		s.run(0, 50*time.Second)
		require.GreaterOrEqual(t, s.total(), 56, "seed %d: no later than the window tells", seed)
		require.LessOrEqual(t, s.most, 105, "seed %d: maxGrowth bounds what a step is taken for", seed)
		s.run(50*time.Second, 2*time.Minute)
		require.LessOrEqual(t, s.total(), 80, "seed %d", seed)
	}
	require.LessOrEqual(t, orders, 20*20, "4 a minute for three data centres")
}

// Guards against orders because of a data centre that is lost and comes back: its targets are needed again at once, and
// requests that are sent twice are no demand.
func TestRepeatedLossOfDataCentre(t *testing.T) {
	lost := func(at time.Duration) bool {
		return at > 20*time.Second && at%(6500*time.Millisecond) < 1200*time.Millisecond
	}
	s := newSimulation(22, steady(30))
	s.supply = func(at time.Duration, supply Supply) {
		if lost(at) {
			// Entries of lost targets may lapse, too.
			supply["b"] = DataCentre{Present: 2, Lost: 20, Failing: true}
		}
	}
	s.demand = func(at time.Duration, d *Demand) {
		if lost(at) {
			d.InProgress, d.ReadingTime, d.PerSecond = 420, 1500*time.Millisecond, 1.06*d.PerSecond
		}
	}
	s.run(0, 3*time.Minute)
	require.Empty(t, s.log)

	// Less demand with the same losses: the numbers go down between them.
	s.perSecond = steady(15)
	s.run(3*time.Minute, 5*time.Minute)
	require.Zero(t, s.up)
	require.LessOrEqual(t, s.total(), 36)
	for _, o := range s.log {
		for back := time.Duration(0); back < lossTime; back += testStep {
			require.False(t, lost(o.at-back), "order at %v", o.at)
		}
	}
}

// Guards against fewer targets because the instance has not heard of the others' requests, or the store, or while two
// versions share them; and against none at all although more are needed.
func TestUnreliableViewOnlyRaises(t *testing.T) {
	for name, bad := range map[string]View{"stale": {Stale: true}, "store": {StoreAway: true}, "version": {Changing: true}, "cost": {CostUnknown: true}} {
		s := newSimulation(20, func(at time.Duration) float64 {
			if at < 20*time.Second {
				return 30
			}
			return 5
		})
		s.view = func(at time.Duration) View {
			if at >= 20*time.Second && at < 90*time.Second {
				return bad
			}
			return View{}
		}
		s.run(0, 90*time.Second)
		require.Empty(t, s.log, name)
		s.run(90*time.Second, 95*time.Second)
		if bad.Stale || bad.StoreAway {
			require.Empty(t, s.log, "%s: the samples were not reliable", name)
		}
		s.run(95*time.Second, 150*time.Second)
		require.NotZero(t, s.down, name)

		s = newSimulation(20, func(at time.Duration) float64 { return 30 + max(at.Seconds()-20, 0) })
		s.view = func(at time.Duration) View { return map[bool]View{true: bad}[at > 20*time.Second] }
		s.run(0, 40*time.Second)
		require.NotZero(t, s.up, name)
	}
}

// Guards against orders of an instance that has just begun to decide: it knows neither the demand nor the former orders.
func TestSuccessorWaits(t *testing.T) {
	s := newSimulation(20, steady(30))
	s.run(0, 60*time.Second)
	s.plan = Plan{Pool: "p", Limits: testLimits}
	s.perSecond = steady(45)
	s.view = func(at time.Duration) View { return View{Stale: at < 63*time.Second} }
	s.run(60*time.Second, 69*time.Second)
	require.Empty(t, s.log)
	s.run(69*time.Second, 70*time.Second)
	require.Equal(t, 90, s.total())

	// A late order of the predecessor lowers a number that nothing was ordered for here.
	s = newSimulation(20, steady(30))
	s.run(0, 10*time.Second)
	s.serving["a"], s.desired["a"] = 16, 16
	s.run(10*time.Second, 11*time.Second)
	require.Equal(t, 20, s.desired["a"])
}

// Guards against a late call with another number that is executed after a newer one.
func TestDifferentOrderAfterUnansweredNeedsHigherToken(t *testing.T) {
	s := newSimulation(10, steady(15))
	s.run(0, 10*time.Second)
	s.perSecond = steady(18)
	o := s.step(10 * time.Second)[0]
	require.Equal(t, Order{Pool: "p", DataCentre: "a", Desired: 12, Why: WhyReading}, o)
	s.plan.RecordUnanswered(o, 5)
	require.Equal(t, o, s.step(10500 * time.Millisecond)[0], "the same order is repeated under the same token")
	s.perSecond = steady(21)
	next := s.step(11 * time.Second)[0]
	require.Equal(t, 14, next.Desired)
	require.Equal(t, int64(5), next.Above)

	// An answer to the repetition does not tell that the first call was executed.
	s.perSecond = steady(18)
	s.plan.RecordAccepted(o, 5)
	next, ok := s.plan.Due("a")
	require.True(t, ok)
	require.Equal(t, int64(5), next.Above)
	s.plan.RecordAccepted(next, 6)
	_, ok = s.plan.Due("a")
	require.False(t, ok)
	s.perSecond = steady(24)
	require.Zero(t, s.step(12 * time.Second)[0].Above, "the late call has a lower token than an accepted one")
}

// Guards against numbers outside of the limits, and a panic or orders with limits that can't be used.
func TestLimits(t *testing.T) {
	for _, bad := range []Limits{{Min: 3, Max: 2, BootTime: 1}, {Min: -1, Max: 2, BootTime: 1}, {Min: 1, Max: 2}, {Max: -1, BootTime: 1}} {
		var want *LimitsError
		require.ErrorAs(t, bad.Check(), &want)
		s := newSimulation(10, steady(500))
		s.plan.Limits = bad
		s.run(0, 30*time.Second)
		require.Empty(t, s.log)
	}
	s := newSimulation(10, steady(500))
	s.plan.Limits = Limits{Min: 4, Max: 30, BootTime: time.Second}
	s.run(0, 30*time.Second)
	require.Equal(t, map[string]int{"a": 30, "b": 30, "c": 30}, s.desired)
	s.perSecond = steady(0)
	s.run(30*time.Second, 2*time.Minute)
	require.Equal(t, map[string]int{"a": 4, "b": 4, "c": 4}, s.desired)
	s.plan.Limits = Limits{Min: 0, Max: 3, BootTime: time.Second}
	s.run(2*time.Minute, 2*time.Minute+testStep)
	require.Equal(t, map[string]int{"a": 3, "b": 3, "c": 3}, s.desired)
	s.run(2*time.Minute, 3*time.Minute)
	require.Equal(t, map[string]int{"a": 1, "b": 1, "c": 1}, s.desired, "a pool is not scaled to nothing")
}

// Guards against a division by zero, and orders for places of which nothing is known.
func TestPoolWithoutTargets(t *testing.T) {
	p := Plan{Pool: "p", Limits: testLimits}
	for at := time.Duration(0); at < time.Minute; at += testStep {
		require.Empty(t, p.Step(t0.Add(at), Demand{PerSecond: 30, ReadingTime: time.Second}, Supply{"a": {}}, View{}))
	}
	require.Empty(t, p.Statuses())
}

// Guards against targets that are ordered only when they are already missed.
func TestGrowthIsFollowedAhead(t *testing.T) {
	ramp := func(at time.Duration) float64 { return 30 + max(at.Seconds()-40, 0)*0.6 }
	s := newSimulation(20, ramp)
	s.run(0, 60*time.Second)
	for at := 60 * time.Second; at < 100*time.Second; at += testStep {
		s.run(at, at+testStep)
		serving := s.serving["a"] + s.serving["b"] + s.serving["c"]
		require.LessOrEqual(t, ramp(at)/float64(serving), 1.02*maxReadingShare, "at %v", at)
	}
	require.Zero(t, s.down)
	require.LessOrEqual(t, s.most, int(2*1.25*ramp(100*time.Second)))
}
