package server

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// IdempotencyKeyHeader identifies a call, so that a repeat of it is recognised.
	IdempotencyKeyHeader = "Idempotency-Key"
	// CallModeHeader tells the caller how its call was executed.
	CallModeHeader = "Bambooferry-Call"
	// TicketHeader carries a ticket to be used as Idempotency-Key.
	TicketHeader = "Bambooferry-Ticket"
	// OutcomeHeader is set to not_run by a target that did not run a call.
	OutcomeHeader = "Bambooferry-Outcome"
)

// The values of CallModeHeader.
const (
	modeRepeatable  = "repeatable"
	modeUnclaimed   = "unclaimed"
	modeClaimed     = "claimed"
	modeFirstAnswer = "first_answer"
	modeTicket      = "ticket"
)

var (
	callMethods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}
	// requestHeaders and responseHeaders list the headers that are passed on between caller and target.
	requestHeaders  = []string{"Accept", "Accept-Language", "Content-Encoding", "Content-Language", "Content-Type"}
	responseHeaders = []string{"Content-Disposition", "Content-Encoding", "Content-Language", "Content-Type", "Etag", "Location", "Retry-After"}
)

// call is a caller's request to a service entry.
type call struct {
	id        string
	now       time.Time
	workspace *catalogue.Workspace
	entry     *catalogue.Entry
	revision  int64
	deadline  time.Time
	method    string
	// path is the escaped path below the entry's own path.
	path   string
	query  string
	header []booking.Header
	body   []byte
	digest string
	key    string
}

// handleCall forwards an HTTP request to a target of a service entry and writes the target's response.
func (s *Server) handleCall(w http.ResponseWriter, r *request) error {
	c, err := s.parseCall(w, r)
	if err != nil {
		return err
	}
	if !c.repeatable() && s.mayOutlastStop(c.deadline) {
		// Another instance can run it to its end; what is cut here may have run, and must not be repeated.
		return leavingRefusal()
	}
	release, err := s.Admitter.Admit(r.Context(), Work{Entry: c.entry, Workspace: c.workspace, Deadline: c.deadline, Now: c.now, Request: c.id, CurrentVersion: func() string { return s.currentVersion(c) }})
	if err != nil {
		return err
	}
	var result *booking.Result
	mode := modeRepeatable
	if c.repeatable() {
		defer release()
		result, err = s.runRepeatable(r.Context(), c)
	} else {
		result, mode, err = s.runAtMostOnce(r.Context(), c, release)
	}
	w.Header().Set(CallModeHeader, mode)
	if err != nil {
		return err
	}
	return s.writeResult(w, r, c, mode, result)
}

// runAtMostOnce runs a call that must not run twice; release is called when the run has ended.
func (s *Server) runAtMostOnce(ctx context.Context, c *call, release func()) (*booking.Result, string, error) {
	switch {
	case c.key == "":
		// The run continues without its caller, since a target that has started the call completes it anyway.
		done := make(chan struct{})
		var result *booking.Result
		var err error
		s.calls.runInBackground(func() {
			defer release()
			defer close(done)
			result, err = s.dispatch(s.calls.baseContext(), c, nil)
		})
		select {
		case <-done:
			return result, modeUnclaimed, err
		case <-ctx.Done():
			return nil, modeUnclaimed, unknownOutcomeRefusal("caller_gone", false)
		}
	case strings.HasPrefix(c.key, booking.TicketPrefix):
		defer release()
		result, err := s.runWithTicket(ctx, c)
		return result, modeTicket, err
	default:
		return s.runWithKey(ctx, c, release)
	}
}

func (s *Server) parseCall(w http.ResponseWriter, r *request) (*call, error) {
	name := r.PathValue("entry")
	e := r.document.Entry(name)
	key := r.Header.Get(IdempotencyKeyHeader)
	switch {
	case e == nil || e.Kind != catalogue.Service:
		return nil, s.refuseUnknown(r.now, http.StatusNotFound, "unknown_entry", "the catalogue has no such service")
	case !slices.Contains(callMethods, r.Method):
		return nil, newRefusal(http.StatusMethodNotAllowed, "wrong_method", "calls are made with "+strings.Join(callMethods, ", "))
	case len(key) > booking.MaxTicketBytes || len(key) > booking.MaxKeyBytes && !strings.HasPrefix(key, booking.TicketPrefix):
		return nil, newRefusal(http.StatusBadRequest, "key_too_long", IdempotencyKeyHeader+" is longer than "+strconv.Itoa(booking.MaxKeyBytes)+" bytes")
	}
	deadline, err := r.deadline(e)
	if err != nil {
		return nil, err
	}
	out := http.NewResponseController(w)
	_ = out.SetReadDeadline(r.now.Add(s.Limits.UploadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.Limits.BodyBytes))
	if err != nil {
		return nil, closeAfterRefusal(newRefusal(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than the entry allows or came too slowly"))
	}
	_ = out.SetReadDeadline(time.Time{})
	c := &call{
		id: r.id, now: r.now, workspace: r.workspace, entry: e, revision: r.document.Revision, deadline: deadline, method: r.Method,
		path: strings.TrimPrefix(r.URL.EscapedPath(), "/call/"+name), query: r.URL.RawQuery, body: body, key: key,
		header: selectHeaders(r.Header, requestHeaders),
	}
	c.digest = booking.CallDigest(c.method, c.path, c.query, r.Header.Get("Content-Type"), body)
	return c, nil
}

func selectHeaders(h http.Header, names []string) []booking.Header {
	var list []booking.Header
	for _, n := range names {
		if v := h.Get(n); v != "" {
			list = append(list, booking.Header{Name: n, Value: v})
		}
	}
	return list
}

// repeatable reports whether the call may be sent again when its outcome is unknown.
func (c *call) repeatable() bool {
	if c.method == http.MethodGet || c.method == http.MethodHead {
		return true
	}
	return slices.ContainsFunc(c.entry.Repeatable, func(p catalogue.RepeatableCall) bool {
		rest, ok := strings.CutPrefix(c.path, strings.TrimSuffix(p.Path, "/"))
		return p.Method == c.method && ok && (rest == "" || rest[0] == '/')
	})
}

func resultOutcome(r *booking.Result) generation.Outcome {
	if r.Lost != "" {
		return generation.Unknown
	}
	return generation.Ran
}

// writeResult writes a target's response, or returns a refusal that states why there is none.
func (s *Server) writeResult(w http.ResponseWriter, req *request, c *call, mode string, r *booking.Result) error {
	switch {
	case r.Lost != "":
		// A repeat with the same key cannot run the call again, but cannot learn more either.
		return unknownOutcomeRefusal(r.Lost, false)
	case r.Omitted:
		f := newRefusal(http.StatusBadGateway, "answer_not_kept", "the call ran; its answer was too large to be kept for a repeat")
		f.Outcome = generation.Ran
		return f
	}
	s.writeTerminalEvent(req, timeline.Event{Kind: "call_answered", Entry: c.entry.Name, Decision: mode, Outcome: string(generation.Ran)})
	for _, h := range r.Header {
		w.Header().Set(h.Name, h.Value)
	}
	w.Header().Set(OutcomeHeader, string(generation.Ran))
	w.WriteHeader(r.Status)
	if c.method != http.MethodHead {
		_, _ = w.Write(r.Body)
	}
	return nil
}

// unknownOutcomeRefusal returns the refusal of a call that may have run; retry is set if a later repeat may learn more.
func unknownOutcomeRefusal(code string, retry bool) *Refusal {
	f := newRefusal(http.StatusBadGateway, code, unknownOutcomeMessages[code])
	f.Outcome = generation.Unknown
	if code == "deadline" || code == "still_running" {
		f.Status = http.StatusGatewayTimeout
	}
	if retry {
		return f.retryAfter(time.Second)
	}
	return f
}

var unknownOutcomeMessages = map[string]string{
	"answer_lost":               "the connection to the target was lost after the call was sent; it may have run",
	"target_crashed":            "the target crashed with the call; it may have run",
	"deadline":                  "the deadline passed after the call was sent; it may have run",
	"caller_gone":               "the caller closed its connection",
	"still_running":             "the first call with this key has not ended; repeat it to get its answer",
	"claimant_gone":             "the instance that sent the call is gone and recorded no answer; it may have run",
	"claimant_unreachable":      "the instance that sent the call cannot be reached; repeat it to get its answer",
	"ticket_holder_gone":        "the instance that gave the ticket is gone; the call may have run",
	"ticket_holder_unreachable": "the instance that gave the ticket cannot be reached; repeat the call with the same ticket",
	"ticket_expired":            "the ticket is too old to tell whether its call ran",
}

func crashesTargetsRefusal() *Refusal {
	return newRefusal(http.StatusUnprocessableEntity, "crashes_targets", "requests with this content crashed two targets; it is not sent to another")
}

func (s *Server) writeCallEvent(c *call, ev timeline.Event) {
	ev.Request, ev.Workspace, ev.Entry, ev.Revision = c.id, c.workspace.Name, c.entry.Name, c.revision
	s.Events.Write(time.Now(), ev)
}

// callRefusal returns the refusal that an error wraps, or one with an unknown outcome.
func callRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return unknownOutcomeRefusal("answer_lost", false)
}
