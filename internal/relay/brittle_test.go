package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// brittlePlaces is the number of requests that a brittle engine runs at once, brittleServiceTime how long each of
	// them takes, and brittleTolerance the number of requests that it may turn away within a second.
	brittlePlaces      = 4
	brittleServiceTime = 100 * time.Millisecond
	brittleTolerance   = 3
	brittleDownTime    = 2 * time.Second
	brittleDuration    = 8 * time.Second
	// statementTime is the time in which the engines state that they are brittle and still queue requests.
	statementTime = 3 * time.Second
)

// brittleEngine turns requests away when its places are taken, and falls over when it has to turn away too many.
type brittleEngine struct {
	stub *engineStub

	mu        sync.Mutex
	running   int
	turned    []time.Time
	downUntil time.Time
	fellAt    []time.Time
	// busy is the time for which places were taken since countFrom.
	busy      time.Duration
	countFrom time.Time
	queues    bool
	// statesLoad is set if its responses state its load.
	statesLoad bool
}

func (e *brittleEngine) handle(c net.Conn, r *http.Request, _ string) bool {
	now := time.Now()
	e.mu.Lock()
	if now.Before(e.downUntil) {
		e.mu.Unlock()
		return false
	}
	if e.running >= brittlePlaces && !(e.queues && e.running < 2*brittlePlaces) {
		e.turned = append(e.turned, now)
		recent := 0
		for _, at := range e.turned {
			if now.Sub(at) < time.Second {
				recent++
			}
		}
		falls := recent > brittleTolerance && !e.queues
		if falls {
			e.fellAt = append(e.fellAt, now)
			e.downUntil, e.turned = now.Add(brittleDownTime), nil
		}
		headers := e.headers()
		e.mu.Unlock()
		return !falls && writeResponse(c, r, 503, "", append(headers, "Not-Run: 1")...)
	}
	e.running++
	e.mu.Unlock()
	time.Sleep(brittleServiceTime)
	e.mu.Lock()
	e.running--
	end := time.Now()
	lost := end.Before(e.downUntil)
	if now.After(e.countFrom) && !lost {
		e.busy += end.Sub(now)
	}
	headers := e.headers()
	e.mu.Unlock()
	return !lost && writeResponse(c, r, 200, "answer", append(headers, "Seal: s")...)
}

// headers returns what each response states; the caller holds mu.
func (e *brittleEngine) headers() []string {
	list := []string{"Brittle: " + strconv.Itoa(brittleTolerance)}
	if e.statesLoad {
		list = append(list, fmt.Sprintf("Load: %d,%d,%d", min(e.running, brittlePlaces), max(e.running-brittlePlaces, 0), brittlePlaces))
	}
	return list
}

// brittleRun is a run of instances and engines that become brittle in it.
type brittleRun struct {
	// load is the share of the engines' capacity that callers ask for.
	load       float64
	statesLoad bool
	// cut is set if half of the instances lose their links for some time.
	cut bool
	// burst is the number of calls that come to an instance at once; 0 means 1.
	burst int
}

// play returns how often the engines fell over, and the share of time for which their places were taken.
func (b brittleRun) play(t *testing.T) (falls int, used float64) {
	const instances, engines = 4, 4
	var list []*brittleEngine
	var stubs []*engineStub
	for i := range engines {
		e := &brittleEngine{queues: true, statesLoad: b.statesLoad}
		e.stub = startStub(t, fmt.Sprintf("e%d", i), e.handle)
		e.stub.slots = brittlePlaces
		list, stubs = append(list, e), append(stubs, e.stub)
	}
	f := startFleet(t, instances, stubs)
	interval := time.Duration(instances / (engines * brittlePlaces * b.load) * float64(brittleServiceTime))
	brittleAt := time.Now().Add(statementTime)
	time.AfterFunc(statementTime, func() {
		for _, e := range list {
			e.mu.Lock()
			e.queues, e.countFrom, e.busy = false, time.Now(), 0
			e.mu.Unlock()
		}
	})
	if b.cut {
		for i := range instances / 2 {
			time.AfterFunc(statementTime+2*time.Second, func() { f.cut(i, cutSilent, []int{0, 1, 2, 3}) })
			time.AfterFunc(statementTime+5*time.Second, func() { f.cut(i, "", []int{0, 1, 2, 3}) })
		}
	}
	f.runCalls(interval, max(b.burst, 1), statementTime+brittleDuration)
	took, busy := time.Since(brittleAt), time.Duration(0)
	for _, e := range list {
		e.mu.Lock()
		busy += e.busy
		falls += len(e.fellAt)
		for _, at := range e.fellAt {
			t.Logf("%s fell %.3f s after", e.stub.id, at.Sub(brittleAt).Seconds())
		}
		e.mu.Unlock()
	}
	used = busy.Seconds() / (engines * brittlePlaces * took.Seconds())
	t.Logf("%d falls, places taken for %.2f of the time", falls, used)
	return falls, used
}

// maxFalls is the largest number of falls of the four engines: two, and a tenth of their number.
const maxFalls = 2

// minUsed is the least share of time for which the places of brittle engines are taken under overload.
const minUsed = 0.8

// Guards against instances that together make brittle engines fall over, one after another, by sending them more than
// they have room for.
func TestBrittleEnginesDoNotFallOver(t *testing.T) {
	for name, run := range map[string]brittleRun{
		"at_1.5_times_the_capacity":              {load: 1.5, statesLoad: true},
		"at_3_times_the_capacity":                {load: 3, statesLoad: true},
		"without_load_at_1.5_times_the_capacity": {load: 1.5},
	} {
		t.Run(name, func(t *testing.T) {
			falls, used := run.play(t)
			require.LessOrEqual(t, falls, maxFalls)
			require.GreaterOrEqual(t, used, minUsed)
		})
	}
}

// Guards against brittle engines that fall over when the load of cut instances comes through the others.
func TestBrittleEnginesBearACut(t *testing.T) {
	falls, _ := brittleRun{load: 1.5, statesLoad: true, cut: true}.play(t)
	require.LessOrEqual(t, falls, maxFalls)
}

// Guards against calls of one burst that each take the same last place of a brittle engine, which falls over.
func TestBrittleEnginesBearBursts(t *testing.T) {
	for _, burst := range []int{10, 40} {
		t.Run(strconv.Itoa(burst), func(t *testing.T) {
			falls, _ := brittleRun{load: 3, statesLoad: true, burst: burst}.play(t)
			require.LessOrEqual(t, falls, maxFalls)
		})
	}
}

// Guards against brittle engines that stand idle while half of the instances are cut.
func TestBrittleEnginesAreUsedInACut(t *testing.T) {
	_, used := brittleRun{load: 1.5, statesLoad: true, cut: true}.play(t)
	require.GreaterOrEqual(t, used, minUsed)
}

// call sends a call to a relay and reports whether it was refused.
func (f *fleet) call(client *http.Client, relay int, id string) (refused bool) {
	httpReq, err := http.NewRequest(http.MethodPost, "http://"+f.relays[relay].callerAddress+"/book/"+id, strings.NewReader("x"))
	if err != nil {
		f.t.Error(err)
		return false
	}
	httpReq.Host = "h.example"
	for name, value := range map[string]string{"Id": id, "Key": "k", "Patience": "1s"} {
		httpReq.Header.Set(name, value)
	}
	res, err := client.Do(httpReq)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == http.StatusServiceUnavailable
}

// runCalls sends calls to each relay at an interval on average, in bursts, for some time. Callers repeat a refused call at
// once, twice.
func (f *fleet) runCalls(interval time.Duration, burst int, d time.Duration) {
	var group sync.WaitGroup
	end := time.Now().Add(d)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	for i := range f.relays {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				if n%burst == 0 {
					time.Sleep(interval * time.Duration(burst))
				}
				group.Go(func() {
					for try := range 3 {
						if !f.call(client, (i+try)%len(f.relays), fmt.Sprintf("%d-%d-%d", i, n, try)) {
							return
						}
					}
				})
			}
		})
	}
	group.Wait()
}
