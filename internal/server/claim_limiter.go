package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/booking"
)

// writeLimiter shares one write budget between the shard writers of one instance.
type writeLimiter struct {
	mu        sync.Mutex
	scheduler booking.WriteScheduler
	waiting   []permitRequest
	timer     *time.Timer
}

type permitRequest struct {
	writer *shardWriter
	// granted is closed when the writer may write to the service.
	granted chan struct{}
}

// acquire waits for a permit, which takes one write from the budget.
func (t *writeLimiter) acquire(ctx context.Context, w *shardWriter) error {
	granted := make(chan struct{})
	t.mu.Lock()
	t.waiting = append(t.waiting, permitRequest{w, granted})
	t.grantPermits()
	t.mu.Unlock()
	select {
	case <-granted:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// refund returns a permit that was not used for a write.
func (t *writeLimiter) refund() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.scheduler.Refund()
	t.grantPermits()
}

// setShards adapts the budget to the number of shards that the instance writes.
func (t *writeLimiter) setShards(shards int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.scheduler.Shards = max(shards, 1)
}

// grantPermits grants the permits that the budget allows; the caller holds the lock.
func (t *writeLimiter) grantPermits() {
	for len(t.waiting) > 0 {
		now := time.Now()
		demands := make([]booking.ShardDemand, 0, len(t.waiting))
		for _, w := range t.waiting {
			demands = append(demands, w.writer.demand(now))
		}
		i, wake := t.scheduler.Pick(now, demands)
		if i < 0 {
			t.scheduleGrant(wake)
			return
		}
		close(t.waiting[i].granted)
		t.waiting = slices.Delete(t.waiting, i, i+1)
	}
}

func (t *writeLimiter) scheduleGrant(at time.Time) {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.timer = time.AfterFunc(time.Until(at), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.grantPermits()
	})
}
