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

// Engine is one stand-in engine; set its exported fields before Run.
type Engine struct {
	Listen   netip.AddrPort
	Model    string
	Versions []string
	// Slots is the number of generations in the batch, Limit the number of
	// requests held at which the engine falls over.
	Slots       int
	MaxRequests int
	// FirstToken is the time to prefill an uncached prompt, TokenTime that between tokens.
	FirstToken    time.Duration
	TokenInterval time.Duration
	// Noise spreads token times by up to that share of themselves, with rare long gaps.
	Noise float64
	// Linger is how long a generation without a reader runs on, Keep how long an ended one is kept.
	Linger    time.Duration
	Retention time.Duration
	// CacheBlocks is the number of prefix blocks that the cache holds.
	CacheBlocks int
	Seed        uint64
	// Orders tells how the engine takes orders.
	Orders Orders

	mu           sync.Mutex
	faults       Faults
	faultsAt     time.Time
	records      map[string]*record
	queue        []*record
	running      int
	connections  uint64
	silentBefore uint64
	gate         chan struct{}
	cache        cache
	loads        []engine.Load
	stats        Stats
	server       *http.Server
	address      netip.AddrPort
	killed       chan struct{}
	ready        chan struct{}
	once         sync.Once
}

// Stats counts what the engine has done.
type Stats struct {
	Started   int `json:"started"`
	Cancelled int `json:"cancelled"`
	Tokens    int `json:"tokens"`
	// ReusedBlocks is the number of prefix blocks found in the cache, out of TotalBlocks.
	ReusedBlocks int `json:"reused"`
	TotalBlocks  int `json:"blocks"`
	// Overloaded is set when the engine held more than MaxRequests requests and crashed.
	Overloaded   bool `json:"fell_over"`
	PeakRequests int  `json:"peak"`
}

func (e *Engine) init() {
	e.once.Do(func() {
		e.records = map[string]*record{}
		e.killed = make(chan struct{})
		e.ready = make(chan struct{})
		e.gate = make(chan struct{})
		close(e.gate)
		e.cache.limit = e.CacheBlocks
	})
}

// Run serves until the context ends or the engine is killed.
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
	go e.report(ctx)
	_ = e.server.Serve(ln)
	<-ctx.Done()
	return nil
}

// Address returns the address that the engine listens on, once it does.
func (e *Engine) Address() netip.AddrPort {
	e.init()
	<-e.ready
	return e.address
}

// Kill ends the engine as a crash would.
func (e *Engine) Kill() {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kill()
}

// kill ends the engine; the caller holds the lock.
func (e *Engine) kill() {
	select {
	case <-e.killed:
	default:
		close(e.killed)
	}
}

// Stats returns the counts so far.
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

func (e *Engine) handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generate", e.gated(func(w http.ResponseWriter, r *http.Request) { e.generate(ctx, w, r) }))
	mux.HandleFunc("GET /streams/{id}", e.gated(e.reattach))
	mux.HandleFunc("DELETE /streams/{id}", e.gated(e.cancel))
	mux.HandleFunc("POST /orders", e.gated(func(w http.ResponseWriter, r *http.Request) { e.orders(ctx, w, r) }))
	mux.HandleFunc("GET /load", e.gated(e.load))
	mux.HandleFunc("GET /cache-events", e.gated(e.cacheEvents))
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, e.Stats()) })
	mux.HandleFunc("POST /fault", e.fault)
	return mux
}

// gated holds a call while the engine is paused.
func (e *Engine) gated(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.pass(r.Context()) {
			h(w, r)
		}
	}
}

// pass waits while the engine is paused and reports whether the context still runs.
func (e *Engine) pass(ctx context.Context) bool {
	e.mu.Lock()
	gate := e.gate
	e.mu.Unlock()
	select {
	case <-gate:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
