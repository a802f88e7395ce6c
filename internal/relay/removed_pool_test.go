package relay

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/route"
)

// Guards against resuming a stream at a target that left after the stream's pool was removed from the table.
func TestStreamOfRemovedPoolAvoidsLeavingTarget(t *testing.T) {
	for _, removed := range []bool{false, true} {
		t.Run(map[bool]string{false: "pool kept", true: "pool removed"}[removed], func(t *testing.T) {
			lose, begun := make(chan struct{}), make(chan struct{})
			var first, second atomic.Int32
			e1 := startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
				if first.Add(1) > 1 {
					return writeResponse(c, r, 503, "", "Not-Run: 1")
				}
				writeEvents(c, r, 1, 4, false)
				close(begun)
				<-lose
				return false
			})
			e2 := startStub(t, "e2", func(c net.Conn, r *http.Request, _ string) bool {
				second.Add(1)
				return goOn(c, r, 9)
			})
			tr := startRelay(t, e1)
			table := testRelayTable()
			targets := func(pool string, leaving bool) []route.Target {
				return []route.Target{
					{ID: "e1", Pool: pool, Address: e1.address, DataCentre: "a", Slots: 8},
					{ID: "e2", Pool: pool, Address: e2.address, DataCentre: "b", Slots: 8, Leaving: leaving},
				}
			}
			responses := make(chan callerResponse, 1)
			go func() { responses <- tr.request("POST", "/draft/1", "prompt", "Patience", "3s") }()
			<-begun
			tr.relay.Targets.Update(time.Now(), table, map[string][]route.Target{"p": targets("p", false)})
			name := "p"
			if removed {
				name = "q"
				table = route.NewTable(2, route.Limits{MaxBodyBytes: 1 << 10, IdleTimeout: time.Minute}, testRoutes,
					[]route.Pool{{Name: "q", HealthPath: "/health", Model: &route.EngineSpec{Slots: 8, MemoryTokens: 1000, Backups: true}}}, nil)
				tr.relay.Targets.Update(time.Now(), table, map[string][]route.Target{"q": targets("q", false)})
				time.Sleep(20 * time.Millisecond)
			}
			tr.relay.Targets.Update(time.Now(), table, map[string][]route.Target{name: targets(name, true)})
			time.Sleep(50 * time.Millisecond)
			close(lose)
			<-responses
			require.Zero(t, second.Load(), "the leaving target got the stream")
		})
	}
}

// Guards against cutting a stream whose pool was removed from the table, although the pool's targets are there.
func TestStreamOfRemovedPoolGoesOn(t *testing.T) {
	lose, begun := make(chan struct{}), make(chan struct{})
	var first atomic.Int32
	e1 := startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
		if first.Add(1) > 1 {
			return writeResponse(c, r, 503, "", "Not-Run: 1")
		}
		writeEvents(c, r, 1, 4, false)
		close(begun)
		<-lose
		return false
	})
	e2 := startStub(t, "e2", func(c net.Conn, r *http.Request, _ string) bool { return goOn(c, r, 9) })
	tr := startRelay(t, e1)
	responses := make(chan callerResponse, 1)
	go func() { responses <- tr.request("POST", "/draft/1", "prompt") }()
	<-begun
	table := route.NewTable(2, route.Limits{}, nil, []route.Pool{{Name: "q", HealthPath: "/health"}}, nil)
	tr.relay.Targets.Update(time.Now(), table, map[string][]route.Target{"p": {{ID: "e2", Pool: "p", Address: e2.address, DataCentre: "b", Slots: 8}}})
	close(lose)
	got := <-responses
	require.NoError(t, got.err)
	require.Equal(t, eventsText(1, 9), got.body)
}

// Guards against refusing requests with no_target while a table that moves their route to another pool comes into force.
func TestPoolChangeRefusesNoRequest(t *testing.T) {
	e := startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool { return writeResponse(c, r, 200, "ok", "Seal: s") })
	tr := startRelay(t, e)
	tables, names := make([]*route.Table, 2), []string{"p", "q"}
	for i, name := range names {
		routes := append([]route.Route(nil), testRoutes...)
		for n := range routes {
			routes[n].PoolWeights = []route.PoolWeight{{Pool: name, Weight: 1}}
		}
		tables[i] = route.NewTable(int64(i+2), route.Limits{MaxBodyBytes: 1 << 10, IdleTimeout: time.Minute}, routes, []route.Pool{{Name: name, HealthPath: "/health"}}, map[string]*route.Workspace{"k": {Name: "w"}})
	}
	var refused, answered atomic.Int64
	over := make(chan struct{})
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for {
				select {
				case <-over:
					return
				default:
				}
				switch tr.request("GET", "/book/1", "").status {
				case http.StatusServiceUnavailable:
					refused.Add(1)
				case http.StatusOK:
					answered.Add(1)
				}
			}
		})
	}
	targets := map[string][]route.Target{}
	for _, name := range names {
		targets[name] = []route.Target{{ID: "e1", Pool: name, Address: e.address, DataCentre: "a", Slots: 8}}
	}
	for n := range 1000 {
		i := n % 2
		// As ConfigApplier.publish does.
		tr.relay.Targets.Update(time.Now(), tables[i], targets)
		TableKey.Put(tr.relay.Board, tables[i])
		time.Sleep(2 * time.Millisecond)
	}
	close(over)
	group.Wait()
	require.Positive(t, answered.Load())
	require.Zero(t, refused.Load(), "%d answered", answered.Load())
}
