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
	// Path is relative to the entry and begins with a slash.
	Path string
	Body string
	// IdempotencyKey is sent as the header Idempotency-Key unless empty.
	IdempotencyKey string
	// Deadline is the time that the call may take; 0 means the entry's default.
	Deadline time.Duration
	// Client sends the request; nil means http.DefaultClient.
	Client *http.Client
}

// CallResponse is the response to a call.
type CallResponse struct {
	Status int
	Header http.Header
	Body   string
	// Error is set if the response comes from an instance rather than a target.
	Error *ServiceError
}

// maxCallResponseBytes bounds the part of a response body that is read.
const maxCallResponseBytes = 8 << 20

// Do sends the call to one instance and returns the response.
func (c Call) Do(ctx context.Context, address netip.AddrPort) (CallResponse, error) {
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+address.String()+"/call/"+c.Entry+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return CallResponse{}, err
	}
	r.Header.Set("Authorization", "Bearer "+c.APIKey)
	r.Header.Set("Content-Type", "application/json")
	if c.IdempotencyKey != "" {
		r.Header.Set("Idempotency-Key", c.IdempotencyKey)
		// Keeps http.Transport from repeating a call with an idempotency key by itself.
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
	data, err := io.ReadAll(io.LimitReader(res.Body, maxCallResponseBytes))
	response := CallResponse{Status: res.StatusCode, Header: res.Header, Body: string(data)}
	// A response of a target has the outcome ran; a refusal of an instance has not_run or no outcome.
	if err == nil && res.Header.Get("Bambooferry-Outcome") != "ran" {
		var b struct{ Error *ServiceError }
		if err := json.Unmarshal(data, &b); err != nil || b.Error == nil {
			return response, errors.Newf("status %d", res.StatusCode)
		}
		response.Error = b.Error
		response.Error.Status = res.StatusCode
	}
	return response, err
}
