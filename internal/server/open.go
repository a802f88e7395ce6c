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

// statusError tells that an engine answered with another status than 200.
type statusError struct {
	Status int
	// Outcome is what the engine said became of the request, if anything.
	Outcome generation.Outcome
}

func (e *statusError) Error() string { return fmt.Sprintf("engine answered with status %d", e.Status) }

const maxRefusalBytes = 4 << 10

func newStatusError(res *http.Response) *statusError {
	body := struct{ Outcome generation.Outcome }{}
	_ = json.NewDecoder(io.LimitReader(res.Body, maxRefusalBytes)).Decode(&body)
	return &statusError{Status: res.StatusCode, Outcome: body.Outcome}
}

// lossOf returns the kind of event that tells why an attempt could not be opened.
func lossOf(err error, way generation.AttemptMode) generation.EventKind {
	var status *statusError
	var network *net.OpError
	switch {
	case errors.As(err, &network) && network.Op == "dial":
		return generation.Unreachable
	case !errors.As(err, &status):
		return generation.ConnectionLost
	case way == generation.Reattach && status.Status == http.StatusNotFound:
		return generation.RecordMissing
	case way != generation.Reattach && status.Outcome == generation.NotRun:
		return generation.Refused
	default:
		return generation.ConnectionLost
	}
}

// open starts an attempt at an engine, or asks it for a record it has.
func (s *Server) open(ctx context.Context, t catalogue.Target, req *engine.Request, way generation.AttemptMode) (engine.TokenReader, error) {
	method, url, body := http.MethodPost, fmt.Sprintf("http://%s/generate", t.Address), &onceBody{}
	if way == generation.Reattach {
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
	res, err := c.exchange(r)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		defer c.Close()
		return nil, newStatusError(res)
	}
	return &lineReader{body: c, in: bufio.NewReaderSize(res.Body, lineBytes)}, nil
}

// dialling returns a client that takes a new connection for each request, since an idle one may have gone silent.
func (s *Server) dialling() *http.Client {
	s.dialOnce.Do(func() {
		s.dialClient = s.Client
		if t, ok := s.Client.Transport.(*http.Transport); ok {
			t = t.Clone()
			t.DisableKeepAlives = true
			s.dialClient = &http.Client{Transport: t}
		}
	})
	return s.dialClient
}

const (
	cancelWait = time.Second
	// cancelPause is the pause before a cancel that was not confirmed is sent again.
	cancelPause = 250 * time.Millisecond
)

// cancelAt tells an engine to end a generation and reports whether it has done so.
//
// A process that ends at once leaves its generations running, since the callers come back
// for the rest at another instance, which then computes nothing again.
func (s *Server) cancelAt(t catalogue.Target, generationID string, attempt int) bool {
	if s.runErr != nil && s.runErr() != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelWait)
	defer cancel()
	url := fmt.Sprintf("http://%s/streams/%s?attempt=%d", t.Address, generationID, attempt)
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return false
	}
	res, err := s.dialling().Do(r)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, 1<<16))
	return res.StatusCode == http.StatusOK
}
