package workspace

// itemTree is an ordered set of queued items with the sum of their costs; all operations are logarithmic.
//
// It is a treap whose priorities are hashes of the items' sequence numbers, so that the same
// operations always give the same tree.
type itemTree struct {
	compare func(a, b *queuedItem) int
	root    *node
}

type node struct {
	*queuedItem
	left, right *node
	priority    uint64
	count       int
	costSum     float64
}

func (t *node) size() int {
	if t == nil {
		return 0
	}
	return t.count
}

func (t *node) cost() float64 {
	if t == nil {
		return 0
	}
	return t.costSum
}

func (t *node) updateSums() *node {
	t.count = 1 + t.left.size() + t.right.size()
	t.costSum = t.Cost + t.left.cost() + t.right.cost()
	return t
}

// mixBits spreads the bits of a number evenly (the finalizer of SplitMix64).
func mixBits(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// split divides a tree into the items before the given one and the rest.
func (t *itemTree) split(n *node, item *queuedItem) (before, rest *node) {
	switch {
	case n == nil:
		return nil, nil
	case t.compare(n.queuedItem, item) < 0:
		n.right, rest = t.split(n.right, item)
		return n.updateSums(), rest
	}
	before, n.left = t.split(n.left, item)
	return before, n.updateSums()
}

func merge(a, b *node) *node {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.priority > b.priority:
		a.right = merge(a.right, b)
		return a.updateSums()
	}
	b.left = merge(a, b.left)
	return b.updateSums()
}

func (t *itemTree) insert(item *queuedItem) {
	before, rest := t.split(t.root, item)
	n := (&node{queuedItem: item, priority: mixBits(item.sequence)}).updateSums()
	t.root = merge(merge(before, n), rest)
}

// remove removes an item, which must be in the tree.
func (t *itemTree) remove(item *queuedItem) { t.root = t.removeFrom(t.root, item) }

func (t *itemTree) removeFrom(n *node, item *queuedItem) *node {
	c := t.compare(item, n.queuedItem)
	switch {
	case c == 0:
		return merge(n.left, n.right)
	case c < 0:
		n.left = t.removeFrom(n.left, item)
	default:
		n.right = t.removeFrom(n.right, item)
	}
	return n.updateSums()
}

// first returns the first item, or nil.
func (t *itemTree) first() *queuedItem {
	n := t.root
	if n == nil {
		return nil
	}
	for n.left != nil {
		n = n.left
	}
	return n.queuedItem
}

// last returns the last item, or nil.
func (t *itemTree) last() *queuedItem {
	n := t.root
	if n == nil {
		return nil
	}
	for n.right != nil {
		n = n.right
	}
	return n.queuedItem
}

// after returns the first item after the given one, or nil.
func (t *itemTree) after(item *queuedItem) (next *queuedItem) {
	for n := t.root; n != nil; {
		if t.compare(n.queuedItem, item) > 0 {
			next, n = n.queuedItem, n.left
			continue
		}
		n = n.right
	}
	return next
}

// costAhead returns the total cost of the items before the given one.
func (t *itemTree) costAhead(item *queuedItem) (sum float64) {
	for n := t.root; n != nil; {
		if t.compare(n.queuedItem, item) < 0 {
			sum += n.left.cost() + n.Cost
			n = n.right
			continue
		}
		n = n.left
	}
	return sum
}
