package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// The values that controllers post on the board.
var (
	// TableKey holds the table in force.
	TableKey = blackboard.Key[*route.Table]{Name: "route_table"}
)

const (
	// headerTimeout bounds the time in which a request's header must come.
	headerTimeout = 10 * time.Second
	// maxCallerHeader bounds the memory for a request's header; operators set limits of some 16 KiB.
	maxCallerHeader = 64 << 10
	// sweepEvery is the time between looks at idle connections.
	sweepEvery = time.Second
	// stopMargin is left of the grace to write the last log lines.
	stopMargin = 250 * time.Millisecond
)

// Relay passes requests to targets; set its exported fields before Run.
type Relay struct {
	DataCentre string
	// Front takes callers, Ready the balancer's questions.
	Front net.Listener
	Ready net.Listener
	Codec Codec
	Board *blackboard.Board
	// Targets is what is known of the targets.
	Targets *Targets
	// Crashes is what is known of requests that crash targets.
	Crashes *Crashes
	Log     *timeline.Writer
	Metrics *metrics.Set
	// Grace is the time from a stop until the process is killed, Rotation the part of it in which
	// new connections are still taken, since the balancer takes some time to look away.
	Grace    time.Duration
	Rotation time.Duration

	conns    connPool
	callers  callerConns
	stopping atomic.Pointer[time.Time]
	numbers  instruments
	once     sync.Once
	// searches look at the addresses of lost targets until background ends.
	searchMu   sync.Mutex
	searches   sync.WaitGroup
	background context.Context
}

func (r *Relay) init() {
	r.once.Do(func() {
		r.numbers.set(r.Metrics)
		r.conns.Opened = r.numbers.opened
	})
}

// Run serves until ctx ends and then stops gracefully within Grace.
func (r *Relay) Run(ctx context.Context) error {
	r.init()
	front := &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxCallerHeader, ConnState: r.callers.state}
	ready := &http.Server{Handler: http.HandlerFunc(r.answerReady), ReadHeaderTimeout: headerTimeout}
	group, running := errgroup.WithContext(context.WithoutCancel(ctx))
	ended, end := context.WithCancel(running)
	r.background = ended
	defer r.endSearches(end)
	group.Go(func() error { return served(front.Serve(r.Front)) })
	group.Go(func() error { return served(ready.Serve(r.Ready)) })
	group.Go(func() error { r.sweep(ended); return nil })
	select {
	case <-ctx.Done():
	case <-running.Done():
	}
	r.stop(front)
	end()
	_ = ready.Close()
	return group.Wait()
}

// search runs f in the background unless the relay has stopped.
func (r *Relay) search(f func()) {
	r.searchMu.Lock()
	defer r.searchMu.Unlock()
	if r.background.Err() == nil {
		r.searches.Go(f)
	}
}

func (r *Relay) endSearches(end func()) {
	r.searchMu.Lock()
	end()
	r.searchMu.Unlock()
	r.searches.Wait()
}

func served(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stop lets the balancer look away, then takes no connections and waits for requests in progress.
func (r *Relay) stop(front *http.Server) {
	begun := time.Now()
	r.stopping.Store(&begun)
	r.Log.Write(begun, timeline.Event{Kind: "instance_stopping", Inputs: []timeline.Input{{Name: "grace_ms", Value: r.Grace.Milliseconds()}}})
	deadline := begun.Add(r.Grace - stopMargin)
	time.Sleep(min(r.Rotation, time.Until(deadline)))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		r.Log.Write(time.Now(), timeline.Event{Kind: "requests_broken_off", Why: "grace_over", Inputs: []timeline.Input{{Name: "connections", Value: int64(r.callers.active())}}})
		_ = front.Close()
	}
}

// answerReady answers the balancer: an instance takes requests while it knows a table and does not stop.
func (r *Relay) answerReady(w http.ResponseWriter, _ *http.Request) {
	_, known := TableKey.Get(r.Board)
	if !known || r.stopping.Load() != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// sweep closes connections that were idle for too long.
func (r *Relay) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			r.conns.sweep(now)
			if t, ok := TableKey.Get(r.Board); ok && t.Limits.IdleTimeout > 0 {
				r.callers.sweep(now, t.Limits.IdleTimeout)
			}
		case <-ctx.Done():
			return
		}
	}
}
