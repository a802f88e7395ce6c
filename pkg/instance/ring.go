package instance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ringPosition is the position of a member in one ring.
type ringPosition struct {
	weight uint64
	id     string
}

func comparePositions(a, b ringPosition) int {
	return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.id, b.id))
}

func positionOf(ring int, id string) ringPosition {
	h := xxhash.New()
	_, _ = h.Write([]byte{byte(ring)})
	_, _ = h.WriteString(id)
	return ringPosition{h.Sum64(), id}
}

// rings holds the members in RingCount orders, each by another hash of the ID.
type rings [RingCount][]ringPosition

func (r *rings) add(id string) {
	for k := range r {
		p := positionOf(k, id)
		if i, found := slices.BinarySearchFunc(r[k], p, comparePositions); !found {
			r[k] = slices.Insert(r[k], i, p)
		}
	}
}

func (r *rings) remove(id string) {
	for k := range r {
		if i, found := slices.BinarySearchFunc(r[k], positionOf(k, id), comparePositions); found {
			r[k] = slices.Delete(r[k], i, i+1)
		}
	}
}

// neighbour returns the member that is offset positions after the given one in a ring, or "".
func (r *rings) neighbour(ring int, id string, offset int) string {
	i, found := slices.BinarySearchFunc(r[ring], positionOf(ring, id), comparePositions)
	size := len(r[ring])
	if !found || size < 2 {
		return ""
	}
	return r[ring][((i+offset)%size+size)%size].id
}

// monitors returns the members that send heartbeats to a member: its predecessors, and at least two
// if there are three members, since a death needs two reports.
func (r *rings) monitors(id string) []string {
	var list []string
	for k := range r {
		if p := r.neighbour(k, id, -1); p != "" && !slices.Contains(list, p) {
			list = append(list, p)
		}
	}
	if len(list) == 1 && len(r[0]) > 2 {
		list = append(list, r.neighbour(0, id, -2))
	}
	return list
}

// targets returns the members to which a member sends heartbeats.
func (r *rings) targets(id string) []string {
	var list []string
	for k := range r {
		if s := r.neighbour(k, id, 1); s != "" && !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	if len(r[0]) > 2 {
		second := r.neighbour(0, id, 2)
		if !slices.Contains(list, second) && slices.Contains(r.monitors(second), id) {
			list = append(list, second)
		}
	}
	return list
}
