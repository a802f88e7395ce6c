package instance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// place is where a member stands in one ring.
type place struct {
	weight uint64
	id     string
}

func compare(a, b place) int { return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.id, b.id)) }

func placeOf(ring int, id string) place {
	h := xxhash.New()
	_, _ = h.Write([]byte{byte(ring)})
	_, _ = h.WriteString(id)
	return place{h.Sum64(), id}
}

// rings are the permutations of the members by hash.
type rings [RingCount][]place

func (r *rings) add(id string) {
	for k := range r {
		p := placeOf(k, id)
		if i, found := slices.BinarySearchFunc(r[k], p, compare); !found {
			r[k] = slices.Insert(r[k], i, p)
		}
	}
}

func (r *rings) remove(id string) {
	for k := range r {
		if i, found := slices.BinarySearchFunc(r[k], placeOf(k, id), compare); found {
			r[k] = slices.Delete(r[k], i, i+1)
		}
	}
}

// step returns the member that is n places after the given one in a ring.
func (r *rings) step(ring int, id string, n int) string {
	i, found := slices.BinarySearchFunc(r[ring], placeOf(ring, id), compare)
	size := len(r[ring])
	if !found || size < 2 {
		return ""
	}
	return r[ring][((i+n)%size+size)%size].id
}

// monitors returns who heartbeats a member: its predecessors, at least two of them
// if there are three members, since a death needs two reports.
func (r *rings) monitors(id string) []string {
	var list []string
	for k := range r {
		if p := r.step(k, id, -1); p != "" && !slices.Contains(list, p) {
			list = append(list, p)
		}
	}
	if len(list) == 1 && len(r[0]) > 2 {
		list = append(list, r.step(0, id, -2))
	}
	return list
}

// targets returns whom a member heartbeats.
func (r *rings) targets(id string) []string {
	var list []string
	for k := range r {
		if s := r.step(k, id, 1); s != "" && !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	if len(r[0]) > 2 {
		second := r.step(0, id, 2)
		if !slices.Contains(list, second) && slices.Contains(r.monitors(second), id) {
			list = append(list, second)
		}
	}
	return list
}
