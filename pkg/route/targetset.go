package route

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// OutageRemovalGrace is how long an entry that is missing after an outage of its source counts as present.
//
// Entries lapse while the source is away and are written again within about 2 s of its return.
const OutageRemovalGrace = 2200 * time.Millisecond

const (
	// sameAnswer is the time after the source's return in which a removal is part of its first answer.
	sameAnswer = 20 * time.Millisecond
	// removalGrace bounds ReturnGrace for a removal that the source tells later: it may be ordered,
	// and a target may get requests for 2 s after that.
	removalGrace = 1500 * time.Millisecond
)

// Target is one incarnation of a back end.
type Target struct {
	// ID names the incarnation.
	ID         string         `json:"id"`
	Pool       string         `json:"pool"`
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"data_centre"`
	Version    string         `json:"version,omitempty"`
	Slots      int            `json:"slots"`
	// Leaving tells that the target takes no new work.
	Leaving bool `json:"leaving,omitempty"`
	// StartedAt is the start of the incarnation, or the zero time if it is not known.
	StartedAt time.Time `json:"born"`
}

// entry is a target with what is known of its entry.
type entry struct {
	Target
	// out is when the entry, found to be gone after an outage, is taken out, or the zero time.
	out time.Time
}

// TargetSet holds the targets that an instance may use; its zero value is ready for use.
type TargetSet struct {
	entries map[string]*entry
	// returned is when the source came back after its last outage.
	returned time.Time
}

// Put takes in a target's entry and reports whether it differs from what was known.
func (r *TargetSet) Put(t Target) bool {
	if r.entries == nil {
		r.entries = map[string]*entry{}
	}
	old := r.entries[t.ID]
	r.entries[t.ID] = &entry{Target: t}
	return old == nil || old.Target != t
}

// Remove takes out an entry that was removed at its source, at once unless an outage may be the
// reason; it reports whether the entry is kept for now.
func (r *TargetSet) Remove(now time.Time, id string) (kept bool) {
	e := r.entries[id]
	if e == nil {
		return false
	}
	until := r.returned.Add(OutageRemovalGrace)
	if limit := now.Add(removalGrace); now.Sub(r.returned) > sameAnswer && limit.Before(until) {
		until = limit
	}
	if r.returned.IsZero() || !now.Before(until) {
		delete(r.entries, id)
		return false
	}
	if e.out.IsZero() {
		e.out = until
	}
	return true
}

// Discard takes out an entry that can't be used.
func (r *TargetSet) Discard(id string) { delete(r.entries, id) }

// RemoveUnlisted takes out, as Remove does, each entry that is not listed.
func (r *TargetSet) RemoveUnlisted(now time.Time, listed func(id string) bool) {
	for id := range r.entries {
		if !listed(id) {
			r.Remove(now, id)
		}
	}
}

// SourceRecovered tells when the source answered again after an outage.
func (r *TargetSet) SourceRecovered(at time.Time) {
	if at.After(r.returned) {
		r.returned = at
	}
}

// RemoveExpired takes out the entries that did not come back in time, and returns when to sweep again, or the zero time.
func (r *TargetSet) RemoveExpired(now time.Time) (next time.Time) {
	for id, e := range r.entries {
		switch {
		case e.out.IsZero():
		case !now.Before(e.out):
			delete(r.entries, id)
		case next.IsZero() || e.out.Before(next):
			next = e.out
		}
	}
	return next
}

// Targets returns the targets by pool, each sorted by id.
//
// Of two incarnations at one address only the later one is returned.
func (r *TargetSet) Targets() map[string][]Target {
	latest := make(map[netip.AddrPort]*entry, len(r.entries))
	for _, e := range r.entries {
		if old := latest[e.Address]; old == nil || later(e, old) {
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
func (r *TargetSet) Len() int { return len(r.entries) }

func later(a, b *entry) bool {
	if !a.StartedAt.Equal(b.StartedAt) {
		return a.StartedAt.After(b.StartedAt)
	}
	return a.ID > b.ID
}
