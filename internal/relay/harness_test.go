package relay

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
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

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// testCodec uses short header names of its own.
type testCodec struct{}

func (testCodec) ParseRequest(r *http.Request) RequestInfo {
	req := RequestInfo{ID: r.Header.Get("Id"), APIKey: r.Header.Get("Key"), Timeout: 5 * time.Second}
	if d, err := time.ParseDuration(r.Header.Get("Patience")); err == nil {
		req.Timeout = d
	}
	if n, err := strconv.ParseUint(r.Header.Get("After"), 10, 64); err == nil {
		req.LastEventID, req.Resuming = n, true
	}
	if parts := r.Header.Get("Parts"); parts != "" {
		for id := range strings.SplitSeq(parts, ",") {
			req.PromptParts = append(req.PromptParts, PromptPart{ID: id, Tokens: 100})
		}
	}
	return req
}

func (testCodec) StripRequestHeaders(h http.Header, stripKey bool) {
	if stripKey {
		h.Del("Key")
	}
}

func (testCodec) SetAttemptHeaders(h http.Header, info AttemptInfo) {
	h.Set("Expect-Target", info.ExpectedIncarnation)
	h.Set("Left", info.Remaining.String())
	if info.Resuming {
		h.Set("After", strconv.FormatUint(info.LastEventID, 10))
	}
	if info.BackupEngine.IsValid() {
		h.Set("Backup", info.BackupEngine.String())
	}
	if info.CopyEngine.IsValid() {
		h.Set("Copy", info.CopyEngine.String())
	}
}

func (testCodec) ParseResponse(now time.Time, res *http.Response) ResponseInfo {
	if res.Header.Get("Panic") != "" {
		panic("secret prompt")
	}
	backoff, _ := time.ParseDuration(res.Header.Get("Back-Off"))
	limit, limitErr := strconv.ParseFloat(res.Header.Get("Limit"), 64)
	tolerance, brittleErr := strconv.ParseFloat(res.Header.Get("Brittle"), 64)
	var load *engine.Load
	if text := res.Header.Get("Load"); text != "" {
		load = &engine.Load{At: now}
		_, _ = fmt.Sscanf(text, "%d,%d,%d", &load.Running, &load.Waiting, &load.Slots)
	}
	return ResponseInfo{
		Load: load, Tolerance: tolerance, Brittle: brittleErr == nil,
		Limit: limit, Limited: limitErr == nil, LimitUnknown: limitErr != nil && res.Header.Get("Limit") != "",
		Leaving: res.Header.Get("Leaving") != "", Backoff: backoff,
		RequestID: res.Header.Get("Id"), Sealed: res.Header.Get("Seal") != "", NotRun: res.Header.Get("Not-Run") != "",
		ContentEncoded: res.Header.Get("Content-Encoding") != "", Incarnation: res.Header.Get("Target"),
	}
}

func (testCodec) SetOwnHeaders(h http.Header, id string) { h.Set("Id", id) }

// engineStub responds on raw connections, one request after another.
type engineStub struct {
	id      string
	address netip.AddrPort
	// slots is the number of requests that the stub runs at once, or 0 for 8.
	slots int
	// handle writes the response and reports whether the connection stays open.
	handle func(c net.Conn, r *http.Request, body string) bool
	// closeListener makes the stub refuse new connections.
	closeListener func() error

	mu       sync.Mutex
	requests []string
}

func (e *engineStub) seenRequests() []string {
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
	e := &engineStub{id: id, address: ln.Addr().(*net.TCPAddr).AddrPort(), handle: handle, closeListener: ln.Close}
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

// writeResponse writes a response with a Content-Length.
func writeResponse(c net.Conn, r *http.Request, status int, body string, headers ...string) bool {
	extra := ""
	for _, h := range headers {
		extra += h + "\r\n"
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d S\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Id"), extra, len(body), body)
	return err == nil
}

// writeEvents writes the header of a stream and events first to last; complete adds the end of the
// stream.
func writeEvents(c net.Conn, r *http.Request, first, last int, complete bool) {
	writeStreamHeader(c, r)
	writeStreamEvents(c, first, last, complete)
}

func writeStreamHeader(c net.Conn, r *http.Request) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
}

func writeStreamEvents(c net.Conn, first, last int, complete bool) {
	for n := first; n <= last; n++ {
		ev := eventText(n)
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev)
	}
	if complete {
		fmt.Fprint(c, "0\r\n\r\n")
	}
}

func eventText(n int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n) }

func eventsText(first, last int) string {
	var b strings.Builder
	for n := first; n <= last; n++ {
		b.WriteString(eventText(n))
	}
	return b.String()
}

// testRelay is a relay with engine stubs as its targets.
type testRelay struct {
	t                *testing.T
	relay            *Relay
	callerAddress    string
	readinessAddress string
	stop             context.CancelFunc
	done             chan error
	log              *eventLog
}

// eventLog keeps the lines of a relay's log.
type eventLog struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (l *eventLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(b)
}

func (l *eventLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.String()
}

// reasons returns the reasons of the logged events of a kind.
func (l *eventLog) reasons(t *testing.T, kind string) []string {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []string
	for line := range strings.Lines(l.lines.String()) {
		var ev struct{ Kind, Why string }
		require.NoError(t, json.Unmarshal([]byte(line), &ev))
		if ev.Kind == kind {
			list = append(list, ev.Why)
		}
	}
	return list
}

var testRoutes = []route.Route{
	{Name: "view", Host: "h.example", Prefix: "/view/", Kind: route.Repeatable, MaxAttempts: 3, Timeout: 5 * time.Second, Objective: 100 * time.Millisecond, PoolWeights: []route.PoolWeight{{Pool: "p", Weight: 1}}},
	{Name: "book", Host: "h.example", Prefix: "/book/", Kind: route.Once, MaxAttempts: 1, Timeout: 5 * time.Second, PoolWeights: []route.PoolWeight{{Pool: "p", Weight: 1}}},
	{Name: "draft", Host: "h.example", Prefix: "/draft/", Kind: route.Streaming, Resumable: true, MaxAttempts: 5, Timeout: 10 * time.Second, Objective: time.Second, MaxPause: 700 * time.Millisecond, PoolWeights: []route.PoolWeight{{Pool: "p", Weight: 1}}},
	{Name: "once", Host: "h.example", Prefix: "/once/", Kind: route.Streaming, MaxAttempts: 5, Timeout: 10 * time.Second, PoolWeights: []route.PoolWeight{{Pool: "p", Weight: 1}}},
	{Name: "untimed", Host: "h.example", Prefix: "/untimed/", Kind: route.Once, MaxAttempts: 1, PoolWeights: []route.PoolWeight{{Pool: "p", Weight: 1}}},
	{Name: "quick", Host: "h.example", Prefix: "/quick/", Kind: route.Repeatable, MaxAttempts: 1, Timeout: 300 * time.Millisecond, PoolWeights: []route.PoolWeight{{Pool: "p", Weight: 1}}},
	{Name: "open", Host: "h.example", Prefix: "/open/", Kind: route.Repeatable, Public: true, MaxAttempts: 1, Timeout: time.Second, PoolWeights: []route.PoolWeight{{Pool: "p", Weight: 1}}},
}

func testRelayTable() *route.Table {
	pools := []route.Pool{{Name: "p", HealthPath: "/health", Model: &route.EngineSpec{Slots: 8, MemoryTokens: 1000, Backups: true}}}
	return route.NewTable(1, route.Limits{MaxBodyBytes: 1 << 10, IdleTimeout: time.Minute}, testRoutes, pools, map[string]*route.Workspace{"k": {Name: "w"}})
}

func startRelay(t *testing.T, stubs ...*engineStub) *testRelay {
	t.Helper()
	return startRelayOf(t, 1, 0, stubs...)
}

// startRelayOf starts the relay with an index among some instances.
func startRelayOf(t *testing.T, instances, index int, stubs ...*engineStub) *testRelay {
	t.Helper()
	return startRelayWith(t, &Links{}, instances, index, stubs...)
}

// startRelayWith starts a relay whose connections other instances may carry.
func startRelayWith(t *testing.T, links *Links, instances, index int, stubs ...*engineStub) *testRelay {
	t.Helper()
	callerListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	readinessListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	board := blackboard.New()
	lines := &eventLog{}
	log := &timeline.Writer{Out: lines, Instance: "i1", Clock: &timeline.Clock{}}
	targets := &TargetRegistry{
		DataCentre: "a", RetryRatio: 0.5, RetrySlack: 20, RetryWindow: 10 * time.Second, Instances: func() int { return instances },
		IsUser: func(target string, users int) bool {
			return (int(xxhash.Sum64String(target))%instances+instances+index)%instances < users
		},
		Rank: func(key string) int { return (int(xxhash.Sum64String(key)%uint64(instances)) + index) % instances },
		Seed: uint64(index) + 1, Links: links,
	}
	crashes := &CrashTracker{}
	targets.ObserveTargets = crashes.ObserveTargets
	links.DataCentre, links.Seed, links.Log = "a", uint64(index)+1, log
	table := testRelayTable()
	var list []route.Target
	for i, s := range stubs {
		list = append(list, route.Target{ID: s.id, Pool: "p", Address: s.address, DataCentre: string(rune('a' + i)), Slots: cmp.Or(s.slots, 8)})
	}
	targets.Update(time.Now(), table, map[string][]route.Target{"p": list})
	TableKey.Put(board, table)
	tr := &testRelay{t: t, callerAddress: callerListener.Addr().String(), readinessAddress: readinessListener.Addr().String(), done: make(chan error, 1), log: lines}
	tr.relay = &Relay{Links: links, DataCentre: "a", CallerListener: callerListener, ReadinessListener: readinessListener, Codec: testCodec{}, Board: board, Targets: targets, Crashes: crashes, Log: log, GracePeriod: 4 * time.Second, DeregistrationDelay: 100 * time.Millisecond}
	ctx, stop := context.WithCancel(context.Background())
	tr.stop = stop
	go func() { tr.done <- tr.relay.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-tr.done
	})
	return tr
}

// callerResponse is what a caller received.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

func (r *testRelay) request(method, path, body string, headers ...string) callerResponse {
	r.t.Helper()
	httpReq, err := http.NewRequest(method, "http://"+r.callerAddress+path, strings.NewReader(body))
	require.NoError(r.t, err)
	httpReq.Host = "h.example"
	httpReq.Header.Set("Id", "r-"+path)
	httpReq.Header.Set("Key", "k")
	for i := 0; i+1 < len(headers); i += 2 {
		httpReq.Header.Set(headers[i], headers[i+1])
	}
	c := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}, Timeout: 15 * time.Second}
	res, err := c.Do(httpReq)
	if err != nil {
		return callerResponse{err: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return callerResponse{status: res.StatusCode, header: res.Header, body: string(data), err: err}
}
