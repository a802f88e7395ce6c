package instance

import (
	"maps"
	"slices"
	"time"
)

// Tick performs the periodic work of one interval and returns the members to which to send heartbeats now.
func (t *Table) Tick(now time.Time) []Member {
	t.detectPause(now)
	t.reportSilentMembers(now)
	t.declareConfirmedDeaths(now)
	var list []Member
	for _, id := range slices.Sorted(maps.Keys(t.heartbeatTargets)) {
		if r := t.records[id]; r != nil {
			list = append(list, r.Member)
		}
	}
	return append(list, t.nextProbes(now)...)
}

// detectPause resets all timers and suspicions after the instance itself was paused, since
// missing answers during the pause say nothing about other members.
func (t *Table) detectPause(now time.Time) {
	gap := now.Sub(t.lastTick)
	paused := !t.lastTick.IsZero() && gap > t.timing.PauseThreshold
	t.lastTick = now
	if !paused {
		return
	}
	for _, target := range t.heartbeatTargets {
		target.lastAnswer = now
	}
	for id := range t.suspects {
		if r := t.records[id]; r != nil {
			t.clearSuspicion(r)
		}
	}
	t.changes = append(t.changes, Change{Kind: "paused", Member: t.self.ID, Incarnation: t.self.Incarnation, PauseDuration: gap})
}

// temporaryTargetTTL bounds how long an unresponsive member is sent heartbeats outside the rings.
const temporaryTargetTTL = 10 * time.Second

// reportSilentMembers reports the members that did not answer, and sends heartbeats to their other monitors.
func (t *Table) reportSilentMembers(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(t.heartbeatTargets)) {
		target, r := t.heartbeatTargets[id], t.records[id]
		if target.temporary && (target.lastAnswer.After(target.addedAt) || now.Sub(target.addedAt) > temporaryTargetTTL) {
			delete(t.heartbeatTargets, id)
			continue
		}
		if r == nil || r.State == Dead || now.Sub(target.lastAnswer) < t.timing.SuspectAfter || now.Sub(target.lastReport) < t.timing.ReportTTL/3 {
			continue
		}
		target.lastReport = now
		t.addReport(now, r, t.self.ID)
		if target.heldDeadBy != "" {
			t.addReport(now, r, target.heldDeadBy)
		}
		for _, m := range t.rings.monitors(id) {
			t.heartbeatTemporarily(now, m, "")
		}
	}
}

// heartbeatTemporarily adds a heartbeat target outside the rings until it answers.
func (t *Table) heartbeatTemporarily(now time.Time, id, heldDeadBy string) {
	if t.heartbeatTargets[id] == nil && id != t.self.ID && len(t.heartbeatTargets) < 4*RingCount {
		t.heartbeatTargets[id] = &heartbeatTarget{lastAnswer: now, addedAt: now, temporary: true, heldDeadBy: heldDeadBy}
	}
}

// addReport records that a monitor reports a member silent, and queues the report for other members.
func (t *Table) addReport(now time.Time, r *record, reporter string) {
	if r.State == Dead || reporter == r.ID {
		return
	}
	i := slices.IndexFunc(r.reports, func(p report) bool { return p.reporter == reporter })
	switch {
	case i >= 0 && now.Sub(r.reports[i].at) < t.timing.ReportTTL/3:
		return
	case i >= 0:
		r.reports[i].at = now
	case len(r.reports) < maxReports:
		r.reports = append(r.reports, report{reporter, now})
		t.suspects[r.ID] = true
	}
	if r.State == Alive {
		r.State = Suspect
		t.recordChange("suspected", r.Note)
	}
	n := r.Note
	n.State, n.Reporter = Suspect, reporter
	t.enqueueNote(n)
}

// applyDeathDeclaration applies a note in which another instance declares a member dead.
//
// The member gets time to refute it, since after a partition the other side's
// declarations arrive here and concern members that are alive.
func (t *Table) applyDeathDeclaration(now time.Time, r *record, n Note) {
	r.Count, t.hashStale = n.Count, true
	t.enqueueNote(n)
	if r.declaredDead {
		return
	}
	r.declaredDead = true
	t.suspects[r.ID] = true
	if r.sufficientSince.IsZero() {
		r.sufficientSince = now
	}
	if r.State == Alive {
		r.State = Suspect
		t.recordChange("suspected", r.Note)
	}
}

// isSuspected reports whether there is a report or a death declaration against the member.
func (r *record) isSuspected() bool { return len(r.reports) > 0 || r.declaredDead }

func (t *Table) clearSuspicion(r *record) {
	r.reports, r.declaredDead, r.sufficientSince = nil, false, time.Time{}
	if r.State == Suspect {
		r.State, t.viewStale = Alive, true
	}
}

// declareConfirmedDeaths declares members dead whose suspicion was not refuted in time.
func (t *Table) declareConfirmedDeaths(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(t.suspects)) {
		r := t.records[id]
		if r == nil || r.State == Dead || !r.isSuspected() {
			delete(t.suspects, id)
			continue
		}
		r.reports = slices.DeleteFunc(r.reports, func(p report) bool { return now.Sub(p.at) > t.timing.ReportTTL })
		if !r.isSuspected() {
			t.clearSuspicion(r)
			t.recordChange("refuted", r.Note)
			continue
		}
		wait, sufficient := t.reportsSuffice(r)
		switch {
		case !sufficient:
			r.sufficientSince = time.Time{}
		case r.sufficientSince.IsZero():
			r.sufficientSince = now
		case now.Sub(r.sufficientSince) >= wait:
			t.declareDead(now, r, len(r.reports))
		}
	}
}

// reportsSuffice reports whether the reports suffice to declare a death, and after what wait.
//
// Two monitors are required, so that one lossy link causes no death. A single report
// suffices if the member has no other monitor or if all its other monitors are silent too.
func (t *Table) reportsSuffice(r *record) (time.Duration, bool) {
	if len(r.reports) >= 2 {
		return t.timing.RefuteTimeout, true
	}
	if r.declaredDead {
		return t.timing.DeclaredDeathTimeout, true
	}
	if r.reports[0].reporter != t.self.ID {
		return 0, false
	}
	wait := t.timing.RefuteTimeout
	for _, id := range t.rings.monitors(r.ID) {
		if id == t.self.ID {
			continue
		}
		m := t.records[id]
		if m == nil || !slices.ContainsFunc(m.reports, func(p report) bool { return p.reporter == t.self.ID }) {
			return 0, false
		}
		wait = t.timing.SoleReportTimeout
	}
	return wait, true
}

func (t *Table) declareDead(now time.Time, r *record, reports int) {
	kind := "died"
	if r.State == Leaving {
		kind = "left"
	}
	t.clearSuspicion(r)
	r.State, r.diedAt = Dead, now
	t.rings.remove(r.ID)
	t.enqueueNote(r.Note)
	t.recordChange(kind, r.Note)
	t.changes[len(t.changes)-1].Reports = reports
	t.updateHeartbeatTargets(now)
}

// updateHeartbeatTargets recomputes the heartbeat targets after a change of the rings.
func (t *Table) updateHeartbeatTargets(now time.Time) {
	targets := t.rings.targets(t.self.ID)
	maps.DeleteFunc(t.heartbeatTargets, func(id string, target *heartbeatTarget) bool {
		return t.records[id] == nil || t.records[id].State == Dead || !target.temporary && !slices.Contains(targets, id)
	})
	for _, id := range targets {
		if target := t.heartbeatTargets[id]; target == nil {
			t.heartbeatTargets[id] = &heartbeatTarget{lastAnswer: now}
		} else {
			target.temporary = false
		}
	}
}

// nextProbes returns members to which to send one heartbeat: probe candidates, and one dead member in rotation.
func (t *Table) nextProbes(now time.Time) []Member {
	if now.Sub(t.lastProbe) < t.timing.ProbeInterval {
		return nil
	}
	t.lastProbe = now
	var list []Member
	for _, id := range slices.Sorted(maps.Keys(t.probeCandidates)) {
		if len(list) < maxCandidateProbes {
			list = append(list, t.probeCandidates[id].Member)
			delete(t.probeCandidates, id)
		}
	}
	var dead []*record
	for id, r := range t.records {
		switch {
		case r.State != Dead:
		case now.Sub(r.diedAt) > t.timing.ForgetAfter:
			delete(t.records, id)
			t.viewStale = true
		default:
			dead = append(dead, r)
		}
	}
	if len(dead) == 0 {
		return list
	}
	// Each instance starts the rotation at a different index, so that all dead members are probed soon.
	slices.SortFunc(dead, func(a, b *record) int { return comparePositions(positionOf(0, a.ID), positionOf(0, b.ID)) })
	index := (positionOf(0, t.self.ID).weight + uint64(now.Unix())) % uint64(len(dead))
	return append(list, dead[index].Member)
}
