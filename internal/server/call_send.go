package server

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// sendError tells that a target gave no answer.
type sendError struct {
	// NotRun is set when no byte left for the target or the target said that it did not run the call.
	NotRun bool
	Code   string
	Err    error
}

func (e *sendError) Error() string { return fmt.Sprintf("%s: %v", e.Code, e.Err) }

// dispatch sends a call that must not run twice to one target.
//
// It goes on to another target only where the last certainly did not run it, and
// stays on the version that it was first sent to.
func (s *Server) dispatch(ctx context.Context, c *call, run *heldRun) (*booking.Result, error) {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	if s.calls.marked(c.digest) {
		return nil, crashesTargets()
	}
	var tried []string
	sent := s.versionOf(c)
	for {
		choice, ok := s.Router.Choose(TargetQuery{Now: time.Now(), Entry: c.entry, Version: sent, Avoid: tried, Retry: len(tried) > 0})
		if !ok || slices.Contains(tried, choice.Target.Name) {
			if ok {
				choice.Release()
			}
			return nil, noTarget(len(tried))
		}
		s.markPlaced(c.id)
		t := choice.Target
		tried = append(tried, t.Name)
		begun, status := time.Now(), 0
		result, err := s.sendOnce(ctx, t, c)
		choice.Placement.endCall(ctx, err)
		choice.Release()
		if err == nil {
			status = result.Status
		}
		s.observeCall(ctx, c, sent, t.Name, time.Since(begun), status, err)
		if err == nil {
			s.recordProgress(c.id, 1, time.Now())
			s.noteCall(c, timeline.Event{Kind: "call_ran", Version: sent, Target: t.Name, Attempt: len(tried), Inputs: []timeline.Input{{Name: "status", Value: int64(result.Status)}}})
			return result, nil
		}
		s.noteCall(c, timeline.Event{Kind: "call_attempt_failed", Version: sent, Target: t.Name, Attempt: len(tried), Decision: decisionOf(err), Why: err.Code})
		if !err.NotRun {
			return &booking.Result{Lost: err.Code}, nil
		}
		if ctx.Err() != nil {
			return nil, refuse(http.StatusGatewayTimeout, "deadline", "the deadline passed before the call was sent").after(time.Second)
		}
		if run != nil && !time.Now().Before(run.Deadline) {
			return nil, refuse(http.StatusGatewayTimeout, "deadline", "the deadline passed before the call was sent").after(time.Second)
		}
	}
}

func decisionOf(err *sendError) string {
	if err.NotRun {
		return "try_another"
	}
	return "stop"
}

func noTarget(tried int) *Refusal {
	if tried == 0 {
		return refuse(http.StatusServiceUnavailable, "no_target", "no target of the entry is free").after(time.Second)
	}
	return refuse(http.StatusServiceUnavailable, "targets_refused", "no target of the entry took the call").after(time.Second)
}

// sendOnce writes a call to a connection of its own and reads the answer.
//
// http.Transport is not used, since it sends requests again by itself on pooled
// connections; on a new connection a refused dial also proves that nothing was sent.
func (s *Server) sendOnce(ctx context.Context, t catalogue.Target, c *call) (*booking.Result, *sendError) {
	conn, err := s.calls.dial(ctx, "tcp", t.Address.String())
	if err != nil {
		return nil, &sendError{NotRun: true, Code: "target_unreachable", Err: err}
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	req, err := c.request(ctx, t)
	if err != nil {
		return nil, &sendError{NotRun: true, Code: "invalid_call", Err: err}
	}
	req.Close = true
	if ctx.Err() != nil || !time.Now().Before(c.deadline) {
		return nil, &sendError{NotRun: true, Code: "deadline", Err: context.DeadlineExceeded}
	}
	_, leave := s.calls.running(t.Name, c.digest, 0, nil)
	defer leave()
	result, err := s.sendOn(conn, req)
	if err != nil {
		return nil, s.lostCall(ctx, t, err)
	}
	if result.notRun {
		return nil, &sendError{NotRun: true, Code: "target_refused"}
	}
	s.calls.cleared(c.digest)
	return result.Result, nil
}

// request returns the HTTP request for a target.
func (c *call) request(ctx context.Context, t catalogue.Target) (*http.Request, error) {
	path := c.path
	if path == "" {
		path = "/"
	}
	url := "http://" + t.Address.String() + path
	if c.query != "" {
		url += "?" + c.query
	}
	req, err := http.NewRequestWithContext(ctx, c.method, url, bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	for _, h := range c.header {
		req.Header.Set(h.Name, h.Value)
	}
	req.Header.Set(RequestIDHeader, c.id)
	req.Header.Set(DeadlineHeader, strconv.FormatInt(max(time.Until(c.deadline).Milliseconds(), 1), 10))
	return req, nil
}

// targetAnswer is a target's answer; notRun is set when the target said that it did not run the call.
type targetAnswer struct {
	*booking.Result
	notRun bool
}

const statusProcessed = 200

func (s *Server) sendOn(conn net.Conn, req *http.Request) (targetAnswer, error) {
	if err := req.Write(conn); err != nil {
		return targetAnswer{}, err
	}
	in := bufio.NewReaderSize(conn, 4<<10)
	for {
		res, err := http.ReadResponse(in, req)
		if err != nil {
			return targetAnswer{}, err
		}
		if res.StatusCode >= statusProcessed {
			defer res.Body.Close()
			return s.readAnswer(res)
		}
	}
}

func (s *Server) readAnswer(res *http.Response) (targetAnswer, error) {
	data, err := io.ReadAll(io.LimitReader(res.Body, int64(s.Limits.MaxAnswerBytes)+1))
	if err != nil {
		return targetAnswer{}, err
	}
	r := &booking.Result{Status: res.StatusCode, Header: pickHeaders(res.Header, answerHeaders), Body: data}
	if len(data) > s.Limits.MaxAnswerBytes {
		r.Header, r.Body, r.Omitted = nil, nil, true
	}
	return targetAnswer{r, res.Header.Get(OutcomeHeader) == string(generation.NotRun)}, nil
}

// lostCall tells why a call that was sent has no answer.
func (s *Server) lostCall(ctx context.Context, t catalogue.Target, err error) *sendError {
	if ctx.Err() != nil {
		code := "deadline"
		if s.calls.base().Err() != nil {
			code = "answer_lost"
		}
		return &sendError{Code: code, Err: err}
	}
	now := time.Now()
	if s.crashed(t, now, s.calls.inside(now, t.Name)) {
		return &sendError{Code: "target_crashed", Err: err}
	}
	return &sendError{Code: "answer_lost", Err: err}
}
