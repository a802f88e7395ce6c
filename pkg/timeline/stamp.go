package timeline

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// ClockHeader is the HTTP header that carries a stamp in a request or response between instances.
const ClockHeader = "Bambooferry-Clock"

const maxStampBytes = 2*20 + 1

// StampError is returned for a text that is not a stamp.
type StampError struct{ Text string }

func (e *StampError) Error() string { return fmt.Sprintf("%q is not a stamp", e.Text) }

// String returns the text form: nanoseconds of wall time, a dot and the counter.
func (s Stamp) String() string {
	return strconv.FormatInt(s.Wall, 10) + "." + strconv.FormatInt(s.Logical, 10)
}

// ParseStamp parses the text form of a stamp; any error is a *StampError.
func ParseStamp(text string) (Stamp, error) {
	invalid := &StampError{Text: text[:min(len(text), maxStampBytes)]}
	wall, logical, ok := strings.Cut(text, ".")
	if !ok || len(text) > maxStampBytes {
		return Stamp{}, invalid
	}
	w, err := strconv.ParseUint(wall, 10, 63)
	if err != nil {
		return Stamp{}, invalid
	}
	l, err := strconv.ParseUint(logical, 10, 63)
	if err != nil {
		return Stamp{}, invalid
	}
	return Stamp{Wall: int64(w), Logical: int64(l)}, nil
}

// Header is the part of http.Header that Inject and Extract use.
type Header interface {
	Get(name string) string
	Set(name, value string)
}

// Inject sets a new stamp in a header before it is sent.
func (c *Clock) Inject(now time.Time, h Header) { h.Set(ClockHeader, c.Now(now).String()) }

// Extract observes the stamp in a received header and reports whether it was valid and not too far ahead.
func (c *Clock) Extract(now time.Time, h Header) bool {
	s, err := ParseStamp(h.Get(ClockHeader))
	return err == nil && c.Observe(now, s)
}

// ClockCarrier can be embedded in the arguments and replies of calls between instances, so that causes precede effects.
type ClockCarrier struct {
	// ClockStamp is the sender's stamp; the zero value means none.
	ClockStamp Stamp `json:"clock_stamp"`
}

// SetStamp sets a new stamp before the message is sent.
func (c *ClockCarrier) SetStamp(now time.Time, clock *Clock) { c.ClockStamp = clock.Now(now) }

// ObserveStamp observes the stamp of a received message and reports whether it was present and not too far ahead.
func (c *ClockCarrier) ObserveStamp(now time.Time, clock *Clock) bool {
	return c.ClockStamp != Stamp{} && clock.Observe(now, c.ClockStamp)
}
