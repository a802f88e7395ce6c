// Package least registers the policy least_requests, which chooses the target with the lowest load.
package least

import (
	"time"

	"bambooferry.example/bambooferry/pkg/engine/policy"
)

// Name is the policy's name in the registry.
const Name = "least_requests"

func init() {
	policy.Register(Name, func(uint64) policy.Policy { return policy.Func(pick) })
}

func pick(_ time.Time, list []policy.Candidate) int {
	best := 0
	for i, c := range list {
		if c.Load < list[best].Load {
			best = i
		}
	}
	return best
}
