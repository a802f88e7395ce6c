package engine

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"bambooferry.example/bambooferry/pkg/engine"
)

// record is one generation that is queued, running or finished.
type record struct {
	request engine.Request
	// firstPosition is the position of texts[0].
	firstPosition uint64
	texts         []string
	// endReason is empty until the generation is complete.
	endReason string
	aborted   bool
	inBatch   bool
	// changed is closed and replaced whenever the record changes.
	changed          chan struct{}
	readers          int
	lastReaderLeftAt time.Time
	endedAt          time.Time
	cancel           context.CancelFunc
	// admitted is closed when the generation gets a slot.
	admitted chan struct{}
}

// notifyReaders wakes all readers that wait for a change. The caller holds the lock.
func (rec *record) notifyReaders() {
	close(rec.changed)
	rec.changed = make(chan struct{})
}

// enqueue creates the record of a request and queues it. It returns false if that overloads the engine.
func (e *Engine) enqueue(ctx context.Context, r engine.Request) (*record, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if previous := e.records[r.Generation]; previous != nil {
		e.remove(previous)
	}
	rec := &record{request: r, firstPosition: r.From, changed: make(chan struct{}), admitted: make(chan struct{})}
	e.records[r.Generation] = rec
	e.stats.Started++
	held := e.running + len(e.queue) + 1
	e.stats.PeakRequests = max(e.stats.PeakRequests, held)
	if held > e.MaxRequests {
		e.stats.Overloaded = true
		return nil, false
	}
	e.queue = append(e.queue, rec)
	slices.SortStableFunc(e.queue, func(a, b *record) int { return b.request.Priority - a.request.Priority })
	e.fillSlots()
	ctx, rec.cancel = context.WithCancel(ctx)
	go e.generateTokens(ctx, rec)
	return rec, true
}

// fillSlots moves queued generations into free slots. The caller holds the lock.
func (e *Engine) fillSlots() {
	for e.running < e.Slots && len(e.queue) > 0 {
		rec := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		rec.inBatch = true
		close(rec.admitted)
	}
}

// remove deletes a record, aborts its generation if that is unfinished, and frees its slot. The caller holds the lock.
func (e *Engine) remove(rec *record) {
	if e.records[rec.request.Generation] == rec {
		delete(e.records, rec.request.Generation)
	}
	if rec.endReason == "" && !rec.aborted {
		e.stats.Cancelled++
		rec.aborted = true
	}
	if rec.cancel != nil {
		rec.cancel()
	}
	e.queue = slices.DeleteFunc(e.queue, func(r *record) bool { return r == rec })
	e.freeSlot(rec)
	rec.notifyReaders()
}

// freeSlot frees the slot of a generation, if it has one. The caller holds the lock.
func (e *Engine) freeSlot(rec *record) {
	if rec.inBatch {
		rec.inBatch = false
		e.running--
		e.fillSlots()
	}
}

// generateTokens waits for a slot and generates the tokens of one record at the configured speed.
func (e *Engine) generateTokens(ctx context.Context, rec *record) {
	r := &rec.request
	rng := rand.New(rand.NewPCG(e.Seed^r.Seed, uint64(r.Attempt)))
	select {
	case <-rec.admitted:
	case <-ctx.Done():
		return
	}
	if !e.sleep(ctx, e.prefillTime(r)) {
		return
	}
	for n := r.From; n < uint64(r.MaxTokens); n++ {
		if n > r.From && !e.sleep(ctx, e.nextTokenInterval(r, rng)) {
			return
		}
		if !e.appendToken(rec, n) {
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if rec.aborted {
		return
	}
	rec.endReason, rec.endedAt = "length", time.Now()
	e.freeSlot(rec)
	rec.notifyReaders()
}

// crashDuring kills the engine unless the generation has already ended.
func (e *Engine) crashDuring(rec *record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !rec.aborted && rec.endReason == "" {
		e.killLocked()
	}
}

// appendToken adds one token. It returns false if the generation was aborted, abandoned or ended by a fault.
func (e *Engine) appendToken(rec *record, position uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if rec.aborted {
		return false
	}
	if rec.readers == 0 && !rec.lastReaderLeftAt.IsZero() && time.Since(rec.lastReaderLeftAt) > e.Linger {
		e.remove(rec)
		return false
	}
	if e.faults.crashesAt(rec.request.Prompt, position) {
		e.killLocked()
		return false
	}
	if e.versionFaultApplies(&rec.request, e.faults.FailVersion) && position >= rec.firstPosition+3 {
		e.remove(rec)
		return false
	}
	rec.texts = append(rec.texts, TokenText(&rec.request, position))
	e.stats.Tokens++
	rec.notifyReaders()
	return true
}

// prefillTime returns the time to the first token, which is shorter the more of the prompt is cached.
func (e *Engine) prefillTime(r *engine.Request) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	blocks := engine.BlockHashes(r.Model, r.Version, r.Adapter, r.Prompt+r.Delivered, maxPromptBlocks)
	hits := e.cache.insert(time.Now(), blocks)
	e.stats.ReusedBlocks += hits
	e.stats.TotalBlocks += len(blocks)
	d := e.FirstToken
	if len(blocks) > 0 {
		d = d/4 + d*3/4*time.Duration(len(blocks)-hits)/time.Duration(len(blocks))
	}
	return e.applySlowdown(r, d)
}

// nextTokenInterval returns the time to the next token, varied by Noise and the faults.
func (e *Engine) nextTokenInterval(r *engine.Request, rng *rand.Rand) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := float64(e.TokenInterval) * (1 + e.Noise*(2*rng.Float64()-1))
	if e.Noise > 0 && rng.IntN(200) == 0 {
		d *= 5
	}
	return e.applySlowdown(r, time.Duration(d))
}

// applySlowdown extends a time by the faults that slow a request down. The caller holds the lock.
func (e *Engine) applySlowdown(r *engine.Request, d time.Duration) time.Duration {
	if e.faults.Slowdown > 0 {
		d = time.Duration(float64(d) * e.faults.Slowdown)
	}
	if e.versionFaultApplies(r, e.faults.SlowVersion) && e.faults.VersionSlowdown > 0 {
		d = time.Duration(float64(d) * e.faults.VersionSlowdown)
	}
	return d
}

// sleep waits for a time and for the end of any pause, and reports whether ctx is still active.
func (e *Engine) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return e.waitUnpaused(ctx)
	case <-ctx.Done():
		return false
	}
}
