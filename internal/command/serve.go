package command

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"bambooferry.example/bambooferry/internal/peer"
	"bambooferry.example/bambooferry/internal/platform"
	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/engine/policy"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/slot"
	"bambooferry.example/bambooferry/pkg/timeline"
	"bambooferry.example/bambooferry/pkg/version"
)

const (
	platformTimeout = 2 * time.Second
	dialTimeout     = time.Second
	// defaultLeaveWait and the drain together stay under the 8 s after which platforms kill a
	// process that was asked to stop.
	defaultLeaveWait = 3 * time.Second
)

func serve(ctx context.Context, e Environment, args []string) error {
	s := newSettings(e, "serve", "Runs an entry instance. SIGTERM stops it gracefully, a second one at once.")
	id := s.String("id", "", "the instance's `name`; by default its address")
	listen := s.address("listen", "127.0.0.1:8080", "`address` for callers")
	centre := s.String("data-centre", "", "the `name` of the instance's data centre")
	service := s.address("platform", "", "`address` of the platform's key-value service")
	metricsAt := s.address("metrics-listen", "", "`address` for metrics; none if empty")
	eventLog := s.String("event-log", "-", "`file` for the time line's events; - is standard output")
	keys := s.keyFile("cursor-key-file", "`file` with the deployment's cursor keys in hexadecimal, newest first")
	warm := s.Duration("version-warm", version.DefaultLimits().KeepWarm, "`time` for which the old version is kept after a change of version is done")
	storeLoads := s.Int("store-loads", 2, "`number` of loads that the weight store serves at once")
	s.check("version-warm", func() bool { return *warm > 0 }, "must be above 0")
	s.check("store-loads", func() bool { return *storeLoads > 0 }, "must be at least 1")
	routing := s.String("routing", server.DefaultRouting, "`policy` by which targets are chosen: "+strings.Join(policy.Names(), ", "))
	s.check("routing", func() bool { return slices.Contains(policy.Names(), *routing) }, "must be one of "+strings.Join(policy.Names(), ", "))
	leaveWait := s.Duration("leave-wait", defaultLeaveWait, "longest `time` in which an instance that stops takes itself off the roster")
	s.check("leave-wait", func() bool { return *leaveWait >= time.Millisecond }, "must be at least 1ms")
	peers := peerFlags(s)
	limits := server.DefaultLimits()
	limitFlags(s, &limits)
	s.check("data-centre", func() bool { return *centre != "" }, "must be given")
	s.check("platform", func() bool { return service.IsValid() }, "must be given")
	if err := s.read(args); err != nil {
		return err
	}
	out, closeLog, err := openLog(e, *eventLog)
	if err != nil {
		return err
	}
	defer closeLog()
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", listen.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if *id == "" {
		*id = ln.Addr().String()
	}
	store := &platform.Client{Address: *service, HTTP: &http.Client{}, Timeout: platformTimeout}
	in := &server.Server{
		ID: *id, Incarnation: time.Now().UnixNano(), DataCentre: *centre, Listener: ln,
		Store:   store,
		Lister:  store,
		Signer:  generation.CursorSigner{Keys: *keys},
		Board:   blackboard.New(),
		Log:     zerolog.New(e.Stderr).With().Timestamp().Logger(),
		Limits:  limits,
		Client:  server.NewClient(dialTimeout),
		Metrics: metrics.NewSet(),
	}
	in.Events = &timeline.Writer{Out: out, Instance: in.ID, Incarnation: in.Incarnation, Clock: &timeline.Clock{}, QueueBytes: timeline.DefaultQueueBytes}
	in.Versions = server.NewVersions(in, store)
	in.Versions.Limits.KeepWarm, in.Versions.MaxConcurrentLoads = *warm, *storeLoads
	network, err := peers.network(ctx, in)
	if err != nil {
		return err
	}
	if err := in.InitMembership(); err != nil {
		return errors.Wrap(err, "members")
	}
	slots, err := newSlots(in, store, *routing)
	if err != nil {
		return err
	}
	pump := startEvents(in)
	err = runInstance(ctx, in, network, slots, *leaveWait, metricsAt.IsValid(), metricsAt.String())
	endEvents(in, pump, err)
	return err
}

// newSlots gives an instance the limits that hold across all instances.
func newSlots(in *server.Server, store *platform.Client, routing string) (*server.Slots, error) {
	slots := &server.Slots{
		Self: slot.Key{ID: in.ID, Incarnation: in.Incarnation}, Address: in.PeerAddress, Store: store, Peers: in.Peers,
		Board: in.Board, Events: in.Events, Metrics: in.Metrics, Log: in.Log, Times: server.DefaultSlotTimes(),
	}
	if in.Peers == nil {
		slots.Address = in.Address()
		in.Log.Warn().Msg("slots: No -peer-listen is set. This must be the only instance.")
	}
	pools := &server.Pools{Policy: routing, Seed: uint64(in.Incarnation), Slots: slots, Board: in.Board, Client: in.Client, Metrics: in.Metrics}
	inner := &server.SlotRouter{Slots: slots, Board: in.Board, Pools: pools}
	router := &server.VersionRouter{Router: inner, Board: in.Board}
	admitter := server.NewSlotAdmitter(slots, router)
	inner.OnSlotFreed = admitter.SlotFreed
	in.Router, in.Admitter, in.Pools = router, admitter, pools
	return slots, errors.Wrap(slots.Init(), "slots")
}

func limitFlags(s *settings, l *server.Limits) {
	s.IntVar(&l.BufferBytes, "buffer-bytes", l.BufferBytes, "undelivered `bytes` held for one stream")
	s.IntVar(&l.MaxKeptTextBytes, "keep-bytes", l.MaxKeptTextBytes, "delivered `bytes` kept for one stream to continue it on another engine")
	s.Int64Var(&l.WorkspaceBytes, "workspace-bytes", l.WorkspaceBytes, "`bytes` held for the streams of one workspace")
	s.Int64Var(&l.InstanceBytes, "instance-bytes", l.InstanceBytes, "`bytes` held for all streams")
	s.IntVar(&l.MaxAnswerBytes, "answer-bytes", l.MaxAnswerBytes, "largest `bytes` of an answer that is not streamed")
	s.DurationVar(&l.ReaderIdleTimeout, "reader-idle", l.ReaderIdleTimeout, "longest `time` without a caller taking anything before its connection is closed")
	s.DurationVar(&l.DetachAfter, "detach-after", l.DetachAfter, "`time` after which a stopped reader's connection to its engine is closed")
	s.DurationVar(&l.UploadTimeout, "upload-wait", l.UploadTimeout, "longest `time` in which a caller sends a body")
	s.DurationVar(&l.HeaderTimeout, "header-wait", l.HeaderTimeout, "longest `time` in which a caller sends a header")
	s.DurationVar(&l.KeepAliveInterval, "keep-alive", l.KeepAliveInterval, "`time` without output after which a streamed answer sends a comment")
	s.DurationVar(&l.ResumeTimeout, "resume-wait", l.ResumeTimeout, "longest `time` without a token before a stream is given up")
	s.DurationVar(&l.CursorTTL, "cursor-life", l.CursorTTL, "`time` for which a cursor is good")
	s.DurationVar(&l.DrainPeriod, "drain-wait", l.DrainPeriod, "`time` for which an instance that stops still takes requests, until balancers have seen /readyz")
	s.DurationVar(&l.StopTimeout, "stop-wait", l.StopTimeout, "longest `time` of a graceful stop")
	callFlags(s, &l.Calls)
	s.check("buffer-bytes", func() bool { return l.BufferBytes >= 1024 && l.BufferBytes <= 1<<20 }, "must be from 1024 to 1048576")
	s.check("keep-bytes", func() bool { return l.MaxKeptTextBytes >= 0 && l.MaxKeptTextBytes <= 1<<20 }, "must be from 0 to 1048576")
	s.check("workspace-bytes", func() bool { return l.WorkspaceBytes >= 1<<20 }, "must be at least 1048576")
	s.check("instance-bytes", func() bool { return l.InstanceBytes >= l.WorkspaceBytes }, "must be at least workspace-bytes")
	s.check("answer-bytes", func() bool { return l.MaxAnswerBytes >= 1024 && int64(l.MaxAnswerBytes) <= l.WorkspaceBytes }, "must be from 1024 to workspace-bytes")
	s.check("drain-wait", func() bool { return l.DrainPeriod >= 0 }, "must not be negative")
	for name, d := range map[string]*time.Duration{
		"reader-idle": &l.ReaderIdleTimeout, "detach-after": &l.DetachAfter, "upload-wait": &l.UploadTimeout, "header-wait": &l.HeaderTimeout,
		"keep-alive": &l.KeepAliveInterval, "resume-wait": &l.ResumeTimeout, "cursor-life": &l.CursorTTL, "stop-wait": &l.StopTimeout,
	} {
		s.check(name, func() bool { return *d >= time.Millisecond }, "must be at least 1ms")
	}
}

func callFlags(s *settings, l *server.CallLimits) {
	s.IntVar(&l.Shards, "claim-shards", l.Shards, "`number` of values that hold claims; all instances must agree on it")
	s.DurationVar(&l.Retention, "claim-retention", l.Retention, "`time` for which a claim and its result are held")
	s.DurationVar(&l.ClaimTimeout, "claim-wait", l.ClaimTimeout, "longest `time` that a claim waits for its write")
	s.DurationVar(&l.WriteSpacing, "claim-spacing", l.WriteSpacing, "mean `time` between the writes of a busy shard")
	s.DurationVar(&l.TicketTTL, "ticket-life", l.TicketTTL, "`time` for which a ticket is good")
	s.check("claim-shards", func() bool { return l.Shards >= 1 && l.Shards <= 1024 }, "must be from 1 to 1024")
	s.check("claim-retention", func() bool { return l.Retention >= time.Minute }, "must be at least 1m")
	s.check("claim-wait", func() bool { return l.ClaimTimeout >= 10*time.Millisecond }, "must be at least 10ms")
	s.check("claim-spacing", func() bool { return l.WriteSpacing >= 0 }, "must not be negative")
	s.check("ticket-life", func() bool { return l.TicketTTL > 0 }, "must be above 0")
}

func openLog(e Environment, path string) (io.Writer, func(), error) {
	if path == "-" {
		return e.Stdout, func() {}, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, &SettingError{Flag: "event-log", Value: path, Rule: "must be a file that can be written"}
	}
	return f, func() { _ = f.Close() }, nil
}

// runInstance runs an instance until the second signal, or the end of its graceful stop.
func runInstance(ctx context.Context, in *server.Server, network *peer.Network, slots *server.Slots, leaveWait time.Duration, withMetrics bool, metricsAt string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop, stopped := context.WithCancel(ctx)
	defer stopped()
	defer onSignals(ctx, stopped, cancel)()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		defer cancel()
		if err := in.Run(ctx, stop); err != nil || ctx.Err() != nil {
			return err
		}
		leave, done := context.WithTimeout(ctx, leaveWait)
		defer done()
		if err := slots.Leave(leave); err != nil {
			in.Log.Warn().Err(err).Dur("waited", leaveWait).Msg("the instance could not take itself off the roster; its slots come back when the others miss it")
		}
		return nil
	})
	g.Go(func() error { return slots.Run(ctx) })
	g.Go(func() error { return in.Pools.Run(ctx) })
	g.Go(func() error { return in.Admitter.(*server.SlotAdmitter).Run(ctx) })
	g.Go(func() error { return in.FollowCatalogue(ctx) })
	g.Go(func() error { return in.Versions.Run(ctx) })
	g.Go(func() error { return in.RunMembership(ctx) })
	if network != nil {
		g.Go(func() error { return network.Run(ctx) })
	}
	if withMetrics {
		g.Go(func() error { return serveMetrics(ctx, in, metricsAt) })
	}
	if err := g.Wait(); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// onSignals calls one function for each signal to end, in order, until ctx ends or the returned function is called.
func onSignals(ctx context.Context, calls ...context.CancelFunc) (end func()) {
	signals := make(chan os.Signal, len(calls))
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		for _, f := range calls {
			select {
			case <-signals:
				f()
			case <-ctx.Done():
				return
			}
		}
	}()
	return func() { signal.Stop(signals) }
}

func serveMetrics(ctx context.Context, in *server.Server, address string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		in.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /status", in.ServeStatus)
	server := &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "metrics")
	}
	return nil
}
