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
	// crashLife is how long a crash counts against a request; its caller repeats it within seconds.
	crashLife = 30 * time.Second
	// markedRetry is when a caller may come again with a request that crashes targets.
	markedRetry = crashLife
)

// Crashes knows which requests crash the targets that run them, at this instance and at others; set
// its exported field before the first request.
type Crashes struct {
	// Tell sends a message to the other instances; it may be nil.
	Tell func(data []byte) bool

	mu     sync.Mutex
	chains booking.CrashCounter
}

// crashNews tells other instances of a crash, or that a suspected request was served.
type crashNews struct {
	Digest string `json:"digest"`
	// AgeMillis and BegunMillis are the times since the crash and since the attempt began.
	AgeMillis   int64 `json:"age_ms,omitempty"`
	BegunMillis int64 `json:"begun_ms,omitempty"`
	Served      bool  `json:"served,omitempty"`
}

// digest identifies a request by its caller, path and body.
func (q *query) digest() string {
	h := xxhash.New()
	for _, part := range []string{q.Key, q.in.Host, q.in.Method, targetOf(q.in)} {
		_, _ = h.WriteString(part + "\n")
	}
	_, _ = h.Write(q.body)
	return strconv.FormatUint(h.Sum64(), 16)
}

// marked reports whether a request is refused because it crashes targets.
func (c *Crashes) marked(now time.Time, q *query) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.chains.Empty() && c.chains.IsMarked(now, q.digest())
}

// crashed takes in a crash and reports whether it marks the request.
func (c *Crashes) crashed(now, begun time.Time, digest string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chains.Retention = crashLife
	return c.chains.RecordCrash(now, begun, digest)
}

// served clears a request that a target ran to its end.
func (c *Crashes) served(q *query) {
	c.mu.Lock()
	suspected := !c.chains.Empty() && c.chains.RecordSuccess(q.digest())
	c.mu.Unlock()
	if suspected {
		c.tell(crashNews{Digest: q.digest(), Served: true})
	}
}

func (c *Crashes) tell(n crashNews) {
	if data, err := json.Marshal(n); err == nil && c.Tell != nil {
		c.Tell(data)
	}
}

// Receive takes a message of another instance.
func (c *Crashes) Receive(now time.Time, data []byte) {
	n := crashNews{}
	if json.Unmarshal(data, &n) != nil || n.Digest == "" || n.AgeMillis < 0 || n.BegunMillis < n.AgeMillis {
		return
	}
	if n.Served {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.chains.RecordSuccess(n.Digest)
		return
	}
	c.crashed(now.Add(-time.Duration(n.AgeMillis)*time.Millisecond), now.Add(-time.Duration(n.BegunMillis)*time.Millisecond), n.Digest)
}

// suspect looks whether a target that lost a request has crashed, and counts it against the request.
func (r *Relay) suspect(s *sending) {
	at := time.Now()
	r.search(func() {
		ctx, cancel := context.WithTimeout(r.background, dialTimeout)
		defer cancel()
		conn, err := r.conns.dial(ctx, s.target.Address)
		if err == nil {
			// Only the connection was lost.
			r.conns.put(time.Now(), conn, 0)
			return
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		digest := s.q.digest()
		marked := r.Crashes.crashed(at, s.begun, digest)
		r.Crashes.tell(crashNews{Digest: digest, AgeMillis: time.Since(at).Milliseconds(), BegunMillis: time.Since(s.begun).Milliseconds()})
		if marked {
			r.Log.Write(time.Now(), timeline.Event{Kind: "request_marked", Request: s.q.ID, Target: s.target.ID, Decision: "refuse", Why: codeCrashes})
		}
	})
}
