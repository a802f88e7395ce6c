package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/generation"
)

// TestRunningTicketCallAfterCatalogueChange guards against a call that is refused as not run while it runs, since the catalogue
// has lost its entry before a forwarding instance asks for its end again.
func TestRunningTicketCallAfterCatalogueChange(t *testing.T) {
	s := &Server{ID: "i", Incarnation: 1, Board: blackboard.New(), Signer: generation.CursorSigner{Keys: [][]byte{[]byte("cursor-key-0123456789abcdef")}}}
	s.Limits.Calls.MaxTickets, s.Limits.Calls.TicketTTL = 9, time.Minute
	s.calls.ctx = t.Context()
	s.calls.runs = runTable{limits: s.Limits.Calls, byKey: map[string]*trackedRun{}, byNonce: map[string]*trackedRun{}}
	Catalogue.Put(s.Board, &catalogue.Document{})
	now, digest := time.Now(), repeatedHash("d")
	c := &call{workspace: &catalogue.Workspace{Name: "w"}, entry: &catalogue.Entry{Name: "e"}}
	used, unused := s.issueTicket(c), s.issueTicket(c)
	k, err := s.ticketSigner().Verify(now, used, "w", "e")
	require.NoError(t, err)
	r, _, _ := s.calls.runs.findOrStartTicket(booking.Claim{Key: "ticket/" + k.Nonce, Digest: digest, Claimant: k.Claimant}, now.Add(time.Minute), now, k.Expires)
	require.True(t, s.calls.runs.markSent(r, now))
	ask := func(ticket, digest string) (out CallOutcome) {
		require.NoError(t, (&CallPeer{s}).Run(&CallForward{Workspace: "w", Entry: "e", Ticket: ticket, Digest: digest, DeadlineMillis: 10}, &out))
		return out
	}
	require.True(t, ask(used, digest).Running)
	require.Equal(t, "key_reused", ask(used, repeatedHash("x")).Refusal.Code)
	require.Equal(t, "catalogue_differs", ask(unused, digest).Refusal.Code)
	// Another incarnation may have run the call with its ticket.
	s.Incarnation++
	require.Equal(t, generation.Unknown, ask(unused, digest).Refusal.Outcome)
	s.Incarnation--
	s.calls.runs.finish(r, &booking.Result{Status: 201}, nil, false)
	require.Equal(t, 201, ask(used, digest).Result.Status)
}
