package duty

import (
	"fmt"
	"time"

	"bambooferry.example/bambooferry/pkg/duty"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// logChanges logs the changes of the term; the caller holds mu. The times of log lines are those of the wall clock.
func (h *Holder) logChanges(now time.Time) {
	for _, c := range h.elector.TakeChanges() {
		event := timeline.Event{
			Entry: h.Name, Revision: c.Term.Revision, Why: c.Why,
			Inputs: []timeline.Input{{Name: "token", Value: c.Term.Token}, {Name: "era", Value: c.Term.Era}},
		}
		switch c.Kind {
		case duty.Began:
			event.Kind, event.Decision, h.heldSince = "duty_held", "act", now
		case duty.Renumbered:
			event.Kind = "duty_renumbered"
		case duty.Ended:
			event.Kind, event.Decision = "duty_lost", "stop"
			event.Inputs = append(event.Inputs, timeline.Input{Name: "held_ms", Value: heldMillis(now, h.heldSince)})
			h.heldSince = time.Time{}
		}
		h.Metrics.GetOrCreateCounter(fmt.Sprintf("bambooferry_duty_changes_total{duty=%q,change=%q,why=%q}", h.Name, c.Kind, c.Why)).Inc()
		h.Log.Write(time.Now(), event)
	}
}

func heldMillis(now, since time.Time) int64 {
	if since.IsZero() {
		return 0
	}
	return now.Sub(since).Milliseconds()
}

// logHolder logs that another instance has come to hold the key; the caller holds mu.
func (h *Holder) logHolder(_ time.Time) {
	holder := h.elector.Holder()
	if holder == h.loggedHolder {
		return
	}
	h.loggedHolder = holder
	if holder != "" && holder != h.Instance {
		h.Log.Write(time.Now(), timeline.Event{Kind: "duty_held_elsewhere", Entry: h.Name, Member: holder})
	}
}

// registerMetrics registers the gauges of the duty; the caller holds mu.
func (h *Holder) registerMetrics() {
	h.Metrics.GetOrCreateGauge(fmt.Sprintf("bambooferry_duty_token{duty=%q}", h.Name), func() float64 {
		t, _ := h.Term(h.now())
		return float64(t.Token)
	})
	h.Metrics.GetOrCreateGauge(fmt.Sprintf("bambooferry_duty_held_seconds{duty=%q}", h.Name), func() float64 {
		now := h.now()
		_, ok := h.Term(now)
		h.mu.Lock()
		defer h.mu.Unlock()
		if !ok || h.heldSince.IsZero() {
			return 0
		}
		return now.Sub(h.heldSince).Seconds()
	})
}
