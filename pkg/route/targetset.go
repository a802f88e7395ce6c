package route

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// OutageRemovalGrace is how long an entry that is missing after an outage of its source counts as
// present.
//
// Entries expire during an outage of the source and are written again within about 2 s of its
// recovery.
const OutageRemovalGrace = 2200 * time.Millisecond

const (
	// initialListingWindow is the time after the source's recovery within which a removal is part
	// of the source's first listing.
	initialListingWindow = 20 * time.Millisecond
	// lateRemovalGrace limits OutageRemovalGrace for a removal that the source reports later: it
	// may be intentional, and a target may get requests for 2 s after that.
	lateRemovalGrace = 1500 * time.Millisecond
)

const (
	// departureTTL is how long a removed incarnation is remembered; a store is restored from a copy
	// that is seconds old.
	departureTTL = time.Minute
	// restoredEntryGrace is how long an entry that had been removed counts as leaving after a restore
	// has brought it back: the entry of a target that is gone expires within that time.
	restoredEntryGrace = 8 * time.Second
)

// Target is one incarnation of a back end.
type Target struct {
	// ID identifies the incarnation.
	ID         string         `json:"id"`
	Pool       string         `json:"pool"`
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"data_centre"`
	Version    string         `json:"version,omitempty"`
	Slots      int            `json:"slots"`
	// Leaving is set when the target accepts no new work.
	Leaving bool `json:"leaving,omitempty"`
	// StartedAt is the start of the incarnation, or the zero time if it is not known.
	StartedAt time.Time `json:"born"`
}

// entry is a target with the state of its entry at the source.
type entry struct {
	Target
	// removeAt is when an entry that was missing after an outage is removed, or the zero time.
	removeAt time.Time
	// doubtfulUntil is the time until which an entry that a restore has brought back counts as leaving,
	// or the zero time.
	doubtfulUntil time.Time
}

// departure is what is known of an incarnation whose entry was removed.
type departure struct {
	startedAt time.Time
	leaving   bool
	at        time.Time
}

// TargetSet holds the targets that an instance may use; its zero value is ready for use.
type TargetSet struct {
	entries map[string]*entry
	// recoveredAt is when the source recovered from its last outage.
	recoveredAt time.Time
	// restoredAt is when the source was last restored from a copy.
	restoredAt time.Time
	departed   map[string]departure
}

// Put stores a target's entry and reports whether it is new or changed.
//
// The source may be restored from a copy that is some seconds old. Therefore an incarnation that is
// leaving stays so, and an entry of an earlier incarnation is ignored.
func (s *TargetSet) Put(now time.Time, t Target) bool {
	if s.entries == nil {
		s.entries = map[string]*entry{}
	}
	old := s.entries[t.ID]
	if old != nil && t.StartedAt.Before(old.StartedAt) && !t.StartedAt.IsZero() {
		return false
	}
	n := &entry{Target: t}
	if old != nil && old.StartedAt.Equal(t.StartedAt) {
		n.Leaving = n.Leaving || old.Leaving
		if old.Target == n.Target {
			n.doubtfulUntil = old.doubtfulUntil
		}
	}
	if old == nil {
		s.judgeReturn(now, n)
	}
	s.entries[t.ID] = n
	return old == nil || old.Target != n.Target
}

// judgeReturn decides how an entry that had been removed counts when the source lists it again.
func (s *TargetSet) judgeReturn(now time.Time, e *entry) {
	d, ok := s.departed[e.ID]
	if !ok || !d.startedAt.Equal(e.StartedAt) || !s.restoredAt.After(d.at) {
		return
	}
	e.Leaving = e.Leaving || d.leaving
	if until := s.restoredAt.Add(restoredEntryGrace); now.Before(until) {
		e.doubtfulUntil = until
	}
}

// drop deletes an entry and remembers its incarnation.
func (s *TargetSet) drop(now time.Time, e *entry) {
	delete(s.entries, e.ID)
	if s.departed == nil {
		s.departed = map[string]departure{}
	}
	for id, d := range s.departed {
		if now.Sub(d.at) > departureTTL {
			delete(s.departed, id)
		}
	}
	s.departed[e.ID] = departure{startedAt: e.StartedAt, leaving: e.Leaving, at: now}
}

// Remove removes an entry that was removed at its source, immediately unless an outage may be the
// reason; it reports whether the entry is kept for now.
func (s *TargetSet) Remove(now time.Time, id string) (kept bool) {
	e := s.entries[id]
	if e == nil {
		return false
	}
	removeAt := s.recoveredAt.Add(OutageRemovalGrace)
	if limit := now.Add(lateRemovalGrace); now.Sub(s.recoveredAt) > initialListingWindow && limit.Before(removeAt) {
		removeAt = limit
	}
	if s.recoveredAt.IsZero() || !now.Before(removeAt) {
		s.drop(now, e)
		return false
	}
	if e.removeAt.IsZero() {
		e.removeAt = removeAt
	}
	return true
}

// Discard removes an entry that is unusable.
func (s *TargetSet) Discard(id string) { delete(s.entries, id) }

// RemoveUnlisted calls Remove for each entry that is not listed.
func (s *TargetSet) RemoveUnlisted(now time.Time, listed func(id string) bool) {
	for id := range s.entries {
		if !listed(id) {
			s.Remove(now, id)
		}
	}
}

// SourceRecovered records that the source responded again after an outage.
func (s *TargetSet) SourceRecovered(at time.Time) {
	if at.After(s.recoveredAt) {
		s.recoveredAt = at
	}
}

// SourceRestored records that the source was restored from a copy. What it lists may be out of date,
// and what it lacks may be written again, as after an outage.
func (s *TargetSet) SourceRestored(at time.Time) {
	if at.After(s.restoredAt) {
		s.restoredAt = at
	}
	s.SourceRecovered(at)
}

// RemoveExpired removes the entries that were not written again in time, ends the doubts about those
// that are still listed, and returns when to call it again, or the zero time.
func (s *TargetSet) RemoveExpired(now time.Time) (next time.Time) {
	for _, e := range s.entries {
		if !e.doubtfulUntil.IsZero() && !now.Before(e.doubtfulUntil) {
			e.doubtfulUntil = time.Time{}
		}
		if !e.removeAt.IsZero() && !now.Before(e.removeAt) {
			s.drop(now, e)
			continue
		}
		for _, at := range []time.Time{e.removeAt, e.doubtfulUntil} {
			if !at.IsZero() && (next.IsZero() || at.Before(next)) {
				next = at
			}
		}
	}
	return next
}

// Targets returns the targets by pool, each list sorted by ID.
//
// Of two incarnations at one address only the one that started later is returned.
func (s *TargetSet) Targets() map[string][]Target {
	latest := make(map[netip.AddrPort]*entry, len(s.entries))
	for _, e := range s.entries {
		if old := latest[e.Address]; old == nil || startedLater(e, old) {
			latest[e.Address] = e
		}
	}
	out := map[string][]Target{}
	for _, e := range latest {
		t := e.Target
		t.Leaving = t.Leaving || !e.doubtfulUntil.IsZero()
		out[e.Pool] = append(out[e.Pool], t)
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}

// Len returns the number of entries.
func (s *TargetSet) Len() int { return len(s.entries) }

func startedLater(a, b *entry) bool {
	if !a.StartedAt.Equal(b.StartedAt) {
		return a.StartedAt.After(b.StartedAt)
	}
	return a.ID > b.ID
}
