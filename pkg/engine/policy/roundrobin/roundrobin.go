// Package roundrobin registers the policy round_robin, which chooses the targets in turn.
package roundrobin

import (
	"time"

	"bambooferry.example/bambooferry/pkg/engine/policy"
)

// Name is the policy's name in the registry.
const Name = "round_robin"

func init() {
	policy.Register(Name, func(uint64) policy.Policy {
		last := ""
		return policy.Func(func(_ time.Time, list []policy.Candidate) int {
			pick := next(list, last)
			last = list[pick].Name
			return pick
		})
	})
}

// next returns the candidate whose name follows last in alphabetical order, or the first one.
func next(list []policy.Candidate, last string) int {
	after, first := -1, 0
	for i, c := range list {
		if c.Name < list[first].Name {
			first = i
		}
		if c.Name > last && (after < 0 || c.Name < list[after].Name) {
			after = i
		}
	}
	if after < 0 {
		return first
	}
	return after
}
