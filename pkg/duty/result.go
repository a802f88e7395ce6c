package duty

import "time"

// Acquired records that the write of an Acquire was executed with a lease.
func (e *Elector) Acquired(now time.Time, lease Lease, revision int64) {
	e.try.lease = lease
	e.begin(now, e.try, revision)
}

// Conflicted records that the write of an Acquire was not executed, since the key is in another state; its version is
// 0 if it is not known.
func (e *Elector) Conflicted(now time.Time, k KeyState) {
	e.fail(now, e.try.record.Nonce)
	if k.Revision != 0 {
		e.Observe(now, k)
		return
	}
	// The key was removed meanwhile, or the response was unreadable; the copy of the store shows it.
	if e.seen.Exists {
		e.seen.Exists, e.absentSince = false, now
	}
}

// WriteLost records that the write of an Acquire got no response.
func (e *Elector) WriteLost(_ time.Time, lease Lease) {
	e.try.lease, e.try.lost = lease, true
}

// Failed records that an Acquire was not executed. After a restore of the store the write may have been, with a lease
// that is not this instance's; the nonce shows it.
func (e *Elector) Failed(now time.Time) { e.fail(now, e.try.record.Nonce) }

// ReadBackDone records the state of the key that a ReadBack has returned.
func (e *Elector) ReadBackDone(now time.Time, k KeyState) {
	t := e.try
	if !t.lost {
		e.Observe(now, k)
		return
	}
	valid := now.Before(t.sentAt.Add(LeaseTTL - e.ThawSlack))
	if k.Exists && k.Record.Nonce == t.record.Nonce && k.Era == t.lease.Era && valid {
		e.begin(now, t, k.Revision)
		return
	}
	e.fail(now, t.record.Nonce)
	e.Observe(now, k)
	if !k.Exists {
		// Without its lease, the write can't be executed any more.
		e.release = t.lease
	}
}

// ReadBackFailed records that a ReadBack got no response; it is repeated.
func (e *Elector) ReadBackFailed(time.Time) {}

// Renewed records that a renewal which was sent at a time has succeeded.
func (e *Elector) Renewed(sentAt time.Time, lease Lease) {
	if !e.holds || lease != e.lease {
		return
	}
	e.term.Until = maxTime(e.term.Until, sentAt.Add(LeaseTTL-e.ThawSlack))
	e.renewAt = sentAt.Add(RenewInterval)
}

// RenewFailed records that a renewal failed; ended is set if the store no longer has the lease.
func (e *Elector) RenewFailed(now time.Time, lease Lease, ended bool) {
	if ended && lease == e.lease {
		e.end(now, LeaseLost)
	}
}

// BeginRenumber returns the write that gives the present term a higher token; ok is false without a term.
func (e *Elector) BeginRenumber(now time.Time, nonce string) (a Action, ok bool) {
	if _, ok := e.Term(now); !ok {
		return Action{}, false
	}
	r := e.record
	r.Nonce = nonce
	e.addNonce(nonce)
	return Action{Kind: Renumber, Expected: e.term.Revision, Record: r, Lease: e.lease}, true
}

// RenumberDone records that the write of a Renumber was executed.
func (e *Elector) RenumberDone(now time.Time, a Action, revision int64) {
	if a.Lease == e.lease {
		e.Observe(now, KeyState{Exists: true, Era: a.Lease.Era, Revision: revision, Record: a.Record})
	}
}

// RenumberConflicted records that the write of a Renumber was not executed, since the key is in another state; its
// version is 0 if it does not exist.
func (e *Elector) RenumberConflicted(now time.Time, a Action, k KeyState) {
	if k.Revision != 0 {
		e.Observe(now, k)
	} else if a.Lease == e.lease {
		e.end(now, KeyRemoved)
	}
}

// RecordRefused records that the platform has refused a token, since it has seen a higher one. That of the present term
// ends it; an earlier one, from before a renumbering, does not.
func (e *Elector) RecordRefused(now time.Time, token int64) {
	if !e.holds || token < e.term.Token {
		return
	}
	e.end(now, TokenRefused)
	e.otherSince, e.otherSeenAt = true, now
}

// RecordAnswered records that the platform responded to a call.
func (e *Elector) RecordAnswered(time.Time) {
	e.silentSince, e.silentAt = time.Time{}, time.Time{}
}

// RecordSilent records that the platform did not respond to a call that was sent at a time.
func (e *Elector) RecordSilent(now, sentAt time.Time) {
	if !e.holds {
		return
	}
	if e.silentSince.IsZero() {
		e.silentSince = sentAt
	}
	e.silentAt = now
}

// Stop ends the term, or the try whose write got no response; the next action revokes its lease.
func (e *Elector) Stop(now time.Time) {
	if e.try.lost {
		e.release, e.try = e.try.lease, try{}
	}
	e.end(now, Stopped)
}
