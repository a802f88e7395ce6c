package slot

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// DefaultSeats is the number of seats of a pool when nothing else is set.
const DefaultSeats = 8

// Assignment tells who holds the seats of one pool; slot j of the pool belongs to seat j modulo their number.
type Assignment struct {
	// Holders has the holder of each seat; it is empty when no member can hold any.
	Holders []Member
	// PossibleHolders are all present members that may have been dealt a seat of the pool by any
	// roster so far, among them the present holders.
	PossibleHolders []Member
}

type ranked struct {
	Member
	weight uint64
}

func weight(parts ...string) uint64 {
	h := xxhash.New()
	for _, p := range parts {
		_, _ = h.WriteString(p)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

func byWeight(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.ID, b.ID), cmp.Compare(b.Incarnation, a.Incarnation))
}

// rank orders the members by rendezvous hash for a pool, highest first.
func (r *Roster) rank(pool string) []ranked {
	list := make([]ranked, len(r.Members))
	for i, m := range r.Members {
		list[i] = ranked{m, weight(pool, m.ID)}
	}
	slices.SortFunc(list, byWeight)
	return list
}

// Assign deals the seats of a pool.
//
// The members that rank highest take seats in turn, in the order of their rank, each
// the free seat that it prefers by hash. So all get as many seats as any other, or one
// fewer, and a change of one member moves seats along one chain of preferences only.
func (r *Roster) Assign(pool string, seats int) Assignment {
	if r == nil {
		return Assignment{}
	}
	list := r.rank(pool)
	d := Assignment{}
	var holders []Member
	// joined has the smallest epochs at which eligible members ranked so far joined.
	joined := make([]int64, 0, seats+1)
	for _, m := range list {
		// A member was among the first only if fewer than seats of the members that rank
		// above it were there all the time since it joined.
		if len(joined) < seats || m.Joined < joined[seats-1] {
			d.PossibleHolders = append(d.PossibleHolders, m.Member)
		}
		if m.Leaving {
			continue
		}
		if len(holders) < seats {
			holders = append(holders, m.Member)
		}
		i, _ := slices.BinarySearch(joined, m.Joined)
		joined = slices.Insert(joined, i, m.Joined)
		joined = joined[:min(len(joined), seats)]
	}
	if len(holders) > 0 {
		d.Holders = assign(holders, pool, seats)
	}
	return d
}

func assign(holders []Member, pool string, seats int) []Member {
	out, taken := make([]Member, seats), make([]bool, seats)
	for n := 0; n < seats; n++ {
		m := holders[n%len(holders)]
		best, most := -1, uint64(0)
		for s := range seats {
			if taken[s] {
				continue
			}
			if w := weight(pool, m.ID, string(rune('a'+s))); best < 0 || w > most {
				best, most = s, w
			}
		}
		out[best], taken[best] = m, true
	}
	return out
}

// holds reports whether the member may be among the holders of a pool, without a full sort.
func (r *Roster) holds(self ranked, pool string, seats int) bool {
	above := 0
	for _, m := range r.Members {
		if m.Leaving || m.Key() == self.Key() {
			continue
		}
		if byWeight(ranked{m, weight(pool, m.ID)}, self) < 0 {
			if above++; above == seats {
				return false
			}
		}
	}
	return true
}
