package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// entryExpiry is the time after which the store removes the entry of an engine that is silent: three pings.
const entryExpiry = 3600 * time.Millisecond

// run is one request that an engine ran.
type run struct {
	engine string
	at     time.Time
	method string
	// target is the request target as it was received.
	target string
	id     string
	header http.Header
	body   []byte
}

// engine is a stand-in for one engine.
type engine struct {
	id, service, zone string
	listener          net.Listener
	born              time.Time
	// answer writes the answer to a request that the engine runs; the connection is closed if it returns false.
	answer func(e *engine, w io.Writer, r *http.Request, body []byte) bool
	// observe is called with each request that the engine runs.
	observe func(r *run)

	mu      sync.Mutex
	crashed bool
	conns   map[net.Conn]bool
}

// startEngine starts an engine at an address, and lists it in the store.
func (f *fleet) startEngine(id, service, zone, address string) (*engine, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, service: service, zone: zone, listener: ln, born: time.Now(), answer: answerCall, observe: f.observe, conns: map[net.Conn]bool{}}
	f.mu.Lock()
	f.engines = append(f.engines, e)
	f.mu.Unlock()
	return e, nil
}

// serve lists the engine in the store and accepts connections until its listener is closed.
func (e *engine) serve(s *store) {
	e.list(s)
	go e.accept()
}

// list writes the engine's entry.
func (e *engine) list(s *store) {
	s.put("servers/"+e.id, map[string]any{
		"service": e.service, "address": e.address().String(), "zone": e.zone, "version": "v1", "slots": 64, "state": "ready",
		"coldLeftMs": 0, "seq": 1, "born": e.born.UnixMilli(),
	})
}

func (e *engine) address() netip.AddrPort { return e.listener.Addr().(*net.TCPAddr).AddrPort() }

// close ends the engine; its connections are reset.
func (e *engine) close() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// crash ends an engine, and starts it again at its address under another id after a time.
func (f *fleet) crash(e *engine, downFor time.Duration) {
	e.mu.Lock()
	crashed := e.crashed
	e.crashed = true
	e.mu.Unlock()
	if crashed {
		return
	}
	e.close()
	time.AfterFunc(entryExpiry, func() { f.store.drop("servers/" + e.id) })
	time.Sleep(downFor)
	next, err := f.startEngine(e.id+"r", e.service, e.zone, e.address().String())
	if err != nil {
		f.record.printf("engine %s can't start again: %v", e.id, err)
		return
	}
	next.answer = e.answer
	next.serve(f.store)
}

func (e *engine) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go func() {
			e.serveConn(c)
			_ = c.Close()
			e.mu.Lock()
			delete(e.conns, c)
			e.mu.Unlock()
		}()
	}
}

// serveConn answers the requests of one connection.
func (e *engine) serveConn(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if expected := r.Header.Get(headerExpect); expected != "" && expected != e.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerInstance, e.id)
			continue
		}
		if r.Method == http.MethodGet && r.RequestURI == healthPath {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerInstance, e.id)
			continue
		}
		e.observe(&run{engine: e.id, at: time.Now(), method: r.Method, target: r.RequestURI, id: r.Header.Get(headerID), header: r.Header, body: body})
		if !e.answer(e, c, r, body) {
			return
		}
	}
}

// sealOf returns the proof of an answer.
func (e *engine) sealOf(r *http.Request) string { return "seal." + e.id + "." + r.Header.Get(headerID) }

// answerCall answers a call with its id.
func answerCall(e *engine, w io.Writer, r *http.Request, _ []byte) bool {
	id := r.Header.Get(headerID)
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headerID, id, headerSeal, e.sealOf(r), len(id), id)
	return err == nil
}
