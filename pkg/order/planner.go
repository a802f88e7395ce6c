package order

import (
	"cmp"
	"slices"
	"time"
)

// Limits bound what a planner asks for.
type Limits struct {
	// MaxConcurrentLoads is the number of loads that the weight store serves at once.
	MaxConcurrentLoads int
	// LoadTime is the expected time of a load until one was seen.
	LoadTime time.Duration
	// Grace is the time after which no order of the sender before can still arrive.
	Grace time.Duration
	// Backoff and MaxBackoff bound the time between tries of one order.
	Backoff    time.Duration
	MaxBackoff time.Duration
}

// DefaultLimits returns the limits that hold when nothing is set.
func DefaultLimits() Limits {
	return Limits{MaxConcurrentLoads: 2, LoadTime: 30 * time.Second, Grace: 3 * time.Second, Backoff: 250 * time.Millisecond, MaxBackoff: 30 * time.Second}
}

const (
	// overdue is the number of load times after which a load that was accepted is given up and ordered again.
	overdue = 4
	// reserve is the part of the running work by which the slots of the engines that
	// do not load must exceed it.
	reserve = 1.1
)

// Planner decides which orders one sender sends, from its first fencing number on.
type Planner struct {
	Limits Limits
	// FenceAcquired is when the sender got its fencing number.
	FenceAcquired time.Time

	tries    map[string]*try
	loadTime time.Duration
}

type try struct {
	accepted time.Time
	next     time.Time
	backoff  time.Duration
}

// PlannedOrder is one order to send now.
type PlannedOrder struct {
	Entry  string
	Engine string
	Order  Order
}

// Warning tells that an entry's loads will probably end after its deadline.
type Warning struct {
	Entry       string
	Why         string
	ExpectedEnd time.Time
}

func key(entry, engine string, k Kind, what string) string {
	return entry + "\x00" + engine + "\x00" + string(k) + "\x00" + what
}

// Plan returns the orders to send now and the warnings that hold now.
func (p *Planner) Plan(now time.Time, wants []DesiredState) ([]PlannedOrder, []Warning) {
	if p.tries == nil {
		p.tries = map[string]*try{}
	}
	wants = slices.Clone(wants)
	slices.SortStableFunc(wants, func(a, b DesiredState) int {
		return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.Entry, b.Entry))
	})
	p.readBack(now, wants)
	loading := 0
	for i := range wants {
		loading += p.loading(now, &wants[i])
	}
	warnings := p.warn(now, wants)
	// The sender before may have an order under way until its grace has passed; an
	// engine that ignores fencing numbers would obey it after ours.
	if now.Before(p.FenceAcquired.Add(p.Limits.Grace)) {
		return nil, warnings
	}
	var actions []PlannedOrder
	for i := range wants {
		w := &wants[i]
		loads := p.loads(now, w, p.Limits.MaxConcurrentLoads-loading)
		loading += len(loads)
		actions = append(actions, loads...)
		actions = append(actions, p.corrections(now, w)...)
	}
	return actions, warnings
}

// readBack ends the tries whose effect the engines report and learns how long loads take.
func (p *Planner) readBack(now time.Time, wants []DesiredState) {
	asked := map[string]bool{}
	for _, w := range wants {
		for _, e := range w.Engines {
			k, role := key(w.Entry, e.Name, Load, w.Load), key(w.Entry, e.Name, Role, e.WantedRole)
			asked[k], asked[key(w.Entry, e.Name, Unload, w.Unload)], asked[role] = true, true, true
			if e.HasReport && e.Role == e.WantedRole {
				delete(p.tries, role)
			}
			t := p.tries[k]
			if t == nil || !e.HasReport || !slices.Contains(e.Versions, w.Load) {
				continue
			}
			if !t.accepted.IsZero() {
				p.loadTime = max(p.loadTime, now.Sub(t.accepted))
			}
			delete(p.tries, k)
		}
	}
	for k := range p.tries {
		if !asked[k] {
			delete(p.tries, k)
		}
	}
}

// expected is the time that a load takes.
func (p *Planner) expected() time.Duration {
	if p.loadTime > 0 {
		return p.loadTime
	}
	return p.Limits.LoadTime
}

func (p *Planner) busy(now time.Time, w *DesiredState, e *Engine) bool {
	t := p.tries[key(w.Entry, e.Name, Load, w.Load)]
	return w.Load != "" && t != nil && !t.accepted.IsZero() && now.Sub(t.accepted) < overdue*max(p.expected(), p.Limits.LoadTime)
}

func (p *Planner) loading(now time.Time, w *DesiredState) int {
	n := 0
	for i := range w.Engines {
		if p.busy(now, w, &w.Engines[i]) {
			n++
		}
	}
	return n
}

// loads returns load orders for at most room engines, least busy first.
//
// At least one engine of an entry never loads, and the slots of those that do not
// load must carry the work that runs.
func (p *Planner) loads(now time.Time, w *DesiredState, room int) []PlannedOrder {
	if w.Load == "" {
		return nil
	}
	var free []*Engine
	slots, running, able := 0, 0, 0
	for i := range w.Engines {
		e := &w.Engines[i]
		if !e.HasReport {
			continue
		}
		running += e.Running
		if p.busy(now, w, e) {
			continue
		}
		able++
		slots += e.Slots
		t := p.tries[key(w.Entry, e.Name, Load, w.Load)]
		if !slices.Contains(e.Versions, w.Load) && (t == nil || !now.Before(t.next)) {
			free = append(free, e)
		}
	}
	slices.SortStableFunc(free, func(a, b *Engine) int { return cmp.Or(a.Running-b.Running, cmp.Compare(a.Name, b.Name)) })
	var out []PlannedOrder
	for _, e := range free {
		if len(out) >= room || able <= 1 || float64(slots-e.Slots) < reserve*float64(running) {
			break
		}
		able--
		slots -= e.Slots
		out = append(out, p.send(now, w, e, Order{Kind: Load, Model: w.Entry, Version: w.Load, Adapter: w.Adapter}, w.Load))
	}
	return out
}

// corrections returns orders that drop what is not wanted and set roles.
func (p *Planner) corrections(now time.Time, w *DesiredState) []PlannedOrder {
	var out []PlannedOrder
	for i := range w.Engines {
		e := &w.Engines[i]
		if !e.HasReport || p.busy(now, w, e) {
			continue
		}
		if w.Unload != "" && slices.Contains(e.Versions, w.Unload) && len(e.Versions) > 1 && p.due(now, w, e, Unload, w.Unload) {
			out = append(out, p.send(now, w, e, Order{Kind: Unload, Model: w.Entry, Version: w.Unload}, w.Unload))
		}
		if e.WantedRole != "" && e.Role != e.WantedRole && p.due(now, w, e, Role, e.WantedRole) {
			out = append(out, p.send(now, w, e, Order{Kind: Role, Model: w.Entry, Role: e.WantedRole}, e.WantedRole))
		}
	}
	return out
}

func (p *Planner) due(now time.Time, w *DesiredState, e *Engine, k Kind, what string) bool {
	t := p.tries[key(w.Entry, e.Name, k, what)]
	return t == nil || !now.Before(t.next)
}

// send notes a try; until its answer is known the order counts as accepted.
func (p *Planner) send(now time.Time, w *DesiredState, e *Engine, o Order, what string) PlannedOrder {
	k := key(w.Entry, e.Name, o.Kind, what)
	t := p.tries[k]
	if t == nil {
		t = &try{}
		p.tries[k] = t
	}
	t.backoff = min(max(2*t.backoff, p.Limits.Backoff), p.Limits.MaxBackoff)
	t.next, t.accepted = now.Add(t.backoff), now
	if o.Kind != Load {
		t.accepted = time.Time{}
	}
	return PlannedOrder{Entry: w.Entry, Engine: e.Name, Order: o}
}

// HandleRefusal tells that an engine did not take an order, which is tried again after a while.
func (p *Planner) HandleRefusal(now time.Time, a PlannedOrder) {
	what := a.Order.Version
	if a.Order.Kind == Role {
		what = a.Order.Role
	}
	if t := p.tries[key(a.Entry, a.Engine, a.Order.Kind, what)]; t != nil {
		t.accepted, t.next = time.Time{}, now.Add(t.backoff)
	}
}

// warn estimates the end of the loads, deadline first, as the store serves them.
func (p *Planner) warn(now time.Time, wants []DesiredState) []Warning {
	var out []Warning
	before := 0
	for i := range wants {
		w := &wants[i]
		if w.Load == "" {
			continue
		}
		missing := 0
		for _, e := range w.Engines {
			if !slices.Contains(e.Versions, w.Load) {
				missing++
			}
		}
		if missing == 0 {
			continue
		}
		before += missing
		atOnce := max(1, min(p.Limits.MaxConcurrentLoads, len(w.Engines)-1))
		rounds := (before + atOnce - 1) / atOnce
		ends := now.Add(time.Duration(rounds) * p.expected())
		switch {
		case len(w.Engines) == 1:
			out = append(out, Warning{Entry: w.Entry, Why: "only_engine_cannot_load", ExpectedEnd: ends})
		case ends.After(w.Deadline):
			out = append(out, Warning{Entry: w.Entry, Why: "loads_end_after_deadline", ExpectedEnd: ends})
		}
	}
	return out
}
