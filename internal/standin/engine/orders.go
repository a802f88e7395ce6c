package engine

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/order"
)

// Orders is what an engine needs to take orders; its zero value loads at once.
type Orders struct {
	// LoadTime is how long a version loads.
	LoadTime time.Duration
	// Store, if set, is the weight store that loads come from.
	Store *WeightStore

	fence   int64
	loading string
	role    string
	taken   []order.Order
}

// WeightStore serves up to MaxConcurrent loads at once and refuses more. Set MaxConcurrent before use.
type WeightStore struct {
	MaxConcurrent int

	mu      sync.Mutex
	running int
	peak    int
	refused int
}

// WeightStats counts what a weight store has done.
type WeightStats struct {
	PeakConcurrent int
	Refused        int
}

// Stats returns the counts so far.
func (s *WeightStore) Stats() WeightStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return WeightStats{PeakConcurrent: s.peak, Refused: s.refused}
}

func (s *WeightStore) enter() bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.MaxConcurrent {
		s.refused++
		return false
	}
	s.running++
	s.peak = max(s.peak, s.running)
	return true
}

func (s *WeightStore) leave() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// ObeyedOrders returns the orders that the engine has obeyed.
func (e *Engine) ObeyedOrders() []order.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.Orders.taken)
}

// orders answers POST /orders.
func (e *Engine) orders(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, order.MaxBytes+1))
	if err != nil {
		return
	}
	o, err := order.Decode(data)
	if err != nil {
		reply(w, http.StatusBadRequest, refusal{Error: err.Error(), Outcome: "not_run"})
		return
	}
	if code := e.obey(ctx, o); code != "" {
		reply(w, http.StatusConflict, refusal{Error: code, Outcome: "not_run"})
		return
	}
	reply(w, http.StatusOK, struct{}{})
}

// obey carries out an order or returns why not.
func (e *Engine) obey(ctx context.Context, o order.Order) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.faults.IgnoreFence {
		if o.Fence < e.Orders.fence {
			return "stale_fence"
		}
		e.Orders.fence = o.Fence
	}
	if o.Model != e.Model {
		return "unknown_model"
	}
	code := ""
	switch o.Kind {
	case order.Load:
		code = e.startLoad(ctx, o.Version)
	case order.Unload:
		code = e.unload(o.Version)
	case order.Role:
		e.Orders.role = o.Role
	}
	if code == "" {
		e.Orders.taken = append(e.Orders.taken, o)
	}
	return code
}

// startLoad begins a load; the caller holds the lock.
func (e *Engine) startLoad(ctx context.Context, v string) string {
	switch {
	case slices.Contains(e.Versions, v):
		return ""
	case e.Orders.loading != "":
		return "loading"
	case !e.Orders.Store.enter():
		return "weight_store_busy"
	}
	e.Orders.loading = v
	go func() {
		defer e.Orders.Store.leave()
		done := e.wait(ctx, e.Orders.LoadTime)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.Orders.loading = ""
		if done && !slices.Contains(e.Versions, v) {
			e.Versions = append(slices.Clone(e.Versions), v)
		}
	}()
	return ""
}

// unload drops a version that no generation runs on; the caller holds the lock.
func (e *Engine) unload(v string) string {
	for _, rec := range e.records {
		if rec.request.Version == v && rec.end == "" && !rec.broken {
			return "version_in_use"
		}
	}
	e.Versions = slices.DeleteFunc(slices.Clone(e.Versions), func(x string) bool { return x == v })
	return ""
}
