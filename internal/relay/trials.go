package relay

import (
	"slices"
	"time"
)

const (
	// trialTimeout bounds how long a stream that leaves a silent target keeps others from leaving, and how long an
	// acceptance lets more of them leave.
	trialTimeout = 500 * time.Millisecond
	// refusedTrialTime is how long no silent target's stream goes to a target after it has refused one.
	refusedTrialTime = time.Second
)

// trials bounds how many streams leave silent targets of a pool at once; its owner guards it.
//
// All streams of a target that pauses look for another one at the same moment, and a target's last stated load does not
// show that its memory is taken. So one stream goes first, and each that is accepted lets two more follow.
type trials struct {
	// pending holds until when each stream counts that was sent and neither accepted nor refused.
	pending []time.Time
	// accepted is the number of streams that were accepted one after another, the last at acceptedAt.
	accepted   int
	acceptedAt time.Time
	// refused holds until when no stream is sent to a target.
	refused map[string]time.Time
}

// allows reports whether one more stream of a silent target may leave.
func (t *trials) allows(now time.Time) bool {
	t.pending = slices.DeleteFunc(t.pending, func(until time.Time) bool { return !now.Before(until) })
	if now.Sub(t.acceptedAt) > trialTimeout {
		t.accepted = 0
	}
	return len(t.pending) <= t.accepted
}

func (t *trials) begin(now time.Time) { t.pending = append(t.pending, now.Add(trialTimeout)) }

// end records that a stream was accepted, or is not sent.
func (t *trials) end(now time.Time, accepted bool) {
	if len(t.pending) > 0 {
		t.pending = t.pending[1:]
	}
	if accepted {
		t.accepted, t.acceptedAt = t.accepted+1, now
	}
}

// recordRefusal records that a target has refused a stream.
func (t *trials) recordRefusal(now time.Time, id string) {
	if t.refused == nil {
		t.refused = map[string]time.Time{}
	}
	for other, until := range t.refused {
		if !now.Before(until) {
			delete(t.refused, other)
		}
	}
	t.accepted, t.refused[id] = 0, now.Add(refusedTrialTime)
}

// hasRefused reports whether a target has refused a stream within refusedTrialTime.
func (t *trials) hasRefused(now time.Time, id string) bool { return now.Before(t.refused[id]) }

// allowsTrial reports whether one more stream of a silent target may leave.
func (p *pool) allowsTrial(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trials.allows(now)
}

// beginTrial records that a stream leaves a silent target for another one.
func (p *pool) beginTrial(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trials.begin(now)
}

// endTrial records that the stream was accepted there, or not.
func (p *pool) endTrial(now time.Time, accepted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trials.end(now, accepted)
}

// recordStreamRefusal records that a target has refused a stream.
func (p *pool) recordStreamRefusal(now time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trials.recordRefusal(now, id)
}
