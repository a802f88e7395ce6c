package workload

import (
	"math"
	"time"
)

const (
	defaultPersistence = 600 * time.Millisecond
	minPersistence     = 50 * time.Millisecond
	maxPersistence     = 5 * time.Second
	persistencePairs   = 20 // until then the default is used
	persistenceSteps   = 32 // of the values that are tried
	persistenceRefit   = 10 // pairs
	// maxPersistenceCount is the number of pairs, and of statements, at which all counts are halved.
	maxPersistenceCount = 1000

	// Pairs closer than minLag would fill the counts with a busy target's; pairs further apart than maxLag show nothing.
	minLag = 50 * time.Millisecond
	maxLag = 10 * time.Second
	// remoteLag is the least distance of a remote statement: its time is known to a datagram's delay, and it comes again
	// in several messages.
	remoteLag = 250 * time.Millisecond
	// priorWeight makes a factor of 2 from the default as improbable as 1/e. With a quarter of it, the few close pairs of
	// 30 targets with one statement in 4 s gave 180 to 280 ms for spells of 600 ms.
	priorWeight = 2.0
	lagBins     = 16 // two for each doubling

	// maxFalseRun bounds the probability that a run of independent statements deviates though the base is unchanged.
	maxFalseRun      = 1e-4
	minRunStatements = 3
	maxRunStatements = paceSamples/2 + 1 // then the median changes anyway
)

// persistence learns how long a deviation from the base lasts. The model is that after a time d a target that deviated
// still states the same with probability s + (1-s) exp(-d/t), where s is the share of statements that deviate.
type persistence struct {
	bins           [lagBins]lagBin
	pairs          float64
	statements     float64
	slower, faster float64 // statements that deviate from the base, to either side
	pending        int
	learned        time.Duration
}

type lagBin struct{ same, different, lagSum float64 }

func (p *persistence) time() time.Duration {
	if p.learned == 0 {
		return defaultPersistence
	}
	return p.learned
}

// recordStatement counts a statement of a target whose base is known.
func (p *persistence) recordStatement(slowness, base float64) {
	if p.statements >= maxPersistenceCount {
		p.statements, p.slower, p.faster = p.statements/2, p.slower/2, p.faster/2
	}
	p.statements++
	switch {
	case same(slowness, base):
	case slowness > base:
		p.slower++
	default:
		p.faster++
	}
}

// runStatements returns how many statements in a row that deviate to one side show that the base has changed.
func (p *persistence) runStatements(slower bool) int {
	deviating := p.faster
	if slower {
		deviating = p.slower
	}
	share := (deviating + 1) / (p.statements + 10)
	return min(max(int(math.Ceil(math.Log(maxFalseRun)/math.Log(share))), minRunStatements), maxRunStatements)
}

// recordPair records whether a target that deviated from its base stated the same again after the given time.
func (p *persistence) recordPair(lag time.Duration, same bool) {
	if lag < minLag || lag > maxLag {
		return
	}
	if p.pairs >= maxPersistenceCount {
		p.pairs /= 2
		for i := range p.bins {
			b := &p.bins[i]
			b.same, b.different, b.lagSum = b.same/2, b.different/2, b.lagSum/2
		}
	}
	i := int(2 * math.Log2(float64(lag)/float64(minLag)))
	b := &p.bins[min(i, lagBins-1)]
	b.lagSum += lag.Seconds()
	if same {
		b.same++
	} else {
		b.different++
	}
	p.pairs++
	p.pending++
	if p.pairs >= persistencePairs && (p.learned == 0 || p.pending >= persistenceRefit) {
		p.pending = 0
		p.learned = p.fit()
	}
}

// fit returns the most probable time. A weak prior keeps it near the default if all pairs are too far apart to show it.
func (p *persistence) fit() time.Duration {
	share := (p.slower + p.faster + 1) / (p.statements + 10)
	best, bestTime := math.Inf(-1), defaultPersistence
	for i := range persistenceSteps + 1 {
		ratio := float64(maxPersistence) / float64(minPersistence)
		t := minPersistence.Seconds() * math.Pow(ratio, float64(i)/persistenceSteps)
		prior := math.Log(t / defaultPersistence.Seconds())
		likelihood := -priorWeight * prior * prior
		for _, b := range p.bins {
			if n := b.same + b.different; n > 0 {
				x := share + (1-share)*math.Exp(-b.lagSum/n/t)
				x = min(max(x, 1e-6), 1-1e-6)
				likelihood += b.same*math.Log(x) + b.different*math.Log(1-x)
			}
		}
		if likelihood > best {
			best, bestTime = likelihood, time.Duration(t*float64(time.Second))
		}
	}
	return bestTime
}
