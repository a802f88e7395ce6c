package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heartbeatInterval is the time between two heartbeats; an entry is removed after three of them without one.
	heartbeatInterval = 1200 * time.Millisecond
	// restartRetryInterval is the time between two tries to listen again.
	restartRetryInterval = 20 * time.Millisecond
	// keptBody is the part of a body that is looked at.
	keptBody = 1 << 10
)

// engineSpec describes the engines of a service.
type engineSpec struct {
	service string
	slots   int
	// work is the time that a call takes.
	work time.Duration
	// events is the number of events of a stream, firstEvent the time to the first and eventGap that between two.
	events     int
	firstEvent time.Duration
	eventGap   time.Duration
	// downTime is how long an engine that has crashed is away.
	downTime time.Duration
	// crashes reports whether a request crashes the engine that runs it.
	crashes func(r *http.Request, body []byte) bool
}

// engine is one address at which engines run one after another.
type engine struct {
	spec    engineSpec
	zone    string
	address string
	store   *store
	record  *recorder
	observe func(e *engine, id string, r *http.Request)
	onCrash func(e *engine, id string)

	mu      sync.Mutex
	id      string
	starts  int
	seq     int
	born    int64
	conns   map[net.Conn]struct{}
	server  *http.Server
	crashed bool
	running atomic.Int64
}

// start begins to serve under a new id.
func (e *engine) start() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	e.id = fmt.Sprintf("i-%s-%d", strings.NewReplacer(".", "-", ":", "-").Replace(e.address), e.starts)
	e.conns, e.crashed = map[net.Conn]struct{}{}, false
	e.running.Store(0)
	id := e.id
	conns := e.conns
	e.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, id) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if state == http.StateNew {
				conns[c] = struct{}{}
			}
			if state == http.StateClosed {
				delete(conns, c)
			}
		},
	}
	server := e.server
	go func() { _ = server.Serve(l) }()
	e.born = time.Now().UnixMilli()
	e.report("ready")
	return nil
}

// report writes the engine's entry; the caller holds mu.
func (e *engine) report(state string) {
	e.seq++
	e.store.Put("servers/"+e.id, map[string]any{
		"service": e.spec.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.spec.slots, "state": state, "coldLeftMs": 0, "seq": e.seq, "born": e.born,
	})
}

// drain reports that the engine is leaving; it goes on to serve.
func (e *engine) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report("draining")
}

// crash ends the engine as a crash of its process does: its listener is gone and its connections are reset.
func (e *engine) crash(request string) {
	e.mu.Lock()
	if e.crashed {
		e.mu.Unlock()
		return
	}
	e.crashed = true
	id, server := e.id, e.server
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	e.mu.Unlock()
	_ = server.Close()
	e.record.Printf("engine %s crashed on request %s", id, request)
	if e.onCrash != nil {
		e.onCrash(e, request)
	}
	time.AfterFunc(3*heartbeatInterval, func() { e.store.Remove("servers/" + id) })
	time.AfterFunc(e.spec.downTime, func() {
		for e.start() != nil {
			time.Sleep(restartRetryInterval)
		}
		e.record.Printf("engine %s is back as %s", id, e.id)
	})
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request, id string) {
	h := w.Header()
	if expected := r.Header.Get("X-Bambooferry-Expect-Instance"); expected != "" && expected != id {
		h.Set("X-Bambooferry-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		h.Set("X-Bambooferry-Instance-Id", id)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, keptBody))
	rest, restErr := io.Copy(io.Discard, r.Body)
	if err != nil || restErr != nil {
		return
	}
	request := r.Header.Get("X-Bambooferry-Request-Id")
	h.Set("X-Bambooferry-Request-Id", request)
	n := e.running.Add(1)
	defer e.running.Add(-1)
	h.Set("X-Bambooferry-Server-Load", fmt.Sprintf("%d,0,%d", min(n, int64(e.spec.slots)), e.spec.slots))
	if n > int64(e.spec.slots) {
		h.Set("X-Bambooferry-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.record.Printf("run %s at %s %s %d B", request, id, r.URL.Path, int64(len(body))+rest)
	if e.observe != nil {
		e.observe(e, request, r)
	}
	h.Set("X-Bambooferry-Response-Seal", "seal."+id)
	crashes := e.spec.crashes != nil && e.spec.crashes(r, body)
	if e.spec.events == 0 {
		time.Sleep(e.spec.work)
		if crashes {
			e.crash(request)
			return
		}
		_, _ = fmt.Fprintf(w, "answer to %s by %s", request, id)
		return
	}
	e.stream(w, r, request, crashes)
}

// stream sends the events after Last-Event-Id.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, request string, crashes bool) {
	next := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	time.Sleep(e.spec.firstEvent)
	if crashes {
		// It crashes as it begins to write the answer.
		e.crash(request)
		return
	}
	for ; next < e.spec.events; next++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", next, request, next); err != nil || out.Flush() != nil || r.Context().Err() != nil {
			return
		}
		time.Sleep(e.spec.eventGap)
	}
}
