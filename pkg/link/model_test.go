package link

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The model plays instances that connect to targets for each request, some of which lose all their links.
const (
	modelTargets     = 40
	modelDataCentres = 4
	modelRate        = 8 // requests a second of each instance
	modelRoundTrip   = 3 * time.Millisecond
	modelTimeout     = 300 * time.Millisecond
	modelCarryLimit  = 120 * time.Millisecond
	modelCutAt       = 3 * time.Second
	modelCutFor      = 8 * time.Second
	modelEnd         = 16 * time.Second
	// modelCounted is the time from the cut on after which requests count.
	modelCounted = time.Second
)

type modelEvent struct {
	at  time.Time
	run func(now time.Time)
}

type modelQueue []modelEvent

func (q modelQueue) Len() int           { return len(q) }
func (q modelQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q modelQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *modelQueue) Push(v any)        { *q = append(*q, v.(modelEvent)) }
func (q *modelQueue) Pop() any {
	old := *q
	v := old[len(old)-1]
	*q = old[:len(old)-1]
	return v
}

type modelInstance struct {
	name      string
	cut       bool
	paths     Paths
	carriers  Carriers
	others    []Carrier
	contactAt time.Time
	// carried counts the connections that it carried, dials those that it began directly, and asked its requests to
	// carriers.
	carried, dials, asked int
	sent, served          int
}

// model is one run.
type model struct {
	rng       *rand.Rand
	queue     modelQueue
	instances []*modelInstance
	loss      float64
	refuses   bool
	// targetsDown is the share of targets that are down from the cut on.
	targetsDown float64
	falseLosses int
	messages    int
}

func newModel(seed uint64, instances, cut int) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 7))}
	var all []Carrier
	for i := range instances {
		all = append(all, Carrier{Name: fmt.Sprint(i), DataCentre: fmt.Sprint(i % modelDataCentres)})
	}
	order := m.rng.Perm(instances)
	for i := range instances {
		in := &modelInstance{name: fmt.Sprint(i), carriers: Carriers{DataCentre: fmt.Sprint(i % modelDataCentres), Seed: seed + uint64(i)}}
		in.paths.Seed = seed + uint64(i)
		for j, c := range all {
			if j != i {
				in.others = append(in.others, c)
			}
		}
		m.instances = append(m.instances, in)
	}
	for _, i := range order[:cut] {
		m.instances[i].cut = true
	}
	return m
}

func (m *model) after(now time.Time, d time.Duration, run func(now time.Time)) {
	heap.Push(&m.queue, modelEvent{now.Add(d), run})
}

func (m *model) run() {
	for _, in := range m.instances {
		m.after(t0, time.Duration(m.rng.Float64()*float64(time.Second)), func(now time.Time) { m.state(now, in) })
		m.after(t0, time.Duration(m.rng.ExpFloat64()/modelRate*float64(time.Second)), func(now time.Time) { m.request(now, in) })
	}
	for len(m.queue) > 0 {
		ev := heap.Pop(&m.queue).(modelEvent)
		if ev.at.Before(t0.Add(modelEnd)) {
			ev.run(ev.at)
		}
	}
}

func isCutAt(now time.Time) bool {
	since := now.Sub(t0)
	return since >= modelCutAt && since < modelCutAt+modelCutFor
}

func (m *model) isDown(now time.Time, target int) bool {
	return isCutAt(now) && float64(target) < m.targetsDown*modelTargets
}

// reaches reports whether an instance reaches a target directly.
func (m *model) reaches(now time.Time, in *modelInstance, target int) bool {
	return !m.isDown(now, target) && !(in.cut && isCutAt(now))
}

// state sends an instance's statement to the others now, and each second again.
func (m *model) state(now time.Time, in *modelInstance) {
	m.send(now, in)
	m.after(now, time.Second, func(now time.Time) { m.state(now, in) })
}

func (m *model) send(now time.Time, in *modelInstance) {
	s := Statement{LostPools: in.paths.LostPools(), Contact: map[string]time.Duration{}}
	if !in.contactAt.IsZero() {
		s.Contact["p"] = now.Sub(in.contactAt)
	}
	for _, other := range m.instances {
		if other != in && m.rng.Float64() >= m.loss {
			m.messages++
			m.after(now, modelRoundTrip/2, func(now time.Time) { other.carriers.SetStatement(now, in.name, s) })
		}
	}
}

func (m *model) request(now time.Time, in *modelInstance) {
	m.after(now, time.Duration(m.rng.ExpFloat64()/modelRate*float64(time.Second)), func(now time.Time) { m.request(now, in) })
	counted := isCutAt(now) && now.Sub(t0) >= modelCutAt+modelCounted
	if counted {
		in.sent++
	}
	m.try(now, in, counted, 0)
}

// modelRace is one connection setup.
type modelRace struct {
	done, waiting, direct bool
	// again is set when a direct connection that was refused is tried once more.
	again bool
	asked []string
}

// try connects to a random target, and up to three times in all.
func (m *model) try(now time.Time, in *modelInstance, counted bool, failed int) {
	target := m.rng.IntN(modelTargets)
	name := fmt.Sprint(target)
	race := &modelRace{}
	plan := in.paths.Plan(now, "p", name)
	win := func() {
		if !race.done && counted {
			in.served++
		}
		race.done = true
	}
	if plan.Direct {
		m.dial(now, in, target, race, win)
	}
	m.after(now, plan.CarryAfter, func(now time.Time) { m.carry(now, in, target, race, win) })
	m.after(now, modelTimeout, func(now time.Time) {
		if !race.done {
			race.done = true
			if failed < 2 {
				m.try(now, in, counted, failed+1)
			}
		}
	})
}

func (m *model) dial(now time.Time, in *modelInstance, target int, race *modelRace, win func()) {
	race.direct = true
	in.dials++
	name := fmt.Sprint(target)
	if m.reaches(now, in, target) {
		m.after(now, modelRoundTrip, func(now time.Time) {
			in.paths.RecordConnected(now, "p", name)
			in.contactAt = now
			win()
		})
		return
	}
	wait := VerdictTime
	if m.refuses {
		wait = modelRoundTrip
	}
	m.after(now, wait, func(end time.Time) {
		m.changed(end, in, target, func() bool { return in.paths.RecordFailed(end, now, "p", name) })
		if m.refuses && !race.again {
			m.carry(end, in, target, race, win)
		}
	})
}

// changed records evidence and counts a path that is held for lost though the instance is not cut.
func (m *model) changed(now time.Time, in *modelInstance, target int, record func() bool) {
	before := in.paths.PoolLost("p")
	if !record() {
		return
	}
	if !in.cut && m.reaches(now, in, target) {
		m.falseLosses++
	}
	if in.paths.PoolLost("p") != before {
		m.send(now, in)
	} else if in.paths.TakeCheck(now, "p", PathLost) {
		for range 3 {
			m.try(now, in, false, 2)
		}
	}
}

// carry asks one carrier after another.
func (m *model) carry(now time.Time, in *modelInstance, target int, race *modelRace, win func()) {
	if race.done || race.waiting || len(race.asked) >= 3 {
		return
	}
	choice, ok := in.carriers.Choose(now, "p", in.others, race.asked)
	if !ok {
		return
	}
	race.asked, race.waiting = append(race.asked, choice.Name), true
	in.asked++
	var carrier *modelInstance
	for _, other := range m.instances {
		if other.name == choice.Name {
			carrier = other
		}
	}
	answer := 3 * modelRoundTrip
	reached := m.reaches(now, carrier, target)
	if !reached && !carrier.paths.PoolLost("p") && !m.refuses {
		answer = modelCarryLimit
	}
	m.after(now, answer, func(now time.Time) {
		race.waiting = false
		switch {
		case race.done:
		case reached:
			carrier.carried++
			in.carriers.Begin(choice.Name)
			m.after(now, 2*time.Second, func(time.Time) { in.carriers.End(choice.Name) })
			in.paths.RecordCarried(now, "p", fmt.Sprint(target))
			win()
			if race.direct && !race.again {
				race.again = true
				m.dial(now, in, target, race, win)
			}
		default:
			if !m.isDown(now, target) || !carrier.contactAt.After(now.Add(-answer)) {
				in.carriers.RecordFailure(now, choice.Name, "p")
			}
			m.carry(now, in, target, race, win)
		}
	})
}

// Guards against cut instances that serve less than the others, and against verdicts of instances that are not cut.
func TestModelOfCutInstances(t *testing.T) {
	for _, c := range []struct {
		name           string
		instances, cut int
		loss           float64
		refuses        bool
		down           float64
		// minShare is the least share served at cut instances, of the others' share; it is the stated target.
		minShare float64
	}{
		{"8_one", 8, 1, 0.02, false, 0, 0.95},
		{"8_half", 8, 4, 0.02, false, 0, 0.95},
		{"8_half_refused", 8, 4, 0.02, true, 0, 0.95},
		{"8_all_but_two", 8, 6, 0.02, false, 0, 0.95},
		{"8_half_messages_lost", 8, 4, 0.3, false, 0, 0.95},
		{"8_half_with_targets_down", 8, 4, 0.02, false, 0.25, 0.95},
		{"8_half_refused_with_targets_down", 8, 4, 0.02, true, 0.25, 0.95},
		{"30_half", 30, 15, 0.02, false, 0, 0.95},
		{"30_all_but_two", 30, 28, 0.05, false, 0, 0.95},
		{"295_one", 295, 1, 0.02, false, 0, 0.95},
		{"295_half", 295, 147, 0.02, false, 0, 0.95},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			served, sent := [2]int{}, [2]int{}
			most, falseLosses, messages := 0, 0, 0
			for seed := range uint64(max(1, 40/c.instances)) {
				m := newModel(seed, c.instances, c.cut)
				m.loss, m.refuses, m.targetsDown = c.loss, c.refuses, c.down
				m.run()
				for _, in := range m.instances {
					side := 0
					if in.cut {
						side = 1
					}
					served[side] += in.served
					sent[side] += in.sent
					most = max(most, in.carried)
				}
				falseLosses += m.falseLosses
				messages = m.messages / c.instances
			}
			atCut, atOthers := float64(served[1])/float64(sent[1]), float64(served[0])/float64(sent[0])
			t.Logf("served %.3f of %d at cut instances, %.3f of %d at others; most carried by one %d, messages of one %d", atCut, sent[1], atOthers, sent[0], most, messages)
			require.GreaterOrEqual(t, atCut, c.minShare*atOthers)
			require.GreaterOrEqual(t, atOthers, 0.97)
			require.Zero(t, falseLosses)
		})
	}
}

// Guards against verdicts on the own links while targets crash and no instance is cut.
func TestModelOfCrashedTargets(t *testing.T) {
	for seed := range uint64(10) {
		m := newModel(seed, 8, 0)
		m.targetsDown, m.refuses = 0.3, seed%2 == 0
		m.run()
		for _, in := range m.instances {
			require.Zero(t, in.paths.LostCount("p"))
		}
	}
}
