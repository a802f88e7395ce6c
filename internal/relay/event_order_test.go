package relay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/route"
)

// The first relay stops after orderStop and interrupts requests at orderInterrupt. Events are put together within orderSlack.
const (
	orderTraffic   = 900 * time.Millisecond
	orderStop      = 500 * time.Millisecond
	orderInterrupt = 800 * time.Millisecond
	orderSlack     = 2 * time.Millisecond
)

// orderBehaviour is what an engine does with a request: it begins to run it or not, and its answer is whole or not.
type orderBehaviour struct {
	name         string
	began, whole bool
	respond      func(c net.Conn, r *http.Request) (keep bool)
}

func respondWith(status int, body string, headers ...string) func(c net.Conn, r *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool { return writeResponse(c, r, status, body, headers...) }
}

// orderBehaviours are drawn alike, except for the first one, which is drawn five times as often.
var orderBehaviours = []orderBehaviour{
	{"answer", true, true, func(c net.Conn, r *http.Request) bool {
		if strings.HasPrefix(r.URL.Path, "/draft/") || strings.HasPrefix(r.URL.Path, "/once/") {
			after, _ := strconv.Atoi(r.Header.Get("After"))
			writeEvents(c, r, after+1, 3, true)
			return true
		}
		return writeResponse(c, r, 200, "answer", "Seal: s")
	}},
	{"fail", true, true, respondWith(500, "failed", "Seal: s")},
	{"brittle", true, true, respondWith(500, "", "Seal: s", "Brittle: 9", "Load: 1,0,2")},
	{"refuse", false, true, respondWith(503, "", "Not-Run: 1")},
	{"refuse at length", false, true, respondWith(429, strings.Repeat("x", maxBufferedBody+100), "Not-Run: 1")},
	{"refuse twice", false, true, func(c net.Conn, r *http.Request) bool {
		return writeResponse(c, r, 503, "", "Not-Run: 1") && writeResponse(c, r, 503, "", "Not-Run: 1")
	}},
	{"misdirected", false, true, respondWith(421, "", "Not-Run: 1")},
	{"unstated 503", true, false, respondWith(503, "", "Seal: s")},
	{"contradict", true, false, respondWith(500, "", "Seal: s", "Not-Run: 1")},
	{"panic", true, false, respondWith(200, "", "Seal: s", "Panic: 1")},
	{"garbage", true, false, func(c net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(c, "503 no\r\n\r\n")
		return err != nil
	}},
	{"cut", true, false, func(c net.Conn, r *http.Request) bool { writeEvents(c, r, 1, 1, false); return false }},
	{"close", true, false, func(net.Conn, *http.Request) bool { return false }},
	{"reset", true, false, func(c net.Conn, _ *http.Request) bool { return c.(*net.TCPConn).SetLinger(0) != nil }},
	{"silence", true, false, func(c net.Conn, _ *http.Request) bool { _, err := c.Read(make([]byte, 1)); return err == nil }},
}

// orderActions are what callers do while they wait.
var orderActions = map[string]func(c *net.TCPConn, next func()){
	"close":      func(c *net.TCPConn, _ func()) { _ = c.Close() },
	"reset":      func(c *net.TCPConn, _ func()) { _, _ = c.SetLinger(0), c.Close() },
	"half close": func(c *net.TCPConn, _ func()) { _ = c.CloseWrite() },
	"pipeline":   func(_ *net.TCPConn, next func()) { next() },
}

// orderRequest is a request with what its caller, the engines and the crash marks did, and when.
type orderRequest struct {
	id, kind, action, code          string
	patience                        time.Duration
	sentAt, actsAt, markedAt, endAt time.Time
	status                          int
	err                             error
	arrivals                        []orderBehaviour
	answeredAt                      []time.Time
}

// orderPlay sends requests to two relays while events come at the same moments; it is their codec, which delays the process.
type orderPlay struct {
	testCodec
	f         *fleet
	cuts      bool
	startedAt time.Time

	mu       sync.Mutex
	rng      *rand.Rand
	requests map[string]*orderRequest
	counts   map[string]int
}

func (p *orderPlay) draw(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.IntN(n)
}

func (p *orderPlay) drawTime(d time.Duration) time.Duration { return time.Duration(p.draw(int(d) + 1)) }

// drawMoment draws a time soon, anywhere in a span, or about its end or that of the grace period.
func (p *orderPlay) drawMoment(span time.Duration) time.Duration {
	span, slack := max(span, 0), p.drawTime(2*orderSlack)-orderSlack
	interrupt := time.Until(p.startedAt.Add(orderInterrupt))
	return max([]time.Duration{span + slack, min(interrupt, span) + slack, p.drawTime(span), p.drawTime(40 * time.Millisecond)}[p.draw(4)], 0)
}

func (p *orderPlay) SetAttemptHeaders(h http.Header, info AttemptInfo) {
	time.Sleep(p.drawTime(20*time.Millisecond) * time.Duration(p.draw(2)))
	p.testCodec.SetAttemptHeaders(h, info)
}

func (p *orderPlay) ParseResponse(now time.Time, res *http.Response) ResponseInfo {
	time.Sleep(p.drawTime(20*time.Millisecond) * time.Duration(p.draw(2)))
	return p.testCodec.ParseResponse(now, res)
}

// handle acts as an engine on one request.
func (p *orderPlay) handle(c net.Conn, r *http.Request, _ string) bool {
	left, _ := time.ParseDuration(r.Header.Get("Left"))
	b, delay := orderBehaviours[max(p.draw(len(orderBehaviours)+4)-4, 0)], p.drawMoment(left)
	p.mu.Lock()
	if req := p.requests[r.Header.Get("Id")]; req != nil {
		req.arrivals, req.answeredAt = append(req.arrivals, b), append(req.answeredAt, time.Now().Add(delay))
	}
	p.counts["engine: "+b.name]++
	p.mu.Unlock()
	time.Sleep(delay)
	return b.respond(c, r)
}

// send sends one request over a connection of its own and records its end.
func (p *orderPlay) send(n int) {
	kind, action := []string{"book", "once", "book", "once", "view", "draft"}[p.draw(6)], []string{"close", "reset", "half close", "pipeline", "", "", ""}[p.draw(7)]
	r := &orderRequest{id: fmt.Sprint(n), kind: kind, action: action, patience: 5*time.Millisecond + p.drawTime([]time.Duration{150, 150, 1000}[p.draw(3)]*time.Millisecond)}
	p.mu.Lock()
	p.requests[r.id], p.requests[r.id+"-next"] = r, &orderRequest{id: r.id + "-next", kind: kind, action: "pipelined"}
	p.mu.Unlock()
	relay := p.f.relays[n%2]
	c, err := net.Dial("tcp", relay.callerAddress)
	if r.err = err; err != nil {
		return
	}
	defer c.Close()
	write := func(id string) {
		fmt.Fprintf(c, "POST /%s/%s HTTP/1.1\r\nHost: h.example\r\nId: %s\r\nKey: k\r\nPatience: %s\r\nContent-Length: 1\r\n\r\nx", kind, r.id, id, r.patience)
	}
	r.sentAt = time.Now()
	write(r.id)
	if delay := p.drawMoment(r.patience); action != "" {
		r.actsAt = time.Now().Add(delay)
		defer time.AfterFunc(delay, func() { orderActions[action](c.(*net.TCPConn), func() { write(r.id + "-next") }) }).Stop()
	}
	if delay := p.drawMoment(r.patience); p.draw(4) == 0 {
		r.markedAt = time.Now().Add(delay)
		marked := &callerRequest{RequestInfo: RequestInfo{APIKey: "k"}, http: &http.Request{Host: "h.example", Method: "POST", RequestURI: "/" + kind + "/" + r.id}, body: []byte("x")}
		time.AfterFunc(delay, func() {
			for i := range 3 {
				at := time.Now().Add(time.Duration(100*i-300) * time.Millisecond)
				relay.relay.Crashes.recordCrash(at.Add(90*time.Millisecond), at, fmt.Sprint(i), marked.digest())
			}
		})
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(res.Body)
		refusal := Refusal{}
		_ = json.Unmarshal(body, &refusal)
		r.status, r.code = res.StatusCode, refusal.Code
	}
	r.err, r.endAt = err, time.Now()
}

// disturb changes the table, the targets and the links of a relay until the traffic ends.
func (p *orderPlay) disturb(relay int) {
	for r := p.f.relays[relay].relay; time.Since(p.startedAt) < orderTraffic; time.Sleep(p.drawTime(60 * time.Millisecond)) {
		routes, pools, list := slices.Clone(testRoutes), []route.Pool{{Name: "p", Model: &route.EngineSpec{Slots: 6, MemoryTokens: 1000, Backups: true}}}, []route.Target(nil)
		routes[2].Priority = p.draw(2) // Priorities that differ enable admission control.
		for i, s := range p.f.stubs {
			if p.draw(4) > 0 {
				list = append(list, route.Target{ID: s.id, Pool: "p", Address: p.f.links[relay][i].address, DataCentre: string(rune('a' + i)), Slots: 6})
			}
		}
		table := route.NewTable(2, route.Limits{IdleTimeout: time.Minute}, routes, pools[min(p.draw(6), 1)^1:], map[string]*route.Workspace{"k": {Name: "w"}})
		r.Targets.Update(time.Now(), table, map[string][]route.Target{"p": list})
		TableKey.Put(r.Board, table)
		if n := p.draw(len(p.f.stubs)); p.cuts && p.draw(2) == 0 {
			p.f.cut(relay, []cutMode{cutSilent, cutReset, cutNewConns}[p.draw(3)], []int{n})
			time.Sleep(p.drawTime(100 * time.Millisecond))
			p.f.cut(relay, "", []int{n})
		}
	}
}

// check returns what broke the rules, and counts the outcomes and the events at the same moment.
func (p *orderPlay) check() (broken []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.requests {
		began, whole := 0, !p.cuts
		for i, a := range r.arrivals {
			whole = whole && a.whole
			began += int(boolValue(a.began))
			for name, at := range map[string]time.Time{"caller's " + r.action: r.actsAt, "mark": r.markedAt, "deadline": r.sentAt.Add(r.patience), "end of grace": p.startedAt.Add(orderInterrupt)} {
				if r.answeredAt[i].Sub(at).Abs() < orderSlack {
					p.counts["at once: answer and "+name]++
				}
			}
		}
		p.counts[fmt.Sprintf("%s: %d %s, closed %t, began %d", r.kind, r.status, r.code, r.err != nil, began)]++
		isDue := whole && !r.sentAt.IsZero() && r.endAt.Sub(r.sentAt) < r.patience
		for rule, isBroken := range map[string]bool{
			"is refused and began": r.err == nil && impliesNotRun(r.status) && began > 0,
			"began twice":          began > 1,
			"fails in time although no answer was lost": isDue && r.status == http.StatusBadGateway && r.code != codeStopping && r.code != codeCrashes,
			"gets no answer in time":                    isDue && r.err != nil && len(r.arrivals) > 0 && (r.action == "" || r.action == "pipeline"),
		} {
			if isBroken && (r.kind == "book" || r.kind == "once") {
				broken = append(broken, fmt.Sprintf("request %s of kind %s %s: %d %s", r.id, r.kind, rule, r.status, r.code))
			}
		}
	}
	return broken
}

// TestEventsAtTheSameMoment guards against a request that must not be repeated and is refused although it begins, that begins
// twice, or that fails without a reason.
func TestEventsAtTheSameMoment(t *testing.T) {
	for _, seed := range cutSeeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			p := &orderPlay{rng: rand.New(rand.NewPCG(seed, 12)), cuts: seed%2 == 0, requests: map[string]*orderRequest{}, counts: map[string]int{}}
			p.f = startFleet(t, 2, []*engineStub{startStub(t, "e0", p.handle), startStub(t, "e1", p.handle), startStub(t, "e2", p.handle)})
			p.startedAt = time.Now()
			var group sync.WaitGroup
			for i, tr := range p.f.relays {
				tr.relay.GracePeriod, tr.relay.DeregistrationDelay, tr.relay.Codec = orderInterrupt-orderStop+shutdownMargin+finalAnswerTime, 50*time.Millisecond, p
				pool := tr.relay.Targets.pool("p")
				withLock(&pool.mu, func() { pool.retryBudget.Slack = float64(1 + 10*p.draw(2)) })
				group.Go(func() { p.disturb(i) })
			}
			time.AfterFunc(orderStop, p.f.relays[0].stop)
			for n := 0; time.Since(p.startedAt) < orderTraffic; n++ {
				group.Go(func() { p.send(n) })
				time.Sleep(p.drawTime(8 * time.Millisecond))
			}
			group.Wait()
			// A request that was answered might still begin.
			time.Sleep(500 * time.Millisecond)
			broken := p.check()
			t.Log(p.counts)
			require.Empty(t, broken)
		})
	}
}
