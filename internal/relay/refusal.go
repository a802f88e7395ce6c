package relay

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/callerconn"
	"bambooferry.example/bambooferry/pkg/generation"
)

// The codes of responses that the instance itself generates.
const (
	codeNoCatalogue = "no_catalogue"
	codeNoRoute     = "no_route"
	codeKeyUnknown  = "key_unknown"
	// codeTableOutdated says that the request is not in the table, which may not be the latest one.
	codeTableOutdated = "table_outdated"
	codeBodyTooLarge  = "body_too_large"
	codeBodyMalformed = "body_malformed"
	codeNoTarget      = "no_target"
	codeTargetsRefuse = "targets_refuse"
	// codeTargetsUnreachable says that no connection to a target could be made.
	codeTargetsUnreachable = "targets_unreachable"
	codeStopping           = "instance_stopping"
	codeTimeout            = "timeout"
	codeTargetLost         = "target_lost"
	codeBadAnswer          = "bad_answer"
	codeCrashes            = "crashes_targets"
	// codePartCrashes says that a part of the prompt crashes the targets that answer requests with it.
	codePartCrashes = "part_crashes_targets"
	// codeTargetsBackOff says that all targets have asked this instance to send nothing for a time.
	codeTargetsBackOff = "targets_back_off"
	// codeTargetsLimited says that all targets take no more requests from this instance for a time, since they
	// have named limits.
	codeTargetsLimited = "targets_limited"
	// codePoolOverloaded says that the pool's room is short and others go first.
	codePoolOverloaded = "pool_overloaded"
)

// reasonCallerGone is the reason for a request whose caller has disconnected.
const reasonCallerGone = string(callerconn.CallerLeft)

// callerEndReason returns why a request's connection has ended: reasonCallerGone, unless the instance
// closed it itself.
func (req *callerRequest) callerEndReason() string {
	return string(callerconn.EndReason(req.http.Context()))
}

// Refusal is a final response that the instance itself generates.
type Refusal struct {
	Status int `json:"-"`
	// Code names the reason.
	Code string `json:"code"`
	// Outcome states whether the request was run.
	Outcome generation.Outcome `json:"outcome"`
	// RetryAfter is when a retry makes sense, or 0.
	RetryAfter time.Duration `json:"-"`
	RequestID  string        `json:"request_id,omitempty"`
	// Part is the part of the prompt that is the reason, or empty.
	Part string `json:"part,omitempty"`
}

// notRunRefusal returns a refusal of a request of which no byte was sent, or which its targets did
// not run.
func notRunRefusal(code string, retry time.Duration) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Code: code, Outcome: generation.NotRun, RetryAfter: retry}
}

// allRefusedRefusal returns the refusal of a request that some targets refused and to which no other one could be
// reached.
func allRefusedRefusal(refusals int) *Refusal {
	code := codeTargetsUnreachable
	if refusals > 0 {
		code = codeTargetsRefuse
	}
	return notRunRefusal(code, jitter(allRefusedRetryAfter))
}

// timeoutRefusal returns the response to a request that may have run and got no response by its
// deadline.
func timeoutRefusal() *Refusal {
	return &Refusal{Status: http.StatusGatewayTimeout, Code: codeTimeout, Outcome: generation.Unknown}
}

// interruptedRefusal returns the response to a request that may have run and whose context has ended
// without its caller disconnecting, or nil.
func interruptedRefusal(ctx context.Context) *Refusal {
	switch {
	case errors.Is(context.Cause(ctx), errGraceOver):
		return &Refusal{Status: http.StatusBadGateway, Code: codeStopping, Outcome: generation.Unknown}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return timeoutRefusal()
	}
	return nil
}

// jitter returns a random time around d, so that callers refused together do not retry together.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

func (refusal *Refusal) write(w http.ResponseWriter, c HeaderCodec) {
	h := w.Header()
	c.SetOwnHeaders(h, refusal.RequestID)
	h.Set("Content-Type", "application/json")
	if refusal.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(refusal)
	if err != nil {
		body = []byte("{}")
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(refusal.Status)
	// A caller that has disconnected does not need the body.
	_, _ = w.Write(body)
}
