package server

import (
	"time"

	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// noteLoss writes the end of an attempt that did not come to its own.
func (st *stream) noteLoss(now time.Time, ev generation.Event) {
	decision, why := "", ""
	switch ev.Kind {
	case generation.ConnectionLost:
		// Whether the target works on is not known.
		st.noteLost(now, st.attempts[ev.Attempt])
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
	st.noteEnd(now, st.attempts[ev.Attempt], decision, why)
}

// noteLost writes that an attempt's connection was lost, so that its end at the target is unknown.
func (st *stream) noteLost(now time.Time, at *attempt) {
	if at == nil || at.ended {
		return
	}
	at.ended = true
	st.note(now, timeline.Event{Kind: timeline.AttemptLost, Attempt: at.number, Target: at.target, Decision: "unknown", Why: "connection_lost"})
}

// noteEnd writes the end of an attempt, once.
func (st *stream) noteEnd(now time.Time, at *attempt, decision, why string) {
	if at == nil || at.ended {
		return
	}
	at.ended = true
	st.note(now, timeline.Event{Kind: timeline.AttemptEnded, Attempt: at.number, Target: at.target, Decision: decision, Why: why})
}
