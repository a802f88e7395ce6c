package version

import (
	"cmp"
	"math"
	"time"
)

// decideAtDeadline completes the change at its deadline or rolls it back: no change stays undecided
// after its deadline.
//
// Only the sequential test finds that a version is bad. A rollback here is for lack of targets or
// evidence, or for signs of harm short of proof, and its reason says which.
func (c *Change) decideAtDeadline(now time.Time) []Action {
	record := &c.Record
	switch {
	case c.maxShare() < 1-c.Limits.ControlShare:
		return c.rollBack(now, "too_few_targets_by_deadline", false)
	case record.Wealth >= suspicionWealth || record.Wealth >= calmWealth && c.evidence.Alarm():
		return c.rollBack(now, "signs_of_harm_by_deadline", false)
	case c.evidence.showsHarm(c.Limits.DeadlineHarmRate, nil):
		return c.rollBack(now, "worse_by_deadline", false)
	case c.Limits.TrialUntilDeadline && record.New.Requests >= minStepResults && c.logOddsAtLeast(minFinalLogOdds, nil):
		record.Share = c.maxShare()
		c.finalFrom = record.New
		return c.enterState(now, Done, "no_sign_of_harm")
	case c.Limits.TrialUntilDeadline:
		return c.rollBack(now, "too_little_evidence_by_deadline", false)
	case record.State == Moving || c.isAccepted(deadlineFalseAcceptRate):
		record.Share = c.maxShare()
		return c.enterState(now, Done, "evidence_suffices")
	case c.fewResultsSuffice():
		record.Share = c.maxShare()
		return c.enterState(now, Done, "few_results_without_failure")
	}
	return c.rollBack(now, "too_little_evidence_by_deadline", false)
}

// fewResultsSuffice reports whether results that are too few for the acceptance test are enough at the
// deadline: enough successes, no failure of the version's own, and no tendency towards slowness.
//
// A rule that allows some failures among more results was considered: at 20 requests/s it rolled back
// fewer good versions for lack of evidence, but completed 0.76 instead of 0.15 of the versions that fail
// on one route of four.
func (c *Change) fewResultsSuffice() bool {
	record := &c.Record
	return record.New.Requests-record.New.Failed >= minDeadlineResults && record.OwnFailures == 0 &&
		record.AcceptLogOdds[SlowFirstToken] >= 0 && record.AcceptLogOdds[SlowTokenInterval] >= 0
}

// isAccepted reports whether the acceptance tests have accepted the new version for failures and for each
// kind of slowness that has results.
func (c *Change) isAccepted(falseAccept float64) bool {
	return c.logOddsAtLeast(math.Log(1/falseAccept), nil)
}

// logOddsAtLeast reports whether the log odds that the new version is good are at least those given, for failures and
// for each kind of slowness that has results. extra holds further results of the new version, or is nil.
func (c *Change) logOddsAtLeast(minLogOdds float64, extra *Counts) bool {
	for k := range defectKinds {
		total, _ := c.Record.New.results(k)
		if k == Failing && total == 0 {
			return false
		}
		logOdds := c.Record.AcceptLogOdds[k]
		if extra != nil {
			n, bad := extra.results(k)
			logOdds += logOddsGain(k, c.evidence.recentOldRate(k), cmp.Or(c.Limits.ExtraFailures, badExtraFailures), pendingWindow{total: n, bad: bad})
		}
		if total > 0 && logOdds < minLogOdds {
			return false
		}
	}
	return true
}
