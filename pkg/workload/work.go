package workload

import (
	"fmt"
	"net/netip"
	"time"
)

// Work is what a request is expected to need.
type Work struct {
	Read  float64       // prompt tokens to read, of which the caller subtracts what the target keeps
	Write float64       // output units to write
	Call  time.Duration // of a call: time at a target of usual speed
}

// Request describes a request to the Estimator. A request without prompt tokens, declared maximum and hint is a call.
type Request struct {
	Route, Workspace string
	PromptTokens     int
	OutputTokens     int // declared maximum; 0 if not stated
	OutputHint       int // what the requester expects; 0 if not stated
	Bytes            int // size of a call's body
}

// Statement is a slowness that a target stated.
type Statement struct {
	Slowness float64
	At       time.Time
}

// RangeError reports a stated slowness that is out of range.
type RangeError struct {
	Address  netip.AddrPort
	Slowness float64
}

func (e *RangeError) Error() string {
	return fmt.Sprintf("slowness stated by %s is out of range: %g", e.Address, e.Slowness)
}
