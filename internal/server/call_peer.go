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
	callsServiceName = "Calls"
	// maxPeerWait bounds how long a peer's RPC is held; a peer that times out closes the link for all calls.
	maxPeerWait = time.Second
	// peerCallSlack is how much longer than the requested wait an RPC to a peer may take.
	peerCallSlack = 500 * time.Millisecond
)

// CallPeer is the RPC service through which instances coordinate calls to services.
type CallPeer struct{ server *Server }

// CallWrite asks the writer of a shard to carry out an operation.
type CallWrite struct {
	Op         booking.Op `json:"op"`
	WaitMillis int64      `json:"wait_ms"`
}

// Write adds an operation to the shard's next group write and returns its result.
func (p *CallPeer) Write(in *CallWrite, out *booking.Settled) error {
	if !in.Op.Valid() {
		return &booking.InvalidMessageError{Message: "operation"}
	}
	ctx, cancel := p.waitContext(in.WaitMillis)
	defer cancel()
	shard := booking.ShardOf(in.Op.Claim.Key, p.server.Limits.Calls.Shards)
	*out = p.server.shardWriterFor(shard).submit(ctx, in.Op)
	return nil
}

func (p *CallPeer) waitContext(millis int64) (context.Context, context.CancelFunc) {
	return context.WithTimeout(p.server.calls.baseContext(), min(time.Duration(millis)*time.Millisecond, maxPeerWait))
}

// CallQuestion asks a claimant for the state of its claim.
type CallQuestion struct {
	booking.Claimant
	WaitMillis int64 `json:"wait_ms"`
}

// CallState is the state of a claim as its claimant reports it.
type CallState struct {
	// State is running, done, abandoned or forgotten.
	State  string          `json:"state"`
	Result *booking.Result `json:"result,omitempty"`
}

// Check returns an error if the reply is not valid.
func (c *CallState) Check() error {
	switch {
	case c.State == callDone && c.Result != nil && c.Result.Valid():
	case (c.State == callRunning || c.State == callAbandoned || c.State == callForgotten) && c.Result == nil:
	default:
		return &booking.InvalidMessageError{Message: "state of a call"}
	}
	return nil
}

// The values of CallState.State.
const (
	callRunning   = "running"
	callDone      = "done"
	callAbandoned = "abandoned"
	callForgotten = "forgotten"
)

// Wait waits until a call that this instance claimed has ended, or the requested time has passed.
func (p *CallPeer) Wait(in *CallQuestion, out *CallState) error {
	ctx, cancel := p.waitContext(in.WaitMillis)
	defer cancel()
	*out = p.server.waitOwnCall(ctx, in.Claimant)
	return nil
}

// waitOwnCall waits for a call that this instance claimed, until ctx ends.
func (s *Server) waitOwnCall(ctx context.Context, c booking.Claimant) CallState {
	if c.Incarnation != s.Incarnation {
		return CallState{State: callForgotten}
	}
	r := s.calls.runs.lookup(c.Nonce)
	if r == nil {
		return CallState{State: callForgotten}
	}
	select {
	case <-r.done:
	case <-ctx.Done():
		return CallState{State: callRunning}
	}
	outcome := s.calls.runs.outcome(r)
	if outcome.abandoned {
		return CallState{State: callAbandoned}
	}
	return CallState{State: callDone, Result: outcome.answer}
}

// CallForward is a call with a ticket that is forwarded to the instance that issued the ticket.
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

// Check returns an error if the call cannot be run; a path without a slash would change the target's address.
func (c *CallForward) Check() error {
	if c.Path != "" && c.Path[0] != '/' || len(c.Digest) > maxDigestBytes || c.DeadlineMillis < 0 ||
		c.DeadlineMillis > maxForwardDeadline.Milliseconds() || len(c.Ticket) > booking.MaxTicketBytes {
		return &booking.InvalidMessageError{Message: "forwarded call"}
	}
	return nil
}

const (
	maxDigestBytes = 64
	// maxForwardDeadline bounds the deadline of a forwarded call.
	maxForwardDeadline = 24 * time.Hour
)

// CallOutcome is the outcome of a forwarded call: a result, a refusal, or that it is still running.
type CallOutcome struct {
	Running bool
	Result  *booking.Result
	Refusal *Refusal
	Status  int
}

// Run runs a call with a ticket of this instance and waits for its end for a limited time. Repeating
// the RPC with the same ticket waits for the same run.
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
	ctx, cancel := p.waitContext(in.DeadlineMillis)
	defer cancel()
	var result *booking.Result
	var err error
	if e != nil && c.workspace != nil && int64(len(in.Body)) <= e.Limits.BodyBytes {
		result, err = s.runOwnTicket(ctx, c)
	} else {
		result, err = s.awaitStartedTicketRun(ctx, now, in)
	}
	switch {
	case errors.Is(err, errStillRunning):
		out.Running = true
	case err != nil:
		out.setRefusal(callRefusal(err))
	default:
		out.Result = result
	}
	return nil
}

// Check returns an error unless the reply holds exactly one of a result, a refusal and the running state.
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

func (o *CallOutcome) setRefusal(r *Refusal) {
	o.Refusal, o.Status = r, r.Status
}

// refusal returns the refusal with its status, which is transferred separately.
func (o *CallOutcome) refusal() *Refusal {
	r := *o.Refusal
	r.Status = o.Status
	if r.Outcome == "" {
		r.Outcome = generation.Unknown
	}
	return &r
}

// Crashed handles the report of a crash that another instance detected.
func (p *CallPeer) Crashed(in *booking.Crash, _ *struct{}) error {
	if !in.Valid() {
		return &booking.InvalidMessageError{Message: "report of a crash"}
	}
	p.server.recordCrash(*in)
	return nil
}
