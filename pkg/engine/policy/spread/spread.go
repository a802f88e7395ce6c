// Package spread registers the policy least_spread, which takes the least loaded target, near ones first.
package spread

import (
	"math/rand/v2"
	"time"

	"bambooferry.example/bambooferry/pkg/engine/policy"
)

// Name is the policy's name in the registry.
const Name = "least_spread"

const (
	// jitter is the part of one request by which equal loads are told apart at random, so that
	// instances that know the same do not choose the same target.
	jitter = 0.4
	// farLoad is the load that the round trip to another data centre counts for, per millisecond.
	farLoad = 0.01
	// pendingLoad is the load that a request without output counts for besides its own: its
	// prompt is read before the next one's and delays the output of all others.
	pendingLoad = 1.5
)

func init() {
	policy.Register(Name, func(seed uint64) policy.Policy {
		p := &picker{rng: rand.New(rand.NewPCG(seed, 4))}
		return policy.Func(p.pick)
	})
}

type picker struct{ rng *rand.Rand }

func (p *picker) pick(_ time.Time, list []policy.Candidate) int {
	best, least := 0, 0.0
	for i, c := range list {
		score := p.score(c)
		if i == 0 || score < least {
			best, least = i, score
		}
	}
	return best
}

// score is the load that a request would meet, in requests of a healthy target.
func (p *picker) score(c policy.Candidate) float64 {
	load := c.Load + 1 + pendingLoad*float64(c.Pending) + jitter*p.rng.Float64() + farLoad*float64(c.Distance)/float64(time.Millisecond)
	return load / max(c.Weight, 0.01)
}
