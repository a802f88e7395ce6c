// Package expected registers the policy expected_time, which chooses the target with the earliest
// expected first token.
package expected

import (
	"math/rand/v2"
	"time"

	"bambooferry.example/bambooferry/pkg/engine/policy"
)

// Name is the policy's name in the registry.
const Name = "expected_time"

// sampleSize is the number of random candidates that are compared. If all instances compared every
// target using the same outdated reports, they would all choose the same one.
const sampleSize = 4

func init() {
	policy.Register(Name, func(seed uint64) policy.Policy {
		p := &picker{rng: rand.New(rand.NewPCG(seed, 3))}
		return policy.Func(p.pick)
	})
}

type picker struct{ rng *rand.Rand }

func (p *picker) pick(_ time.Time, list []policy.Candidate) int {
	best := p.mostCached(list)
	for range min(sampleSize, len(list)) {
		i := p.rng.IntN(len(list))
		// A target of low weight is considered only as often as its weight allows.
		if p.rng.Float64() >= list[i].Weight {
			continue
		}
		if best < 0 || FirstTokenTime(list[i]) < FirstTokenTime(list[best]) {
			best = i
		}
	}
	if best < 0 {
		return p.highestWeight(list)
	}
	return best
}

// FirstTokenTime returns the expected time to the first token at a candidate.
func FirstTokenTime(c policy.Candidate) time.Duration {
	return c.RoundTrip + c.QueueWait + time.Duration(float64(c.PrefillTime)*(1-c.CachedShare))
}

// mostCached returns the candidate that has the largest share of the prompt cached, or -1.
func (p *picker) mostCached(list []policy.Candidate) int {
	best := -1
	for i, c := range list {
		if c.CachedShare > 0 && (best < 0 || c.CachedShare > list[best].CachedShare) && p.rng.Float64() < c.Weight {
			best = i
		}
	}
	return best
}

func (p *picker) highestWeight(list []policy.Candidate) int {
	best, start := -1, p.rng.IntN(len(list))
	for n := range list {
		i := (start + n) % len(list)
		if best < 0 || list[i].Weight > list[best].Weight {
			best = i
		}
	}
	return best
}
