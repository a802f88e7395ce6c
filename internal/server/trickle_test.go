package server_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/caller"
	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/pkg/engine"
)

// trickleEngine sends some tokens of the first request that it gets, and then a byte of an unfinished line now and then.
type trickleEngine struct {
	fastEngine
	tokens   uint64
	requests *atomic.Int32
}

func (e trickleEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || e.requests.Add(1) > 1 {
		e.fastEngine.ServeHTTP(w, r)
		return
	}
	q, out := engine.Request{}, http.NewResponseController(w)
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		return
	}
	for n := range e.tokens {
		_ = json.NewEncoder(w).Encode(engine.Token{Attempt: q.Attempt, Position: n, Text: e.text(q.Prompt, n)})
	}
	for r.Context().Err() == nil {
		_, _ = fmt.Fprint(w, " ")
		if out.Flush() != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against a stream that never ends since its engine sends a byte of an unfinished line now and then.
func TestStreamOfSingleBytesIsGivenUp(t *testing.T) {
	for _, tokens := range []uint64{0, 2} {
		t.Run(fmt.Sprintf("after %d tokens", tokens), func(t *testing.T) {
			requests := &atomic.Int32{}
			e := trickleEngine{fastEngine: fastEngine{tokenBytes: 12}, tokens: tokens, requests: requests}
			in := startInstance(t, server.DefaultLimits(), startEngine(t, e), startEngine(t, e))
			c := caller.Completion{APIKey: testKey, Model: testModel, Prompt: "rules", Tokens: 20, Instances: []netip.AddrPort{in.Address()}, MaxAttempts: 1}
			startedAt := time.Now()
			got, err := c.Stream(t.Context())
			require.NoError(t, err)
			require.Equal(t, e.expectedAnswer(c.Prompt, c.Tokens), got.Text)
			require.Greater(t, requests.Load(), int32(1))
			t.Logf("%d requests, %v", requests.Load(), time.Since(startedAt))
		})
	}
}
