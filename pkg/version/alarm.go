package version

const (
	// alarmMinResults is the number of recent results that an alarm needs; the weight of older results
	// is halved each time that the total reaches twice alarmWindow.
	alarmMinResults = 20
	alarmWindow     = 60
	// An alarm is raised if the share of bad results exceeds twice the old version's by the margin, and
	// there are at least alarmMinBad bad results.
	alarmFailedMargin = 0.05
	alarmMinBad       = 3
	alarmSlowMargin   = 0.15
)

// recentResults holds the totals and the bad results among the latest results of one version on one route.
//
// An alarm does not roll a change back. It gives the old version a larger share for a
// while, so that the test has results to compare with: at a control share of a few
// percent it would take minutes to prove that a moderately bad version is bad.
type recentResults struct{ counts [defectKinds][2]float64 }

func (r *recentResults) add(c Counts) {
	for k := range defectKinds {
		total, bad := c.results(k)
		sums := &r.counts[k]
		sums[0] += float64(total)
		sums[1] += float64(bad)
		for sums[0] >= 2*alarmWindow {
			sums[0], sums[1] = sums[0]/2, sums[1]/2
		}
	}
}

// worseThan reports whether the results look worse than those of the old version for any kind of defect.
func (r *recentResults) worseThan(old *recentResults) bool {
	for k, sums := range r.counts {
		minBadRate := alarmFailedMargin
		if DefectKind(k) != Failing {
			minBadRate = alarmSlowMargin
		}
		if oldCounts := old.counts[k]; oldCounts[0] > 0 {
			minBadRate += 2 * oldCounts[1] / oldCounts[0]
		}
		if sums[0] >= alarmMinResults && sums[1] >= alarmMinBad && sums[1] >= minBadRate*sums[0] {
			return true
		}
	}
	return false
}

// Alarm reports whether recent results of the new version look worse than those of the old one.
func (e *Evidence) Alarm() bool {
	for _, name := range e.routeNames {
		if re := e.byRoute[name]; re.recentNew.worseThan(&re.recentOld) {
			return true
		}
	}
	return false
}
