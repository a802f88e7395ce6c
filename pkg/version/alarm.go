package version

const (
	// alarmResults is the number of recent results that an alarm needs, after which older ones fade.
	alarmResults = 20
	alarmKept    = 60
	// An alarm rings at that share of bad results above twice the old version's, and not below alarmBad results.
	alarmFailed = 0.05
	alarmBad    = 3
	alarmSlow   = 0.15
)

// recent remembers the latest results of one version on one route.
//
// An alarm takes nothing back. It gives the old version a larger part for a
// while, so that the test has something to compare with: at a control share of a
// few parts in 100 a moderately bad version would take minutes to prove.
type recent struct{ counts [kinds][2]float64 }

func (r *recent) add(c Counts) {
	for k := range kinds {
		all, bad := c.of(k)
		n := &r.counts[k]
		n[0] += float64(all)
		n[1] += float64(bad)
		for n[0] >= 2*alarmKept {
			n[0], n[1] = n[0]/2, n[1]/2
		}
	}
}

// alarm reports whether the results of one kind are worse than those of the old version on any look.
func (r *recent) alarm(old *recent) bool {
	for k, n := range r.counts {
		bound := alarmFailed
		if DefectKind(k) != Failing {
			bound = alarmSlow
		}
		if o := old.counts[k]; o[0] > 0 {
			bound += 2 * o[1] / o[0]
		}
		if n[0] >= alarmResults && n[1] >= alarmBad && n[1] >= bound*n[0] {
			return true
		}
	}
	return false
}

// Alarm reports whether recent results of the new version look worse than those of the old one.
func (e *Evidence) Alarm() bool {
	for _, name := range e.names {
		if re := e.routes[name]; re.recentNew.alarm(&re.recentOld) {
			return true
		}
	}
	return false
}
