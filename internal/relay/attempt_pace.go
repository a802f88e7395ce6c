package relay

import (
	"slices"
	"time"

	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/workload"
)

// attemptPace holds what an attempt shows of its target's pace.
type attemptPace struct {
	// alone is set if nothing else was known to be at the target when the attempt began.
	alone bool
	// slowness is what the target has stated of its machine, or 0.
	slowness float64
	// gaps are times between events, of which the last event came at lastAt.
	gaps   []time.Duration
	lastAt time.Time
}

// eventsPerProgress is the number of events of a stream after which what it has written is recorded.
const eventsPerProgress = 4

// maxGaps bounds the times between events that are kept of one attempt. Their median leaves out events that another prompt
// delayed.
const maxGaps = 48

// recordSlowness records what the target states of its machine.
func (a *attempt) recordSlowness(now time.Time) {
	if a.pace.slowness = a.info.Slowness; a.pace.slowness == 0 {
		return
	}
	p := a.req.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := &p.placement
	tell := pl.isNews(now, a.target.Address, a.pace.slowness)
	// The codec has checked the figure.
	_ = pl.paces.RecordStated(now, a.target.Address, workload.Statement{Slowness: a.pace.slowness, At: now}, tell)
}

// recordFirstEvent records that the target has read the prompt.
func (a *attempt) recordFirstEvent(now time.Time) {
	if a.req.work.id == "" {
		return
	}
	p := a.req.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.placement.enabled() {
		return
	}
	p.placement.backlog.FirstOutput(now, a.target.ID, a.req.work.id)
	if a.pace.alone && a.req.work.Read > 0 && p.placement.backlog.At(now, a.target.ID).Streams <= 1 {
		p.placement.paces.RecordReading(now, a.target.Address, a.req.work.Read, now.Sub(a.startedAt))
	}
}

// recordEvent records an event of a stream.
func (a *attempt) recordEvent(now time.Time) {
	if a.req.work.id == "" {
		return // the pool did not place requests by work when the attempt began
	}
	if !a.pace.lastAt.IsZero() && len(a.pace.gaps) < maxGaps {
		a.pace.gaps = append(a.pace.gaps, now.Sub(a.pace.lastAt))
	}
	a.pace.lastAt = now
	if a.eventCount%eventsPerProgress != 0 {
		return
	}
	p := a.req.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.placement.enabled() {
		p.placement.backlog.Progress(now, a.target.ID, a.req.work.id, float64(a.eventCount)*p.eventTokens())
	}
}

// recordWorkEnd records that the attempt no longer runs at its target; whole is set if it was answered in full.
func (a *attempt) recordWorkEnd(now time.Time, whole bool) {
	p := a.req.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := &p.placement
	if a.req.work.id == "" {
		return
	}
	streams := float64(pl.backlog.At(now, a.target.ID).Streams)
	if !a.hangs {
		pl.backlog.End(now, a.target.ID, a.req.work.id)
	}
	if !pl.enabled() {
		return
	}
	if a.req.route.Kind != route.Streaming {
		if whole {
			pl.estimator.RecordCall(now, a.req.workRequest(), now.Sub(a.startedAt), max(a.pace.slowness, 0))
		}
		return
	}
	if len(a.pace.gaps) >= maxGaps/2 {
		slices.Sort(a.pace.gaps)
		pl.paces.RecordWriting(now, a.target.Address, p.eventTokens(), a.pace.gaps[len(a.pace.gaps)/2], streams)
	}
	if whole && !a.req.Resuming && a.number == 1 {
		pl.eventSize.Record(now, min(a.req.OutputTokens, maxStatedTokens), a.eventCount)
		pl.estimator.RecordOutput(now, a.req.workRequest(), int(float64(a.eventCount)*p.eventTokens()))
	}
}
