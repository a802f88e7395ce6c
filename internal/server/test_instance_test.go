package server_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	testModel = "ferry-llm"
	testKey   = "secret-key-of-market"
	otherKey  = "secret-key-of-dealer"
)

// engineSocketBytes is the size requested for the kernel buffer of an engine's connection.
const engineSocketBytes = 16 << 10

// fastEngine generates with a fixed gap between tokens, or none, and keeps no record of what it sent.
type fastEngine struct {
	tokenBytes int
	gap        time.Duration
}

// text returns a token that depends on prompt and position.
func (f fastEngine) text(prompt string, position uint64) string {
	t := fmt.Sprintf("%s/%d ", prompt, position)
	return strings.Repeat(t, f.tokenBytes/len(t)+1)[:f.tokenBytes]
}

func (f fastEngine) expectedAnswer(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(f.text(prompt, uint64(i)))
	}
	return b.String()
}

func (f fastEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		return
	}
	if r.Method == http.MethodGet {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	q := engine.Request{}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		return
	}
	out := bufio.NewWriterSize(w, 4<<10)
	enc := json.NewEncoder(out)
	flush := func() error { _ = out.Flush(); return http.NewResponseController(w).Flush() }
	_ = http.NewResponseController(w).Flush()
	for n := q.From; n < uint64(q.MaxTokens); n++ {
		if enc.Encode(engine.Token{Attempt: q.Attempt, Position: n, Text: f.text(q.Prompt, n)}) != nil {
			return
		}
		if f.gap > 0 {
			if flush() != nil {
				return
			}
			time.Sleep(f.gap)
		}
	}
	_ = enc.Encode(engine.Token{Attempt: q.Attempt, Position: uint64(q.MaxTokens), End: "length"})
	_ = flush()
}

// testInstance is an instance that uses the given engines.
type testInstance struct {
	*server.Server
	stop   context.CancelFunc
	done   chan struct{}
	events *syncBuffer
	logs   *syncBuffer
}

func startInstance(t testing.TB, limits server.Limits, engines ...netip.AddrPort) *testInstance {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	in := &testInstance{done: make(chan struct{}), events: &syncBuffer{}, logs: &syncBuffer{}}
	in.Server = &server.Server{
		ID: "instance-0", Incarnation: 1, DataCentre: "scot-central-1", Listener: ln, Limits: limits,
		Signer: generation.CursorSigner{Keys: [][]byte{[]byte("cursor-key-0123456789abcdef")}},
		Board:  blackboard.New(), Log: zerolog.New(in.logs),
		Router: &server.LeastRouter{}, Admitter: &server.LocalAdmitter{}, Client: server.NewClient(time.Second), Metrics: metrics.NewSet(),
	}
	in.Events = &timeline.Writer{Out: in.events, Instance: in.ID, Incarnation: 1, Clock: &timeline.Clock{}}
	data, err := json.Marshal(testDocument(engines))
	require.NoError(t, err)
	require.True(t, in.ApplyCatalogue(time.Now(), data))
	ctx, cancel := context.WithCancel(context.Background())
	stop, stopped := context.WithCancel(ctx)
	in.stop = stopped
	go func() { defer close(in.done); _ = in.Run(ctx, stop) }()
	t.Cleanup(func() { cancel(); <-in.done })
	res, err := http.Get("http://" + in.Address().String() + "/healthz")
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	return in
}

func testDocument(engines []netip.AddrPort) *catalogue.Document {
	model := catalogue.Entry{
		Name: testModel, Owner: "assistant team", Kind: catalogue.Model, Class: catalogue.Interactive,
		Limits:  catalogue.Limits{InProgress: 10_000, Queue: 1000, Deadline: catalogue.Duration(10 * time.Minute), BodyBytes: 1 << 20, Tokens: 1 << 20},
		Version: "v1", Versions: []catalogue.Version{{Name: "v1"}},
	}
	for i, a := range engines {
		model.Targets = append(model.Targets, catalogue.Target{Name: fmt.Sprintf("engine-%d", i), Address: a, DataCentre: "scot-central-1", Version: "v1", Slots: 5000})
	}
	doc := &catalogue.Document{Format: catalogue.FormatVersion, Revision: 1, Entries: []catalogue.Entry{model}}
	for name, key := range map[string]string{"market": testKey, "dealer": otherKey} {
		doc.Workspaces = append(doc.Workspaces, catalogue.Workspace{Name: name, KeySHA256: catalogue.HashKey(key), Weight: 1, InProgress: 10_000})
	}
	return doc
}

func startEngine(t testing.TB, h http.Handler) netip.AddrPort {
	return serveEngine(t, httptest.NewUnstartedServer(h))
}

// startBoundedEngine starts an engine with small socket buffers.
//
// By default the kernel buffers megabytes of each unread answer. With hundreds of answers this
// takes so much processor time that others do not begin within 3 s. A reader that continues gets
// its answer more slowly through small buffers at both ends.
func startBoundedEngine(t testing.TB, h http.Handler) netip.AddrPort {
	s := httptest.NewUnstartedServer(h)
	s.Config.ConnState = func(c net.Conn, state http.ConnState) {
		if t, ok := c.(*net.TCPConn); ok && state == http.StateNew {
			_ = t.SetWriteBuffer(engineSocketBytes)
		}
	}
	return serveEngine(t, s)
}

func serveEngine(t testing.TB, s *httptest.Server) netip.AddrPort {
	s.Start()
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// slowReader is a caller on a raw connection that reads only when readToEnd is called.
type slowReader struct {
	conn net.Conn
	res  *http.Response
}

func openReader(t testing.TB, address netip.AddrPort, prompt string, tokens int) *slowReader {
	conn, err := net.Dial("tcp", address.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true,"seed":1}`, testModel, prompt, tokens)
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
	require.NoError(t, err)
	return &slowReader{conn: conn}
}

// readToEnd reads the answer to its end and returns its text.
func (s *slowReader) readToEnd() (string, error) {
	_ = s.conn.SetReadDeadline(time.Now().Add(time.Minute))
	res, err := http.ReadResponse(bufio.NewReader(s.conn), nil)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(res.Body)
		return "", fmt.Errorf("status %d: %s", res.StatusCode, data)
	}
	var text strings.Builder
	in := bufio.NewScanner(res.Body)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		data, ok := strings.CutPrefix(in.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var ev struct{ Choices []struct{ Text string } }
		if err := json.Unmarshal([]byte(data), &ev); err != nil || len(ev.Choices) != 1 {
			return text.String(), fmt.Errorf("unexpected event %s", data)
		}
		text.WriteString(ev.Choices[0].Text)
	}
	return text.String(), fmt.Errorf("ended early: %v", in.Err())
}

// waitForStableMemory waits until the held bytes no longer change.
func waitForStableMemory(in *testInstance) {
	last, since := -1.0, time.Now()
	for begin := time.Now(); time.Since(begin) < 20*time.Second && time.Since(since) < 400*time.Millisecond; time.Sleep(20 * time.Millisecond) {
		if now := heldBytes(in); now != last {
			last, since = now, time.Now()
		}
	}
}

func heldBytes(in *testInstance) float64 { return gauge(in, "bambooferry_held_bytes") }

func gauge(in *testInstance, name string) float64 {
	return in.Metrics.GetOrCreateGauge(name, nil).Get()
}
