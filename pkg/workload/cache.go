package workload

import (
	"container/list"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

const (
	maxKeys   = 448 // of route, workspace and size class
	maxRoutes = 64  // together with the keys: 512
)

// cacheKey holds hashes, so that names of any length take the same memory. A collision only mixes two histories.
type cacheKey struct {
	route, workspace uint64
	size             int8 // power of two; -1 in the key of a route
	call             bool
}

func routeKey(r Request, call bool) cacheKey {
	return cacheKey{route: xxhash.Sum64String(r.Route), size: -1, call: call}
}

func fullKey(r Request, call bool) cacheKey {
	n := r.PromptTokens
	if call {
		n = r.Bytes
	}
	return cacheKey{
		xxhash.Sum64String(r.Route), xxhash.Sum64String(r.Workspace), int8(bits.Len64(uint64(max(n, 0)))), call,
	}
}

// history is what requests of one key have needed.
type history struct {
	key    cacheKey
	values distribution
	// hintRatios holds output/hint in 1/1024; nil until the first request with a hint.
	hintRatios *distribution
}

// cache holds a bounded number of histories and drops the least recently used one.
type cache struct {
	elements map[cacheKey]*list.Element
	order    list.List // most recently used first
}

// get returns the history of a key, or nil if there is none.
func (c *cache) get(k cacheKey) *history {
	el := c.elements[k]
	if el == nil {
		return nil
	}
	c.order.MoveToFront(el)
	return el.Value.(*history)
}

// getOrAdd returns the history of a key. If it adds one, it drops others down to the limit.
func (c *cache) getOrAdd(k cacheKey, limit int) *history {
	if h := c.get(k); h != nil {
		return h
	}
	if c.elements == nil {
		c.elements = map[cacheKey]*list.Element{}
	}
	for c.order.Len() >= limit {
		oldest := c.order.Remove(c.order.Back()).(*history)
		delete(c.elements, oldest.key)
	}
	h := &history{key: k}
	c.elements[k] = c.order.PushFront(h)
	return h
}
