package version_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"bambooferry.example/bambooferry/pkg/version"
)

var start = time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)

// scenario is one case: it determines the results of requests by version, time and share.
type scenario struct {
	name string
	seed uint64
	// rate is the traffic in requests per second.
	rate   float64
	length time.Duration
	warm   time.Duration
	// noise is the standard deviation of the logarithm of times.
	noise float64
	// badFrom is the time from which the new version is bad, if its share is at least badShare, on badRoute or,
	// if that is empty, on all routes.
	badFrom  time.Duration
	badShare float64
	badRoute string
	// fail is the probability that a request to the bad version fails; slow multiplies its times.
	fail float64
	slow float64
	// commonFail and commonSlow affect both versions from one third to two thirds of the time, or, if
	// commonFrom is later, for a third of the time from then on.
	commonFail    float64
	commonSlow    float64
	commonFrom    time.Duration
	fixedSchedule bool
}

// outcome is the result of a simulated case.
type outcome struct {
	record version.Record
	log    string
	// exposed counts requests to the new version since it was bad, total all requests since then.
	exposed int
	total   int
	// maxShare is the largest share of the new version since it was bad.
	maxShare float64
	// badTime is the time from badFrom to the end of the simulation.
	badTime time.Duration
	ended   time.Duration
}

var routes = []string{"/v1/completions|c1", "/v1/completions|c2", "/v1/chat/completions|c1", "/v1/chat/completions|c2"}

const (
	tickInterval   = 100 * time.Millisecond
	reportInterval = 250 * time.Millisecond
	deadline       = 60 * time.Second
	instanceCount  = 3
)

// simulation runs one case over three instances that report to one decider.
type simulation struct {
	scenario
	rng          *rand.Rand
	plan         version.Plan
	change       *version.Change
	counters     []*version.Counter
	result       outcome
	log          strings.Builder
	requestCount int
}

func runScenario(sc scenario) outcome {
	s := &simulation{scenario: sc, rng: rand.New(rand.NewPCG(sc.seed, 1))}
	s.plan = version.Plan{ID: 1 + sc.seed, Entry: "ferry-llm", From: "v1", To: "v2", Revision: 7, Deadline: start.Add(deadline), LargestShare: 0.1}
	limits := version.DefaultLimits()
	limits.KeepWarm = sc.warm
	s.change = version.NewChange(start, s.plan, limits)
	for range instanceCount {
		s.counters = append(s.counters, version.NewCounter(s.plan))
	}
	s.handleEvent(start, version.Event{Kind: version.CapacityChanged, Capacity: 1})
	for at := time.Duration(0); at < sc.length && (sc.fixedSchedule || s.change.Record.State != version.RolledBack); at += tickInterval {
		now := start.Add(at)
		s.generateTraffic(now)
		if at%reportInterval < tickInterval {
			for _, c := range s.counters {
				s.handleEvent(now, version.Event{Kind: version.Reported, Report: c.TakeReport()})
			}
		}
		s.handleEvent(now, version.Event{Kind: version.Ticked})
		s.result.ended = at
	}
	s.result.record, s.result.log = s.change.Record, s.log.String()
	s.result.badTime = max(s.result.ended-sc.badFrom, 0)
	return s.result
}

func (s *simulation) handleEvent(now time.Time, ev version.Event) {
	for _, a := range s.change.Step(now, ev) {
		r := s.change.Record
		fmt.Fprintf(&s.log, "%7.1fs %-11s %-11s share %.4f old %d/%d new %d/%d test %.3g %s %s %s%s\n",
			now.Sub(start).Seconds(), a.Step, r.State, r.Share, r.Old.Failed, r.Old.Requests, r.New.Failed, r.New.Requests, r.Wealth, r.Kind, r.Route, r.Why, r.Warning)
	}
}

func (s *simulation) generateTraffic(now time.Time) {
	share := s.change.Record.Share
	if s.fixedSchedule {
		share = version.FixedScheduleShare(s.plan, start, now)
	}
	for n := s.rate * tickInterval.Seconds(); n > 0; n-- {
		if n < 1 && s.rng.Float64() >= n {
			break
		}
		s.sendRequest(now, share)
	}
}

func (s *simulation) sendRequest(now time.Time, share float64) {
	s.requestCount++
	route := routes[s.rng.IntN(len(routes))]
	toNew := version.RoutesToNew(s.plan.ID, share, fmt.Sprint(s.requestCount))
	at := now.Sub(start)
	turnedBad := (s.fail > 0 || s.slow > 0) && at >= s.badFrom
	bad := toNew && turnedBad && share >= s.badShare && (s.badRoute == "" || s.badRoute == route)
	if turnedBad {
		s.result.total++
		if toNew {
			s.result.exposed++
		}
		s.result.maxShare = max(s.result.maxShare, share)
	}
	from := max(s.length/3, s.commonFrom)
	commonFault := at > from && at < from+s.length/3
	fail, slow := 0.002, 1.0
	if commonFault {
		fail = max(fail, s.commonFail)
		slow = max(slow, s.commonSlow)
	}
	if bad {
		fail = max(fail, s.fail)
		slow *= max(1, s.slow)
	}
	r := version.Result{Version: "v1", Route: route, Ended: true, Failed: s.rng.Float64() < fail}
	if toNew {
		r.Version = "v2"
	}
	r.FirstToken, r.TokenInterval = s.drawTime(300*time.Millisecond, slow), s.drawTime(20*time.Millisecond, slow)
	s.counters[s.requestCount%instanceCount].Add(now, r)
}

// drawTime draws a lognormal time; one in 200 is five times as long.
func (s *simulation) drawTime(mean time.Duration, slow float64) time.Duration {
	d := float64(mean) * slow * math.Exp(s.noise*s.rng.NormFloat64())
	if s.rng.IntN(200) == 0 {
		d *= 5
	}
	return time.Duration(d)
}
