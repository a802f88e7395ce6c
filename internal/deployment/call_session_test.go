package deployment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/caller"
	"bambooferry.example/bambooferry/internal/server"
	standinplatform "bambooferry.example/bambooferry/internal/standin/platform"
	"bambooferry.example/bambooferry/internal/standin/service"
)

// events collects the time line of a session.
type events struct {
	mu  sync.Mutex
	out bytes.Buffer
}

// Write adds one event.
func (e *events) Write(p []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.out.Write(p)
}

// story returns what was decided since the last call, without what differs from run to run.
func (e *events) story(t *testing.T) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var b strings.Builder
	for _, line := range strings.Split(strings.TrimSpace(e.out.String()), "\n") {
		ev := map[string]any{}
		require.NoError(t, json.Unmarshal([]byte(line), &ev))
		if ev["request"] == nil && ev["kind"] != "request_marked" {
			continue
		}
		fmt.Fprintf(&b, "  %s", ev["kind"])
		for _, f := range []string{"decision", "target", "why", "outcome"} {
			if ev[f] != nil {
				fmt.Fprintf(&b, " %s=%s", f, ev[f])
			}
		}
		b.WriteString("\n")
	}
	e.out.Reset()
	return b.String()
}

func describeAnswer(a caller.CallResponse) string {
	if a.Error == nil {
		return fmt.Sprintf("%d %s %s", a.Status, a.Header.Get(server.CallModeHeader), strings.TrimSpace(a.Body))
	}
	s := fmt.Sprintf("%d %s outcome=%s retry=%t", a.Status, a.Error.Code, a.Error.Outcome, a.Error.Retry)
	if a.Header.Get(server.TicketHeader) != "" {
		s += " with a ticket"
	}
	return s
}

// session is one caller's calls, with what happens before each.
type session struct {
	name  string
	steps []sessionStep
}

type sessionStep struct {
	// after is a pause before the step.
	after    time.Duration
	services service.Faults
	platform standinplatform.Faults
	method   string
	body     string
	key      string
	// ticket uses the last ticket as key.
	ticket bool
}

// releaseWritten is longer than a release waits for its write. Before that, a repeat first finds the
// claim taken and then wins it, so that the same answer has one more event.
const releaseWritten = time.Second

var sessions = []session{
	{"repeat of a finished call", []sessionStep{{method: "POST", body: "{}", key: "a"}, {method: "POST", body: "{}", key: "a"}, {method: "POST", body: "{1}", key: "a"}}},
	{"without a key", []sessionStep{{method: "POST", body: "{}"}, {method: "GET"}}},
	{"the key-value service is down", []sessionStep{
		{method: "POST", body: "{}", key: "a", platform: standinplatform.Faults{Down: true}},
		{method: "POST", body: "{}", ticket: true, platform: standinplatform.Faults{Down: true}},
		{method: "POST", body: "{}", ticket: true, platform: standinplatform.Faults{Down: true}},
		{method: "POST", body: "{2}", ticket: true},
	}},
	{"the target refuses, then takes the call", []sessionStep{
		{method: "POST", body: "{}", key: "a", services: service.Faults{Refuse: true}},
		{method: "POST", body: "{}", key: "a", after: releaseWritten},
	}},
	{"the answer is lost", []sessionStep{
		{method: "POST", body: "{}", key: "a", services: service.Faults{LoseResponses: 1}},
		{method: "POST", body: "{}", key: "a"},
	}},
	{"a request crashes its targets", []sessionStep{
		{method: "POST", body: "poison", services: service.Faults{CrashOnBody: "poison"}},
		{method: "POST", body: "poison", services: service.Faults{CrashOnBody: "poison"}},
		{method: "POST", body: "poison", key: "b", services: service.Faults{CrashOnBody: "poison"}},
		{method: "GET", body: "poison", services: service.Faults{CrashOnBody: "poison"}, after: triedAgain},
	}},
}

// triedAgain is longer than the time for which a target that could not be reached is passed over.
const triedAgain = 500 * time.Millisecond

// TestCallSessions guards against changes of what callers are told and of what the time line says about it.
func TestCallSessions(t *testing.T) {
	var out strings.Builder
	for _, s := range sessions {
		log := &events{}
		d := startCalls(t, func(p *Config) {
			// This policy takes the first of equal targets; others choose among them by chance.
			p.Instances, p.Events, p.RoutingPolicy = 1, log, "least_requests"
		})
		log.story(t)
		fmt.Fprintf(&out, "# %s\n", s.name)
		ticket := ""
		for _, step := range s.steps {
			time.Sleep(step.after)
			for _, sv := range d.Services {
				sv.SetFaults(step.services)
			}
			d.Platform.SetFaults(step.platform)
			c := caller.Call{APIKey: APIKey, Entry: ServiceName, Method: step.method, Path: "/stalls", Body: step.body, IdempotencyKey: step.key}
			if step.ticket {
				c.IdempotencyKey = ticket
			}
			a := ask(t, d, 0, c)
			if h := a.Header.Get(server.TicketHeader); h != "" {
				ticket = h
			}
			key := step.key
			if step.ticket {
				key = "the ticket"
			}
			fmt.Fprintf(&out, "%s /stalls %s key=%q\n-> %s\n%s", step.method, step.body, key, describeAnswer(a), log.story(t))
		}
		d.Close()
	}
	goldie.New(t).Assert(t, "call_sessions", []byte(out.String()))
}
