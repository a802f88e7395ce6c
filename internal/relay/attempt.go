package relay

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// maxStale is the number of answers to earlier requests that are read past on one connection.
const maxStale = 3

// AnswerError tells that a target sent something that is not the answer to the request.
type AnswerError struct {
	Rule string
}

func (e *AnswerError) Error() string { return "not the target's answer: " + e.Rule }

// sending is one request at one target.
type sending struct {
	relay  *Relay
	q      *query
	target route.Target
	number int
	conn   *conn
	forget func() bool
	begun  time.Time
	// silent tells that the target was lost without a word.
	silent bool
	// left tells that bytes of the request may have reached the target.
	left   bool
	answer Answer
	res    *http.Response
	// first is when the answer's body began.
	first time.Time
}

// begin counts a sending, so that the choice of others takes it into account.
func (r *Relay) begin(now time.Time, q *query, t route.Target, number int, why string, load float64) *sending {
	q.attempts++
	q.pool.sent(now, t)
	r.Log.Write(now, timeline.Event{
		Kind: timeline.AttemptBegun, Request: q.ID, Target: t.ID, Attempt: number, Why: why, Entry: q.route.Name, Version: t.Version, Revision: q.table.Version,
		Inputs: []timeline.Input{{Name: "load_percent", Value: int64(100 * load)}, {Name: "left_ms", Value: q.deadline.Sub(now).Milliseconds()}},
	})
	return &sending{relay: r, q: q, target: t, number: number, begun: now}
}

// open connects, sends the request and reads the answer's header.
func (s *sending) open(ctx context.Context, a Attempt, wake time.Time, watch silence) error {
	c, err := s.relay.conns.take(ctx, s.target.Address)
	if err != nil {
		return err
	}
	s.conn = c
	s.forget = context.AfterFunc(ctx, func() { _ = c.Close() })
	c.wake, c.silence = wake, watch
	s.left = true
	out := s.request(a)
	res, err := c.exchange(out)
	for stale := 0; err == nil; stale++ {
		s.answer = s.relay.Codec.Answer(time.Now(), res)
		if s.answer.RequestID == "" || s.answer.RequestID == s.q.ID {
			s.res = res
			s.q.pool.report(s.target, s.answer.Load)
			return nil
		}
		// A late answer to an earlier request; the one to this request follows it.
		if stale >= maxStale {
			return &AnswerError{Rule: "request_id"}
		}
		if _, err = io.Copy(io.Discard, io.LimitReader(res.Body, maxBuffered)); err == nil {
			res, err = c.answer(out)
		}
	}
	return err
}

// request builds the target's request from the caller's.
func (s *sending) request(a Attempt) *http.Request {
	in := s.q.in
	h := in.Header.Clone()
	s.relay.Codec.Forward(h, s.strip())
	a.Expect = s.target.ID
	a.Workspace = workspaceOf(s.q)
	a.Left = time.Until(s.q.deadline)
	s.relay.Codec.Attempt(h, a)
	if h.Get("User-Agent") == "" {
		// An empty value keeps net/http from adding its own.
		h.Set("User-Agent", "")
	}
	out := &http.Request{
		Method: in.Method, URL: &url.URL{Scheme: "http", Host: in.Host, Opaque: targetOf(in)}, Host: in.Host,
		Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody,
	}
	if len(s.q.body) > 0 {
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(s.q.body)), int64(len(s.q.body))
	}
	return out
}

// strip reports whether the caller's Authorization header is a key of the instance's own.
func (s *sending) strip() bool {
	if s.q.table.NeedsKey(s.q.route) {
		return true
	}
	_, known := s.q.table.Holder(s.q.Key)
	return known
}

// check returns why the answer can't be passed on as the target's, or nil.
func (s *sending) check() error {
	switch {
	case s.answer.RequestID == "" && s.res.StatusCode < http.StatusMultipleChoices:
		return &AnswerError{Rule: "no_request_id"}
	case s.answer.Encoded:
		return &AnswerError{Rule: "content_encoding"}
	case !s.answer.Sealed && s.res.StatusCode < http.StatusMultipleChoices:
		return &AnswerError{Rule: "no_seal"}
	case promisesNotRun(s.res.StatusCode):
		// The caller would take the status for a promise that the target did not make.
		return &AnswerError{Rule: "refusal_without_statement"}
	}
	return nil
}

// promisesNotRun reports whether a status tells the caller that the request was not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// done keeps or closes the connection and notes how the attempt went.
func (s *sending) done(now time.Time, result engine.Result, whole bool, why string) {
	took := now.Sub(s.begun)
	if s.conn != nil {
		clean := s.forget() && whole && !s.res.Close && framed(s.res)
		if clean {
			s.relay.conns.put(now, s.conn, s.answer.KeepAlive)
		} else {
			_ = s.conn.Close()
		}
	}
	if result.Unreachable {
		s.relay.conns.drop(s.target.Address)
	}
	s.q.pool.ended(now, s.target, result, s.silent, took)
	// Only what came after the target's own answer is a sign of it: another one may be at its
	// address, and a kept connection may have carried another one's answers.
	if result.Unreachable && s.res != nil && s.res.StatusCode != http.StatusMisdirectedRequest {
		s.relay.awaitSuccessor(s.q.pool, s.target, s.conn.heardAt)
	}
	kind := timeline.AttemptEnded
	if s.left && !whole {
		kind = timeline.AttemptLost
	}
	if result.Unreachable && s.left && why == connectionLost {
		s.relay.suspect(s)
	}
	if whole && !s.answer.NotRun {
		s.relay.Crashes.served(s.q)
	}
	s.relay.numbers.attempt(s.q, why)
	s.relay.Log.Write(now, timeline.Event{
		Kind: kind, Request: s.q.ID, Target: s.target.ID, Attempt: s.number, Why: why,
		Inputs: []timeline.Input{{Name: "took_ms", Value: took.Milliseconds()}, {Name: "status", Value: int64(s.status())}},
	})
}

func (s *sending) status() int {
	if s.res == nil {
		return 0
	}
	return s.res.StatusCode
}

// framed reports whether an answer's end is marked, and not only by the end of its connection.
func framed(res *http.Response) bool {
	return res.ContentLength >= 0 || len(res.TransferEncoding) > 0
}

// refusedByTarget reports whether the target states that it did not run the request.
func (s *sending) refusedByTarget() bool {
	if s.answer.NotRun && s.res.StatusCode == http.StatusMisdirectedRequest {
		s.q.pool.misdirected(s.target.ID)
	}
	return s.answer.NotRun
}

// wasSilent reports whether an error means that nothing was heard, not even a reset.
func wasSilent(err error) bool {
	if e := (*SilentError)(nil); errors.As(err, &e) {
		return true
	}
	e := net.Error(nil)
	return errors.As(err, &e) && e.Timeout()
}

// lossWhy names an error of a connection for the log.
func lossWhy(err error) string {
	switch e := (*AnswerError)(nil); {
	case errors.As(err, &e):
		return e.Rule
	case errors.Is(err, context.Canceled):
		return "cancelled"
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline"
	}
	if silent := (*SilentError)(nil); errors.As(err, &silent) {
		return "silent"
	}
	return connectionLost
}

// connectionLost is the reason of an attempt whose connection was reset or closed.
const connectionLost = "connection_lost"
