package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Call is one call to a service entry.
type Call struct {
	APIKey string
	Entry  string
	Method string
	// Path is below the entry and begins with a slash.
	Path string
	Body string
	// IdempotencyKey is the Idempotency-Key; none if empty.
	IdempotencyKey string
	// Deadline is the time the call may take; the entry's if 0.
	Deadline time.Duration
	// Client sends the request; http.DefaultClient if nil.
	Client *http.Client
}

// CallResponse is what a call was answered with.
type CallResponse struct {
	Status int
	Header http.Header
	Body   string
	// Error is set when an instance answered instead of a target.
	Error *ServiceError
}

// maxCallAnswer bounds the answer that is read.
const maxCallAnswer = 8 << 20

// Do sends the call to one instance.
func (c Call) Do(ctx context.Context, address netip.AddrPort) (CallResponse, error) {
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+address.String()+"/call/"+c.Entry+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return CallResponse{}, err
	}
	r.Header.Set("Authorization", "Bearer "+c.APIKey)
	r.Header.Set("Content-Type", "application/json")
	if c.IdempotencyKey != "" {
		r.Header.Set("Idempotency-Key", c.IdempotencyKey)
		// http.Transport must not send a named call again by itself.
		r.GetBody = nil
	}
	if c.Deadline > 0 {
		r.Header.Set("Bambooferry-Deadline", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	}
	client := c.Client
	if client == nil {
		client = http.DefaultClient
	}
	res, err := client.Do(r)
	if err != nil {
		return CallResponse{}, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxCallAnswer))
	a := CallResponse{Status: res.StatusCode, Header: res.Header, Body: string(data)}
	// An answer of the target carries the outcome ran, a refusal not_run or nothing.
	if err == nil && res.Header.Get("Bambooferry-Outcome") != "ran" {
		var b struct{ Error *ServiceError }
		if err := json.Unmarshal(data, &b); err != nil || b.Error == nil {
			return a, errors.Newf("status %d", res.StatusCode)
		}
		a.Error = b.Error
		a.Error.Status = res.StatusCode
	}
	return a, err
}
