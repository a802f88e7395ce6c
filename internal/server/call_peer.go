package server

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/generation"
)

const (
	callsService = "Calls"
	// maxPeerWait bounds how long a peer's call is held; a peer that gives up ends the link for all.
	maxPeerWait = time.Second
	// peerSlack is the time that a peer's answer may take beyond what it was told to wait.
	peerSlack = 500 * time.Millisecond
)

// CallPeer serves the calls of other instances about calls to services.
type CallPeer struct{ server *Server }

// CallWrite asks the writer of a shard for an operation.
type CallWrite struct {
	Op         booking.Op `json:"op"`
	WaitMillis int64      `json:"wait_ms"`
}

// Write has an operation written with the next group.
func (p *CallPeer) Write(in *CallWrite, out *booking.Settled) error {
	if !in.Op.Valid() {
		return &booking.InvalidMessageError{Message: "operation"}
	}
	ctx, cancel := p.wait(in.WaitMillis)
	defer cancel()
	shard := booking.ShardOf(in.Op.Claim.Key, p.server.Limits.Calls.Shards)
	*out = p.server.shardWriter(shard).do(ctx, in.Op)
	return nil
}

func (p *CallPeer) wait(millis int64) (context.Context, context.CancelFunc) {
	return context.WithTimeout(p.server.calls.base(), min(time.Duration(millis)*time.Millisecond, maxPeerWait))
}

// CallQuestion asks a claimant what became of its claim.
type CallQuestion struct {
	booking.Claimant
	WaitMillis int64 `json:"wait_ms"`
}

// CallState is what a claimant knows of a claim.
type CallState struct {
	// State is running, done, abandoned or forgotten.
	State  string          `json:"state"`
	Result *booking.Result `json:"result,omitempty"`
}

// Check reports whether the answer can be used.
func (c *CallState) Check() error {
	switch {
	case c.State == callDone && c.Result != nil && c.Result.Valid():
	case (c.State == callRunning || c.State == callAbandoned || c.State == callForgotten) && c.Result == nil:
	default:
		return &booking.InvalidMessageError{Message: "state of a call"}
	}
	return nil
}

// The states that a claimant answers with.
const (
	callRunning   = "running"
	callDone      = "done"
	callAbandoned = "abandoned"
	callForgotten = "forgotten"
)

// Wait waits for the end of a call that this instance claimed.
func (p *CallPeer) Wait(in *CallQuestion, out *CallState) error {
	ctx, cancel := p.wait(in.WaitMillis)
	defer cancel()
	*out = p.server.ownCall(ctx, in.Claimant)
	return nil
}

// ownCall waits for a call that this instance claimed, until ctx ends.
func (s *Server) ownCall(ctx context.Context, c booking.Claimant) CallState {
	if c.Incarnation != s.Incarnation {
		return CallState{State: callForgotten}
	}
	r := s.calls.runs.find(c.Nonce)
	if r == nil {
		return CallState{State: callForgotten}
	}
	select {
	case <-r.done:
	case <-ctx.Done():
		return CallState{State: callRunning}
	}
	end := s.calls.runs.outcome(r)
	if end.abandoned {
		return CallState{State: callAbandoned}
	}
	return CallState{State: callDone, Result: end.answer}
}

// CallForward is a call with a ticket, on its way to the instance that gave the ticket.
type CallForward struct {
	ID             string           `json:"id"`
	Workspace      string           `json:"workspace"`
	Entry          string           `json:"entry"`
	Ticket         string           `json:"ticket"`
	Method         string           `json:"method"`
	Path           string           `json:"path"`
	Query          string           `json:"query"`
	Header         []booking.Header `json:"header"`
	Body           []byte           `json:"body"`
	Digest         string           `json:"digest"`
	DeadlineMillis int64            `json:"deadline_ms"`
}

// Check reports whether the call can be run; a path without a slash would change the target's address.
func (c *CallForward) Check() error {
	if c.Path != "" && c.Path[0] != '/' || len(c.Digest) > maxDigest || c.DeadlineMillis < 0 ||
		c.DeadlineMillis > maxForward.Milliseconds() || len(c.Ticket) > booking.MaxTicketBytes {
		return &booking.InvalidMessageError{Message: "forwarded call"}
	}
	return nil
}

const (
	maxDigest = 64
	// maxForward bounds the deadline of a forwarded call.
	maxForward = 24 * time.Hour
)

// CallOutcome is what a forwarded call came to: a result, a refusal, or that it still runs.
type CallOutcome struct {
	Running bool
	Result  *booking.Result
	Refusal *Refusal
	Status  int
}

// Run runs a call with a ticket of this instance and waits a while for its end; it may be asked again.
func (p *CallPeer) Run(in *CallForward, out *CallOutcome) error {
	s := p.server
	d, ok := Catalogue.Get(s.Board)
	if !ok {
		return errors.New("no catalogue")
	}
	e, now := d.Entry(in.Entry), time.Now()
	c := &call{
		id: in.ID, now: now, entry: e, revision: d.Revision, deadline: now.Add(time.Duration(in.DeadlineMillis) * time.Millisecond),
		method: in.Method, path: in.Path, query: in.Query, header: in.Header, body: in.Body, digest: in.Digest, key: in.Ticket,
	}
	for i := range d.Workspaces {
		if d.Workspaces[i].Name == in.Workspace {
			c.workspace = &d.Workspaces[i]
		}
	}
	if e == nil || c.workspace == nil || int64(len(in.Body)) > e.Limits.BodyBytes {
		out.refuse(refuse(http.StatusServiceUnavailable, "catalogue_differs", "the instance that gave the ticket has another catalogue").after(time.Second))
		return nil
	}
	ctx, cancel := p.wait(in.DeadlineMillis)
	defer cancel()
	result, err := s.runTicket(ctx, c)
	switch {
	case errors.Is(err, errStillRunning):
		out.Running = true
	case err != nil:
		out.refuse(asRefusal(err))
	default:
		out.Result = result
	}
	return nil
}

// Check reports whether the answer can be used; it is one of a result, a refusal or that the call runs.
func (o *CallOutcome) Check() error {
	switch {
	case o.Running && o.Result == nil && o.Refusal == nil:
	case !o.Running && o.Result != nil && o.Refusal == nil && o.Result.Valid():
	case !o.Running && o.Result == nil && o.Refusal != nil && o.Status >= http.StatusBadRequest && o.Status <= 599:
	default:
		return &booking.InvalidMessageError{Message: "outcome of a call"}
	}
	return nil
}

func (o *CallOutcome) refuse(r *Refusal) {
	o.Refusal, o.Status = r, r.Status
}

// refusal returns the refusal with the status that its JSON form leaves out.
func (o *CallOutcome) refusal() *Refusal {
	r := *o.Refusal
	r.Status = o.Status
	if r.Outcome == "" {
		r.Outcome = generation.Unknown
	}
	return &r
}

// Crashed takes in the report of a crash that another instance saw.
func (p *CallPeer) Crashed(in *booking.Crash, _ *struct{}) error {
	if !in.Valid() {
		return &booking.InvalidMessageError{Message: "report of a crash"}
	}
	p.server.suspect(*in)
	return nil
}
