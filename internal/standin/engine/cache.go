package engine

import (
	"container/list"
	"net/http"
	"strconv"
	"time"

	"bambooferry.example/bambooferry/pkg/engine"
)

const (
	maxBlocks = 1024
	maxEvents = 4096
)

// cache is a prefix cache that drops the blocks used least recently.
type cache struct {
	limit    int
	order    list.List
	blocks   map[uint64]*list.Element
	sequence uint64
	events   []engine.CacheEvent
}

// add takes in a prompt's blocks and returns how many of its first blocks were held.
func (c *cache) add(now time.Time, blocks []uint64) int {
	if c.blocks == nil {
		c.blocks = map[uint64]*list.Element{}
	}
	hit := 0
	for i, b := range blocks {
		if el := c.blocks[b]; el != nil {
			c.order.MoveToFront(el)
			if hit == i {
				hit++
			}
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		c.publish(now, b, false)
	}
	for c.order.Len() > c.limit {
		b := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, b)
		c.publish(now, b, true)
	}
	return hit
}

func (c *cache) publish(now time.Time, block uint64, dropped bool) {
	c.sequence++
	c.events = append(c.events, engine.CacheEvent{Sequence: c.sequence, At: now, Block: block, Dropped: dropped})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []engine.CacheEvent{}
	until := time.Now().Add(-time.Duration(e.faults.EventLag))
	for _, ev := range e.cache.events {
		gap := e.faults.DropEveryNthEvent > 0 && ev.Sequence%uint64(e.faults.DropEveryNthEvent) == 0
		if ev.Sequence > since && !ev.At.After(until) && !gap {
			out = append(out, ev)
		}
	}
	reply(w, http.StatusOK, out)
}
