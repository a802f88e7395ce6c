package engine

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/engine"
)

// Engine is one stand-in engine. Set its exported fields before Run.
type Engine struct {
	Listen   netip.AddrPort
	Model    string
	Versions []string
	// Slots is the batch size. MaxRequests is the number of running and queued
	// requests above which the engine crashes.
	Slots       int
	MaxRequests int
	// FirstToken is the time to prefill an uncached prompt, TokenInterval the time between tokens.
	FirstToken    time.Duration
	TokenInterval time.Duration
	// Noise varies each token interval by up to this share of it and adds rare long gaps.
	Noise float64
	// Linger is how long a generation continues without a reader, Retention how long a finished one is kept.
	Linger    time.Duration
	Retention time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	Seed        uint64
	// Orders configures how the engine carries out orders.
	Orders Orders

	mu          sync.Mutex
	faults      Faults
	faultsSetAt time.Time
	records     map[string]*record
	queue       []*record
	running     int
	connections uint64
	// silencedUpTo is the number of the last connection that SilenceConnections affects.
	silencedUpTo uint64
	// unpaused is closed unless the engine is paused.
	unpaused    chan struct{}
	cache       cache
	loadHistory []engine.Load
	stats       Stats
	server      *http.Server
	address     netip.AddrPort
	killed      chan struct{}
	ready       chan struct{}
	initOnce    sync.Once
}

// Stats holds the engine's counters since its start.
type Stats struct {
	Started   int `json:"started"`
	Cancelled int `json:"cancelled"`
	Tokens    int `json:"tokens"`
	// ReusedBlocks is the number of prefix blocks found in the cache, out of TotalBlocks.
	ReusedBlocks int `json:"reused"`
	TotalBlocks  int `json:"blocks"`
	// Overloaded is set when the engine held more than MaxRequests requests and crashed.
	Overloaded bool `json:"fell_over"`
	// PeakRequests is the largest number of running and queued requests.
	PeakRequests int `json:"peak"`
}

func (e *Engine) init() {
	e.initOnce.Do(func() {
		e.records = map[string]*record{}
		e.killed = make(chan struct{})
		e.ready = make(chan struct{})
		e.unpaused = make(chan struct{})
		close(e.unpaused)
		e.cache.limit = e.CacheBlocks
	})
}

// Run serves until the context is cancelled or the engine is killed.
func (e *Engine) Run(ctx context.Context) error {
	e.init()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", e.Listen.String())
	if err != nil {
		return err
	}
	e.address = ln.Addr().(*net.TCPAddr).AddrPort()
	e.server = &http.Server{Handler: e.handler(ctx), ReadHeaderTimeout: 5 * time.Second}
	close(e.ready)
	go func() {
		select {
		case <-ctx.Done():
		case <-e.killed:
		}
		cancel()
		_ = e.server.Close()
	}()
	go e.sampleLoads(ctx)
	_ = e.server.Serve(ln)
	<-ctx.Done()
	return nil
}

// Address waits until the engine listens and returns its address.
func (e *Engine) Address() netip.AddrPort {
	e.init()
	<-e.ready
	return e.address
}

// Kill stops the engine abruptly, as a crash would.
func (e *Engine) Kill() {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.killLocked()
}

// killLocked is Kill for callers that hold the lock.
func (e *Engine) killLocked() {
	select {
	case <-e.killed:
	default:
		close(e.killed)
	}
}

// Stats returns the current counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Running returns the number of generations in the batch.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// handler returns the engine's HTTP interface.
func (e *Engine) handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generate", e.whenUnpaused(func(w http.ResponseWriter, r *http.Request) { e.handleGenerate(ctx, w, r) }))
	mux.HandleFunc("GET /streams/{id}", e.whenUnpaused(e.handleReattach))
	mux.HandleFunc("DELETE /streams/{id}", e.whenUnpaused(e.handleCancel))
	mux.HandleFunc("POST /orders", e.whenUnpaused(func(w http.ResponseWriter, r *http.Request) { e.handleOrder(ctx, w, r) }))
	mux.HandleFunc("GET /load", e.whenUnpaused(e.handleLoad))
	mux.HandleFunc("GET /cache-events", e.whenUnpaused(e.handleCacheEvents))
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Stats()) })
	mux.HandleFunc("POST /fault", e.handleFaults)
	return mux
}

// whenUnpaused delays requests to h while the engine is paused.
func (e *Engine) whenUnpaused(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.waitUnpaused(r.Context()) {
			h(w, r)
		}
	}
}

// waitUnpaused waits while the engine is paused and reports whether ctx is still active.
func (e *Engine) waitUnpaused(ctx context.Context) bool {
	e.mu.Lock()
	unpaused := e.unpaused
	e.mu.Unlock()
	select {
	case <-unpaused:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
