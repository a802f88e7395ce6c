package booking

import "time"

// Phase tells how far one call is at the instance that wants to send it.
type Phase int

// The phases of a run; Abandoned and Finished are final.
const (
	Claiming Phase = iota
	Sending
	Finished
	Abandoned
)

// ClaimedCall is one call at its claimant, from the claim to the result; its owner guards it by a lock.
type ClaimedCall struct {
	Claim    Claim
	Deadline time.Time
	Phase    Phase
	Result   *Result
}

// TrySend asks for leave to send the call, which is given once and never after the deadline.
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

// Abandon gives the call up for good if it was not sent, and reports whether it is given up.
func (r *ClaimedCall) Abandon() bool {
	if r.Phase == Claiming {
		r.Phase = Abandoned
	}
	return r.Phase == Abandoned
}

// AbortSend gives up a call that had leave to be sent but of which no byte left, or which the target did not run.
func (r *ClaimedCall) AbortSend() {
	if r.Phase == Sending {
		r.Phase = Abandoned
	}
}

// Finish keeps the result of a call that was sent.
func (r *ClaimedCall) Finish(result *Result) {
	if r.Phase == Sending {
		r.Phase, r.Result = Finished, result
	}
}
