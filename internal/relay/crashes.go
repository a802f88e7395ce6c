package relay

import (
	"context"
	"encoding/json"
	"io"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/tunnel"
	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// crashRetention is how long a crash counts against a request: one that is repeated by a schedule may come back once in some minutes.
	crashRetention = 2 * time.Hour
	// minMarkedRetryAfter is the minimum Retry-After of a refusal because of crashes, which otherwise names the next trial.
	minMarkedRetryAfter = 30 * time.Second
)

// CrashTracker tracks which requests, and which parts of prompts, crash the targets that run them, at this
// instance and at others; set its exported fields before the first request.
type CrashTracker struct {
	// Log and Metrics receive the parts that are refused; they may be nil.
	Log     *timeline.Writer
	Metrics *metrics.Set
	// Broadcast sends a message to the other instances; it may be nil.
	Broadcast func(data []byte) bool
	// Instances returns the number of instances, and Rank the rank of this one in an order of all that depends on a key, from 0, or -1
	// if it is not listed; if they are nil, there is no other one.
	Instances func() int
	Rank      func(key string) int

	mu      sync.Mutex
	counter booking.CrashCounter
	parts   partMarks
	// unconfirmed holds losses at targets that may have crashed, and confirmed the latest verdicts on own ones.
	unconfirmed booking.UnconfirmedCrashes
	confirmed   []confirmedReport
	// pools holds the targets that are listed, and targets the same by their addresses, or nil until it is needed.
	pools   map[string][]route.Target
	targets map[netip.AddrPort][]listedTarget
	// refusalReports holds when this instance last reported that it refuses a request.
	refusalReports map[string]time.Time
	// ownTrials holds the digests of requests whose trials this instance began within markRepeatTime.
	ownTrials []string
}

// crashMessage notifies other instances of a crash, of answers that clear requests or parts, or of marks.
type crashMessage struct {
	// Digest identifies the request that was lost, or served if Served is set.
	Digest string `json:"digest,omitempty"`
	// AgeMillis is the time since the crash, AttemptAgeMillis the time since the attempt began.
	AgeMillis        int64 `json:"age_ms,omitempty"`
	AttemptAgeMillis int64 `json:"begun_ms,omitempty"`
	Served           bool  `json:"served,omitempty"`
	// Certain is set if the crash counts against the request, and not only against its parts.
	Certain bool `json:"certain,omitempty"`
	// Target is the incarnation that crashed, and Parts the parts of the prompt if they may be the cause.
	Target string   `json:"target,omitempty"`
	Parts  []string `json:"parts,omitempty"`
	// ServedParts holds the time since the last answer to a request with a part began, in milliseconds.
	ServedParts map[string]int64 `json:"served_parts,omitempty"`
	Marks       []markMessage    `json:"marks,omitempty"`
	// trialMessage holds the trials of the request with Digest, if it is refused.
	trialMessage
	// Answers holds answers of the sender that went on.
	Answers []answerMessage `json:"answers,omitempty"`
	// Unconfirmed is set if Target may not have crashed. Builds that do not know it ignore the message.
	Unconfirmed *unconfirmedMessage `json:"unconfirmed,omitempty"`
}

// unconfirmedMessage holds what is known of a loss beside the fields of its crashMessage.
type unconfirmedMessage struct {
	Address netip.AddrPort `json:"address"`
	Refused bool           `json:"refused,omitempty"`
	Parts   []string       `json:"parts,omitempty"`
}

// answerMessage is an answer that went on: the time since it began, and the parts of the prompt that other requests may share.
type answerMessage struct {
	BegunMillis int64    `json:"begun_ms"`
	Parts       []string `json:"parts,omitempty"`
}

// Validate reports whether an answer can be used.
func (m *answerMessage) Validate() error {
	if m.BegunMillis < 0 || m.BegunMillis > maxReportAge.Milliseconds() || len(m.Parts) > maxReportedParts {
		return &CrashMessageError{Field: "answers"}
	}
	return nil
}

// Validate reports whether a message can be used.
func (m *crashMessage) Validate() error {
	if m.Digest != "" && (m.AgeMillis < 0 || m.AttemptAgeMillis < m.AgeMillis || m.AttemptAgeMillis > maxReportAge.Milliseconds()) {
		return &CrashMessageError{Field: "begun_ms"}
	}
	if len(m.Parts) > maxReportedParts || m.Unconfirmed != nil && len(m.Unconfirmed.Parts) > maxReportedParts {
		return &CrashMessageError{Field: "parts"}
	}
	for _, age := range m.ServedParts {
		if age < 0 || age > maxReportAge.Milliseconds() {
			return &CrashMessageError{Field: "served_parts"}
		}
	}
	for i := range m.Answers {
		if err := m.Answers[i].Validate(); err != nil {
			return err
		}
	}
	for i := range m.Marks {
		if err := m.Marks[i].Validate(); err != nil {
			return err
		}
	}
	return nil
}

// CrashMessageError reports which field of a crash message can't be used.
type CrashMessageError struct{ Field string }

func (e *CrashMessageError) Error() string { return "crash message: " + e.Field }

// digest identifies a request by its API key, host, method, request target and body, which has been read.
func (req *callerRequest) digest() string {
	req.digestOnce.Do(func() {
		h := xxhash.New()
		for _, part := range []string{req.APIKey, req.http.Host, req.http.Method, requestTarget(req.http)} {
			_, _ = h.WriteString(part + "\n")
		}
		_, _ = h.Write(req.body)
		req.contentDigest = strconv.FormatUint(h.Sum64(), 16)
	})
	return req.contentDigest
}

// isMarked reports whether a request is refused because it or a part of its prompt crashes targets.
func (c *CrashTracker) isMarked(now time.Time, req *callerRequest) bool {
	return c.refusal(now, req) != nil
}

// refusal returns the refusal of a request that crashes targets, or whose prompt has a part that does, or
// nil.
func (c *CrashTracker) refusal(now time.Time, req *callerRequest) *Refusal {
	if req.trial.Load() == trialAdmitted {
		return nil
	}
	if refusal := c.partRefusal(now, req); refusal != nil {
		return refusal
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counter.Empty() || !c.counter.IsMarked(now, req.digest()) {
		return nil
	}
	return notRunRefusal(codeCrashes, max(c.counter.NextTrial(req.digest()).Sub(now), minMarkedRetryAfter))
}

// recordCrash records a crash and reports whether it marks the request.
func (c *CrashTracker) recordCrash(crashedAt, attemptStartedAt time.Time, target, digest string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counter.Retention = crashRetention
	return c.counter.RecordCrash(crashedAt, attemptStartedAt, target, digest)
}

// recordServed clears a request that a target has run to its end.
func (c *CrashTracker) recordServed(req *callerRequest) {
	suspected := false
	withLock(&c.mu, func() { suspected = !c.counter.Empty() && c.counter.RecordSuccess(req.digest()) })
	if suspected {
		c.broadcast(&crashMessage{Digest: req.digest(), Served: true})
	}
}

func (c *CrashTracker) broadcast(message *crashMessage) {
	if data, err := json.Marshal(message); err == nil && c.Broadcast != nil {
		c.Broadcast(data)
	}
}

// HandleMessage processes a message from another instance.
func (c *CrashTracker) HandleMessage(now time.Time, data []byte) {
	message := crashMessage{}
	if json.Unmarshal(data, &message) != nil || message.Validate() != nil {
		return
	}
	switch {
	case message.Digest == "":
	case message.Served:
		c.mu.Lock()
		c.counter.RecordSuccess(message.Digest)
		c.mu.Unlock()
	case message.Trials > 0:
		c.mu.Lock()
		c.counter.RecordTrials(message.Digest, message.trials(now))
		c.mu.Unlock()
	case message.Unconfirmed != nil:
		c.recordUnconfirmed(now, booking.UnconfirmedCrash{
			Target: message.Target, Address: message.Unconfirmed.Address, Refused: message.Unconfirmed.Refused, Request: message.Digest, Parts: message.Unconfirmed.Parts,
			LostAt: millisBefore(now, message.AgeMillis), StartedAt: millisBefore(now, message.AttemptAgeMillis),
		})
	case message.Certain:
		c.recordCrash(millisBefore(now, message.AgeMillis), millisBefore(now, message.AttemptAgeMillis), message.Target, message.Digest)
	}
	c.applyParts(now, &message)
}

// millisBefore returns the time some milliseconds before now.
func millisBefore(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

// crashCheckTimeout bounds the check of a target that has lost a request: a direct connection, and two of each instance
// that is asked to confirm its failure.
const crashCheckTimeout = dialTimeout + 2*confirmingCarriers*carriedDialTimeout

// checkForCrash checks whether a target that lost a request has crashed, and counts the crash
// against the request.
func (r *Relay) checkForCrash(a *attempt) {
	lostAt := time.Now()
	r.startProbe(func() {
		ctx, cancel := context.WithTimeout(r.probeContext, crashCheckTimeout)
		defer cancel()
		conn, err := r.reconnect(ctx, a.target)
		if err == nil {
			r.targetConns.put(time.Now(), conn, 0)
			if len(a.suspectParts(lostAt)) > 0 {
				// Something else may accept connections at the address, or the target's next incarnation.
				err = r.checkIncarnation(ctx, a)
			}
		}
		r.logCrashCheck(time.Now(), a, lostAt, err)
		if err != nil && !isCrash(err) {
			r.recordUnconfirmed(time.Now(), a, lostAt, isRefusal(err))
		}
		if !isCrash(err) {
			return
		}
		digest := a.req.digest()
		// A target that closes new connections may only be overloaded, which excuses a single request.
		if isCertainCrash(err) && r.Crashes.recordCrash(lostAt, a.startedAt, a.target.ID, digest) {
			r.Log.Write(time.Now(), timeline.Event{Kind: "request_marked", Request: a.req.ID, Target: a.target.ID, Decision: "refuse", Why: codeCrashes})
		}
		message := crashMessage{Digest: digest, Certain: isCertainCrash(err), Target: a.target.ID}
		if parts := a.suspectParts(lostAt); len(parts) > 0 && r.Crashes.recordPartCrash(time.Now(), booking.PartCrash{Target: a.target.ID, At: lostAt, Request: digest, Parts: parts}) {
			message.Parts = parts
		}
		r.reportCrash(a, lostAt, &message)
	})
}

// reportCrash broadcasts a message on a crash several times.
func (r *Relay) reportCrash(a *attempt, lostAt time.Time, message *crashMessage) {
	for _, pause := range crashReportPauses {
		if !sleepFor(r.probeContext, pause) {
			return
		}
		now := time.Now()
		message.AgeMillis, message.AttemptAgeMillis = now.Sub(lostAt).Milliseconds(), now.Sub(a.startedAt).Milliseconds()
		r.Crashes.broadcast(message)
	}
}

// UnconfirmedRefusalError reports that a target refuses connections from this instance, and that no other one has
// confirmed it: the links of this instance may be cut.
type UnconfirmedRefusalError struct{ Err error }

func (e *UnconfirmedRefusalError) Error() string { return "not confirmed: " + e.Err.Error() }

// isRefusal reports whether the result of a new connection is a refusal, which may not be the target's own.
func isRefusal(err error) bool {
	unconfirmed := (*UnconfirmedRefusalError)(nil)
	return errors.As(err, &unconfirmed) && errors.Is(unconfirmed.Err, syscall.ECONNREFUSED)
}

// PathLostError reports that the direct path to a target is lost.
type PathLostError struct{ Target string }

func (e *PathLostError) Error() string { return "direct path to " + e.Target + " is lost" }

// reconnect connects to a target that has lost a request. A refusal counts only if another instance whose links are
// sound gets it as well, as far as there are others.
func (r *Relay) reconnect(ctx context.Context, t route.Target) (*conn, error) {
	if !r.Links.lostSince(t).IsZero() {
		return r.confirmRefusal(ctx, t, &PathLostError{Target: t.ID})
	}
	directCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := r.targetConns.dialDirect(directCtx, t)
	switch {
	case err == nil:
		return newConn(c, t, r.Links, ""), nil
	case errors.Is(err, syscall.ECONNREFUSED) && r.Links.mayCarry():
		return r.confirmRefusal(ctx, t, err)
	}
	return nil, err
}

// confirmRefusal connects to a target through up to two other instances, one after another.
func (r *Relay) confirmRefusal(ctx context.Context, t route.Target, refusal error) (*conn, error) {
	var asked []string
	confirmed := false
	for range confirmingCarriers {
		carrier, ok := r.Links.chooseCarrier(time.Now(), t.Pool, asked)
		if !ok {
			break
		}
		asked = append(asked, carrier.Name)
		c, err := r.Links.dialCarried(ctx, carrier, t, true)
		if err == nil {
			return newConn(c, t, r.Links, carrier.Name), nil
		}
		refused := (*tunnel.ResultError)(nil)
		confirmed = confirmed || errors.As(err, &refused) && refused.Result == tunnel.TargetRefused
	}
	if confirmed {
		return nil, syscall.ECONNREFUSED
	}
	return nil, &UnconfirmedRefusalError{Err: refusal}
}

// confirmingCarriers is the number of instances that are asked to confirm a refusal.
const confirmingCarriers = 2

// crashReportPauses are the pauses before a crash is reported to the other instances and reported again,
// since datagrams are lost.
var crashReportPauses = []time.Duration{0, 300 * time.Millisecond, time.Second}

// sleepFor waits for a time and reports whether it has passed before ctx ended.
func sleepFor(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ReplacedError reports that another incarnation than the expected one is at a target's address.
type ReplacedError struct{ Incarnation string }

func (e *ReplacedError) Error() string { return "the address is that of " + e.Incarnation }

// checkIncarnation checks by a health request which incarnation is at the address of a target that has lost a
// request.
func (r *Relay) checkIncarnation(ctx context.Context, a *attempt) error {
	if a.req.pool.healthCheckPath() == "" {
		return nil
	}
	a.req.pool.countProbe(time.Now(), a.target)
	id, err := r.incarnationAt(ctx, a.req.pool, a.target)
	if err == nil && id != "" && id != a.target.ID {
		return &ReplacedError{Incarnation: id}
	}
	return err
}

// isCrash reports whether the result of a new connection to a target that has lost a request means that the
// target has crashed.
func isCrash(err error) bool {
	return isCertainCrash(err) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// isCertainCrash reports whether nothing else than a crash explains the result.
func isCertainCrash(err error) bool {
	replaced := (*ReplacedError)(nil)
	return errors.As(err, &replaced) || errors.Is(err, syscall.ECONNREFUSED)
}

// logCrashCheck logs what a new connection to a target that lost a request has shown.
func (r *Relay) logCrashCheck(now time.Time, a *attempt, lostAt time.Time, err error) {
	kind, why, replaced := "target_crashed", "connection_refused", (*ReplacedError)(nil)
	switch {
	case err == nil:
		kind, why = "target_crash_unlikely", "connection_accepted"
	case errors.As(err, &replaced):
		why = "other_incarnation"
	case !isCrash(err):
		kind, why = "target_crash_uncertain", "no_connection"
	case !errors.Is(err, syscall.ECONNREFUSED):
		why = "connection_closed"
	}
	r.instruments.recordCrashCheck(why)
	r.Log.Write(now, timeline.Event{
		Kind: kind, Request: a.req.ID, Target: a.target.ID, Attempt: a.number, Why: why, Entry: a.req.route.Name,
		Inputs: []timeline.Input{
			{Name: "lost_ms", Value: now.Sub(lostAt).Milliseconds()},
			{Name: "begun_ms", Value: now.Sub(a.startedAt).Milliseconds()},
			{Name: "events", Value: int64(a.eventCount)},
		},
	})
}
