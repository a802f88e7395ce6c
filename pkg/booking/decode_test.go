package booking

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testTickets = TicketSigner{Keys: [][]byte{[]byte("new key"), []byte("old key")}}

func testTicket() *Ticket {
	return &Ticket{Claimant: Claimant{Instance: "i", Incarnation: 7, Nonce: hashParts("n")}, Workspace: "w", Entry: "e", Expires: time.UnixMilli(5000)}
}

// TestTicketIsRefused guards against tickets that are forged, expired or issued for another
// workspace or entry.
func TestTicketIsRefused(t *testing.T) {
	good := testTickets.Sign(testTicket())
	for name, c := range map[string]struct {
		text, workspace, entry, code string
		now                          int64
	}{
		"good":            {good, "w", "e", "", 4999},
		"old key":         {TicketSigner{Keys: testTickets.Keys[1:]}.Sign(testTicket()), "w", "e", "", 4999},
		"unknown key":     {TicketSigner{Keys: [][]byte{[]byte("x")}}.Sign(testTicket()), "w", "e", "ticket_invalid", 0},
		"other workspace": {good, "v", "e", "ticket_mismatch", 0},
		"other entry":     {good, "w", "f", "ticket_mismatch", 0},
		"expired":         {good, "w", "e", "ticket_expired", 5000},
		"truncated":       {good[:len(good)-1], "w", "e", "ticket_invalid", 0},
		"no prefix":       {good[len(TicketPrefix):], "w", "e", "ticket_invalid", 0},
	} {
		k, err := testTickets.Verify(time.UnixMilli(c.now), c.text, c.workspace, c.entry)
		if c.code == "" {
			require.NoError(t, err, name)
			require.Equal(t, testTicket(), k, name)
			continue
		}
		require.Equal(t, &TicketError{c.code}, err, name)
	}
}

// FuzzTicket guards against tickets that crash the decoder or decode to something other than what
// was signed.
func FuzzTicket(f *testing.F) {
	f.Add(testTickets.Sign(testTicket()), []byte{ticketFormat, 1, 'i', 1, 'w', 1, 'e'})
	f.Fuzz(func(t *testing.T, text string, body []byte) {
		if k, ok := testTickets.decodeSigned(text); ok {
			require.Equal(t, text, testTickets.Sign(k))
		}
		if k, ok := decodeTicket(body); ok {
			again, ok := testTickets.decodeSigned(testTickets.Sign(k))
			require.True(t, ok)
			require.Equal(t, k, again)
		}
	})
}

// FuzzShard guards against shard values that crash the decoder or change when encoded again.
func FuzzShard(f *testing.F) {
	s := NewShard()
	s.put(Claim{Key: hashParts("k"), Digest: hashParts("d"), At: 1, State: Running, Claimant: Claimant{Instance: "i", Nonce: hashParts("n")}})
	s.put(Claim{Key: hashParts("l"), Digest: hashParts("d"), At: 1, State: Done, Result: &Result{Status: 200, Body: []byte("b")}, Claimant: Claimant{Instance: "i", Nonce: hashParts("n")}})
	f.Add(s.Encode())
	f.Add([]byte("{\"format\":2}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := DecodeShard(data)
		if err != nil {
			return
		}
		again, err := DecodeShard(s.Encode())
		require.NoError(t, err)
		require.Equal(t, s.Encode(), again.Encode())
	})
}

// FuzzOperation guards against operations from other instances that make a shard undecodable or are
// not idempotent.
func FuzzOperation(f *testing.F) {
	claim := Claim{Key: hashParts("k"), Digest: hashParts("d"), At: 1, Claimant: Claimant{Instance: "i", Nonce: hashParts("n")}}
	for _, o := range []Op{
		{Kind: OpClaim, Claim: claim},
		{Kind: OpClaim, Claim: claim, Void: hashParts("m")},
		{Kind: OpRelease, Claim: claim},
		{Kind: OpFinish, Claim: Claim{Key: claim.Key, Digest: claim.Digest, At: 1, Claimant: claim.Claimant, Result: &Result{Status: 200, Body: []byte("b")}}},
		{Kind: OpFinish, Claim: claim},
		{Kind: "other"},
	} {
		data, err := json.Marshal(o)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		o := Op{}
		if json.Unmarshal(data, &o) != nil || !o.Valid() {
			return
		}
		s := NewShard()
		first := o
		first.Kind, first.Void = OpClaim, ""
		s.Apply(first)
		s.Apply(o)
		once := s.Encode()
		again, changed := s.Apply(o)
		require.False(t, changed, "an operation must be idempotent")
		require.NoError(t, again.Check())
		require.Equal(t, once, s.Encode())
		back, err := DecodeShard(once)
		require.NoError(t, err)
		require.Equal(t, once, back.Encode())
	})
}

// FuzzCrashReports guards against reports from other instances that crash the detector, exceed its
// bounds or mark requests that they do not name.
func FuzzCrashReports(f *testing.F) {
	f.Add([]byte(`[{"target":"a","at":1000,"requests":[{"digest":"` + hashParts("a") + `"}]},{"target":"b","at":1001,"requests":[{"digest":"` + hashParts("a") + `"}]}]`))
	f.Add([]byte(`[{"target":"a","at":-9223372036854775808,"requests":[{"digest":"` + hashParts("a") + `","position":18446744073709551615,"age_ms":9223372036854775807}]},` +
		`{"target":"b","at":9223372036854775807,"requests":[{"digest":"` + hashParts("a") + `","output":true}]}]`))
	f.Add([]byte(`[{"target":"","requests":null}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var list []Crash
		if json.Unmarshal(data, &list) != nil {
			return
		}
		s, now, named := CrashDetector{Retention: time.Minute, MaxCrashes: 4}, time.UnixMilli(1000), map[string]bool{}
		for _, c := range list {
			if !c.Valid() {
				continue
			}
			for _, r := range c.Requests {
				named[r.Digest] = true
			}
			for _, d := range s.RecordCrash(now, c) {
				require.True(t, named[d])
				require.True(t, s.IsMarked(now, d))
			}
			require.LessOrEqual(t, len(s.crashes), 4)
			require.LessOrEqual(t, s.MarkedCount(now), len(named))
		}
	})
}
