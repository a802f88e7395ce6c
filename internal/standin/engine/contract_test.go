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

// target is a running engine under contract test.
type target struct {
	t   *testing.T
	url string
	e   *standin.Engine
}

func startEngine(t *testing.T, tokenTime time.Duration) *target {
	t.Helper()
	e := &standin.Engine{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Model: "m", Versions: []string{"v1"}, Slots: 2, MaxRequests: 4,
		FirstToken: time.Millisecond, TokenInterval: tokenTime, Linger: 10 * time.Second, Retention: 10 * time.Second, CacheBlocks: 16,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = e.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return &target{t: t, url: "http://" + e.Address().String(), e: e}
}

func request(generation string, tokens int) engine.Request {
	return engine.Request{Generation: generation, Attempt: 1, Model: "m", Version: "v1", Seed: 3, Prompt: "p", MaxTokens: tokens}
}

func (g *target) do(method, path string, body any) *http.Response {
	g.t.Helper()
	data, err := json.Marshal(body)
	require.NoError(g.t, err)
	r, err := http.NewRequest(method, g.url+path, bytes.NewReader(data))
	require.NoError(g.t, err)
	res, err := http.DefaultClient.Do(r)
	require.NoError(g.t, err)
	g.t.Cleanup(func() { _ = res.Body.Close() })
	return res
}

// lines reads up to n lines of an answer, or fewer when it ends.
func (g *target) lines(res *http.Response, n int) (list []engine.Token) {
	g.t.Helper()
	require.Equal(g.t, http.StatusOK, res.StatusCode)
	in := bufio.NewScanner(res.Body)
	for len(list) < n && in.Scan() {
		tok := engine.Token{}
		require.NoError(g.t, json.Unmarshal(in.Bytes(), &tok))
		require.NoError(g.t, tok.Check())
		list = append(list, tok)
	}
	return list
}

func (g *target) outcome(res *http.Response) string {
	body := struct{ Outcome string }{}
	require.NoError(g.t, json.NewDecoder(res.Body).Decode(&body))
	return body.Outcome
}

// answer returns the lines that must come for positions from to the end.
func answer(r engine.Request, attempt int, from uint64) (list []engine.Token) {
	for p := from; p < uint64(r.MaxTokens); p++ {
		list = append(list, engine.Token{Attempt: attempt, Position: p, Text: standin.TokenText(&r, p)})
	}
	return append(list, engine.Token{Attempt: attempt, Position: uint64(r.MaxTokens), End: "length"})
}

// Each case guards against an engine stand-in that behaves otherwise than instances rely on.
func TestEngineContract(t *testing.T) {
	for _, c := range []struct {
		name string
		pace time.Duration
		play func(t *testing.T, g *target)
	}{
		{"a generation comes whole and in order", time.Millisecond, func(t *testing.T, g *target) {
			r := request("g", 20)
			require.Equal(t, answer(r, 1, 0), g.lines(g.do(http.MethodPost, "/generate", r), 99))
		}},
		{"a record is given from any position, also after its end", time.Millisecond, func(t *testing.T, g *target) {
			r := request("g", 20)
			g.lines(g.do(http.MethodPost, "/generate", r), 99)
			for _, from := range []uint64{0, 7, 20} {
				res := g.do(http.MethodGet, fmt.Sprintf("/streams/g?attempt=2&from=%d", from), nil)
				require.Equal(t, answer(r, 2, from), g.lines(res, 99))
			}
			require.Equal(t, 1, g.e.Stats().Started)
		}},
		{"a running record is followed on two connections", 5 * time.Millisecond, func(t *testing.T, g *target) {
			r := request("g", 20)
			old := g.do(http.MethodPost, "/generate", r)
			g.lines(old, 3)
			require.Equal(t, answer(r, 2, 3), g.lines(g.do(http.MethodGet, "/streams/g?attempt=2&from=3", nil), 99))
		}},
		{"delivered text is continued", time.Millisecond, func(t *testing.T, g *target) {
			r := request("g", 20)
			r.From, r.Attempt, r.Delivered = 8, 2, standin.AnswerText(&r, 8)
			require.Equal(t, answer(r, 2, 8), g.lines(g.do(http.MethodPost, "/generate", r), 99))
			res := g.do(http.MethodGet, "/streams/g?attempt=3&from=7", nil)
			require.Equal(t, http.StatusNotFound, res.StatusCode, "positions before the continuation are not held")
		}},
		{"other delivered text is refused", time.Millisecond, func(t *testing.T, g *target) {
			r := request("g", 20)
			r.From, r.Delivered = 1, "other "
			res := g.do(http.MethodPost, "/generate", r)
			require.Equal(t, http.StatusConflict, res.StatusCode)
			require.Equal(t, "not_run", g.outcome(res))
		}},
		{"an unknown record is missing", time.Millisecond, func(t *testing.T, g *target) {
			res := g.do(http.MethodGet, "/streams/none?attempt=1&from=0", nil)
			require.Equal(t, http.StatusNotFound, res.StatusCode)
			require.Equal(t, "unknown", g.outcome(res))
		}},
		{"an unknown version is refused", time.Millisecond, func(t *testing.T, g *target) {
			r := request("g", 20)
			r.Version = "v2"
			require.Equal(t, "not_run", g.outcome(g.do(http.MethodPost, "/generate", r)))
			require.Zero(t, g.e.Stats().Started)
		}},
		{"a cancel frees the slot at once", time.Hour, func(t *testing.T, g *target) {
			g.lines(g.do(http.MethodPost, "/generate", request("g", 20)), 1)
			require.Equal(t, 1, g.e.CurrentLoad().Running)
			require.Equal(t, http.StatusOK, g.do(http.MethodDelete, "/streams/g?attempt=1", nil).StatusCode)
			require.Zero(t, g.e.CurrentLoad().Running)
		}},
		{"a cancel of an unknown generation is not confirmed", time.Millisecond, func(t *testing.T, g *target) {
			require.Equal(t, http.StatusNotFound, g.do(http.MethodDelete, "/streams/none?attempt=1", nil).StatusCode)
		}},
		{"an older attempt ends no newer one", time.Hour, func(t *testing.T, g *target) {
			r := request("g", 20)
			r.Attempt = 3
			g.lines(g.do(http.MethodPost, "/generate", r), 1)
			require.Equal(t, http.StatusOK, g.do(http.MethodDelete, "/streams/g?attempt=2", nil).StatusCode)
			r.Attempt = 2
			res := g.do(http.MethodPost, "/generate", r)
			require.Equal(t, http.StatusConflict, res.StatusCode)
			require.Equal(t, "not_run", g.outcome(res))
			require.Equal(t, 1, g.e.CurrentLoad().Running)
		}},
		{"higher priority goes first", 20 * time.Millisecond, func(t *testing.T, g *target) {
			for _, id := range []string{"a", "b"} {
				g.lines(g.do(http.MethodPost, "/generate", request(id, 1000)), 1)
			}
			g.do(http.MethodPost, "/generate", request("low", 1000))
			r := request("high", 1000)
			r.Priority = 1
			res := g.do(http.MethodPost, "/generate", r)
			require.Equal(t, 2, g.e.CurrentLoad().Waiting)
			g.do(http.MethodDelete, "/streams/a?attempt=1", nil)
			require.Equal(t, answer(r, 1, 0)[:1], g.lines(res, 1))
			require.Equal(t, 1, g.e.CurrentLoad().Waiting)
		}},
		{"too many requests make it fall over", time.Hour, func(t *testing.T, g *target) {
			for _, id := range []string{"a", "b", "c", "d"} {
				g.do(http.MethodPost, "/generate", request(id, 20))
			}
			data, err := json.Marshal(request("e", 20))
			require.NoError(t, err)
			res, err := http.Post(g.url+"/generate", "application/json", bytes.NewReader(data))
			if err == nil {
				res.Body.Close()
			}
			require.Error(t, err)
			require.True(t, g.e.Stats().Overloaded)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.play(t, startEngine(t, c.pace))
		})
	}
}
