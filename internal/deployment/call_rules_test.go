package deployment

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/caller"
	"bambooferry.example/bambooferry/internal/server"
	standinplatform "bambooferry.example/bambooferry/internal/standin/platform"
	"bambooferry.example/bambooferry/internal/standin/service"
	"bambooferry.example/bambooferry/pkg/catalogue"
)

// mustCall sends a call to one instance and fails the test if there is no response.
func mustCall(t *testing.T, d *Deployment, instance int, c caller.Call) caller.CallResponse {
	t.Helper()
	response, err := c.Do(t.Context(), d.Instances[instance].Address())
	require.NoError(t, err)
	return response
}

// requireRefusal checks that a response is a complete refusal with the given code and outcome.
func requireRefusal(t *testing.T, response caller.CallResponse, code, outcome string) {
	t.Helper()
	require.NotNil(t, response.Error, response.Body)
	require.Equal(t, code, response.Error.Code)
	require.Equal(t, outcome, response.Error.Outcome)
	require.NotEmpty(t, response.Error.RequestID)
	if outcome == "not_run" {
		require.Equal(t, "not_run", response.Header.Get(server.OutcomeHeader))
	}
	require.Equal(t, response.Error.Retry, response.Header.Get("Retry-After") != "", "Retry-After must be set exactly when a retry is suggested")
}

// TestCallTreatment guards against responses that are not forwarded completely, and against wrong
// decisions on which calls may be repeated.
func TestCallTreatment(t *testing.T) {
	d := startCalls(t, func(cfg *Config) {
		cfg.EditCatalogue = func(doc *catalogue.Document) {
			e := doc.Entry(ServiceName)
			e.Limits.BodyBytes = 100
			e.Repeatable = []catalogue.RepeatableCall{{Method: "PUT", Path: "/layouts"}}
		}
	})
	for name, c := range map[string]struct {
		call             caller.Call
		status           int
		mode, code       string
		wantPath, header string
	}{
		"get":                   {call: caller.Call{Method: "GET", Path: "/stalls/7"}, status: 200, mode: "repeatable", wantPath: "/stalls/7"},
		"post with key":         {call: caller.Call{Method: "POST", Path: "/stalls", IdempotencyKey: "a"}, status: 200, mode: "claimed", wantPath: "/stalls"},
		"post without key":      {call: caller.Call{Method: "POST", Path: "/stalls"}, status: 200, mode: "unclaimed", wantPath: "/stalls"},
		"repeatable put":        {call: caller.Call{Method: "PUT", Path: "/layouts/3"}, status: 200, mode: "repeatable", wantPath: "/layouts/3"},
		"similar to repeatable": {call: caller.Call{Method: "PUT", Path: "/layouts3"}, status: 200, mode: "unclaimed", wantPath: "/layouts3"},
		"other method":          {call: caller.Call{Method: "DELETE", Path: "/layouts/3"}, status: 200, mode: "unclaimed", wantPath: "/layouts/3"},
		"not a service":         {call: caller.Call{Method: "POST", Path: "/x", Entry: ModelName}, status: 404, code: "unknown_entry"},
		"unknown entry":         {call: caller.Call{Method: "POST", Path: "/x", Entry: "none"}, status: 404, code: "unknown_entry"},
		"trace":                 {call: caller.Call{Method: "TRACE", Path: "/x"}, status: 405, code: "wrong_method"},
		"large body":            {call: caller.Call{Method: "POST", Path: "/x", Body: strings.Repeat("x", 101)}, status: 413, code: "body_too_large"},
		"long key":              {call: caller.Call{Method: "POST", Path: "/x", IdempotencyKey: strings.Repeat("x", 257)}, status: 400, code: "key_too_long"},
		"forged ticket":         {call: caller.Call{Method: "POST", Path: "/x", IdempotencyKey: "ticket.AAAA"}, status: 400, code: "ticket_invalid"},
		"wrong bearer key":      {call: caller.Call{Method: "POST", Path: "/x", APIKey: "other"}, status: 401, code: "wrong_key"},
	} {
		t.Run(name, func(t *testing.T) {
			if c.call.Entry == "" {
				c.call.Entry = ServiceName
			}
			if c.call.APIKey == "" {
				c.call.APIKey = APIKey
			}
			response := mustCall(t, d, 0, c.call)
			require.Equal(t, c.status, response.Status)
			if c.code != "" {
				requireRefusal(t, response, c.code, "not_run")
				return
			}
			require.Nil(t, response.Error)
			require.Equal(t, c.mode, response.Header.Get(server.CallModeHeader))
			require.Equal(t, "application/json", response.Header.Get("Content-Type"))
			require.Contains(t, response.Body, `"path":"`+c.wantPath+`"`)
		})
	}
}

// TestRepeatGetsFirstAnswer guards against a repeated call that runs again, returns less than the first
// one, or is mixed up with the same key of another workspace.
func TestRepeatGetsFirstAnswer(t *testing.T) {
	d := startCalls(t, nil)
	c := bookingCall(1)
	firstResponse := mustCall(t, d, 0, c)
	require.Nil(t, firstResponse.Error)
	for i := range d.Instances {
		repeated := mustCall(t, d, i, c)
		require.Nil(t, repeated.Error)
		require.Equal(t, firstResponse.Body, repeated.Body)
		require.Equal(t, "first_answer", repeated.Header.Get(server.CallModeHeader))
		other := c
		other.Body = "{}"
		requireRefusal(t, mustCall(t, d, i, other), "key_reused", "not_run")
	}
	require.Equal(t, 1, d.runCount(c))
	other := c
	other.APIKey = "key-of-workspace-1"
	require.Nil(t, mustCall(t, d, 1, other).Error)
	require.Equal(t, 2, d.runCount(c), "a key of another workspace is another call")
	// The record outlives the instance that ran the call.
	time.Sleep(100 * time.Millisecond)
	d.Instances[0].Kill()
	require.Equal(t, firstResponse.Body, mustCall(t, d, 2, c).Body)
}

// TestGoneClaimantIsUnknown guards against a second run when the claimant was killed during the call.
func TestGoneClaimantIsUnknown(t *testing.T) {
	d := startCalls(t, nil)
	for _, s := range d.Services {
		s.SetFaults(service.Faults{Delay: catalogue.Duration(300 * time.Millisecond)})
	}
	c := bookingCall(1)
	go func() { _, _ = c.Do(t.Context(), d.Instances[0].Address()) }()
	require.Eventually(t, func() bool { return d.runCount(c) == 1 }, 2*time.Second, time.Millisecond)
	d.Instances[0].Kill()
	response := mustCall(t, d, 1, c)
	requireRefusal(t, response, "claimant_unreachable", "unknown")
	require.Equal(t, 1, d.runCount(c))
}

// TestReleasedClaim guards against a key that remains blocked although nothing was sent.
func TestReleasedClaim(t *testing.T) {
	d := startCalls(t, nil)
	for _, s := range d.Services {
		s.SetFaults(service.Faults{Refuse: true})
	}
	c := bookingCall(1)
	requireRefusal(t, mustCall(t, d, 0, c), "targets_refused", "not_run")
	for _, s := range d.Services {
		s.SetFaults(service.Faults{})
	}
	require.Nil(t, mustCall(t, d, 1, c).Error)
	require.Equal(t, 1, d.runCount(c))
}

// TestTickets guards against a ticket whose call runs twice, or at an instance that did not issue it.
func TestTickets(t *testing.T) {
	d := startCalls(t, nil)
	d.Platform.SetFaults(standinplatform.Faults{Down: true})
	c := bookingCall(1)
	response := mustCall(t, d, 0, c)
	requireRefusal(t, response, "claims_unavailable", "not_run")
	require.Zero(t, d.runCount(c))
	c.IdempotencyKey = response.Header.Get(server.TicketHeader)
	var group sync.WaitGroup
	var bodies sync.Map
	for i := range 9 {
		group.Go(func() {
			response, err := c.Do(t.Context(), d.Instances[i%3].Address())
			if err == nil && response.Error == nil {
				bodies.Store(response.Body, response.Header.Get(server.CallModeHeader))
			}
		})
	}
	group.Wait()
	require.Equal(t, 1, d.runCount(c))
	distinct := 0
	bodies.Range(func(_, mode any) bool { distinct++; require.Equal(t, "ticket", mode); return true })
	require.Equal(t, 1, distinct, "all callers must get the same response")
	other := c
	other.Body = "{}"
	requireRefusal(t, mustCall(t, d, 1, other), "key_reused", "not_run")
	other = c
	other.APIKey = "key-of-workspace-1"
	requireRefusal(t, mustCall(t, d, 1, other), "ticket_mismatch", "not_run")
	d.Instances[0].Kill()
	requireRefusal(t, mustCall(t, d, 1, c), "ticket_holder_unreachable", "unknown")
	require.Equal(t, 1, d.runCount(c))
}

// TestRepeatDuringOutage guards against issuing a ticket for a call that is known to have run.
func TestRepeatDuringOutage(t *testing.T) {
	d := startCalls(t, nil)
	c := bookingCall(1)
	firstResponse := mustCall(t, d, 0, c)
	time.Sleep(100 * time.Millisecond)
	d.Platform.SetFaults(standinplatform.Faults{Down: true})
	for i := range d.Instances {
		response := mustCall(t, d, i, c)
		require.Equal(t, firstResponse.Body, response.Body)
	}
	require.Equal(t, 1, d.runCount(c))
}

// startFlakyTarget starts a target that responds to requests other than POST. At a POST it closes the
// connection without a response.
func startFlakyTarget(t *testing.T, posts *atomic.Int64) netip.AddrPort {
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var group sync.WaitGroup
	t.Cleanup(func() { _ = ln.Close(); group.Wait() })
	group.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer conn.Close()
				requests := bufio.NewReader(conn)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(requests)
					if err != nil {
						return
					}
					if r.Method == http.MethodPost {
						posts.Add(1)
						return
					}
					_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				}
			})
		}
	})
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// TestPooledConnectionSendsOnce guards against net/http, which resends a request with an
// Idempotency-Key on its own when a pooled connection is closed without a response.
func TestPooledConnectionSendsOnce(t *testing.T) {
	var posts atomic.Int64
	address := startFlakyTarget(t, &posts)
	d := startCalls(t, func(cfg *Config) {
		cfg.EditCatalogue = func(doc *catalogue.Document) {
			e := doc.Entry(ServiceName)
			e.Targets = e.Targets[:1]
			e.Targets[0].Address = address
		}
	})
	require.Nil(t, mustCall(t, d, 0, caller.Call{APIKey: APIKey, Entry: ServiceName, Method: "GET", Path: "/"}).Error)
	requireRefusal(t, mustCall(t, d, 0, bookingCall(1)), "answer_lost", "unknown")
	require.EqualValues(t, 1, posts.Load())
}

// TestRepeatableCalls guards against retries beyond the budget, and against a slow target that
// delays a call which another target could serve.
func TestRepeatableCalls(t *testing.T) {
	d := startCalls(t, nil)
	get := caller.Call{APIKey: APIKey, Entry: ServiceName, Method: "GET", Path: "/stalls"}
	for range 20 {
		require.Nil(t, mustCall(t, d, 0, get).Error)
	}
	d.Services[0].SetFaults(service.Faults{Pause: true})
	startedAt := time.Now()
	for range 3 {
		require.Nil(t, mustCall(t, d, 0, get).Error)
	}
	require.Less(t, time.Since(startedAt), 5*time.Second, "the entry's deadline is 10 s; a hedged call must not wait for it")
	for _, s := range d.Services {
		s.SetFaults(service.Faults{LoseResponses: 1000})
	}
	runsBefore := d.runCount(get)
	const calls = 30
	for range calls {
		_, _ = get.Do(t.Context(), d.Instances[0].Address())
	}
	require.LessOrEqual(t, d.runCount(get)-runsBefore, calls+calls/10+10+1, "retries must stay within a tenth of the calls plus the burst")
}

// TestCrashingRequest guards against a request that crashes one target after another.
func TestCrashingRequest(t *testing.T) {
	d := startCalls(t, func(cfg *Config) { cfg.Services = 4 })
	for _, s := range d.Services {
		s.SetFaults(service.Faults{CrashOnBody: "poison"})
	}
	crashing := caller.Call{APIKey: APIKey, Entry: ServiceName, Method: "POST", Path: "/stalls", Body: `{"note":"poison"}`}
	for range 2 {
		requireRefusal(t, mustCall(t, d, 0, crashing), "target_crashed", "unknown")
	}
	require.Eventually(t, func() bool {
		for i := range d.Instances {
			response, err := crashing.Do(t.Context(), d.Instances[i].Address())
			if err != nil || response.Error == nil || response.Error.Code != "crashes_targets" || response.Error.Outcome != "not_run" {
				return false
			}
		}
		return true
	}, time.Second, 50*time.Millisecond)
	good := bookingCall(1)
	require.Nil(t, mustCall(t, d, 1, good).Error, "two targets must survive")
}
