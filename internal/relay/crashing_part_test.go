package relay

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/route"
)

const (
	crashingPart = "crashing"
	// contactTime is the time after the fifth crash from which at most maxLateArrivals requests with the
	// part may reach engines.
	contactTime     = 3 * time.Second
	maxLateArrivals = 3
	// minServedRatio is the least share of sound requests served at the first attempt, of the share before.
	minServedRatio = 0.95
)

// crashingEngine is an engine that crashes when it begins to answer a request with crashingPart, and starts
// again as another incarnation.
type crashingEngine struct {
	cluster *crashingCluster
	address netip.AddrPort

	mu         sync.Mutex
	generation int
	crashed    bool
	crashedAt  time.Time
	listener   net.Listener
	conns      map[net.Conn]bool
}

// crashingCluster is a set of crashing engines behind relays that exchange crash messages.
type crashingCluster struct {
	t       *testing.T
	engines []*crashingEngine
	relays  []*testRelay

	// downTime is how long an engine that has crashed is away, and entryTime how long its entry outlasts it.
	downTime  time.Duration
	entryTime time.Duration

	publishing sync.Mutex

	mu       sync.Mutex
	crashes  []time.Time
	arrivals map[string]int
	// badArrivals holds the times at which requests with crashingPart reached engines.
	badArrivals []time.Time
}

func startCrashingCluster(t *testing.T, relays, engines int) *crashingCluster {
	t.Helper()
	c := &crashingCluster{t: t, downTime: 1500 * time.Millisecond}
	for range relays {
		c.relays = append(c.relays, startRelay(t))
	}
	c.startEngines(engines)
	for _, tr := range c.relays {
		tr.relay.Crashes.Broadcast = func(data []byte) bool {
			for _, other := range c.relays {
				if other != tr {
					time.AfterFunc(20*time.Millisecond, func() { other.relay.Crashes.HandleMessage(time.Now(), data) })
				}
			}
			return true
		}
	}
	return c
}

// startEngines starts the engines and lists them.
func (c *crashingCluster) startEngines(n int) {
	c.t.Helper()
	c.arrivals = map[string]int{}
	for range n {
		e := &crashingEngine{cluster: c, conns: map[net.Conn]bool{}}
		require.NoError(c.t, e.start())
		c.engines = append(c.engines, e)
		c.t.Cleanup(e.stop)
	}
	c.publish()
}

// publish gives the current incarnations of all engines to all relays, without those that have been away for long.
func (c *crashingCluster) publish() {
	c.publishing.Lock()
	defer c.publishing.Unlock()
	var list []route.Target
	for i, e := range c.engines {
		e.mu.Lock()
		if !e.crashed || c.entryTime == 0 || time.Since(e.crashedAt) < c.entryTime {
			list = append(list, route.Target{ID: e.id(), Pool: "p", Address: e.address, DataCentre: string(rune('a' + i%3)), Slots: 8})
		}
		e.mu.Unlock()
	}
	table := testRelayTable()
	for _, tr := range c.relays {
		tr.relay.Targets.Update(time.Now(), table, map[string][]route.Target{"p": list})
	}
}

// id returns the name of the present incarnation; the caller holds mu.
func (e *crashingEngine) id() string { return fmt.Sprintf("%s-%d", e.address, e.generation) }

func (e *crashingEngine) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := "127.0.0.1:0"
	if e.address.IsValid() {
		address = e.address.String()
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.listener, e.address = ln, ln.Addr().(*net.TCPAddr).AddrPort()
	e.generation++
	e.crashed = false
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[conn] = true
			e.mu.Unlock()
			go e.serve(conn)
		}
	}()
	return nil
}

// stop closes the listener and all connections.
func (e *crashingEngine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.listener.Close()
	for conn := range e.conns {
		_ = conn.Close()
	}
	clear(e.conns)
}

func (e *crashingEngine) crash() {
	e.mu.Lock()
	again := e.crashed
	e.crashed = true
	if !again {
		e.crashedAt = time.Now()
	}
	e.mu.Unlock()
	if again {
		return
	}
	e.stop()
	e.cluster.mu.Lock()
	e.cluster.crashes = append(e.cluster.crashes, time.Now())
	e.cluster.mu.Unlock()
	if e.cluster.entryTime > 0 {
		time.AfterFunc(e.cluster.entryTime, e.cluster.publish)
	}
	time.AfterFunc(e.cluster.downTime, func() {
		if e.start() == nil {
			e.cluster.publish()
		}
	})
}

func (e *crashingEngine) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if strings.HasPrefix(r.URL.Path, "/book/") {
			e.cluster.recordArrival(r.Header.Get("Id"), string(body) == "poison")
			time.Sleep(30 * time.Millisecond)
			if string(body) == "poison" {
				e.crash()
				return
			}
			writeResponse(conn, r, http.StatusOK, "fine", "Seal: s")
			continue
		}
		bad := slices.Contains(strings.Split(r.Header.Get("Parts"), ","), crashingPart)
		e.cluster.recordArrival(r.Header.Get("Id"), bad)
		time.Sleep(100 * time.Millisecond)
		if bad {
			// The crash may come before the header, before the first event or between events.
			if point := rand.IntN(3); point > 0 {
				writeStreamHeader(conn, r)
				writeStreamEvents(conn, 1, 2*(point-1), false)
			}
			e.crash()
			return
		}
		writeStreamHeader(conn, r)
		for n := 1; n <= 3; n++ {
			time.Sleep(20 * time.Millisecond)
			writeStreamEvents(conn, n, n, n == 3)
		}
	}
}

func (c *crashingCluster) recordArrival(id string, bad bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals[id]++
	if bad {
		c.badArrivals = append(c.badArrivals, time.Now())
	}
}

// fifthCrash returns the time of the fifth crash, if there was one.
func (c *crashingCluster) fifthCrash() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < 5 {
		return time.Time{}, false
	}
	return c.crashes[4], true
}

// soundResult is what became of one sound request.
type soundResult struct {
	sentAt time.Time
	// first reports whether it was served at the first attempt.
	first bool
}

// sendSound sends sound requests, 40 a second, until the time is over, and returns their results.
func (c *crashingCluster) sendSound(until time.Time) []soundResult {
	var mu sync.Mutex
	var results []soundResult
	var wg sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		sentAt, id := time.Now(), fmt.Sprintf("sound-%d", n)
		wg.Go(func() {
			got := c.send(n, id, fmt.Sprintf("desk,document-%d,own-%d", rand.IntN(500), n))
			served := got.err == nil && got.status == http.StatusOK && got.body == eventsText(1, 3)
			c.mu.Lock()
			first := served && c.arrivals[id] == 1
			c.mu.Unlock()
			mu.Lock()
			defer mu.Unlock()
			results = append(results, soundResult{sentAt, first})
		})
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
	return results
}

// sendBad sends requests with crashingPart, five a second, until the time is over.
func (c *crashingCluster) sendBad(until time.Time) {
	c.sendBadWith(until, func() string { return fmt.Sprintf("desk,%s,document-%d", crashingPart, rand.IntN(500)) })
}

// sendBadWith sends requests with the parts that newParts returns, five a second, until the time is over.
func (c *crashingCluster) sendBadWith(until time.Time, newParts func() string) {
	var wg sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		wg.Go(func() {
			c.send(n, fmt.Sprintf("bad-%d", n), fmt.Sprintf("%s,own-bad-%d", newParts(), n))
		})
		time.Sleep(200 * time.Millisecond)
	}
	wg.Wait()
}

func (c *crashingCluster) send(n int, id, parts string) callerResponse {
	return c.relays[n%len(c.relays)].request("POST", "/draft/1", id, "Id", id, "Parts", parts)
}

func firstShare(results []soundResult, from, to time.Time) (share float64, n int) {
	for _, r := range results {
		if r.sentAt.After(from) && r.sentAt.Before(to) {
			n++
			if r.first {
				share++
			}
		}
	}
	return share / max(float64(n), 1), n
}

// Guards against a part of many different prompts that crashes one engine after another.
func TestPartThatCrashesEnginesIsRefused(t *testing.T) {
	c := startCrashingCluster(t, 3, 12)
	startedAt := time.Now()
	badFrom, until := startedAt.Add(2*time.Second), startedAt.Add(14*time.Second)
	var bad sync.WaitGroup
	bad.Go(func() {
		time.Sleep(time.Until(badFrom))
		c.sendBad(until)
	})
	results := c.sendSound(until)
	bad.Wait()

	before, n := firstShare(results, startedAt, badFrom.Add(-500*time.Millisecond))
	require.Greater(t, n, 20)
	require.Greater(t, before, 0.9, "the engines must be sound before the first crash")
	fifth, ok := c.fifthCrash()
	if !ok {
		fifth = badFrom.Add(2 * time.Second)
	}
	late := 0
	for _, at := range c.badArrivals {
		if at.After(fifth.Add(contactTime)) {
			late++
		}
	}
	after, n := firstShare(results, fifth.Add(2*contactTime), until)
	t.Logf("%d crashes, %d requests with the part at engines, %d of them late, sound requests served at the first attempt: %.2f, %.2f before", len(c.crashes), len(c.badArrivals), late, after, before)
	require.Greater(t, n, 20)
	require.LessOrEqual(t, late, maxLateArrivals)
	require.GreaterOrEqual(t, after, minServedRatio*before)
}

// Guards against a sound part that is refused for good, since it came only together with one that crashes engines so far.
func TestSoundPartThatCameWithCrashingOneIsServed(t *testing.T) {
	const template = "template"
	c := startCrashingCluster(t, 3, 12)
	startedAt := time.Now()
	until := startedAt.Add(12 * time.Second)
	var others sync.WaitGroup
	others.Go(func() { c.sendSound(until) })
	others.Go(func() {
		time.Sleep(time.Second)
		c.sendBadWith(until, func() string { return template + "," + crashingPart })
	})
	// The part may be marked before the fifth crash.
	marked := startedAt.Add(4 * time.Second)
	for time.Now().Before(marked) {
		if fifth, ok := c.fifthCrash(); ok {
			marked = fifth
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Until(marked.Add(contactTime)))
	served, sent := 0, 0
	for n := 0; time.Now().Before(until); n++ {
		sent++
		if got := c.send(n, fmt.Sprintf("alone-%d", n), fmt.Sprintf("%s,own-alone-%d", template, n)); got.err == nil && got.status == http.StatusOK && got.body == eventsText(1, 3) {
			served++
		}
		time.Sleep(100 * time.Millisecond)
	}
	others.Wait()
	require.Greater(t, sent, 10)
	require.GreaterOrEqual(t, float64(served), minServedRatio*float64(sent), "of %d", sent)
	late := 0
	for _, at := range c.badArrivals {
		if at.After(marked.Add(contactTime)) {
			late++
		}
	}
	require.LessOrEqual(t, late, maxLateArrivals)
}
