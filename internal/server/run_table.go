package server

import (
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/booking"
)

// trackedRun is one keyed call in this instance's memory; the table's lock guards it until done is closed.
type trackedRun struct {
	booking.ClaimedCall
	// answer is the result that callers get: the run's own, or that of the instance that ran the call.
	answer *booking.Result
	err    error
	// ranElsewhere is set when another instance held the claim.
	ranElsewhere bool
	byTicket     bool
	expires      time.Time
	done         chan struct{}
	bytes        int
}

// runTable holds the keyed calls of one instance by key and by nonce.
type runTable struct {
	limits CallLimits

	mu      sync.Mutex
	byKey   map[string]*trackedRun
	byNonce map[string]*trackedRun
	// ended holds the ended runs that were not started by a ticket, oldest first.
	ended   []*trackedRun
	tickets []*trackedRun
	bytes   int
	// closed is set when no more tickets are accepted.
	closed bool
}

// findOrStart returns the run of a claim's key, or starts one; isNew is set if it was started.
func (t *runTable) findOrStart(c booking.Claim, deadline time.Time) (r *trackedRun, isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.byKey[c.Key]; old != nil && old.Phase != booking.Abandoned && !old.ranElsewhere {
		return old, false
	}
	r = &trackedRun{ClaimedCall: booking.ClaimedCall{Claim: c, Deadline: deadline}, done: make(chan struct{})}
	t.byKey[c.Key], t.byNonce[c.Nonce] = r, r
	return r, true
}

// findOrStartTicket does the same for a ticket; ok is false when no more tickets can be remembered
// or the instance is leaving.
func (t *runTable) findOrStartTicket(c booking.Claim, deadline, now, expires time.Time) (r *trackedRun, isNew, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.byKey[c.Key]; old != nil && old.Phase != booking.Abandoned {
		return old, false, true
	}
	if t.closed {
		return nil, false, false
	}
	for len(t.tickets) > 0 && now.After(t.tickets[0].expires) {
		t.forget(t.tickets[0])
		t.tickets = t.tickets[1:]
	}
	if len(t.tickets) >= t.limits.MaxTickets {
		return nil, false, false
	}
	r = &trackedRun{ClaimedCall: booking.ClaimedCall{Claim: c, Deadline: deadline}, byTicket: true, expires: expires, done: make(chan struct{})}
	t.byKey[c.Key], t.byNonce[c.Nonce] = r, r
	t.tickets = append(t.tickets, r)
	return r, true, true
}

// markSent reports whether a run's call may be sent, and marks it as sent if so.
func (t *runTable) markSent(r *trackedRun, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return r.TrySend(now)
}

// finish ends a run: with its own result if it was sent, otherwise as abandoned.
func (t *runTable) finish(r *trackedRun, result *booking.Result, err error, ranElsewhere bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if result != nil && !ranElsewhere {
		r.Finish(result)
	} else {
		r.AbortSend()
		r.Abandon()
	}
	r.answer, r.err, r.ranElsewhere = result, err, ranElsewhere
	if r.Phase == booking.Finished {
		r.bytes = result.Bytes()
		t.bytes += r.bytes
	} else if t.byKey[r.Claim.Key] == r {
		delete(t.byKey, r.Claim.Key)
	}
	close(r.done)
	if !r.byTicket {
		t.ended = append(t.ended, r)
	}
	t.evictAnswers()
}

// evictAnswers drops the oldest answers. A used ticket is kept, since nothing else records that it was used.
func (t *runTable) evictAnswers() {
	for len(t.ended) > 0 && (t.bytes > t.limits.MaxKeptBytes || len(t.ended) > t.limits.MaxKeptAnswers) {
		t.forget(t.ended[0])
		t.ended = t.ended[1:]
	}
	for _, r := range t.tickets {
		if t.bytes <= t.limits.MaxKeptBytes {
			return
		}
		if r.Phase == booking.Finished && !r.answer.Omitted {
			t.bytes -= r.bytes
			r.bytes = 0
			r.answer = r.answer.LimitSize(0)
		}
	}
}

func (t *runTable) forget(r *trackedRun) {
	t.bytes -= r.bytes
	r.bytes = 0
	delete(t.byNonce, r.Claim.Nonce)
	if t.byKey[r.Claim.Key] == r {
		delete(t.byKey, r.Claim.Key)
	}
}

// lookup returns the run of a nonce, or nil if this instance no longer has it.
func (t *runTable) lookup(nonce string) *trackedRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byNonce[nonce]
}

// runOutcome is the outcome of an ended run.
type runOutcome struct {
	answer       *booking.Result
	err          error
	abandoned    bool
	ranElsewhere bool
}

func (t *runTable) outcome(r *trackedRun) runOutcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	return runOutcome{r.answer, r.err, r.Phase == booking.Abandoned, r.ranElsewhere}
}
