// Package spread registers the policy least_spread, which chooses the least loaded of a sample of
// targets, preferring near ones.
package spread

import (
	"math/rand/v2"
	"time"

	"bambooferry.example/bambooferry/pkg/engine/policy"
)

// Name is the policy's name in the registry.
const Name = "least_spread"

const (
	// sampleSize is the number of random candidates that are compared. The least loaded of all
	// targets would be chosen by all instances at once, before each learns of the others' choices.
	sampleSize = 12
	// jitter is the largest load, in requests, that is added at random to break ties, so that
	// instances with the same data do not choose the same target.
	jitter = 0.4
	// loadPerMillisecond is the load that each millisecond of round-trip time to the target counts
	// as.
	loadPerMillisecond = 0.01
	// loadPerPending is the extra load that a request without output counts as: its prompt is
	// processed before the next one's and delays the output of all others.
	loadPerPending = 1.5
)

func init() {
	policy.Register(Name, func(seed uint64) policy.Policy {
		p := &picker{rng: rand.New(rand.NewPCG(seed, 4))}
		return policy.Func(p.pick)
	})
}

type picker struct{ rng *rand.Rand }

func (p *picker) pick(_ time.Time, list []policy.Candidate) int {
	best, bestScore := -1, 0.0
	first, step := policy.RandomOrder(p.rng, len(list))
	for n := range min(sampleSize, len(list)) {
		i := (first + n*step) % len(list)
		score := p.score(list[i])
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// score returns the load that a new request would find at a candidate, in requests of a healthy
// target.
func (p *picker) score(c policy.Candidate) float64 {
	load := c.Load + 1 + loadPerPending*float64(c.Pending) + jitter*p.rng.Float64() + loadPerMillisecond*float64(c.RoundTrip)/float64(time.Millisecond)
	return load / max(c.Weight, 0.01)
}
