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
	// sample is the number of random candidates compared. The least loaded of all would be
	// chosen by all instances at once before they hear of each other.
	sample = 12
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
	best, least := -1, 0.0
	first := p.rng.IntN(len(list))
	step := p.step(len(list))
	for n := range min(sample, len(list)) {
		i := (first + n*step) % len(list)
		score := p.score(list[i])
		if best < 0 || score < least {
			best, least = i, score
		}
	}
	return best
}

// step returns a random step that visits different candidates of a list of n.
func (p *picker) step(n int) int {
	for {
		step := 1 + p.rng.IntN(n)
		if gcd(step, n) == 1 {
			return step
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// score is the load that a request would meet, in requests of a healthy target.
func (p *picker) score(c policy.Candidate) float64 {
	load := c.Load + 1 + pendingLoad*float64(c.Pending) + jitter*p.rng.Float64() + farLoad*float64(c.RoundTrip)/float64(time.Millisecond)
	return load / max(c.Weight, 0.01)
}
