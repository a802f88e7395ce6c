package relay

import (
	"net/http"
	"time"

	"bambooferry.example/bambooferry/internal/gossip"
	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// leavingReportWindow is how long a statement that a target is leaving is reported to other instances,
	// since datagrams are lost.
	leavingReportWindow = 3 * time.Second
	// unreadableLogInterval is the least time between two log lines on unreadable headers of targets.
	unreadableLogInterval = time.Second
	// maxLoggedValue bounds a malformed value in a log line, in bytes.
	maxLoggedValue = 80
)

// isOpen reports whether new requests may be sent to a target; the caller holds mu.
func (p *pool) isOpen(now time.Time, t *route.Target) bool {
	return p.isOpenIfRoom(now, t) && p.roomWait(now, *t) == 0
}

// isOpenIfRoom reports whether new requests may be sent to a target once it has room; the caller holds mu.
func (p *pool) isOpenIfRoom(now time.Time, t *route.Target) bool {
	_, replaced := p.replaced[t.ID]
	return !replaced && !t.Leaving && !p.availability.IsLeaving(*t) && p.availability.BackoffEnd(now, t.ID).IsZero() && p.limitWait(now, *t) == 0
}

// addStatements adds what the pool's targets have stated to this instance; the caller holds mu.
func (p *pool) addStatements(now time.Time, leaving, backoffs map[string]int64) {
	for id, startedAt := range p.availability.AnnouncedSince(now.Add(-leavingReportWindow)) {
		leaving[id] = startedAt.UnixMilli()
	}
	for id, d := range p.availability.LocalBackoffs(now) {
		backoffs[id] = d.Milliseconds()
	}
}

// applyStatements applies what targets have stated to another instance; the caller holds mu.
func (p *pool) applyStatements(now time.Time, progress gossip.Progress) {
	for id, startedMillis := range progress.LeavingTargets {
		// A later start than the reported one is that of the next incarnation.
		if t := p.findTarget(id); t.ID != "" && t.StartedAt.UnixMilli() <= startedMillis {
			p.availability.RecordLeaving(now, t, false)
		}
	}
	for id, ms := range progress.BackoffMillis {
		if p.findTarget(id).ID != "" && ms > 0 && ms <= route.MaxBackoff.Milliseconds() {
			p.availability.RecordBackoff(now, id, time.Duration(ms)*time.Millisecond, false)
		}
	}
}

// recordLeaving records that a target has stated to this instance that it is leaving, and reports whether that
// is new.
func (p *pool) recordLeaving(now time.Time, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.findTarget(id)
	if t.ID == "" {
		return false
	}
	isNew := p.availability.RecordLeaving(now, t, true)
	p.signalProgress()
	return isNew
}

// recordBackoff records that a target wants no requests from this instance for a time.
func (p *pool) recordBackoff(now time.Time, id string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.availability.RecordBackoff(now, id, d, true)
	p.signalProgress()
}

// backoffEnd returns when the first of the pool's targets takes requests again, if all targets that are not
// leaving take none now, and whether that is because of its limit.
func (p *pool) backoffEnd(now time.Time) (end time.Time, limited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.targets {
		t := &p.targets[i]
		if _, replaced := p.replaced[t.ID]; replaced || t.Leaving || p.availability.IsLeaving(*t) {
			continue
		}
		until, byLimit := p.availability.BackoffEnd(now, t.ID), false
		if wait := p.limitWait(now, *t); wait > 0 && now.Add(wait).After(until) {
			until, byLimit = now.Add(wait), true
		}
		if wait := p.roomWait(now, *t); wait > 0 && now.Add(wait).After(until) {
			until, byLimit = now.Add(wait), true
		}
		if until.IsZero() {
			return time.Time{}, false
		}
		if end.IsZero() || until.Before(end) {
			end, limited = until, byLimit
		}
	}
	return end, limited
}

// recordStatements records what the target's response states about new requests.
func (a *attempt) recordStatements(now time.Time) {
	p, r, id := a.req.pool, a.relay, a.target.ID
	if a.res.StatusCode == http.StatusMisdirectedRequest {
		// Another incarnation has responded.
		id = a.info.Incarnation
	}
	if a.info.Leaving && id != "" && p.recordLeaving(now, id) {
		r.instruments.recordStatement("leaving")
		r.Log.Write(now, timeline.Event{Kind: "target_leaving", Request: a.req.ID, Target: id, Entry: a.target.Pool, Why: "said_by_target", Decision: "left_out"})
	}
	a.recordLimit(now)
	a.recordRefusalLimit(now)
	if d := a.info.Backoff; d > 0 {
		p.recordBackoff(now, a.target.ID, d)
		r.instruments.recordStatement("backoff")
		r.Log.Write(now, timeline.Event{
			Kind: "target_backs_off", Request: a.req.ID, Target: a.target.ID, Entry: a.target.Pool, Why: "said_by_target", Decision: "left_out",
			Inputs: []timeline.Input{{Name: "for_ms", Value: d.Milliseconds()}},
		})
	}
	if a.info.Unreadable != "" {
		r.unreadableHeaders.Do(func() {
			value := a.info.UnreadableValue
			r.Log.Write(now, timeline.Event{
				Kind: "header_unreadable", Request: a.req.ID, Target: a.target.ID, Why: a.info.Unreadable + "=" + value[:min(len(value), maxLoggedValue)], Decision: "ignored",
			})
		})
	}
}

// backoffRefusal returns the refusal of a request that no target takes now, with the time at which the first
// one does, or nil if that is not the reason. Within patience, the request waits for a target's limit.
func (req *callerRequest) backoffRefusal(now time.Time, patience time.Duration) *Refusal {
	end, limited := req.pool.backoffEnd(now)
	if end.IsZero() || limited && end.Sub(now) <= patience {
		return nil
	}
	code := codeTargetsBackOff
	if limited {
		code = codeTargetsLimited
	}
	// Callers that are refused together must not return together.
	wait := end.Sub(now)
	return notRunRefusal(code, wait+jitter(min(wait/4, unavailableRetryAfter)+time.Millisecond))
}
