package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/booking"
)

// writeTurns lets the shard writers of one instance take turns within one budget.
type writeTurns struct {
	mu      sync.Mutex
	core    booking.WriteScheduler
	waiting []turn
	timer   *time.Timer
}

type turn struct {
	writer *shardWriter
	// granted is closed when the writer may write.
	granted chan struct{}
}

// wait waits for a writer's turn, which takes one write off the budget.
func (t *writeTurns) wait(ctx context.Context, w *shardWriter) error {
	granted := make(chan struct{})
	t.mu.Lock()
	t.waiting = append(t.waiting, turn{w, granted})
	t.grant()
	t.mu.Unlock()
	select {
	case <-granted:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// giveBack returns a turn that was not used for a write.
func (t *writeTurns) giveBack() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.Refund()
	t.grant()
}

// resize adapts the budget to the number of shards that the instance writes.
func (t *writeTurns) resize(shards int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.Shards = max(shards, 1)
}

// grant gives out the turns that the budget allows; the caller holds the lock.
func (t *writeTurns) grant() {
	for len(t.waiting) > 0 {
		now := time.Now()
		demands := make([]booking.ShardDemand, 0, len(t.waiting))
		for _, w := range t.waiting {
			demands = append(demands, w.writer.demand(now))
		}
		i, wake := t.core.Pick(now, demands)
		if i < 0 {
			t.wakeAt(wake)
			return
		}
		close(t.waiting[i].granted)
		t.waiting = slices.Delete(t.waiting, i, i+1)
	}
}

func (t *writeTurns) wakeAt(at time.Time) {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.timer = time.AfterFunc(time.Until(at), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.grant()
	})
}
