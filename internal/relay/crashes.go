package relay

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// crashRetention is how long a crash counts against a request; its caller repeats it within seconds.
	crashRetention = 30 * time.Second
	// markedRetryAfter is the time after which a caller may retry a request that crashes targets.
	markedRetryAfter = crashRetention
)

// CrashTracker tracks which requests crash the targets that run them, at this instance and at
// others; set its exported field before the first request.
type CrashTracker struct {
	// Broadcast sends a message to the other instances; it may be nil.
	Broadcast func(data []byte) bool

	mu      sync.Mutex
	counter booking.CrashCounter
}

// crashMessage notifies other instances of a crash, or that a suspected request was served.
type crashMessage struct {
	Digest string `json:"digest"`
	// AgeMillis is the time since the crash, AttemptAgeMillis the time since the attempt began.
	AgeMillis        int64 `json:"age_ms,omitempty"`
	AttemptAgeMillis int64 `json:"begun_ms,omitempty"`
	Served           bool  `json:"served,omitempty"`
}

// digest identifies a request by its API key, host, method, request target and body.
func (req *callerRequest) digest() string {
	h := xxhash.New()
	for _, part := range []string{req.APIKey, req.http.Host, req.http.Method, requestTarget(req.http)} {
		_, _ = h.WriteString(part + "\n")
	}
	_, _ = h.Write(req.body)
	return strconv.FormatUint(h.Sum64(), 16)
}

// isMarked reports whether a request is refused because it crashes targets.
func (c *CrashTracker) isMarked(now time.Time, req *callerRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.counter.Empty() && c.counter.IsMarked(now, req.digest())
}

// recordCrash records a crash and reports whether it marks the request.
func (c *CrashTracker) recordCrash(crashedAt, attemptStartedAt time.Time, digest string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counter.Retention = crashRetention
	return c.counter.RecordCrash(crashedAt, attemptStartedAt, digest)
}

// recordServed clears a request that a target has run to its end.
func (c *CrashTracker) recordServed(req *callerRequest) {
	c.mu.Lock()
	suspected := !c.counter.Empty() && c.counter.RecordSuccess(req.digest())
	c.mu.Unlock()
	if suspected {
		c.broadcast(crashMessage{Digest: req.digest(), Served: true})
	}
}

func (c *CrashTracker) broadcast(message crashMessage) {
	if data, err := json.Marshal(message); err == nil && c.Broadcast != nil {
		c.Broadcast(data)
	}
}

// HandleMessage processes a message from another instance.
func (c *CrashTracker) HandleMessage(now time.Time, data []byte) {
	message := crashMessage{}
	if json.Unmarshal(data, &message) != nil || message.Digest == "" || message.AgeMillis < 0 || message.AttemptAgeMillis < message.AgeMillis {
		return
	}
	if message.Served {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.counter.RecordSuccess(message.Digest)
		return
	}
	c.recordCrash(now.Add(-time.Duration(message.AgeMillis)*time.Millisecond), now.Add(-time.Duration(message.AttemptAgeMillis)*time.Millisecond), message.Digest)
}

// checkForCrash checks whether a target that lost a request has crashed, and counts the crash
// against the request.
func (r *Relay) checkForCrash(a *attempt) {
	lostAt := time.Now()
	r.startProbe(func() {
		ctx, cancel := context.WithTimeout(r.probeContext, dialTimeout)
		defer cancel()
		conn, err := r.targetConns.dial(ctx, a.target.Address)
		r.logCrashCheck(time.Now(), a, lostAt, err)
		if err == nil {
			// Only the connection was lost.
			r.targetConns.put(time.Now(), conn, 0)
			return
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		digest := a.req.digest()
		marked := r.Crashes.recordCrash(lostAt, a.startedAt, digest)
		r.Crashes.broadcast(crashMessage{Digest: digest, AgeMillis: time.Since(lostAt).Milliseconds(), AttemptAgeMillis: time.Since(a.startedAt).Milliseconds()})
		if marked {
			r.Log.Write(time.Now(), timeline.Event{Kind: "request_marked", Request: a.req.ID, Target: a.target.ID, Decision: "refuse", Why: codeCrashes})
		}
	})
}

// logCrashCheck logs what a new connection to a target that lost a request has shown.
func (r *Relay) logCrashCheck(now time.Time, a *attempt, lostAt time.Time, err error) {
	kind, why := "target_crashed", "connection_refused"
	switch {
	case err == nil:
		kind, why = "target_crash_unlikely", "connection_accepted"
	case !errors.Is(err, syscall.ECONNREFUSED):
		kind, why = "target_crash_uncertain", "no_connection"
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
