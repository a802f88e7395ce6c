package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/standin/port"
	"bambooferry.example/bambooferry/internal/tunnel"
	"bambooferry.example/bambooferry/pkg/link"
)

// cutMode is how a link behaves while it is cut.
type cutMode string

const (
	// cutSilent drops all packets, cutReset resets connections and refuses new ones, and cutNewConns drops the
	// packets of new connections only.
	cutSilent   cutMode = "silent"
	cutReset    cutMode = "reset"
	cutNewConns cutMode = "new_connections"
)

// targetLink is the path from one relay to one target.
type targetLink struct {
	t       *testing.T
	target  netip.AddrPort
	address netip.AddrPort

	mu   sync.Mutex
	mode cutMode
	ln   net.Listener
	// closeBlackhole ends the listener that drops the packets of new connections.
	closeBlackhole func()
	conns          map[net.Conn]bool
	// opened counts the connections that reached the target.
	opened int
}

func startTargetLink(t *testing.T, target netip.AddrPort) *targetLink {
	t.Helper()
	// While the link is cut, another program must not get its port.
	address, release, err := port.Reserve()
	require.NoError(t, err)
	ln, err := net.Listen("tcp", address.String())
	require.NoError(t, err)
	l := &targetLink{t: t, target: target, address: address, ln: ln, conns: map[net.Conn]bool{}}
	go l.accept(ln)
	t.Cleanup(func() {
		defer func() { require.NoError(t, release()) }()
		l.set("")
		l.mu.Lock()
		defer l.mu.Unlock()
		_ = l.ln.Close()
		for c := range l.conns {
			_ = c.Close()
		}
	})
	return l
}

// set cuts the link, or heals it if mode is empty.
func (l *targetLink) set(mode cutMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mode == mode {
		return
	}
	if l.mode == "" {
		_ = l.ln.Close()
	}
	if l.closeBlackhole != nil {
		l.closeBlackhole()
		l.closeBlackhole = nil
	}
	switch l.mode = mode; mode {
	case "":
		// Connections that were silent are lost, as after a cut that outlasts them.
		l.resetConns()
		ln, err := net.Listen("tcp", l.address.String())
		if err != nil {
			l.t.Error(err)
			return
		}
		l.ln = ln
		go l.accept(ln)
	case cutReset:
		l.resetConns()
	default:
		l.closeBlackhole = dropNewConns(l.t, l.address)
	}
}

func (l *targetLink) resetConns() {
	for c := range l.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	clear(l.conns)
}

// dropNewConns listens at an address without accepting, with a full queue, so that the kernel drops the packets
// of new connections.
func dropNewConns(t *testing.T, address netip.AddrPort) func() {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	require.NoError(t, syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()}))
	require.NoError(t, syscall.Listen(fd, 0))
	var fillers []net.Conn
	for {
		c, err := net.DialTimeout("tcp", address.String(), 20*time.Millisecond)
		if err != nil {
			break
		}
		fillers = append(fillers, c)
	}
	return func() {
		for _, c := range fillers {
			_ = c.Close()
		}
		_ = syscall.Close(fd)
	}
}

func (l *targetLink) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go l.serve(c)
	}
}

func (l *targetLink) serve(c net.Conn) {
	target, err := net.DialTimeout("tcp", l.target.String(), time.Second)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return
	}
	l.mu.Lock()
	l.conns[c], l.conns[target] = true, true
	l.opened++
	l.mu.Unlock()
	go l.forward(target, c)
	l.forward(c, target)
}

// forward copies data until one end closes. Data that comes while the link drops packets is lost, and so is all
// that follows on the connection.
func (l *targetLink) forward(to, from net.Conn) {
	b, lost := make([]byte, 16<<10), false
	for {
		n, err := from.Read(b)
		l.mu.Lock()
		lost = lost || l.mode == cutSilent
		l.mu.Unlock()
		if lost && err == nil {
			continue
		}
		if !lost && n > 0 {
			if _, writeErr := to.Write(b[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		if !lost {
			if err != io.EOF {
				_ = to.(*net.TCPConn).SetLinger(0)
			}
			_ = to.Close()
			_ = from.Close()
		}
		return
	}
}

// fleet is a set of relays, each with links of its own to the same engine stubs.
type fleet struct {
	t      *testing.T
	relays []*testRelay
	// links holds the links of each relay by target.
	links [][]*targetLink
	stubs []*engineStub
	// carriers are the relays as carriers.
	carriers []link.Carrier
	// stopTunnels ends what each relay carries for others.
	stopTunnels []func()
}

func startFleet(t *testing.T, relays int, stubs []*engineStub) *fleet {
	t.Helper()
	f := &fleet{t: t, stubs: stubs}
	var listeners []net.Listener
	for i := range relays {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, ln)
		f.carriers = append(f.carriers, link.Carrier{Name: strconv.Itoa(i), Address: ln.Addr().(*net.TCPAddr).AddrPort(), DataCentre: "a"})
	}
	for i := range relays {
		var links []*targetLink
		var seen []*engineStub
		for _, s := range stubs {
			l := startTargetLink(t, s.address)
			links = append(links, l)
			seen = append(seen, &engineStub{id: s.id, address: l.address, slots: s.slots})
		}
		f.links = append(f.links, links)
		name := strconv.Itoa(i)
		tunnels := &Links{Dialer: &tunnel.Dialer{Instance: name, Key: "key-" + name}, Carriers: func() []link.Carrier { return f.carriersFor(i) }}
		f.relays = append(f.relays, startRelayWith(t, tunnels, relays, i, seen...))
	}
	for i, ln := range listeners {
		f.startTunnels(i, ln)
	}
	f.exchange()
	return f
}

// startTunnels lets a relay carry connections for the others.
func (f *fleet) startTunnels(index int, ln net.Listener) {
	server := &tunnel.Server{Listener: ln, MaxTunnels: 100, IsMember: func(instance, key string) bool { return key == "key-"+instance }, Connect: f.relays[index].relay.ConnectForOther}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Run(ctx)
	}()
	f.stopTunnels = append(f.stopTunnels, func() {
		stop()
		<-done
	})
	f.t.Cleanup(f.stopTunnels[index])
}

// stopCarrying ends the connections that a relay carries at once, and makes it carry no more.
func (f *fleet) stopCarrying(relay int) {
	f.relays[relay].relay.Links.BeginStop()
	f.stopTunnels[relay]()
}

// carriersFor returns the other relays as carriers.
func (f *fleet) carriersFor(index int) []link.Carrier {
	return slices.DeleteFunc(slices.Clone(f.carriers), func(c link.Carrier) bool { return c.Name == strconv.Itoa(index) })
}

// exchange passes the messages of each relay to the others.
func (f *fleet) exchange() {
	done := make(chan struct{})
	f.t.Cleanup(func() { close(done) })
	for i, tr := range f.relays {
		go f.reportProgress(i, done)
		tr.relay.Crashes.Broadcast = func(data []byte) bool {
			for _, other := range f.relays {
				if other != tr {
					time.AfterFunc(5*time.Millisecond, func() { other.relay.Crashes.HandleMessage(time.Now(), data) })
				}
			}
			return true
		}
	}
}

// reportProgress passes the progress of a relay to the others when it changes, and each second.
func (f *fleet) reportProgress(index int, done chan struct{}) {
	targets := f.relays[index].relay.Targets
	changed := targets.ProgressChanged()
	repeat := time.NewTicker(time.Second)
	defer repeat.Stop()
	for {
		select {
		case <-changed:
		case <-repeat.C:
		case <-done:
			return
		}
		progress := targets.LocalProgress(time.Now())
		for i, other := range f.relays {
			if i != index {
				other.relay.Targets.ApplyRemoteProgress(time.Now(), strconv.Itoa(index), progress)
			}
		}
		time.Sleep(time.Duration(len(f.relays)) * time.Millisecond)
	}
}

// cut cuts the links of a relay to some targets, or heals them if mode is empty.
func (f *fleet) cut(relay int, mode cutMode, targets []int) {
	for _, n := range targets {
		f.links[relay][n].set(mode)
	}
}

// fleetEngine counts the requests that the engine stubs of a fleet run, by their ids.
type fleetEngine struct {
	mu   sync.Mutex
	runs map[string]int
}

// stubs starts engine stubs that answer calls after 15 ms and send streams of 10 events in 400 ms.
func (e *fleetEngine) stubs(t *testing.T, n int) []*engineStub {
	t.Helper()
	e.runs = map[string]int{}
	var list []*engineStub
	for i := range n {
		list = append(list, startStub(t, fmt.Sprintf("e%d", i), e.handle))
	}
	return list
}

func (e *fleetEngine) handle(c net.Conn, r *http.Request, _ string) bool {
	e.mu.Lock()
	e.runs[r.Header.Get("Id")]++
	e.mu.Unlock()
	if r.URL.Path[:7] != "/draft/" {
		time.Sleep(15 * time.Millisecond)
		return writeResponse(c, r, 200, "answer", "Seal: s")
	}
	first := 1
	if after := r.Header.Get("After"); after != "" {
		if _, err := fmt.Sscan(after, &first); err != nil {
			return false
		}
		first++
	}
	time.Sleep(30 * time.Millisecond)
	writeStreamHeader(c, r)
	for n := first; n <= fleetStreamEvents; n++ {
		writeStreamEvents(c, n, n, n == fleetStreamEvents)
		time.Sleep(40 * time.Millisecond)
	}
	return true
}

// fleetStreamEvents is the number of events of a stream.
const fleetStreamEvents = 10

func (e *fleetEngine) runsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// fleetRequest is the first try of one request at a relay.
type fleetRequest struct {
	relay  int
	id     string
	kind   string
	sentAt time.Time
	took   time.Duration
	callerResponse
}

func (r *fleetRequest) served() bool {
	body := "answer"
	if r.kind == "draft" {
		body = eventsText(1, fleetStreamEvents)
	}
	return r.err == nil && r.status == http.StatusOK && r.body == body
}

// fleetRoutes are the requests that runTraffic sends in turn.
var fleetRoutes = []string{"view", "book", "draft", "book"}

// runTraffic sends requests to each relay at an interval, for some time.
func (f *fleet) runTraffic(interval, d time.Duration) []fleetRequest {
	var mu sync.Mutex
	var list []fleetRequest
	var group sync.WaitGroup
	end := time.Now().Add(d)
	for i := range f.relays {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				group.Go(func() {
					r := fleetRequest{relay: i, id: fmt.Sprintf("%d-%d", i, n), kind: fleetRoutes[n%len(fleetRoutes)], sentAt: time.Now()}
					r.callerResponse = f.relays[i].request("POST", "/"+r.kind+"/"+r.id, "x", "Id", r.id, "Patience", "1500ms")
					r.took = time.Since(r.sentAt)
					mu.Lock()
					defer mu.Unlock()
					list = append(list, r)
				})
				time.Sleep(interval)
			}
		})
	}
	group.Wait()
	return list
}

// requireSafe checks that no request ran twice that may run once only, and that none ran that was refused.
func (e *fleetEngine) requireSafe(t *testing.T, list []fleetRequest) {
	t.Helper()
	for i := range list {
		r := &list[i]
		runs := e.runsOf(r.id)
		require.False(t, r.kind == "book" && runs > 1, "%s ran %d times", r.id, runs)
		require.False(t, r.kind == "book" && r.status == http.StatusServiceUnavailable && runs > 0, "%s was refused and has run", r.id)
		require.False(t, r.status == http.StatusOK && r.err == nil && !r.served(), "%s got a wrong body %q", r.id, r.body)
	}
}

// servedShare returns the share of requests sent in a span that were served, by whether their relay is cut.
func servedShare(list []fleetRequest, isCut func(relay int) bool, from, to time.Time) (cut, others float64) {
	var served, sent [2]float64
	for i := range list {
		r := &list[i]
		if r.sentAt.Before(from) || !r.sentAt.Before(to) {
			continue
		}
		side := 0
		if isCut(r.relay) {
			side = 1
		}
		sent[side]++
		if r.served() {
			served[side]++
		}
	}
	return served[1] / max(sent[1], 1), served[0] / max(sent[0], 1)
}
