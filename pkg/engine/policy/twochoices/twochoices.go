// Package twochoices registers the policy two_choices, which chooses the less loaded of two random
// targets.
package twochoices

import (
	"math/rand/v2"
	"time"

	"bambooferry.example/bambooferry/pkg/engine/policy"
)

// Name is the policy's name in the registry.
const Name = "two_choices"

func init() {
	policy.Register(Name, func(seed uint64) policy.Policy {
		rng := rand.New(rand.NewPCG(seed, 2))
		return policy.Func(func(_ time.Time, list []policy.Candidate) int {
			a, b := rng.IntN(len(list)), rng.IntN(len(list))
			if list[b].Load < list[a].Load {
				return b
			}
			return a
		})
	})
}
