package server

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/engine/policy"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// Placement reports the progress of work on a chosen target to the entry's pool; a nil Placement reports nothing.
type Placement struct {
	pool   *entryPool
	sentAt time.Time
	// chosen is the candidate with the estimates that the choice was based on.
	chosen policy.Candidate
	once   sync.Once
}

// recordFirstToken records the first token and returns its time divided by the expected time.
//
// It returns 0 if most of the prompt is cached, as the expected time is then too small to divide by.
func (p *Placement) recordFirstToken(now time.Time) float64 {
	took, c := now.Sub(p.sentAt), p.chosen
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	p.pool.RecordPrefill(took, c.CachedShare)
	expected := c.RoundTrip + c.QueueWait + time.Duration(float64(c.PrefillTime)*(1-c.CachedShare))
	if c.PrefillTime <= 0 || c.CachedShare >= mostlyCachedShare {
		return 0
	}
	return took.Seconds() / expected.Seconds()
}

// mostlyCachedShare is the cached share of a prompt from which no ratio is computed.
const mostlyCachedShare = 0.9

// recordEnd records the end of the work; only the first call counts.
func (p *Placement) recordEnd(now time.Time, r engine.RequestResult) {
	if p == nil {
		return
	}
	p.once.Do(func() {
		p.pool.mu.Lock()
		defer p.pool.mu.Unlock()
		p.pool.RecordEnd(now, p.chosen.Name, r, now.Sub(p.sentAt))
	})
}

// recordCallEnd records the end of a call to a service.
func (p *Placement) recordCallEnd(ctx context.Context, err *sendError) {
	r := engine.RequestResult{Cancelled: ctx.Err() != nil}
	if err != nil {
		r.Unreachable = err.Code == "target_unreachable"
		r.Failed = !r.Unreachable
	}
	p.recordEnd(time.Now(), r)
}

const thousandths = 1000

func (p *Placement) eventInputs() []timeline.Input {
	if p == nil {
		return nil
	}
	return []timeline.Input{
		{Name: "load", Value: int64(p.chosen.Load)},
		{Name: "hit_thousandths", Value: int64(p.chosen.CachedShare * thousandths)},
		{Name: "weight_thousandths", Value: int64(p.chosen.Weight * thousandths)},
	}
}

// attemptStats collects measurements of one attempt's target.
type attemptStats struct {
	placement       *Placement
	firstTokenRatio float64
	tokens          int
	// waited is the time spent waiting for tokens after the first. It excludes the time in which
	// the reader held the attempt back.
	waited   time.Duration
	finished bool
	err      error
}

// recordLine records the result of one wait for a line.
//
// The end is reported before the stream is notified, since the stream then gives the slot back.
func (s *attemptStats) recordLine(ctx context.Context, waitStart time.Time, tok engine.Token, err error) {
	switch {
	case s.placement == nil:
	case err != nil:
		s.err = err
		s.report(ctx)
	case tok.End != "":
		s.finished = true
		s.report(ctx)
	case s.tokens == 0:
		s.tokens, s.firstTokenRatio = 1, s.placement.recordFirstToken(time.Now())
	default:
		s.tokens++
		s.waited += time.Since(waitStart)
	}
}

// report reports the attempt's result to the pool.
func (s *attemptStats) report(ctx context.Context) {
	if s.placement == nil {
		return
	}
	r := engine.RequestResult{FirstTokenRatio: s.firstTokenRatio}
	if s.tokens > 1 {
		r.MeanTokenGap = s.waited / time.Duration(s.tokens-1)
	}
	var status *statusError
	switch {
	case s.finished:
	case s.err == nil || ctx.Err() != nil:
		r.Cancelled = true
	case errors.As(s.err, &status):
		r.Failed = status.Outcome != generation.Ran
	default:
		r.Unreachable = true
	}
	s.placement.recordEnd(time.Now(), r)
}
