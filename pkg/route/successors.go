package route

import (
	"slices"
	"time"
)

// successorLife is how long a successor is used without an answer from it and without an entry;
// an outage of the source may last longer, so that each answer extends it.
const successorLife = 10 * time.Second

// Successors holds targets that took over the address of a target that ended, and whose entries
// have not come yet; set its exported field before the first call.
//
// A platform gives an address to another pool only some time after its holder's end. An
// incarnation that answers there earlier belongs to the same pool, and has the same version.
type Successors struct {
	// AddressReuse is that time; 0 means that no successor is ever proved.
	AddressReuse time.Duration

	known map[string]*successor
}

type successor struct {
	Target
	// after lists the former holders of the address, the last one first.
	after []string
	until time.Time
	// own tells that this instance proved it.
	own bool
}

// ProvesSamePool reports whether an answer at a target's address belongs to its pool; heard is when the
// target itself last sent something.
func (s *Successors) ProvesSamePool(now, heard time.Time) bool {
	return !heard.IsZero() && now.Sub(heard) < s.AddressReuse
}

// ProofDeadline returns until when an answer at the target's address is a proof.
func (s *Successors) ProofDeadline(heard time.Time) time.Time { return heard.Add(s.AddressReuse) }

// Add takes in a target's successor; own tells that this instance has proved it.
func (s *Successors) Add(now time.Time, former Target, id string, own bool) Target {
	if s.known == nil {
		s.known = map[string]*successor{}
	}
	if k := s.known[id]; k != nil {
		k.own = k.own || own
		k.until = now.Add(successorLife)
		return k.Target
	}
	n := &successor{Target: former, after: []string{former.ID}, until: now.Add(successorLife), own: own}
	if k := s.known[former.ID]; k != nil {
		n.after = append(n.after, k.after...)
		delete(s.known, former.ID)
	}
	n.ID, n.StartedAt, n.Leaving = id, now, false
	s.known[id] = n
	return n.Target
}

// RecordAnswer notes an answer of a target.
func (s *Successors) RecordAnswer(now time.Time, id string) {
	if k := s.known[id]; k != nil {
		k.until = now.Add(successorLife)
	}
}

// ProvenLocally returns the successors that this instance has proved, by the target that they follow.
func (s *Successors) ProvenLocally() map[string]string {
	var out map[string]string
	for id, k := range s.known {
		if k.own {
			if out == nil {
				out = map[string]string{}
			}
			out[k.after[0]] = id
		}
	}
	return out
}

// MergeInto returns listed targets with the successors that have no entry yet, and forgets the others.
func (s *Successors) MergeInto(now time.Time, listed []Target) []Target {
	out := listed
	for id, k := range s.known {
		if !now.Before(k.until) || slices.ContainsFunc(listed, k.replacedBy) {
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

// replacedBy reports whether an entry says more than the successor does.
func (k *successor) replacedBy(t Target) bool {
	return t.ID == k.ID || t.Address == k.Address && !slices.Contains(k.after, t.ID)
}
