package duty

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// LeaseTTL is the time after which the store removes the key of a holder that has ended.
	LeaseTTL = 2 * time.Second
	// RenewInterval allows for one failed renewal within LeaseTTL.
	RenewInterval = 600 * time.Millisecond
	// renewRetryInterval is the time after a failed renewal until the next one.
	renewRetryInterval = 200 * time.Millisecond
	// candidateSpacing is the time by which each candidate waits longer than the one before it: long enough for two
	// calls to the store and the news of their result, so that candidates seldom write at once.
	candidateSpacing = 250 * time.Millisecond
	// unlistedRank is the place of an instance that is not listed.
	unlistedRank = 8
	// minBackoff and maxBackoff bound the time after a failed try until the next one.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 2 * time.Second
	// readBackInterval is the time between two reads of a key whose write got no response.
	readBackInterval = 200 * time.Millisecond
	// silenceTimeout is the time without a response of the platform after which a holder resigns. Silence counts only if
	// a call was made within it, since no calls may be due.
	silenceTimeout = 3 * time.Second
	// maxNonces bounds the nonces that are kept to recognise writes that are executed late.
	maxNonces = 32
)

// Reasons for the end of a term.
const (
	LeaseEnded     = "lease_ended"
	LeaseLost      = "lease_lost"
	StoreRestored  = "store_restored"
	KeyRemoved     = "key_removed"
	KeyReplaced    = "key_replaced"
	TokenRefused   = "token_refused"
	TokenRange     = "token_out_of_range"
	PlatformSilent = "platform_silent"
	Stopped        = "stopped"
)

// Lease is a lease of the store; its number may belong to another owner in another era.
type Lease struct {
	ID  int64
	Era int64
}

// KeyState is a state of the duty's key.
type KeyState struct {
	Exists bool
	// Era and Revision are the version of the key's last write, or of a state of the store without the key.
	Era      int64
	Revision int64
	// Record is the zero value if it can't be decoded.
	Record Record
}

func (k *KeyState) compare(other *KeyState) int {
	return cmp.Or(cmp.Compare(k.Era, other.Era), cmp.Compare(k.Revision, other.Revision))
}

// Elector decides for one instance when to try for a duty, and until when it holds it. Set its exported fields before
// the first call.
type Elector struct {
	// Key is the duty's key; Instance and Address are written to it.
	Key      string
	Instance string
	Address  netip.AddrPort
	// ThawSlack is how long before its end at the store a lease ends for this instance.
	ThawSlack time.Duration
	// Separation is the time within which holders must not act in the order A, B, A.
	Separation time.Duration

	startedAt time.Time
	// seen is the latest known state of the key, if known is set, and absentSince when it was first seen without the key.
	seen        KeyState
	known       bool
	absentSince time.Time
	// era is the latest era that was stated, and eraSeenAt when it was first.
	era       int64
	eraSeenAt time.Time
	// nonces are those of this instance's latest writes.
	nonces []string

	// holds is set while this instance has a term; afterwards term and lease are those of its last one.
	holds   bool
	term    Term
	lease   Lease
	record  Record
	renewAt time.Time
	// held is set if this instance has ever held the duty, also as an earlier process. endedAt is when its last term
	// ended, and endedIn the restored store's era if the term ended by a restore while the lease was valid, or -1.
	held    bool
	endedAt time.Time
	endedIn int64
	// otherSince is set if another instance has held the duty since, which was last seen at otherSeenAt. other is its
	// name.
	otherSince  bool
	otherSeenAt time.Time
	other       string

	// try is the write of which no response has come, and release a lease to be revoked.
	try       try
	release   Lease
	failures  int
	notBefore time.Time
	// silentSince is when the first call since the platform's last response was made, and silentAt when the last one
	// got none.
	silentSince time.Time
	silentAt    time.Time
	changes     []Change
}

// try is a write by which the duty may have been acquired.
type try struct {
	record Record
	sentAt time.Time
	lease  Lease
	// lost is set if its response was lost; it is read back at readAt.
	lost   bool
	readAt time.Time
}

// Change is a change of the term, for the log.
type Change struct {
	// Kind is one of Began, Renumbered and Ended, and Why the reason of the end.
	Kind string
	Why  string
	Term Term
}

// Kinds of changes.
const (
	Began      = "began"
	Renumbered = "renumbered"
	Ended      = "ended"
)

// TakeChanges returns the changes of the term since the last call.
func (e *Elector) TakeChanges() []Change {
	list := e.changes
	e.changes = nil
	return list
}

// Term returns the present term; ok is false if there is none, or its lease has ended.
func (e *Elector) Term(now time.Time) (t Term, ok bool) {
	if !e.holds || !now.Before(e.term.Until) {
		return Term{}, false
	}
	return e.term, true
}

// Holder returns the instance that holds the key as far as this instance knows, or nothing.
func (e *Elector) Holder() string {
	if e.seen.Exists {
		return e.seen.Record.Instance
	}
	return ""
}

// ObserveEra records the era of the store as far as it is known; a wrong one may be corrected to a lower one. A rise
// ends the term.
func (e *Elector) ObserveEra(now time.Time, era int64) {
	if era > e.era || e.eraSeenAt.IsZero() {
		e.eraSeenAt = now
	}
	e.era = era
	if e.holds && era > e.term.Era {
		e.end(now, StoreRestored)
		if now.Before(e.term.Until) {
			e.endedIn = era
		}
	}
}

// start records the time of the first event.
func (e *Elector) start(now time.Time) {
	if e.startedAt.IsZero() {
		e.startedAt = now
	}
}

// Observe records a state of the key; earlier ones than the latest known are ignored.
func (e *Elector) Observe(now time.Time, k KeyState) {
	e.start(now)
	if e.known && k.compare(&e.seen) < 0 {
		return
	}
	if k.Era > e.era {
		e.ObserveEra(now, k.Era)
	}
	own := k.Exists && e.isOwn(&k)
	if e.holds && k.Era == e.term.Era && k.Revision > e.term.Revision {
		switch {
		case own:
			// A renumbering whose response was lost.
			e.renumber(now, k.Revision, k.Record)
		case k.Exists:
			e.end(now, KeyReplaced)
		default:
			e.end(now, KeyRemoved)
		}
	}
	wasOther := e.known && e.seen.Exists && !e.isOwn(&e.seen)
	if k.Exists && !own {
		e.observeOther(now, &k)
	} else if wasOther {
		e.otherSeenAt = now
	}
	if !k.Exists && (!e.known || e.seen.Exists) {
		e.absentSince = now
	}
	e.seen, e.known = k, true
}

// Restored records that a restore of the store, which is now at a version, has not changed the key.
func (e *Elector) Restored(now time.Time, era, revision int64) {
	k := e.seen
	k.Era = era
	if !k.Exists {
		k.Revision = revision
	}
	if e.known {
		e.Observe(now, k)
	}
}

// observeOther records that another instance, or a former process of this one, holds the key.
func (e *Elector) observeOther(now time.Time, k *KeyState) {
	if k.Record.Instance == e.Instance {
		e.held, e.endedAt = true, now
		return
	}
	e.otherSeenAt, e.other, e.failures = now, k.Record.Instance, 0
	// A new process does not remember a term of the former one, but the next holder does.
	if k.Record.Former == e.Instance && now.Sub(e.startedAt) < 2*e.Separation {
		e.held = true
	}
	e.otherSince = e.otherSince || e.held
}

// isOwn reports whether this process has written the key: for its latest term, or in one of its latest tries.
func (e *Elector) isOwn(k *KeyState) bool {
	nonce := k.Record.Nonce
	return nonce != "" && (nonce == e.record.Nonce || slices.Contains(e.nonces, nonce))
}

// end ends the term. The lease is revoked if the key may still be there and is not needed.
func (e *Elector) end(now time.Time, why string) {
	if !e.holds {
		return
	}
	e.holds, e.endedAt, e.endedIn = false, now, -1
	e.silentSince, e.silentAt = time.Time{}, time.Time{}
	switch why {
	case TokenRefused, TokenRange, PlatformSilent, Stopped:
		e.release = e.lease
	}
	e.changes = append(e.changes, Change{Kind: Ended, Why: why, Term: e.term})
}

// begin begins a term with a write of the key.
func (e *Elector) begin(now time.Time, t try, revision int64) {
	won := KeyState{Exists: true, Era: t.lease.Era, Revision: revision, Record: t.record}
	if e.known && won.compare(&e.seen) < 0 {
		// The key has changed since: the news of it came before the response to the write.
		e.fail(now, t.record.Nonce)
		return
	}
	token, err := Token(t.lease.Era, revision)
	e.seen, e.known, e.try, e.failures = won, true, try{}, 0
	if err != nil {
		e.release = t.lease
		e.notBefore = now.Add(2 * e.Separation)
		e.changes = append(e.changes, Change{Kind: Ended, Why: TokenRange})
		return
	}
	e.holds, e.held, e.otherSince = true, true, false
	e.lease, e.record, e.renewAt = t.lease, t.record, t.sentAt.Add(RenewInterval)
	e.term = Term{Token: token, Key: e.Key, Revision: revision, Era: t.lease.Era, Until: t.sentAt.Add(LeaseTTL - e.ThawSlack)}
	e.changes = append(e.changes, Change{Kind: Began, Term: e.term})
}

// renumber continues the term with a later write of the key.
func (e *Elector) renumber(now time.Time, revision int64, r Record) {
	token, err := Token(e.term.Era, revision)
	if err != nil {
		e.end(now, TokenRange)
		e.notBefore = now.Add(2 * e.Separation)
		return
	}
	e.term.Token, e.term.Revision, e.record = token, revision, r
	e.changes = append(e.changes, Change{Kind: Renumbered, Term: e.term})
}
