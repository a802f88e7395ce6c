package workload

import "time"

const (
	eventSizeUnit       = 256
	eventSizeQuantile   = 0.05
	eventSizeGeneration = 256
)

// EventSize learns how many tokens an event of a stream holds, for a caller that sees only events and the declared
// maximum. A stream ends at or before its declared maximum, so each whole stream gives an upper bound, and the lowest
// bounds are from streams that reached it. A low quantile is used since declared numbers may be wrong. The result is too
// high if no stream reaches its declared maximum. The zero value is ready for use.
type EventSize struct{ bounds distribution }

// Record records a stream that ended whole.
func (s *EventSize) Record(now time.Time, declaredTokens, events int) {
	if declaredTokens <= 0 || events <= 0 {
		return
	}
	bound := min(float64(declaredTokens)/float64(events)*eventSizeUnit, maxValue)
	s.bounds.record(now, int64(bound), eventSizeGeneration)
}

// TokensPerEvent returns the tokens of an event, or 1 if too few streams have ended.
func (s *EventSize) TokensPerEvent() float64 {
	if s.bounds.total() < enoughValues {
		return 1
	}
	return max(s.bounds.quantile(eventSizeQuantile)/eventSizeUnit, 1)
}
