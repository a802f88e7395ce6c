package instance

import (
	"maps"
	"slices"
	"time"
)

// Tick takes the passage of one interval and returns the members to heartbeat now.
func (t *Table) Tick(now time.Time) []Member {
	t.noticePause(now)
	t.suspect(now)
	t.judge(now)
	var list []Member
	for _, id := range slices.Sorted(maps.Keys(t.watches)) {
		if r := t.records[id]; r != nil {
			list = append(list, r.Member)
		}
	}
	return append(list, t.probes(now)...)
}

// noticePause restarts all timers after the instance itself stood still, since
// what it did not hear then says nothing of others.
func (t *Table) noticePause(now time.Time) {
	gap := now.Sub(t.last)
	paused := !t.last.IsZero() && gap > t.rules.PauseThreshold
	t.last = now
	if !paused {
		return
	}
	for _, w := range t.watches {
		w.answered = now
	}
	for id := range t.suspects {
		if r := t.records[id]; r != nil {
			t.clear(r)
		}
	}
	t.changes = append(t.changes, Change{Kind: "paused", Member: t.self.ID, Incarnation: t.self.Incarnation, PauseDuration: gap})
}

// askLife bounds how long a member that does not answer is asked outside the rings.
const askLife = 10 * time.Second

// suspect reports the members that did not answer, and asks their other monitors.
func (t *Table) suspect(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(t.watches)) {
		w, r := t.watches[id], t.records[id]
		if w.extra && (w.answered.After(w.since) || now.Sub(w.since) > askLife) {
			delete(t.watches, id)
			continue
		}
		if r == nil || r.State == Dead || now.Sub(w.answered) < t.rules.SuspectAfter || now.Sub(w.reported) < t.rules.ReportTTL/3 {
			continue
		}
		w.reported = now
		t.report(now, r, t.self.ID)
		if w.told != "" {
			t.report(now, r, w.told)
		}
		for _, m := range t.rings.monitors(id) {
			t.ask(now, m, "")
		}
	}
}

// ask heartbeats a member outside the rings until it answers.
func (t *Table) ask(now time.Time, id, told string) {
	if t.watches[id] == nil && id != t.self.ID && len(t.watches) < 4*RingCount {
		t.watches[id] = &watch{answered: now, since: now, extra: true, told: told}
	}
}

// report counts one monitor's report and passes it on.
func (t *Table) report(now time.Time, r *record, by string) {
	if r.State == Dead || by == r.ID {
		return
	}
	i := slices.IndexFunc(r.reports, func(p report) bool { return p.by == by })
	switch {
	case i >= 0 && now.Sub(r.reports[i].at) < t.rules.ReportTTL/3:
		return
	case i >= 0:
		r.reports[i].at = now
	case len(r.reports) < maxReports:
		r.reports = append(r.reports, report{by, now})
		t.suspects[r.ID] = true
	}
	if r.State == Alive {
		r.State = Suspect
		t.changed("suspected", r.Note)
	}
	n := r.Note
	n.State, n.Reporter = Suspect, by
	t.spread(n)
}

// takeDeclaration takes in that another instance declared a member dead.
//
// The member has time to refute it, since after a partition the other side's
// declarations arrive here, about members that are well.
func (t *Table) takeDeclaration(now time.Time, r *record, n Note) {
	r.Count, t.unsummed = n.Count, true
	t.spread(n)
	if r.declared {
		return
	}
	r.declared = true
	t.suspects[r.ID] = true
	if r.enoughSince.IsZero() {
		r.enoughSince = now
	}
	if r.State == Alive {
		r.State = Suspect
		t.changed("suspected", r.Note)
	}
}

// suspected reports whether anything is held against a member.
func (r *record) suspected() bool { return len(r.reports) > 0 || r.declared }

func (t *Table) clear(r *record) {
	r.reports, r.declared, r.enoughSince = nil, false, time.Time{}
	if r.State == Suspect {
		r.State, t.stale = Alive, true
	}
}

// judge declares the deaths whose reports were not refuted in time.
func (t *Table) judge(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(t.suspects)) {
		r := t.records[id]
		if r == nil || r.State == Dead || !r.suspected() {
			delete(t.suspects, id)
			continue
		}
		r.reports = slices.DeleteFunc(r.reports, func(p report) bool { return now.Sub(p.at) > t.rules.ReportTTL })
		if !r.suspected() {
			t.clear(r)
			t.changed("refuted", r.Note)
			continue
		}
		wait, enough := t.enough(r)
		switch {
		case !enough:
			r.enoughSince = time.Time{}
		case r.enoughSince.IsZero():
			r.enoughSince = now
		case now.Sub(r.enoughSince) >= wait:
			t.declareDead(now, r, len(r.reports))
		}
	}
}

// enough reports whether the reports suffice for a death, and after what wait.
//
// Two monitors suffice, so that one lossy link does not. The only monitor of a
// member suffices alone, and so does one whose fellow monitors are all silent.
func (t *Table) enough(r *record) (time.Duration, bool) {
	if len(r.reports) >= 2 {
		return t.rules.RefuteTimeout, true
	}
	if r.declared {
		return t.rules.DeclaredDeathTimeout, true
	}
	if r.reports[0].by != t.self.ID {
		return 0, false
	}
	wait := t.rules.RefuteTimeout
	for _, id := range t.rings.monitors(r.ID) {
		if id == t.self.ID {
			continue
		}
		m := t.records[id]
		if m == nil || !slices.ContainsFunc(m.reports, func(p report) bool { return p.by == t.self.ID }) {
			return 0, false
		}
		wait = t.rules.SoleReportTimeout
	}
	return wait, true
}

func (t *Table) declareDead(now time.Time, r *record, reports int) {
	kind := "died"
	if r.State == Leaving {
		kind = "left"
	}
	t.clear(r)
	r.State, r.died = Dead, now
	t.rings.remove(r.ID)
	t.spread(r.Note)
	t.changed(kind, r.Note)
	t.changes[len(t.changes)-1].Reports = reports
	t.retarget(now)
}

// retarget renews whom the instance heartbeats after a change of the rings.
func (t *Table) retarget(now time.Time) {
	targets := t.rings.targets(t.self.ID)
	maps.DeleteFunc(t.watches, func(id string, w *watch) bool {
		return t.records[id] == nil || t.records[id].State == Dead || !w.extra && !slices.Contains(targets, id)
	})
	for _, id := range targets {
		if w := t.watches[id]; w == nil {
			t.watches[id] = &watch{answered: now}
		} else {
			w.extra = false
		}
	}
}

// probes returns members to heartbeat once: hints, and dead members in turn.
func (t *Table) probes(now time.Time) []Member {
	if now.Sub(t.probed) < t.rules.ProbeInterval {
		return nil
	}
	t.probed = now
	var list []Member
	for _, id := range slices.Sorted(maps.Keys(t.hints)) {
		if len(list) < maxProbes {
			list = append(list, t.hints[id].Member)
			delete(t.hints, id)
		}
	}
	var dead []*record
	for id, r := range t.records {
		switch {
		case r.State != Dead:
		case now.Sub(r.died) > t.rules.ForgetAfter:
			delete(t.records, id)
			t.stale = true
		default:
			dead = append(dead, r)
		}
	}
	if len(dead) == 0 {
		return list
	}
	// Each instance begins at another place, so that all dead members are tried soon.
	slices.SortFunc(dead, func(a, b *record) int { return compare(placeOf(0, a.ID), placeOf(0, b.ID)) })
	turn := (placeOf(0, t.self.ID).weight + uint64(now.Unix())) % uint64(len(dead))
	return append(list, dead[turn].Member)
}
