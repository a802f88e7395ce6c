package server

import (
	"time"

	"bambooferry.example/bambooferry/pkg/slot"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// registerGauges registers a bounded set of series: each state for each kind of pool, and the epoch.
func (s *Slots) registerGauges() {
	states := map[string]func(slot.Usage) int{
		"held": func(c slot.Usage) int { return c.Held }, "used": func(c slot.Usage) int { return c.Used },
		"lent": func(c slot.Usage) int { return c.Lent }, "borrowed": func(c slot.Usage) int { return c.Borrowed },
		"awaiting_release": func(c slot.Usage) int { return c.Awaiting }, "without_slot": func(c slot.Usage) int { return c.WithoutSlot },
	}
	for _, kind := range []string{"target", "entry", "workspace"} {
		for state, of := range states {
			s.Metrics.NewGauge(`bambooferry_slots{pool="`+kind+`",state="`+state+`"}`, func() float64 {
				s.mu.Lock()
				defer s.mu.Unlock()
				return float64(of(s.counts[kind]))
			})
		}
	}
	s.Metrics.NewGauge("bambooferry_roster_epoch", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(s.holder.Epoch())
	})
}

// publishCounts updates the counts and writes an event when slots start or stop waiting for a release.
func (s *Slots) publishCounts() {
	s.mu.Lock()
	before := s.counts
	s.counts = s.holder.UsageByKind()
	after, epoch := s.counts, s.holder.Epoch()
	s.mu.Unlock()
	slotCounts.Put(s.Board, after)
	for kind, c := range after {
		if (c.Awaiting == 0) == (before[kind].Awaiting == 0) {
			continue
		}
		reason := "released"
		if c.Awaiting > 0 {
			reason = "awaiting_release"
		}
		s.Events.Write(time.Now(), timeline.Event{Kind: "slots_dealt", Why: kind + "_" + reason, Inputs: []timeline.Input{
			{Name: "epoch", Value: epoch},
			{Name: "held", Value: int64(c.Held)},
			{Name: "used", Value: int64(c.Used)},
			{Name: "lent", Value: int64(c.Lent)},
			{Name: "borrowed", Value: int64(c.Borrowed)},
			{Name: "awaiting", Value: int64(c.Awaiting)},
		}})
	}
}

// Counts returns the current state of the slots by kind of pool.
func (s *Slots) Counts() map[string]slot.Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.UsageByKind()
}
