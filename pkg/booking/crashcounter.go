package booking

import "time"

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

	counts map[string]crashCount
}

type crashCount struct {
	crashes   int
	lastCrash time.Time
}

// RecordCrash records that a target crashed while it ran a request since startedAt, and reports
// whether the request is refused from now on.
func (c *CrashCounter) RecordCrash(now, startedAt time.Time, digest string) (marked bool) {
	c.dropExpired(now)
	if c.counts == nil {
		c.counts = map[string]crashCount{}
	}
	count, known := c.counts[digest]
	if known && startedAt.Before(count.lastCrash) {
		return false
	}
	count.crashes++
	count.lastCrash = now
	c.counts[digest] = count
	return count.crashes == maxConsecutiveCrashes
}

// RecordSuccess records that a target finished a request, and reports whether the request was
// suspected.
func (c *CrashCounter) RecordSuccess(digest string) bool {
	_, known := c.counts[digest]
	delete(c.counts, digest)
	return known
}

// IsMarked reports whether a request must be refused.
func (c *CrashCounter) IsMarked(now time.Time, digest string) bool {
	c.dropExpired(now)
	return c.counts[digest].crashes >= maxConsecutiveCrashes
}

// Empty reports whether no request is suspected.
func (c *CrashCounter) Empty() bool { return len(c.counts) == 0 }

func (c *CrashCounter) dropExpired(now time.Time) {
	for digest, count := range c.counts {
		if now.Sub(count.lastCrash) > c.Retention {
			delete(c.counts, digest)
		}
	}
}
