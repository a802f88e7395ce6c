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

// ask sends a call to one instance and fails the test when there is no answer.
func ask(t *testing.T, d *Deployment, instance int, c caller.Call) caller.CallResponse {
	t.Helper()
	a, err := c.Do(t.Context(), d.Instances[instance].Address())
	require.NoError(t, err)
	return a
}

func requireRefusal(t *testing.T, a caller.CallResponse, code, outcome string) {
	t.Helper()
	require.NotNil(t, a.Error, a.Body)
	require.Equal(t, code, a.Error.Code)
	require.Equal(t, outcome, a.Error.Outcome)
	require.NotEmpty(t, a.Error.RequestID)
	if outcome == "not_run" {
		require.Equal(t, "not_run", a.Header.Get(server.OutcomeHeader))
	}
	require.Equal(t, a.Error.Retry, a.Header.Get("Retry-After") != "", "a retry must say after how long")
}

// TestCallTreatment guards against answers that do not pass through whole, and against a
// wrong decision on what may be repeated.
func TestCallTreatment(t *testing.T) {
	d := startCalls(t, func(p *Config) {
		p.EditCatalogue = func(doc *catalogue.Document) {
			e := doc.Entry(ServiceName)
			e.Limits.BodyBytes = 100
			e.Repeatable = []catalogue.RepeatableCall{{Method: "PUT", Path: "/layouts"}}
		}
	})
	for name, c := range map[string]struct {
		call             caller.Call
		status           int
		treated, code    string
		wantPath, header string
	}{
		"get":              {call: caller.Call{Method: "GET", Path: "/stalls/7"}, status: 200, treated: "repeatable", wantPath: "/stalls/7"},
		"named post":       {call: caller.Call{Method: "POST", Path: "/stalls", IdempotencyKey: "a"}, status: 200, treated: "claimed", wantPath: "/stalls"},
		"nameless post":    {call: caller.Call{Method: "POST", Path: "/stalls"}, status: 200, treated: "unclaimed", wantPath: "/stalls"},
		"repeatable put":   {call: caller.Call{Method: "PUT", Path: "/layouts/3"}, status: 200, treated: "repeatable", wantPath: "/layouts/3"},
		"like repeatable":  {call: caller.Call{Method: "PUT", Path: "/layouts3"}, status: 200, treated: "unclaimed", wantPath: "/layouts3"},
		"other method":     {call: caller.Call{Method: "DELETE", Path: "/layouts/3"}, status: 200, treated: "unclaimed", wantPath: "/layouts/3"},
		"not a service":    {call: caller.Call{Method: "POST", Path: "/x", Entry: ModelName}, status: 404, code: "unknown_entry"},
		"unknown entry":    {call: caller.Call{Method: "POST", Path: "/x", Entry: "none"}, status: 404, code: "unknown_entry"},
		"trace":            {call: caller.Call{Method: "TRACE", Path: "/x"}, status: 405, code: "wrong_method"},
		"large body":       {call: caller.Call{Method: "POST", Path: "/x", Body: strings.Repeat("x", 101)}, status: 413, code: "body_too_large"},
		"long name":        {call: caller.Call{Method: "POST", Path: "/x", IdempotencyKey: strings.Repeat("x", 257)}, status: 400, code: "key_too_long"},
		"forged ticket":    {call: caller.Call{Method: "POST", Path: "/x", IdempotencyKey: "ticket.AAAA"}, status: 400, code: "ticket_invalid"},
		"wrong bearer key": {call: caller.Call{Method: "POST", Path: "/x", APIKey: "other"}, status: 401, code: "wrong_key"},
	} {
		t.Run(name, func(t *testing.T) {
			if c.call.Entry == "" {
				c.call.Entry = ServiceName
			}
			if c.call.APIKey == "" {
				c.call.APIKey = APIKey
			}
			a := ask(t, d, 0, c.call)
			require.Equal(t, c.status, a.Status)
			if c.code != "" {
				requireRefusal(t, a, c.code, "not_run")
				return
			}
			require.Nil(t, a.Error)
			require.Equal(t, c.treated, a.Header.Get(server.CallModeHeader))
			require.Equal(t, "application/json", a.Header.Get("Content-Type"))
			require.Contains(t, a.Body, `"path":"`+c.wantPath+`"`)
		})
	}
}

// TestRepeatGetsFirstAnswer guards against a repeat that runs again, is told less than the first
// caller, or meets the key of another workspace.
func TestRepeatGetsFirstAnswer(t *testing.T) {
	d := startCalls(t, nil)
	c := booking(1)
	first := ask(t, d, 0, c)
	require.Nil(t, first.Error)
	for i := range d.Instances {
		again := ask(t, d, i, c)
		require.Nil(t, again.Error)
		require.Equal(t, first.Body, again.Body)
		require.Equal(t, "first_answer", again.Header.Get(server.CallModeHeader))
		other := c
		other.Body = "{}"
		requireRefusal(t, ask(t, d, i, other), "key_reused", "not_run")
	}
	require.Equal(t, 1, d.runsOf(c))
	other := c
	other.APIKey = "key-of-workspace-1"
	require.Nil(t, ask(t, d, 1, other).Error)
	require.Equal(t, 2, d.runsOf(c), "a key of another workspace is another call")
	// The record outlives the instance that ran the call.
	time.Sleep(100 * time.Millisecond)
	d.Instances[0].Kill()
	require.Equal(t, first.Body, ask(t, d, 2, c).Body)
}

// TestGoneClaimantIsUnknown guards against a second run when the claimant died with the call.
func TestGoneClaimantIsUnknown(t *testing.T) {
	d := startCalls(t, nil)
	for _, s := range d.Services {
		s.SetFaults(service.Faults{Delay: catalogue.Duration(300 * time.Millisecond)})
	}
	c := booking(1)
	go func() { _, _ = c.Do(t.Context(), d.Instances[0].Address()) }()
	require.Eventually(t, func() bool { return d.runsOf(c) == 1 }, 2*time.Second, time.Millisecond)
	d.Instances[0].Kill()
	a := ask(t, d, 1, c)
	requireRefusal(t, a, "claimant_unreachable", "unknown")
	require.Equal(t, 1, d.runsOf(c))
}

// TestReleasedClaim guards against a key that stays barred although nothing was sent.
func TestReleasedClaim(t *testing.T) {
	d := startCalls(t, nil)
	for _, s := range d.Services {
		s.SetFaults(service.Faults{Refuse: true})
	}
	c := booking(1)
	requireRefusal(t, ask(t, d, 0, c), "targets_refused", "not_run")
	for _, s := range d.Services {
		s.SetFaults(service.Faults{})
	}
	require.Nil(t, ask(t, d, 1, c).Error)
	require.Equal(t, 1, d.runsOf(c))
}

// TestTickets guards against a ticket that runs twice, or at another instance than its own.
func TestTickets(t *testing.T) {
	d := startCalls(t, nil)
	d.Platform.SetFaults(standinplatform.Faults{Down: true})
	c := booking(1)
	a := ask(t, d, 0, c)
	requireRefusal(t, a, "claims_unavailable", "not_run")
	require.Zero(t, d.runsOf(c))
	c.IdempotencyKey = a.Header.Get(server.TicketHeader)
	var group sync.WaitGroup
	var same sync.Map
	for i := range 9 {
		group.Go(func() {
			b, err := c.Do(t.Context(), d.Instances[i%3].Address())
			if err == nil && b.Error == nil {
				same.Store(b.Body, b.Header.Get(server.CallModeHeader))
			}
		})
	}
	group.Wait()
	require.Equal(t, 1, d.runsOf(c))
	n := 0
	same.Range(func(_, treated any) bool { n++; require.Equal(t, "ticket", treated); return true })
	require.Equal(t, 1, n, "all must get the same answer")
	other := c
	other.Body = "{}"
	requireRefusal(t, ask(t, d, 1, other), "key_reused", "not_run")
	other = c
	other.APIKey = "key-of-workspace-1"
	requireRefusal(t, ask(t, d, 1, other), "ticket_mismatch", "not_run")
	d.Instances[0].Kill()
	requireRefusal(t, ask(t, d, 1, c), "ticket_holder_unreachable", "unknown")
	require.Equal(t, 1, d.runsOf(c))
}

// TestRepeatDuringOutage guards against a ticket for a call that is known to have run.
func TestRepeatDuringOutage(t *testing.T) {
	d := startCalls(t, nil)
	c := booking(1)
	first := ask(t, d, 0, c)
	time.Sleep(100 * time.Millisecond)
	d.Platform.SetFaults(standinplatform.Faults{Down: true})
	for i := range d.Instances {
		a := ask(t, d, i, c)
		require.Equal(t, first.Body, a.Body)
	}
	require.Equal(t, 1, d.runsOf(c))
}

// flakyTarget answers the first request of a connection and closes it at the second without an answer.
func flakyTarget(t *testing.T, requests *atomic.Int64) netip.AddrPort {
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var group sync.WaitGroup
	t.Cleanup(func() { _ = ln.Close(); group.Wait() })
	group.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if r.Method == http.MethodPost {
						requests.Add(1)
						return
					}
					_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				}
			})
		}
	})
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// TestPooledConnectionSendsOnce guards against net/http, which by itself sends a request with an
// Idempotency-Key again when a pooled connection closes without an answer.
func TestPooledConnectionSendsOnce(t *testing.T) {
	var requests atomic.Int64
	address := flakyTarget(t, &requests)
	d := startCalls(t, func(p *Config) {
		p.EditCatalogue = func(doc *catalogue.Document) {
			e := doc.Entry(ServiceName)
			e.Targets = e.Targets[:1]
			e.Targets[0].Address = address
		}
	})
	require.Nil(t, ask(t, d, 0, caller.Call{APIKey: APIKey, Entry: ServiceName, Method: "GET", Path: "/"}).Error)
	requireRefusal(t, ask(t, d, 0, booking(1)), "answer_lost", "unknown")
	require.EqualValues(t, 1, requests.Load())
}

// TestRepeatableCalls guards against retries beyond the budget and against a slow target that
// holds up a call another target could answer.
func TestRepeatableCalls(t *testing.T) {
	d := startCalls(t, nil)
	get := caller.Call{APIKey: APIKey, Entry: ServiceName, Method: "GET", Path: "/stalls"}
	for range 20 {
		require.Nil(t, ask(t, d, 0, get).Error)
	}
	d.Services[0].SetFaults(service.Faults{Pause: true})
	begun := time.Now()
	for range 3 {
		require.Nil(t, ask(t, d, 0, get).Error)
	}
	require.Less(t, time.Since(begun), 5*time.Second, "the entry's deadline is 10 s; a hedged call must not wait for it")
	for _, s := range d.Services {
		s.SetFaults(service.Faults{LoseResponses: 1000})
	}
	before := d.runsOf(get)
	const calls = 30
	for range calls {
		_, _ = get.Do(t.Context(), d.Instances[0].Address())
	}
	require.LessOrEqual(t, d.runsOf(get)-before, calls+calls/10+10+1, "retries must stay within a tenth and the burst")
}

// TestCrashingRequest guards against one request that takes down target after target.
func TestCrashingRequest(t *testing.T) {
	d := startCalls(t, func(p *Config) { p.Services = 4 })
	for _, s := range d.Services {
		s.SetFaults(service.Faults{CrashOnBody: "poison"})
	}
	bad := caller.Call{APIKey: APIKey, Entry: ServiceName, Method: "POST", Path: "/stalls", Body: `{"note":"poison"}`}
	for range 2 {
		requireRefusal(t, ask(t, d, 0, bad), "target_crashed", "unknown")
	}
	require.Eventually(t, func() bool {
		for i := range d.Instances {
			a, err := bad.Do(t.Context(), d.Instances[i].Address())
			if err != nil || a.Error == nil || a.Error.Code != "crashes_targets" || a.Error.Outcome != "not_run" {
				return false
			}
		}
		return true
	}, time.Second, 50*time.Millisecond)
	good := booking(1)
	require.Nil(t, ask(t, d, 1, good).Error, "two targets must be left")
}
