package route

import (
	"slices"
	"time"
)

// successorTTL is how long a successor is used without a response from it and without an entry; an
// outage of the source may last longer, so each response extends the time.
const successorTTL = 10 * time.Second

// Successors holds targets that reuse the address of a target that ended, and that have no entry
// yet; set its exported field before the first call.
//
// A platform assigns an address to another pool only some time after its previous target ended. An
// incarnation that responds at the address earlier belongs to the same pool and has the same
// version.
type Successors struct {
	// AddressReuse is the time before an address is assigned to another pool; at 0 no successor can
	// be proved.
	AddressReuse time.Duration

	known map[string]*successor
	// listed holds the IDs of the targets that have an entry, and departed when the entries of others were
	// removed.
	listed   map[string]bool
	departed map[string]time.Time
}

type successor struct {
	Target
	// predecessors lists the IDs of the targets that had the address before, the latest first.
	predecessors []string
	expiresAt    time.Time
	// provenLocally is set when this instance proved the successor.
	provenLocally bool
}

// ProvesSamePool reports whether a response from a target's address must come from the same pool;
// lastHeard is when the target itself last sent data.
func (s *Successors) ProvesSamePool(now, lastHeard time.Time) bool {
	return !lastHeard.IsZero() && now.Sub(lastHeard) < s.AddressReuse
}

// ProofDeadline returns the time until which a response from the target's address proves a
// successor.
func (s *Successors) ProofDeadline(lastHeard time.Time) time.Time {
	return lastHeard.Add(s.AddressReuse)
}

// Add stores a target's successor, unless it has an entry or its entry was removed; provenLocally is set when this
// instance has proved it.
func (s *Successors) Add(now time.Time, predecessor Target, id string, provenLocally bool) {
	if _, gone := s.departed[id]; gone || s.listed[id] {
		return
	}
	if s.known == nil {
		s.known = map[string]*successor{}
	}
	if k := s.known[id]; k != nil {
		k.provenLocally = k.provenLocally || provenLocally
		k.expiresAt = now.Add(successorTTL)
		return
	}
	n := &successor{Target: predecessor, predecessors: []string{predecessor.ID}, expiresAt: now.Add(successorTTL), provenLocally: provenLocally}
	if k := s.known[predecessor.ID]; k != nil {
		n.predecessors = append(n.predecessors, k.predecessors...)
		delete(s.known, predecessor.ID)
	}
	n.ID, n.StartedAt, n.Leaving = id, now, false
	s.known[id] = n
}

// RecordRemoval records that the entry of a target was removed. It may never have been listed: an entry that is
// written and removed in quick succession is only seen as removed.
func (s *Successors) RecordRemoval(now time.Time, id string) {
	if s.departed == nil {
		s.departed = map[string]time.Time{}
	}
	s.departed[id] = now
	delete(s.known, id)
}

// recordListing records which targets have an entry now.
func (s *Successors) recordListing(now time.Time, listed []Target) {
	if s.departed == nil {
		s.departed = map[string]time.Time{}
	}
	present := make(map[string]bool, len(listed))
	for i := range listed {
		present[listed[i].ID] = true
		delete(s.departed, listed[i].ID)
	}
	for id := range s.listed {
		if !present[id] {
			s.departed[id] = now
		}
	}
	for id, at := range s.departed {
		if now.Sub(at) > departureTTL {
			delete(s.departed, id)
		}
	}
	s.listed = present
}

// RecordResponse extends the lifetime of a successor that sent a response.
func (s *Successors) RecordResponse(now time.Time, id string) {
	if k := s.known[id]; k != nil {
		k.expiresAt = now.Add(successorTTL)
	}
}

// ProvenLocally returns the successors that this instance has proved, keyed by the target that they
// replaced.
func (s *Successors) ProvenLocally() map[string]string {
	var out map[string]string
	for id, k := range s.known {
		if k.provenLocally {
			if out == nil {
				out = map[string]string{}
			}
			out[k.predecessors[0]] = id
		}
	}
	return out
}

// MergeInto returns the listed targets with the successors that have no entry yet, and removes all
// other successors.
func (s *Successors) MergeInto(now time.Time, listed []Target) []Target {
	s.recordListing(now, listed)
	out := listed
	for id, k := range s.known {
		if !now.Before(k.expiresAt) || slices.ContainsFunc(listed, k.supersededBy) {
			delete(s.known, id)
			continue
		}
		if len(out) == len(listed) {
			out = slices.Clone(listed)
		}
		out = append(out, k.Target)
	}
	return out
}

// supersededBy reports whether an entry makes the successor obsolete.
func (k *successor) supersededBy(t Target) bool {
	return t.ID == k.ID || t.Address == k.Address && !slices.Contains(k.predecessors, t.ID)
}
