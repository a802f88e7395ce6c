package timeline

import (
	"cmp"
	"sync"
	"time"
)

// Stamp is a time of a hybrid logical clock: wall time with a counter that orders what it cannot tell apart.
type Stamp struct {
	Wall    int64 `json:"wall"`
	Logical int64 `json:"logical"`
}

// Before reports whether s is earlier than o.
func (s Stamp) Before(o Stamp) bool {
	return s.Wall < o.Wall || s.Wall == o.Wall && s.Logical < o.Logical
}

// Compare orders stamps: below 0 when s is earlier than o, above 0 when it is later.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Logical, o.Logical))
}

// Clock is a hybrid logical clock; its zero value is ready for use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp later than any that the clock has given or seen.
func (c *Clock) Now(now time.Time) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := now.UnixNano(); w > c.last.Wall {
		c.last = Stamp{Wall: w}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Observe takes in a stamp from another process, so that later stamps come after it.
//
// It reports false for a stamp more than MaxSkew ahead of now, which is not taken.
func (c *Clock) Observe(now time.Time, s Stamp) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A stamp from far ahead would drag all clocks with it.
	if s.Wall > now.Add(MaxSkew).UnixNano() {
		return false
	}
	if c.last.Before(s) {
		c.last = s
	}
	return true
}

// MaxSkew is how far ahead of the local clock a stamp from another process may be.
const MaxSkew = 5 * time.Second
