package version

import (
	"math"
	"time"
)

// Alpha bounds the probability that one decider ever finds a good version bad.
//
// The two candidates test independently, and each one that takes over later adds one
// Alpha, so that up to five can test a change within the stated target of 1 in 1,000.
const Alpha = 0.0002

// The test compares the odds of a bad result of the new version with those of the
// old one. Odds up to toleratedOdds times the old ones are acceptable. Each of the odds
// ratios in suspectedOdds has an equal share in the mixture. The tolerated odds are higher
// for slowness than for failures, since a new version starts with cold caches.
var (
	toleratedOdds = [defectKinds]float64{Failing: 1.5, SlowFirstToken: 2.5, SlowTokenInterval: 2}
	suspectedOdds = [...]float64{4, 16, 100}
)

const (
	// pooledPart is the part of the test's weight for all routes together; the rest is for single routes.
	pooledPart = 0.5
	// initialStake is the part of a test's stake that is in play from the start; the rest is added over
	// the duration of the change, so that there is unused stake for a version that turns bad late.
	initialStake = 0.2
	// maxWealth bounds the wealth, so that products stay finite.
	maxWealth = 1e30
)

// mixtureTest is a mixture sequential probability ratio test of one kind on one route.
//
// If the new version is good, the total wealth (including the stake not yet in play) is a
// non-negative supermartingale that starts at 1. By Ville's inequality the probability that
// it ever reaches 1/Alpha is then at most Alpha, however often it is evaluated.
type mixtureTest struct {
	// wealth is the value of the bet on each of suspectedOdds.
	wealth [len(suspectedOdds)]float64
	// staked is the part of the stake that is in play.
	staked float64
}

// raiseStake raises the part of the stake that is in play to stake.
func (t *mixtureTest) raiseStake(stake float64) {
	stake = min(max(stake, initialStake), 1)
	if added := stake - t.staked; added > 0 {
		for i := range t.wealth {
			t.wealth[i] += added / float64(len(suspectedOdds))
		}
		t.staked = stake
	}
}

func (t *mixtureTest) totalWealth() float64 {
	sum := 1 - t.staked
	for _, v := range t.wealth {
		sum += v
	}
	return sum
}

// addWindow updates the test with a window: the totals and the bad results of the new and of the old version.
//
// Given both totals and the number of bad results in the window, the number of bad results
// of a good version is hypergeometric, whatever the rate of bad results is at the time.
// A slowdown or outage of both versions is therefore no evidence.
func (t *mixtureTest) addWindow(k DefectKind, newTotal, newBad, oldTotal, oldBad int) {
	bad := newBad + oldBad
	if newTotal == 0 || oldTotal == 0 || bad == 0 || bad == newTotal+oldTotal {
		return
	}
	low, high := max(0, bad-oldTotal), min(newTotal, bad)
	logTolerated := logSum(low, high, newTotal, oldTotal, bad, math.Log(toleratedOdds[k]))
	for i, odds := range suspectedOdds {
		logSuspected := logSum(low, high, newTotal, oldTotal, bad, math.Log(odds))
		gain := float64(newBad-low)*(math.Log(odds)-math.Log(toleratedOdds[k])) - (logSuspected - logTolerated)
		t.wealth[i] = min(t.wealth[i]*math.Exp(gain), maxWealth)
	}
}

// logSum returns the log of the sum of the weights of the noncentral
// hypergeometric distribution, relative to the weight at low.
func logSum(low, high, newTotal, oldTotal, bad int, logOdds float64) float64 {
	sum, term := 0.0, 0.0
	for x := low; x < high; x++ {
		term += math.Log(float64(newTotal-x)*float64(bad-x)/(float64(x+1)*float64(oldTotal-bad+x+1))) + logOdds
		if term > sum {
			sum = term + math.Log1p(math.Exp(sum-term))
		} else {
			sum += math.Log1p(math.Exp(term - sum))
		}
	}
	return sum
}

// Evidence holds the reported results of one change and the tests over them.
type Evidence struct {
	// Starts and Ends bound the duration of the change, over which the stake is put in play.
	Starts time.Time
	Ends   time.Time
	// AcceptLogOdds has the log odds of the acceptance tests.
	AcceptLogOdds [defectKinds]float64
	// OwnFailures counts failures of the new version at times when the old one did not fail as well.
	OwnFailures uint32
	// ExtraFailures is the rate of failures beyond that of the old version that the acceptance test must
	// distinguish from none; 0 means 0.05.
	ExtraFailures float64
	// pendingWindows are the latest windows, in which an outage may have begun.
	pendingWindows [defectKinds]pendingWindow

	routeNames []string
	byRoute    map[string]*routeEvidence
}

// routeEvidence is the evidence of one route, or of all routes together.
type routeEvidence struct {
	// window has the results that the tests have not used yet.
	window    RouteCounts
	recentNew recentResults
	recentOld recentResults
	tests     [defectKinds]mixtureTest
	harm      harmTest
}

// Verdict is the result of the tests; the version is bad at a wealth of 1/Alpha.
type Verdict struct {
	Wealth float64
	// Route and Kind are those with the strongest evidence; Route is empty for all routes together.
	Route string
	Kind  DefectKind
}

// Add adds the results of a report.
func (e *Evidence) Add(r Report) {
	if e.byRoute == nil {
		e.byRoute = map[string]*routeEvidence{}
	}
	for _, route := range r.Routes {
		for _, name := range [...]string{"", route.Route} {
			re := e.evidenceOf(name)
			re.window.add(route)
			re.recentNew.add(route.New)
			re.recentOld.add(route.Old)
		}
	}
}

// evidenceOf returns the evidence of a route, which it adds if there are few enough, or that of OtherRoute.
func (e *Evidence) evidenceOf(name string) *routeEvidence {
	re := e.byRoute[name]
	if re == nil && len(e.byRoute) > MaxRoutes {
		name = OtherRoute
		re = e.byRoute[name]
	}
	if re == nil {
		re = &routeEvidence{}
		e.byRoute[name] = re
		e.routeNames = append(e.routeNames, name)
	}
	return re
}

// Evaluate closes the windows in which both versions have results and returns the verdict.
//
// When a window closes depends only on the numbers of results, never on whether they are bad.
func (e *Evidence) Evaluate(now time.Time) Verdict {
	stake := initialStake + (1-initialStake)*float64(now.Sub(e.Starts))/float64(max(e.Ends.Sub(e.Starts), 1))
	verdict := Verdict{}
	weightSum, strongest := 0.0, 0.0
	for _, name := range e.routeNames {
		re, weight := e.byRoute[name], pooledPart/float64(defectKinds)
		if name != "" {
			weight = (1 - pooledPart) / float64(defectKinds) / (MaxRoutes + 1)
		}
		for k := range defectKinds {
			test := &re.tests[k]
			test.raiseStake(stake)
			if name == "" {
				e.updateAcceptance(k, re)
			}
			re.closeWindow(k)
			weighted := weight * test.totalWealth()
			verdict.Wealth += weighted
			weightSum += weight
			if weighted > strongest {
				strongest, verdict.Route, verdict.Kind = weighted, name, k
			}
		}
	}
	verdict.Wealth += 1 - weightSum
	return verdict
}

// closeWindow updates the test of one kind with the window's results, once both versions have some.
func (re *routeEvidence) closeWindow(k DefectKind) {
	newTotal, newBad := re.window.New.results(k)
	oldTotal, oldBad := re.window.Old.results(k)
	if newTotal == 0 || oldTotal == 0 {
		return
	}
	re.tests[k].addWindow(k, newTotal, newBad, oldTotal, oldBad)
	if k == Failing {
		re.harm.addWindow(newTotal, newBad, oldTotal, oldBad)
	}
	re.window.Old.clearKind(k)
	re.window.New.clearKind(k)
}

func (c *Counts) clearKind(k DefectKind) {
	counters := c.counters()
	*counters[2*k], *counters[2*k+1] = 0, 0
}
