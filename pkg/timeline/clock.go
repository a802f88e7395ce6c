package timeline

import (
	"cmp"
	"sync"
	"time"
)

// Stamp is a time of a hybrid logical clock: wall time and a counter that orders events of equal wall time.
type Stamp struct {
	Wall    int64 `json:"wall"`
	Logical int64 `json:"logical"`
}

// Before reports whether s is earlier than o.
func (s Stamp) Before(o Stamp) bool {
	return s.Wall < o.Wall || s.Wall == o.Wall && s.Logical < o.Logical
}

// Compare compares two stamps: it is negative if s is earlier than o, and positive if it is later.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Logical, o.Logical))
}

// Clock is a hybrid logical clock; its zero value is ready for use.
type Clock struct {
	mu     sync.Mutex
	latest Stamp
}

// Now returns a stamp later than any that the clock has returned or observed.
func (c *Clock) Now(now time.Time) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := now.UnixNano(); w > c.latest.Wall {
		c.latest = Stamp{Wall: w}
	} else {
		c.latest.Logical++
	}
	return c.latest
}

// Observe advances the clock to a stamp from another process, so that later stamps come after it.
//
// It returns false for a stamp more than MaxSkew ahead of now, which is ignored.
func (c *Clock) Observe(now time.Time, s Stamp) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A stamp far in the future would move all clocks forward with it.
	if s.Wall > now.Add(MaxSkew).UnixNano() {
		return false
	}
	if c.latest.Before(s) {
		c.latest = s
	}
	return true
}

// MaxSkew is how far ahead of the local clock a stamp from another process may be.
const MaxSkew = 5 * time.Second
