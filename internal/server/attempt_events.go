package server

import (
	"time"

	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// recordAttemptLoss writes the event for an attempt that ended early.
func (st *stream) recordAttemptLoss(now time.Time, ev generation.Event) {
	decision, reason := "", ""
	switch ev.Kind {
	case generation.ConnectionLost:
		// It is not known whether the target is still working.
		st.recordConnectionLost(now, st.attempts[ev.Attempt])
		return
	case generation.RecordMissing:
		decision, reason = "record_missing", "target_answered"
	case generation.Refused:
		decision, reason = "refused", "target_answered"
	case generation.Unreachable:
		decision, reason = "unreached", "target_unreachable"
	case generation.NoTarget:
		decision, reason = "unplaced", "no_target"
	default:
		return
	}
	st.recordAttemptEnd(now, st.attempts[ev.Attempt], decision, reason)
}

// recordConnectionLost writes that an attempt's connection was lost, so its end at the target is unknown.
func (st *stream) recordConnectionLost(now time.Time, at *attempt) {
	if at == nil || at.endRecorded {
		return
	}
	at.endRecorded = true
	st.writeEvent(now, timeline.Event{Kind: timeline.AttemptLost, Attempt: at.number, Target: at.target, Decision: "unknown", Why: "connection_lost"})
}

// recordAttemptEnd writes the end of an attempt, once.
func (st *stream) recordAttemptEnd(now time.Time, at *attempt, decision, reason string) {
	if at == nil || at.endRecorded {
		return
	}
	at.endRecorded = true
	st.writeEvent(now, timeline.Event{Kind: timeline.AttemptEnded, Attempt: at.number, Target: at.target, Decision: decision, Why: reason})
}
