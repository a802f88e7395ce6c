package booking

import "time"

// crashesAllowed is the number of targets in a row that a request may crash before it is refused:
// one or two may have crashed beside it for reasons of their own.
const crashesAllowed = 3

// CrashCounter tells which requests crash each target that runs them; set its exported field before
// the first call.
//
// A request is taken for the cause only if its attempts crashed targets one after another and none
// ended in between: many requests with one content may be lost when several targets crash at once.
type CrashCounter struct {
	// Retention is how long a crash counts.
	Retention time.Duration

	chains map[string]chain
}

type chain struct {
	crashes int
	last    time.Time
}

// RecordCrash notes that a target crashed while it ran a request since begun, and reports whether the
// request is refused from now on.
func (c *CrashCounter) RecordCrash(now, begun time.Time, digest string) (marked bool) {
	c.forget(now)
	if c.chains == nil {
		c.chains = map[string]chain{}
	}
	k, known := c.chains[digest]
	if known && begun.Before(k.last) {
		return false
	}
	k.crashes++
	k.last = now
	c.chains[digest] = k
	return k.crashes == crashesAllowed
}

// RecordSuccess notes that a target ran a request to its end, and reports whether it was suspected.
func (c *CrashCounter) RecordSuccess(digest string) bool {
	_, known := c.chains[digest]
	delete(c.chains, digest)
	return known
}

// IsMarked reports whether a request is refused.
func (c *CrashCounter) IsMarked(now time.Time, digest string) bool {
	c.forget(now)
	return c.chains[digest].crashes >= crashesAllowed
}

// Empty reports whether no request is suspected.
func (c *CrashCounter) Empty() bool { return len(c.chains) == 0 }

func (c *CrashCounter) forget(now time.Time) {
	for digest, k := range c.chains {
		if now.Sub(k.last) > c.Retention {
			delete(c.chains, digest)
		}
	}
}
