package instance

import (
	"maps"
	"slices"
	"time"
)

// One in messagesPerDistanceReport messages has the distances, which change slowly.
const messagesPerDistanceReport = 25

// NextBeat returns the next heartbeat to a member, or the answer to one, with the catalogue revision in force.
func (t *Table) NextBeat(to string, revision int64, content uint64) Beat {
	b := Beat{From: t.self, Revision: revision, Content: content, Hash: t.tableHash(), News: t.outgoing.nextBatch(t.lastTick, t.timing.ReportTTL, len(t.records)+1)}
	// Notify a member that is suspected or declared dead, whatever else is queued, so that it can refute this.
	if r := t.records[to]; r != nil && (r.mustNotify || r.isSuspected() || r.State == Dead) {
		r.mustNotify = false
		n := r.Note
		if n.State != Dead {
			n.State, n.Reporter = Suspect, t.self.ID
		}
		if len(b.News) == MaxNews {
			b.News = b.News[:MaxNews-1]
		}
		b.News = append(b.News, n)
	}
	if t.messagesSent++; t.messagesSent%messagesPerDistanceReport == 0 {
		for _, dc := range slices.Sorted(maps.Keys(t.distances)) {
			if len(b.Distances) < MaxDistances {
				b.Distances = append(b.Distances, Distance{dc, t.distances[dc]})
			}
		}
	}
	return b
}

// HandleBeat applies a validated heartbeat or answer from another instance.
func (t *Table) HandleBeat(now time.Time, b *Beat) {
	if b.From.ID == t.self.ID {
		t.applyNoteAboutSelf(b.From)
		return
	}
	t.applyNote(now, b.From)
	if r := t.records[b.From.ID]; r != nil && r.Incarnation == b.From.Incarnation {
		r.lastHeard, r.revision, r.contentHash = now, b.Revision, b.Content
		if r.isSuspected() {
			t.clearSuspicion(r)
			r.mustNotify = true
			t.recordChange("refuted", r.Note)
		}
	}
	for _, n := range b.News {
		t.applyNote(now, n)
	}
	// If this instance has been paused, it must detect that in Tick before it may declare deaths.
	if now.Sub(t.lastTick) <= t.timing.PauseThreshold {
		t.declareConfirmedDeaths(now)
	}
	if b.From.DataCentre == t.self.DataCentre {
		for _, d := range b.Distances {
			if _, ok := t.distances[d.DataCentre]; !ok && len(t.distances) < MaxDistances {
				t.distances[d.DataCentre] = d.RoundTrip
			}
		}
	}
}

// HandleAnswer applies the answer to a heartbeat and reports whether the two instances should exchange whole tables.
func (t *Table) HandleAnswer(now time.Time, b *Beat, roundTrip time.Duration) bool {
	delete(t.probeCandidates, b.From.ID)
	if target := t.heartbeatTargets[b.From.ID]; target != nil {
		target.lastAnswer, target.lastReport = now, time.Time{}
	}
	t.HandleBeat(now, b)
	t.updateDistance(b.From.DataCentre, roundTrip)
	if b.Hash == t.tableHash() {
		t.hashMismatches = 0
		return false
	}
	// Tables differ while notes are being propagated; only a lasting difference needs an exchange.
	t.hashMismatches++
	if t.hashMismatches < 2*RingCount || len(t.outgoing.items) > 0 || now.Sub(t.lastSync) < t.timing.MinSyncInterval {
		return false
	}
	t.lastSync, t.hashMismatches = now, 0
	return true
}

// updateDistance keeps a moving average with weight 1/8 for the new sample, as TCP does for its round-trip time.
func (t *Table) updateDistance(dc string, d time.Duration) {
	old, ok := t.distances[dc]
	switch {
	case ok:
		t.distances[dc] = old + (d-old)/8
	case len(t.distances) < MaxDistances:
		t.distances[dc] = d
	}
}

// applyNote applies a note if it is newer than what the table holds.
func (t *Table) applyNote(now time.Time, n Note) {
	if n.ID == t.self.ID {
		t.applyNoteAboutSelf(n)
		return
	}
	r := t.records[n.ID]
	if n.State == Suspect {
		if r != nil && r.Incarnation == n.Incarnation && r.Count == n.Count {
			t.addReport(now, r, n.Reporter)
		}
		return
	}
	if r == nil {
		if n.State != Dead && len(t.records) < MaxMembers {
			t.records[n.ID] = &record{Note: n}
			t.addMember(now, n, "joined")
		}
		return
	}
	if !supersedes(n, r.Note) {
		return
	}
	if n.State == Dead && n.Incarnation == r.Incarnation {
		t.applyDeathDeclaration(now, r, n)
		return
	}
	old := r.Note
	r.Note = n
	t.clearSuspicion(r)
	switch {
	case n.State == Dead:
		t.declareDead(now, r, 0)
	case old.State == Dead || n.Incarnation > old.Incarnation:
		t.addMember(now, n, "returned")
	case n.State == Leaving && old.State != Leaving:
		t.enqueueNote(n)
		t.recordChange("leaving", n)
	default:
		t.enqueueNote(n)
		t.recordChange("refuted", n)
	}
}

// supersedes reports whether a is newer than b, or of higher precedence; both are about one member.
func supersedes(a, b Note) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Count != b.Count {
		return a.Count > b.Count
	}
	if b.State == Suspect {
		b.State = Alive
	}
	return statePrecedence[a.State] > statePrecedence[b.State]
}

func (t *Table) addMember(now time.Time, n Note, kind string) {
	t.rings.add(n.ID)
	t.enqueueNote(n)
	delete(t.probeCandidates, n.ID)
	t.recordChange(kind, n)
	t.updateHeartbeatTargets(now)
}

// applyNoteAboutSelf refutes a suspicion or death of this instance and detects another one with its ID.
//
// To refute, it raises the count alone. The incarnation stays the same, since slots,
// claims and tickets are bound to it.
func (t *Table) applyNoteAboutSelf(n Note) {
	switch {
	case n.Incarnation > t.self.Incarnation:
		t.recordChange("duplicate_id", n)
	case n.Incarnation == t.self.Incarnation && (n.State == Suspect || n.State == Dead) && n.Count >= t.self.Count:
		t.self.Count = n.Count + 1
		t.enqueueNote(t.self)
		t.recordChange("refuted_self", t.self)
	}
}
