package server

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"bambooferry.example/bambooferry/internal/callerconn"
	"bambooferry.example/bambooferry/internal/platform"
	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/instance"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// CatalogueKey is the key of the catalogue on the blackboard and in the key-value service.
const CatalogueKey = "catalogue"

// Catalogue is the blackboard key of the catalogue in force.
var Catalogue = blackboard.Key[*catalogue.Document]{Name: CatalogueKey}

// Store is the part of the key-value service that an instance uses.
type Store interface {
	Get(ctx context.Context, key string) (platform.Value, error)
	CompareAndSwap(ctx context.Context, key string, old int64, data []byte) (int64, error)
	Watch(ctx context.Context, key string, after int64, wait time.Duration) (platform.Value, error)
}

// Server is one entry instance; set its exported fields before Run.
type Server struct {
	ID          string
	Incarnation int64
	DataCentre  string
	// Listener accepts callers' connections.
	Listener net.Listener
	Store    Store
	// CatalogueLookInterval is the mean interval of the looks that all instances together take at the catalogue in the
	// service, besides those that watch it: the service may turn these away and not the others. 0 means the default.
	CatalogueLookInterval time.Duration
	Signer                generation.CursorSigner
	Board                 *blackboard.Board
	Events                *timeline.Writer
	Log                   zerolog.Logger
	Limits                Limits
	// Peers sends RPCs to other instances; nil means that there are none.
	Peers Peers
	// Versions runs the instance's part in version changes; nil means that results are not counted.
	Versions *Versions
	Router   Router
	Admitter Admitter
	// Pools is the router's state of the targets; nil if the router does not use it.
	Pools *Pools
	// Client sends requests to targets, each on a new connection, as that of NewClient does.
	Client *http.Client
	// Metrics collects the instance's metrics.
	Metrics *metrics.Set

	// PeerAddress is the address at which other instances reach this one.
	PeerAddress netip.AddrPort
	// Seeds are addresses of other instances to contact at the start, in addition to the platform's list.
	Seeds []netip.AddrPort
	// Lister reads the platform's list of instances; nil means that there is none.
	Lister Lister
	// MembershipTiming holds the timing parameters of the membership protocol.
	MembershipTiming instance.Timing

	callers callerconn.HTTPServer
	// stopContext ends with errStopTimeout when a stop calls interruptRequests.
	stopContext       context.Context
	interruptRequests context.CancelCauseFunc
	membership        membership
	// leaving is set when a graceful stop begins, rejectNew when new requests are refused, and interruptsAt is when
	// that stop interrupts requests.
	leaving      atomic.Bool
	rejectNew    atomic.Bool
	interruptsAt atomic.Pointer[time.Time]
	tokenGaps    gapTable
	resumes      resumeQueues
	// activeHandlers counts requests in handlers. cutOff and graceful record how Run ended.
	activeHandlers atomic.Int64
	cutOff         atomic.Bool
	graceful       atomic.Bool
	// runErr returns an error once the context of Run has ended.
	runErr  func() error
	streams streamTable
	memory  memoryCounter
	calls   callState
}

const (
	// maxCallerHeaderBytes bounds the memory for a request's header.
	maxCallerHeaderBytes = 32 << 10
	// idleChecks is the number of checks for idle connections in one idle timeout.
	idleChecks = 8
)

// Limits holds the memory limits and timeouts of one instance.
type Limits struct {
	// BufferBytes is the amount of undelivered text at which a stream stops reading from its engine.
	BufferBytes int
	// MaxKeptTextBytes bounds the delivered text that a stream keeps so that another engine can continue it.
	MaxKeptTextBytes int
	// WorkspaceBytes and InstanceBytes bound the memory held for all requests: texts,
	// and a fixed amount for the stacks and connection buffers of each request.
	WorkspaceBytes int64
	InstanceBytes  int64
	// ReaderIdleTimeout is how long a caller may read nothing before its connection is closed.
	ReaderIdleTimeout time.Duration
	// DetachAfter is how long a reader must have stopped before the engine's connection is closed.
	DetachAfter time.Duration
	// UploadTimeout bounds the time in which a caller sends its request's body.
	UploadTimeout time.Duration
	// HeaderTimeout bounds the time in which a caller sends its request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection is kept between requests.
	IdleTimeout time.Duration
	// KeepAliveInterval is the time without output after which a comment is sent in a streamed answer.
	KeepAliveInterval time.Duration
	// MaxAnswerBytes bounds an answer that is not streamed.
	MaxAnswerBytes int
	// ResumeTimeout bounds the time without a token, after which a stream gives up.
	ResumeTimeout time.Duration
	// CursorTTL bounds the age of a cursor.
	CursorTTL time.Duration
	// Linger is how long a target may continue to run work whose connection was lost.
	Linger time.Duration
	// DrainPeriod is how long a stopping instance still accepts requests, until load balancers
	// have seen that it is not ready.
	DrainPeriod time.Duration
	// StopTimeout bounds a graceful stop.
	StopTimeout     time.Duration
	SilenceTimeouts generation.Timeouts
	Calls           CallLimits
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		BufferBytes:       2 << 10,
		MaxKeptTextBytes:  16 << 10,
		WorkspaceBytes:    96 << 20,
		InstanceBytes:     192 << 20,
		MaxAnswerBytes:    1 << 20,
		ReaderIdleTimeout: 5 * time.Minute,
		DetachAfter:       2 * time.Second,
		UploadTimeout:     30 * time.Second,
		HeaderTimeout:     5 * time.Second,
		IdleTimeout:       2 * time.Minute,
		KeepAliveInterval: 5 * time.Second,
		ResumeTimeout:     30 * time.Second,
		CursorTTL:         time.Hour,
		Linger:            5 * time.Second,
		DrainPeriod:       2 * time.Second,
		StopTimeout:       10 * time.Minute,
		SilenceTimeouts:   generation.Timeouts{FirstToken: 1100 * time.Millisecond, NextToken: 400 * time.Millisecond, Accept: 250 * time.Millisecond},
		Calls:             DefaultCallLimits(),
	}
}

// Address returns the address at which callers reach the instance.
func (s *Server) Address() netip.AddrPort {
	return s.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run serves requests until stop ends, then finishes those in progress; ctx ends all work immediately.
func (s *Server) Run(ctx, stop context.Context) error {
	if err := s.initCalls(ctx); err != nil {
		return err
	}
	s.stopContext, s.interruptRequests = context.WithCancelCause(ctx)
	defer s.interruptRequests(nil)
	s.callers = callerconn.HTTPServer{
		Handler: s.Handler(), HeaderTimeout: s.Limits.HeaderTimeout, MaxHeaderBytes: maxCallerHeaderBytes, WriteBufferBytes: socketBytes,
		BaseContext:      func(net.Listener) context.Context { return ctx },
		ReportUnanswered: s.reportUnanswered,
	}
	s.runErr = ctx.Err
	s.registerGauges()
	done := make(chan error, 1)
	go func() { done <- s.callers.Serve(s.Listener) }()
	idleCtx, stopIdleChecks := context.WithCancel(ctx)
	defer stopIdleChecks()
	go s.closeIdleConns(idleCtx)
	s.Log.Info().Str("instance", s.ID).Str("address", s.Address().String()).Msg("server: Listening.")
	select {
	case err := <-done:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
		return s.closeNow()
	case <-stop.Done():
	}
	interruptsAt := time.Now().Add(s.Limits.DrainPeriod + s.Limits.StopTimeout)
	s.interruptsAt.Store(&interruptsAt)
	s.leaving.Store(true)
	s.callers.BeginStop()
	s.announceLeave(ctx)
	s.Log.Info().Msg("server: Stopping. Requests in progress will finish.")
	// A load balancer sends requests until its next health check; with a closed port they would fail.
	_ = sleep(ctx, s.Limits.DrainPeriod)
	s.rejectNew.Store(true)
	stopCtx, cancel := context.WithTimeout(ctx, s.Limits.StopTimeout)
	defer cancel()
	if err := s.callers.Drain(stopCtx); err != nil {
		s.Log.Warn().Err(err).Msg("server: Stopped with requests in progress.")
		s.answerInterrupted(ctx)
		return s.closeNow()
	}
	if err := s.callers.Close(callerconn.Stopping); err != nil {
		s.Log.Warn().Err(err).Msg("server: Could not close the listener.")
	}
	s.drainCalls(stopCtx)
	s.graceful.Store(true)
	s.Log.Info().Msg("server: Stopped.")
	return nil
}

// answerInterrupted interrupts the requests in progress and gives them time for an answer.
func (s *Server) answerInterrupted(ctx context.Context) {
	s.interruptRequests(errStopTimeout)
	ctx, cancel := context.WithTimeout(ctx, finalAnswerTime)
	defer cancel()
	// What is still open then is closed by the caller of this function.
	_ = s.callers.Drain(ctx)
}

// closeIdleConns closes callers' connections that have been idle for too long, until ctx ends.
func (s *Server) closeIdleConns(ctx context.Context) {
	tick := time.NewTicker(max(s.Limits.IdleTimeout/idleChecks, time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			s.callers.CloseIdle(now, s.Limits.IdleTimeout)
		case <-ctx.Done():
			return
		}
	}
}

// reportUnanswered logs and counts a request that ended without an answer.
func (s *Server) reportUnanswered(now time.Time, u callerconn.Unanswered) {
	s.Metrics.GetOrCreateCounter(fmt.Sprintf("bambooferry_requests_unanswered_total{closed_by=%q,phase=%q}", u.ClosedBy, u.Phase)).Inc()
	s.Events.Write(now, timeline.Event{
		Kind: "request_unanswered", Member: u.Caller.String(), Why: string(u.ClosedBy), Decision: u.Phase,
		Inputs: []timeline.Input{{Name: "read_bytes", Value: u.ReadBytes}, {Name: "held_ms", Value: u.Held.Milliseconds()}},
	})
}

// Ready reports whether the instance can take new requests.
func (s *Server) Ready() bool {
	if r, ok := s.Router.(interface{ Ready() bool }); ok && !r.Ready() {
		return false
	}
	_, ok := Catalogue.Get(s.Board)
	return ok && !s.leaving.Load()
}
