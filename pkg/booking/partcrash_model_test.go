package booking

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"
)

// partModel simulates instances, each with a detector, that send requests to engines and exchange reports
// over a network that loses messages.
type partModel struct {
	rng       *rand.Rand
	now       time.Time
	detectors []*PartCrashDetector
	engines   []*modelEngine
	// network holds the messages by the tick in which they arrive.
	network  map[time.Time][]modelMessage
	lossRate float64
	nextID   int
	// newParts returns the parts of a sound prompt, without its last one.
	newParts func(m *partModel) []string
	// guilty holds the parts that crash engines, poison the requests that do by their own text.
	guilty map[string]bool
	poison map[string]bool
	// allCrash makes each answer crash its engine.
	allCrash bool

	// told holds the parts that each instance has reported as served.
	told []map[string]bool
	// limits bound the reports of each instance.
	limits []*rate.Limiter

	// maxAttempts is the number of attempts of a request.
	maxAttempts int
	// sharesNothing is set if instances do not share their answers, and sharedAnswers counts those that were shared.
	sharesNothing bool
	sharedAnswers int
	// shareRNG is a source of its own, so that sharing does not change what else happens.
	shareRNG *rand.Rand

	// trials counts the requests that ran to test a mark, and refused those that were refused.
	trials  int
	refused int

	crashes     []time.Time
	badArrivals []time.Time
}

type modelEngine struct {
	incarnation int
	upAt        time.Time
	runs        []*modelRun
}

type modelRun struct {
	instance int
	request  string
	parts    []string
	attempts int
	beginsAt time.Time
	proved   bool
}

type modelMessage struct {
	to      int
	deliver func(to int, d *PartCrashDetector)
}

const (
	modelTick     = 10 * time.Millisecond
	modelPrefill  = 1200 * time.Millisecond
	modelAnswer   = 3 * time.Second
	modelDowntime = 5 * time.Second
)

func newPartModel(seed uint64, instances, engines int) *partModel {
	m := &partModel{network: map[time.Time][]modelMessage{}, rng: rand.New(rand.NewPCG(seed, 1)), shareRNG: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1000, 0), lossRate: 0.1, maxAttempts: 5, guilty: map[string]bool{}, poison: map[string]bool{}}
	for range instances {
		m.detectors = append(m.detectors, &PartCrashDetector{Retention: 2 * time.Hour, MarkTime: 2 * time.Hour})
		m.limits = append(m.limits, rate.NewLimiter(10, 20))
		m.told = append(m.told, map[string]bool{})
	}
	for range engines {
		m.engines = append(m.engines, &modelEngine{})
	}
	m.newParts = func(m *partModel) []string { return []string{fmt.Sprintf("shared-%d", m.rng.IntN(5000))} }
	return m
}

// broadcast delivers a message to all other instances, repeated twice, with losses.
func (m *partModel) broadcast(from int, deliver func(to int, d *PartCrashDetector)) {
	for to := range m.detectors {
		if to == from {
			continue
		}
		for _, delay := range []time.Duration{20 * time.Millisecond, 320 * time.Millisecond, 1320 * time.Millisecond} {
			if m.rng.Float64() >= m.lossRate {
				at := m.now.Add(delay)
				m.network[at] = append(m.network[at], modelMessage{to, deliver})
			}
		}
	}
}

// broadcastOnce delivers a message to all other instances, with losses.
func (m *partModel) broadcastOnce(from int, deliver func(to int, d *PartCrashDetector)) {
	at := m.now.Add(20 * time.Millisecond)
	for to := range m.detectors {
		if to != from && m.shareRNG.Float64() >= m.lossRate {
			m.network[at] = append(m.network[at], modelMessage{to, deliver})
		}
	}
}

func (m *partModel) announce(from int, marks []PartMark) {
	for _, mark := range marks {
		m.broadcast(from, func(_ int, d *PartCrashDetector) { d.Mark(m.now, mark) })
	}
}

func (m *partModel) reportServed(from int, part string, at time.Time) {
	m.broadcast(from, func(_ int, d *PartCrashDetector) { d.RecordServed(m.now, at, part) })
}

// reportCrash reports that a run was lost.
func (m *partModel) reportCrash(run *modelRun, target string, at time.Time) {
	if begun := m.now.Sub(run.beginsAt); begun > time.Second {
		return
	}
	if !m.limits[run.instance].AllowN(m.now, 1) {
		return
	}
	crash := PartCrash{Target: target, At: at, Request: run.request, Parts: run.parts}
	record := func(to int, d *PartCrashDetector) {
		d.RecordCrash(m.now, crash)
		for _, part := range crash.Parts {
			if at, ok := d.LastServed(m.now, part); ok && !m.told[to][part] {
				m.told[to][part] = true
				m.reportServed(to, part, at)
			}
		}
	}
	record(run.instance, m.detectors[run.instance])
	m.broadcast(run.instance, record)
}

// send gives a request to an engine unless it is refused.
func (m *partModel) send(run *modelRun) {
	d := m.detectors[run.instance]
	if mark, ok := d.Marked(m.now, run.parts); ok {
		d.RecordRefusal(m.now, mark.Part)
		if run.attempts > 0 || !d.BeginTrial(m.now, mark.Part, run.instance) {
			m.refused++
			return
		}
		m.trials++
		mark, _ = d.Marked(m.now, run.parts)
		m.broadcast(run.instance, func(_ int, d *PartCrashDetector) { d.Mark(m.now, mark) })
	}
	var up []*modelEngine
	for _, e := range m.engines {
		if !m.now.Before(e.upAt) {
			up = append(up, e)
		}
	}
	if len(up) == 0 || run.attempts >= m.maxAttempts {
		return
	}
	if m.isBad(run) {
		m.badArrivals = append(m.badArrivals, m.now)
	}
	run.attempts++
	run.proved = false
	run.beginsAt = m.now.Add(modelPrefill*3/4 + time.Duration(m.rng.Int64N(int64(modelPrefill/2))))
	e := up[m.rng.IntN(len(up))]
	e.runs = append(e.runs, run)
}

func (m *partModel) isBad(run *modelRun) bool {
	return m.allCrash || m.poison[run.request] || slices.ContainsFunc(run.parts, func(p string) bool { return m.guilty[p] })
}

// arrive adds a request at a random instance.
func (m *partModel) arrive(parts []string) {
	m.nextID++
	instance := m.rng.IntN(len(m.detectors))
	m.detectors[instance].RecordArrival(parts)
	m.send(&modelRun{instance: instance, request: fmt.Sprintf("request-%d", m.nextID), parts: parts})
}

func (m *partModel) crash(i int) {
	e := m.engines[i]
	target, runs := fmt.Sprintf("engine-%d-%d", i, e.incarnation), e.runs
	e.incarnation++
	e.upAt, e.runs = m.now.Add(modelDowntime), nil
	m.crashes = append(m.crashes, m.now)
	for _, run := range runs {
		m.reportCrash(run, target, m.now.Add(time.Duration(m.rng.IntN(20))*time.Millisecond))
	}
	for _, run := range runs {
		m.send(run)
	}
}

// crashShare crashes a share of the engines at once.
func (m *partModel) crashShare(share float64) {
	for i, e := range m.engines {
		if !m.now.Before(e.upAt) && m.rng.Float64() < share {
			m.crash(i)
		}
	}
}

// run advances the model; soundRate is the number of sound requests a second, and badRate that of requests with
// each guilty part beside the parts of a sound one.
func (m *partModel) run(d time.Duration, soundRate, badRate float64) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(modelTick) {
		for _, message := range m.network[m.now] {
			message.deliver(message.to, m.detectors[message.to])
		}
		delete(m.network, m.now)
		for i, d := range m.detectors {
			m.announce(i, d.Decide(m.now))
		}
		for range m.count(soundRate) {
			m.arrive(m.newParts(m))
		}
		for part := range m.guilty {
			for range m.count(badRate) {
				parts := m.newParts(m)
				m.arrive(slices.Insert(parts, m.rng.IntN(len(parts)+1), part))
			}
		}
		for i, e := range m.engines {
			for _, run := range e.runs {
				if m.isBad(run) && m.now.Sub(run.beginsAt) >= 50*time.Millisecond {
					m.crash(i)
					break
				}
			}
			e.runs = slices.DeleteFunc(e.runs, func(run *modelRun) bool {
				if !run.proved && m.now.Sub(run.beginsAt) >= time.Second {
					run.proved = true
					for _, part := range m.detectors[run.instance].RecordAnswer(m.now, run.beginsAt, run.parts) {
						m.reportServed(run.instance, part, run.beginsAt)
					}
					if !m.sharesNothing && m.detectors[run.instance].SharesAnswer(m.now, len(m.detectors)) {
						m.sharedAnswers++
						begunAt, parts := run.beginsAt, run.parts
						m.broadcastOnce(run.instance, func(_ int, d *PartCrashDetector) { d.RecordOtherAnswer(m.now, begunAt, parts) })
					}
				}
				return m.now.Sub(run.beginsAt) >= modelAnswer
			})
		}
	}
}

func (m *partModel) count(perSecond float64) int {
	expected := perSecond * modelTick.Seconds()
	n := int(expected)
	if m.rng.Float64() < expected-float64(n) {
		n++
	}
	return n
}

// marks returns the parts that any instance has marked.
func (m *partModel) marks() (parts []string) {
	for _, d := range m.detectors {
		for _, mark := range d.Marks(m.now) {
			if !slices.Contains(parts, mark.Part) {
				parts = append(parts, mark.Part)
			}
		}
	}
	return parts
}

// lateArrivals counts the bad requests that reached engines later than 3 s after the fifth crash.
func (m *partModel) lateArrivals() int {
	if len(m.crashes) < 5 {
		return 0
	}
	late := 0
	for _, at := range m.badArrivals {
		if at.After(m.crashes[4].Add(3 * time.Second)) {
			late++
		}
	}
	return late
}

var partModelSizes = []struct {
	name               string
	instances, engines int
	rate               float64
	seeds              int
}{
	{"8 instances", 8, 36, 10, 40},
	{"30 instances", 30, 120, 40, 10},
	{"295 instances", 295, 300, 100, 1},
}

// modelSeeds returns the number of seeds of a size: with the race detector one, and none of the largest size.
func modelSeeds(instances, seeds int) int {
	switch {
	case !raceDetector:
		return seeds
	case instances > 100:
		return 0
	}
	return 1
}

var partDistributions = map[string]func(m *partModel) []string{
	"rare": func(m *partModel) []string { return []string{fmt.Sprintf("shared-%d", m.rng.IntN(5000))} },
	"skewed": func(m *partModel) []string {
		return []string{"system", fmt.Sprintf("tenant-%d", int(m.rng.ExpFloat64()*4)), fmt.Sprintf("document-%d", m.rng.IntN(300))}
	},
	"one": func(*partModel) []string { return []string{"system"} },
}

// Guards against a guilty part that is not found in time, and against sound ones that are refused beside it.
func TestGuiltyPartIsFoundInTime(t *testing.T) {
	for _, size := range partModelSizes {
		for name, newParts := range partDistributions {
			t.Run(size.name+" "+name, func(t *testing.T) {
				worstCrashes, worstLate := 0, 0
				for seed := range modelSeeds(size.instances, size.seeds) {
					m := newPartModel(uint64(seed), size.instances, size.engines)
					m.newParts = newParts
					m.run(8*time.Second, size.rate, 0)
					m.guilty["guilty"] = true
					m.run(15*time.Second, size.rate, 5)
					require.Equal(t, []string{"guilty"}, m.marks(), "seed %d", seed)
					worstCrashes, worstLate = max(worstCrashes, len(m.crashes)), max(worstLate, m.lateArrivals())
				}
				t.Logf("at most %d crashes, %d late requests", worstCrashes, worstLate)
				require.LessOrEqual(t, worstLate, 3)
			})
		}
	}
}

// Guards against parts that are refused though they are not to blame for the loss of targets.
func TestSoundPartsAreNotMarked(t *testing.T) {
	for _, size := range partModelSizes {
		for name, newParts := range partDistributions {
			if size.instances > 100 && name != "rare" {
				continue
			}
			for fault, cause := range map[string]func(m *partModel){
				"a third lost at once": func(m *partModel) { m.crashShare(1.0 / 3); m.run(6*time.Second, size.rate, 0) },
				"thirds lost one after the other": func(m *partModel) {
					for range 4 {
						m.crashShare(1.0 / 3)
						m.run(1200*time.Millisecond, size.rate, 0)
					}
				},
				"engines that crash for all requests": func(m *partModel) {
					m.allCrash = true
					m.run(6*time.Second, size.rate, 0)
				},
				"a request's own text": func(m *partModel) {
					m.poison["poison"] = true
					for parts, n := m.newParts(m), 0; n < 3; n++ {
						// It is refused after its third crash.
						m.send(&modelRun{instance: m.rng.IntN(len(m.detectors)), request: "poison", parts: parts, attempts: 4})
						m.run(2*time.Second, size.rate, 0)
					}
				},
			} {
				if size.instances > 100 && strings.HasPrefix(fault, "engines") {
					continue
				}
				t.Run(size.name+" "+name+" "+fault, func(t *testing.T) {
					for seed := range modelSeeds(size.instances, size.seeds) {
						m := newPartModel(uint64(seed), size.instances, size.engines)
						m.newParts = newParts
						m.run(8*time.Second, size.rate, 0)
						cause(m)
						require.Empty(t, m.marks(), "seed %d", seed)
					}
				})
			}
		}
	}
}

// Guards against a guilty part that is not found while there is little other traffic, since no instance has seen enough answers by
// itself.
func TestGuiltyPartIsFoundWithLittleTraffic(t *testing.T) {
	for _, c := range []struct {
		instances, engines  int
		soundRate, badRate  float64
		before, after       time.Duration
		seeds               int
		template, unrelated bool
	}{
		{instances: 8, engines: 12, soundRate: 0.5, badRate: 1, before: 15 * time.Second, after: 60 * time.Second, seeds: 200, template: true},
		{instances: 8, engines: 12, soundRate: 0.5, badRate: 0.2, before: 15 * time.Second, after: 120 * time.Second, seeds: 200, template: true},
		{instances: 6, engines: 12, soundRate: 1. / 3, badRate: 1. / 3, before: 20 * time.Second, after: 120 * time.Second, seeds: 200, template: true},
		{instances: 8, engines: 12, soundRate: 0.5, badRate: 1, before: 30 * time.Second, after: 60 * time.Second, seeds: 200},
		{instances: 30, engines: 40, soundRate: 0.2, badRate: 1, before: 120 * time.Second, after: 60 * time.Second, seeds: 50, template: true},
		{instances: 295, engines: 300, soundRate: 0.2, badRate: 1, before: 120 * time.Second, after: 30 * time.Second, seeds: 5, template: true},
		{instances: 8, engines: 12, soundRate: 2, badRate: 1, before: 30 * time.Second, after: 60 * time.Second, seeds: 50, template: true, unrelated: true},
	} {
		t.Run(fmt.Sprintf("%d instances, %.1f sound, %.1f bad, template %t, unrelated crashes %t", c.instances, c.soundRate, c.badRate, c.template, c.unrelated), func(t *testing.T) {
			worst, sum := 0, 0
			for seed := range modelSeeds(c.instances, c.seeds) {
				m := newPartModel(uint64(seed), c.instances, c.engines)
				if c.template {
					m.newParts = func(*partModel) []string { return []string{"template"} }
				}
				// A request is refused after it has crashed three targets.
				m.maxAttempts = 3
				for range 20 {
					// Engines end for other reasons, in the last half an hour.
					if c.unrelated {
						m.crashShare(1. / 4)
						m.run(90*time.Second, c.soundRate, 0)
					}
				}
				m.crashes = nil
				m.run(c.before, c.soundRate, 0)
				m.guilty["guilty"] = true
				m.run(c.after, c.soundRate, c.badRate)
				late := m.lateArrivals()
				worst, sum = max(worst, late), sum+late
				if late > 3 {
					t.Errorf("seed %d: %d late, %d crashes", seed, late, len(m.crashes))
				}
			}
			t.Logf("late arrivals: %d in all, %d at most", sum, worst)
		})
	}
}

// modelHours returns the hours that are played of each kind of traffic: a few, or as many as MODEL_HOURS states.
func modelHours() int {
	if n, err := strconv.Atoi(os.Getenv("MODEL_HOURS")); err == nil {
		return n
	}
	if raceDetector {
		return 1
	}
	return 4
}

// Guards against a guilty part that is refused for some time only, and crashes engines again each time.
func TestGuiltyPartThatComesForAnHourIsRefused(t *testing.T) {
	for _, every := range []time.Duration{time.Second, 3 * time.Second, 30 * time.Second, 5 * time.Minute} {
		t.Run(every.String(), func(t *testing.T) {
			for seed := range uint64(modelHours()) {
				m := newPartModel(seed, 8, 12)
				m.maxAttempts = 3
				m.newParts = func(*partModel) []string { return []string{"template"} }
				m.run(30*time.Second, 0.5, 0)
				m.guilty["guilty"] = true
				m.run(time.Hour, 0.5, 1/every.Seconds())
				require.LessOrEqual(t, m.lateArrivals(), 3, "seed %d: %d crashes, %d trials", seed, len(m.crashes), m.trials)
			}
		})
	}
}

// Guards against a part that is refused for good once its targets are repaired, or if it was marked by mistake.
func TestMarkEndsOncePartIsServed(t *testing.T) {
	for _, every := range []time.Duration{time.Second, 30 * time.Second, 5 * time.Minute} {
		t.Run(every.String(), func(t *testing.T) {
			m := newPartModel(1, 8, 12)
			m.maxAttempts = 3
			m.run(30*time.Second, 0.5, 0)
			m.guilty["guilty"] = true
			m.run(2*time.Minute, 0.5, 1)
			require.Equal(t, []string{"guilty"}, m.marks())
			delete(m.guilty, "guilty")
			m.newParts = func(*partModel) []string { return []string{"guilty"} }
			m.run(time.Hour, 1/every.Seconds(), 0)
			require.Empty(t, m.marks())
			require.Equal(t, 1, m.trials)
		})
	}
}

// Guards against sound parts that are refused since engines end one by one, for reasons of their own, while few or many requests run:
// in 1,000 hours of each kind of traffic.
func TestSoundPartsAreNotMarkedByUnrelatedCrashes(t *testing.T) {
	for _, c := range []struct {
		name     string
		rate     float64
		newParts func(m *partModel) []string
	}{
		{"little traffic, one template", 0.2, func(*partModel) []string { return []string{"template"} }},
		{"little traffic, rare documents", 0.2, func(m *partModel) []string {
			return []string{"template", fmt.Sprintf("document-%d", m.rng.IntN(30))}
		}},
		{"more traffic, skewed", 3, partDistributions["skewed"]},
	} {
		t.Run(c.name, func(t *testing.T) {
			hours := modelHours()
			crashes := 0
			for seed := range uint64(hours) {
				m := newPartModel(seed, 6, 8)
				m.newParts = c.newParts
				for range 60 {
					// One engine after another ends within each minute.
					m.run(40*time.Second, c.rate, 0)
					for range 4 {
						m.run(5*time.Second, c.rate, 0)
						m.crashShare(1. / 8)
					}
					require.Empty(t, m.marks(), "seed %d", seed)
				}
				crashes += len(m.crashes)
			}
			t.Logf("%d crashes", crashes)
		})
	}
}
