package duty

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const separation = 3 * time.Second

var origin = time.Unix(1000, 0)

func at(ms int) time.Time { return origin.Add(time.Duration(ms) * time.Millisecond) }

// newElector returns an elector that may try for the duty from 3 s on.
func newElector() *Elector {
	e := &Elector{Key: "k", Instance: "a", Address: netip.MustParseAddrPort("10.0.0.1:1"), ThawSlack: 300 * time.Millisecond, Separation: separation}
	e.start(at(-3000))
	return e
}

// newHolder returns an elector that has held the duty from 3 s on, with lease 1 and revision 10 in era 0.
func newHolder(t *testing.T) *Elector {
	e := newElector()
	require.Equal(t, Wait, e.Next(at(0), 0, "n0").Kind)
	e.Observe(at(0), KeyState{Revision: 5})
	require.Equal(t, Action{Kind: Wait, Until: at(3000)}, e.Next(at(0), 0, "n1"))
	a := e.Next(at(3000), 0, "n2")
	require.Equal(t, Acquire, a.Kind)
	e.Acquired(at(3010), Lease{ID: 1}, 10)
	_, ok := e.Term(at(3010))
	require.True(t, ok)
	e.TakeChanges()
	return e
}

func otherKey(era, revision int64) KeyState {
	return KeyState{Exists: true, Era: era, Revision: revision, Record: Record{Instance: "b", Nonce: "other"}}
}

// Guards against tokens that repeat or go back when the store was restored, and against those that overflow.
func TestTokenGrowsWithEraAndRevision(t *testing.T) {
	low, err := Token(0, 1<<36-1)
	require.NoError(t, err)
	high, err := Token(1, 1)
	require.NoError(t, err)
	require.Greater(t, high, low)
	top, err := Token(1<<17-1, 1<<36-1)
	require.NoError(t, err)
	require.EqualValues(t, 1<<53-1, top)
	for _, v := range [][2]int64{{1 << 17, 1}, {-1, 1}, {0, 1 << 36}, {0, 0}, {0, -1}} {
		_, err := Token(v[0], v[1])
		bad := (*TokenRangeError)(nil)
		require.ErrorAs(t, err, &bad)
		require.Equal(t, TokenRangeError{Era: v[0], Revision: v[1]}, *bad)
	}
}

// Guards against a holder that acts after its lease may have ended at the store, also when it was frozen meanwhile or its
// renewal was answered late.
func TestTermEndsBeforeTheLease(t *testing.T) {
	e := newHolder(t)
	_, ok := e.Term(at(4699))
	require.True(t, ok)
	_, ok = e.Term(at(4700))
	require.False(t, ok, "1.7 s after the grant was sent")
	require.Equal(t, Renew, e.Next(at(3600), 0, "n3").Kind)
	e.Renewed(at(3600), Lease{ID: 1})
	_, ok = e.Term(at(5299))
	require.True(t, ok)
	e.Renewed(at(3600), Lease{ID: 1})
	require.NotEqual(t, Renew, e.Next(at(9000), 0, "n4").Kind, "a lease that may have ended is not renewed")
	require.Equal(t, LeaseEnded, e.TakeChanges()[0].Why)
}

// Guards against a holder that keeps a term although the key has another holder, is gone, or was refused.
func TestEndOfTerm(t *testing.T) {
	for why, event := range map[string]func(e *Elector){
		KeyReplaced:    func(e *Elector) { e.Observe(at(3100), otherKey(0, 11)) },
		KeyRemoved:     func(e *Elector) { e.Observe(at(3100), KeyState{Revision: 11}) },
		StoreRestored:  func(e *Elector) { e.ObserveEra(at(3100), 1) },
		TokenRefused:   func(e *Elector) { e.RecordRefused(at(3100), e.term.Token) },
		LeaseLost:      func(e *Elector) { e.RenewFailed(at(3100), Lease{ID: 1}, true) },
		PlatformSilent: func(e *Elector) { e.RecordSilent(at(3100), at(50)); e.Next(at(3100), 0, "n") },
		Stopped:        func(e *Elector) { e.Stop(at(3100)) },
	} {
		e := newHolder(t)
		event(e)
		_, ok := e.Term(at(3100))
		require.False(t, ok, why)
		require.Equal(t, why, e.TakeChanges()[0].Why)
	}
}

// Guards against a term that is ended by news from before it, or by the refusal of a token from before a renumbering.
func TestEarlierNewsIsIgnored(t *testing.T) {
	e := newHolder(t)
	e.Observe(at(3100), KeyState{Revision: 9})
	e.Observe(at(3100), otherKey(0, 8))
	a, ok := e.BeginRenumber(at(3100), "n3")
	require.True(t, ok)
	require.EqualValues(t, 10, a.Expected)
	e.RenumberDone(at(3110), a, 12)
	e.Observe(at(3200), KeyState{Exists: true, Revision: 10, Record: Record{Instance: "a", Nonce: "n2"}})
	e.RecordRefused(at(3200), 10)
	got, ok := e.Term(at(3200))
	require.True(t, ok)
	require.Equal(t, Term{Token: 12, Key: "k", Revision: 12, Until: at(4700)}, got)
}

// Guards against a renumbering that takes effect late and is taken for another instance's write.
func TestLateRenumberingIsAdopted(t *testing.T) {
	e := newHolder(t)
	a, _ := e.BeginRenumber(at(3100), "n3")
	e.Observe(at(3500), KeyState{Exists: true, Revision: 14, Record: a.Record})
	got, ok := e.Term(at(3500))
	require.True(t, ok)
	require.EqualValues(t, 14, got.Token)
}

// Guards against a duty that is given up because the response to the winning write was lost, and against one that is
// held although the write was not executed.
func TestLostResponseIsReadBack(t *testing.T) {
	lost := func() (*Elector, Action) {
		e := newElector()
		e.Next(at(0), 0, "n0")
		e.Observe(at(0), KeyState{Revision: 5})
		a := e.Next(at(3000), 0, "n1")
		e.WriteLost(at(3500), Lease{ID: 1})
		require.Equal(t, ReadBack, e.Next(at(3500), 0, "n2").Kind)
		return e, a
	}
	e, a := lost()
	e.ReadBackDone(at(3510), KeyState{Exists: true, Revision: 7, Record: a.Record})
	got, ok := e.Term(at(3510))
	require.True(t, ok)
	require.Equal(t, at(4700), got.Until, "counted from before the grant")

	e, _ = lost()
	e.ReadBackDone(at(3510), KeyState{})
	require.Equal(t, Action{Kind: Resign, Lease: Lease{ID: 1}}, e.Next(at(3510), 0, "n3"), "so that the write can't be executed later")
	next := e.Next(at(6000), 0, "n4")
	require.Equal(t, Acquire, next.Kind)
	require.Equal(t, "n4", next.Record.Nonce, "a nonce is used for one try")
	// The first write is executed late nevertheless.
	e.Conflicted(at(6010), KeyState{Exists: true, Revision: 9, Record: a.Record})
	next = e.Next(at(9000), 0, "n5")
	require.Equal(t, Acquire, next.Kind)
	require.EqualValues(t, 9, next.Expected, "a late key of this instance is replaced by one with its own lease")

	e, _ = lost()
	e.ReadBackDone(at(3510), otherKey(0, 7))
	_, ok = e.Term(at(3510))
	require.False(t, ok, "another instance has won")
	require.Equal(t, Action{Kind: Wait}, e.Next(at(3510), 0, "n3"))

	e, a = lost()
	e.ReadBackDone(at(3510), KeyState{Exists: true, Era: 1, Revision: 7, Record: a.Record})
	_, ok = e.Term(at(3510))
	require.False(t, ok, "in another era the lease may be another owner's")
}

// Guards against holders in the order A, B, A.
func TestHoldOffAfterAnotherHolder(t *testing.T) {
	e := newHolder(t)
	e.Observe(at(3100), otherKey(0, 11))
	require.Equal(t, Action{Kind: Wait}, e.Next(at(60000), 0, "n3"), "while another holds it")
	e.Observe(at(60000), KeyState{Revision: 12})
	require.Equal(t, Action{Kind: Wait, Until: at(66000)}, e.Next(at(60000), 0, "n4"))
	require.Equal(t, Acquire, e.Next(at(66000), 0, "n5").Kind)
}

// Guards against the same order across a restart of A's process, whose first event is the news of B's key.
func TestHoldOffOfARestartedProcess(t *testing.T) {
	e := newElector()
	e.startedAt = time.Time{}
	k := otherKey(0, 11)
	k.Record.Former = "a"
	e.Observe(at(500), k)
	e.Observe(at(3000), KeyState{Revision: 12})
	require.Equal(t, Action{Kind: Wait, Until: at(9000)}, e.Next(at(3000), 0, "n1"))
}

// Guards against a restarted process that tries again soon after its former key has ended.
func TestFormerKeyOfARestartedProcess(t *testing.T) {
	e := newElector()
	k := otherKey(0, 11)
	k.Record.Instance = "a"
	e.Observe(at(500), k)
	e.Observe(at(1500), KeyState{Revision: 12})
	require.Equal(t, Action{Kind: Wait, Until: at(6500)}, e.Next(at(1500), 0, "n1"))
}

// Guards against a former holder that tries again at once when it can't know whether another one held the duty, and
// against one that waits although its key shows that none did.
func TestTryAgainAfterTheLeaseEnded(t *testing.T) {
	e := newHolder(t)
	require.Equal(t, Acquire, e.Next(at(4800), 0, "n3").Kind, "the key is still there")
	e.Conflicted(at(4810), KeyState{})
	require.Equal(t, Action{Kind: Wait, Until: at(10800)}, e.Next(at(5800), 0, "n4"))
}

// Guards against a long outage of the store after which a holder does not recognise its key.
func TestOwnKeyAfterManyFailedTries(t *testing.T) {
	e := newHolder(t)
	now := at(4800)
	for i := range 2 * maxNonces {
		if a := e.Next(now, 0, fmt.Sprint("again", i)); a.Kind == Acquire {
			e.Failed(now)
		}
		now = now.Add(maxBackoff)
	}
	require.EqualValues(t, 10, e.Next(now, 0, "last").Expected)
}

// Guards against a holder in a new era while one of the former era still acts, and against a holder that loses its duty
// by a restore that keeps its key.
func TestRestore(t *testing.T) {
	e := newHolder(t)
	e.Restored(at(3100), 1, 12)
	require.Equal(t, StoreRestored, e.TakeChanges()[0].Why)
	a := e.Next(at(3100), 0, "n3")
	require.Equal(t, Acquire, a.Kind)
	require.EqualValues(t, 10, a.Expected)
	e.Acquired(at(3110), Lease{ID: 9, Era: 1}, 13)
	got, ok := e.Term(at(3110))
	require.True(t, ok)
	require.EqualValues(t, 1<<36|13, got.Token)

	e = newHolder(t)
	e.Next(at(5000), 0, "n3")
	e.Restored(at(5000), 1, 12)
	require.Equal(t, Wait, e.Next(at(5500), 0, "n4").Kind, "the lease had ended before, so that another may have held the duty")

	other := newElector()
	other.Next(at(0), 0, "n0")
	other.Observe(at(0), otherKey(0, 5))
	other.Observe(at(9000), KeyState{Era: 1, Revision: 3})
	require.Equal(t, Action{Kind: Wait, Until: at(11250)}, other.Next(at(9000), 1, "n1"))
}

// Guards against candidates that all write at once, and against a takeover that takes longer than 3 s.
func TestCandidatesTryInOrder(t *testing.T) {
	var last time.Time
	for rank := range 4 {
		e := newElector()
		e.Next(at(0), rank, "n0")
		e.Observe(at(0), otherKey(0, 5))
		e.Observe(at(10000), KeyState{Revision: 6})
		a := e.Next(at(10000), rank, "n1")
		if rank == 0 {
			require.Equal(t, Acquire, a.Kind)
			continue
		}
		require.Equal(t, at(10000+250*rank), a.Until)
		last = a.Until
	}
	require.LessOrEqual(t, last.Sub(at(10000)), separation-LeaseTTL)
}

// Guards against a token range error that leaves a key behind or is tried again at once.
func TestRevisionOutOfRange(t *testing.T) {
	e := newElector()
	e.Next(at(0), 0, "n0")
	e.Observe(at(0), KeyState{Revision: 5})
	e.Next(at(3000), 0, "n1")
	e.Acquired(at(3010), Lease{ID: 1}, 1<<36)
	require.Equal(t, TokenRange, e.TakeChanges()[0].Why)
	require.Equal(t, Resign, e.Next(at(3010), 0, "n2").Kind)
	require.Equal(t, Action{Kind: Wait, Until: at(9010)}, e.Next(at(3010), 0, "n3"))
}

// Guards against a holder that resigns although no calls were due, or keeps a duty that it can't carry out.
func TestSilentPlatform(t *testing.T) {
	e := newHolder(t)
	e.RecordSilent(at(4000), at(3100))
	e.RecordAnswered(at(4100))
	e.RecordSilent(at(5000), at(4200))
	e.Renewed(at(6000), Lease{ID: 1})
	require.False(t, e.isSilent(at(6500)))
	require.False(t, e.isSilent(at(8100)), "no call since")
	e.RecordSilent(at(7000), at(6500))
	require.Equal(t, Resign, e.Next(at(7300), 0, "n3").Kind)
	e.Observe(at(7400), KeyState{Revision: 11})
	require.Equal(t, Action{Kind: Wait, Until: at(13300)}, e.Next(at(7400), 0, "n4"))
}

// Guards against a record that a later or an earlier build writes and that this one can't read.
func TestDecodeRecord(t *testing.T) {
	r, err := DecodeRecord([]byte(`{"instance":"b","address":"10.0.0.2:7","nonce":"x","term":4,"later":{"a":[1]}}`))
	require.NoError(t, err)
	require.Equal(t, Record{Instance: "b", Address: netip.MustParseAddrPort("10.0.0.2:7"), Nonce: "x", Term: 4}, r)
	require.JSONEq(t, `{"instance":"b","address":"10.0.0.2:7","nonce":"x","term":4}`, string(r.Encode()), "no former holder, no field")
	for _, text := range []string{``, `[]`, `{"instance":"b"}`, `{"nonce":"x"}`, `{"instance":"b","nonce":"x","term":-1}`, `{"instance":"b","nonce":"x","address":"here"}`} {
		_, err := DecodeRecord([]byte(text))
		require.Error(t, err, text)
	}
}

// Guards against a malformed value that ends the process, and against a record that does not survive its encoding.
func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"instance":"b","address":"10.0.0.2:7","nonce":"x","term":4,"former":"c"}`))
	f.Add([]byte(`{"instance":"\ud800","nonce":"x"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeRecord(data)
		if err != nil {
			return
		}
		again, err := DecodeRecord(r.Encode())
		require.NoError(t, err)
		require.Equal(t, r, again)
	})
}
