package route

import (
	"math"
	"time"
)

const (
	// MaxRateLimit bounds the limits that are applied, in requests a second; higher ones do not limit.
	MaxRateLimit = 1e6
	// lowestRate is the number of requests a second that all instances together send to a target with a lower
	// limit, since only its answers say when the limit ends.
	lowestRate = 0.2
	// extraUsers is the number of instances that may use a target in addition to one for each request a second.
	extraUsers = 1
	// burstRequests and burstTime bound what an instance may save up: a number of requests, and what it may send
	// in a time.
	burstRequests = 1.5
	burstTime     = 500 * time.Millisecond
	// limitReportWindow is how long a statement is reported to other instances, since datagrams are lost.
	limitReportWindow = 3 * time.Second
	// limitReportError bounds the error of the age of another instance's report.
	limitReportError = 50 * time.Millisecond
)

// RateStatement is what a target's answer says about the requests that it takes from all instances together.
type RateStatement struct {
	// PerSecond is the limit, if Limited is set.
	PerSecond float64
	Limited   bool
	// HeardAt is when the answer was received.
	HeardAt time.Time
}

// RateLimits bounds the requests to targets that have named a limit for all instances together. Its zero
// value is ready for use; its owner guards it.
//
// The instances that use a limited target are few, so that each one has a rate that is of use, and each of
// them sends at an equal share of the limit. What one of them does not use is lost, since it can't be known
// at once how much that is.
type RateLimits struct {
	targets map[string]*targetLimit
}

// targetLimit is what is known of the limit of one incarnation.
type targetLimit struct {
	RateStatement
	startedAt time.Time
	// local is set if the statement was made to this instance.
	local bool
	// tokens is the number of requests that this instance may send, as of updatedAt.
	tokens    float64
	updatedAt time.Time
	rate      float64
}

// Users returns how many of some instances use a target with a limit.
func Users(perSecond float64, instances int) int {
	return max(1, min(instances, int(min(perSecond, MaxRateLimit))+extraUsers))
}

// MeanInterval returns the mean time between two requests to a target with a limit.
func MeanInterval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / min(max(perSecond, lowestRate), MaxRateLimit))
}

// shareOf returns the requests a second that each user of a target may send.
func shareOf(perSecond float64, instances int) float64 {
	return max(perSecond, lowestRate) / float64(Users(perSecond, instances))
}

// Record records a statement of a target, to this instance if local is set, and reports whether it changes
// the limit. The newest statement of the latest incarnation holds.
func (l *RateLimits) Record(t Target, s RateStatement, local bool) bool {
	old := l.targets[t.ID]
	if old != nil && (old.startedAt.After(t.StartedAt) || old.startedAt.Equal(t.StartedAt) && !isNewer(s.HeardAt, old.HeardAt, local)) {
		return false
	}
	if s.PerSecond > MaxRateLimit {
		s.Limited = false
	}
	known := old != nil && old.startedAt.Equal(t.StartedAt)
	if !s.Limited && (!known || !old.Limited) {
		return false
	}
	if l.targets == nil {
		l.targets = map[string]*targetLimit{}
	}
	next := &targetLimit{RateStatement: s, startedAt: t.StartedAt, local: local, updatedAt: s.HeardAt}
	if known && (old.Limited || !s.Limited) {
		next.tokens, next.updatedAt, next.rate = old.tokens, old.updatedAt, old.rate
	}
	l.targets[t.ID] = next
	return !known || old.Limited != s.Limited || old.PerSecond != s.PerSecond
}

// isNewer reports whether a statement follows another one. The age of another instance's is not exact.
func isNewer(at, other time.Time, local bool) bool {
	if local {
		return !at.Before(other)
	}
	return at.Sub(other) > limitReportError
}

// Limit returns the limit of a target, if it has named one.
func (l *RateLimits) Limit(t Target) (perSecond float64, ok bool) {
	s := l.targets[t.ID]
	if s == nil || !s.Limited || t.StartedAt.After(s.startedAt) {
		return 0, false
	}
	return s.PerSecond, true
}

// Wait returns how long this instance, which is a user of the target, must wait before it may send it a
// request.
func (l *RateLimits) Wait(now time.Time, t Target, instances int) time.Duration {
	if _, ok := l.Limit(t); !ok {
		return 0
	}
	s := l.targets[t.ID]
	s.refill(now, instances)
	if s.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - s.tokens) / s.rate * float64(time.Second))
}

// Take counts a request that is sent to a target.
func (l *RateLimits) Take(now time.Time, t Target, instances int) {
	if _, ok := l.Limit(t); ok {
		s := l.targets[t.ID]
		s.refill(now, instances)
		s.tokens--
	}
}

// refill adds the requests that have become possible since the last call.
func (s *targetLimit) refill(now time.Time, instances int) {
	s.rate = shareOf(s.PerSecond, instances)
	if passed := now.Sub(s.updatedAt); passed > 0 {
		most := burstRequests + s.rate*burstTime.Seconds()
		s.tokens = min(s.tokens+s.rate*passed.Seconds(), max(most, s.tokens))
		s.updatedAt = now
	}
}

// Recent returns the statements that were made to this instance a short time ago, by target.
func (l *RateLimits) Recent(now time.Time) map[string]RateStatement {
	var out map[string]RateStatement
	for id, s := range l.targets {
		if s.local && now.Sub(s.HeardAt) < limitReportWindow {
			if out == nil {
				out = map[string]RateStatement{}
			}
			out[id] = s.RateStatement
		}
	}
	return out
}

// Retain drops the limits of targets that are not listed, and those that have ended.
func (l *RateLimits) Retain(now time.Time, listed []Target) {
	ids := make(map[string]bool, len(listed))
	for i := range listed {
		ids[listed[i].ID] = true
	}
	for id, s := range l.targets {
		if age := now.Sub(s.HeardAt); !ids[id] && age > availabilityTTL || !s.Limited && age > limitReportWindow {
			delete(l.targets, id)
		}
	}
}

// ValidRateLimit reports whether a number can be a limit.
func ValidRateLimit(perSecond float64) bool {
	return !math.IsNaN(perSecond) && !math.IsInf(perSecond, 0) && perSecond >= 0
}
