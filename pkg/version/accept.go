package version

import "math"

const (
	// acceptError is the nominal chance to accept a version that fails acceptMore
	// more requests than the old one, or is slow acceptTimes as often.
	acceptError = 0.01
	acceptMore  = 0.05
	// deadlineError takes its place at the deadline, so that an outage which used up
	// most of the time does not send a good version back.
	deadlineError = 0.05
	acceptTimes   = 3
	// Rates of the old version are taken to be at least these.
	leastFailed = 0.005
	leastSlow   = 0.1
	mostBad     = 0.9
	// acceptFloor bounds how far early bad luck or the start of an outage sets back
	// acceptance, acceptTop how much good results store up.
	acceptFloor = -5
	acceptTop   = 7
	// A failure while the old version fails at outageRate or more, in a window with at
	// least outageResults of its results, is not the new version's own.
	outageRate    = 0.1
	outageResults = 5
)

// awaited is the new version's part of a window that is judged once the next one has closed.
type awaited struct {
	all, bad int
	rate     float64
}

// accept moves Wald's sequential probability ratio test of "as good as the old
// version now" against "worse than it by an amount that matters".
//
// The rate of the old version is that of its latest results, so that an outage
// of both versions neither proves nor disproves anything. A window is judged when
// the next one has shown whether an outage began in it.
func (e *Evidence) accept(k DefectKind, re *routeEvidence) {
	all, bad := re.window.New.of(k)
	n, oldBad := re.window.Old.of(k)
	old := re.recentOld.counts[k]
	if all == 0 || n == 0 || old[0] == 0 {
		return
	}
	rate := old[1] / old[0]
	if n >= outageResults {
		// The latest results lag behind the start of an outage.
		rate = max(rate, float64(oldBad)/float64(n))
	}
	last := e.awaited[k]
	e.awaited[k] = awaited{all, bad, rate}
	rate = max(rate, last.rate)
	if k == Failing && rate < outageRate {
		e.OwnFailures += uint32(last.bad)
	}
	e.AcceptLogOdds[k] = min(max(e.AcceptLogOdds[k]+gain(k, rate, last), acceptFloor), acceptTop)
}

// gain is what a window adds to the log of the odds that the version is good.
func gain(k DefectKind, rate float64, w awaited) float64 {
	p := min(max(rate, leastSlow), mostBad)
	q := min(acceptTimes*p, (1+p)/2)
	if k == Failing {
		p = min(max(rate, leastFailed), mostBad)
		q = p + acceptMore
	}
	return float64(w.all-w.bad)*math.Log((1-p)/(1-q)) + float64(w.bad)*math.Log(p/q)
}
