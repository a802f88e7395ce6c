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
	// recordTimeout bounds how long an instance tries to write the result of a call to the service.
	recordTimeout = time.Minute
	// claimantPollPause is the pause between two queries to a claimant that cannot be reached.
	claimantPollPause = 100 * time.Millisecond
)

// runWithKey runs a call that its key allows to run once, or returns the result of the first call with that key.
func (s *Server) runWithKey(ctx context.Context, c *call, release func()) (*booking.Result, string, error) {
	claim := booking.Claim{
		Key: booking.ScopedKey(c.workspace.Name, c.entry.Name, c.key), Digest: c.digest, At: c.now.UnixMilli(),
		State: booking.Running, Claimant: s.newClaimant(newNonce()),
	}
	releasedByRun := false
	defer func() {
		if !releasedByRun {
			release()
		}
	}()
	for {
		r, isNew := s.calls.runs.findOrStart(claim, c.deadline)
		if r.Claim.Digest != c.digest {
			return nil, modeClaimed, keyReusedRefusal()
		}
		if isNew {
			releasedByRun = true
			s.calls.runInBackground(func() { defer release(); s.claimAndRun(c, r) })
		} else {
			// A repeat waits for the first call and needs no target itself.
			s.markPlaced(c.id)
		}
		outcome, err := s.awaitRun(ctx, c, r)
		mode := modeClaimed
		if !isNew || outcome.ranElsewhere {
			mode = modeFirstAnswer
		}
		// The first caller's deadline has passed, but this caller's deadline may be later.
		if err != nil && !isNew && callRefusal(err).Code == "deadline" && time.Now().Before(c.deadline) && ctx.Err() == nil {
			claim.Claimant = s.newClaimant(newNonce())
			continue
		}
		return outcome.answer, mode, err
	}
}

// awaitRun waits for the end of a run up to the call's own deadline.
func (s *Server) awaitRun(ctx context.Context, c *call, r *trackedRun) (runOutcome, error) {
	timer := time.NewTimer(time.Until(c.deadline))
	defer timer.Stop()
	select {
	case <-r.done:
	case <-timer.C:
		// The run has the same deadline and may end slightly after this timer.
		select {
		case <-r.done:
		case <-time.After(deadlineSlack):
			return runOutcome{}, unknownOutcomeRefusal("still_running", true)
		}
	case <-ctx.Done():
		return runOutcome{}, unknownOutcomeRefusal("caller_gone", true)
	}
	outcome := s.calls.runs.outcome(r)
	return outcome, outcome.err
}

// deadlineSlack is how long a caller waits beyond its deadline for a run that ends at the same time.
const deadlineSlack = 50 * time.Millisecond

// claimAndRun claims a call, sends it once and records its result.
func (s *Server) claimAndRun(c *call, r *trackedRun) {
	ctx, cancel := context.WithDeadline(s.calls.baseContext(), c.deadline)
	defer cancel()
	voidNonce := ""
	for {
		claimCtx, cancelClaim := context.WithTimeout(ctx, s.Limits.Calls.ClaimTimeout)
		v := s.submitToOwner(claimCtx, booking.Op{Kind: booking.OpClaim, Claim: r.Claim, Void: voidNonce})
		cancelClaim()
		s.writeCallEvent(c, timeline.Event{Kind: "call_claim", Decision: string(v.Verdict), Why: v.Claim.Instance})
		switch v.Verdict {
		case booking.Won:
			s.sendClaimed(ctx, c, r)
			return
		case booking.Taken:
			s.markPlaced(c.id)
			var again bool
			if voidNonce, again = s.resolveTakenClaim(ctx, c, r, v.Claim); !again {
				return
			}
		case booking.Reused:
			s.calls.runs.finish(r, nil, keyReusedRefusal(), true)
			return
		case booking.Full:
			s.calls.runs.finish(r, nil, newRefusal(http.StatusServiceUnavailable, "claims_full", "there is no space for another claim until older ones age out").retryAfter(time.Minute), false)
			return
		default:
			s.calls.runs.finish(r, nil, s.claimsUnavailableRefusal(c), false)
			// The write may still take effect, so the claim is released.
			s.recordInBackground(booking.Op{Kind: booking.OpRelease, Claim: r.Claim})
			return
		}
	}
}

// sendClaimed sends a call whose claim is confirmed.
func (s *Server) sendClaimed(ctx context.Context, c *call, r *trackedRun) {
	var result *booking.Result
	var err error = newRefusal(http.StatusGatewayTimeout, "deadline", "the deadline passed before the call was sent").retryAfter(time.Second)
	if s.calls.runs.markSent(r, time.Now()) {
		result, err = s.dispatch(ctx, c, r)
	}
	if s.calls.baseContext().Err() != nil {
		// The instance was stopped during the call, so it records nothing.
		return
	}
	o := booking.Op{Kind: booking.OpRelease, Claim: r.Claim}
	if result != nil {
		o.Kind = booking.OpFinish
		o.Claim.Result = result.LimitSize(booking.MaxStoredResponseBytes)
	} else {
		s.writeCallEvent(c, timeline.Event{Kind: "call_released", Decision: "release", Why: callRefusal(err).Code})
	}
	s.calls.runs.finish(r, result, err, false)
	s.recordInBackground(o)
}

// recordInBackground writes the outcome of a claim without blocking its caller.
func (s *Server) recordInBackground(o booking.Op) {
	s.calls.trackRecord(&o, func() {
		ctx, cancel := context.WithTimeout(s.calls.baseContext(), recordTimeout)
		defer cancel()
		if v := s.writeRecord(ctx, o); v.Verdict != booking.Won && v.Verdict != booking.Void {
			s.Metrics.GetOrCreateCounter("bambooferry_claim_records_lost_total").Inc()
		}
	})
}

// writeRecord sends the operation to the shard's owner for a short time, then writes it on this instance.
func (s *Server) writeRecord(ctx context.Context, o booking.Op) booking.Settled {
	ownerCtx, cancel := context.WithTimeout(ctx, 2*maxPeerWait)
	defer cancel()
	if v := s.submitToOwner(ownerCtx, o); v.Verdict != booking.Unwritten {
		return v
	}
	return s.shardWriterFor(booking.ShardOf(o.Claim.Key, s.Limits.Calls.Shards)).submit(ctx, o)
}

// resolveTakenClaim finds the outcome of a claim that another run holds.
//
// It ends the run with that outcome, or returns the claim's nonce if its claimant stated that it will never send the call.
func (s *Server) resolveTakenClaim(ctx context.Context, c *call, r *trackedRun, other booking.Claim) (voidNonce string, again bool) {
	finish := func(result *booking.Result, err error) (string, bool) {
		s.calls.runs.finish(r, result, err, true)
		return "", false
	}
	if other.State == booking.Released {
		return "", true
	}
	if other.State == booking.Done && !other.Result.Omitted {
		return finish(other.Result, nil)
	}
	giveUpAt := time.Now().Add(s.Limits.Calls.UnreachableWait)
	for ctx.Err() == nil {
		state, ok := s.queryClaimant(ctx, other.Claimant)
		switch {
		case ok && state.State == callDone:
			return finish(state.Result, nil)
		case ok && state.State == callAbandoned:
			return other.Nonce, true
		case ok && state.State == callRunning:
			continue
		case other.State == booking.Done:
			return finish(other.Result, nil)
		}
		// The result may have been written since the claim was read.
		if now, found := s.readClaim(ctx, other.Key); found && now.State != booking.Running {
			return s.resolveTakenClaim(ctx, c, r, now)
		}
		code := "claimant_unreachable"
		if ok {
			code = "claimant_gone"
		}
		if ok || time.Now().After(giveUpAt) {
			s.writeCallEvent(c, timeline.Event{Kind: "call_unknown", Decision: "give_up", Why: code, Target: other.Instance})
			return finish(nil, unknownOutcomeRefusal(code, !ok))
		}
		_ = sleep(ctx, claimantPollPause)
	}
	s.writeCallEvent(c, timeline.Event{Kind: "call_unknown", Decision: "give_up", Why: "still_running", Target: other.Instance})
	return finish(nil, unknownOutcomeRefusal("still_running", true))
}

// queryClaimant asks a claimant for the state of its claim; ok is false when the claimant cannot be reached.
func (s *Server) queryClaimant(ctx context.Context, c booking.Claimant) (state CallState, ok bool) {
	deadline, _ := ctx.Deadline()
	wait := min(time.Until(deadline), maxPeerWait)
	if c.Instance == s.ID {
		waitCtx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		return s.waitOwnCall(waitCtx, c), true
	}
	m, known := s.lookupMember(c.Instance)
	if !known {
		return state, false
	}
	if m.Incarnation > c.Incarnation {
		return CallState{State: callForgotten}, true
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), wait+peerCallSlack)
	defer cancel()
	in := CallQuestion{Claimant: c, WaitMillis: wait.Milliseconds()}
	var out CallState
	if s.Peers.Call(ctx, m.Address, callsServiceName+".Wait", &in, &out) != nil {
		// A late reply may still be written to out.
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

func keyReusedRefusal() *Refusal {
	return newRefusal(http.StatusUnprocessableEntity, "key_reused", IdempotencyKeyHeader+" was used for a call with other content")
}

func newNonce() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
