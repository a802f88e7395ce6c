package engine

import (
	"math"
	"time"
)

const (
	// trustDecay is the time in which the probability that a block is still cached falls to 1/e.
	trustDecay = 30 * time.Second
	// gapTrust is the factor applied to this probability of each block stored before a gap in the
	// events, since the lost event may have reported that it was dropped.
	gapTrust = 0.7
	// maxCachedBlocks bounds the number of blocks tracked for one target.
	maxCachedBlocks = 2048
)

// prefixCache tracks which prompt blocks a target is expected to have cached.
type prefixCache struct {
	blocks   map[uint64]cachedBlock
	sequence uint64
	// gaps counts the gaps in the events so far.
	gaps int
}

type cachedBlock struct {
	storedAt time.Time
	gaps     int
}

// recordPrompt records that the target was sent a prompt with these blocks.
func (p *prefixCache) recordPrompt(now time.Time, blocks []uint64) {
	p.init()
	for _, b := range blocks {
		p.storeBlock(b, now)
	}
}

// applyEvents applies cache events, which may be late and have gaps.
func (p *prefixCache) applyEvents(events []CacheEvent) {
	p.init()
	for _, ev := range events {
		if ev.Sequence <= p.sequence {
			continue
		}
		if ev.Sequence != p.sequence+1 && p.sequence != 0 {
			p.gaps++
		}
		p.sequence = ev.Sequence
		known, cached := p.blocks[ev.Block]
		switch {
		case ev.Dropped && cached && !known.storedAt.After(ev.At):
			delete(p.blocks, ev.Block)
		case !ev.Dropped && (!cached || known.storedAt.Before(ev.At)):
			p.storeBlock(ev.Block, ev.At)
		}
	}
}

// cachedShare returns the expected share of the blocks that the target has cached.
func (p *prefixCache) cachedShare(now time.Time, blocks []uint64) float64 {
	if len(blocks) == 0 {
		return 0
	}
	sum := 0.0
	for _, b := range blocks {
		c, ok := p.blocks[b]
		if !ok {
			break
		}
		sum += math.Exp(-now.Sub(c.storedAt).Seconds()/trustDecay.Seconds()) * math.Pow(gapTrust, float64(p.gaps-c.gaps))
	}
	return sum / float64(len(blocks))
}

func (p *prefixCache) init() {
	if p.blocks == nil {
		p.blocks = map[uint64]cachedBlock{}
	}
}

// storeBlock stores a block, first evicting an old one if there are too many.
func (p *prefixCache) storeBlock(block uint64, at time.Time) {
	if _, cached := p.blocks[block]; !cached && len(p.blocks) >= maxCachedBlocks {
		p.evict()
	}
	p.blocks[block] = cachedBlock{at, p.gaps}
}

const evictionSample = 8

// evict removes the oldest block of a random sample, which avoids keeping the blocks in order.
func (p *prefixCache) evict() {
	n, oldest, oldestAt := 0, uint64(0), time.Time{}
	for b, c := range p.blocks {
		if n == 0 || c.storedAt.Before(oldestAt) {
			oldest, oldestAt = b, c.storedAt
		}
		if n++; n == evictionSample {
			break
		}
	}
	delete(p.blocks, oldest)
}
