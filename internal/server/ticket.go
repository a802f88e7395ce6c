package server

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/timeline"
)

var errStillRunning = errors.New("call is still running")

func (s *Server) ticketSigner() booking.TicketSigner {
	return booking.TicketSigner{Keys: s.Signer.Keys}
}

// claimsUnavailableRefusal refuses a call whose claim could not be written and offers a ticket for it.
func (s *Server) claimsUnavailableRefusal(c *call) *Refusal {
	f := newRefusal(http.StatusServiceUnavailable, "claims_unavailable",
		"claims cannot be written; wait, or send the call with the ticket as "+IdempotencyKeyHeader+" if every earlier attempt was answered with not_run").retryAfter(time.Second)
	f.Ticket = s.issueTicket(c)
	return f
}

func (s *Server) issueTicket(c *call) string {
	s.calls.ticketsIssued.Store(true)
	return s.ticketSigner().Sign(&booking.Ticket{
		Claimant: s.newClaimant(newNonce()), Workspace: c.workspace.Name, Entry: c.entry.Name, Expires: time.Now().Add(s.Limits.Calls.TicketTTL),
	})
}

const ticketHolderLeft = "ticket_holder_left"

// ticketHolderLeftRefusal refuses a ticket whose issuer left without using it.
func ticketHolderLeftRefusal() *Refusal {
	return newRefusal(http.StatusServiceUnavailable, ticketHolderLeft,
		"the instance that gave the ticket has left without running the call; send it with the new ticket as "+IdempotencyKeyHeader).retryAfter(time.Second)
}

// runWithTicket runs a call with a ticket on the instance that issued the ticket.
func (s *Server) runWithTicket(ctx context.Context, c *call) (*booking.Result, error) {
	k, err := s.ticketSigner().Verify(c.now, c.key, c.workspace.Name, c.entry.Name)
	// Whether a ticket has expired is decided by its issuer, on the issuer's clock.
	if err != nil && k == nil {
		return nil, newRefusal(http.StatusBadRequest, err.Error(), "the ticket was not given by this deployment for this workspace and entry")
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	if k.Instance == s.ID && k.Incarnation == s.Incarnation {
		result, err := s.runOwnTicket(ctx, c)
		if errors.Is(err, errStillRunning) {
			err = unknownOutcomeRefusal("still_running", true)
		}
		return result, err
	}
	// The issuer chooses the target.
	s.markPlaced(c.id)
	return s.forwardToHolder(ctx, c, k)
}

// forwardToHolder forwards a call to the instance that issued its ticket, and repeats the RPC while the call runs.
func (s *Server) forwardToHolder(ctx context.Context, c *call, k *booking.Ticket) (*booking.Result, error) {
	if result, ok, err := s.calls.departed.ticketOutcome(k, c.digest); ok {
		return result, s.addNewTicket(c, err)
	}
	m, known := s.lookupMember(k.Instance)
	if !known || m.Incarnation > k.Incarnation || k.Instance == s.ID {
		s.writeCallEvent(c, timeline.Event{Kind: "call_unknown", Decision: "give_up", Why: "ticket_holder_gone", Target: k.Instance})
		return nil, unknownOutcomeRefusal("ticket_holder_gone", false)
	}
	in := CallForward{
		ID: c.id, Workspace: c.workspace.Name, Entry: c.entry.Name, Ticket: c.key, Method: c.method, Path: c.path,
		Query: c.query, Header: c.header, Body: c.body, Digest: c.digest,
	}
	for ctx.Err() == nil {
		in.DeadlineMillis = max(time.Until(c.deadline).Milliseconds(), 1)
		out := CallOutcome{}
		peer, cancel := context.WithTimeout(context.WithoutCancel(ctx), min(time.Until(c.deadline), maxPeerWait)+peerCallSlack)
		err := s.Peers.Call(peer, m.Address, callsServiceName+".Run", &in, &out)
		cancel()
		switch {
		case err != nil:
			// The issuer may have ended just after it stated the outcome of the call.
			if result, ok, err := s.calls.departed.ticketOutcome(k, c.digest); ok {
				return result, s.addNewTicket(c, err)
			}
			s.writeCallEvent(c, timeline.Event{Kind: "call_unknown", Decision: "give_up", Why: "ticket_holder_unreachable", Target: k.Instance})
			return nil, unknownOutcomeRefusal("ticket_holder_unreachable", true)
		case out.Refusal != nil:
			return nil, s.addNewTicket(c, out.refusal())
		case out.Result != nil:
			return out.Result, nil
		}
	}
	return nil, unknownOutcomeRefusal("still_running", true)
}

// addNewTicket adds a ticket of this instance to a refusal of a ticket whose issuer has left.
func (s *Server) addNewTicket(c *call, err error) error {
	var f *Refusal
	if errors.As(err, &f) && f.Code == ticketHolderLeft {
		f.Ticket = s.issueTicket(c)
	}
	return err
}

// runOwnTicket runs a call with a ticket of this instance at most once, tracked in memory only, and waits for it until ctx ends.
func (s *Server) runOwnTicket(ctx context.Context, c *call) (*booking.Result, error) {
	now := time.Now()
	k, err := s.ticketSigner().Verify(now, c.key, c.workspace.Name, c.entry.Name)
	var wrong *booking.TicketError
	switch {
	case errors.As(err, &wrong) && wrong.Code == "ticket_expired":
		return nil, unknownOutcomeRefusal(wrong.Code, false)
	case err != nil:
		return nil, newRefusal(http.StatusBadRequest, err.Error(), "the ticket was not given for this call")
	case k.Instance != s.ID || k.Incarnation != s.Incarnation:
		return nil, unknownOutcomeRefusal("ticket_holder_gone", false)
	}
	claim := booking.Claim{
		Key: "ticket/" + k.Nonce, Digest: c.digest, At: now.UnixMilli(), State: booking.Running, Claimant: k.Claimant,
	}
	r, isNew, ok := s.calls.runs.findOrStartTicket(claim, c.deadline, now, k.Expires)
	if !ok && s.calls.runs.ticketsClosed() {
		return nil, ticketHolderLeftRefusal()
	}
	if !ok {
		return nil, newRefusal(http.StatusServiceUnavailable, "tickets_full", "the instance remembers no more tickets").retryAfter(time.Second)
	}
	if isNew {
		s.calls.runInBackground(func() { s.dispatchTicketCall(c, r) })
	}
	return s.awaitTicketRun(ctx, r, c.digest)
}

// awaitStartedTicketRun waits for the run that a ticket has started, and refuses a call that has none. The catalogue may have
// changed since the run began.
func (s *Server) awaitStartedTicketRun(ctx context.Context, now time.Time, in *CallForward) (*booking.Result, error) {
	k, err := s.ticketSigner().Verify(now, in.Ticket, in.Workspace, in.Entry)
	switch {
	case k == nil:
		return nil, newRefusal(http.StatusBadRequest, err.Error(), "the ticket was not given for this call")
	case k.Instance != s.ID || k.Incarnation != s.Incarnation:
		return nil, unknownOutcomeRefusal("ticket_holder_gone", false)
	}
	if r := s.calls.runs.lookup(k.Nonce); r != nil {
		return s.awaitTicketRun(ctx, r, in.Digest)
	}
	if err != nil {
		// The run may have been forgotten.
		return nil, unknownOutcomeRefusal("ticket_expired", false)
	}
	return nil, newRefusal(http.StatusServiceUnavailable, "catalogue_differs", "the instance that gave the ticket has another catalogue").retryAfter(time.Second)
}

// awaitTicketRun waits until the run of a call with a digest ends, or ctx does.
func (s *Server) awaitTicketRun(ctx context.Context, r *trackedRun, digest string) (*booking.Result, error) {
	if r.Claim.Digest != digest {
		return nil, keyReusedRefusal()
	}
	select {
	case <-r.done:
		outcome := s.calls.runs.outcome(r)
		return outcome.answer, outcome.err
	case <-ctx.Done():
		return nil, errStillRunning
	}
}

func (s *Server) dispatchTicketCall(c *call, r *trackedRun) {
	var result *booking.Result
	var err error = newRefusal(http.StatusGatewayTimeout, "deadline", "the deadline passed before the call was sent").retryAfter(time.Second)
	if s.calls.runs.markSent(r, time.Now()) {
		result, err = s.dispatch(s.calls.baseContext(), c, r)
	}
	outcome := generation.NotRun
	if result != nil {
		outcome = resultOutcome(result)
	}
	s.writeCallEvent(c, timeline.Event{Kind: "ticket_used", Decision: modeTicket, Why: string(outcome)})
	s.calls.runs.finish(r, result, err, false)
}
