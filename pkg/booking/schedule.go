package booking

import "time"

// ShardDemand summarises the operations of one shard that wait for a write.
type ShardDemand struct {
	// Claims is the number of waiting claims; at 0 only results are waiting.
	Claims int
	// Since is the time from which the oldest operation needs a write.
	Since time.Time
}

// resultWaitFactor is the ratio of the time after which waiting results are overdue, and so go
// before claims, to that of claims. At the default spacing, results that cannot be written together
// with a claim wait for up to 0.4 s more.
const resultWaitFactor = 10

// WriteScheduler decides which of the shards that share one write budget writes next.
//
// The shard with the most claims goes first, as one write then completes the most calls; a shard
// whose claim has waited for half of Spacing goes before it. With a limit of a whole Spacing, 95 in
// 100 claims of 32 callers waited up to 80 ms instead of 57 ms.
type WriteScheduler struct {
	// Spacing is the mean time between writes of one shard; at 0 writes are not limited.
	Spacing time.Duration
	// Shards is the number of shards that share the budget, and Burst the number of unused writes
	// that accumulate for each.
	Shards int
	Burst  int

	tokens     float64
	lastRefill time.Time
}

// Pick returns the index of the demand that may write now and consumes a write from the budget.
//
// The index is -1 when none may write; wake is then the time to call Pick again if nothing changes
// earlier.
func (s *WriteScheduler) Pick(now time.Time, demands []ShardDemand) (index int, wake time.Time) {
	if len(demands) == 0 {
		return -1, time.Time{}
	}
	if s.Spacing <= 0 {
		return 0, time.Time{}
	}
	s.refill(now)
	best := 0
	for i := range demands {
		if s.precedes(now, demands[i], demands[best]) {
			best = i
		}
	}
	need := 1.0
	if d := demands[best]; d.Claims == 0 && !s.overdue(now, d) {
		// Results leave half of the budget for claims that arrive next.
		need = max(1, s.maxTokens()/2)
	}
	if s.tokens < need {
		missing := (need - s.tokens) * float64(s.Spacing) / float64(max(s.Shards, 1))
		return -1, now.Add(time.Duration(missing) + time.Microsecond)
	}
	s.tokens--
	return best, time.Time{}
}

// Refund returns a write that was not made to the budget.
func (s *WriteScheduler) Refund() { s.tokens = min(s.tokens+1, s.maxTokens()) }

func (s *WriteScheduler) maxTokens() float64 { return float64(max(s.Shards, 1) * max(s.Burst, 1)) }

func (s *WriteScheduler) refill(now time.Time) {
	if s.lastRefill.IsZero() {
		s.tokens = s.maxTokens()
	} else if d := now.Sub(s.lastRefill); d > 0 {
		s.tokens += float64(d) * float64(max(s.Shards, 1)) / float64(s.Spacing)
	}
	s.tokens, s.lastRefill = min(s.tokens, s.maxTokens()), now
}

func (s *WriteScheduler) overdue(now time.Time, d ShardDemand) bool {
	maxWait := s.Spacing / 2
	if d.Claims == 0 {
		maxWait *= resultWaitFactor
	}
	return now.Sub(d.Since) > maxWait
}

// precedes reports whether a is written before b.
func (s *WriteScheduler) precedes(now time.Time, a, b ShardDemand) bool {
	switch x, y := s.overdue(now, a), s.overdue(now, b); {
	case x != y:
		return x
	case !x && a.Claims != b.Claims:
		return a.Claims > b.Claims
	default:
		return a.Since.Before(b.Since)
	}
}
