package tunnel

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/socket"
)

const (
	// openTimeout bounds the time in which a request for a tunnel must arrive, and idleTimeout the time for which a
	// tunnel may carry nothing.
	openTimeout = time.Second
	idleTimeout = 2 * time.Minute
	// lingerTimeout bounds the time in which the caller's instance closes a tunnel whose target has ended.
	lingerTimeout = time.Second
	// endCheckInterval is the time between two checks whether a tunnel has ended while its target reads nothing.
	endCheckInterval = 50 * time.Millisecond
	// idleCheckInterval is the time between two checks of idle tunnels.
	idleCheckInterval = 10 * time.Second
)

// The errors of Server.Connect that concern its own instance.
var (
	// ErrUnknownTarget is returned by Server.Connect for a target that is not known.
	ErrUnknownTarget = errors.New("unknown target")
	// ErrLinksLost is returned by Server.Connect if this instance has lost its own paths to targets.
	ErrLinksLost = errors.New("own links lost")
)

// Server carries connections for other instances; set its exported fields before Run.
type Server struct {
	Listener net.Listener
	// IsMember reports whether a listed instance has a key.
	IsMember func(instance, key string) bool
	// Connect connects to a target directly. If confirm is set, it returns that the target refuses connections only if the
	// own links are shown to be sound after that. Reads of the connection have to report a reset of which a
	// write has received the error, as those of a *socket.Conn do; otherwise the target's answer looks complete.
	Connect func(ctx context.Context, target string, confirm bool) (net.Conn, error)
	// MaxTunnels bounds the tunnels, each of which has two descriptors and two buffers.
	MaxTunnels int
	// Observe, if set, is called with the result of each request for a tunnel.
	Observe func(instance, target string, result Result, took time.Duration)

	mu      sync.Mutex
	tunnels map[*carried]bool
	// opening is the number of requests that are being served.
	opening int
	// stopping is set once no further request is served, and closed once all tunnels are closed.
	stopping bool
	closed   bool
	group    sync.WaitGroup
}

// carried is one tunnel.
type carried struct {
	caller, target net.Conn
	openedAt       time.Time
	// usedAfter is the time from openedAt to when bytes were last carried.
	usedAfter atomic.Int64
}

func (t *carried) recordUse(now time.Time) { t.usedAfter.Store(int64(now.Sub(t.openedAt))) }

// idle returns the time since bytes were last carried.
func (t *carried) idle(now time.Time) time.Duration {
	return now.Sub(t.openedAt) - time.Duration(t.usedAfter.Load())
}

// closeNow resets both connections, the caller's first: otherwise it would receive the frame of a lost target.
func (t *carried) closeNow() {
	reset(t.caller)
	reset(t.target)
}

// Run accepts tunnels until ctx ends, and then closes those that are open.
func (s *Server) Run(ctx context.Context) error {
	defer s.group.Wait()
	context.AfterFunc(ctx, func() { _ = s.Listener.Close() })
	s.group.Go(func() { s.closeIdle(ctx) })
	for {
		c, err := s.Listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = c.Close()
			}
			s.closeAll()
			return ctx.Err()
		}
		if err != nil {
			// A failed accept, such as for want of descriptors, does not concern the tunnels that are open.
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.group.Go(func() { s.serve(ctx, c) })
	}
}

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 10 * time.Millisecond

// BeginStop makes the server refuse further tunnels.
func (s *Server) BeginStop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// Open returns the number of open tunnels.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tunnels)
}

// busy reports whether a tunnel is open or being opened.
func (s *Server) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tunnels)+s.opening > 0
}

// Drain waits until no tunnel is open or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	for s.busy() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// drainInterval is the time between two checks whether all tunnels are closed.
const drainInterval = 20 * time.Millisecond

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping, s.closed = true, true
	for t := range s.tunnels {
		t.closeNow()
	}
}

func (s *Server) closeIdle(ctx context.Context) {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			s.mu.Lock()
			for t := range s.tunnels {
				if t.idle(now) > idleTimeout {
					t.closeNow()
				}
			}
			s.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// serve opens and carries one tunnel.
func (s *Server) serve(ctx context.Context, caller net.Conn) {
	defer func() { _ = caller.Close() }()
	if !s.beginOpening() {
		_ = caller.SetDeadline(time.Now().Add(openTimeout))
		_, _ = caller.Write([]byte{byte(s.refusal())})
		return
	}
	setTimeouts(caller)
	t, err := s.open(ctx, caller)
	if !s.endOpening(t) || err != nil {
		if t != nil {
			t.closeNow()
		}
		return
	}
	defer s.remove(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.carryToTarget()
	}()
	t.carryToCaller()
	<-done
}

func (s *Server) beginOpening() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || len(s.tunnels)+s.opening >= s.MaxTunnels {
		return false
	}
	s.opening++
	return true
}

// refusal returns why no tunnel is opened.
func (s *Server) refusal() Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return Stopping
	}
	return Full
}

// endOpening registers an open tunnel, unless all have been closed meanwhile. One whose request came before a stop stays
// open.
func (s *Server) endOpening(t *carried) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opening--
	if t == nil || s.closed {
		return false
	}
	if s.tunnels == nil {
		s.tunnels = map[*carried]bool{}
	}
	s.tunnels[t] = true
	return true
}

func (s *Server) remove(t *carried) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tunnels, t)
}

// open reads the request for a tunnel, connects to the target and responds. It returns a tunnel if the target is
// connected.
func (s *Server) open(ctx context.Context, caller net.Conn) (*carried, error) {
	startedAt := time.Now()
	if err := caller.SetDeadline(startedAt.Add(openTimeout)); err != nil {
		return nil, err
	}
	in := bufio.NewReaderSize(caller, maxRequestLine)
	line, err := in.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	request, err := decodeRequest(line)
	if err != nil {
		return nil, err
	}
	var target net.Conn
	result := Denied
	// Bytes before the response are none that a Dialer sends.
	if s.IsMember(request.Instance, request.Key) && in.Buffered() == 0 {
		target, result = s.connect(ctx, request)
	}
	if s.Observe != nil {
		s.Observe(request.Instance, request.Target, result, time.Since(startedAt))
	}
	t := (*carried)(nil)
	if target != nil {
		t = &carried{caller: caller, target: target, openedAt: time.Now()}
	}
	if _, err := caller.Write([]byte{byte(result)}); err != nil {
		return t, err
	}
	return t, caller.SetDeadline(time.Time{})
}

func (s *Server) connect(ctx context.Context, request *openRequest) (net.Conn, Result) {
	target, err := s.Connect(ctx, request.Target, request.Confirm)
	switch {
	case err == nil:
		return target, Connected
	case errors.Is(err, ErrUnknownTarget):
		return nil, TargetUnknown
	case errors.Is(err, ErrLinksLost):
		return nil, LinksLost
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, TargetRefused
	}
	return nil, TargetUnreachable
}

// carryToTarget passes on what the caller's instance sends. An end means that it has closed the tunnel.
func (t *carried) carryToTarget() {
	buf := make([]byte, maxFrame)
	for {
		n, err := t.caller.Read(buf)
		if n > 0 {
			t.recordUse(time.Now())
			if writeErr := t.writeToTarget(buf[:n]); errors.Is(writeErr, errCallerEnded) {
				err = writeErr
			} else if writeErr != nil {
				// The target's answer may have arrived before; carryToCaller ends the tunnel.
				_, _ = io.Copy(io.Discard, t.caller)
				return
			}
		}
		if err != nil {
			socket.GiveUp(t.target)
			return
		}
	}
}

// errCallerEnded is returned by writeToTarget once the caller's instance has closed the tunnel.
var errCallerEnded = errors.New("the caller's instance has closed the tunnel")

// writeToTarget writes to the target, for as long as the tunnel is open: a target that is paused may read again only
// when its request has gone on elsewhere.
func (t *carried) writeToTarget(b []byte) error {
	for {
		if err := t.target.SetWriteDeadline(time.Now().Add(endCheckInterval)); err != nil {
			return err
		}
		n, err := t.target.Write(b)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if socket.HasEnded(t.caller) {
			return errCallerEnded
		}
		b = b[n:]
	}
}

// endCaller ends the bytes for the caller's instance. What it still sends is read until it closes the tunnel, since
// to close a connection with unread bytes resets it, and the end of the answer could be lost.
func (t *carried) endCaller() {
	if tcp, ok := t.caller.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = t.caller.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// carryToCaller passes on what the target sends, in frames.
func (t *carried) carryToCaller() {
	buf := make([]byte, headerSize+maxFrame)
	for {
		n, err := t.target.Read(buf[headerSize:])
		if n > 0 {
			t.recordUse(time.Now())
			binary.BigEndian.PutUint16(buf, uint16(n))
			if _, writeErr := t.caller.Write(buf[:headerSize+n]); writeErr != nil {
				t.closeNow()
				return
			}
		}
		if err != nil {
			end := uint16(lostFrame)
			if errors.Is(err, io.EOF) {
				end = endFrame
			}
			binary.BigEndian.PutUint16(buf, end)
			_, _ = t.caller.Write(buf[:headerSize])
			_ = t.target.Close()
			t.endCaller()
			return
		}
	}
}
