package version

import (
	"math"
	"time"
)

// Alpha bounds the chance that one decider ever takes a good version for a bad one.
//
// The two candidates judge on their own, and each that takes over later adds one
// Alpha, so that up to five judge a change within the stated target of 1 in 1,000.
const Alpha = 0.0002

// The test compares the odds of a bad result of the new version with those of
// the old one. Odds up to `tolerated` times the old ones are not bad. Odds of
// each of `suspected` have a share in the mixture. Slowness is tolerated further,
// since a new version starts with cold caches.
var (
	tolerated = [kinds]float64{Failing: 1.5, SlowFirstToken: 2.5, SlowTokenInterval: 2}
	suspected = [...]float64{4, 16, 100}
)

const (
	// pooledPart of the test's weight is for all routes together, the rest for single ones.
	pooledPart = 0.5
	// initialPart of a test's stake is there from the start; the rest comes in over
	// the duration of the change, so that a version that turns bad late meets fresh stake.
	initialPart = 0.2
	// maxWealth keeps products finite.
	maxWealth = 1e30
)

// wealth is a mixture sequential probability ratio test of one kind on one route.
//
// It is a non-negative supermartingale with start 1 (counting the stake still to
// come) while the new version is good, so by Ville's inequality it ever
// reaches 1/Alpha with probability at most Alpha, however often it is looked at.
type wealth struct {
	value  [len(suspected)]float64
	staked float64
}

// stake brings the part of the stake in play up to part.
func (w *wealth) stake(part float64) {
	part = min(max(part, initialPart), 1)
	if more := part - w.staked; more > 0 {
		for i := range w.value {
			w.value[i] += more / float64(len(suspected))
		}
		w.staked = part
	}
}

func (w *wealth) sum() float64 {
	s := 1 - w.staked
	for _, v := range w.value {
		s += v
	}
	return s
}

// see takes in a window: bad results among all of the new and of the old version.
//
// Given both totals and the number of bad results in the window, a good version's
// part of them is hypergeometric, whatever the rate of bad results is at the time.
// A slowdown or outage of both versions is therefore no evidence.
func (w *wealth) see(k DefectKind, newAll, newBad, oldAll, oldBad int) {
	bad := newBad + oldBad
	if newAll == 0 || oldAll == 0 || bad == 0 || bad == newAll+oldAll {
		return
	}
	low, high := max(0, bad-oldAll), min(newAll, bad)
	base := logSum(low, high, newAll, oldAll, bad, math.Log(tolerated[k]))
	for i, odds := range suspected {
		top := logSum(low, high, newAll, oldAll, bad, math.Log(odds))
		gain := float64(newBad-low)*(math.Log(odds)-math.Log(tolerated[k])) - (top - base)
		w.value[i] = min(w.value[i]*math.Exp(gain), maxWealth)
	}
}

// logSum returns the log of the sum of the weights of the noncentral
// hypergeometric distribution, relative to the weight at low.
func logSum(low, high, newAll, oldAll, bad int, logOdds float64) float64 {
	sum, term := 0.0, 0.0
	for x := low; x < high; x++ {
		term += math.Log(float64(newAll-x)*float64(bad-x)/(float64(x+1)*float64(oldAll-bad+x+1))) + logOdds
		if term > sum {
			sum = term + math.Log1p(math.Exp(sum-term))
		} else {
			sum += math.Log1p(math.Exp(term - sum))
		}
	}
	return sum
}

// Evidence weighs all that was seen of one change.
type Evidence struct {
	// Starts and Ends bound the duration of the change, over which the stake comes in.
	Starts time.Time
	Ends   time.Time
	// AcceptLogOdds is the state of the tests for acceptance.
	AcceptLogOdds [kinds]float64
	// OwnFailures counts failures of the new version while the old one did not fail as well.
	OwnFailures uint32
	// awaited are the last windows, which may be an outage's first.
	awaited [kinds]awaited

	names  []string
	routes map[string]*routeEvidence
}

type routeEvidence struct {
	window    RouteCounts
	recentNew recent
	recentOld recent
	tests     [kinds]wealth
}

// Verdict is what the evidence says; it is bad at a wealth of 1/Alpha.
type Verdict struct {
	Wealth float64
	// Route and Kind tell where the evidence is strongest; Route is empty for all together.
	Route string
	Kind  DefectKind
}

// Add takes in a report.
func (e *Evidence) Add(r Report) {
	if e.routes == nil {
		e.routes = map[string]*routeEvidence{}
	}
	for _, row := range r.Routes {
		for _, name := range [...]string{"", row.Route} {
			re := e.route(name)
			re.window.add(row)
			re.recentNew.add(row.New)
			re.recentOld.add(row.Old)
		}
	}
}

func (e *Evidence) route(name string) *routeEvidence {
	re := e.routes[name]
	if re == nil && len(e.routes) > MaxRoutes {
		name = OtherRoute
		re = e.routes[name]
	}
	if re == nil {
		re = &routeEvidence{}
		e.routes[name] = re
		e.names = append(e.names, name)
	}
	return re
}

// Evaluate closes the windows in which both versions have results and returns the verdict.
//
// When a window closes depends on the numbers of results only, never on how they were.
func (e *Evidence) Evaluate(now time.Time) Verdict {
	part := initialPart + (1-initialPart)*float64(now.Sub(e.Starts))/float64(max(e.Ends.Sub(e.Starts), 1))
	v := Verdict{}
	seen, strongest := 0.0, 0.0
	for _, name := range e.names {
		re, weight := e.routes[name], pooledPart/float64(kinds)
		if name != "" {
			weight = (1 - pooledPart) / float64(kinds) / (MaxRoutes + 1)
		}
		for k := range kinds {
			t := &re.tests[k]
			t.stake(part)
			if name == "" {
				e.accept(k, re)
			}
			re.weigh(k)
			s := weight * t.sum()
			v.Wealth += s
			seen += weight
			if s > strongest {
				strongest, v.Route, v.Kind = s, name, k
			}
		}
	}
	v.Wealth += 1 - seen
	return v
}

// weigh feeds the results of one kind to its test once both versions have some.
func (re *routeEvidence) weigh(k DefectKind) {
	newAll, newBad := re.window.New.of(k)
	oldAll, oldBad := re.window.Old.of(k)
	if newAll == 0 || oldAll == 0 {
		return
	}
	re.tests[k].see(k, newAll, newBad, oldAll, oldBad)
	re.window.Old.clear(k)
	re.window.New.clear(k)
}

func (c *Counts) clear(k DefectKind) {
	n := c.numbers()
	*n[2*k], *n[2*k+1] = 0, 0
}
