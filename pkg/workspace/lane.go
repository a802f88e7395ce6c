package workspace

import (
	"cmp"
	"container/heap"
	"slices"
)

// laneKey identifies items that wait for the same resources.
type laneKey struct {
	class                   int
	entry, group, workspace string
}

func (item *queuedItem) laneKey() laneKey {
	return laneKey{item.Class, item.Entry, item.Group, item.Workspace}
}

// entryQueue holds the waiting items of one entry, in fair order and by deadline.
type entryQueue struct{ byOrder, byDeadline itemTree }

func newEntryQueue() *entryQueue {
	return &entryQueue{itemTree{compare: compareOrder}, itemTree{compare: compareDeadlines}}
}

func compareOrder(a, b *queuedItem) int {
	return cmp.Or(cmp.Compare(b.Class, a.Class), cmp.Compare(a.startTag, b.startTag), cmp.Compare(a.sequence, b.sequence))
}

func compareDeadlines(a, b *queuedItem) int {
	return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.sequence, b.sequence))
}

// laneHeap orders lanes by the next item of each.
type laneHeap []laneHead

type laneHead struct {
	*queuedItem
	lane *itemTree
}

func (h laneHeap) Len() int           { return len(h) }
func (h laneHeap) Less(i, j int) bool { return compareOrder(h[i].queuedItem, h[j].queuedItem) < 0 }
func (h laneHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends a lane.
func (h *laneHeap) Push(x any) { *h = append(*h, x.(laneHead)) }

// Pop removes the last lane.
func (h *laneHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// advanceFirst replaces the first lane's item by its next one, or removes the lane if there is none.
func (h *laneHeap) advanceFirst(next *queuedItem) {
	if next != nil {
		(*h)[0].queuedItem = next
		heap.Fix(h, 0)
		return
	}
	// Removes the first lane like heap.Pop, but without an allocation.
	last := len(*h) - 1
	(*h)[0] = (*h)[last]
	if *h = (*h)[:last]; last > 1 {
		heap.Fix(h, 0)
	}
}

// removeBlocked removes all blocked lanes, which is cheaper than one at a time if there are many.
func (h *laneHeap) removeBlocked(b *blockedSet) {
	*h = slices.DeleteFunc(*h, func(l laneHead) bool { return b.contains(l.queuedItem) })
	heap.Init(h)
}
