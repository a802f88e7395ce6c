package server

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/platform"
	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/instance"
)

const (
	minWriteBackoff = 20 * time.Millisecond
	maxWriteBackoff = 500 * time.Millisecond
	// writeBurst is the number of unused writes that the budget accumulates for each shard of an
	// instance. Claims are written immediately at low load, and all instances together make at most
	// 32 writes a second more than the 400 that the spacing allows.
	writeBurst = 1
	// shardBurst is the burst of a shard with its own budget: a write that holds only results
	// must not delay the next claim.
	shardBurst = 3
	// settleMargin is how much earlier than its caller's deadline the writer must decide an
	// operation, so that the caller still receives the verdict.
	settleMargin = 5 * time.Millisecond
)

func shardKey(shard int) string { return fmt.Sprintf("claims/%d", shard) }

// shardWriter carries out the group writes of one shard; its loop goroutine runs while operations wait.
type shardWriter struct {
	server *Server
	key    string

	mu      sync.Mutex
	core    booking.ShardWriter
	waiting map[uint64]chan booking.Settled
	lastID  uint64
	running bool
	limiter *writeLimiter
	// wake wakes the loop when a claim was added, which does not wait for a group.
	wake chan struct{}
}

// submit adds an operation to the next group and waits for its verdict until ctx ends.
func (w *shardWriter) submit(ctx context.Context, o booking.Op) booking.Settled {
	deadline, ok := ctx.Deadline()
	if !ok {
		return booking.Settled{Verdict: booking.Unwritten}
	}
	w.mu.Lock()
	w.lastID++
	id, settled := w.lastID, make(chan booking.Settled, 1)
	w.waiting[id] = settled
	w.core.Enqueue(id, o, w.writeDueAt(o), deadline.Add(-settleMargin))
	if !w.running {
		w.running = true
		// A graceful stop waits for the callers of submit, not for the loop.
		go w.loop()
	}
	w.mu.Unlock()
	if o.Kind == booking.OpClaim {
		signal(w.wake)
	}
	select {
	case v := <-settled:
		return v
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case v := <-settled:
		return v
	default:
		return w.core.LastKnownResult(o)
	}
}

// newShardWriter returns the writer of one shard.
func (s *Server) newShardWriter(shard int, limiter *writeLimiter) *shardWriter {
	l := s.Limits.Calls
	w := &shardWriter{
		server: s, key: shardKey(shard), waiting: map[uint64]chan booking.Settled{}, wake: make(chan struct{}, 1), limiter: limiter,
	}
	if l.PerShardBudgets {
		w.limiter = &writeLimiter{scheduler: booking.WriteScheduler{Spacing: l.WriteSpacing, Shards: 1, Burst: shardBurst}}
	}
	w.core.Retention, w.core.MaxBatch = l.Retention, l.MaxGroup
	return w
}

// writeDueAt returns when an operation must be written; results wait a while to be written together with a claim.
func (w *shardWriter) writeDueAt(o booking.Op) time.Time {
	if o.Kind == booking.OpClaim {
		return time.Now()
	}
	return time.Now().Add(w.server.Limits.Calls.RecordDelay)
}

// loop executes the writer's steps until no operation waits.
func (w *shardWriter) loop() {
	ctx, pause := w.server.calls.baseContext(), minWriteBackoff
	for {
		wake, due, more := w.nextDue()
		if !more {
			return
		}
		if !due {
			w.waitIdle(ctx, wake)
			if ctx.Err() != nil {
				return
			}
			continue
		}
		if w.limiter.acquire(ctx, w) != nil {
			return
		}
		step := w.nextStep()
		if step.Kind != booking.Write {
			w.limiter.refund()
		}
		if step.Kind == booking.Idle {
			continue
		}
		if err := w.executeStep(ctx, step); err != nil {
			if ctx.Err() != nil {
				return
			}
			// Jitter keeps the instances from writing simultaneously when the service recovers.
			_ = sleep(ctx, pause/2+rand.N(pause/2))
			pause = min(2*pause, maxWriteBackoff)
			continue
		}
		pause = minWriteBackoff
	}
}

// nextDue reports whether a write is due now, and otherwise when the next one will be; more is false when no operation waits.
func (w *shardWriter) nextDue() (wake time.Time, due, more bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, wake, due = w.core.Demand(time.Now())
	w.running = w.core.PendingCount() > 0
	return wake, due, w.running
}

func (w *shardWriter) demand(now time.Time) booking.ShardDemand {
	w.mu.Lock()
	defer w.mu.Unlock()
	d, _, _ := w.core.Demand(now)
	return d
}

// waitIdle waits until the given time or a new claim.
func (w *shardWriter) waitIdle(ctx context.Context, until time.Time) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-t.C:
	case <-w.wake:
	case <-ctx.Done():
	}
}

func (w *shardWriter) nextStep() booking.Step {
	w.mu.Lock()
	defer w.mu.Unlock()
	step, results := w.core.NextStep(time.Now())
	w.deliverVerdicts(results)
	return step
}

// deliverVerdicts sends verdicts to the callers of submit; the caller holds the lock.
func (w *shardWriter) deliverVerdicts(results []booking.OpResult) {
	for _, r := range results {
		w.waiting[r.ID] <- r.Settled
		delete(w.waiting, r.ID)
	}
}

func (w *shardWriter) executeStep(ctx context.Context, step booking.Step) error {
	ctx, cancel := context.WithTimeout(ctx, w.server.Limits.Calls.WriteTimeout)
	defer cancel()
	switch step.Kind {
	case booking.Read:
		v, err := w.server.Store.Get(ctx, w.key)
		if err != nil {
			return err
		}
		return w.applyRead(v)
	case booking.Write:
		w.server.Metrics.GetOrCreateCounter("bambooferry_claim_writes_total").Inc()
		version, err := w.server.Store.CompareAndSwap(ctx, w.key, step.Version, step.Data)
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			w.server.Metrics.GetOrCreateCounter("bambooferry_claim_conflicts_total").Inc()
			return w.applyRead(conflict.Current)
		}
		if err != nil {
			return err
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.deliverVerdicts(w.core.WriteConfirmed(version))
	}
	return nil
}

func (w *shardWriter) applyRead(v platform.Value) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	err := w.core.SetCurrentValue(v.Version, v.Data)
	if err != nil {
		w.server.Log.Error().Err(err).Str("key", w.key).Msg("claims: Cannot read a shard; calls with its keys are refused.")
	}
	return err
}

// submitToOwner submits an operation to the shard's owner, or writes it on this instance if the owner cannot be reached.
func (s *Server) submitToOwner(ctx context.Context, o booking.Op) booking.Settled {
	shard := booking.ShardOf(o.Claim.Key, s.Limits.Calls.Shards)
	if m, ok := s.shardOwner(shard); ok && m.ID != s.ID {
		if v, ok := s.submitRemote(ctx, m, o); ok {
			return v
		}
		s.Metrics.GetOrCreateCounter("bambooferry_claim_writer_unreachable_total").Inc()
	}
	return s.shardWriterFor(shard).submit(ctx, o)
}

func (s *Server) shardOwner(shard int) (instance.Member, bool) {
	v, ok := Members.Get(s.Board)
	if !ok || s.Peers == nil {
		return instance.Member{}, false
	}
	first := instance.RankByRendezvousHash(v.Live(), shardKey(shard), 1)
	if len(first) == 0 {
		return instance.Member{}, false
	}
	return first[0], true
}

// submitRemote submits an operation to the shard's owner and reports whether the owner answered it. The owner gets half
// of the remaining time, so that this instance can still write the operation itself.
func (s *Server) submitRemote(ctx context.Context, m instance.Member, o booking.Op) (booking.Settled, bool) {
	deadline, _ := ctx.Deadline()
	wait := time.Until(deadline) / 2
	if wait < 2*settleMargin {
		return booking.Settled{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	in, out := CallWrite{Op: o, WaitMillis: (wait * 8 / 10).Milliseconds()}, booking.Settled{}
	if err := s.Peers.Call(ctx, m.Address, callsServiceName+".Write", &in, &out); err != nil {
		// A late reply may still be written to out.
		return booking.Settled{}, false
	}
	return out, out.Verdict != booking.Unwritten
}
