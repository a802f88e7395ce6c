package relay

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/header"
	"bambooferry.example/bambooferry/internal/tunnel"
	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// maxStaleResponses is the number of responses to earlier requests that are discarded on one
// connection.
const maxStaleResponses = 3

// ruleNoRequestID is the rule of a ResponseError for a response that does not state which request it belongs to.
const ruleNoRequestID = "no_request_id"

// maxTimerDelay is the delay of a timer above which the process itself is late.
const maxTimerDelay = 100 * time.Millisecond

// ResponseError reports that a target sent something that is not a valid response to the request.
type ResponseError struct {
	Rule string
}

func (e *ResponseError) Error() string { return "invalid response from target: " + e.Rule }

// MarkedError reports that a request was not sent because it is known to crash targets.
type MarkedError struct{}

func (*MarkedError) Error() string { return "the request crashes targets" }

// attempt is one attempt to run a request at one target.
type attempt struct {
	relay  *Relay
	req    *callerRequest
	target route.Target
	number int
	conn   *conn
	// cancelClose cancels the closing of conn at the end of the attempt's context.
	cancelClose func() bool
	startedAt   time.Time
	// load is the target's load at the time of the choice, without this request.
	load float64
	// wentSilent is set when the target was lost without any data or reset from it.
	wentSilent bool
	// hangs is set when the attempt no longer counts at the target, since the path is lost on which it waits.
	hangs bool
	// silenceLogged is set when the silence of the target has been logged.
	silenceLogged bool
	// sent is set when bytes of the request may have reached the target.
	sent bool
	// staleCount is the number of responses to earlier requests that were discarded.
	staleCount int
	// closeUnconfirmed is set when the instance that carried the attempt had not closed its connection in time.
	closeUnconfirmed bool
	// held is what the attempt holds of its response.
	held heldBytes
	info ResponseInfo
	res  *http.Response
	// contradictory is set when the response states with the status of a request that ran that it did not run.
	contradictory bool
	// firstEventAt is when the first event of the response was received.
	firstEventAt time.Time
	lastEventAt  time.Time
	eventCount   int
	// pace holds what the attempt shows of its target's pace.
	pace attemptPace
	// onTrial is set if the attempt replaces one at a target that is expected to go on.
	onTrial bool
	// finished is set when the attempt's result is recorded.
	finished bool
	// answerRecorded is set when the answer was recorded as one that did not crash its target.
	answerRecorded bool
}

// newAttempt returns an attempt at a target that was chosen for it.
func (r *Relay) newAttempt(now time.Time, req *callerRequest, t route.Target, number int, reason string, load float64) *attempt {
	req.attemptCount++
	req.pool.recordStarted(req)
	r.Log.Write(now, timeline.Event{
		Kind: timeline.AttemptBegun, Request: req.ID, Target: t.ID, Attempt: number, Why: reason, Entry: req.route.Name, Version: t.Version, Revision: req.table.Version,
		Inputs: append([]timeline.Input{{Name: "load_percent", Value: int64(100 * load)}, {Name: "left_ms", Value: req.deadline.Sub(now).Milliseconds()}}, req.work.inputs()...),
	})
	return &attempt{relay: r, req: req, target: t, number: number, startedAt: now, load: load, pace: attemptPace{alone: req.work.alone}, held: heldBytes{budget: &r.heldBytes, target: t.Address}}
}

// sendRequest connects, sends the request and reads the response header.
func (a *attempt) sendRequest(ctx context.Context, info AttemptInfo, nextCheck time.Time, onSilence silenceFunc) error {
	begunAt := time.Now()
	var c *conn
	var err error
	if a.req.needsNewConn.Load() || !a.req.sharesConn() {
		c, err = a.relay.targetConns.dial(ctx, a.target)
	} else {
		c, err = a.relay.targetConns.get(ctx, a.target, a.req.ID)
	}
	if err != nil {
		// A connection setup that outlasts its bound shows that this process does not get to run.
		if now := time.Now(); ctx.Err() == nil && now.Sub(begunAt) < dialTimeout+maxTimerDelay {
			a.req.pool.recordUnreachable(now, a.target)
		}
		return err
	}
	if a.relay.Crashes.isMarked(time.Now(), a.req) {
		a.relay.targetConns.put(time.Now(), c, 0)
		return &MarkedError{}
	}
	a.req.pool.recordReached(a.target)
	if err := cmp.Or(ctx.Err(), a.req.http.Context().Err()); err != nil {
		// Nobody waits for the response any longer.
		a.relay.targetConns.put(time.Now(), c, 0)
		return err
	}
	a.conn = c
	a.cancelClose = context.AfterFunc(ctx, func() { c.giveUp() })
	c.nextCheck, c.onSilence = nextCheck, onSilence
	c.header.Reserve, c.header.ShortBytes = a.reserveHeader, unreservedBytes
	a.sent = true
	c.recordCarried(a.req.ID)
	a.req.pool.recordSent(a.req)
	targetReq := a.buildRequest(info)
	res, err := c.roundTrip(targetReq)
	for ; err == nil; a.staleCount++ {
		a.info = a.relay.Codec.ParseResponse(time.Now(), res)
		if a.info.RequestID == "" && a.req.ID != "" && (c.reused || a.staleCount > 0) {
			// It may be a late copy of the response to an earlier request.
			return &ResponseError{Rule: ruleNoRequestID}
		}
		if a.info.RequestID == "" || a.info.RequestID == a.req.ID {
			a.res = res
			a.contradictory = a.info.NotRun && !canRefuse(res.StatusCode)
			a.info.NotRun = a.info.NotRun && !a.contradictory
			a.req.pool.recordLoad(a.target, a.info.Load)
			a.recordSlowness(time.Now())
			a.recordStatements(time.Now())
			return nil
		}
		// This is a late response to an earlier request; the response to this one follows it.
		a.recordStale(time.Now())
		if a.staleCount >= maxStaleResponses {
			return &ResponseError{Rule: "request_id"}
		}
		if !discardBody(res.Body) {
			return &ResponseError{Rule: "stale_body"}
		}
		res, err = c.readResponse(targetReq)
	}
	return err
}

// reserveHeader reserves the memory for a long header.
func (a *attempt) reserveHeader() error {
	if !a.held.reserve(headerCopies*header.MaxBytes, "header") {
		return &ResponseError{Rule: ruleMemory}
	}
	return nil
}

// sharesConn reports whether a request may use a connection that other requests use: its id names its response, and the
// response's end can be told from its header. The header of a response to HEAD states the length of a body that does not
// follow, which is not known of a late one.
func (req *callerRequest) sharesConn() bool {
	return req.ID != "" && req.http.Method != http.MethodHead
}

// buildRequest builds the target's request from the caller's.
func (a *attempt) buildRequest(info AttemptInfo) *http.Request {
	httpReq := a.req.http
	h := httpReq.Header.Clone()
	a.relay.Codec.StripRequestHeaders(h, a.stripsKey())
	info.ExpectedIncarnation = a.target.ID
	info.Workspace = workspaceName(a.req)
	info.Remaining = time.Until(a.req.deadline)
	a.relay.Codec.SetAttemptHeaders(h, info)
	if h.Get("User-Agent") == "" {
		// An empty value keeps net/http from adding its own.
		h.Set("User-Agent", "")
	}
	targetReq := &http.Request{
		Method: httpReq.Method, URL: &url.URL{Scheme: "http", Host: httpReq.Host, Opaque: requestTarget(httpReq)}, Host: httpReq.Host,
		Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody,
	}
	if len(a.req.body) > 0 {
		targetReq.Body, targetReq.ContentLength = io.NopCloser(bytes.NewReader(a.req.body)), int64(len(a.req.body))
	}
	return targetReq
}

// stripsKey reports whether the caller's Authorization header holds a key of this deployment.
func (a *attempt) stripsKey() bool {
	if a.req.table.RequiresKey(a.req.route) {
		return true
	}
	_, known := a.req.table.WorkspaceForKey(a.req.APIKey)
	return known
}

// checkResponse returns why the response can't be passed on as the target's, or nil.
func (a *attempt) checkResponse() error {
	switch {
	case a.contradictory:
		return &ResponseError{Rule: "contradictory_refusal"}
	case a.info.RequestID == "" && a.res.StatusCode < http.StatusMultipleChoices:
		return &ResponseError{Rule: ruleNoRequestID}
	case a.info.ContentEncoded:
		return &ResponseError{Rule: "content_encoding"}
	case !a.info.Sealed && a.res.StatusCode < http.StatusMultipleChoices:
		return &ResponseError{Rule: "no_seal"}
	case impliesNotRun(a.res.StatusCode):
		// The caller would read the status as a promise that the target did not make.
		return &ResponseError{Rule: "refusal_without_statement"}
	}
	return nil
}

// canRefuse reports whether a response with a status can state that the request was not run.
func canRefuse(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError || status == http.StatusServiceUnavailable
}

// impliesNotRun reports whether a status tells the caller that the request was not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// finish keeps or closes the connection and records the result of the attempt.
func (a *attempt) finish(now time.Time, result engine.RequestResult, complete bool, reason string) {
	a.finished = true
	a.endTrial()
	took := now.Sub(a.startedAt)
	// Another request may use the connection as soon as it is kept.
	connInputs, carrierLost := a.connInputs(), a.conn != nil && a.conn.carrierLost
	if a.conn != nil {
		a.conn.header.Reserve = nil
		switch reusable := a.cancelClose() && complete && !result.Unreachable && !a.res.Close && hasExplicitEnd(a.res) && a.req.sharesConn(); {
		case reusable:
			a.relay.targetConns.put(now, a.conn, a.info.KeepAlive)
		case complete:
			_ = a.conn.Close()
		default:
			if unsent := a.conn.giveUp(); unsent != 0 {
				connInputs = append(connInputs, timeline.Input{Name: "unsent_bytes", Value: int64(unsent)})
			}
		}
	}
	if reason == ruleMemory {
		// The target was reached, and may be sound.
		result = engine.RequestResult{Failed: true}
	}
	if result.Unreachable {
		a.relay.targetConns.closeIdle(a.target.Address)
	}
	if result.Unreachable && a.sent && a.conn.reused && !a.conn.dataReceived {
		a.req.needsNewConn.Store(true)
	}
	if carrierLost {
		a.relay.Links.recordCarrierFailure(now, a.conn.carrier, "")
	}
	if result.Unreachable && a.pathLost() {
		result = engine.RequestResult{Cancelled: true}
		a.wentSilent = false
	}
	a.req.pool.recordEnded(now, a.target, !a.hangs, result, a.wentSilent, took)
	a.recordWorkEnd(now, complete && !a.info.NotRun && !result.Failed && !result.Unreachable)
	a.observeResult(now, result)
	// Only data after the target's own response proves that the target was alive: another target
	// may be at its address by now, and a reused connection may have carried another target's
	// responses.
	if result.Unreachable && a.res != nil && a.res.StatusCode != http.StatusMisdirectedRequest {
		a.relay.findSuccessor(a.req.pool, a.target, a.conn.lastHeardAt)
	}
	kind := timeline.AttemptEnded
	if a.sent && !complete {
		kind = timeline.AttemptLost
	}
	if result.Unreachable && a.sent && reason == reasonConnectionLost {
		a.relay.checkForCrash(a)
	} else if a.lostInSilence(complete, reason) {
		a.relay.recordUnconfirmed(now, a, now, false)
	}
	if complete && !a.info.NotRun {
		a.relay.Crashes.recordServed(a.req)
		a.req.pool.recordAnswered(now, a.target)
		if a.res.StatusCode < http.StatusMultipleChoices {
			a.recordAnswer(now, a.answerBegunAt())
		}
	}
	a.relay.instruments.recordAttempt(a.req, reason)
	a.relay.Log.Write(now, timeline.Event{
		Kind: kind, Request: a.req.ID, Target: a.target.ID, Member: a.carrier(), Attempt: a.number, Why: reason,
		Inputs: append([]timeline.Input{{Name: "took_ms", Value: took.Milliseconds()}, {Name: "status", Value: int64(a.status())}}, connInputs...),
	})
}

// connInputs returns the inputs of the log line on an attempt's end that show how its response was paired with its request.
func (a *attempt) connInputs() []timeline.Input {
	if a.conn == nil {
		return nil
	}
	inputs := []timeline.Input{{Name: "conn_requests", Value: int64(len(a.conn.carried))}, {Name: "stale", Value: int64(a.staleCount)}}
	if a.res != nil && a.info.RequestID == "" {
		inputs = append(inputs, timeline.Input{Name: "without_id", Value: 1})
	}
	if a.closeUnconfirmed {
		inputs = append(inputs, timeline.Input{Name: "close_unconfirmed", Value: 1})
	}
	return inputs
}

// recordStale counts and logs a response to an earlier request.
func (a *attempt) recordStale(now time.Time) {
	a.relay.instruments.recordStale(a.info.NotRun)
	a.relay.Log.Write(now, timeline.Event{
		Kind: "stale_response", Request: a.req.ID, Target: a.target.ID, Member: a.carrier(), Attempt: a.number, Decision: "discard",
		Inputs: []timeline.Input{{Name: "conn_requests", Value: int64(len(a.conn.carried))}, {Name: "not_run", Value: boolValue(a.info.NotRun)}},
	})
}

// recordNotHeld logs a response of which only n bytes could be held.
func (a *attempt) recordNotHeld(now time.Time, n int) {
	a.relay.Log.Write(now, timeline.Event{
		Kind: "response_not_held", Request: a.req.ID, Target: a.target.ID, Member: a.carrier(), Attempt: a.number, Why: ruleMemory, Decision: "pass_on",
		Inputs: []timeline.Input{{Name: "held_bytes", Value: int64(n)}, {Name: "held_by_all_bytes", Value: a.relay.heldBytes.heldBytes()}, {Name: "status", Value: int64(a.status())}},
	})
}

func boolValue(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// silentSincePathLost reports whether the attempt waits on a direct connection that has received no data since its path
// was lost.
func (a *attempt) silentSincePathLost() bool {
	if a.conn == nil || a.conn.carrier != "" {
		return false
	}
	lostAt := a.relay.Links.lostSince(a.target)
	return !lostAt.IsZero() && !a.conn.receivedAt.After(lostAt)
}

// pathLost reports whether the attempt was lost on its way, which says nothing about its target.
func (a *attempt) pathLost() bool {
	if a.conn != nil && a.conn.carrier != "" {
		return a.conn.carrierLost
	}
	return a.sent && !a.relay.Links.lostSince(a.target).IsZero()
}

// lostInSilence reports whether the attempt ended without any answer, though nobody ended it: its target may have crashed and
// taken its connections with it.
func (a *attempt) lostInSilence(complete bool, reason string) bool {
	return a.sent && !complete && a.res == nil && reason != reasonConnectionLost && (a.wentSilent || a.pastDeadline(time.Now()))
}

// carrier names the instance that carried the attempt, or is empty.
func (a *attempt) carrier() string {
	if a.conn == nil {
		return ""
	}
	return a.conn.carrier
}

// answerBegunAt returns when the answer began, as far as it is known.
func (a *attempt) answerBegunAt() time.Time {
	if a.firstEventAt.IsZero() {
		return a.startedAt
	}
	return a.firstEventAt
}

// isUnanswered reports whether the target may have begun to run the request without having sent a response header.
func (a *attempt) isUnanswered() bool { return a.sent && a.res == nil }

func (a *attempt) status() int {
	if a.res == nil {
		return 0
	}
	return a.res.StatusCode
}

// hasExplicitEnd reports whether the end of a response is marked by more than the end of its
// connection.
func hasExplicitEnd(res *http.Response) bool {
	return res.ContentLength >= 0 || len(res.TransferEncoding) > 0
}

// handleRefusal reports whether the target states that it did not run the request. It excludes a
// target whose address another incarnation has taken over.
func (a *attempt) handleRefusal() bool {
	if a.info.NotRun && a.res.StatusCode == http.StatusMisdirectedRequest {
		a.req.pool.recordMisdirected(a.target.ID)
	} else if a.info.NotRun {
		a.req.pool.recordRefusing(time.Now(), a.target.ID)
	}
	return a.info.NotRun
}

// refusalBodyTime bounds the time for the body of a refusal, which serves only to keep the connection.
const refusalBodyTime = 100 * time.Millisecond

// discardRefusal reads the body of a refusal and reports whether it came to its end in time.
func (a *attempt) discardRefusal(now time.Time) (complete bool) {
	a.conn.nextCheck, a.conn.onSilence = now.Add(refusalBodyTime), nil
	return discardBody(boundedReader{src: a.res.Body, until: now.Add(refusalBodyTime)})
}

// boundedReader reads until a time, also from a source that goes on to bring some bytes.
type boundedReader struct {
	src   io.Reader
	until time.Time
}

func (r boundedReader) Read(b []byte) (int, error) {
	n, err := r.src.Read(b)
	if err == nil && time.Now().After(r.until) {
		err = os.ErrDeadlineExceeded
	}
	return n, err
}

// isSilence reports whether an error means that nothing was received, not even a reset.
func isSilence(err error) bool {
	if e := (*SilenceTimeoutError)(nil); errors.As(err, &e) {
		return true
	}
	e := net.Error(nil)
	return errors.As(err, &e) && e.Timeout()
}

func isMarkedError(err error) bool {
	marked := (*MarkedError)(nil)
	return errors.As(err, &marked)
}

// lossReason returns the log's name for a connection error.
func lossReason(err error) string {
	switch e, carrier := (*ResponseError)(nil), (*tunnel.CarrierError)(nil); {
	case isMarkedError(err):
		return codeCrashes
	case errors.As(err, &carrier):
		return reasonCarrierLost
	case errors.As(err, &e):
		return e.Rule
	case errors.Is(err, context.Canceled):
		return "cancelled"
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline"
	}
	if silent := (*SilenceTimeoutError)(nil); errors.As(err, &silent) {
		return "silent"
	}
	return reasonConnectionLost
}

const (
	// reasonConnectionLost is the reason for an attempt whose connection was reset or closed.
	reasonConnectionLost = "connection_lost"
	// reasonUnreachable is the reason for an attempt for which no connection could be made.
	reasonUnreachable = "unreachable"
	// reasonCarrierLost is the reason for an attempt whose connection was lost with the instance that carried it.
	reasonCarrierLost = "carrier_lost"
	// reasonPathLost is the reason for an attempt that has received nothing since the direct path to its target was lost.
	reasonPathLost = "path_lost"
	// reasonLostByOthers is the reason for an attempt whose target other instances have lost.
	reasonLostByOthers = "lost_by_others"
)
