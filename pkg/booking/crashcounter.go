package booking

import (
	"slices"
	"time"
)

// maxConsecutiveCrashes is the number of consecutive targets that a request may crash before it is
// refused: one or two may have crashed at the same time for unrelated reasons.
const maxConsecutiveCrashes = 3

// CrashCounter counts the consecutive crashes of targets that ran a request, and finds requests
// that crash every target. Set its exported field before the first call.
//
// A request counts as the cause only if its attempts crashed targets one after another and none
// finished in between: many requests with the same content may be lost when several targets crash
// at once.
type CrashCounter struct {
	// Retention is how long a crash counts.
	Retention time.Duration

	attempts map[string][]crashedAttempt
}

// crashedAttempt is an attempt to run a request whose target crashed.
type crashedAttempt struct {
	target    string
	startedAt time.Time
	crashedAt time.Time
}

// maxCrashedAttempts bounds the attempts kept of one request.
const maxCrashedAttempts = 32

// RecordCrash records that a target crashed while it ran a request since startedAt, and reports whether the request is
// refused from now on.
//
// Crashes may be recorded in any order. Several reports of one crash count once if they name its target.
func (c *CrashCounter) RecordCrash(crashedAt, startedAt time.Time, target, digest string) (marked bool) {
	c.dropExpired(crashedAt)
	if c.attempts == nil {
		c.attempts = map[string][]crashedAttempt{}
	}
	list := c.attempts[digest]
	if target != "" && slices.ContainsFunc(list, func(a crashedAttempt) bool {
		return a.target == target && a.crashedAt.Sub(crashedAt).Abs() < sameCrashWindow
	}) {
		return false
	}
	wasMarked := consecutiveCrashes(list) >= maxConsecutiveCrashes
	list = append(list, crashedAttempt{target, startedAt, crashedAt})
	slices.SortStableFunc(list, func(a, b crashedAttempt) int { return a.crashedAt.Compare(b.crashedAt) })
	list = list[max(len(list)-maxCrashedAttempts, 0):]
	c.attempts[digest] = list
	return !wasMarked && consecutiveCrashes(list) >= maxConsecutiveCrashes
}

// consecutiveCrashes returns the largest number of attempts that followed one another, from a list ordered by the times of
// the crashes.
func consecutiveCrashes(list []crashedAttempt) int {
	n, last := 0, time.Time{}
	for _, a := range list {
		if n == 0 || !a.startedAt.Before(last) {
			n, last = n+1, a.crashedAt
		}
	}
	return n
}

// RecordSuccess records that a target finished a request, and reports whether the request was
// suspected.
func (c *CrashCounter) RecordSuccess(digest string) bool {
	_, known := c.attempts[digest]
	delete(c.attempts, digest)
	return known
}

// IsMarked reports whether a request must be refused.
func (c *CrashCounter) IsMarked(now time.Time, digest string) bool {
	c.dropExpired(now)
	return consecutiveCrashes(c.attempts[digest]) >= maxConsecutiveCrashes
}

// Empty reports whether no request is suspected.
func (c *CrashCounter) Empty() bool { return len(c.attempts) == 0 }

func (c *CrashCounter) dropExpired(now time.Time) {
	for digest, list := range c.attempts {
		if now.Sub(list[len(list)-1].crashedAt) > c.Retention {
			delete(c.attempts, digest)
		}
	}
}
