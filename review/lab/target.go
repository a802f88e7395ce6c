package lab

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// The platform's headers that stand-ins use.
const (
	headerRequestID = "X-Bambooferry-Request-Id"
	headerExpect    = "X-Bambooferry-Expect-Instance"
	headerInstance  = "X-Bambooferry-Instance-Id"
	headerSeal      = "X-Bambooferry-Response-Seal"
	headerNotRun    = "X-Bambooferry-Not-Executed"
	headerLoad      = "X-Bambooferry-Server-Load"
	headerDeadline  = "X-Bambooferry-Request-Deadline"
)

// Answer is what a target answers.
type Answer struct {
	Status int
	Header map[string]string
	Body   string
}

// Target is a stand-in for one server of a service; set its exported fields before Start.
type Target struct {
	ID      string
	Service string
	Version string
	Zone    string
	Slots   int
	// Queue is the number of requests that wait for a slot; further ones are refused.
	Queue int
	// Run answers a request that has got a slot.
	Run func(t *Target, r *http.Request, id string) Answer
	// CopyLate, if set, reports whether a second copy of an answer follows late, where the answer to the next
	// request of the connection is expected.
	CopyLate func(t *Target, a Answer) bool
	Record   *Record
	// OnArrival, if set, is called with each request that reaches the target, and OnRun with each that begins to run.
	OnArrival func(t *Target, r *http.Request, id string)
	OnRun     func(t *Target, r *http.Request, id string)

	listener net.Listener
	slots    chan struct{}
	mu       sync.Mutex
	waiting  int
	conns    map[net.Conn]bool
	stopped  bool
}

// Start listens on an address and lists the target in the store.
func (t *Target) Start(s *Store) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	t.listener, t.slots, t.conns = l, make(chan struct{}, t.Slots), map[net.Conn]bool{}
	go t.accept()
	t.List(s, "ready")
	return nil
}

// Address returns the target's address.
func (t *Target) Address() netip.AddrPort { return t.listener.Addr().(*net.TCPAddr).AddrPort() }

// List writes the target's entry.
func (t *Target) List(s *Store, state string) {
	s.Put("servers/"+t.ID, map[string]any{
		"service": t.Service, "address": t.Address().String(), "zone": t.Zone, "version": t.Version, "slots": t.Slots, "state": state, "seq": 1, "coldLeftMs": 0,
	})
}

// Stop ends the target without a word and removes its entry, as after some missed pings.
func (t *Target) Stop(s *Store) {
	t.mu.Lock()
	t.stopped = true
	for c := range t.conns {
		_ = c.Close()
	}
	t.mu.Unlock()
	_ = t.listener.Close()
	s.Remove("servers/" + t.ID)
}

func (t *Target) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[c] = true
		t.mu.Unlock()
		go t.serve(c)
	}
}

func (t *Target) serve(c net.Conn) {
	defer func() {
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	var late []byte
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if late != nil {
			if _, err := c.Write(late); err != nil {
				return
			}
			t.Record.Printf("target %s writes the late copy of an earlier answer as request %s arrives", t.ID, r.Header.Get(headerRequestID))
			late = nil
		}
		a := t.answer(r)
		data := a.encode(r.Header.Get(headerRequestID))
		if t.CopyLate != nil && r.URL.Path != "/health" && t.CopyLate(t, a) {
			late = data
		}
		if _, err := c.Write(data); err != nil {
			return
		}
	}
}

func (a *Answer) encode(id string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.Status, http.StatusText(a.Status))
	if id != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", headerRequestID, id)
	}
	for name, value := range a.Header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(a.Body), a.Body)
	return b.Bytes()
}

func (t *Target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(t.slots), t.waiting, t.Slots)
}

func (t *Target) answer(r *http.Request) Answer {
	id := r.Header.Get(headerRequestID)
	if expected := r.Header.Get(headerExpect); expected != "" && expected != t.ID {
		return Answer{Status: http.StatusMisdirectedRequest, Header: map[string]string{headerInstance: t.ID}}
	}
	if strings.HasPrefix(r.URL.Path, "/health") {
		return Answer{Status: http.StatusOK, Header: map[string]string{headerInstance: t.ID, headerLoad: t.load()}}
	}
	if t.OnArrival != nil {
		t.OnArrival(t, r, id)
	}
	if !t.takeSlot() {
		t.Record.Printf("target %s refuses %s, not run", t.ID, id)
		return Answer{Status: http.StatusServiceUnavailable, Header: map[string]string{headerNotRun: "1", headerLoad: t.load()}}
	}
	defer func() { <-t.slots }()
	if t.OnRun != nil {
		t.OnRun(t, r, id)
	}
	t.Record.Printf("target %s runs %s %s %s", t.ID, id, r.Method, r.RequestURI)
	a := t.Run(t, r, id)
	if a.Header == nil {
		a.Header = map[string]string{}
	}
	a.Header[headerSeal] = "seal-" + t.ID
	a.Header[headerLoad] = t.load()
	return a
}

func (t *Target) takeSlot() bool {
	select {
	case t.slots <- struct{}{}:
		return true
	default:
	}
	t.mu.Lock()
	if t.waiting >= t.Queue {
		t.mu.Unlock()
		return false
	}
	t.waiting++
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.waiting--
		t.mu.Unlock()
	}()
	select {
	case t.slots <- struct{}{}:
		return true
	case <-time.After(time.Second):
		return false
	}
}
