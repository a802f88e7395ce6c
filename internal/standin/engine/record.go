package engine

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"bambooferry.example/bambooferry/pkg/engine"
)

// record is one generation that the engine runs or has run.
type record struct {
	request engine.Request
	// first is the position of texts[0].
	first    uint64
	texts    []string
	end      string
	broken   bool
	running  bool
	changed  chan struct{}
	readers  int
	leftAt   time.Time
	endedAt  time.Time
	cancel   context.CancelFunc
	admitted chan struct{}
}

func (rec *record) wake() {
	close(rec.changed)
	rec.changed = make(chan struct{})
}

// add takes in a request, or reports false when the engine fell over.
func (e *Engine) add(ctx context.Context, r engine.Request) (*record, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if old := e.records[r.Generation]; old != nil {
		e.drop(old)
	}
	rec := &record{request: r, first: r.From, changed: make(chan struct{}), admitted: make(chan struct{})}
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
	e.admit()
	ctx, rec.cancel = context.WithCancel(ctx)
	go e.run(ctx, rec)
	return rec, true
}

// admit moves queued generations into free slots; the caller holds the lock.
func (e *Engine) admit() {
	for e.running < e.Slots && len(e.queue) > 0 {
		rec := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		rec.running = true
		close(rec.admitted)
	}
}

// drop ends a generation and frees its slot; the caller holds the lock.
func (e *Engine) drop(rec *record) {
	if e.records[rec.request.Generation] == rec {
		delete(e.records, rec.request.Generation)
	}
	if rec.end == "" && !rec.broken {
		e.stats.Cancelled++
		rec.broken = true
	}
	if rec.cancel != nil {
		rec.cancel()
	}
	e.queue = slices.DeleteFunc(e.queue, func(r *record) bool { return r == rec })
	e.leave(rec)
	rec.wake()
}

// leave frees the slot of a generation; the caller holds the lock.
func (e *Engine) leave(rec *record) {
	if rec.running {
		rec.running = false
		e.running--
		e.admit()
	}
}

// run computes the tokens of one generation at the engine's pace.
func (e *Engine) run(ctx context.Context, rec *record) {
	r := &rec.request
	rng := rand.New(rand.NewPCG(e.Seed^r.Seed, uint64(r.Attempt)))
	select {
	case <-rec.admitted:
	case <-ctx.Done():
		return
	}
	if !e.wait(ctx, e.prefill(r)) {
		return
	}
	for n := r.From; n < uint64(r.MaxTokens); n++ {
		if n > r.From && !e.wait(ctx, e.gap(r, rng)) {
			return
		}
		if !e.produce(rec, n) {
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if rec.broken {
		return
	}
	rec.end, rec.endedAt = "length", time.Now()
	e.leave(rec)
	rec.wake()
}

// killWith ends the engine unless the generation has ended before.
func (e *Engine) killWith(rec *record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !rec.broken && rec.end == "" {
		e.kill()
	}
}

// produce adds one token, or breaks off when the version is faulty.
func (e *Engine) produce(rec *record, n uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if rec.broken {
		return false
	}
	if rec.readers == 0 && !rec.leftAt.IsZero() && time.Since(rec.leftAt) > e.Linger {
		e.drop(rec)
		return false
	}
	if e.faults.crashes(rec.request.Prompt, n) {
		e.kill()
		return false
	}
	if e.bad(&rec.request, e.faults.FailVersion) && n >= rec.first+3 {
		e.drop(rec)
		return false
	}
	rec.texts = append(rec.texts, TokenText(&rec.request, n))
	e.stats.Tokens++
	rec.wake()
	return true
}

// prefill returns the time until the first token, by what the cache holds of the prompt.
func (e *Engine) prefill(r *engine.Request) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	blocks := engine.BlockHashes(r.Model, r.Version, r.Adapter, r.Prompt+r.Delivered, maxBlocks)
	hit := e.cache.add(time.Now(), blocks)
	e.stats.ReusedBlocks += hit
	e.stats.TotalBlocks += len(blocks)
	d := e.FirstToken
	if len(blocks) > 0 {
		d = d/4 + d*3/4*time.Duration(len(blocks)-hit)/time.Duration(len(blocks))
	}
	return e.slowed(r, d)
}

func (e *Engine) gap(r *engine.Request, rng *rand.Rand) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := float64(e.TokenInterval) * (1 + e.Noise*(2*rng.Float64()-1))
	if e.Noise > 0 && rng.IntN(200) == 0 {
		d *= 5
	}
	return e.slowed(r, time.Duration(d))
}

func (e *Engine) slowed(r *engine.Request, d time.Duration) time.Duration {
	if e.faults.Slowdown > 0 {
		d = time.Duration(float64(d) * e.faults.Slowdown)
	}
	if e.bad(r, e.faults.SlowVersion) && e.faults.VersionSlowdown > 0 {
		d = time.Duration(float64(d) * e.faults.VersionSlowdown)
	}
	return d
}

func (e *Engine) wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return e.pass(ctx)
	case <-ctx.Done():
		return false
	}
}
