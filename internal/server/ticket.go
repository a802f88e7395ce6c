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

var errStillRunning = errors.New("the call still runs")

func (s *Server) tickets() booking.TicketSigner { return booking.TicketSigner{Keys: s.Signer.Keys} }

// claimsUnavailable refuses a call whose claim could not be written and offers a ticket for it.
func (s *Server) claimsUnavailable(c *call) *Refusal {
	f := refuse(http.StatusServiceUnavailable, "claims_unavailable",
		"claims cannot be written; wait, or send the call with the ticket as "+IdempotencyKeyHeader+" if every earlier attempt was answered with not_run").after(time.Second)
	f.Ticket = s.newTicket(c)
	return f
}

func (s *Server) newTicket(c *call) string {
	s.calls.given.Store(true)
	return s.tickets().Sign(&booking.Ticket{
		Claimant: s.claimant(newNonce()), Workspace: c.workspace.Name, Entry: c.entry.Name, Expires: time.Now().Add(s.Limits.Calls.TicketTTL),
	})
}

const ticketHolderLeft = "ticket_holder_left"

// holderLeft refuses a ticket that its instance did not use before it left, and never will.
func holderLeft() *Refusal {
	return refuse(http.StatusServiceUnavailable, ticketHolderLeft,
		"the instance that gave the ticket has left without running the call; send it with the new ticket as "+IdempotencyKeyHeader).after(time.Second)
}

// ticketed runs a call with a ticket at the instance that gave it.
func (s *Server) ticketed(ctx context.Context, c *call) (*booking.Result, error) {
	k, err := s.tickets().Verify(c.now, c.key, c.workspace.Name, c.entry.Name)
	// An expired ticket is judged by the instance that gave it, on its own clock.
	if err != nil && k == nil {
		return nil, refuse(http.StatusBadRequest, err.Error(), "the ticket was not given by this deployment for this workspace and entry")
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	if k.Instance == s.ID && k.Incarnation == s.Incarnation {
		result, err := s.runTicket(ctx, c)
		if errors.Is(err, errStillRunning) {
			err = unknownOutcome("still_running", true)
		}
		return result, err
	}
	// The other instance places the call.
	s.markPlaced(c.id)
	return s.forward(ctx, c, k)
}

// forward hands a call to the instance that gave its ticket, and asks again while it runs.
func (s *Server) forward(ctx context.Context, c *call, k *booking.Ticket) (*booking.Result, error) {
	if result, ok, err := s.calls.left.answer(k, c.digest); ok {
		return result, s.withTicket(c, err)
	}
	m, known := s.member(k.Instance)
	if !known || m.Incarnation > k.Incarnation || k.Instance == s.ID {
		s.noteCall(c, timeline.Event{Kind: "call_unknown", Decision: "give_up", Why: "ticket_holder_gone", Target: k.Instance})
		return nil, unknownOutcome("ticket_holder_gone", false)
	}
	in := CallForward{
		ID: c.id, Workspace: c.workspace.Name, Entry: c.entry.Name, Ticket: c.key, Method: c.method, Path: c.path,
		Query: c.query, Header: c.header, Body: c.body, Digest: c.digest,
	}
	for ctx.Err() == nil {
		in.DeadlineMillis = max(time.Until(c.deadline).Milliseconds(), 1)
		out := CallOutcome{}
		peer, cancel := context.WithTimeout(context.WithoutCancel(ctx), min(time.Until(c.deadline), maxPeerWait)+peerSlack)
		err := s.Peers.Call(peer, m.Address, callsService+".Run", &in, &out)
		cancel()
		switch {
		case err != nil:
			// The instance may have ended just after it stated what became of the call.
			if result, ok, err := s.calls.left.answer(k, c.digest); ok {
				return result, s.withTicket(c, err)
			}
			s.noteCall(c, timeline.Event{Kind: "call_unknown", Decision: "give_up", Why: "ticket_holder_unreachable", Target: k.Instance})
			return nil, unknownOutcome("ticket_holder_unreachable", true)
		case out.Refusal != nil:
			return nil, s.withTicket(c, out.refusal())
		case out.Result != nil:
			return out.Result, nil
		}
	}
	return nil, unknownOutcome("still_running", true)
}

// withTicket adds a ticket of this instance to the refusal of one whose instance has left.
func (s *Server) withTicket(c *call, err error) error {
	var f *Refusal
	if errors.As(err, &f) && f.Code == ticketHolderLeft {
		f.Ticket = s.newTicket(c)
	}
	return err
}

// runTicket runs a call with a ticket of this instance from memory, once, and waits for it until ctx ends.
func (s *Server) runTicket(ctx context.Context, c *call) (*booking.Result, error) {
	now := time.Now()
	k, err := s.tickets().Verify(now, c.key, c.workspace.Name, c.entry.Name)
	var wrong *booking.TicketError
	switch {
	case errors.As(err, &wrong) && wrong.Code == "ticket_expired":
		return nil, unknownOutcome(wrong.Code, false)
	case err != nil:
		return nil, refuse(http.StatusBadRequest, err.Error(), "the ticket was not given for this call")
	case k.Instance != s.ID || k.Incarnation != s.Incarnation:
		return nil, unknownOutcome("ticket_holder_gone", false)
	}
	claim := booking.Claim{
		Key: "ticket/" + k.Nonce, Digest: c.digest, At: now.UnixMilli(), State: booking.Running, Claimant: k.Claimant,
	}
	r, begun, ok := s.calls.runs.enterTicket(claim, c.deadline, now, k.Expires)
	if !ok && s.calls.runs.ticketsClosed() {
		return nil, holderLeft()
	}
	if !ok {
		return nil, refuse(http.StatusServiceUnavailable, "tickets_full", "the instance remembers no more tickets").after(time.Second)
	}
	if r.Claim.Digest != c.digest {
		return nil, keyReused()
	}
	if begun {
		s.calls.spawn(func() { s.runTicketed(c, r) })
	}
	select {
	case <-r.done:
		end := s.calls.runs.outcome(r)
		return end.answer, end.err
	case <-ctx.Done():
		return nil, errStillRunning
	}
}

func (s *Server) runTicketed(c *call, r *heldRun) {
	var result *booking.Result
	var err error = refuse(http.StatusGatewayTimeout, "deadline", "the deadline passed before the call was sent").after(time.Second)
	if s.calls.runs.send(r, time.Now()) {
		result, err = s.dispatch(s.calls.base(), c, r)
	}
	outcome := generation.NotRun
	if result != nil {
		outcome = outcomeOf(result)
	}
	s.noteCall(c, timeline.Event{Kind: "ticket_used", Decision: modeTicket, Why: string(outcome)})
	s.calls.runs.end(r, result, err, false)
}
