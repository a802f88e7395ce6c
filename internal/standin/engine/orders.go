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

// Orders configures how an engine carries out orders, and holds their state. The zero value loads versions at once.
type Orders struct {
	// LoadTime is how long loading a version takes.
	LoadTime time.Duration
	// Store, if set, is the weight store that versions are loaded from.
	Store *WeightStore

	fence          int64
	loadingVersion string
	role           string
	obeyed         []order.Order
}

// WeightStore serves up to MaxConcurrent loads at once and refuses more. Set MaxConcurrent before use.
type WeightStore struct {
	MaxConcurrent int

	mu      sync.Mutex
	active  int
	peak    int
	refused int
}

// WeightStats holds a weight store's counters.
type WeightStats struct {
	PeakConcurrent int
	Refused        int
}

// Stats returns the current counters.
func (s *WeightStore) Stats() WeightStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return WeightStats{PeakConcurrent: s.peak, Refused: s.refused}
}

// tryAcquire starts a load and reports whether there was capacity for it. A nil store has no limit.
func (s *WeightStore) tryAcquire() bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active >= s.MaxConcurrent {
		s.refused++
		return false
	}
	s.active++
	s.peak = max(s.peak, s.active)
	return true
}

// release ends a load that tryAcquire started.
func (s *WeightStore) release() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// ObeyedOrders returns the orders that the engine has carried out, oldest first.
func (e *Engine) ObeyedOrders() []order.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.Orders.obeyed)
}

// handleOrder answers POST /orders.
func (e *Engine) handleOrder(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, order.MaxBytes+1))
	if err != nil {
		return
	}
	o, err := order.Decode(data)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, refusal{Error: err.Error(), Outcome: "not_run"})
		return
	}
	if code := e.applyOrder(ctx, o); code != "" {
		writeJSON(w, http.StatusConflict, refusal{Error: code, Outcome: "not_run"})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// applyOrder carries out an order, or returns the code of the reason for refusing it.
func (e *Engine) applyOrder(ctx context.Context, o order.Order) string {
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
		e.Orders.obeyed = append(e.Orders.obeyed, o)
	}
	return code
}

// startLoad starts loading a version, or returns a refusal code. The caller holds the lock.
func (e *Engine) startLoad(ctx context.Context, v string) string {
	switch {
	case slices.Contains(e.Versions, v):
		return ""
	case e.Orders.loadingVersion != "":
		return "loading"
	case !e.Orders.Store.tryAcquire():
		return "weight_store_busy"
	}
	e.Orders.loadingVersion = v
	go func() {
		defer e.Orders.Store.release()
		done := e.sleep(ctx, e.Orders.LoadTime)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.Orders.loadingVersion = ""
		if done && !slices.Contains(e.Versions, v) {
			e.Versions = append(slices.Clone(e.Versions), v)
		}
	}()
	return ""
}

// unload removes a version unless a generation still runs on it. The caller holds the lock.
func (e *Engine) unload(v string) string {
	for _, rec := range e.records {
		if rec.request.Version == v && rec.endReason == "" && !rec.aborted {
			return "version_in_use"
		}
	}
	e.Versions = slices.DeleteFunc(slices.Clone(e.Versions), func(x string) bool { return x == v })
	return ""
}
