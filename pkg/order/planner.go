package order

import (
	"cmp"
	"slices"
	"time"
)

// Limits bound the orders of a planner.
type Limits struct {
	// MaxConcurrentLoads is the number of loads that the weight store can serve at once.
	MaxConcurrentLoads int
	// LoadTime is the expected time of a load until one has been measured.
	LoadTime time.Duration
	// Grace is the time after which no order of the previous sender can still arrive.
	Grace time.Duration
	// Backoff and MaxBackoff bound the time between attempts of one order.
	Backoff    time.Duration
	MaxBackoff time.Duration
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{MaxConcurrentLoads: 2, LoadTime: 30 * time.Second, Grace: 3 * time.Second, Backoff: 250 * time.Millisecond, MaxBackoff: 30 * time.Second}
}

const (
	// overdueFactor is the number of load times after which an accepted load is considered lost and ordered again.
	overdueFactor = 4
	// slotReserveFactor is the least ratio of the slots of the engines that are not loading to
	// the running requests.
	slotReserveFactor = 1.1
)

// Planner decides which orders one sender sends from when it acquires its fencing number.
type Planner struct {
	Limits Limits
	// FenceAcquired is when the sender acquired its fencing number.
	FenceAcquired time.Time

	// attempts has the last attempt of each order whose effect has not been reported, by attemptKey.
	attempts map[string]*attempt
	// longestLoadTime is the longest load measured so far, or 0.
	longestLoadTime time.Duration
}

// attempt is the last attempt of one order.
type attempt struct {
	// acceptedAt is when a load was sent, or zero if it was refused or the order is of another kind;
	// a load counts as accepted unless it is refused.
	acceptedAt time.Time
	// nextAllowed is when the order may be sent again.
	nextAllowed time.Time
	backoff     time.Duration
}

// PlannedOrder is one order to send now.
type PlannedOrder struct {
	Entry  string
	Engine string
	Order  Order
}

// Warning reports that the loads of an entry will probably end after its deadline, or cannot start.
type Warning struct {
	Entry       string
	Why         string
	ExpectedEnd time.Time
}

// attemptKey returns the key of an order in Planner.attempts; the argument is the version or role.
func attemptKey(entry, engine string, k Kind, argument string) string {
	return entry + "\x00" + engine + "\x00" + string(k) + "\x00" + argument
}

// Plan returns the orders to send now and the current warnings.
func (p *Planner) Plan(now time.Time, desired []DesiredState) ([]PlannedOrder, []Warning) {
	if p.attempts == nil {
		p.attempts = map[string]*attempt{}
	}
	desired = slices.Clone(desired)
	slices.SortStableFunc(desired, func(a, b DesiredState) int {
		return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.Entry, b.Entry))
	})
	p.applyLoadReports(now, desired)
	inProgress := 0
	for i := range desired {
		inProgress += p.loadingCount(now, &desired[i])
	}
	warnings := p.warnings(now, desired)
	// An order of the previous sender may still be in flight until the grace time has passed; an
	// engine that ignores fencing numbers would execute it after ours.
	if now.Before(p.FenceAcquired.Add(p.Limits.Grace)) {
		return nil, warnings
	}
	var orders []PlannedOrder
	for i := range desired {
		state := &desired[i]
		loads := p.loadOrders(now, state, p.Limits.MaxConcurrentLoads-inProgress)
		inProgress += len(loads)
		orders = append(orders, loads...)
		orders = append(orders, p.correctionOrders(now, state)...)
	}
	return orders, warnings
}

// applyLoadReports deletes the attempts whose effect the engines report or that are no longer desired, and
// measures how long loads take.
func (p *Planner) applyLoadReports(now time.Time, desired []DesiredState) {
	wantedKeys := map[string]bool{}
	for _, state := range desired {
		for _, e := range state.Engines {
			loadKey, roleKey := attemptKey(state.Entry, e.Name, Load, state.LoadVersion), attemptKey(state.Entry, e.Name, Role, e.WantedRole)
			wantedKeys[loadKey], wantedKeys[attemptKey(state.Entry, e.Name, Unload, state.UnloadVersion)], wantedKeys[roleKey] = true, true, true
			if e.HasReport && e.Role == e.WantedRole {
				delete(p.attempts, roleKey)
			}
			last := p.attempts[loadKey]
			if last == nil || !e.HasReport || !slices.Contains(e.Versions, state.LoadVersion) {
				continue
			}
			if !last.acceptedAt.IsZero() {
				p.longestLoadTime = max(p.longestLoadTime, now.Sub(last.acceptedAt))
			}
			delete(p.attempts, loadKey)
		}
	}
	for key := range p.attempts {
		if !wantedKeys[key] {
			delete(p.attempts, key)
		}
	}
}

// expectedLoadTime returns the time that a load is expected to take.
func (p *Planner) expectedLoadTime() time.Duration {
	if p.longestLoadTime > 0 {
		return p.longestLoadTime
	}
	return p.Limits.LoadTime
}

// isLoading reports whether the engine was sent a load that it has neither refused nor reported as done
// and that is not overdue.
func (p *Planner) isLoading(now time.Time, state *DesiredState, e *Engine) bool {
	last := p.attempts[attemptKey(state.Entry, e.Name, Load, state.LoadVersion)]
	return state.LoadVersion != "" && last != nil && !last.acceptedAt.IsZero() && now.Sub(last.acceptedAt) < overdueFactor*max(p.expectedLoadTime(), p.Limits.LoadTime)
}

// loadingCount returns how many engines of an entry are loading.
func (p *Planner) loadingCount(now time.Time, state *DesiredState) int {
	n := 0
	for i := range state.Engines {
		if p.isLoading(now, state, &state.Engines[i]) {
			n++
		}
	}
	return n
}

// loadOrders returns load orders for at most maxLoads engines, those with the fewest running requests first.
//
// At any time at least one engine of an entry is not loading, and the slots of the engines
// that are not loading must be enough for the running requests.
func (p *Planner) loadOrders(now time.Time, state *DesiredState, maxLoads int) []PlannedOrder {
	if state.LoadVersion == "" {
		return nil
	}
	var candidates []*Engine
	slots, running, notLoading := 0, 0, 0
	for i := range state.Engines {
		e := &state.Engines[i]
		if !e.HasReport {
			continue
		}
		running += e.Running
		if p.isLoading(now, state, e) {
			continue
		}
		notLoading++
		slots += e.Slots
		last := p.attempts[attemptKey(state.Entry, e.Name, Load, state.LoadVersion)]
		if !slices.Contains(e.Versions, state.LoadVersion) && (last == nil || !now.Before(last.nextAllowed)) {
			candidates = append(candidates, e)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *Engine) int { return cmp.Or(a.Running-b.Running, cmp.Compare(a.Name, b.Name)) })
	var orders []PlannedOrder
	for _, e := range candidates {
		if len(orders) >= maxLoads || notLoading <= 1 || float64(slots-e.Slots) < slotReserveFactor*float64(running) {
			break
		}
		notLoading--
		slots -= e.Slots
		orders = append(orders, p.recordAttempt(now, state, e, Order{Kind: Load, Model: state.Entry, Version: state.LoadVersion, Adapter: state.Adapter}, state.LoadVersion))
	}
	return orders
}

// correctionOrders returns orders that unload undesired versions and set roles.
func (p *Planner) correctionOrders(now time.Time, state *DesiredState) []PlannedOrder {
	var orders []PlannedOrder
	for i := range state.Engines {
		e := &state.Engines[i]
		if !e.HasReport || p.isLoading(now, state, e) {
			continue
		}
		if state.UnloadVersion != "" && slices.Contains(e.Versions, state.UnloadVersion) && len(e.Versions) > 1 && p.mayAttempt(now, state, e, Unload, state.UnloadVersion) {
			orders = append(orders, p.recordAttempt(now, state, e, Order{Kind: Unload, Model: state.Entry, Version: state.UnloadVersion}, state.UnloadVersion))
		}
		if e.WantedRole != "" && e.Role != e.WantedRole && p.mayAttempt(now, state, e, Role, e.WantedRole) {
			orders = append(orders, p.recordAttempt(now, state, e, Order{Kind: Role, Model: state.Entry, Role: e.WantedRole}, e.WantedRole))
		}
	}
	return orders
}

// mayAttempt reports whether an order has not been attempted yet or its backoff has passed.
func (p *Planner) mayAttempt(now time.Time, state *DesiredState, e *Engine, k Kind, argument string) bool {
	last := p.attempts[attemptKey(state.Entry, e.Name, k, argument)]
	return last == nil || !now.Before(last.nextAllowed)
}

// recordAttempt records an attempt and returns its order.
func (p *Planner) recordAttempt(now time.Time, state *DesiredState, e *Engine, o Order, argument string) PlannedOrder {
	k := attemptKey(state.Entry, e.Name, o.Kind, argument)
	last := p.attempts[k]
	if last == nil {
		last = &attempt{}
		p.attempts[k] = last
	}
	last.backoff = min(max(2*last.backoff, p.Limits.Backoff), p.Limits.MaxBackoff)
	last.nextAllowed, last.acceptedAt = now.Add(last.backoff), now
	if o.Kind != Load {
		last.acceptedAt = time.Time{}
	}
	return PlannedOrder{Entry: state.Entry, Engine: e.Name, Order: o}
}

// HandleRefusal records that an engine did not accept an order, so that it is sent again after its backoff.
func (p *Planner) HandleRefusal(now time.Time, planned PlannedOrder) {
	argument := planned.Order.Version
	if planned.Order.Kind == Role {
		argument = planned.Order.Role
	}
	if last := p.attempts[attemptKey(planned.Entry, planned.Engine, planned.Order.Kind, argument)]; last != nil {
		last.acceptedAt, last.nextAllowed = time.Time{}, now.Add(last.backoff)
	}
}

// warnings estimates when the loads of each entry end, if the weight store serves them in the order of their
// deadlines, and returns a warning for each entry whose loads end late or cannot start.
func (p *Planner) warnings(now time.Time, desired []DesiredState) []Warning {
	var warnings []Warning
	missingSoFar := 0
	for i := range desired {
		state := &desired[i]
		if state.LoadVersion == "" {
			continue
		}
		missing := 0
		for _, e := range state.Engines {
			if !slices.Contains(e.Versions, state.LoadVersion) {
				missing++
			}
		}
		if missing == 0 {
			continue
		}
		missingSoFar += missing
		atOnce := max(1, min(p.Limits.MaxConcurrentLoads, len(state.Engines)-1))
		rounds := (missingSoFar + atOnce - 1) / atOnce
		expectedEnd := now.Add(time.Duration(rounds) * p.expectedLoadTime())
		switch {
		case len(state.Engines) == 1:
			warnings = append(warnings, Warning{Entry: state.Entry, Why: "only_engine_cannot_load", ExpectedEnd: expectedEnd})
		case expectedEnd.After(state.Deadline):
			warnings = append(warnings, Warning{Entry: state.Entry, Why: "loads_end_after_deadline", ExpectedEnd: expectedEnd})
		}
	}
	return warnings
}
