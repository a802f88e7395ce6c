package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/generation"
)

// Refusal is an error as it is reported to a caller.
type Refusal struct {
	// Status is the HTTP status.
	Status int `json:"-"`
	// Code is a stable identifier in snake case.
	Code    string `json:"code"`
	Message string `json:"message"`
	// Outcome states whether the request was run.
	Outcome generation.Outcome `json:"outcome"`
	// Retry states whether the same request may be sent again.
	Retry bool `json:"retry"`
	// RetryAfterMillis is the number of milliseconds after which a retry is useful.
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
	RequestID        string `json:"request_id"`
	// Ticket can be used as Idempotency-Key while claims cannot be written.
	Ticket string `json:"ticket,omitempty"`
	// Close closes the connection after the response.
	Close bool `json:"-"`
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
}

func newRefusal(status int, code, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Message: message, Outcome: generation.NotRun}
}

func (r *Refusal) retryAfter(d time.Duration) *Refusal {
	r.Retry, r.RetryAfterMillis = true, max(d.Milliseconds(), 1)
	return r
}

// toRefusal converts any error into one that may be shown to a caller.
func toRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	var f *generation.Failure
	if errors.As(err, &f) {
		r := &Refusal{Status: http.StatusBadGateway, Code: f.Code, Message: failureMessages[f.Code], Outcome: f.Outcome}
		if f.Outcome == generation.NotRun {
			r.Status = http.StatusServiceUnavailable
		}
		if f.RetryAfter <= 0 {
			return r
		}
		return r.retryAfter(f.RetryAfter)
	}
	return &Refusal{Status: http.StatusInternalServerError, Code: "internal", Message: "the instance failed", Outcome: generation.Unknown}
}

var failureMessages = map[string]string{
	"no_engine":           "no engine could take the request",
	"engines_lost":        "the engines of this version were lost and none took over in time; what was delivered is valid",
	"crashes_targets":     "requests with this content crashed two targets; it is not sent to another",
	"version_gone":        "no target of the version that began the answer is left; what was delivered is valid",
	"generation_diverged": "the answer could not be continued identically; what was delivered is valid",
	"deadline":            "the deadline passed; what was delivered is valid",
}

type errorBody struct {
	Error *Refusal `json:"error"`
}

func writeRefusal(w http.ResponseWriter, id string, r *Refusal) {
	// Several callers may share one refusal.
	copied := *r
	r = &copied
	r.RequestID = id
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if r.Outcome == generation.NotRun {
		h.Set(OutcomeHeader, string(r.Outcome))
	}
	if r.Ticket != "" {
		h.Set(TicketHeader, r.Ticket)
	}
	if r.Close {
		h.Set("Connection", "close")
	}
	if r.RetryAfterMillis > 0 {
		h.Set("Retry-After", strconv.FormatInt((r.RetryAfterMillis+999)/1000, 10))
	}
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(errorBody{r})
}
