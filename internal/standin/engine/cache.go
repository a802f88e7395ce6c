package engine

import (
	"container/list"
	"net/http"
	"strconv"
	"time"

	"bambooferry.example/bambooferry/pkg/engine"
)

const (
	maxPromptBlocks = 1024
	maxCacheEvents  = 4096
)

// cache is a prefix cache that evicts the least recently used blocks.
type cache struct {
	limit    int
	recency  list.List
	blocks   map[uint64]*list.Element
	sequence uint64
	events   []engine.CacheEvent
}

// insert adds a prompt's blocks and returns how many of its leading blocks were already cached.
func (c *cache) insert(now time.Time, blocks []uint64) int {
	if c.blocks == nil {
		c.blocks = map[uint64]*list.Element{}
	}
	hits := 0
	for i, b := range blocks {
		if el := c.blocks[b]; el != nil {
			c.recency.MoveToFront(el)
			if hits == i {
				hits++
			}
			continue
		}
		c.blocks[b] = c.recency.PushFront(b)
		c.recordEvent(now, b, false)
	}
	for c.recency.Len() > c.limit {
		b := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.blocks, b)
		c.recordEvent(now, b, true)
	}
	return hits
}

// recordEvent appends an event and discards the oldest beyond maxCacheEvents.
func (c *cache) recordEvent(now time.Time, block uint64, dropped bool) {
	c.sequence++
	c.events = append(c.events, engine.CacheEvent{Sequence: c.sequence, At: now, Block: block, Dropped: dropped})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// handleCacheEvents answers GET /cache-events with the events after a sequence number, delayed and dropped as the faults specify.
func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	events := []engine.CacheEvent{}
	visibleUntil := time.Now().Add(-time.Duration(e.faults.EventLag))
	for _, ev := range e.cache.events {
		dropped := e.faults.DropEveryNthEvent > 0 && ev.Sequence%uint64(e.faults.DropEveryNthEvent) == 0
		if ev.Sequence > since && !ev.At.After(visibleUntil) && !dropped {
			events = append(events, ev)
		}
	}
	writeJSON(w, http.StatusOK, events)
}
