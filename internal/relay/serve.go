package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// unavailableRetryAfter is the time after which a caller may retry at an instance that has no
	// table or target yet.
	unavailableRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is the time after which a caller that a stopping instance refused may retry
	// at another one.
	stoppingRetryAfter = 20 * time.Millisecond
	// defaultTimeout bounds requests for which neither the caller nor the route states a timeout.
	defaultTimeout = 60 * time.Second
	// defaultMaxBody bounds bodies when the table states no limit.
	defaultMaxBody = 4 << 20
)

// callerRequest is one request of a caller while it is being served.
type callerRequest struct {
	RequestInfo
	http  *http.Request
	body  []byte
	table *route.Table
	route *route.Route
	// workspace is the workspace of the caller's key; it is nil on routes that need none.
	workspace *route.Workspace
	pool      *pool
	poolName  string
	startedAt time.Time
	deadline  time.Time
	// digestOnce guards contentDigest, the result of digest.
	digestOnce    sync.Once
	contentDigest string
	// trial is trialAdmitted while the request runs to test a mark.
	trial atomic.Int32
	// attemptCount is the number of attempts so far.
	attemptCount int
	// needsNewConn is set when an attempt is silent, or was lost on a kept connection that brought nothing: other kept
	// connections may be lost as well, which only shows when they are used.
	needsNewConn atomic.Bool
	// sent is set when an attempt of the request has been sent.
	sent atomic.Bool
	// started is set when the request has begun to run.
	started atomic.Bool
	// work is the work that the request is expected to be.
	work expectedWork
	// admissionKey identifies the request to admission control until its first attempt, or is empty.
	admissionKey string
	// disableInterrupt lets the request go on after the time at which a stop interrupts requests.
	disableInterrupt func() bool
}

// serveRequest responds to one request of a caller.
func (r *Relay) serveRequest(w http.ResponseWriter, httpReq *http.Request) {
	now := time.Now()
	req := &callerRequest{http: httpReq, startedAt: now}
	defer func() {
		if v := recover(); v != nil {
			r.abortOnPanic(v, req.ID)
		}
	}()
	req.RequestInfo = r.Codec.ParseRequest(httpReq)
	if refusal := r.admit(now, req); refusal != nil {
		r.refuse(w, req, refusal)
		return
	}
	if refusal := r.readBody(w, req); refusal != nil {
		r.refuse(w, req, refusal)
		return
	}
	if r.mayOutlastGrace(req) {
		// The stop began while the body was read.
		r.refuse(w, req, notRunRefusal(codeStopping, stoppingRetryAfter))
		return
	}
	r.Crashes.recordArrival(req)
	if refusal := r.Crashes.admit(now, req); refusal != nil {
		r.refuse(w, req, refusal)
		return
	}
	if req.pool.refusesUnreachable(now) {
		r.refuse(w, req, notRunRefusal(codeTargetsUnreachable, jitter(route.ReachInterval)))
		return
	}
	ctx, cancel := r.contextOf(req)
	defer cancel()
	r.instruments.requestStarted(req)
	defer r.instruments.requestEnded(req)
	if req.route.Kind == route.Streaming {
		r.serveStream(ctx, w, req)
		return
	}
	r.serveCall(ctx, w, req)
}

// contextOf returns a context that ends at the request's deadline, when its caller disconnects, and
// when a stop interrupts requests.
func (r *Relay) contextOf(req *callerRequest) (context.Context, context.CancelFunc) {
	interruptible, interrupt := context.WithCancelCause(req.http.Context())
	req.disableInterrupt = context.AfterFunc(r.graceContext, func() { interrupt(context.Cause(r.graceContext)) })
	ctx, cancel := context.WithDeadline(interruptible, req.deadline)
	return ctx, func() {
		req.disableInterrupt()
		cancel()
		interrupt(nil)
	}
}

// admit finds the route, the workspace and the deadline of a request, or refuses it.
func (r *Relay) admit(now time.Time, req *callerRequest) *Refusal {
	table, ok := TableKey.Get(r.Board)
	if !ok {
		return notRunRefusal(codeNoCatalogue, startupRetryAfter(req.Timeout))
	}
	if refusal := req.lookUp(table); refusal != nil {
		if !r.awaitCurrentTable(req) {
			return notRunRefusal(codeTableOutdated, startupRetryAfter(req.Timeout))
		}
		latest, _ := TableKey.Get(r.Board)
		if latest == table {
			return refusal
		}
		if refusal = req.lookUp(latest); refusal != nil {
			return refusal
		}
		now = time.Now()
	}
	req.poolName = req.route.PickPool(xxhash.Sum64String(req.ID))
	if req.pool = r.Targets.pool(req.poolName); req.pool == nil {
		return notRunRefusal(codeNoTarget, jitter(unavailableRetryAfter))
	}
	req.deadline = now.Add(timeoutOf(req))
	if r.mayOutlastGrace(req) {
		// Another instance accepts it at once.
		return notRunRefusal(codeStopping, stoppingRetryAfter)
	}
	return nil
}

// lookUp finds the route and the workspace of a request in a table, or refuses it.
func (req *callerRequest) lookUp(table *route.Table) *Refusal {
	var ok bool
	req.table = table
	if req.route, ok = table.Match(req.http.Host, requestPath(req.http)); !ok {
		return &Refusal{Status: http.StatusNotFound, Code: codeNoRoute, Outcome: generation.NotRun}
	}
	if table.RequiresKey(req.route) {
		if req.workspace, ok = table.WorkspaceForKey(req.APIKey); !ok {
			return &Refusal{Status: http.StatusUnauthorized, Code: codeKeyUnknown, Outcome: generation.NotRun}
		}
	}
	return nil
}

// maxTableWait bounds how long a request waits for a later table. It ends before callers count the request as not read.
const maxTableWait = 500 * time.Millisecond

// awaitCurrentTable reports whether the table is the latest one that is known: an instance that lacks a later one can't
// state that a route or a key does not exist.
func (r *Relay) awaitCurrentTable(req *callerRequest) bool {
	if r.AwaitCurrentTable == nil {
		return true
	}
	wait := maxTableWait
	if req.Timeout > 0 {
		wait = min(wait, req.Timeout/8)
	}
	ctx, cancel := context.WithTimeout(req.http.Context(), wait)
	defer cancel()
	return r.AwaitCurrentTable(ctx)
}

// mayOutlastGrace reports whether a request might not end before this instance stops.
func (r *Relay) mayOutlastGrace(req *callerRequest) bool {
	stoppingSince := r.stoppingSince.Load()
	if stoppingSince == nil {
		return false
	}
	return req.route.Kind == route.Streaming || req.deadline.After(r.interruptsAt(*stoppingSince))
}

// startupRetryAfter returns when a caller may retry at a deployment that is starting without its
// store.
//
// Outages last seconds and callers retry once, so their retries are spread over the longest time
// that they accept.
func startupRetryAfter(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return jitter(unavailableRetryAfter)
	}
	longest := timeout / retryAfterDivisor
	return longest*3/5 + rand.N(longest*2/5+1)
}

// retryAfterDivisor bounds the delay of a retry: callers accept a delay of up to one third of their
// remaining time.
const retryAfterDivisor = 3

// timeoutOf returns how long to wait for the response.
func timeoutOf(req *callerRequest) time.Duration {
	d := req.Timeout
	if d <= 0 {
		d = defaultTimeout
	}
	if t := req.route.Timeout; t > 0 {
		d = min(d, t)
	}
	return d
}

// readBody reads the complete body, so that the request can be sent again.
func (r *Relay) readBody(w http.ResponseWriter, req *callerRequest) *Refusal {
	limit := req.table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if n := req.http.ContentLength; n > 0 && n <= limit {
		req.body = make([]byte, 0, n+1)
	}
	var err error
	req.body, err = appendReader(req.body, http.MaxBytesReader(w, req.http.Body, limit))
	if err == nil {
		return nil
	}
	// net/http would read the rest of the body before it keeps the connection.
	w.Header().Set("Connection", "close")
	if large := (*http.MaxBytesError)(nil); errors.As(err, &large) {
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Code: codeBodyTooLarge, Outcome: generation.NotRun}
	}
	connErr := (*net.OpError)(nil)
	if !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &connErr) {
		return &Refusal{Status: http.StatusBadRequest, Code: codeBodyMalformed, Outcome: generation.NotRun}
	}
	// The caller did not send its complete request and so does not wait for a response.
	r.Log.Write(time.Now(), timeline.Event{Kind: "request_incomplete", Request: req.ID, Entry: req.route.Name, Outcome: string(generation.NotRun)})
	panic(http.ErrAbortHandler)
}

func appendReader(b []byte, src io.Reader) ([]byte, error) {
	for {
		if len(b) == cap(b) {
			b = append(b, 0)[:len(b)]
		}
		n, err := src.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
}

// requestPath returns the path as it was sent, without the query.
func requestPath(httpReq *http.Request) string {
	target := requestTarget(httpReq)
	if i := strings.IndexByte(target, '?'); i >= 0 {
		return target[:i]
	}
	return target
}

// requestTarget returns the request target as it was sent, without the scheme and host of its
// absolute form.
func requestTarget(httpReq *http.Request) string {
	t := httpReq.RequestURI
	if strings.HasPrefix(t, "/") {
		return t
	}
	if i := strings.Index(t, "://"); i >= 0 {
		t = t[i+3:]
		if i = strings.IndexByte(t, '/'); i >= 0 {
			return t[i:]
		}
	}
	return "/"
}

// refuse writes and logs a response that the instance itself generates.
func (r *Relay) refuse(w http.ResponseWriter, req *callerRequest, refusal *Refusal) {
	refusal.RequestID = req.ID
	r.instruments.recordRefusal(refusal)
	r.logEnd(req, string(refusal.Outcome), refusal.Code, refusal.Status)
	refusal.write(w, r.Codec)
}

// endEventKind returns the kind of a request's terminal event; status is 0 if no response was
// completed.
func endEventKind(outcome, reason string, status int) string {
	switch {
	case reason == reasonCallerGone:
		return "request_abandoned"
	case outcome == string(generation.NotRun):
		return "request_refused"
	case status >= http.StatusInternalServerError || status == 0:
		return "request_failed"
	}
	return "request_finished"
}

// logEnd logs the terminal event of a request.
func (r *Relay) logEnd(req *callerRequest, outcome, reason string, status int) {
	now := time.Now()
	ev := timeline.Event{
		Kind: endEventKind(outcome, reason, status), Request: req.ID, Outcome: outcome, Why: reason, Entry: routeName(req), Workspace: workspaceName(req),
		Inputs: []timeline.Input{
			{Name: "status", Value: int64(status)},
			{Name: "took_ms", Value: now.Sub(req.startedAt).Milliseconds()},
			{Name: "attempts", Value: int64(req.attemptCount)},
		},
	}
	if req.table != nil {
		ev.Revision = req.table.Version
	}
	r.Log.Write(now, ev)
}

// recordStart reports to ObserveStart, once for each request of a workspace, that it has begun to run.
func (r *Relay) recordStart(now time.Time, req *callerRequest) {
	if r.ObserveStart != nil && req.workspace != nil && !req.started.Swap(true) {
		r.ObserveStart(now, req.workspace.Name)
	}
}

func routeName(req *callerRequest) string {
	if req.route == nil {
		return ""
	}
	return req.route.Name
}

func workspaceName(req *callerRequest) string {
	if req.workspace == nil {
		return ""
	}
	return req.workspace.Name
}

// urgencyOf ranks a request at an engine; resumed requests precede new ones.
func urgencyOf(req *callerRequest, resumed bool) int {
	if resumed {
		return resumedUrgency
	}
	return min(max(highestNewUrgency+priorityOf(req), highestNewUrgency), lowestUrgency)
}

const (
	// resumedUrgency lets a stream that lost its engine continue before new ones begin.
	resumedUrgency = 1
	// highestNewUrgency is the urgency of a new request on a route of the highest priority.
	highestNewUrgency = 3
	lowestUrgency     = 9
)
