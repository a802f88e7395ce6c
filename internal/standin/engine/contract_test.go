package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	standin "bambooferry.example/bambooferry/internal/standin/engine"
	"bambooferry.example/bambooferry/pkg/engine"
)

// target is a running stand-in engine under test.
type target struct {
	t      *testing.T
	url    string
	engine *standin.Engine
}

func startEngine(t *testing.T, tokenInterval time.Duration) *target {
	t.Helper()
	e := &standin.Engine{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Model: "m", Versions: []string{"v1"}, Slots: 2, MaxRequests: 4,
		FirstToken: time.Millisecond, TokenInterval: tokenInterval, Linger: 10 * time.Second, Retention: 10 * time.Second, CacheBlocks: 16,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = e.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return &target{t: t, url: "http://" + e.Address().String(), engine: e}
}

func request(generation string, tokens int) engine.Request {
	return engine.Request{Generation: generation, Attempt: 1, Model: "m", Version: "v1", Seed: 3, Prompt: "p", MaxTokens: tokens}
}

func (tgt *target) do(method, path string, body any) *http.Response {
	tgt.t.Helper()
	data, err := json.Marshal(body)
	require.NoError(tgt.t, err)
	r, err := http.NewRequest(method, tgt.url+path, bytes.NewReader(data))
	require.NoError(tgt.t, err)
	res, err := http.DefaultClient.Do(r)
	require.NoError(tgt.t, err)
	tgt.t.Cleanup(func() { _ = res.Body.Close() })
	return res
}

// readTokens reads up to n tokens of a response, or fewer if it ends before.
func (tgt *target) readTokens(res *http.Response, n int) (tokens []engine.Token) {
	tgt.t.Helper()
	require.Equal(tgt.t, http.StatusOK, res.StatusCode)
	lines := bufio.NewScanner(res.Body)
	for len(tokens) < n && lines.Scan() {
		tok := engine.Token{}
		require.NoError(tgt.t, json.Unmarshal(lines.Bytes(), &tok))
		require.NoError(tgt.t, tok.Check())
		tokens = append(tokens, tok)
	}
	return tokens
}

func (tgt *target) outcome(res *http.Response) string {
	body := struct{ Outcome string }{}
	require.NoError(tgt.t, json.NewDecoder(res.Body).Decode(&body))
	return body.Outcome
}

// expectedTokens returns the lines that a response must hold from a position to the end.
func expectedTokens(r engine.Request, attempt int, from uint64) (tokens []engine.Token) {
	for position := from; position < uint64(r.MaxTokens); position++ {
		tokens = append(tokens, engine.Token{Attempt: attempt, Position: position, Text: standin.TokenText(&r, position)})
	}
	return append(tokens, engine.Token{Attempt: attempt, Position: uint64(r.MaxTokens), End: "length"})
}

// Guards against a stand-in engine that departs from the behaviour that instances rely on.
func TestEngineContract(t *testing.T) {
	for _, c := range []struct {
		name          string
		tokenInterval time.Duration
		run           func(t *testing.T, tgt *target)
	}{
		{"a generation is streamed completely and in order", time.Millisecond, func(t *testing.T, tgt *target) {
			r := request("g", 20)
			require.Equal(t, expectedTokens(r, 1, 0), tgt.readTokens(tgt.do(http.MethodPost, "/generate", r), 99))
		}},
		{"a record can be read from any position, also after its end", time.Millisecond, func(t *testing.T, tgt *target) {
			r := request("g", 20)
			tgt.readTokens(tgt.do(http.MethodPost, "/generate", r), 99)
			for _, from := range []uint64{0, 7, 20} {
				res := tgt.do(http.MethodGet, fmt.Sprintf("/streams/g?attempt=2&from=%d", from), nil)
				require.Equal(t, expectedTokens(r, 2, from), tgt.readTokens(res, 99))
			}
			require.Equal(t, 1, tgt.engine.Stats().Started)
		}},
		{"two connections can read a running record", 5 * time.Millisecond, func(t *testing.T, tgt *target) {
			r := request("g", 20)
			first := tgt.do(http.MethodPost, "/generate", r)
			tgt.readTokens(first, 3)
			require.Equal(t, expectedTokens(r, 2, 3), tgt.readTokens(tgt.do(http.MethodGet, "/streams/g?attempt=2&from=3", nil), 99))
		}},
		{"delivered text is continued", time.Millisecond, func(t *testing.T, tgt *target) {
			r := request("g", 20)
			r.From, r.Attempt, r.Delivered = 8, 2, standin.AnswerText(&r, 8)
			require.Equal(t, expectedTokens(r, 2, 8), tgt.readTokens(tgt.do(http.MethodPost, "/generate", r), 99))
			res := tgt.do(http.MethodGet, "/streams/g?attempt=3&from=7", nil)
			require.Equal(t, http.StatusNotFound, res.StatusCode, "positions before the continuation are not held")
		}},
		{"delivered text that differs is refused", time.Millisecond, func(t *testing.T, tgt *target) {
			r := request("g", 20)
			r.From, r.Delivered = 1, "other "
			res := tgt.do(http.MethodPost, "/generate", r)
			require.Equal(t, http.StatusConflict, res.StatusCode)
			require.Equal(t, "not_run", tgt.outcome(res))
		}},
		{"an unknown record is reported as missing", time.Millisecond, func(t *testing.T, tgt *target) {
			res := tgt.do(http.MethodGet, "/streams/none?attempt=1&from=0", nil)
			require.Equal(t, http.StatusNotFound, res.StatusCode)
			require.Equal(t, "unknown", tgt.outcome(res))
		}},
		{"an unknown version is refused", time.Millisecond, func(t *testing.T, tgt *target) {
			r := request("g", 20)
			r.Version = "v2"
			require.Equal(t, "not_run", tgt.outcome(tgt.do(http.MethodPost, "/generate", r)))
			require.Zero(t, tgt.engine.Stats().Started)
		}},
		{"cancelling frees the slot at once", time.Hour, func(t *testing.T, tgt *target) {
			tgt.readTokens(tgt.do(http.MethodPost, "/generate", request("g", 20)), 1)
			require.Equal(t, 1, tgt.engine.CurrentLoad().Running)
			require.Equal(t, http.StatusOK, tgt.do(http.MethodDelete, "/streams/g?attempt=1", nil).StatusCode)
			require.Zero(t, tgt.engine.CurrentLoad().Running)
		}},
		{"cancelling an unknown generation is not confirmed", time.Millisecond, func(t *testing.T, tgt *target) {
			require.Equal(t, http.StatusNotFound, tgt.do(http.MethodDelete, "/streams/none?attempt=1", nil).StatusCode)
		}},
		{"an older attempt does not end a newer one", time.Hour, func(t *testing.T, tgt *target) {
			r := request("g", 20)
			r.Attempt = 3
			tgt.readTokens(tgt.do(http.MethodPost, "/generate", r), 1)
			require.Equal(t, http.StatusOK, tgt.do(http.MethodDelete, "/streams/g?attempt=2", nil).StatusCode)
			r.Attempt = 2
			res := tgt.do(http.MethodPost, "/generate", r)
			require.Equal(t, http.StatusConflict, res.StatusCode)
			require.Equal(t, "not_run", tgt.outcome(res))
			require.Equal(t, 1, tgt.engine.CurrentLoad().Running)
		}},
		{"a higher priority is served first", 20 * time.Millisecond, func(t *testing.T, tgt *target) {
			for _, id := range []string{"a", "b"} {
				tgt.readTokens(tgt.do(http.MethodPost, "/generate", request(id, 1000)), 1)
			}
			tgt.do(http.MethodPost, "/generate", request("low", 1000))
			r := request("high", 1000)
			r.Priority = 1
			res := tgt.do(http.MethodPost, "/generate", r)
			require.Equal(t, 2, tgt.engine.CurrentLoad().Waiting)
			tgt.do(http.MethodDelete, "/streams/a?attempt=1", nil)
			require.Equal(t, expectedTokens(r, 1, 0)[:1], tgt.readTokens(res, 1))
			require.Equal(t, 1, tgt.engine.CurrentLoad().Waiting)
		}},
		{"too many requests crash the engine", time.Hour, func(t *testing.T, tgt *target) {
			for _, id := range []string{"a", "b", "c", "d"} {
				tgt.do(http.MethodPost, "/generate", request(id, 20))
			}
			data, err := json.Marshal(request("e", 20))
			require.NoError(t, err)
			res, err := http.Post(tgt.url+"/generate", "application/json", bytes.NewReader(data))
			if err == nil {
				res.Body.Close()
			}
			require.Error(t, err)
			require.True(t, tgt.engine.Stats().Overloaded)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.run(t, startEngine(t, c.tokenInterval))
		})
	}
}
