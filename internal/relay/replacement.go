package relay

import (
	"slices"
	"time"

	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// The reasons why a silent attempt is not replaced.
const (
	denialNoRerun      = "no_rerun"
	denialAttemptsUsed = "attempts_used"
	denialRetryBudget  = "retry_budget"
	denialNoTarget     = "no_target"
	denialTargetsFull  = "targets_full"
	denialOthersFirst  = "others_first"
)

// maxPause is how long a silent target is expected to go on. During that time the stream is not moved
// to a target whose slots are taken, since that would probably refuse it.
const maxPause = 2 * time.Second

// reservation is the target of an attempt that may begin.
type reservation struct {
	target route.Target
	load   float64
	// onTrial is set if it replaces a target that is expected to go on.
	onTrial bool
}

// isFull reports whether the target's slots are taken, as far as is known.
func (r *reservation) isFull() bool { return r.target.Slots > 0 && r.load >= float64(r.target.Slots) }

// reserveReplacement reserves a target and a retry for the attempt that is to replace the open one.
func (st *streamHandler) reserveReplacement(now time.Time, avoid []string) bool {
	current := st.currentAttempt
	if current == nil {
		return false
	}
	denial := st.replacementDenial(now, current, avoid)
	if denial == "" {
		return true
	}
	if !current.silenceLogged {
		current.silenceLogged = true
		st.logSilence(now, current, denial)
	}
	return false
}

// replacementDenial makes the reservation, or returns why none is possible.
func (st *streamHandler) replacementDenial(now time.Time, current *attempt, avoid []string) string {
	runs := st.acceptedCount
	if current.isUnanswered() {
		runs++
	}
	if denial := st.rerunDenial(now, runs); denial != "" {
		return denial
	}
	paused := now.Sub(current.conn.lastReadAt) < maxPause
	if paused && !st.req.pool.allowsTrial(now) {
		return denialOthersFirst
	}
	chosen := st.chooseTarget(now, targetCriteria{avoidTargets: append(slices.Clone(avoid), current.target.ID), silentTarget: current.target.ID, paused: paused})
	denial := ""
	switch {
	case chosen == nil:
		return denialNoTarget
	case chosen.isFull() && paused:
		denial = denialTargetsFull
	case !st.req.pool.allowRetry(now):
		denial = denialRetryBudget
	default:
		st.releaseReservation(now)
		st.reserved = chosen
		if chosen.onTrial = paused; paused {
			st.req.pool.beginTrial(now)
		}
		return ""
	}
	st.req.releaseTarget(now, chosen.target)
	return denial
}

// rerunDenial returns why the stream may not run again after a number of runs, or an empty string.
func (st *streamHandler) rerunDenial(now time.Time, runs int) string {
	switch {
	case runs > 0 && !st.req.route.AllowsRerun():
		return denialNoRerun
	case runs > 0 && runs >= st.req.route.MaxAttempts:
		return denialAttemptsUsed
	case st.relay.Crashes.isMarked(now, st.req):
		return codeCrashes
	}
	return ""
}

// waitForRetryBudget tries again later to begin an attempt for which no retry is left now. A stream
// whose target was really lost ends instead: its caller resumes it sooner.
func (st *streamHandler) waitForRetryBudget(now time.Time, action *generation.Action) {
	if !st.awaitsReplacement {
		st.aborted = true
		return
	}
	if !st.postponeLogged {
		st.postponeLogged = true
		st.relay.Log.Write(now, timeline.Event{
			Kind: "attempt_postponed", Request: st.req.ID, Attempt: action.Attempt, Decision: "wait", Why: denialRetryBudget, Entry: st.req.route.Name,
			Inputs: []timeline.Input{{Name: "left_ms", Value: st.req.deadline.Sub(now).Milliseconds()}, {Name: "events", Value: int64(st.gen.Position)}},
		})
	}
	st.performActions(st.gen.Step(now, generation.Event{Kind: generation.NoTarget, Attempt: action.Attempt}))
}

// takeReservation returns the reservation for the attempt that begins, or nil.
func (st *streamHandler) takeReservation() *reservation {
	reserved := st.reserved
	st.reserved = nil
	return reserved
}

// releaseReservation releases the reserved target if no attempt was started there.
func (st *streamHandler) releaseReservation(now time.Time) {
	if reserved := st.takeReservation(); reserved != nil {
		st.req.releaseTarget(now, reserved.target)
		if reserved.onTrial {
			st.req.pool.endTrial(now, false)
		}
	}
}

// logSilence logs that the stream goes on waiting for a silent target.
func (st *streamHandler) logSilence(now time.Time, current *attempt, denial string) {
	st.relay.Log.Write(now, timeline.Event{
		Kind: "attempt_silent", Request: st.req.ID, Target: current.target.ID, Attempt: current.number, Decision: "wait", Why: denial, Entry: st.req.route.Name,
		Inputs: []timeline.Input{
			{Name: "silent_ms", Value: now.Sub(current.conn.lastReadAt).Milliseconds()},
			{Name: "left_ms", Value: st.req.deadline.Sub(now).Milliseconds()},
			{Name: "events", Value: int64(st.gen.Position)},
		},
	})
}
