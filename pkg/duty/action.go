package duty

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is a kind of action.
type Kind int

const (
	// Wait makes no call until Action.Until, or until the next event if that is zero.
	Wait Kind = iota
	// Acquire grants a lease of LeaseTTL and writes Record with it, on condition that the key is at Expected. Its
	// result is one of Acquired, Conflicted, WriteLost and Failed.
	Acquire
	// ReadBack reads the key; its result is ReadBackDone or ReadBackFailed.
	ReadBack
	// Renew renews Lease; its result is Renewed or RenewFailed.
	Renew
	// Renumber writes Record with Lease, on condition that the key is at Expected. Its result is RenumberDone, or an
	// Observe of the key.
	Renumber
	// Resign revokes Lease; its result does not matter, since the lease expires.
	Resign
)

// Action is what the caller has to do next.
type Action struct {
	Kind  Kind
	Until time.Time
	// Expected is the revision of the key on which the write depends; 0 means that it must not exist.
	Expected int64
	// Era is the era of the store for which an Acquire was decided. The write must not be made in a later one.
	Era    int64
	Record Record
	Lease  Lease
}

// Next returns the next action. The rank is this instance's place among the candidates, or negative; the nonce is used
// for at most one write and must not be repeated.
func (e *Elector) Next(now time.Time, rank int, nonce string) Action {
	e.start(now)
	if e.holds && !now.Before(e.term.Until) {
		e.end(now, LeaseEnded)
	}
	if e.holds && e.isSilent(now) {
		e.end(now, PlatformSilent)
		e.notBefore = now.Add(2 * e.Separation)
	}
	if e.release.ID != 0 {
		lease := e.release
		e.release = Lease{}
		return Action{Kind: Resign, Lease: lease}
	}
	if e.try.lost {
		return e.nextReadBack(now)
	}
	if !e.holds {
		return e.nextTry(now, rank, nonce)
	}
	if now.Before(e.renewAt) {
		return Action{Kind: Wait, Until: minTime(e.renewAt, e.term.Until)}
	}
	e.renewAt = now.Add(renewRetryInterval)
	return Action{Kind: Renew, Lease: e.lease}
}

// nextReadBack reads a key whose write got no response, while the lease of the write may last.
func (e *Elector) nextReadBack(now time.Time) Action {
	if !now.Before(e.try.sentAt.Add(LeaseTTL - e.ThawSlack)) {
		e.fail(now, e.try.record.Nonce)
		return Action{Kind: Wait, Until: e.notBefore}
	}
	if now.Before(e.try.readAt) {
		return Action{Kind: Wait, Until: e.try.readAt}
	}
	e.try.readAt = now.Add(readBackInterval)
	return Action{Kind: ReadBack}
}

// nextTry tries for the duty if no other instance holds the key and all waiting times are over.
func (e *Elector) nextTry(now time.Time, rank int, nonce string) Action {
	if !e.known || e.seen.Exists && !e.isOwn(&e.seen) {
		return Action{Kind: Wait}
	}
	if at := e.tryAt(rank); now.Before(at) {
		return Action{Kind: Wait, Until: at}
	}
	r := Record{Instance: e.Instance, Address: e.Address, Nonce: nonce, Term: max(e.seen.Record.Term, e.record.Term) + 1, Former: e.other}
	action := Action{Kind: Acquire, Era: e.era, Record: r}
	if e.seen.Exists {
		action.Expected = e.seen.Revision
	}
	e.addNonce(nonce)
	e.try = try{record: r, sentAt: now}
	return action
}

// tryAt returns when this instance may try for the duty.
func (e *Elector) tryAt(rank int) time.Time {
	if e.isContinuous() {
		return e.notBefore
	}
	// Before its end by its own clock, a holder of the store's former era may still act. A former process of this
	// instance, or a term whose end was not seen by others, may have been followed by another holder that is not known.
	at := maxTime(e.startedAt.Add(2*e.Separation), e.eraSeenAt.Add(LeaseTTL))
	if !e.endedAt.IsZero() {
		at = maxTime(at, e.endedAt.Add(2*e.Separation))
	}
	if e.otherSince {
		at = maxTime(at, e.otherSeenAt.Add(2*e.Separation))
	}
	if !e.seen.Exists {
		if rank < 0 {
			rank = unlistedRank
		}
		at = maxTime(at, e.absentSince).Add(time.Duration(rank) * candidateSpacing)
	}
	return maxTime(at, e.notBefore)
}

// isContinuous reports whether the key is still as this instance's last term has left it, so that no other instance has
// held the duty since. A state of the key from before a restore does not show that: the restored key may be as it was
// before another instance held the duty.
func (e *Elector) isContinuous() bool {
	return e.seen.Exists && e.seen.Era == e.era && !e.endedAt.IsZero() && !e.otherSince && e.seen.Revision == e.term.Revision &&
		(e.seen.Era == e.term.Era || e.seen.Era == e.endedIn)
}

// isSilent reports whether the platform has not responded to the calls that were due.
func (e *Elector) isSilent(now time.Time) bool {
	return !e.silentSince.IsZero() && now.Sub(e.silentSince) >= silenceTimeout && now.Sub(e.silentAt) < silenceTimeout
}

func (e *Elector) addNonce(nonce string) {
	e.nonces = append(e.nonces, nonce)
	e.nonces = e.nonces[max(0, len(e.nonces)-maxNonces):]
}

// fail ends a try; the next one follows after a backoff that differs between instances.
func (e *Elector) fail(now time.Time, nonce string) {
	e.try = try{}
	backoff := min(minBackoff<<min(e.failures, 8), maxBackoff)
	e.failures++
	spread := time.Duration(xxhash.Sum64String(nonce) % uint64(backoff/2))
	e.notBefore = maxTime(e.notBefore, now.Add(backoff/2+spread))
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
