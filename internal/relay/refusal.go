package relay

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"bambooferry.example/bambooferry/pkg/generation"
)

// The codes of answers that the instance itself gives.
const (
	codeNoCatalogue   = "no_catalogue"
	codeNoRoute       = "no_route"
	codeKeyUnknown    = "key_unknown"
	codeBodyTooLarge  = "body_too_large"
	codeNoTarget      = "no_target"
	codeTargetsRefuse = "targets_refuse"
	codeStopping      = "instance_stopping"
	codeTimeout       = "timeout"
	codeTargetLost    = "target_lost"
	codeBadAnswer     = "bad_answer"
	codeCrashes       = "crashes_targets"
)

// callerGone is the reason of a request whose caller has left, or whose instance was stopped at once.
const callerGone = "caller_gone"

// Refusal is a final answer that the instance itself gives.
type Refusal struct {
	Status int `json:"-"`
	// Code names the reason.
	Code string `json:"code"`
	// Outcome tells whether the request was run.
	Outcome generation.Outcome `json:"outcome"`
	// RetryAfter is when a repetition makes sense, or 0.
	RetryAfter time.Duration `json:"-"`
	RequestID  string        `json:"request_id,omitempty"`
}

// notRun returns a refusal of a request of which no byte has left, or that its targets did not run.
func notRun(code string, retry time.Duration) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Code: code, Outcome: generation.NotRun, RetryAfter: retry}
}

// timedOut returns the answer to a request that may have run and got no answer by its deadline.
func timedOut() *Refusal {
	return &Refusal{Status: http.StatusGatewayTimeout, Code: codeTimeout, Outcome: generation.Unknown}
}

// spreadRetry returns a time around d, so that callers refused together do not return together.
func spreadRetry(d time.Duration) time.Duration { return d/2 + rand.N(d) }

func (f *Refusal) write(w http.ResponseWriter, c Codec) {
	h := w.Header()
	c.Own(h, f.RequestID)
	h.Set("Content-Type", "application/json")
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(f)
	if err != nil {
		body = []byte("{}")
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(f.Status)
	// A caller that has gone does not need the body.
	_, _ = w.Write(body)
}
