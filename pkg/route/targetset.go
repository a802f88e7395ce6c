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
}

// TargetSet holds the targets that an instance may use; its zero value is ready for use.
type TargetSet struct {
	entries map[string]*entry
	// recoveredAt is when the source recovered from its last outage.
	recoveredAt time.Time
}

// Put stores a target's entry and reports whether it is new or changed.
func (s *TargetSet) Put(t Target) bool {
	if s.entries == nil {
		s.entries = map[string]*entry{}
	}
	old := s.entries[t.ID]
	s.entries[t.ID] = &entry{Target: t}
	return old == nil || old.Target != t
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
		delete(s.entries, id)
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

// RemoveExpired removes the entries that were not written again in time, and returns when to call
// it again, or the zero time.
func (s *TargetSet) RemoveExpired(now time.Time) (next time.Time) {
	for id, e := range s.entries {
		switch {
		case e.removeAt.IsZero():
		case !now.Before(e.removeAt):
			delete(s.entries, id)
		case next.IsZero() || e.removeAt.Before(next):
			next = e.removeAt
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
		out[e.Pool] = append(out[e.Pool], e.Target)
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
