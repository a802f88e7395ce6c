package server

import (
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/booking"
)

// heldRun is one keyed call in this instance's memory; the table's lock guards it until done is closed.
type heldRun struct {
	booking.ClaimedCall
	// answer is what callers get: the run's own result, or that of the instance that ran it.
	answer *booking.Result
	err    error
	// elsewhere is set when another instance had the claim.
	elsewhere bool
	ticket    bool
	expires   time.Time
	done      chan struct{}
	bytes     int
}

// runTable holds the keyed calls of one instance by key and by nonce.
type runTable struct {
	limits CallLimits

	mu      sync.Mutex
	byKey   map[string]*heldRun
	byNonce map[string]*heldRun
	// ended holds the ended runs without tickets, oldest first.
	ended   []*heldRun
	tickets []*heldRun
	bytes   int
	// closed is set when no more tickets are used.
	closed bool
}

// enter returns the run of a claim's key, or begins one; begun tells which.
func (t *runTable) enter(c booking.Claim, deadline time.Time) (r *heldRun, begun bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.byKey[c.Key]; old != nil && old.Phase != booking.Abandoned && !old.elsewhere {
		return old, false
	}
	r = &heldRun{ClaimedCall: booking.ClaimedCall{Claim: c, Deadline: deadline}, done: make(chan struct{})}
	t.byKey[c.Key], t.byNonce[c.Nonce] = r, r
	return r, true
}

// enterTicket does the same for a ticket; it reports false when no more can be remembered
// or the instance leaves.
func (t *runTable) enterTicket(c booking.Claim, deadline, now, expires time.Time) (r *heldRun, begun, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.byKey[c.Key]; old != nil && old.Phase != booking.Abandoned {
		return old, false, true
	}
	if t.closed {
		return nil, false, false
	}
	for len(t.tickets) > 0 && now.After(t.tickets[0].expires) {
		t.drop(t.tickets[0])
		t.tickets = t.tickets[1:]
	}
	if len(t.tickets) >= t.limits.MaxTickets {
		return nil, false, false
	}
	r = &heldRun{ClaimedCall: booking.ClaimedCall{Claim: c, Deadline: deadline}, ticket: true, expires: expires, done: make(chan struct{})}
	t.byKey[c.Key], t.byNonce[c.Nonce] = r, r
	t.tickets = append(t.tickets, r)
	return r, true, true
}

// send asks for leave to send a run's call.
func (t *runTable) send(r *heldRun, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return r.TrySend(now)
}

// end closes a run: with a result of its own if it was sent, else as given up.
func (t *runTable) end(r *heldRun, result *booking.Result, err error, elsewhere bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if result != nil && !elsewhere {
		r.Finish(result)
	} else {
		r.AbortSend()
		r.Abandon()
	}
	r.answer, r.err, r.elsewhere = result, err, elsewhere
	if r.Phase == booking.Finished {
		r.bytes = result.Bytes()
		t.bytes += r.bytes
	} else if t.byKey[r.Claim.Key] == r {
		delete(t.byKey, r.Claim.Key)
	}
	close(r.done)
	if !r.ticket {
		t.ended = append(t.ended, r)
	}
	t.trim()
}

// trim drops the oldest answers; a used ticket stays, as only this memory tells that it was used.
func (t *runTable) trim() {
	for len(t.ended) > 0 && (t.bytes > t.limits.MaxKeptBytes || len(t.ended) > t.limits.MaxKeptAnswers) {
		t.drop(t.ended[0])
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

func (t *runTable) drop(r *heldRun) {
	t.bytes -= r.bytes
	r.bytes = 0
	delete(t.byNonce, r.Claim.Nonce)
	if t.byKey[r.Claim.Key] == r {
		delete(t.byKey, r.Claim.Key)
	}
}

// find returns the run of a nonce; nil means that this instance does not know of it any more.
func (t *runTable) find(nonce string) *heldRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byNonce[nonce]
}

// runEnd is what an ended run came to.
type runEnd struct {
	answer    *booking.Result
	err       error
	abandoned bool
	elsewhere bool
}

func (t *runTable) outcome(r *heldRun) runEnd {
	t.mu.Lock()
	defer t.mu.Unlock()
	return runEnd{r.answer, r.err, r.Phase == booking.Abandoned, r.elsewhere}
}
