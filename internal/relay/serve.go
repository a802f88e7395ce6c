package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// startRetry is when a caller may return to an instance that knows no table yet.
	startRetry = 500 * time.Millisecond
	// stopRetry is when a caller that a stopping instance refused may ask another one.
	stopRetry = 20 * time.Millisecond
	// defaultPatience bounds requests whose caller and route say nothing.
	defaultPatience = 60 * time.Second
	// defaultBody bounds bodies when the table says nothing.
	defaultBody = 4 << 20
)

// query is one request of a caller on its way.
type query struct {
	Request
	in    *http.Request
	body  []byte
	table *route.Table
	route *route.Route
	// workspace holds the caller's key; it is nil on routes that need none.
	workspace *route.Workspace
	pool      *pool
	poolName  string
	begun     time.Time
	deadline  time.Time
	// attempts is the number of sendings so far.
	attempts int
}

// serve answers one request of a caller.
func (r *Relay) serve(w http.ResponseWriter, in *http.Request) {
	now := time.Now()
	q := &query{Request: r.Codec.Request(in), in: in, begun: now}
	if r.stopping.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	if f := r.admit(now, q); f != nil {
		r.refuse(w, q, f)
		return
	}
	if f := r.readBody(w, q); f != nil {
		r.refuse(w, q, f)
		return
	}
	if r.Crashes.marked(now, q) {
		r.refuse(w, q, notRun(codeCrashes, markedRetry))
		return
	}
	ctx, cancel := context.WithDeadline(in.Context(), q.deadline)
	defer cancel()
	r.numbers.begun(q)
	defer r.numbers.left(q)
	if q.route.Kind == route.Streaming {
		r.serveStream(ctx, w, q)
		return
	}
	r.serveCall(ctx, w, q)
}

// admit finds the route, the workspace and the deadline of a request, or refuses it.
func (r *Relay) admit(now time.Time, q *query) *Refusal {
	table, ok := TableKey.Get(r.Board)
	if !ok {
		return notRun(codeNoCatalogue, returnAfter(q.Patience))
	}
	q.table = table
	if q.route, ok = table.Match(q.in.Host, pathOf(q.in)); !ok {
		return &Refusal{Status: http.StatusNotFound, Code: codeNoRoute, Outcome: generation.NotRun}
	}
	if table.NeedsKey(q.route) {
		if q.workspace, ok = table.Holder(q.Key); !ok {
			return &Refusal{Status: http.StatusUnauthorized, Code: codeKeyUnknown, Outcome: generation.NotRun}
		}
	}
	q.poolName = q.route.Pick(xxhash.Sum64String(q.ID))
	if q.pool = r.Targets.pool(q.poolName); q.pool == nil {
		return notRun(codeNoTarget, spreadRetry(startRetry))
	}
	if q.route.Kind == route.Streaming && r.stopping.Load() != nil {
		// It would probably not end within the grace, and another instance takes it at once.
		return notRun(codeStopping, stopRetry)
	}
	q.deadline = now.Add(patienceOf(q))
	return nil
}

// returnAfter returns when a caller may return to a deployment that is starting without its store.
//
// Outages last seconds and callers return once, so they are spread over the longest time that
// they accept.
func returnAfter(patience time.Duration) time.Duration {
	if patience <= 0 {
		return spreadRetry(startRetry)
	}
	longest := patience / acceptedPart
	return longest*3/5 + rand.N(longest*2/5+1)
}

// acceptedPart is the part of their remaining time, as a divisor, up to which callers accept to wait.
const acceptedPart = 3

// patienceOf returns how long the answer is waited for.
func patienceOf(q *query) time.Duration {
	d := q.Patience
	if d <= 0 {
		d = defaultPatience
	}
	if t := q.route.Timeout; t > 0 {
		d = min(d, t)
	}
	return d
}

// readBody reads the whole body, so that the request can be sent again.
func (r *Relay) readBody(w http.ResponseWriter, q *query) *Refusal {
	limit := q.table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	if n := q.in.ContentLength; n > 0 && n <= limit {
		q.body = make([]byte, 0, n+1)
	}
	var err error
	q.body, err = appendAll(q.body, http.MaxBytesReader(w, q.in.Body, limit))
	if err == nil {
		return nil
	}
	if large := (*http.MaxBytesError)(nil); errors.As(err, &large) {
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Code: codeBodyTooLarge, Outcome: generation.NotRun}
	}
	// The caller did not send its request whole and so waits for no answer.
	r.Log.Write(time.Now(), timeline.Event{Kind: "request_incomplete", Request: q.ID, Entry: q.route.Name, Outcome: string(generation.NotRun)})
	panic(http.ErrAbortHandler)
}

func appendAll(b []byte, in io.Reader) ([]byte, error) {
	for {
		if len(b) == cap(b) {
			b = append(b, 0)[:len(b)]
		}
		n, err := in.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
}

// pathOf returns the path as it was sent, without the query.
func pathOf(in *http.Request) string {
	target := targetOf(in)
	if i := strings.IndexByte(target, '?'); i >= 0 {
		return target[:i]
	}
	return target
}

// targetOf returns the request target as it was sent, without the scheme and host of its absolute form.
func targetOf(in *http.Request) string {
	t := in.RequestURI
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

// refuse gives the instance's own final answer and logs why.
func (r *Relay) refuse(w http.ResponseWriter, q *query, f *Refusal) {
	f.RequestID = q.ID
	r.numbers.refused(f)
	r.ended(q, string(f.Outcome), f.Code, f.Status)
	f.write(w, r.Codec)
}

// endKind returns the kind of a request's terminal event; status is 0 if no answer was completed.
func endKind(outcome, why string, status int) string {
	switch {
	case why == callerGone:
		return "request_abandoned"
	case outcome == string(generation.NotRun):
		return "request_refused"
	case status >= http.StatusInternalServerError || status == 0:
		return "request_failed"
	}
	return "request_finished"
}

// ended logs the terminal event of a request.
func (r *Relay) ended(q *query, outcome, why string, status int) {
	now := time.Now()
	ev := timeline.Event{
		Kind: endKind(outcome, why, status), Request: q.ID, Outcome: outcome, Why: why, Entry: entryOf(q), Workspace: workspaceOf(q),
		Inputs: []timeline.Input{
			{Name: "status", Value: int64(status)},
			{Name: "took_ms", Value: now.Sub(q.begun).Milliseconds()},
			{Name: "attempts", Value: int64(q.attempts)},
		},
	}
	if q.table != nil {
		ev.Revision = q.table.Version
	}
	r.Log.Write(now, ev)
}

func entryOf(q *query) string {
	if q.route == nil {
		return ""
	}
	return q.route.Name
}

func workspaceOf(q *query) string {
	if q.workspace == nil {
		return ""
	}
	return q.workspace.Name
}

// urgencyOf ranks a request at an engine; resumed work goes before new work.
func urgencyOf(q *query, resumed bool) int {
	priority := q.route.Priority
	if q.workspace != nil && q.workspace.Priority != nil {
		priority = *q.workspace.Priority
	}
	if resumed {
		return resumedUrgency
	}
	return min(max(freshUrgency+priority, freshUrgency), lowestUrgency)
}

const (
	// resumedUrgency lets a stream that lost its engine go on before new ones begin.
	resumedUrgency = 1
	// freshUrgency is the urgency of a route of the highest priority.
	freshUrgency  = 3
	lowestUrgency = 9
)
