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

// Placement tells the pool of an entry how the work at a chosen target went; nil tells nobody.
type Placement struct {
	pool *entryPool
	at   time.Time
	// chosen is what the choice was made on.
	chosen policy.Candidate
	once   sync.Once
}

// first takes in the first token and returns its time divided by what was expected.
//
// With most of the prompt cached, the expected time is too small to divide by.
func (p *Placement) first(now time.Time) float64 {
	took, c := now.Sub(p.at), p.chosen
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	p.pool.RecordPrefill(took, c.CachedShare)
	expected := c.RoundTrip + c.QueueWait + time.Duration(float64(c.PrefillTime)*(1-c.CachedShare))
	if c.PrefillTime <= 0 || c.CachedShare >= mostlyCached {
		return 0
	}
	return took.Seconds() / expected.Seconds()
}

const mostlyCached = 0.9

// end takes in the end of the work; only the first counts.
func (p *Placement) end(now time.Time, r engine.RequestResult) {
	if p == nil {
		return
	}
	p.once.Do(func() {
		p.pool.mu.Lock()
		defer p.pool.mu.Unlock()
		p.pool.RecordEnd(now, p.chosen.Name, r, now.Sub(p.at))
	})
}

// endCall takes in the end of a call to a service.
func (p *Placement) endCall(ctx context.Context, err *sendError) {
	r := engine.RequestResult{Cancelled: ctx.Err() != nil}
	if err != nil {
		r.Unreachable = err.Code == "target_unreachable"
		r.Failed = !r.Unreachable
	}
	p.end(time.Now(), r)
}

const thousandths = 1000

func (p *Placement) inputs() []timeline.Input {
	if p == nil {
		return nil
	}
	return []timeline.Input{
		{Name: "load", Value: int64(p.chosen.Load)},
		{Name: "hit_thousandths", Value: int64(p.chosen.CachedShare * thousandths)},
		{Name: "weight_thousandths", Value: int64(p.chosen.Weight * thousandths)},
	}
}

// flight collects what one attempt shows of its target.
type flight struct {
	placement *Placement
	ratio     float64
	tokens    int
	// waited is the time spent waiting for tokens after the first. The time in which the
	// reader held the attempt back is not part of it.
	waited time.Duration
	over   bool
	err    error
}

// line takes in the answer to one wait for a line.
//
// The end is told before the stream hears of it, since the stream then gives the slot back.
func (f *flight) line(ctx context.Context, asked time.Time, tok engine.Token, err error) {
	switch {
	case f.placement == nil:
	case err != nil:
		f.err = err
		f.end(ctx)
	case tok.End != "":
		f.over = true
		f.end(ctx)
	case f.tokens == 0:
		f.tokens, f.ratio = 1, f.placement.first(time.Now())
	default:
		f.tokens++
		f.waited += time.Since(asked)
	}
}

// end tells the pool how the attempt went.
func (f *flight) end(ctx context.Context) {
	if f.placement == nil {
		return
	}
	r := engine.RequestResult{FirstTokenRatio: f.ratio}
	if f.tokens > 1 {
		r.MeanTokenGap = f.waited / time.Duration(f.tokens-1)
	}
	var status *statusError
	switch {
	case f.over:
	case f.err == nil || ctx.Err() != nil:
		r.Cancelled = true
	case errors.As(f.err, &status):
		r.Failed = status.Outcome != generation.Ran
	default:
		r.Unreachable = true
	}
	f.placement.end(time.Now(), r)
}
