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
	writeRetry    = 20 * time.Millisecond
	writeRetryMax = 500 * time.Millisecond
	// writeBurst is the number of writes saved up for each shard of an instance. Claims go
	// through at once at low load, and all instances make at most 32 writes more in a second
	// than the 400 that the spacing allows.
	writeBurst = 1
	// shardBurst is that of a shard with a budget of its own: a write of results alone must
	// not hold back the next claim.
	shardBurst = 3
	// writeGrace lets the writer settle an operation before its caller stops waiting.
	writeGrace = 5 * time.Millisecond
)

func shardKey(shard int) string { return fmt.Sprintf("claims/%d", shard) }

// shardWriter carries out the group writes of one shard; its loop runs while there is work.
type shardWriter struct {
	server *Server
	key    string

	mu      sync.Mutex
	core    booking.ShardWriter
	waiting map[uint64]chan booking.Settled
	last    uint64
	running bool
	turns   *writeTurns
	// kick wakes the loop when an operation came that does not wait for company.
	kick chan struct{}
}

// do adds an operation to the next group and waits for its verdict until ctx ends.
func (w *shardWriter) do(ctx context.Context, o booking.Op) booking.Settled {
	deadline, ok := ctx.Deadline()
	if !ok {
		return booking.Settled{Verdict: booking.Unwritten}
	}
	w.mu.Lock()
	w.last++
	id, settled := w.last, make(chan booking.Settled, 1)
	w.waiting[id] = settled
	w.core.Enqueue(id, o, w.begin(o), deadline.Add(-writeGrace))
	if !w.running {
		w.running = true
		// Those that wait for the writes hold up a graceful stop, not the writer.
		go w.loop()
	}
	w.mu.Unlock()
	if o.Kind == booking.OpClaim {
		signal(w.kick)
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
func (s *Server) newShardWriter(shard int, turns *writeTurns) *shardWriter {
	l := s.Limits.Calls
	w := &shardWriter{
		server: s, key: shardKey(shard), waiting: map[uint64]chan booking.Settled{}, kick: make(chan struct{}, 1), turns: turns,
	}
	if l.PerShardBudgets {
		w.turns = &writeTurns{core: booking.WriteScheduler{Spacing: l.WriteSpacing, Shards: 1, Burst: shardBurst}}
	}
	w.core.Retention, w.core.MaxBatch = l.Retention, l.MaxGroup
	return w
}

// begin returns when an operation needs a write; results wait for a claim's write to go with.
func (w *shardWriter) begin(o booking.Op) time.Time {
	if o.Kind == booking.OpClaim {
		return time.Now()
	}
	return time.Now().Add(w.server.Limits.Calls.RecordDelay)
}

// loop takes steps until no operation waits.
func (w *shardWriter) loop() {
	ctx, pause := w.server.calls.base(), writeRetry
	for {
		wake, due, more := w.due()
		if !more {
			return
		}
		if !due {
			w.idle(ctx, wake)
			if ctx.Err() != nil {
				return
			}
			continue
		}
		if w.turns.wait(ctx, w) != nil {
			return
		}
		step := w.next()
		if step.Kind != booking.Write {
			w.turns.giveBack()
		}
		if step.Kind == booking.Idle {
			continue
		}
		if err := w.take(ctx, step); err != nil {
			if ctx.Err() != nil {
				return
			}
			// Jitter keeps the instances from writing all at once when the service comes back.
			_ = sleep(ctx, pause/2+rand.N(pause/2))
			pause = min(2*pause, writeRetryMax)
			continue
		}
		pause = writeRetry
	}
}

// due reports whether something needs a write now, else when it will; the loop ends when there is no more.
func (w *shardWriter) due() (wake time.Time, due, more bool) {
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

// idle waits until there is something to write.
func (w *shardWriter) idle(ctx context.Context, until time.Time) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-t.C:
	case <-w.kick:
	case <-ctx.Done():
	}
}

func (w *shardWriter) next() booking.Step {
	w.mu.Lock()
	defer w.mu.Unlock()
	step, answers := w.core.NextStep(time.Now())
	w.settle(answers)
	return step
}

// settle hands out verdicts; the caller holds the lock.
func (w *shardWriter) settle(answers []booking.OpResult) {
	for _, a := range answers {
		w.waiting[a.ID] <- a.Settled
		delete(w.waiting, a.ID)
	}
}

func (w *shardWriter) take(ctx context.Context, step booking.Step) error {
	ctx, cancel := context.WithTimeout(ctx, w.server.Limits.Calls.WriteTimeout)
	defer cancel()
	switch step.Kind {
	case booking.Read:
		v, err := w.server.Store.Get(ctx, w.key)
		if err != nil {
			return err
		}
		return w.found(v)
	case booking.Write:
		w.server.Metrics.GetOrCreateCounter("bambooferry_claim_writes_total").Inc()
		version, err := w.server.Store.Swap(ctx, w.key, step.Version, step.Data)
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			w.server.Metrics.GetOrCreateCounter("bambooferry_claim_conflicts_total").Inc()
			return w.found(conflict.Current)
		}
		if err != nil {
			return err
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.settle(w.core.WriteConfirmed(version))
	}
	return nil
}

func (w *shardWriter) found(v platform.Value) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	err := w.core.SetCurrentValue(v.Version, v.Data)
	if err != nil {
		w.server.Log.Error().Err(err).Str("key", w.key).Msg("claims: Cannot read a shard; calls with its keys are refused.")
	}
	return err
}

// shardOp has an operation written by the shard's writer, or by this instance if that one cannot be reached.
func (s *Server) shardOp(ctx context.Context, o booking.Op) booking.Settled {
	shard := booking.ShardOf(o.Claim.Key, s.Limits.Calls.Shards)
	if m, ok := s.shardOwner(shard); ok && m.ID != s.ID {
		if v, ok := s.remoteOp(ctx, m, o); ok {
			return v
		}
		s.Metrics.GetOrCreateCounter("bambooferry_claim_writer_unreachable_total").Inc()
	}
	return s.shardWriter(shard).do(ctx, o)
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

// remoteOp gives the writer half of the time, so that this instance can still write by itself.
func (s *Server) remoteOp(ctx context.Context, m instance.Member, o booking.Op) (booking.Settled, bool) {
	deadline, _ := ctx.Deadline()
	wait := time.Until(deadline) / 2
	if wait < 2*writeGrace {
		return booking.Settled{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	in, out := CallWrite{Op: o, WaitMillis: (wait * 8 / 10).Milliseconds()}, booking.Settled{}
	if err := s.Peers.Call(ctx, m.Address, callsService+".Write", &in, &out); err != nil {
		// A late answer may still be written to out.
		return booking.Settled{}, false
	}
	return out, out.Verdict != booking.Unwritten
}
