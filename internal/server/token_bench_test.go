package server

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/generation"
)

// benchStream returns a stream whose events the caller supplies.
func benchStream(s *Server, i int) *stream {
	workspace := &catalogue.Workspace{Name: fmt.Sprintf("workspace-%d", i%10)}
	r := &request{Request: httptest.NewRequest(http.MethodPost, "/", nil), id: fmt.Sprint(i), document: &catalogue.Document{}, workspace: workspace, now: time.Now()}
	st := &stream{
		server: s, request: r, entry: &catalogue.Entry{Name: "m"}, deadline: time.Now().Add(time.Hour), outbox: newOutbox(1 << 20),
		events: make(chan generation.Event), attempts: map[int]*attempt{}, slots: map[string]*heldSlot{}, account: s.newAccount(workspace.Name),
		core:          generation.Stream{MaxKeptBytes: s.Limits.MaxKeptTextBytes, ResumeWait: time.Hour, RetryWait: time.Second, Timeouts: s.Limits.SilenceTimeouts},
		engineRequest: engine.Request{Generation: fmt.Sprint(i), Version: "v1"},
	}
	st.core.Step(time.Now(), generation.Event{Kind: generation.Started})
	st.core.Step(time.Now(), generation.Event{Kind: generation.Accepted, Attempt: 1, Target: "engine-a"})
	return st
}

// BenchmarkTokenPath measures the processing of one token from an engine's line to the caller's event, with
// many streams in progress, after the first tokens of each.
func BenchmarkTokenPath(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("streams=%d", n), func(b *testing.B) {
			s := &Server{Limits: DefaultLimits(), Board: blackboard.New(), Metrics: metrics.NewSet(), Signer: generation.CursorSigner{Keys: [][]byte{[]byte("0123456789abcdef")}}}
			streams := make([]*benchPath, n)
			for i := range streams {
				streams[i] = newBenchPath(s, i)
				defer s.streams.add(streams[i].st)()
				for range warmupTokens {
					streams[i].sendToken()
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				streams[i%n].sendToken()
			}
			for _, p := range streams {
				require.Equal(b, p.next, p.st.core.Position)
			}
		})
	}
}

// warmupTokens is the number of tokens after which the buffers of a stream have reached their final sizes.
const warmupTokens = 16

// benchPath is one stream with an engine's connection and a caller that reads everything.
type benchPath struct {
	st    *stream
	lines lineReader
	line  []byte
	next  uint64
	w     *eventWriter
	p     part
}

func newBenchPath(s *Server, i int) *benchPath {
	b := &benchPath{st: benchStream(s, i), w: &eventWriter{w: discardResponse{}, out: http.NewResponseController(discardResponse{}), idleTimeout: time.Hour, headerWritten: true}}
	b.lines.in = bufio.NewReaderSize(b, lineBufferBytes)
	return b
}

// Read acts as the engine's connection and returns one line at a time.
func (b *benchPath) Read(p []byte) (int, error) { return copy(p, b.line), nil }

func (b *benchPath) sendToken() {
	b.line = strconv.AppendUint(append(b.line[:0], `{"attempt":1,"position":`...), b.next, 10)
	b.line = append(b.line, `,"text":"token "}`+"\n"...)
	b.next++
	tok, _ := b.lines.Next()
	b.st.handleEvent(context.Background(), generation.Event{Kind: generation.TokenReceived, Attempt: tok.Attempt, Position: tok.Position, Text: tok.Text})
	for b.st.takePart(&b.p) {
		b.st.appendPart(b.w, &b.p)
		_ = b.w.write()
	}
}

type discardResponse struct{}

func (discardResponse) Header() http.Header              { return http.Header{} }
func (discardResponse) Write(b []byte) (int, error)      { return len(b), nil }
func (discardResponse) WriteHeader(int)                  {}
func (discardResponse) SetWriteDeadline(time.Time) error { return nil }
