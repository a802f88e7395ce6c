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

// session is one request with its response, as a caller sees them on the wire.
type session struct {
	name string
	path string
	body string
	// prepare sets faults before the request; inject causes a fault after the third event.
	prepare func(d *deployment.Deployment)
	inject  func(t *testing.T, d *deployment.Deployment)
	// resumeElsewhere repeats the request at another instance with the third event's id.
	resumeElsewhere bool
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
	{name: "engine_killed", path: "/v1/completions", body: streamBody, inject: func(t *testing.T, d *deployment.Deployment) { busyEngine(t, d).Kill() }},
	{name: "connection_silent", path: "/v1/completions", body: streamBody, inject: func(t *testing.T, d *deployment.Deployment) {
		busyEngine(t, d).SetFaults(standin.Faults{SilenceConnections: true})
	}},
	{name: "taken_up", path: "/v1/completions", body: streamBody, resumeElsewhere: true},
	{name: "no_engine", path: "/v1/completions", body: streamBody, prepare: func(d *deployment.Deployment) {
		setFaultsExcept(d, nil, standin.Faults{Refuse: true})
	}},
}

// Guards against any change in what callers receive, in particular through a fault that must not be visible to them.
func TestSessions(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".golden"))
	for _, s := range sessions {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			d := startDeployment(t, 2, 3, func(cfg *deployment.Config) {
				shortResumeTimeout(cfg)
				cfg.EngineTemplate.TokenInterval = 20 * time.Millisecond
			})
			if s.prepare != nil {
				s.prepare(d)
			}
			got, cursor := s.exchange(t, d, 0, "")
			if s.resumeElsewhere {
				got, _ = s.exchange(t, d, 1, cursor)
			}
			g.Assert(t, s.name, got)
		})
	}
}

// exchange sends the request and returns the response, without the parts that differ between runs, and the third event's id.
func (s *session) exchange(t *testing.T, d *deployment.Deployment, instance int, cursor string) (transcript []byte, thirdEventID string) {
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
				thirdEventID = id
				if s.inject != nil {
					s.inject(t, d)
				}
			}
		}
		b.WriteString(variableFields.ReplaceAllString(line, `"$1":"<$1>"`) + "\n")
	}
	require.NoError(t, lines.Err())
	_, _ = io.Copy(io.Discard, res.Body)
	return b.Bytes(), thirdEventID
}

// variableFields matches the fields that differ between runs.
var variableFields = regexp.MustCompile(`"(id|created|request_id)":("[^"]*"|\d+)`)
