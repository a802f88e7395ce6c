package slot

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// DefaultSeats is the default number of seats of a pool.
const DefaultSeats = 8

// Assignment gives the holder of each seat of one pool; slot j of the pool belongs to seat j modulo the
// number of seats.
type Assignment struct {
	// Holders has the holder of each seat; it is empty if no member can hold a seat.
	Holders []Member
	// PossibleHolders are all current members to which any roster so far may have assigned a seat
	// of the pool, including the current holders.
	PossibleHolders []Member
}

// ranked is a member with its rendezvous weight for a pool.
type ranked struct {
	Member
	weight uint64
}

func rendezvousWeight(parts ...string) uint64 {
	h := xxhash.New()
	for _, p := range parts {
		_, _ = h.WriteString(p)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// byWeight orders members by descending weight.
func byWeight(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.ID, b.ID), cmp.Compare(b.Incarnation, a.Incarnation))
}

// rankMembers returns the members ordered by their rendezvous weight for a pool, highest first.
func (r *Roster) rankMembers(pool string) []ranked {
	ranking := make([]ranked, len(r.Members))
	for i, m := range r.Members {
		ranking[i] = ranked{m, rendezvousWeight(pool, m.ID)}
	}
	slices.SortFunc(ranking, byWeight)
	return ranking
}

// Assign returns the assignment of the seats of a pool.
//
// The members that rank highest choose seats in turn, in the order of their rank; each
// chooses the free seat for which it has the highest hash. The numbers of seats of two
// holders therefore differ by at most one, and a change of one member moves seats along a
// single chain of preferences.
func (r *Roster) Assign(pool string, seats int) Assignment {
	if r == nil {
		return Assignment{}
	}
	ranking := r.rankMembers(pool)
	a := Assignment{}
	var holders []Member
	// earliestJoined has the lowest epochs, in order and at most seats of them, at which the
	// members visited so far that are not leaving joined.
	earliestJoined := make([]int64, 0, seats+1)
	for _, m := range ranking {
		// A member can have been a holder only if fewer than seats of the members that rank
		// above it have been present ever since it joined.
		if len(earliestJoined) < seats || m.Joined < earliestJoined[seats-1] {
			a.PossibleHolders = append(a.PossibleHolders, m.Member)
		}
		if m.Leaving {
			continue
		}
		if len(holders) < seats {
			holders = append(holders, m.Member)
		}
		i, _ := slices.BinarySearch(earliestJoined, m.Joined)
		earliestJoined = slices.Insert(earliestJoined, i, m.Joined)
		earliestJoined = earliestJoined[:min(len(earliestJoined), seats)]
	}
	if len(holders) > 0 {
		a.Holders = assignSeats(holders, pool, seats)
	}
	return a
}

// assignSeats lets the holders choose seats in turn until all seats have a holder.
func assignSeats(holders []Member, pool string, seats int) []Member {
	out, taken := make([]Member, seats), make([]bool, seats)
	for turn := 0; turn < seats; turn++ {
		m := holders[turn%len(holders)]
		best, bestWeight := -1, uint64(0)
		for s := range seats {
			if taken[s] {
				continue
			}
			if w := rendezvousWeight(pool, m.ID, string(rune('a'+s))); best < 0 || w > bestWeight {
				best, bestWeight = s, w
			}
		}
		out[best], taken[best] = m, true
	}
	return out
}

// mayHold reports whether self may be among the holders of a pool; it avoids a full sort.
func (r *Roster) mayHold(self ranked, pool string, seats int) bool {
	higher := 0
	for _, m := range r.Members {
		if m.Leaving || m.Key() == self.Key() {
			continue
		}
		if byWeight(ranked{m, rendezvousWeight(pool, m.ID)}, self) < 0 {
			if higher++; higher == seats {
				return false
			}
		}
	}
	return true
}
