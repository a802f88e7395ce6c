package server

import (
	"fmt"
	"time"
)

// outcomeAbandoned is the outcome, in metrics, of a request whose caller disconnected.
const outcomeAbandoned = "abandoned"

// noEntry is the entry label of requests that named no entry of the catalogue.
const noEntry = "none"

// registerGauges registers the gauges that are evaluated when metrics are written.
func (s *Server) registerGauges() {
	for name, f := range map[string]func() float64{
		"bambooferry_held_bytes":          func() float64 { return float64(s.memory.total.Load()) },
		"bambooferry_streams_in_progress": func() float64 { return float64(s.streams.len()) },
		"bambooferry_paused_streams":      func() float64 { return float64(s.memory.pausedStreams.Load()) },
	} {
		s.Metrics.GetOrCreateGauge(name, f)
	}
}

// countRefusal counts one refusal; codes are constants of this package and of pkg/generation.
func (s *Server) countRefusal(f *Refusal) {
	s.Metrics.GetOrCreateCounter(fmt.Sprintf("bambooferry_refusals_total{code=%q}", f.Code)).Inc()
}

// countRequest counts a request and its duration. Only names from the catalogue become labels.
func (s *Server) countRequest(r *request) {
	entry, outcome := r.entry, r.outcome
	if entry == "" {
		entry = noEntry
	}
	if outcome == "" {
		outcome = outcomeAbandoned
	}
	s.Metrics.GetOrCreateCounter(fmt.Sprintf("bambooferry_requests_total{entry=%q,outcome=%q}", entry, outcome)).Inc()
	s.Metrics.GetOrCreateHistogram(fmt.Sprintf("bambooferry_request_seconds{entry=%q}", entry)).Update(time.Since(r.now).Seconds())
}

// newPartObserver returns a function that records the times at which tokens are written to the caller.
func (s *Server) newPartObserver(r *request) func(part) {
	return func(p part) {
		if p.finishReason != "" || p.err != nil {
			return
		}
		now := time.Now()
		if r.lastTokenAt.IsZero() {
			s.Metrics.GetOrCreateHistogram(fmt.Sprintf("bambooferry_first_token_seconds{entry=%q}", r.entry)).Update(now.Sub(r.now).Seconds())
		} else {
			s.Metrics.GetOrCreateHistogram("bambooferry_token_gap_seconds").Update(now.Sub(r.lastTokenAt).Seconds())
		}
		r.lastTokenAt = now
	}
}
