package version

import "math"

// maxHarmCount is the number of failures of the new version from which on a harmTest does not tell numbers apart;
// with so many the sequential test has enough.
const maxHarmCount = 128

// harmTest compares the failures of both versions on one route over all windows of a change, for the one time at which the
// change is decided. The sequential test may be evaluated at any time, and pays for that with results.
//
// As in the sequential test, a window's results are judged given the number of failures in it, so that an outage of
// both versions is no evidence. Slowness is left to the sequential test: a new version starts with cold caches.
type harmTest struct {
	// bad is the number of failures of the new version; oldTotal and oldBad count the old one's results and failures.
	bad, oldTotal, oldBad int
	// chances holds the probability of each number of them if the new version fails as often as the old one. The last one
	// is that of maxHarmCount or more.
	chances []float64
}

// addWindow adds the results of a window.
func (t *harmTest) addWindow(newTotal, newBad, oldTotal, oldBad int) {
	t.bad += newBad
	low, window := failureChances(newTotal, oldTotal, newBad+oldBad)
	t.oldTotal, t.oldBad = t.oldTotal+oldTotal, t.oldBad+oldBad
	t.convolve(low, window)
}

// convolve adds a number of failures with the given probabilities from low on.
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

// tail returns the probability of at least as many failures as there were.
func (t *harmTest) tail() float64 {
	sum := 0.0
	for i := min(t.bad, maxHarmCount); i < len(t.chances); i++ {
		sum += t.chances[i]
	}
	return sum
}

// failureChances returns the probability of each number of the new version's failures from low on, given the totals and the
// number of failures: the hypergeometric distribution.
func failureChances(newTotal, oldTotal, bad int) (low int, chances []float64) {
	low = max(0, bad-oldTotal)
	high := min(newTotal, bad)
	logs, largest := make([]float64, high-low+1), 0.0
	for i := 1; i < len(logs); i++ {
		x := low + i - 1
		logs[i] = logs[i-1] + math.Log(float64(newTotal-x)*float64(bad-x)/(float64(x+1)*float64(oldTotal-bad+x+1)))
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

// addAlone adds results of the new version at a time without results of the old one, which failed at a rate before.
func (t *harmTest) addAlone(newTotal, newBad int, oldRate float64) {
	t.bad += newBad
	t.convolve(0, binomialChances(newTotal, oldRate))
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

// showsHarm reports whether all results of the change show that the new version fails more often than the old one. The
// probability that those of a good version do is at most harmRate. alone holds results of the new version at a time
// without results of the old one, or is nil.
func (e *Evidence) showsHarm(harmRate float64, alone *Counts) bool {
	for _, name := range e.routeNames {
		part := harmRate * pooledPart
		if name != "" {
			part = harmRate * (1 - pooledPart) / float64(max(len(e.routeNames)-1, 1))
		}
		t := e.byRoute[name].harm
		if alone != nil && name == "" {
			total, bad := alone.results(Failing)
			t.addAlone(total, bad, min(max(e.recentOldRate(Failing), t.oldRate(), minFailedRate), maxBadRate))
		}
		if t.bad > 0 && t.tail() < part {
			return true
		}
	}
	return false
}

// oldRate returns the rate at which the old version has failed.
func (t *harmTest) oldRate() float64 { return float64(t.oldBad) / float64(max(t.oldTotal, 1)) }
