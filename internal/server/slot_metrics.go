package server

import (
	"time"

	"bambooferry.example/bambooferry/pkg/slot"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// registerGauges registers a bounded set of series: each state for each kind of pool, and the epoch.
func (s *Slots) registerGauges() {
	states := map[string]func(slot.Usage) int{
		"held": func(u slot.Usage) int { return u.Held }, "used": func(u slot.Usage) int { return u.Used },
		"lent": func(u slot.Usage) int { return u.Lent }, "borrowed": func(u slot.Usage) int { return u.Borrowed },
		"awaiting_release": func(u slot.Usage) int { return u.Awaiting }, "without_slot": func(u slot.Usage) int { return u.WithoutSlot },
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
	for kind, u := range after {
		if (u.Awaiting == 0) == (before[kind].Awaiting == 0) {
			continue
		}
		reason := "released"
		if u.Awaiting > 0 {
			reason = "awaiting_release"
		}
		s.Events.Write(time.Now(), timeline.Event{Kind: "slots_dealt", Why: kind + "_" + reason, Inputs: []timeline.Input{
			{Name: "epoch", Value: epoch},
			{Name: "held", Value: int64(u.Held)},
			{Name: "used", Value: int64(u.Used)},
			{Name: "lent", Value: int64(u.Lent)},
			{Name: "borrowed", Value: int64(u.Borrowed)},
			{Name: "awaiting", Value: int64(u.Awaiting)},
		}})
	}
}

// Counts returns the current state of the slots by kind of pool.
func (s *Slots) Counts() map[string]slot.Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.UsageByKind()
}
