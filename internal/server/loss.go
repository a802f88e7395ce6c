package server

import (
	"time"

	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// recordAttemptLoss writes the event for an attempt that ended early.
func (st *stream) recordAttemptLoss(now time.Time, ev generation.Event) {
	decision, why := "", ""
	switch ev.Kind {
	case generation.ConnectionLost:
		// It is not known whether the target is still working.
		st.recordConnectionLost(now, st.attempts[ev.Attempt])
		return
	case generation.RecordMissing:
		decision, why = "record_missing", "target_answered"
	case generation.Refused:
		decision, why = "refused", "target_answered"
	case generation.Unreachable:
		decision, why = "unreached", "target_unreachable"
	case generation.NoTarget:
		decision, why = "unplaced", "no_target"
	default:
		return
	}
	st.recordAttemptEnd(now, st.attempts[ev.Attempt], decision, why)
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
func (st *stream) recordAttemptEnd(now time.Time, at *attempt, decision, why string) {
	if at == nil || at.endRecorded {
		return
	}
	at.endRecorded = true
	st.writeEvent(now, timeline.Event{Kind: timeline.AttemptEnded, Attempt: at.number, Target: at.target, Decision: decision, Why: why})
}
