package instance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RankByRendezvousHash orders members by rendezvous hash for a key, highest first, and returns at most n.
//
// All instances with the same members get the same order, and adding or removing one
// member moves only the keys that this member holds.
func RankByRendezvousHash(members []Member, key string, n int) []Member {
	type ranked struct {
		Member
		weight uint64
	}
	list := make([]ranked, 0, len(members))
	for _, m := range members {
		h := xxhash.New()
		_, _ = h.WriteString(key)
		_, _ = h.Write([]byte{0})
		_, _ = h.WriteString(m.ID)
		list = append(list, ranked{m, h.Sum64()})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.ID, b.ID))
	})
	out := make([]Member, 0, min(n, len(list)))
	for _, r := range list[:min(n, len(list))] {
		out = append(out, r.Member)
	}
	return out
}
