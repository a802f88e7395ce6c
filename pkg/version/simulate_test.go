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

// world is one case: what requests of the versions do at a time and a share.
type world struct {
	name   string
	seed   uint64
	rate   float64
	length time.Duration
	warm   time.Duration
	// noise is the standard deviation of the logarithm of times.
	noise float64
	// badFrom is when the new version turns bad, at a share of badShare at least, on badRoute or on all.
	badFrom  time.Duration
	badShare float64
	badRoute string
	// fail is the chance that a bad request fails, slow multiplies its times.
	fail float64
	slow float64
	// commonFail and commonSlow hit both versions from a third to two thirds of the time, or for
	// a third of it from commonFrom.
	commonFail float64
	commonSlow float64
	commonFrom time.Duration
	fixed      bool
}

// outcome is what came of a case.
type outcome struct {
	record version.Record
	log    string
	// exposed counts requests to the new version once it was bad, of all requests since.
	exposed int
	all     int
	share   float64
	took    time.Duration
	ended   time.Duration
}

var routes = []string{"/v1/completions|c1", "/v1/completions|c2", "/v1/chat/completions|c1", "/v1/chat/completions|c2"}

const (
	simTick    = 100 * time.Millisecond
	simReport  = 250 * time.Millisecond
	deadline   = 60 * time.Second
	simMembers = 3
)

// simulation runs one case over three instances that report to one decider.
type simulation struct {
	world
	rng      *rand.Rand
	plan     version.Plan
	change   *version.Change
	counters []*version.Counter
	out      outcome
	log      strings.Builder
	sent     int
}

func run(w world) outcome {
	s := &simulation{world: w, rng: rand.New(rand.NewPCG(w.seed, 1))}
	s.plan = version.Plan{ID: 1 + w.seed, Entry: "ferry-llm", From: "v1", To: "v2", Revision: 7, Deadline: start.Add(deadline), LargestShare: 0.1}
	limits := version.DefaultLimits()
	limits.KeepWarm = w.warm
	s.change = version.NewChange(start, s.plan, limits)
	for range simMembers {
		s.counters = append(s.counters, version.NewCounter(s.plan))
	}
	s.step(start, version.Event{Kind: version.CapacityChanged, Capacity: 1})
	for at := time.Duration(0); at < w.length && (w.fixed || s.change.Record.State != version.RolledBack); at += simTick {
		now := start.Add(at)
		s.traffic(now)
		if at%simReport < simTick {
			for _, c := range s.counters {
				s.step(now, version.Event{Kind: version.Reported, Report: c.TakeReport()})
			}
		}
		s.step(now, version.Event{Kind: version.Ticked})
		s.out.ended = at
	}
	s.out.record, s.out.log = s.change.Record, s.log.String()
	s.out.took = max(s.out.ended-w.badFrom, 0)
	return s.out
}

func (s *simulation) step(now time.Time, ev version.Event) {
	for _, a := range s.change.Step(now, ev) {
		r := s.change.Record
		fmt.Fprintf(&s.log, "%7.1fs %-11s %-11s share %.4f old %d/%d new %d/%d test %.3g %s %s %s%s\n",
			now.Sub(start).Seconds(), a.Step, r.State, r.Share, r.Old.Failed, r.Old.Requests, r.New.Failed, r.New.Requests, r.Wealth, r.Kind, r.Route, r.Why, r.Warning)
	}
}

func (s *simulation) traffic(now time.Time) {
	share := s.change.Record.Share
	if s.fixed {
		share = version.FixedScheduleShare(s.plan, start, now)
	}
	for n := s.rate * simTick.Seconds(); n > 0; n-- {
		if n < 1 && s.rng.Float64() >= n {
			break
		}
		s.request(now, share)
	}
}

func (s *simulation) request(now time.Time, share float64) {
	s.sent++
	route := routes[s.rng.IntN(len(routes))]
	toNew := version.RoutesToNew(s.plan.ID, share, fmt.Sprint(s.sent))
	at := now.Sub(start)
	turned := (s.fail > 0 || s.slow > 0) && at >= s.badFrom
	bad := toNew && turned && share >= s.badShare && (s.badRoute == "" || s.badRoute == route)
	if turned {
		s.out.all++
		if toNew {
			s.out.exposed++
		}
		s.out.share = max(s.out.share, share)
	}
	from := max(s.length/3, s.commonFrom)
	common := at > from && at < from+s.length/3
	fail, slow := 0.002, 1.0
	if common {
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
	r.FirstToken, r.TokenInterval = s.time(300*time.Millisecond, slow), s.time(20*time.Millisecond, slow)
	s.counters[s.sent%simMembers].Add(now, r)
}

// time draws a lognormal time with one in 200 five times as long.
func (s *simulation) time(mean time.Duration, slow float64) time.Duration {
	d := float64(mean) * slow * math.Exp(s.noise*s.rng.NormFloat64())
	if s.rng.IntN(200) == 0 {
		d *= 5
	}
	return time.Duration(d)
}
