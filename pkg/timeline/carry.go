package timeline

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// ClockHeader carries a stamp with an HTTP request or answer between instances.
const ClockHeader = "Bambooferry-Clock"

const maxStampText = 2*20 + 1

// StampError tells that a text is no stamp.
type StampError struct{ Text string }

func (e *StampError) Error() string { return fmt.Sprintf("%q is not a stamp", e.Text) }

// String returns the text form: nanoseconds of wall time, a dot and the counter.
func (s Stamp) String() string {
	return strconv.FormatInt(s.Wall, 10) + "." + strconv.FormatInt(s.Logical, 10)
}

// ParseStamp reads the text form of a stamp; any error is a *StampError.
func ParseStamp(text string) (Stamp, error) {
	wrong := &StampError{Text: text[:min(len(text), maxStampText)]}
	wall, logical, ok := strings.Cut(text, ".")
	if !ok || len(text) > maxStampText {
		return Stamp{}, wrong
	}
	w, err := strconv.ParseUint(wall, 10, 63)
	if err != nil {
		return Stamp{}, wrong
	}
	l, err := strconv.ParseUint(logical, 10, 63)
	if err != nil {
		return Stamp{}, wrong
	}
	return Stamp{Wall: int64(w), Logical: int64(l)}, nil
}

// Header is the part of http.Header that carries a stamp.
type Header interface {
	Get(name string) string
	Set(name, value string)
}

// Inject puts a new stamp into a header before it is sent.
func (c *Clock) Inject(now time.Time, h Header) { h.Set(ClockHeader, c.Now(now).String()) }

// Extract takes in the stamp of a header that was received and reports whether there was a usable one.
func (c *Clock) Extract(now time.Time, h Header) bool {
	s, err := ParseStamp(h.Get(ClockHeader))
	return err == nil && c.Observe(now, s)
}

// ClockCarrier is embedded in the arguments and replies of calls between instances, so that effects come after causes.
type ClockCarrier struct {
	// ClockStamp is the sender's stamp; the zero value carries none.
	ClockStamp Stamp `json:"clock_stamp"`
}

// SetStamp takes a new stamp before the message leaves.
func (c *ClockCarrier) SetStamp(now time.Time, clock *Clock) { c.ClockStamp = clock.Now(now) }

// ObserveStamp takes in the stamp of a message that came and reports whether it was usable.
func (c *ClockCarrier) ObserveStamp(now time.Time, clock *Clock) bool {
	return c.ClockStamp != Stamp{} && clock.Observe(now, c.ClockStamp)
}
