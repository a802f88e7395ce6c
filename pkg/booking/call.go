package booking

import "time"

// Phase is the progress of one call at the instance that sends it.
type Phase int

// The phases of a claimed call; Abandoned and Finished are final.
const (
	Claiming Phase = iota
	Sending
	Finished
	Abandoned
)

// ClaimedCall is one call at its claimant, from the claim to the result; its owner guards it by a
// lock.
type ClaimedCall struct {
	Claim    Claim
	Deadline time.Time
	Phase    Phase
	Result   *Result
}

// TrySend marks the call as being sent and reports whether it may be sent; this succeeds at most
// once and never after the deadline.
func (r *ClaimedCall) TrySend(now time.Time) bool {
	if r.Phase != Claiming {
		return false
	}
	if !now.Before(r.Deadline) {
		r.Phase = Abandoned
		return false
	}
	r.Phase = Sending
	return true
}

// Abandon gives up the call permanently if it was not sent, and reports whether it is abandoned.
func (r *ClaimedCall) Abandon() bool {
	if r.Phase == Claiming {
		r.Phase = Abandoned
	}
	return r.Phase == Abandoned
}

// AbortSend abandons a call after TrySend if no byte of it was sent, or if the target did not run
// it.
func (r *ClaimedCall) AbortSend() {
	if r.Phase == Sending {
		r.Phase = Abandoned
	}
}

// Finish stores the result of a call that was sent.
func (r *ClaimedCall) Finish(result *Result) {
	if r.Phase == Sending {
		r.Phase, r.Result = Finished, result
	}
}
