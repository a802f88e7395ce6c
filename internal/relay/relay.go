package relay

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"bambooferry.example/bambooferry/internal/callerconn"
	"bambooferry.example/bambooferry/internal/tunnel"
	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// The values that controllers post on the blackboard.
var (
	// TableKey holds the table in force.
	TableKey = blackboard.Key[*route.Table]{Name: "route_table"}
)

const (
	// headerTimeout bounds the time in which a request's header must arrive.
	headerTimeout = 10 * time.Second
	// maxCallerHeaderBytes bounds the memory for a request's header; operators set limits of some
	// 16 KiB.
	maxCallerHeaderBytes = 64 << 10
	// idleCheckInterval is the interval at which idle connections are checked.
	idleCheckInterval = time.Second
	// shutdownMargin is the part of the grace period that is reserved for writing the last log
	// lines.
	shutdownMargin = 250 * time.Millisecond
	// finalAnswerTime is the part before shutdownMargin in which interrupted requests are answered.
	finalAnswerTime = 250 * time.Millisecond
)

// Relay proxies requests to targets; set its exported fields before Run.
type Relay struct {
	DataCentre string
	// CallerListener accepts callers, ReadinessListener the load balancer's readiness checks.
	CallerListener    net.Listener
	ReadinessListener net.Listener
	Codec             HeaderCodec
	Board             *blackboard.Board
	// Targets holds the state of the targets.
	Targets *TargetRegistry
	// Crashes tracks the requests that crash targets.
	Crashes *CrashTracker
	// Links holds what is known of the links to targets; if it is nil, no other instance carries connections.
	Links *Links
	// Tunnels carries connections for other instances; it may be nil.
	Tunnels *tunnel.Server
	Log     *timeline.Writer
	Metrics *metrics.Set
	// GracePeriod is the time from a stop until the process is killed. DeregistrationDelay is the
	// part of it in which new connections are still accepted, since the load balancer needs some
	// time to take the instance out.
	GracePeriod         time.Duration
	DeregistrationDelay time.Duration
	// MaxHeldBytes bounds the bytes of responses that all requests hold; 0 means 16 MiB.
	MaxHeldBytes int64
	// ObserveStart, if set, is called once for each request of a workspace, when it began to run at a target.
	ObserveStart func(now time.Time, workspace string)
	// AwaitCurrentTable waits until the table is the latest one that is known, and returns false if ctx ends before, or if that
	// is unknown. If it is nil, the table always is.
	AwaitCurrentTable func(ctx context.Context) bool

	targetConns   connPool
	heldBytes     byteBudget
	callers       callerconn.HTTPServer
	stoppingSince atomic.Pointer[time.Time]
	// stopping is closed when a stop begins.
	stopping chan struct{}
	// graceContext ends with errGraceOver when a stop calls interruptRequests.
	graceContext      context.Context
	interruptRequests context.CancelCauseFunc
	instruments       instruments
	initOnce          sync.Once
	// probes check the addresses of lost targets until probeContext ends.
	probesMu     sync.Mutex
	probes       sync.WaitGroup
	probeContext context.Context
	// unreadableHeaders limits the log lines on headers of targets that can't be read.
	unreadableHeaders rate.Sometimes
}

func (r *Relay) init() {
	r.initOnce.Do(func() {
		r.instruments.register(r.Metrics)
		r.heldBytes.limit, r.heldBytes.observeDenied = cmp.Or(r.MaxHeldBytes, defaultMaxHeldBytes), r.instruments.recordNotHeld
		r.instruments.set.GetOrCreateGauge("bambooferry_held_response_bytes", func() float64 { return float64(r.heldBytes.heldBytes()) })
		r.stopping = make(chan struct{})
		if r.Links == nil {
			r.Links = &Links{}
		}
		r.Links.onLost = r.handleLostPath
		r.targetConns.Links = r.Links
		r.targetConns.ObserveDial = r.instruments.recordDial
		r.graceContext, r.interruptRequests = context.WithCancelCause(context.Background())
		r.callers.Handler, r.callers.ReportUnanswered = http.HandlerFunc(r.serveRequest), r.reportUnanswered
		r.callers.HeaderTimeout, r.callers.MaxHeaderBytes = headerTimeout, maxCallerHeaderBytes
		r.unreadableHeaders.Interval = unreadableLogInterval
	})
}

// Run serves until ctx ends and then shuts down gracefully within GracePeriod.
func (r *Relay) Run(ctx context.Context) error {
	r.init()
	readinessServer := &http.Server{Handler: http.HandlerFunc(r.serveReadiness), ReadHeaderTimeout: headerTimeout}
	group, running := errgroup.WithContext(context.WithoutCancel(ctx))
	background, stopBackground := context.WithCancel(running)
	r.probesMu.Lock()
	r.probeContext = background
	r.probesMu.Unlock()
	defer r.stopProbes(stopBackground)
	defer r.interruptRequests(nil)
	group.Go(func() error { return r.callers.Serve(r.CallerListener) })
	group.Go(func() error { return ignoreServerClosed(readinessServer.Serve(r.ReadinessListener)) })
	group.Go(func() error { r.closeIdleConns(background); return nil })
	if r.Tunnels != nil {
		group.Go(func() error { return ignoreCancelled(r.Tunnels.Run(background)) })
	}
	select {
	case <-ctx.Done():
	case <-running.Done():
	}
	r.shutDown()
	stopBackground()
	_ = readinessServer.Close()
	return group.Wait()
}

// startProbe runs probe in the background while the relay runs.
func (r *Relay) startProbe(probe func()) {
	r.probesMu.Lock()
	defer r.probesMu.Unlock()
	if r.probeContext != nil && r.probeContext.Err() == nil {
		r.probes.Go(func() {
			defer func() {
				if recover() != nil {
					r.logPanic(time.Now(), "")
				}
			}()
			probe()
		})
	}
}

func (r *Relay) stopProbes(cancel func()) {
	r.probesMu.Lock()
	cancel()
	r.probesMu.Unlock()
	r.probes.Wait()
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func ignoreCancelled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// shutDown waits until the load balancer has taken the instance out, then accepts no connections
// and waits for the requests in progress. Those that are not finished in time are interrupted early
// enough to be answered.
func (r *Relay) shutDown() {
	startedAt := time.Now()
	r.stoppingSince.Store(&startedAt)
	close(r.stopping)
	r.callers.BeginStop()
	r.Links.BeginStop()
	if r.Tunnels != nil {
		r.Tunnels.BeginStop()
	}
	r.Log.Write(startedAt, timeline.Event{Kind: "instance_stopping", Inputs: []timeline.Input{{Name: "grace_ms", Value: r.GracePeriod.Milliseconds()}}})
	interrupt := time.AfterFunc(time.Until(r.interruptsAt(startedAt)), func() { r.interruptRequests(errGraceOver) })
	defer interrupt.Stop()
	deadline := startedAt.Add(r.GracePeriod - shutdownMargin)
	time.Sleep(min(r.DeregistrationDelay, time.Until(deadline)))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if open := (*callerconn.OpenConnsError)(nil); errors.As(r.callers.Drain(ctx), &open) {
		r.Log.Write(time.Now(), timeline.Event{
			Kind: "requests_broken_off", Why: string(callerconn.GraceOver),
			Inputs: []timeline.Input{{Name: "connections", Value: int64(open.Open)}, {Name: "serving", Value: int64(open.Serving)}},
		})
	}
	if r.Tunnels != nil {
		r.Tunnels.Drain(ctx)
	}
	// The listener's error says nothing about connections.
	_ = r.callers.Close(callerconn.GraceOver)
}

// errGraceOver interrupts the requests that are in progress near the end of the grace period.
var errGraceOver = errors.New("grace period is over")

// interruptsAt returns when a stop that began at startedAt interrupts requests.
func (r *Relay) interruptsAt(startedAt time.Time) time.Time {
	return startedAt.Add(r.GracePeriod - shutdownMargin - finalAnswerTime)
}

// reportUnanswered logs and counts a request that ended without an answer.
func (r *Relay) reportUnanswered(now time.Time, u callerconn.Unanswered) {
	r.instruments.recordUnanswered(u)
	r.Log.Write(now, timeline.Event{
		Kind: "request_unanswered", Member: u.Caller.String(), Why: string(u.ClosedBy), Decision: u.Phase,
		Inputs: []timeline.Input{{Name: "read_bytes", Value: u.ReadBytes}, {Name: "held_ms", Value: u.Held.Milliseconds()}},
	})
}

// serveReadiness responds to the load balancer: an instance is ready while it has a table and is
// not shutting down.
func (r *Relay) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	_, known := TableKey.Get(r.Board)
	if !known || r.stoppingSince.Load() != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// closeIdleConns closes connections that have been idle for too long.
func (r *Relay) closeIdleConns(ctx context.Context) {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			r.targetConns.closeExpired(now)
			if t, ok := TableKey.Get(r.Board); ok && t.Limits.IdleTimeout > 0 {
				r.callers.CloseIdle(now, t.Limits.IdleTimeout)
			}
		case <-ctx.Done():
			return
		}
	}
}
