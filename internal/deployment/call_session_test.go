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

// sessionEvents collects the events of a session.
type sessionEvents struct {
	mu  sync.Mutex
	out bytes.Buffer
}

// Write appends one event.
func (e *sessionEvents) Write(p []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.out.Write(p)
}

// takeDecisions returns the decisions recorded since it was last called, without fields that differ between runs.
func (e *sessionEvents) takeDecisions(t *testing.T) string {
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

func describeResponse(response caller.CallResponse) string {
	if response.Error == nil {
		return fmt.Sprintf("%d %s %s", response.Status, response.Header.Get(server.CallModeHeader), strings.TrimSpace(response.Body))
	}
	s := fmt.Sprintf("%d %s outcome=%s retry=%t", response.Status, response.Error.Code, response.Error.Outcome, response.Error.Retry)
	if response.Header.Get(server.TicketHeader) != "" {
		s += " with a ticket"
	}
	return s
}

// session is a sequence of calls by one caller, with the faults set before each.
type session struct {
	name  string
	steps []sessionStep
}

type sessionStep struct {
	// delay is a pause before the step.
	delay    time.Duration
	services service.Faults
	platform standinplatform.Faults
	method   string
	body     string
	key      string
	// useTicket sends the last ticket as the key.
	useTicket bool
}

// releaseWriteWait is longer than a released claim takes to be written. A repeat before that first finds
// the claim taken and then wins it, so that the same response has one more event.
const releaseWriteWait = time.Second

var sessions = []session{
	{"repeat of a finished call", []sessionStep{{method: "POST", body: "{}", key: "a"}, {method: "POST", body: "{}", key: "a"}, {method: "POST", body: "{1}", key: "a"}}},
	{"without a key", []sessionStep{{method: "POST", body: "{}"}, {method: "GET"}}},
	{"the key-value service is down", []sessionStep{
		{method: "POST", body: "{}", key: "a", platform: standinplatform.Faults{Down: true}},
		{method: "POST", body: "{}", useTicket: true, platform: standinplatform.Faults{Down: true}},
		{method: "POST", body: "{}", useTicket: true, platform: standinplatform.Faults{Down: true}},
		{method: "POST", body: "{2}", useTicket: true},
	}},
	{"the target refuses, then takes the call", []sessionStep{
		{method: "POST", body: "{}", key: "a", services: service.Faults{Refuse: true}},
		{method: "POST", body: "{}", key: "a", delay: releaseWriteWait},
	}},
	{"the answer is lost", []sessionStep{
		{method: "POST", body: "{}", key: "a", services: service.Faults{LoseResponses: 1}},
		{method: "POST", body: "{}", key: "a"},
	}},
	{"a request crashes its targets", []sessionStep{
		{method: "POST", body: "poison", services: service.Faults{CrashOnBody: "poison"}},
		{method: "POST", body: "poison", services: service.Faults{CrashOnBody: "poison"}},
		{method: "POST", body: "poison", key: "b", services: service.Faults{CrashOnBody: "poison"}},
		{method: "GET", body: "poison", services: service.Faults{CrashOnBody: "poison"}, delay: unreachableRetryWait},
	}},
}

// unreachableRetryWait is longer than the time for which an unreachable target is not tried again.
const unreachableRetryWait = 500 * time.Millisecond

// TestCallSessions guards against changes to what callers receive and to the events that record it.
func TestCallSessions(t *testing.T) {
	var transcript strings.Builder
	for _, s := range sessions {
		events := &sessionEvents{}
		d := startCalls(t, func(cfg *Config) {
			// This policy takes the first of equal targets; the others choose among them at random.
			cfg.Instances, cfg.Events, cfg.RoutingPolicy = 1, events, "least_requests"
		})
		events.takeDecisions(t)
		fmt.Fprintf(&transcript, "# %s\n", s.name)
		ticket := ""
		for _, step := range s.steps {
			time.Sleep(step.delay)
			for _, target := range d.Services {
				target.SetFaults(step.services)
			}
			d.Platform.SetFaults(step.platform)
			c := caller.Call{APIKey: APIKey, Entry: ServiceName, Method: step.method, Path: "/stalls", Body: step.body, IdempotencyKey: step.key}
			if step.useTicket {
				c.IdempotencyKey = ticket
			}
			response := mustCall(t, d, 0, c)
			if newTicket := response.Header.Get(server.TicketHeader); newTicket != "" {
				ticket = newTicket
			}
			shownKey := step.key
			if step.useTicket {
				shownKey = "the ticket"
			}
			fmt.Fprintf(&transcript, "%s /stalls %s key=%q\n-> %s\n%s", step.method, step.body, shownKey, describeResponse(response), events.takeDecisions(t))
		}
		d.Close()
	}
	goldie.New(t).Assert(t, "call_sessions", []byte(transcript.String()))
}
