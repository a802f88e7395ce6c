package server

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"time"

	"bambooferry.example/bambooferry/internal/platform"
	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// recordWait bounds how long the result of a call is offered to the service.
	recordWait = time.Minute
	// askPause spaces the questions to a claimant that cannot be reached.
	askPause = 100 * time.Millisecond
)

// claimed runs a call that its key allows to run once, or returns what the first one brought.
func (s *Server) claimed(ctx context.Context, c *call, leave func()) (*booking.Result, string, error) {
	claim := booking.Claim{
		Key: booking.ScopedKey(c.workspace.Name, c.entry.Name, c.key), Digest: c.digest, At: c.now.UnixMilli(),
		State: booking.Running, Claimant: s.claimant(newNonce()),
	}
	left := false
	defer func() {
		if !left {
			leave()
		}
	}()
	for {
		r, begun := s.calls.runs.enter(claim, c.deadline)
		if r.Claim.Digest != c.digest {
			return nil, modeClaimed, keyReused()
		}
		if begun {
			left = true
			s.calls.spawn(func() { defer leave(); s.runClaimed(c, r) })
		} else {
			// A repeat waits for the first call and needs no target of its own.
			s.markPlaced(c.id)
		}
		end, err := s.await(ctx, c, r)
		treated := modeClaimed
		if !begun || end.elsewhere {
			treated = modeFirstAnswer
		}
		// The first caller's deadline says nothing about this one's.
		if err != nil && !begun && asRefusal(err).Code == "deadline" && time.Now().Before(c.deadline) && ctx.Err() == nil {
			claim.Claimant = s.claimant(newNonce())
			continue
		}
		return end.answer, treated, err
	}
}

// await waits for the end of a run up to the call's own deadline.
func (s *Server) await(ctx context.Context, c *call, r *heldRun) (runEnd, error) {
	timer := time.NewTimer(time.Until(c.deadline))
	defer timer.Stop()
	select {
	case <-r.done:
	case <-timer.C:
		// The run itself ends at its deadline, a moment after this one.
		select {
		case <-r.done:
		case <-time.After(deadlineSlack):
			return runEnd{}, unknownOutcome("still_running", true)
		}
	case <-ctx.Done():
		return runEnd{}, unknownOutcome("caller_gone", true)
	}
	end := s.calls.runs.outcome(r)
	return end, end.err
}

const deadlineSlack = 50 * time.Millisecond

// runClaimed claims a call, sends it once and records its result.
func (s *Server) runClaimed(c *call, r *heldRun) {
	ctx, cancel := context.WithDeadline(s.calls.base(), c.deadline)
	defer cancel()
	void := ""
	for {
		wait, stop := context.WithTimeout(ctx, s.Limits.Calls.ClaimTimeout)
		v := s.shardOp(wait, booking.Op{Kind: booking.OpClaim, Claim: r.Claim, Void: void})
		stop()
		s.noteCall(c, timeline.Event{Kind: "call_claim", Decision: string(v.Verdict), Why: v.Claim.Instance})
		switch v.Verdict {
		case booking.Won:
			s.runWon(ctx, c, r)
			return
		case booking.Taken:
			s.markPlaced(c.id)
			var again bool
			if void, again = s.followClaim(ctx, c, r, v.Claim); !again {
				return
			}
		case booking.Reused:
			s.calls.runs.end(r, nil, keyReused(), true)
			return
		case booking.Full:
			s.calls.runs.end(r, nil, refuse(http.StatusServiceUnavailable, "claims_full", "there is no space for another claim until older ones age out").after(time.Minute), false)
			return
		default:
			s.calls.runs.end(r, nil, s.claimsUnavailable(c), false)
			// The write may still take effect.
			s.record(booking.Op{Kind: booking.OpRelease, Claim: r.Claim})
			return
		}
	}
}

// runWon sends a call whose claim is confirmed.
func (s *Server) runWon(ctx context.Context, c *call, r *heldRun) {
	var result *booking.Result
	var err error = refuse(http.StatusGatewayTimeout, "deadline", "the deadline passed before the call was sent").after(time.Second)
	if s.calls.runs.send(r, time.Now()) {
		result, err = s.dispatch(ctx, c, r)
	}
	if s.calls.base().Err() != nil {
		// The instance was ended in the middle of the call, and states nothing more.
		return
	}
	o := booking.Op{Kind: booking.OpRelease, Claim: r.Claim}
	if result != nil {
		o.Kind = booking.OpFinish
		o.Claim.Result = result.LimitSize(booking.MaxStoredResponseBytes)
	} else {
		s.noteCall(c, timeline.Event{Kind: "call_released", Decision: "release", Why: asRefusal(err).Code})
	}
	s.calls.runs.end(r, result, err, false)
	s.record(o)
}

// record writes what became of a claim; its caller does not wait for it.
func (s *Server) record(o booking.Op) {
	s.calls.keep(&o, func() {
		ctx, cancel := context.WithTimeout(s.calls.base(), recordWait)
		defer cancel()
		if v := s.recordOp(ctx, o); v.Verdict != booking.Won && v.Verdict != booking.Void {
			s.Metrics.GetOrCreateCounter("bambooferry_claim_records_lost_total").Inc()
		}
	})
}

// recordOp offers the operation to the shard's writer for a moment, then writes it here.
func (s *Server) recordOp(ctx context.Context, o booking.Op) booking.Settled {
	short, cancel := context.WithTimeout(ctx, 2*maxPeerWait)
	defer cancel()
	if v := s.shardOp(short, o); v.Verdict != booking.Unwritten {
		return v
	}
	return s.shardWriter(booking.ShardOf(o.Claim.Key, s.Limits.Calls.Shards)).do(ctx, o)
}

// followClaim finds what became of a claim that another run has.
//
// It ends the run with that, or returns the claim's nonce if its claimant stated that it will never send.
func (s *Server) followClaim(ctx context.Context, c *call, r *heldRun, other booking.Claim) (void string, again bool) {
	end := func(result *booking.Result, err error) (string, bool) {
		s.calls.runs.end(r, result, err, true)
		return "", false
	}
	if other.State == booking.Released {
		return "", true
	}
	if other.State == booking.Done && !other.Result.Omitted {
		return end(other.Result, nil)
	}
	gone := time.Now().Add(s.Limits.Calls.UnreachableWait)
	for ctx.Err() == nil {
		state, ok := s.askClaimant(ctx, other.Claimant)
		switch {
		case ok && state.State == callDone:
			return end(state.Result, nil)
		case ok && state.State == callAbandoned:
			return other.Nonce, true
		case ok && state.State == callRunning:
			continue
		case other.State == booking.Done:
			return end(other.Result, nil)
		}
		// The result may have been recorded since the claim was read.
		if now, found := s.readClaim(ctx, other.Key); found && now.State != booking.Running {
			return s.followClaim(ctx, c, r, now)
		}
		code := "claimant_unreachable"
		if ok {
			code = "claimant_gone"
		}
		if ok || time.Now().After(gone) {
			s.noteCall(c, timeline.Event{Kind: "call_unknown", Decision: "give_up", Why: code, Target: other.Instance})
			return end(nil, unknownOutcome(code, !ok))
		}
		_ = sleep(ctx, askPause)
	}
	s.noteCall(c, timeline.Event{Kind: "call_unknown", Decision: "give_up", Why: "still_running", Target: other.Instance})
	return end(nil, unknownOutcome("still_running", true))
}

// askClaimant asks what became of a claim; ok is false when the claimant cannot be reached.
func (s *Server) askClaimant(ctx context.Context, c booking.Claimant) (state CallState, ok bool) {
	deadline, _ := ctx.Deadline()
	wait := min(time.Until(deadline), maxPeerWait)
	if c.Instance == s.ID {
		short, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		return s.ownCall(short, c), true
	}
	m, known := s.member(c.Instance)
	if !known {
		return state, false
	}
	if m.Incarnation > c.Incarnation {
		return CallState{State: callForgotten}, true
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), wait+peerSlack)
	defer cancel()
	in := CallQuestion{Claimant: c, WaitMillis: wait.Milliseconds()}
	var out CallState
	if s.Peers.Call(ctx, m.Address, callsService+".Wait", &in, &out) != nil {
		// A late answer may still be written to out.
		return CallState{}, false
	}
	return out, true
}

// readClaim reads a claim from the service.
func (s *Server) readClaim(ctx context.Context, key string) (booking.Claim, bool) {
	v, err := s.Store.Get(ctx, shardKey(booking.ShardOf(key, s.Limits.Calls.Shards)))
	if err != nil {
		return booking.Claim{}, false
	}
	return findClaim(v, key)
}

func findClaim(v platform.Value, key string) (booking.Claim, bool) {
	shard, err := booking.DecodeShard(v.Data)
	if err != nil {
		return booking.Claim{}, false
	}
	return shard.Find(key)
}

func keyReused() *Refusal {
	return refuse(http.StatusUnprocessableEntity, "key_reused", IdempotencyKeyHeader+" was used for a call with other content")
}

func newNonce() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
