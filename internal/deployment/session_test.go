package deployment_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/deployment"
	standin "bambooferry.example/bambooferry/internal/standin/engine"
)

// session is one exchange as a caller sees it on the wire.
type session struct {
	name string
	path string
	body string
	// prepare sets faults before the request; strike makes something fail after the third event.
	prepare func(d *deployment.Deployment)
	strike  func(t *testing.T, d *deployment.Deployment)
	// takeUp repeats the request at another instance with the third event's id.
	takeUp bool
}

const (
	streamBody = `{"model":"ferry-llm","prompt":"Draft a stall layout.","max_tokens":8,"seed":7,"stream":true}`
	chatBody   = `{"model":"ferry-llm","messages":[{"role":"user","content":"Draft a stall layout."}],"max_tokens":8,"seed":7,"stream":true}`
	wholeBody  = `{"model":"ferry-llm","prompt":"Draft a stall layout.","max_tokens":8,"seed":7}`
)

var sessions = []session{
	{name: "undisturbed", path: "/v1/completions", body: streamBody},
	{name: "chat", path: "/v1/chat/completions", body: chatBody},
	{name: "whole", path: "/v1/completions", body: wholeBody},
	{name: "engine_killed", path: "/v1/completions", body: streamBody, strike: func(t *testing.T, d *deployment.Deployment) { victim(t, d).Kill() }},
	{name: "connection_silent", path: "/v1/completions", body: streamBody, strike: func(t *testing.T, d *deployment.Deployment) {
		victim(t, d).SetFaults(standin.Faults{SilenceConnections: true})
	}},
	{name: "taken_up", path: "/v1/completions", body: streamBody, takeUp: true},
	{name: "no_engine", path: "/v1/completions", body: streamBody, prepare: func(d *deployment.Deployment) {
		others(d, nil, standin.Faults{Refuse: true})
	}},
}

// Guards against any change of what callers see, in particular by a fault that must not show.
func TestSessions(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".golden"))
	for _, s := range sessions {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			d := start(t, 2, 3, func(p *deployment.Config) {
				shortWait(p)
				p.EngineTemplate.TokenInterval = 20 * time.Millisecond
			})
			if s.prepare != nil {
				s.prepare(d)
			}
			got, cursor := s.play(t, d, 0, "")
			if s.takeUp {
				got, _ = s.play(t, d, 1, cursor)
			}
			g.Assert(t, s.name, got)
		})
	}
}

// play sends the request, reads the answer and returns it without what differs from run to run, and the third event's id.
func (s *session) play(t *testing.T, d *deployment.Deployment, instance int, cursor string) (out []byte, third string) {
	in := d.Instances[instance]
	r, err := http.NewRequest(http.MethodPost, "http://"+in.Address().String()+s.path, strings.NewReader(s.body))
	require.NoError(t, err)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+deployment.APIKey)
	if cursor != "" {
		r.Header.Set("Last-Event-ID", cursor)
	}
	res, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer res.Body.Close()
	var b bytes.Buffer
	fmt.Fprintf(&b, "%d %s\n", res.StatusCode, res.Header.Get("Content-Type"))
	if v := res.Header.Get("Retry-After"); v != "" {
		fmt.Fprintf(&b, "Retry-After: %s\n", v)
	}
	ids := 0
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			c, err := in.Signer.Verify(time.Now(), id)
			require.NoError(t, err)
			line = fmt.Sprintf("id: <cursor at %d>", c.Position)
			if ids++; ids == 3 {
				third = id
				if s.strike != nil {
					s.strike(t, d)
				}
			}
		}
		b.WriteString(unstable.ReplaceAllString(line, `"$1":"<$1>"`) + "\n")
	}
	require.NoError(t, lines.Err())
	_, _ = io.Copy(io.Discard, res.Body)
	return b.Bytes(), third
}

// unstable matches the fields that differ from run to run.
var unstable = regexp.MustCompile(`"(id|created|request_id)":("[^"]*"|\d+)`)
