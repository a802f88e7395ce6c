package version

import "math"

// maxHarmCount is the number of bad results of the new version from which on a harmTest does not tell numbers apart;
// with so many the sequential test has enough.
const maxHarmCount = 128

// harmParts are the parts of the probability of a wrong verdict for each kind of defect.
var harmParts = [defectKinds]float64{Failing: 0.5, SlowFirstToken: 0.25, SlowTokenInterval: 0.25}

// deadlineOdds are the odds of a bad result of the new version, in relation to those of the old one, that are acceptable
// when a change is decided. Slowness is tolerated as in the sequential test.
var deadlineOdds = [defectKinds]float64{Failing: 1, SlowFirstToken: toleratedOdds[SlowFirstToken], SlowTokenInterval: toleratedOdds[SlowTokenInterval]}

// harmTest compares the bad results of both versions of one kind on one route over all windows of a change, for the one
// time at which the change is decided. The sequential test may be evaluated at any time, and pays for that with results.
//
// As in the sequential test, a window's results are judged given the number of bad ones in it, so that an outage of
// both versions is no evidence.
type harmTest struct {
	// bad is the number of bad results of the new version, and oldTotal and oldBad count those of the old one.
	bad, oldTotal, oldBad int
	// chances holds the probability of each number of them, if the new version's odds are those of deadlineOdds. The last
	// one is that of maxHarmCount or more.
	chances []float64
}

// addWindow adds the results of a window.
func (t *harmTest) addWindow(k DefectKind, newTotal, newBad, oldTotal, oldBad int) {
	t.bad += newBad
	low, window := badChances(newTotal, oldTotal, newBad+oldBad, deadlineOdds[k])
	t.oldTotal, t.oldBad = t.oldTotal+oldTotal, t.oldBad+oldBad
	t.convolve(low, window)
}

// convolve adds a number of bad results with the given probabilities from low on.
func (t *harmTest) convolve(low int, window []float64) {
	if t.chances == nil {
		t.chances = []float64{1}
	}
	if len(window) == 1 && low == 0 {
		return
	}
	sum := make([]float64, min(len(t.chances)+low+len(window)-1, maxHarmCount+1))
	for i, a := range t.chances {
		for j, b := range window {
			sum[min(i+low+j, maxHarmCount)] += a * b
		}
	}
	t.chances = sum
}

// tail returns the probability of at least as many bad results as there were.
func (t *harmTest) tail() float64 {
	sum := 0.0
	for i := min(t.bad, maxHarmCount); i < len(t.chances); i++ {
		sum += t.chances[i]
	}
	return sum
}

// badChances returns the probability of each number of the new version's bad results from low on, given the totals, the
// number of bad results and the odds: the noncentral hypergeometric distribution.
func badChances(newTotal, oldTotal, bad int, odds float64) (low int, chances []float64) {
	low = max(0, bad-oldTotal)
	high := min(newTotal, bad)
	logs, largest := make([]float64, high-low+1), 0.0
	for i := 1; i < len(logs); i++ {
		x := low + i - 1
		logs[i] = logs[i-1] + math.Log(odds*float64(newTotal-x)*float64(bad-x)/(float64(x+1)*float64(oldTotal-bad+x+1)))
		largest = max(largest, logs[i])
	}
	sum := 0.0
	for i, l := range logs {
		logs[i] = math.Exp(l - largest)
		sum += logs[i]
	}
	for i := range logs {
		logs[i] /= sum
	}
	return low, logs
}

// addAlone adds results of the new version at a time without results of the old one.
func (t *harmTest) addAlone(k DefectKind, newTotal, newBad int, oldRate float64) {
	odds := deadlineOdds[k] * oldRate / (1 - oldRate)
	t.bad += newBad
	t.convolve(0, binomialChances(newTotal, odds/(1+odds)))
}

// binomialChances returns the probability of each number of successes in n trials of probability p.
func binomialChances(n int, p float64) []float64 {
	chances := make([]float64, min(n, maxHarmCount)+1)
	logN, _ := math.Lgamma(float64(n + 1))
	sum := 0.0
	for i := range chances {
		logI, _ := math.Lgamma(float64(i + 1))
		logRest, _ := math.Lgamma(float64(n - i + 1))
		chances[i] = math.Exp(logN - logI - logRest + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p))
		sum += chances[i]
	}
	chances[len(chances)-1] += max(1-sum, 0)
	return chances
}

// showsHarm reports whether all results of the change show the new version to be worse than the old one. The probability
// that those of a good version do is at most harmRate. alone holds results of the new version at a time without results of
// the old one, or is nil.
func (e *Evidence) showsHarm(harmRate float64, alone *Counts) bool {
	for _, name := range e.routeNames {
		part := harmRate * pooledPart
		if name != "" {
			part = harmRate * (1 - pooledPart) / float64(max(len(e.routeNames)-1, 1))
		}
		for k := range defectKinds {
			t := e.byRoute[name].harm[k]
			if alone != nil && name == "" {
				total, bad := alone.results(k)
				t.addAlone(k, total, bad, min(max(e.oldRate(k), minRate(k)), maxBadRate))
			}
			if t.bad > 0 && t.tail() < part*harmParts[k] {
				return true
			}
		}
	}
	return false
}

// oldRate returns the rate of bad results of the old version: of all that were compared, or of the latest ones if it is
// higher.
func (e *Evidence) oldRate(k DefectKind) float64 {
	rate := e.recentOldRate(k)
	if re := e.byRoute[""]; re != nil && re.harm[k].oldTotal > 0 {
		rate = max(rate, float64(re.harm[k].oldBad)/float64(re.harm[k].oldTotal))
	}
	return rate
}

// minRate is the least rate of bad results that the old version is assumed to have.
func minRate(k DefectKind) float64 {
	if k == Failing {
		return minFailedRate
	}
	return minSlowRate
}
