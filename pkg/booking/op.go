package booking

// OpKind is the kind of an operation on a shard.
type OpKind string

// The kinds of operations.
const (
	// OpClaim requests the right to send a call.
	OpClaim OpKind = "claim"
	// OpFinish records a call's result.
	OpFinish OpKind = "finish"
	// OpRelease releases a claim whose call was not sent and never will be.
	OpRelease OpKind = "release"
)

// Op is one operation on a shard; it is idempotent.
type Op struct {
	Kind  OpKind `json:"kind"`
	Claim Claim  `json:"claim"`
	// Void is the nonce of an earlier claim that the operation may replace, because its claimant
	// stated that it will never send the call.
	Void string `json:"void,omitempty"`
}

// Valid reports whether an operation received from another instance can be applied.
func (o *Op) Valid() bool {
	c := o.Claim
	switch o.Kind {
	case OpClaim:
		c.State, c.Result = Running, nil
	case OpFinish:
		c.State = Done
		if c.Result != nil && !c.Result.Valid() {
			return false
		}
	case OpRelease:
		c.State, c.Result = Released, nil
	default:
		return false
	}
	return c.valid() && (o.Void == "" || isHash(o.Void))
}

// Verdict is the result of an operation.
type Verdict string

// The verdicts of operations.
const (
	// Won means that the claim is in the shard, or that any other operation was applied.
	Won Verdict = "won"
	// Taken means that the key already has another claim.
	Taken Verdict = "taken"
	// Reused means that the key already has a claim for a call with other content.
	Reused Verdict = "reused"
	// Full means that the shard has no space for the claim.
	Full Verdict = "full"
	// Void means that the claim of a result or release no longer exists.
	Void Verdict = "void"
	// Unwritten means that the service did not confirm the write in time.
	Unwritten Verdict = "unwritten"
)

// Settled is the verdict on an operation, with the claim that is now in the shard.
type Settled struct {
	Verdict Verdict `json:"verdict"`
	Claim   Claim   `json:"claim"`
}

// InvalidMessageError reports that a message from another instance cannot be used.
type InvalidMessageError struct{ Message string }

func (e *InvalidMessageError) Error() string { return "invalid " + e.Message }

// Check returns an error if a reply from another instance cannot be used.
func (s *Settled) Check() error {
	hasClaim, ok := map[Verdict]bool{Won: true, Taken: true, Reused: true, Full: false, Void: false, Unwritten: false}[s.Verdict]
	if !ok || s.Claim.Key != "" && !s.Claim.valid() || hasClaim && s.Claim.Key == "" {
		return &InvalidMessageError{"answer about a claim"}
	}
	return nil
}

// Apply applies an operation and reports whether the shard changed.
func (s *Shard) Apply(o Op) (Settled, bool) {
	if o.Kind == OpClaim {
		return s.applyClaim(o)
	}
	old, ok := s.Find(o.Claim.Key)
	if !ok || old.Nonce != o.Claim.Nonce {
		return Settled{Verdict: Void, Claim: old}, false
	}
	if old.State != Running {
		return Settled{Verdict: Won, Claim: old}, false
	}
	if o.Kind == OpRelease {
		old.State = Released
	} else {
		old.State, old.Result = Done, o.Claim.Result.LimitSize(MaxStoredResponseBytes)
		if !s.fits(old, maxBytesForResponses) {
			old.Result = old.Result.LimitSize(0)
		}
	}
	s.put(old)
	return Settled{Verdict: Won, Claim: old}, true
}

func (s *Shard) applyClaim(o Op) (Settled, bool) {
	c := o.Claim
	c.State, c.Result = Running, nil
	old, ok := s.Find(c.Key)
	switch {
	case ok && old.Nonce == c.Nonce && old.State == Running:
		return Settled{Verdict: Won, Claim: old}, false
	case !ok, old.State == Released && old.Nonce != c.Nonce, o.Void != "" && old.Nonce == o.Void && old.State == Running:
	case old.Digest != c.Digest:
		return Settled{Verdict: Reused, Claim: old}, false
	default:
		return Settled{Verdict: Taken, Claim: old}, false
	}
	if !s.fits(c, maxBytesForClaims) {
		return Settled{Verdict: Full, Claim: old}, false
	}
	s.put(c)
	return Settled{Verdict: Won, Claim: c}, true
}
