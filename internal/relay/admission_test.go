package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/route"
)

// holdingStub is an engine with one slot that holds each stream until it is released.
type holdingStub struct {
	*engineStub
	release chan struct{}
	running atomic.Int32
}

func startHoldingStub(t *testing.T) *holdingStub {
	h := &holdingStub{release: make(chan struct{}, 16)}
	h.engineStub = startStub(t, "e0", func(c net.Conn, r *http.Request, _ string) bool {
		h.running.Add(1)
		defer h.running.Add(-1)
		writeEvents(c, r, 1, 1, false)
		<-h.release
		writeStreamEvents(c, 2, 2, true)
		return true
	})
	h.slots = 1
	t.Cleanup(func() { close(h.release) })
	return h
}

// startAdmissionRelay starts a relay whose routes to the pool have priority 0 and another one.
func startAdmissionRelay(t *testing.T, other int, stub *engineStub) *testRelay {
	tr := startRelay(t, stub)
	weights := []route.PoolWeight{{Pool: "p", Weight: 1}}
	routes := []route.Route{
		{Name: "urgent", Host: "h.example", Prefix: "/urgent/", Kind: route.Streaming, MaxAttempts: 2, Timeout: 5 * time.Second, Objective: time.Second, PoolWeights: weights},
		{Name: "other", Host: "h.example", Prefix: "/other/", Kind: route.Streaming, MaxAttempts: 2, Timeout: 5 * time.Second, Objective: time.Second, Priority: other, PoolWeights: weights},
		{Name: "call", Host: "h.example", Prefix: "/call/", Kind: route.Repeatable, MaxAttempts: 2, Timeout: time.Second, Objective: 300 * time.Millisecond, Priority: other, PoolWeights: weights},
	}
	pools := []route.Pool{{Name: "p", HealthPath: "/health", Model: &route.EngineSpec{Slots: 8}}}
	table := route.NewTable(2, route.Limits{MaxBodyBytes: 1 << 10, IdleTimeout: time.Minute}, routes, pools, map[string]*route.Workspace{"k": {Name: "w"}})
	target := route.Target{ID: stub.id, Pool: "p", Address: stub.address, DataCentre: "a", Slots: stub.slots}
	tr.relay.Targets.Update(time.Now(), table, map[string][]route.Target{"p": {target}})
	TableKey.Put(tr.relay.Board, table)
	return tr
}

// begin sends a request and returns its response when it has come.
func (r *testRelay) begin(path string) chan callerResponse {
	response := make(chan callerResponse, 1)
	go func() { response <- r.request("POST", path, "x", "Id", strings.ReplaceAll(path, "/", "")) }()
	return response
}

func (r *testRelay) waiting() int {
	p := r.relay.Targets.pool("p")
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.admission == nil {
		return 0
	}
	return p.admission.core.Waiting()
}

func requireSoon(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 3*time.Second, time.Millisecond)
}

// Guards against a request that is sent to full engines, that is not served when there is room, and that overtakes a more
// urgent one.
func TestRequestWaitsForRoom(t *testing.T) {
	stub := startHoldingStub(t)
	r := startAdmissionRelay(t, 2, stub.engineStub)
	first := r.begin("/other/1")
	requireSoon(t, func() bool { return stub.running.Load() == 1 })
	second := r.begin("/other/2")
	requireSoon(t, func() bool { return r.waiting() == 1 })
	third := r.begin("/urgent/3")
	requireSoon(t, func() bool { return r.waiting() == 2 })
	require.Equal(t, []string{"other1"}, stub.seenRequests())
	stub.release <- struct{}{}
	require.Equal(t, http.StatusOK, (<-first).status)
	requireSoon(t, func() bool { return len(stub.seenRequests()) == 2 })
	stub.release <- struct{}{}
	stub.release <- struct{}{}
	require.Equal(t, eventsText(1, 2), (<-third).body)
	require.Equal(t, eventsText(1, 2), (<-second).body)
	require.Equal(t, []string{"other1", "urgent3", "other2"}, stub.seenRequests())
	require.Len(t, r.log.reasons(t, "request_queued"), 2)
	require.Len(t, r.log.reasons(t, "request_admitted"), 2)
	require.Zero(t, r.waiting())
}

// Guards against requests that are held though they can't be served in time, and that come back all at once.
func TestRequestsBeyondTheRoomAreRefusedAtOnce(t *testing.T) {
	stub := startStub(t, "e0", func(c net.Conn, r *http.Request, _ string) bool {
		time.Sleep(100 * time.Millisecond)
		return writeResponse(c, r, 200, "", "Seal: s")
	})
	stub.slots = 1
	r := startAdmissionRelay(t, 2, stub)
	require.Equal(t, http.StatusOK, r.request("POST", "/call/first", "x").status)
	var mu sync.Mutex
	var group sync.WaitGroup
	var served int
	comeBack := map[string]bool{}
	for i := range 20 {
		group.Go(func() {
			begunAt := time.Now()
			got := r.request("POST", "/call/x", "x", "Id", fmt.Sprint(i))
			mu.Lock()
			defer mu.Unlock()
			if got.status == http.StatusOK {
				served++
				return
			}
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			require.Contains(t, got.body, codePoolOverloaded)
			require.Contains(t, got.body, "not_run")
			if time.Since(begunAt) < 100*time.Millisecond {
				comeBack[got.header.Get("Retry-After")] = true
			}
		})
	}
	group.Wait()
	require.Positive(t, served)
	require.GreaterOrEqual(t, len(comeBack), (20-served)/2)
	require.Len(t, stub.seenRequests(), served+1)
	require.Len(t, r.log.reasons(t, "admission_refused"), 20-served)
}

// Guards against the place of a caller that has left, which keeps the others waiting.
func TestCallerLeavesWhileItWaits(t *testing.T) {
	stub := startHoldingStub(t)
	r := startAdmissionRelay(t, 2, stub.engineStub)
	first := r.begin("/other/1")
	requireSoon(t, func() bool { return stub.running.Load() == 1 })
	ctx, leave := context.WithCancel(context.Background())
	httpReq, err := http.NewRequestWithContext(ctx, "POST", "http://"+r.callerAddress+"/urgent/2", strings.NewReader("x"))
	require.NoError(t, err)
	httpReq.Host = "h.example"
	httpReq.Header.Set("Key", "k")
	httpReq.Header.Set("Id", "left")
	go func() {
		if res, err := http.DefaultClient.Do(httpReq); err == nil {
			res.Body.Close()
		}
	}()
	requireSoon(t, func() bool { return r.waiting() == 1 })
	leave()
	requireSoon(t, func() bool { return r.waiting() == 0 })
	requireSoon(t, func() bool { return len(r.log.reasons(t, "request_abandoned")) == 1 })
	second := r.begin("/other/3")
	stub.release <- struct{}{}
	stub.release <- struct{}{}
	require.Equal(t, http.StatusOK, (<-first).status)
	require.Equal(t, http.StatusOK, (<-second).status)
	require.Equal(t, []string{"other1", "other3"}, stub.seenRequests())
}

// Guards against waiting requests that a stopping instance drops or keeps.
func TestStopAnswersWaitingRequests(t *testing.T) {
	stub := startHoldingStub(t)
	r := startAdmissionRelay(t, 2, stub.engineStub)
	first := r.begin("/other/1")
	requireSoon(t, func() bool { return stub.running.Load() == 1 })
	var responses []chan callerResponse
	for i := range 8 {
		responses = append(responses, r.begin(fmt.Sprintf("/urgent/%d", i)))
	}
	requireSoon(t, func() bool { return r.waiting() == 8 })
	begunAt := time.Now()
	r.stop()
	for _, response := range responses {
		got := <-response
		require.NoError(t, got.err)
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.Contains(t, got.body, codeStopping)
		require.Contains(t, got.body, "not_run")
	}
	require.Less(t, time.Since(begunAt), time.Second)
	stub.release <- struct{}{}
	require.Equal(t, eventsText(1, 2), (<-first).body)
	require.Len(t, stub.seenRequests(), 1)
}

// Guards against admission control where it is not enabled: routes of equal priority.
func TestPoolOfEqualPrioritiesNeverWaits(t *testing.T) {
	stub := startHoldingStub(t)
	r := startAdmissionRelay(t, 0, stub.engineStub)
	first, second := r.begin("/other/1"), r.begin("/urgent/2")
	requireSoon(t, func() bool { return stub.running.Load() == 2 })
	stub.release <- struct{}{}
	stub.release <- struct{}{}
	require.Equal(t, http.StatusOK, (<-first).status)
	require.Equal(t, http.StatusOK, (<-second).status)
	require.Empty(t, r.log.reasons(t, "request_queued"))
	require.Nil(t, r.relay.Targets.pool("p").admission)
}

// Guards against a wait that a table ends which makes priorities equal, without an answer.
func TestWaitEndsWhenPrioritiesBecomeEqual(t *testing.T) {
	stub := startHoldingStub(t)
	r := startAdmissionRelay(t, 2, stub.engineStub)
	first := r.begin("/other/1")
	requireSoon(t, func() bool { return stub.running.Load() == 1 })
	second := r.begin("/other/2")
	requireSoon(t, func() bool { return r.waiting() == 1 })
	target := route.Target{ID: stub.id, Pool: "p", Address: stub.address, DataCentre: "a", Slots: stub.slots}
	r.relay.Targets.Update(time.Now(), testRelayTable(), map[string][]route.Target{"p": {target}})
	requireSoon(t, func() bool { return stub.running.Load() == 2 })
	stub.release <- struct{}{}
	stub.release <- struct{}{}
	require.Equal(t, http.StatusOK, (<-first).status)
	require.Equal(t, http.StatusOK, (<-second).status)
}
