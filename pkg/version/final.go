package version

import (
	"math"
	"time"
)

const (
	// finalHarmRate is the probability that the results of a good version in its final time are taken for harm.
	finalHarmRate = 0.0005
	// finalMinBad is the least number of bad results that are taken for harm.
	finalMinBad = 3
)

// stepFinal closes a change that gives the new version all requests at the end of its time, or rolls it back.
func (c *Change) stepFinal(now time.Time) []Action {
	record := &c.Record
	final := record.New.since(c.finalFrom)
	if c.showsHarm(final) {
		return c.rollBack(now, "bad_in_final_time", false)
	}
	switch {
	case now.Before(c.Plan.End):
		return nil
	case c.held:
		return c.rollBack(now, "signs_of_harm_at_end", false)
	case c.evidence.showsHarm(c.Limits.DeadlineHarmRate, &final):
		return c.rollBack(now, "worse_at_end", false)
	case now.Before(c.CloseAfter):
		return c.rollBack(now, "exposure_limit_at_end", false)
	case max(record.New.Requests, record.New.FirstTokens)-record.New.Failed < minDeadlineResults || !c.logOddsAtLeast(math.Log(1/deadlineFalseAcceptRate), &final):
		return c.rollBack(now, "too_little_evidence_at_end", false)
	}
	record.Share = 1
	return c.enterState(now, Closed, "good_in_final_time")
}

// showsHarm reports whether results of the new version are worse than the recent results of the old one by more than
// chance. It needs no results of the old version at the same time.
func (c *Change) showsHarm(results Counts) bool {
	for k := range defectKinds {
		total, bad := results.results(k)
		floor := minFailedRate
		if k != Failing {
			floor = minSlowRate
		}
		tolerated := min(toleratedOdds[k]*max(c.evidence.recentOldRate(k), floor), maxBadRate)
		if bad >= finalMinBad && binomialTail(total, bad, tolerated) < finalHarmRate {
			return true
		}
	}
	return false
}

// recentOldRate returns the rate of bad results among the old version's latest ones.
func (e *Evidence) recentOldRate(k DefectKind) float64 {
	re := e.byRoute[""]
	if re == nil || re.recentOld.counts[k][0] == 0 {
		return 0
	}
	return re.recentOld.counts[k][1] / re.recentOld.counts[k][0]
}

// binomialTail returns the probability of at least k successes in n trials of probability p, which is in (0, 1).
func binomialTail(n, k int, p float64) float64 {
	logN, _ := math.Lgamma(float64(n + 1))
	sum := 0.0
	for i := k; i <= n; i++ {
		logI, _ := math.Lgamma(float64(i + 1))
		logRest, _ := math.Lgamma(float64(n - i + 1))
		sum += math.Exp(logN - logI - logRest + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p))
	}
	return sum
}

// since returns the counts that were added after former, an earlier state of the same counts.
func (c Counts) since(former Counts) Counts {
	from := former.counters()
	for i, n := range c.counters() {
		*n -= min(*n, *from[i])
	}
	return c
}
