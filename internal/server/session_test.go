package server_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"bambooferry.example/bambooferry/internal/caller"
	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/pkg/generation"
)

// exchange is one request and the name of its golden file.
type exchange struct {
	name   string
	method string
	path   string
	key    string
	header map[string]string
	body   string
}

var varyingParts = []struct {
	pattern *regexp.Regexp
	instead string
}{
	{regexp.MustCompile(`gen-[0-9a-f]{24}`), "gen-ID"},
	{regexp.MustCompile(`(?m)^id: .*$`), "id: CURSOR"},
	{regexp.MustCompile(`(?m)^Date: .*$`), "Date: DATE"},
	{regexp.MustCompile(`"created":[1-9]\d+`), `"created":CREATED`},
	{regexp.MustCompile(`"request_id":"[0-9a-f]{24}"`), `"request_id":"REQUEST"`},
	{regexp.MustCompile(`(?m)^Bambooferry-Request: [0-9a-f]{24}`), "Bambooferry-Request: REQUEST"},
}

// sendExchange sends a request and returns the raw response with its varying parts replaced.
func sendExchange(t testing.TB, in *testInstance, x exchange) string {
	if x.method == "" {
		x.method, x.path = http.MethodPost, "/v1/completions"
	}
	r, err := http.NewRequest(x.method, "http://"+in.Address().String()+x.path, strings.NewReader(x.body))
	require.NoError(t, err)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+testKey)
	for k, v := range x.header {
		r.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer res.Body.Close()
	head, err := httputil.DumpResponse(res, false)
	require.NoError(t, err)
	body, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	text := strings.ReplaceAll(string(head), "\r\n", "\n") + string(body)
	for _, v := range varyingParts {
		text = v.pattern.ReplaceAllString(text, v.instead)
	}
	return text
}

const goodBody = `{"model":"ferry-llm","prompt":"rules","max_tokens":3,"seed":7`

func bodyWith(fields string) string { return goodBody + fields + "}" }

// signedCursor returns a header with a cursor signed with the instance's key, after edit has changed it.
func signedCursor(in *testInstance, edit func(*generation.Cursor)) map[string]string {
	c := &generation.Cursor{Generation: "g", Workspace: "market", Entry: testModel, Version: "v1", Expires: time.Now().Add(time.Hour)}
	edit(c)
	return map[string]string{"Last-Event-ID": in.Signer.Sign(c)}
}

func sessionExchanges(in *testInstance) []exchange {
	chat := `{"model":"ferry-llm","messages":[{"role":"user","content":[{"type":"text","text":"rules"}]}],"max_tokens":2,"seed":7`
	return []exchange{
		{name: "streamed", body: bodyWith(`,"stream":true,"stream_options":{"include_usage":true}`)},
		{name: "whole", body: bodyWith(`,"user":"u","n":1,"temperature":0.5,"top_p":0.9,"stop":"x","unheard_of":{}`)},
		{name: "chat_streamed", method: "POST", path: "/v1/chat/completions", body: chat + `,"stream":true}`},
		{name: "chat_whole", method: "POST", path: "/v1/chat/completions", body: chat + "}"},
		{name: "models", method: "GET", path: "/v1/models"},
		{name: "unknown_path", method: "GET", path: "/v2/x"},
		{name: "wrong_method", method: "GET", path: "/v1/completions"},
		{name: "wrong_key", header: map[string]string{"Authorization": "Bearer no"}, body: bodyWith("")},
		{name: "no_key", header: map[string]string{"Authorization": ""}, body: bodyWith("")},
		{name: "wrong_content_type", header: map[string]string{"Content-Type": "text/plain"}, body: bodyWith("")},
		{name: "empty_body"},
		{name: "broken_json", body: goodBody},
		{name: "trailing_json", body: bodyWith("") + "{}"},
		{name: "wrong_json_type", body: `{"model":7}`},
		{name: "deep_json", body: strings.Repeat("[", 100_000)},
		{name: "body_too_large", body: bodyWith(`,"user":"` + strings.Repeat("x", 5<<20) + `"`)},
		{name: "prompt_too_large", body: `{"model":"ferry-llm","prompt":"` + strings.Repeat("x", 2<<20) + `"}`},
		{name: "unknown_model", body: `{"model":"none","prompt":"x"}`},
		{name: "no_prompt", body: `{"model":"ferry-llm"}`},
		{name: "negative_tokens", body: `{"model":"ferry-llm","prompt":"x","max_tokens":-1}`},
		{name: "many_choices", body: bodyWith(`,"n":2`)},
		{name: "tools", body: bodyWith(`,"tools":[{}]`)},
		{name: "image", method: "POST", path: "/v1/chat/completions", body: `{"model":"ferry-llm","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`},
		{name: "hot_temperature", body: bodyWith(`,"temperature":3`)},
		{name: "many_stops", body: bodyWith(`,"stop":["a","b","c","d","e"]`)},
		{name: "invalid_deadline", header: map[string]string{server.DeadlineHeader: "soon"}, body: bodyWith("")},
		{name: "cursor_without_stream", header: map[string]string{"Last-Event-ID": "x"}, body: bodyWith("")},
		{name: "cursor_forged", header: map[string]string{"Last-Event-ID": "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"}, body: bodyWith(`,"stream":true`)},
		{name: "cursor_of_workspace", header: signedCursor(in, func(c *generation.Cursor) { c.Workspace = "dealer" }), body: bodyWith(`,"stream":true`)},
		{name: "cursor_of_request", header: signedCursor(in, func(*generation.Cursor) {}), body: bodyWith(`,"stream":true`)},
		{name: "cursor_expired", header: signedCursor(in, func(c *generation.Cursor) { c.Expires = time.Now().Add(-time.Second) }), body: bodyWith(`,"stream":true`)},
	}
}

// TestSessions guards against any change of the responses that callers get, and against hostile requests
// that are answered with anything other than a clear refusal.
func TestSessions(t *testing.T) {
	in := startInstance(t, server.DefaultLimits(), startEngine(t, fastEngine{tokenBytes: 12}))
	g := goldie.New(t)
	for _, x := range sessionExchanges(in) {
		t.Run(x.name, func(t *testing.T) { g.Assert(t, x.name, []byte(sendExchange(t, in, x))) })
	}
	require.Eventually(t, func() bool { return heldBytes(in) == 0 }, 5*time.Second, time.Millisecond)
}

// TestNoSecretsInEventsLogsAndMetrics guards against keys, prompts and answers in events, logs and metrics.
func TestNoSecretsInEventsLogsAndMetrics(t *testing.T) {
	f := fastEngine{tokenBytes: 40}
	in := startInstance(t, server.DefaultLimits(), startEngine(t, f))
	body := `{"model":"ferry-llm","prompt":"very private prompt","max_tokens":3,"stream":%v}`
	for _, x := range []exchange{
		{body: fmt.Sprintf(body, true)},
		{body: fmt.Sprintf(body, false)},
		{body: fmt.Sprintf(body, `"very private prompt"`)},
		{body: fmt.Sprintf(body, true), header: map[string]string{"Last-Event-ID": testKey}},
	} {
		sendExchange(t, in, x)
	}
	out := &bytes.Buffer{}
	in.Metrics.WritePrometheus(out)
	all := out.String() + in.events.String() + in.logs.String()
	require.Contains(t, all, "request_finished")
	require.Contains(t, all, `bambooferry_requests_total{entry="ferry-llm",outcome="ran"} 2`)
	for _, secret := range []string{testKey, "private", f.text("very private prompt", 1)[:12]} {
		require.NotContains(t, all, secret)
	}
}

// TestParallelCallers guards against answers that are delivered to the wrong caller.
func TestParallelCallers(t *testing.T) {
	f := fastEngine{tokenBytes: 30}
	in := startInstance(t, quickDetachLimits(), startEngine(t, f), startEngine(t, f))
	g, ctx := errgroup.WithContext(context.Background())
	for i := range 200 {
		g.Go(func() error {
			c := caller.Completion{APIKey: testKey, Model: testModel, Prompt: fmt.Sprint("call ", i), Tokens: 50, Instances: []netip.AddrPort{in.Address()}, MaxAttempts: 3}
			a, err := c.Stream(ctx)
			if err == nil && a.Text != f.expectedAnswer(c.Prompt, c.Tokens) {
				err = fmt.Errorf("call %d got another answer", i)
			}
			return err
		})
	}
	require.NoError(t, g.Wait())
}

// TestSlowUpload guards against a handler that waits without limit for a body that never arrives.
func TestSlowUpload(t *testing.T) {
	l := server.DefaultLimits()
	l.UploadTimeout = 200 * time.Millisecond
	in := startInstance(t, l)
	for _, key := range []string{testKey, "wrong"} {
		pr, pw := io.Pipe()
		r, err := http.NewRequest(http.MethodPost, "http://"+in.Address().String()+"/v1/completions", pr)
		require.NoError(t, err)
		r.Header.Set("Content-Type", "application/json")
		r.Header.Set("Authorization", "Bearer "+key)
		res, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		data, _ := io.ReadAll(res.Body)
		res.Body.Close()
		pw.Close()
		code := map[string]string{testKey: "body_too_slow", "wrong": "wrong_key"}[key]
		require.Contains(t, string(data), `"code":"`+code+`"`)
		require.Contains(t, string(data), `"outcome":"not_run"`)
	}
}

// TestGracefulStop guards against a graceful stop that cuts off requests in progress, and against false refusals during it.
func TestGracefulStop(t *testing.T) {
	f := fastEngine{tokenBytes: 10, gap: 20 * time.Millisecond}
	in := startInstance(t, server.DefaultLimits(), startEngine(t, f))
	streamed, whole := openReader(t, in.Address(), "p", 40), make(chan string, 1)
	go func() {
		whole <- sendExchange(t, in, exchange{body: `{"model":"ferry-llm","prompt":"q","max_tokens":40}`})
	}()
	require.Eventually(t, func() bool { return gauge(in, "bambooferry_streams_in_progress") == 2 }, 5*time.Second, time.Millisecond)
	in.stop()
	require.Eventually(t, func() bool { return !in.Ready() }, 5*time.Second, time.Millisecond)
	text, err := streamed.readToEnd()
	require.NoError(t, err)
	require.Equal(t, f.expectedAnswer("p", 40), text)
	require.Contains(t, <-whole, f.expectedAnswer("q", 40))
	<-in.done
}

// TestDrain guards against a closed port while a load balancer still sends callers to a stopping instance,
// and against a request without an answer on a connection that it accepted at the end of the drain period.
func TestDrain(t *testing.T) {
	f := fastEngine{tokenBytes: 10}
	var runs atomic.Int64
	in := startInstance(t, server.DefaultLimits(), startEngine(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			runs.Add(1)
		}
		f.ServeHTTP(w, r)
	})))
	startedAt := time.Now()
	in.stop()
	require.Eventually(t, func() bool { return !in.Ready() }, 5*time.Second, time.Millisecond)
	body := `{"model":"ferry-llm","prompt":"p","max_tokens":4}`
	served := 0
	for {
		// Each request goes out on the connection that was opened for it: the port may close before a second one.
		c, err := dialRaw(in.Address())
		if err != nil {
			require.ErrorIs(t, err, syscall.ECONNREFUSED)
			break
		}
		_, err = fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
		require.NoError(t, err)
		a, err := c.answer()
		require.NoError(t, err)
		require.NoError(t, c.Close())
		require.True(t, a.close, "an idle connection would outlive the drain")
		if a.refusal.Code == "leaving" {
			require.Equal(t, generation.NotRun, a.refusal.Outcome)
			require.EqualValues(t, served, runs.Load(), "the refused request has run")
			break
		}
		require.Contains(t, a.body, f.expectedAnswer("p", 4))
		served++
		time.Sleep(50 * time.Millisecond)
	}
	require.Positive(t, served)
	require.GreaterOrEqual(t, time.Since(startedAt), in.Limits.DrainPeriod)
	<-in.done
}

// TestKeepAlive guards against a connection that appears dead while an answer waits for its first token.
func TestKeepAlive(t *testing.T) {
	l := server.DefaultLimits()
	l.KeepAliveInterval, l.ResumeTimeout = 50*time.Millisecond, 300*time.Millisecond
	in := startInstance(t, l)
	out := sendExchange(t, in, exchange{body: bodyWith(`,"stream":true`)})
	require.Contains(t, out, ": keep-alive\n\n: keep-alive\n\n")
	require.Contains(t, out, `"code":"no_engine"`)
}
