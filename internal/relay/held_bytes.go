package relay

import (
	"net/netip"
	"sync"
)

const (
	// defaultMaxHeldBytes is the bound on held bytes of an instance for which none is set.
	defaultMaxHeldBytes = 16 << 20
	// unreservedBytes is what each response may hold without a reservation, so that usual responses need none.
	unreservedBytes = 4 << 10
	// headerCopies is the number of copies of a header that are held while it is decoded.
	headerCopies = 2
	// ruleMemory is the rule of a ResponseError for a response that would need more memory than its target may use.
	ruleMemory = "memory_budget"
)

// byteBudget bounds the bytes of targets' responses that all requests of an instance hold.
type byteBudget struct {
	limit int64
	// observeDenied is called with the part of a response for which a reservation was denied.
	observeDenied func(part string)

	mu     sync.Mutex
	held   int64
	heldOf map[netip.AddrPort]int64
}

// reserve takes n bytes for a target, unless it would then hold more than what is free. One target thus gets half of the
// budget at most, n targets an equal share each, and one more target always finds as much free.
func (b *byteBudget) reserve(target netip.AddrPort, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.heldOf[target] + n
	if own > b.limit-b.held-n {
		return false
	}
	if b.heldOf == nil {
		b.heldOf = map[netip.AddrPort]int64{}
	}
	b.held += n
	b.heldOf[target] = own
	return true
}

func (b *byteBudget) release(target netip.AddrPort, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
	if b.heldOf[target] -= n; b.heldOf[target] == 0 {
		delete(b.heldOf, target)
	}
}

func (b *byteBudget) heldBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// heldBytes is what one attempt holds of a byteBudget; nil bounds nothing.
type heldBytes struct {
	budget *byteBudget
	target netip.AddrPort
	n      int64
}

// reserve takes n bytes more for a part of the response: "header", "body", "event" or "comments".
func (h *heldBytes) reserve(n int, part string) bool {
	if h == nil || n <= 0 {
		return true
	}
	if !h.budget.reserve(h.target, int64(n)) {
		h.budget.observeDenied(part)
		return false
	}
	h.n += int64(n)
	return true
}

func (h *heldBytes) release(n int) {
	if n = min(n, int(h.n)); n > 0 {
		h.n -= int64(n)
		h.budget.release(h.target, int64(n))
	}
}

func (h *heldBytes) releaseAll() { h.release(int(h.n)) }

// grow returns b with room for more, up to a capacity of limit. copies is the number of copies of it that are held.
func (h *heldBytes) grow(b []byte, limit, copies int, part string) ([]byte, bool) {
	size := min(max(2*cap(b), unreservedBytes), limit)
	if !h.reserve(copies*(reservedFor(size)-reservedFor(cap(b))), part) {
		return b, false
	}
	return append(make([]byte, 0, size), b...), true
}

// reservedFor returns what has to be reserved for a buffer.
func reservedFor(size int) int {
	if size <= unreservedBytes {
		return 0
	}
	return size
}
