package version

import (
	"cmp"
	"math"
)

const (
	// falseAcceptRate is the nominal probability of accepting a version whose rate of failed requests is
	// badExtraFailures above that of the old version, or that is slow badSlowFactor times as often.
	falseAcceptRate  = 0.01
	badExtraFailures = 0.05
	// deadlineFalseAcceptRate replaces falseAcceptRate at the deadline, so that a good version is not
	// rolled back because an outage used up most of the time.
	deadlineFalseAcceptRate = 0.05
	badSlowFactor           = 3
	// Rates of the old version are assumed to be at least minFailedRate or minSlowRate, and at most maxBadRate.
	minFailedRate = 0.005
	minSlowRate   = 0.1
	maxBadRate    = 0.9
	// minAcceptLogOdds bounds how far early chance failures or the start of an outage set back
	// acceptance; maxAcceptLogOdds bounds how much good results can offset later bad ones.
	minAcceptLogOdds = -5
	maxAcceptLogOdds = 7
	// A failure is not counted as the new version's own while the old version fails at outageRate or
	// more. A single window shows this rate only if it has at least outageMinResults of the old version.
	outageRate       = 0.1
	outageMinResults = 5
)

// pendingWindow has the new version's results of a window, which count once the next window has closed,
// and the rate of bad results of the old version.
type pendingWindow struct {
	total, bad int
	oldRate    float64
}

// updateAcceptance updates Wald's sequential probability ratio test of "as good as the old
// version now" against "worse than it by a relevant amount".
//
// The rate of the old version is that of its latest results, so that an outage of both
// versions is no evidence in either direction. A window counts only when the next one has
// shown whether an outage began in it.
func (e *Evidence) updateAcceptance(k DefectKind, re *routeEvidence) {
	newTotal, newBad := re.window.New.results(k)
	oldTotal, oldBad := re.window.Old.results(k)
	recentOld := re.recentOld.counts[k]
	if newTotal == 0 || oldTotal == 0 || recentOld[0] == 0 {
		return
	}
	oldRate := recentOld[1] / recentOld[0]
	if oldTotal >= outageMinResults {
		// The latest results lag behind the start of an outage.
		oldRate = max(oldRate, float64(oldBad)/float64(oldTotal))
	}
	previous := e.pendingWindows[k]
	e.pendingWindows[k] = pendingWindow{newTotal, newBad, oldRate}
	oldRate = max(oldRate, previous.oldRate)
	if k == Failing && oldRate < outageRate {
		e.OwnFailures += uint32(previous.bad)
	}
	e.AcceptLogOdds[k] = min(max(e.AcceptLogOdds[k]+logOddsGain(k, oldRate, cmp.Or(e.ExtraFailures, badExtraFailures), previous), minAcceptLogOdds), maxAcceptLogOdds)
}

// logOddsGain returns what a window adds to the log odds that the new version is good.
func logOddsGain(k DefectKind, oldRate, extraFailures float64, w pendingWindow) float64 {
	goodRate := min(max(oldRate, minSlowRate), maxBadRate)
	badRate := min(badSlowFactor*goodRate, (1+goodRate)/2)
	if k == Failing {
		goodRate = min(max(oldRate, minFailedRate), maxBadRate)
		badRate = min(goodRate+extraFailures, (1+goodRate)/2)
	}
	return float64(w.total-w.bad)*math.Log((1-goodRate)/(1-badRate)) + float64(w.bad)*math.Log(goodRate/badRate)
}
