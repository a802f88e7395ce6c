package relay

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// instruments are the relay's counters and histograms.
type instruments struct {
	all        *metrics.Set
	open       *metrics.Counter
	dials      *metrics.Counter
	failed     *metrics.Counter
	firstEvent *metrics.Histogram
	eventGap   *metrics.Histogram
}

func (m *instruments) set(s *metrics.Set) {
	if s == nil {
		s = metrics.NewSet()
	}
	m.all = s
	m.open = s.GetOrCreateCounter("bambooferry_requests_in_progress")
	m.dials = s.GetOrCreateCounter("bambooferry_target_connections_opened_total")
	m.failed = s.GetOrCreateCounter("bambooferry_target_connections_failed_total")
	m.firstEvent = s.GetOrCreateHistogram("bambooferry_first_event_seconds")
	m.eventGap = s.GetOrCreateHistogram("bambooferry_event_gap_seconds")
}

func (m *instruments) begun(*query) { m.open.Inc() }

func (m *instruments) left(q *query) {
	m.open.Dec()
	m.all.GetOrCreateHistogram(fmt.Sprintf("bambooferry_request_seconds{kind=%q}", q.route.Kind)).Update(time.Since(q.begun).Seconds())
}

func (m *instruments) refused(f *Refusal) {
	m.all.GetOrCreateCounter(fmt.Sprintf("bambooferry_refusals_total{code=%q}", f.Code)).Inc()
}

func (m *instruments) attempt(q *query, why string) {
	m.all.GetOrCreateCounter(fmt.Sprintf("bambooferry_attempts_total{kind=%q,end=%q}", q.route.Kind, why)).Inc()
}

func (m *instruments) opened(_ time.Duration, err error) {
	if err != nil {
		m.failed.Inc()
		return
	}
	m.dials.Inc()
}

func (m *instruments) event(q *query, now, last time.Time) {
	if last.IsZero() {
		m.firstEvent.Update(now.Sub(q.begun).Seconds())
		return
	}
	m.eventGap.Update(now.Sub(last).Seconds())
}
