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
func (c *ClaimedCall) TrySend(now time.Time) bool {
	if c.Phase != Claiming {
		return false
	}
	if !now.Before(c.Deadline) {
		c.Phase = Abandoned
		return false
	}
	c.Phase = Sending
	return true
}

// Abandon gives up the call permanently if it was not sent, and reports whether it is abandoned.
func (c *ClaimedCall) Abandon() bool {
	if c.Phase == Claiming {
		c.Phase = Abandoned
	}
	return c.Phase == Abandoned
}

// AbortSend abandons a call after TrySend if no byte of it was sent, or if the target did not run
// it.
func (c *ClaimedCall) AbortSend() {
	if c.Phase == Sending {
		c.Phase = Abandoned
	}
}

// Finish stores the result of a call that was sent.
func (c *ClaimedCall) Finish(result *Result) {
	if c.Phase == Sending {
		c.Phase, c.Result = Finished, result
	}
}
