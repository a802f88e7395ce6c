package booking

// OpKind tells what is asked of a shard.
type OpKind string

// The kinds of operations.
const (
	// OpClaim asks for the right to send a call.
	OpClaim OpKind = "claim"
	// OpFinish records a call's result.
	OpFinish OpKind = "finish"
	// OpRelease gives a claim back whose call was not sent and never will be.
	OpRelease OpKind = "release"
)

// Op is one operation on a shard; applying it twice is the same as once.
type Op struct {
	Kind  OpKind `json:"kind"`
	Claim Claim  `json:"claim"`
	// Void is the nonce of an earlier claim whose claimant stated that it will never send.
	Void string `json:"void,omitempty"`
}

// Valid reports whether an operation from another instance can be applied.
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

// Verdict tells what became of an operation.
type Verdict string

// The verdicts.
const (
	// Won is the verdict of a claim that is in the shard, and of any other operation applied.
	Won Verdict = "won"
	// Taken is the verdict of a claim whose key has another claim.
	Taken Verdict = "taken"
	// Reused is the verdict of a claim whose key has another claim with other content.
	Reused Verdict = "reused"
	// Full is the verdict of a claim for which the shard has no space.
	Full Verdict = "full"
	// Void is the verdict of a result or release whose claim is not there any more.
	Void Verdict = "void"
	// Unwritten is the verdict when the service did not confirm the write in time.
	Unwritten Verdict = "unwritten"
)

// Settled is what an operation came to, with the claim that stands.
type Settled struct {
	Verdict Verdict `json:"verdict"`
	Claim   Claim   `json:"claim"`
}

// InvalidMessageError tells that a message from another instance cannot be taken.
type InvalidMessageError struct{ Message string }

func (e *InvalidMessageError) Error() string { return "invalid " + e.Message }

// Check reports whether an answer from another instance can be used.
func (s *Settled) Check() error {
	known, ok := map[Verdict]bool{Won: true, Taken: true, Reused: true, Full: false, Void: false, Unwritten: false}[s.Verdict]
	if !ok || s.Claim.Key != "" && !s.Claim.valid() || known && s.Claim.Key == "" {
		return &InvalidMessageError{"answer about a claim"}
	}
	return nil
}

// Apply carries out an operation and reports whether the shard changed.
func (s *Shard) Apply(o Op) (Settled, bool) {
	if o.Kind == OpClaim {
		return s.claim(o)
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
		if !s.fits(old, answerBytes) {
			old.Result = old.Result.LimitSize(0)
		}
	}
	s.put(old)
	return Settled{Verdict: Won, Claim: old}, true
}

func (s *Shard) claim(o Op) (Settled, bool) {
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
	if !s.fits(c, claimBytes) {
		return Settled{Verdict: Full, Claim: old}, false
	}
	s.put(c)
	return Settled{Verdict: Won, Claim: c}, true
}
