package link

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// statementAge is the age from which what an instance has stated about itself counts for nothing; instances
	// that serve requests state it every second.
	statementAge = 2500 * time.Millisecond
	// freshContact and contactAge are the ages up to which an instance's own contact to targets shows that it reaches
	// them: that of one that serves many requests is fresh.
	freshContact = 300 * time.Millisecond
	contactAge   = 1500 * time.Millisecond
	// failureTime is how long a carrier is passed over after it has failed.
	failureTime = time.Second
	// remoteCost is the cost of a carrier in another data centre, of that of one in the own.
	remoteCost = 2
)

// Carrier is another instance that may carry connections.
type Carrier struct {
	// Name identifies the instance in its statements.
	Name string
	// Address is where it accepts connections to be carried.
	Address    netip.AddrPort
	DataCentre string
}

// Statement is what an instance states about its own links to targets.
type Statement struct {
	// LostPools are the pools to which all its direct paths are lost. Stopping is set if it takes no new connections.
	LostPools []string
	Stopping  bool
	// Contact is the time since it last received data from a target over a direct connection, by pool.
	Contact map[string]time.Duration
}

// Carriers chooses among the instances that may carry connections; its zero value is ready for use.
//
// Each instance spreads its own connections evenly, so that the carriers share the load without messages.
type Carriers struct {
	// DataCentre is that of this instance, whose carriers are preferred.
	DataCentre string
	Seed       uint64

	rng    *rand.Rand
	states map[string]*carrierState
}

// carrierState is what is known of one carrier.
type carrierState struct {
	Statement
	statedAt time.Time
	// failedAt is when it last failed to carry a connection, by pool, or for all pools if the name is empty.
	failedAt map[string]time.Time
	// open is the number of this instance's connections that it carries.
	open int
}

// SetStatement records what an instance states about its links.
func (c *Carriers) SetStatement(now time.Time, name string, s Statement) {
	st := c.state(name)
	st.Statement, st.statedAt = s, now
}

// Begin counts a connection that a carrier carries from now on.
func (c *Carriers) Begin(name string) { c.state(name).open++ }

// End counts the end of a connection that a carrier has carried.
func (c *Carriers) End(name string) {
	st := c.state(name)
	st.open = max(st.open-1, 0)
}

// RecordFailure records that a carrier did not reach a pool, or did not answer at all if pool is empty.
func (c *Carriers) RecordFailure(now time.Time, name, pool string) {
	c.state(name).failedAt[pool] = now
}

// Usable reports whether a carrier's kept connections to a pool may be used for new requests.
func (c *Carriers) Usable(now time.Time, name, pool string) bool {
	st := c.states[name]
	return st == nil || !st.hasFailed(now, pool) && !st.refuses(now, pool)
}

// refuses reports whether an instance states that it can't carry connections to a pool.
func (s *carrierState) refuses(now time.Time, pool string) bool {
	return now.Sub(s.statedAt) < statementAge && (s.Stopping || slices.Contains(s.LostPools, pool))
}

func (s *carrierState) hasFailed(now time.Time, pool string) bool {
	return now.Sub(s.failedAt[pool]) < failureTime || now.Sub(s.failedAt[""]) < failureTime
}

// Choose returns the carrier for one more connection to a pool, of those on the list that are not to be avoided. Instances that
// have reached the pool most recently go first, then those of which nothing is known, and those that have failed last;
// one that states that it can't carry is never chosen.
func (c *Carriers) Choose(now time.Time, pool string, list []Carrier, avoid []string) (Carrier, bool) {
	if c.rng == nil {
		c.rng = rand.New(rand.NewPCG(c.Seed, 2))
	}
	best, bestRank, bestCost, found := Carrier{}, 0, 0.0, false
	for _, candidate := range list {
		rank, ok := c.rank(now, candidate.Name, pool)
		if !ok || slices.Contains(avoid, candidate.Name) {
			continue
		}
		cost := 1 + float64(c.state(candidate.Name).open)
		if candidate.DataCentre != c.DataCentre {
			cost *= remoteCost
		}
		cost += c.rng.Float64() / 2
		if !found || rank < bestRank || rank == bestRank && cost < bestCost {
			best, bestRank, bestCost, found = candidate, rank, cost, true
		}
	}
	return best, found
}

// rank returns 0 for an instance that reaches the pool now, 1 for one that did recently, 2 for one of which that is not
// known and 3 for one that has failed; it returns false for one that is not to be chosen.
func (c *Carriers) rank(now time.Time, name, pool string) (int, bool) {
	st := c.states[name]
	switch {
	case st == nil:
		return 2, true
	case st.refuses(now, pool):
		return 0, false
	case st.hasFailed(now, pool):
		return 3, true
	}
	contact, ok := st.Contact[pool]
	if !ok || now.Sub(st.statedAt) >= statementAge {
		return 2, true
	}
	switch age := contact + now.Sub(st.statedAt); {
	case age < freshContact:
		return 0, true
	case age < contactAge:
		return 1, true
	}
	return 2, true
}

// Retain drops what is known of instances that are not on the list and carry nothing.
func (c *Carriers) Retain(list []Carrier) {
	listed := map[string]bool{}
	for _, carrier := range list {
		listed[carrier.Name] = true
	}
	for name, st := range c.states {
		if !listed[name] && st.open == 0 {
			delete(c.states, name)
		}
	}
}

func (c *Carriers) state(name string) *carrierState {
	if c.states == nil {
		c.states = map[string]*carrierState{}
	}
	st := c.states[name]
	if st == nil {
		st = &carrierState{failedAt: map[string]time.Time{}}
		c.states[name] = st
	}
	return st
}
