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

	"bambooferry.example/bambooferry/internal/header"
	"bambooferry.example/bambooferry/internal/socket"
	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// sendError states why a target gave no response.
type sendError struct {
	// NotRun is set when no byte was sent to the target or the target stated that it did not run the call.
	NotRun bool
	Code   string
	Err    error
}

func (e *sendError) Error() string { return fmt.Sprintf("%s: %v", e.Code, e.Err) }

// dispatch sends a call that must not run twice to a target.
//
// It tries another target only if the last one certainly did not run the call, and
// keeps the version of the first attempt.
func (s *Server) dispatch(ctx context.Context, c *call, run *trackedRun) (*booking.Result, error) {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	if s.calls.isMarked(c.digest) {
		return nil, crashesTargetsRefusal()
	}
	var tried []string
	version := s.currentVersion(c)
	for {
		choice, ok := s.Router.Choose(TargetQuery{Now: time.Now(), Entry: c.entry, Version: version, Avoid: tried, Retry: len(tried) > 0})
		if !ok || slices.Contains(tried, choice.Target.Name) {
			if ok {
				choice.Release()
			}
			return nil, noTargetRefusal(len(tried))
		}
		s.markPlaced(c.id)
		t := choice.Target
		tried = append(tried, t.Name)
		startedAt, status := time.Now(), 0
		result, err := s.sendOnNewConnection(ctx, t, c)
		choice.Placement.recordCallEnd(ctx, err)
		choice.Release()
		if err == nil {
			status = result.Status
		}
		s.recordVersionEvidence(ctx, c, version, t.Name, time.Since(startedAt), status, err)
		if err == nil {
			s.recordProgress(c.id, 1, time.Now())
			s.writeCallEvent(c, timeline.Event{Kind: "call_ran", Version: version, Target: t.Name, Attempt: len(tried), Inputs: []timeline.Input{{Name: "status", Value: int64(result.Status)}}})
			return result, nil
		}
		s.writeCallEvent(c, timeline.Event{Kind: "call_attempt_failed", Version: version, Target: t.Name, Attempt: len(tried), Decision: retryDecision(err), Why: err.Code})
		if !err.NotRun {
			return &booking.Result{Lost: err.Code}, nil
		}
		if ctx.Err() != nil {
			return nil, newRefusal(http.StatusGatewayTimeout, "deadline", "the deadline passed before the call was sent").retryAfter(time.Second)
		}
		if run != nil && !time.Now().Before(run.Deadline) {
			return nil, newRefusal(http.StatusGatewayTimeout, "deadline", "the deadline passed before the call was sent").retryAfter(time.Second)
		}
	}
}

func retryDecision(err *sendError) string {
	if err.NotRun {
		return "try_another"
	}
	return "stop"
}

func noTargetRefusal(tried int) *Refusal {
	if tried == 0 {
		return newRefusal(http.StatusServiceUnavailable, "no_target", "no target of the entry is free").retryAfter(time.Second)
	}
	return newRefusal(http.StatusServiceUnavailable, "targets_refused", "no target of the entry took the call").retryAfter(time.Second)
}

// sendOnNewConnection writes a call to a new connection and reads the response.
//
// A failed dial proves that nothing was sent.
func (s *Server) sendOnNewConnection(ctx context.Context, t catalogue.Target, c *call) (*booking.Result, *sendError) {
	conn, err := s.calls.dial(ctx, "tcp", t.Address.String())
	if err != nil {
		return nil, &sendError{NotRun: true, Code: "target_unreachable", Err: err}
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { socket.GiveUp(conn) })()
	req, err := c.httpRequest(ctx, t)
	if err != nil {
		return nil, &sendError{NotRun: true, Code: "invalid_call", Err: err}
	}
	req.Close = true
	if ctx.Err() != nil || !time.Now().Before(c.deadline) {
		return nil, &sendError{NotRun: true, Code: "deadline", Err: context.DeadlineExceeded}
	}
	_, unregister := s.calls.registerRequest(t.Name, c.digest, 0, nil)
	defer unregister()
	result, err := s.roundTrip(conn, req)
	if err != nil {
		return nil, s.classifyLoss(ctx, t, err)
	}
	if result.notRun {
		return nil, &sendError{NotRun: true, Code: "target_refused"}
	}
	s.calls.recordSuccess(c.digest)
	return result.Result, nil
}

// httpRequest returns the HTTP request for a target.
func (c *call) httpRequest(ctx context.Context, t catalogue.Target) (*http.Request, error) {
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

// targetResponse is a target's response; notRun is set when the target stated that it did not run the call.
type targetResponse struct {
	*booking.Result
	notRun bool
}

// minFinalStatus is the lowest status of a final response; lower ones are informational.
const minFinalStatus = 200

func (s *Server) roundTrip(conn net.Conn, req *http.Request) (targetResponse, error) {
	if err := req.Write(conn); err != nil {
		return targetResponse{}, err
	}
	limited := header.Reader{Src: conn}
	in := bufio.NewReaderSize(&limited, 4<<10)
	for begin := limited.Begin; ; begin = limited.Next {
		buffered, _ := in.Peek(in.Buffered())
		if err := begin(buffered); err != nil {
			return targetResponse{}, err
		}
		res, err := header.ReadResponse(in, req)
		if err != nil {
			return targetResponse{}, err
		}
		if res.StatusCode >= minFinalStatus {
			limited.End()
			defer res.Body.Close()
			return s.readResponse(res)
		}
	}
}

func (s *Server) readResponse(res *http.Response) (targetResponse, error) {
	data, err := io.ReadAll(io.LimitReader(res.Body, int64(s.Limits.MaxAnswerBytes)+1))
	if err != nil {
		return targetResponse{}, err
	}
	r := &booking.Result{Status: res.StatusCode, Header: selectHeaders(res.Header, responseHeaders), Body: data}
	if len(data) > s.Limits.MaxAnswerBytes {
		r.Header, r.Body, r.Omitted = nil, nil, true
	}
	notRun := res.Header.Get(OutcomeHeader) == string(generation.NotRun)
	if notRun && res.StatusCode < http.StatusBadRequest {
		return targetResponse{}, &contradictoryAnswerError{Status: res.StatusCode}
	}
	return targetResponse{r, notRun}, nil
}

// contradictoryAnswerError reports a successful response that states that the call was not run.
type contradictoryAnswerError struct{ Status int }

func (e *contradictoryAnswerError) Error() string {
	return fmt.Sprintf("response with status %d states that the call was not run", e.Status)
}

// classifyLoss returns the reason why a call that was sent has no response.
func (s *Server) classifyLoss(ctx context.Context, t catalogue.Target, err error) *sendError {
	if ctx.Err() != nil {
		code := "deadline"
		if s.calls.baseContext().Err() != nil {
			code = "answer_lost"
		}
		return &sendError{Code: code, Err: err}
	}
	now := time.Now()
	if s.detectCrash(t, now, s.calls.requestsAt(now, t.Name)) {
		return &sendError{Code: "target_crashed", Err: err}
	}
	return &sendError{Code: "answer_lost", Err: err}
}
