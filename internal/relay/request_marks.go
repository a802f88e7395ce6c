package relay

import (
	"slices"
	"strconv"
	"time"

	"bambooferry.example/bambooferry/pkg/booking"
)

// maxStoredRequests bounds the requests in the platform's store.
const maxStoredRequests = 256

// requestMark is a request that is refused since it crashes targets, in the platform's store.
type requestMark struct {
	Digest  string         `json:"digest"`
	Crashes []requestCrash `json:"crashes"`
	trialMessage
}

// requestCrash is a crash that counts against a request, with the times since it and since its attempt began.
type requestCrash struct {
	Target           string `json:"target"`
	AgeMillis        int64  `json:"age_ms"`
	AttemptAgeMillis int64  `json:"begun_ms"`
}

// Validate reports whether the mark can be used.
func (m *requestMark) Validate() error {
	bad := func(crash requestCrash) bool {
		return crash.Target == "" || crash.AgeMillis < 0 || crash.AttemptAgeMillis < crash.AgeMillis || crash.AttemptAgeMillis > maxReportAge.Milliseconds()
	}
	if m.Digest == "" || len(m.Digest) > maxPartBytes || len(m.Crashes) > booking.MaxCrashRequests || slices.ContainsFunc(m.Crashes, bad) {
		return &CrashMessageError{Field: "requests"}
	}
	return nil
}

// key identifies the mark by its trials.
func (m *requestMark) key() string { return "trials " + strconv.Itoa(m.Trials) }

// requestMarks returns the requests that are refused.
func (c *CrashTracker) requestMarks(now time.Time) []requestMark {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []requestMark{}
	for _, digest := range c.counter.Marked(now, maxStoredRequests) {
		m := requestMark{Digest: digest, trialMessage: newTrialMessage(now, c.counter.Trials(digest))}
		for _, crash := range c.counter.CountedCrashes(digest) {
			m.Crashes = append(m.Crashes, requestCrash{Target: crash.Target, AgeMillis: now.Sub(crash.At).Milliseconds(), AttemptAgeMillis: now.Sub(crash.StartedAt).Milliseconds()})
		}
		list = append(list, m)
	}
	return list
}

// applyStoredRequests applies the requests that were added to the platform's store, and ends the refusal of those that are
// gone from it.
func (c *CrashTracker) applyStoredRequests(now time.Time, added []requestMark, removed []string) {
	for i := range added {
		m := &added[i]
		for _, crash := range m.Crashes {
			c.recordCrash(millisBefore(now, crash.AgeMillis), millisBefore(now, crash.AttemptAgeMillis), crash.Target, m.Digest)
		}
		withLock(&c.mu, func() { c.counter.RecordTrials(m.Digest, m.trials(now)) })
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, digest := range removed {
		if c.counter.IsMarked(now, digest) {
			c.counter.RecordSuccess(digest)
		}
	}
}
