package instance

import (
	"maps"
	"slices"
	"time"
)

// distanceEvery is how many messages pass between two that carry distances, which change slowly.
const distanceEvery = 25

// NextBeat returns a heartbeat, or the answer to one, with the catalogue revision in force.
func (t *Table) NextBeat(to string, revision int64, content uint64) Beat {
	b := Beat{From: t.self, Revision: revision, Content: content, Hash: t.sum(), News: t.news.next(t.last, t.rules.ReportTTL, len(t.records)+1)}
	// A member that is suspected or held dead must hear so, whatever else is queued.
	if r := t.records[to]; r != nil && (r.tell || r.suspected() || r.State == Dead) {
		r.tell = false
		n := r.Note
		if n.State != Dead {
			n.State, n.Reporter = Suspect, t.self.ID
		}
		if len(b.News) == MaxNews {
			b.News = b.News[:MaxNews-1]
		}
		b.News = append(b.News, n)
	}
	if t.beats++; t.beats%distanceEvery == 0 {
		for _, dc := range slices.Sorted(maps.Keys(t.distances)) {
			if len(b.Distances) < MaxDistances {
				b.Distances = append(b.Distances, Distance{dc, t.distances[dc]})
			}
		}
	}
	return b
}

// HandleBeat takes in a checked heartbeat or answer of another instance.
func (t *Table) HandleBeat(now time.Time, b *Beat) {
	if b.From.ID == t.self.ID {
		t.meetSelf(b.From)
		return
	}
	t.take(now, b.From)
	if r := t.records[b.From.ID]; r != nil && r.Incarnation == b.From.Incarnation {
		r.heard, r.revision, r.content = now, b.Revision, b.Content
		if r.suspected() {
			t.clear(r)
			r.tell = true
			t.changed("refuted", r.Note)
		}
	}
	for _, n := range b.News {
		t.take(now, n)
	}
	// After a pause of its own the instance must not judge before it has noticed it.
	if now.Sub(t.last) <= t.rules.PauseThreshold {
		t.judge(now)
	}
	if b.From.DataCentre == t.self.DataCentre {
		for _, d := range b.Distances {
			if _, ok := t.distances[d.DataCentre]; !ok && len(t.distances) < MaxDistances {
				t.distances[d.DataCentre] = d.RoundTrip
			}
		}
	}
}

// HandleAnswer takes in the answer to a heartbeat and reports whether whole tables should be exchanged.
func (t *Table) HandleAnswer(now time.Time, b *Beat, roundTrip time.Duration) bool {
	delete(t.hints, b.From.ID)
	if w := t.watches[b.From.ID]; w != nil {
		w.answered, w.reported = now, time.Time{}
	}
	t.HandleBeat(now, b)
	t.measure(b.From.DataCentre, roundTrip)
	if b.Hash == t.sum() {
		t.differs = 0
		return false
	}
	// Tables differ while news are on their way; only a lasting difference needs an exchange.
	t.differs++
	if t.differs < 2*RingCount || len(t.news.items) > 0 || now.Sub(t.synced) < t.rules.MinSyncInterval {
		return false
	}
	t.synced, t.differs = now, 0
	return true
}

// measure smooths over one eighth, as TCP does for its round-trip time.
func (t *Table) measure(dc string, d time.Duration) {
	old, ok := t.distances[dc]
	switch {
	case ok:
		t.distances[dc] = old + (d-old)/8
	case len(t.distances) < MaxDistances:
		t.distances[dc] = d
	}
}

// take takes in one note if it is newer than what the table holds.
func (t *Table) take(now time.Time, n Note) {
	if n.ID == t.self.ID {
		t.meetSelf(n)
		return
	}
	r := t.records[n.ID]
	if n.State == Suspect {
		if r != nil && r.Incarnation == n.Incarnation && r.Count == n.Count {
			t.report(now, r, n.Reporter)
		}
		return
	}
	if r == nil {
		if n.State != Dead && len(t.records) < MaxMembers {
			t.records[n.ID] = &record{Note: n}
			t.place(now, n, "joined")
		}
		return
	}
	if !newer(n, r.Note) {
		return
	}
	if n.State == Dead && n.Incarnation == r.Incarnation {
		t.takeDeclaration(now, r, n)
		return
	}
	old := r.Note
	r.Note = n
	t.clear(r)
	switch {
	case n.State == Dead:
		t.declareDead(now, r, 0)
	case old.State == Dead || n.Incarnation > old.Incarnation:
		t.place(now, n, "returned")
	case n.State == Leaving && old.State != Leaving:
		t.spread(n)
		t.changed("leaving", n)
	default:
		t.spread(n)
		t.changed("refuted", n)
	}
}

// newer reports whether a says more than b of one member.
func newer(a, b Note) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Count != b.Count {
		return a.Count > b.Count
	}
	if b.State == Suspect {
		b.State = Alive
	}
	return order[a.State] > order[b.State]
}

func (t *Table) place(now time.Time, n Note, kind string) {
	t.rings.add(n.ID)
	t.spread(n)
	delete(t.hints, n.ID)
	t.changed(kind, n)
	t.retarget(now)
}

// meetSelf answers what others say of the instance itself.
//
// The incarnation stays as it is, since slots, claims and tickets are bound to it;
// the count alone grows.
func (t *Table) meetSelf(n Note) {
	switch {
	case n.Incarnation > t.self.Incarnation:
		t.changed("duplicate_id", n)
	case n.Incarnation == t.self.Incarnation && (n.State == Suspect || n.State == Dead) && n.Count >= t.self.Count:
		t.self.Count = n.Count + 1
		t.spread(t.self)
		t.changed("refuted_self", t.self)
	}
}
