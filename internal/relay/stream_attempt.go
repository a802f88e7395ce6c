package relay

import (
	"bufio"
	"mime"
	"net/http"
	"net/netip"
	"time"

	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/route"
)

// startAttempt starts the planned attempt.
func (st *streamHandler) startAttempt() {
	action := st.plannedAttempt
	st.plannedAttempt = nil
	now := time.Now()
	chosen := st.takeReservation()
	if chosen == nil {
		if !st.admitAgain() {
			return
		}
		if now = time.Now(); action.Attempt > 1 && st.rerunDenial(now, st.acceptedCount) != "" {
			st.aborted = true
			return
		}
		if chosen = st.chooseTarget(now, targetCriteria{avoidTargets: action.Avoid, firstAttempt: action.Attempt == 1 && !st.req.Resuming}); chosen == nil {
			st.waitForTarget(now, action)
			return
		}
		if action.Attempt > 1 && !st.req.pool.allowRetry(now) {
			st.req.releaseTarget(now, chosen.target)
			st.waitForRetryBudget(now, action)
			return
		}
	}
	t := chosen.target
	info := AttemptInfo{Urgency: urgencyOf(st.req, st.gen.Position > 0), HasUrgency: true, RequestID: st.req.ID}
	if nextEventID := st.idOffset + st.gen.Position; nextEventID > 0 && (st.gen.Position > 0 || st.req.Resuming) {
		info.Resuming, info.LastEventID = true, nextEventID-1
	}
	reason := action.Reason
	if st.backupEngine.IsValid() && t.Address == st.backupEngine {
		info.CopyEngine, reason = st.backupEngine, "backup"
	}
	st.backupEngine = netip.AddrPort{}
	if b, ok := st.chooseBackup(now, t); ok {
		info.BackupEngine = b.Address
	}
	current := st.relay.newAttempt(now, st.req, t, action.Attempt, reason, chosen.load)
	current.onTrial = chosen.onTrial
	st.currentAttempt = current
	st.gen.Timeouts = st.silenceTimeouts()
	st.openAttempt(current, info)
}

// waitForTarget tries again later to begin an attempt for which there is no target, unless no target
// wants the request.
func (st *streamHandler) waitForTarget(now time.Time, action *generation.Action) {
	if st.acceptedCount == 0 {
		if st.backoffRefusal = st.req.backoffRefusal(now, limitPatience); st.backoffRefusal != nil {
			st.aborted = true
			return
		}
	}
	st.handleEvent(generation.Event{Kind: generation.NoTarget, Attempt: action.Attempt})
}

// chooseTarget returns a target, if possible the engine that holds a copy of the run's KV cache, or
// nil if there is none.
func (st *streamHandler) chooseTarget(now time.Time, criteria targetCriteria) *reservation {
	if st.backupEngine.IsValid() && st.gen.Position > 0 {
		if t, ok := st.req.pool.targetAt(now, st.backupEngine); ok {
			criteria.preferredTarget = t.ID
		}
	}
	criteria.work = st.req.expectedWork(now, st.gen.Position)
	t, load, ok := st.req.pool.chooseTarget(now, st.relay.DataCentre, criteria)
	if !ok {
		return nil
	}
	return &reservation{target: t, load: load}
}

// chooseBackup returns the engine that is to receive copies, in another data centre if there is
// one.
func (st *streamHandler) chooseBackup(now time.Time, t route.Target) (route.Target, bool) {
	if !st.req.pool.copiesKVCache() || !st.req.route.AllowsRerun() {
		return route.Target{}, false
	}
	b, _, ok := st.req.pool.chooseTarget(now, t.DataCentre, targetCriteria{avoidTargets: []string{t.ID}, avoidDataCentre: t.DataCentre, sendsNothing: true})
	return b, ok && b.ID != t.ID
}

// openAttempt sends the request and passes the target's initial response to the stream.
func (st *streamHandler) openAttempt(current *attempt, info AttemptInfo) {
	err := current.sendRequest(st.ctx, info, time.Now().Add(lossCheckInterval), st.onSilence)
	now := time.Now()
	if err == nil && current.info.NotRun {
		st.req.pool.recordStreamRefusal(now, current.target.ID)
	}
	if current.onTrial {
		st.req.pool.endTrial(now, err == nil && !current.info.NotRun)
	}
	if st.gen.Done() || st.currentAttempt == nil {
		return
	}
	ev := generation.Event{Attempt: current.number, Target: current.target.ID, Reason: attemptReason(err)}
	switch {
	case isMarkedError(err):
		st.aborted = true
		st.endAttempt(engine.RequestResult{Cancelled: true}, false, codeCrashes)
		return
	case err != nil && !current.sent:
		ev.Kind = generation.Unreachable
		current.wentSilent = isSilence(err)
		st.unreachable++
		st.aborted = st.acceptedCount == 0 && st.req.pool.isUnreachable(now)
		st.endAttempt(engine.RequestResult{Unreachable: st.ctx.Err() == nil}, false, reasonUnreachable)
		if st.aborted {
			return
		}
	case err != nil:
		st.acceptedCount++
		ev.Kind = generation.ConnectionLost
		st.endAttempt(st.lossResult(), false, lossReason(err))
	case current.handleRefusal():
		ev.Kind = generation.Refused
		st.refusals++
		misdirected := current.res.StatusCode == http.StatusMisdirectedRequest
		complete := current.discardRefusal(now)
		st.endAttempt(engine.RequestResult{Unreachable: misdirected}, complete, "not_run")
	default:
		st.acceptedCount++
		if st.handleFailedResponse(current, &ev) {
			break
		}
		current.silenceLogged = false
		ev.Kind, ev.Timeouts = generation.Accepted, st.silenceTimeouts()
		st.backupEngine = info.BackupEngine
		st.events = eventReader{reader: bufio.NewReaderSize(current.res.Body, 512), raw: st.events.raw, held: &current.held}
		st.held = nil
		if !st.headerSent {
			st.response = current.res
		}
	}
	st.performActions(st.gen.Step(now, ev))
}

// handleFailedResponse reports whether a response is not a usable stream, and ends its attempt.
func (st *streamHandler) handleFailedResponse(current *attempt, ev *generation.Event) bool {
	err := current.checkResponse()
	if err == nil && current.res.StatusCode < http.StatusMultipleChoices && !isEventStream(current.res) {
		err = &ResponseError{Rule: "no_event_stream"}
	}
	if err == nil && current.res.StatusCode < http.StatusMultipleChoices {
		return false
	}
	ev.Kind = generation.ConnectionLost
	result := &attemptResult{attempt: current}
	if err == nil {
		result.readBody()
		if result.err == nil && result.unread == nil {
			st.releaseFailure()
			st.failureResponse = result
			// Another target would reject the request as well.
			st.aborted = current.res.StatusCode < http.StatusInternalServerError
		}
	}
	complete := err == nil && result.err == nil && result.unread == nil
	st.endAttempt(engine.RequestResult{Failed: true}, complete, "failed")
	return true
}

// isEventStream reports whether a response is a series of events; one that does not state its type counts as such.
func isEventStream(res *http.Response) bool {
	stated := res.Header.Get("Content-Type")
	if stated == "" {
		return true
	}
	mediaType, _, err := mime.ParseMediaType(stated)
	return err == nil && mediaType == "text/event-stream"
}

func attemptReason(err error) string {
	if err == nil {
		return ""
	}
	return lossReason(err)
}
