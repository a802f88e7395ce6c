package booking

import "time"

// ShardDemand is what waits for a write of one shard.
type ShardDemand struct {
	// Claims is the number of claims; with none, only results wait.
	Claims int
	// Since is the time from which the oldest operation needs a write.
	Since time.Time
}

// resultPatience is the time, in those of a claim, after which results go before claims. At the
// default spacing, results that find no claim to go with wait for up to 0.4 s more.
const resultPatience = 10

// WriteScheduler decides which of the shards that share one budget of writes goes next.
//
// The shard with most claims goes first, as one write then settles most callers; a shard
// whose claim has waited for half a spacing goes before it. With a whole spacing, 95 in 100
// claims of 32 callers waited up to 80 ms in place of 57 ms.
type WriteScheduler struct {
	// Spacing is the mean time between writes of one shard; at 0 no write is held back.
	Spacing time.Duration
	// Shards is the number of shards that the budget is for, and Burst the writes saved up for each.
	Shards int
	Burst  int

	tokens float64
	last   time.Time
}

// Pick returns the index of the demand that may write now and takes a write off the budget.
//
// The index is -1 when none may; wake is when to ask again, if nothing else happens before.
func (t *WriteScheduler) Pick(now time.Time, demands []ShardDemand) (index int, wake time.Time) {
	if len(demands) == 0 {
		return -1, time.Time{}
	}
	if t.Spacing <= 0 {
		return 0, time.Time{}
	}
	t.refill(now)
	best := 0
	for i := range demands {
		if t.before(now, demands[i], demands[best]) {
			best = i
		}
	}
	need := 1.0
	if d := demands[best]; d.Claims == 0 && !t.overdue(now, d) {
		// Results leave half of the budget to claims that come next.
		need = max(1, t.most()/2)
	}
	if t.tokens < need {
		missing := (need - t.tokens) * float64(t.Spacing) / float64(max(t.Shards, 1))
		return -1, now.Add(time.Duration(missing) + time.Microsecond)
	}
	t.tokens--
	return best, time.Time{}
}

// Refund gives back a write that was not made.
func (t *WriteScheduler) Refund() { t.tokens = min(t.tokens+1, t.most()) }

func (t *WriteScheduler) most() float64 { return float64(max(t.Shards, 1) * max(t.Burst, 1)) }

func (t *WriteScheduler) refill(now time.Time) {
	if t.last.IsZero() {
		t.tokens = t.most()
	} else if d := now.Sub(t.last); d > 0 {
		t.tokens += float64(d) * float64(max(t.Shards, 1)) / float64(t.Spacing)
	}
	t.tokens, t.last = min(t.tokens, t.most()), now
}

func (t *WriteScheduler) overdue(now time.Time, d ShardDemand) bool {
	patience := t.Spacing / 2
	if d.Claims == 0 {
		patience *= resultPatience
	}
	return now.Sub(d.Since) > patience
}

// before reports whether a goes before b.
func (t *WriteScheduler) before(now time.Time, a, b ShardDemand) bool {
	switch x, y := t.overdue(now, a), t.overdue(now, b); {
	case x != y:
		return x
	case !x && a.Claims != b.Claims:
		return a.Claims > b.Claims
	default:
		return a.Since.Before(b.Since)
	}
}
