package version

import (
	"math"
	"math/rand/v2"
	"sync"
)

// Allowance chooses the requests of one instance that go to an unproven version, and keeps their number within the
// instance's part of an ExposureLimit. It needs no message of another instance for that.
type Allowance struct {
	// Limit is the instance's part, as ExposureLimit.Part returns it. Set it before the first call.
	Limit ExposureLimit

	mu sync.Mutex
	// sent counts the requests that were sent to the pool, and exposed those for which the version was chosen.
	sent, exposed float64
	// credit is the sum of the shares at each choice, and next the credit at which the version is chosen next: at a
	// random point within each unit, so that the choice has no period.
	credit, next float64
	rng          *rand.Rand
}

// NewAllowance returns an Allowance; the seed decides which requests go to the version.
func NewAllowance(limit ExposureLimit, seed uint64) *Allowance {
	rng := rand.New(rand.NewPCG(seed, seed))
	return &Allowance{Limit: limit, rng: rng, next: rng.Float64()}
}

// Allows reports whether the next request goes to the version at a share.
func (a *Allowance) Allows(share float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.exposed+1 <= a.Limit.Allowed(a.sent) && (share >= 1 || a.credit+share >= a.next)
}

// Choose records the choice for a request at a share: whether it was a first attempt, and whether it goes to the version.
func (a *Allowance) Choose(share float64, first, usesNew bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if usesNew {
		a.exposed++
	}
	if share >= 1 {
		return
	}
	if first {
		// A request that should have gone to the version, but could not, is made up for only once.
		a.credit = min(a.credit+share, a.next+1)
	}
	if usesNew {
		a.next = math.Floor(a.next) + 1 + a.rng.Float64()
	}
}

// CountSent counts a request that was sent to a target of the pool.
func (a *Allowance) CountSent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent++
}

// Counts returns the number of requests that were sent, and of those that went to the version.
func (a *Allowance) Counts() (sent, exposed float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sent, a.exposed
}
