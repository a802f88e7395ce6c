package server

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/generation"
)

// statusError states that an engine responded with a status other than 200.
type statusError struct {
	Status int
	// Outcome is the request's outcome as stated by the engine, if any.
	Outcome generation.Outcome
}

func (e *statusError) Error() string { return fmt.Sprintf("engine answered with status %d", e.Status) }

const maxRefusalBytes = 4 << 10

func newStatusError(res *http.Response) *statusError {
	body := struct{ Outcome generation.Outcome }{}
	_ = json.NewDecoder(io.LimitReader(res.Body, maxRefusalBytes)).Decode(&body)
	return &statusError{Status: res.StatusCode, Outcome: body.Outcome}
}

// openFailureKind returns the kind of event that states why an attempt could not be opened.
func openFailureKind(err error, mode generation.AttemptMode) generation.EventKind {
	var status *statusError
	var network *net.OpError
	switch {
	case errors.As(err, &network) && network.Op == "dial":
		return generation.Unreachable
	case !errors.As(err, &status):
		return generation.ConnectionLost
	case mode == generation.Reattach && status.Status == http.StatusNotFound:
		return generation.RecordMissing
	case mode != generation.Reattach && status.Outcome == generation.NotRun && status.Status >= http.StatusBadRequest:
		return generation.Refused
	default:
		return generation.ConnectionLost
	}
}

// openAttempt starts a generation on an engine, or reads an existing record of one.
func (s *Server) openAttempt(ctx context.Context, t catalogue.Target, req *engine.Request, mode generation.AttemptMode) (engine.TokenReader, error) {
	method, url, body := http.MethodPost, fmt.Sprintf("http://%s/generate", t.Address), &onceBody{}
	if mode == generation.Reattach {
		method = http.MethodGet
		url = fmt.Sprintf("http://%s/streams/%s?attempt=%d&from=%d", t.Address, req.Generation, req.Attempt, req.From)
	} else {
		body.data, _ = json.Marshal(req)
	}
	r, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, err
	}
	if n := len(body.data); n > 0 {
		r.Body, r.ContentLength = body, int64(n)
	}
	c, err := s.dialEngine(ctx, t)
	if err != nil {
		return nil, err
	}
	res, err := c.roundTrip(r)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		defer c.Close()
		return nil, newStatusError(res)
	}
	return &lineReader{body: c, in: bufio.NewReaderSize(res.Body, lineBufferBytes)}, nil
}

const (
	cancelTimeout = time.Second
	// cancelRetryPause is the pause before an unconfirmed cancel request is sent again.
	cancelRetryPause = 250 * time.Millisecond
)

// cancelGeneration tells an engine to end a generation and reports whether the engine confirmed it.
//
// A process that is stopped immediately leaves its generations running, since the callers will
// request the rest from another instance, which then needs no recomputation.
func (s *Server) cancelGeneration(t catalogue.Target, generationID string, attempt int) bool {
	if s.runErr != nil && s.runErr() != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/streams/%s?attempt=%d", t.Address, generationID, attempt)
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return false
	}
	res, err := s.Client.Do(r)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(res.Body, 1<<16))
	return err == nil && res.StatusCode == http.StatusOK
}
