package engine

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	// MaxLoadBytes bounds the size of a response with a load report.
	MaxLoadBytes = 16 << 10
	// MaxCacheEventsBytes bounds the size of a response with cache events.
	MaxCacheEventsBytes = 1 << 20
	// MaxCacheEvents bounds the number of cache events in one response.
	MaxCacheEvents = 8192

	maxReportedCount = 1 << 20
	// maxClockAhead bounds how far a report's time may be ahead of the local clock. A report from
	// the far future would hide all later ones.
	maxClockAhead = time.Second
)

const (
	minSlowness = 0.05
	maxSlowness = 20
)

// ValidSlowness reports whether a target may state that work takes x times as long as usual on its machine.
func ValidSlowness(x float64) bool { return x >= minSlowness && x <= maxSlowness }

// ReportError reports a value in an engine's report that is out of range or out of order.
type ReportError struct {
	Field string
	Value int64
}

func (e *ReportError) Error() string {
	return fmt.Sprintf("invalid engine report: %s is %d", e.Field, e.Value)
}

// DecodeLoad decodes and validates a load report.
func DecodeLoad(now time.Time, data []byte) (Load, error) {
	if len(data) > MaxLoadBytes {
		return Load{}, &ReportError{"bytes", int64(len(data))}
	}
	l := Load{}
	if err := json.Unmarshal(data, &l); err != nil {
		return Load{}, err
	}
	for _, f := range []struct {
		name  string
		value int
	}{{"running", l.Running}, {"waiting", l.Waiting}, {"slots", l.Slots}} {
		if f.value < 0 || f.value > maxReportedCount {
			return Load{}, &ReportError{f.name, int64(f.value)}
		}
	}
	if l.At.IsZero() || l.At.After(now.Add(maxClockAhead)) {
		return Load{}, &ReportError{"at", l.At.UnixMilli()}
	}
	return l, nil
}

// DecodeCacheEvents decodes and validates cache events, whose sequence numbers must increase.
func DecodeCacheEvents(now time.Time, data []byte) ([]CacheEvent, error) {
	if len(data) > MaxCacheEventsBytes {
		return nil, &ReportError{"bytes", int64(len(data))}
	}
	var events []CacheEvent
	if err := json.Unmarshal(data, &events); err != nil {
		return nil, err
	}
	if len(events) > MaxCacheEvents {
		return nil, &ReportError{"events", int64(len(events))}
	}
	last := uint64(0)
	for _, ev := range events {
		if ev.Sequence <= last {
			return nil, &ReportError{"sequence", int64(ev.Sequence)}
		}
		if ev.At.After(now.Add(maxClockAhead)) {
			return nil, &ReportError{"at", ev.At.UnixMilli()}
		}
		last = ev.Sequence
	}
	return events, nil
}
