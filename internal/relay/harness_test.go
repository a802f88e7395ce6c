package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/route"
)

// testCodec has short header names of its own.
type testCodec struct{}

func (testCodec) Request(r *http.Request) Request {
	q := Request{ID: r.Header.Get("Id"), Key: r.Header.Get("Key"), Patience: 5 * time.Second}
	if d, err := time.ParseDuration(r.Header.Get("Patience")); err == nil {
		q.Patience = d
	}
	if n, err := strconv.ParseUint(r.Header.Get("After"), 10, 64); err == nil {
		q.After, q.Resumes = n, true
	}
	return q
}

func (testCodec) Forward(h http.Header, strip bool) {
	if strip {
		h.Del("Key")
	}
}

func (testCodec) Attempt(h http.Header, a Attempt) {
	h.Set("Expect-Target", a.Expect)
	h.Set("Left", a.Left.String())
	if a.Resumes {
		h.Set("After", strconv.FormatUint(a.After, 10))
	}
	if a.Backup.IsValid() {
		h.Set("Backup", a.Backup.String())
	}
	if a.Copy.IsValid() {
		h.Set("Copy", a.Copy.String())
	}
}

func (testCodec) Answer(_ time.Time, res *http.Response) Answer {
	return Answer{
		RequestID: res.Header.Get("Id"), Sealed: res.Header.Get("Seal") != "", NotRun: res.Header.Get("Not-Run") != "",
		Encoded: res.Header.Get("Content-Encoding") != "", Incarnation: res.Header.Get("Target"),
	}
}

func (testCodec) Own(h http.Header, id string) { h.Set("Id", id) }

// engineStub answers on raw connections, one request after another.
type engineStub struct {
	id      string
	address netip.AddrPort
	// handle writes the answer and reports whether the connection stays open.
	handle func(c net.Conn, r *http.Request, body string) bool
	// end closes the stub's address.
	end func() error

	mu       sync.Mutex
	requests []string
}

func (e *engineStub) seen() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.requests...)
}

func startStub(t *testing.T, id string, handle func(c net.Conn, r *http.Request, body string) bool) *engineStub {
	t.Helper()
	return startStubAt(t, "127.0.0.1:0", id, handle)
}

func startStubAt(t *testing.T, address, id string, handle func(c net.Conn, r *http.Request, body string) bool) *engineStub {
	t.Helper()
	ln, err := net.Listen("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	e := &engineStub{id: id, address: ln.Addr().(*net.TCPAddr).AddrPort(), handle: handle, end: ln.Close}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

func (e *engineStub) serve(c net.Conn) {
	defer c.Close()
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
		e.mu.Lock()
		e.requests = append(e.requests, r.Header.Get("Id"))
		e.mu.Unlock()
		if !e.handle(c, r, string(body)) {
			return
		}
	}
}

// whole writes an answer with a length.
func whole(c net.Conn, r *http.Request, status int, body string, headers ...string) bool {
	extra := ""
	for _, h := range headers {
		extra += h + "\r\n"
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d S\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Id"), extra, len(body), body)
	return err == nil
}

// events writes the head of a stream and events first to last; complete adds its end.
func events(c net.Conn, r *http.Request, first, last int, complete bool) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
	for n := first; n <= last; n++ {
		ev := event(n)
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev)
	}
	if complete {
		fmt.Fprint(c, "0\r\n\r\n")
	}
}

func event(n int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n) }

func allEvents(first, last int) string {
	var b strings.Builder
	for n := first; n <= last; n++ {
		b.WriteString(event(n))
	}
	return b.String()
}

// deployment is a relay before stubs.
type deployment struct {
	t     *testing.T
	relay *Relay
	front string
	ready string
	stop  context.CancelFunc
	done  chan error
}

var testRoutes = []route.Route{
	{Name: "view", Host: "h.example", Prefix: "/view/", Kind: route.Repeatable, MaxAttempts: 3, Timeout: 5 * time.Second, Objective: 100 * time.Millisecond, Shares: []route.Share{{Pool: "p", Weight: 1}}},
	{Name: "book", Host: "h.example", Prefix: "/book/", Kind: route.Once, MaxAttempts: 1, Timeout: 5 * time.Second, Shares: []route.Share{{Pool: "p", Weight: 1}}},
	{Name: "draft", Host: "h.example", Prefix: "/draft/", Kind: route.Streaming, Resumable: true, MaxAttempts: 5, Timeout: 10 * time.Second, Objective: time.Second, MaxPause: 700 * time.Millisecond, Shares: []route.Share{{Pool: "p", Weight: 1}}},
	{Name: "once", Host: "h.example", Prefix: "/once/", Kind: route.Streaming, MaxAttempts: 5, Timeout: 10 * time.Second, Shares: []route.Share{{Pool: "p", Weight: 1}}},
	{Name: "quick", Host: "h.example", Prefix: "/quick/", Kind: route.Repeatable, MaxAttempts: 1, Timeout: 300 * time.Millisecond, Shares: []route.Share{{Pool: "p", Weight: 1}}},
	{Name: "open", Host: "h.example", Prefix: "/open/", Kind: route.Repeatable, Public: true, MaxAttempts: 1, Timeout: time.Second, Shares: []route.Share{{Pool: "p", Weight: 1}}},
}

func testRelayTable() *route.Table {
	pools := []route.Pool{{Name: "p", HealthPath: "/health", Model: &route.Model{Slots: 8, MemoryTokens: 1000, Backups: true}}}
	return route.NewTable(1, route.Limits{MaxBodyBytes: 1 << 10, IdleTimeout: time.Minute}, testRoutes, pools, map[string]*route.Workspace{"k": {Name: "w"}})
}

func startRelay(t *testing.T, stubs ...*engineStub) *deployment {
	t.Helper()
	front, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ready, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	board := blackboard.New()
	targets := &Targets{DataCentre: "a", RetryShare: 0.5, RetrySlack: 20, RetryWindow: 10 * time.Second, Instances: func() int { return 1 }, Seed: 1}
	table := testRelayTable()
	var list []route.Target
	for i, s := range stubs {
		list = append(list, route.Target{ID: s.id, Pool: "p", Address: s.address, DataCentre: string(rune('a' + i)), Slots: 8})
	}
	targets.Update(time.Now(), table, map[string][]route.Target{"p": list})
	TableKey.Put(board, table)
	d := &deployment{t: t, front: front.Addr().String(), ready: ready.Addr().String(), done: make(chan error, 1)}
	d.relay = &Relay{DataCentre: "a", Front: front, Ready: ready, Codec: testCodec{}, Board: board, Targets: targets, Crashes: &Crashes{}, Grace: 4 * time.Second, Rotation: 100 * time.Millisecond}
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	go func() { d.done <- d.relay.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-d.done
	})
	return d
}

// answerOf is what a caller got.
type answerOf struct {
	status int
	header http.Header
	body   string
	err    error
}

func (d *deployment) ask(method, path, body string, headers ...string) answerOf {
	d.t.Helper()
	r, err := http.NewRequest(method, "http://"+d.front+path, strings.NewReader(body))
	require.NoError(d.t, err)
	r.Host = "h.example"
	r.Header.Set("Id", "r-"+path)
	r.Header.Set("Key", "k")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	c := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}, Timeout: 15 * time.Second}
	res, err := c.Do(r)
	if err != nil {
		return answerOf{err: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return answerOf{status: res.StatusCode, header: res.Header, body: string(data), err: err}
}
