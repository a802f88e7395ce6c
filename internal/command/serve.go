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
	// defaultLeaveTimeout plus the drain period stays below the 8 s after which platforms kill a
	// process that was asked to stop.
	defaultLeaveTimeout = 3 * time.Second
)

func runServe(ctx context.Context, e Environment, args []string) error {
	s := newSettings(e, "serve", "Runs an entry instance. SIGTERM stops it gracefully, a second SIGTERM immediately.")
	id := s.String("id", "", "`name` of the instance; its address if empty")
	listen := s.addressFlag("listen", "127.0.0.1:8080", "`address` for callers")
	dataCentre := s.String("data-centre", "", "`name` of the instance's data centre")
	service := s.addressFlag("platform", "", "`address` of the platform's key-value service")
	metricsAddress := s.addressFlag("metrics-listen", "", "`address` for metrics; none if empty")
	eventLog := s.String("event-log", "-", "`file` for the event log; - is standard output")
	cursorKeys := s.keyFileFlag("cursor-key-file", "`file` with the deployment's cursor keys in hexadecimal, newest first")
	keepWarm := s.Duration("version-warm", version.DefaultLimits().KeepWarm, "`time` for which the old version is kept loaded after a version change is done")
	maxConcurrentLoads := s.Int("store-loads", 2, "`number` of loads that the weight store serves concurrently")
	s.addCheck("version-warm", func() bool { return *keepWarm > 0 }, "must be above 0")
	s.addCheck("store-loads", func() bool { return *maxConcurrentLoads > 0 }, "must be at least 1")
	routing := s.String("routing", server.DefaultRouting, "`policy` by which targets are chosen: "+strings.Join(policy.Names(), ", "))
	s.addCheck("routing", func() bool { return slices.Contains(policy.Names(), *routing) }, "must be one of "+strings.Join(policy.Names(), ", "))
	leaveTimeout := s.Duration("leave-wait", defaultLeaveTimeout, "longest `time` that a stopping instance may take to remove itself from the roster")
	s.addCheck("leave-wait", func() bool { return *leaveTimeout >= time.Millisecond }, "must be at least 1ms")
	peers := addPeerFlags(s)
	limits := server.DefaultLimits()
	addLimitFlags(s, &limits)
	s.addCheck("data-centre", func() bool { return *dataCentre != "" }, "must be given")
	s.addCheck("platform", func() bool { return service.IsValid() }, "must be given")
	if err := s.parseAndCheck(args); err != nil {
		return err
	}
	out, closeLog, err := openEventLog(e, *eventLog)
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
	store := &platform.Client{Address: *service, HTTP: platform.NewHTTPClient(), Timeout: platformTimeout}
	inst := &server.Server{
		ID: *id, Incarnation: time.Now().UnixNano(), DataCentre: *dataCentre, Listener: ln,
		Store:   store,
		Lister:  store,
		Signer:  generation.CursorSigner{Keys: *cursorKeys},
		Board:   blackboard.New(),
		Log:     zerolog.New(e.Stderr).With().Timestamp().Logger(),
		Limits:  limits,
		Client:  server.NewClient(dialTimeout),
		Metrics: metrics.NewSet(),
	}
	inst.Events = &timeline.Writer{Out: out, Instance: inst.ID, Incarnation: inst.Incarnation, Clock: &timeline.Clock{}, QueueBytes: timeline.DefaultQueueBytes}
	inst.Versions = server.NewVersions(inst, store)
	inst.Versions.Limits.KeepWarm, inst.Versions.MaxConcurrentLoads = *keepWarm, *maxConcurrentLoads
	network, err := peers.listenForPeers(ctx, inst)
	if err != nil {
		return err
	}
	if err := inst.InitMembership(); err != nil {
		return errors.Wrap(err, "members")
	}
	slots, err := newSlots(inst, store, *routing)
	if err != nil {
		return err
	}
	flusher := startEventLog(inst)
	err = runInstance(ctx, inst, network, slots, *leaveTimeout, metricsAddress.IsValid(), metricsAddress.String())
	closeEventLog(inst, flusher, err)
	return err
}

// newSlots sets up the slots, which enforce the limits that apply across all instances, and the
// instance's routing and admission.
func newSlots(inst *server.Server, store *platform.Client, routing string) (*server.Slots, error) {
	slots := &server.Slots{
		Self: slot.Key{ID: inst.ID, Incarnation: inst.Incarnation}, Address: inst.PeerAddress, Store: store, Peers: inst.Peers,
		Board: inst.Board, Events: inst.Events, Metrics: inst.Metrics, Log: inst.Log, Times: server.DefaultSlotTimes(),
	}
	if inst.Peers == nil {
		slots.Address = inst.Address()
		inst.Log.Warn().Msg("slots: -peer-listen is not set. This must be the only instance.")
	}
	pools := &server.Pools{Policy: routing, Seed: uint64(inst.Incarnation), Slots: slots, Board: inst.Board, Client: inst.Client, Metrics: inst.Metrics}
	slotRouter := &server.SlotRouter{Slots: slots, Board: inst.Board, Pools: pools}
	router := &server.VersionRouter{Router: slotRouter, Board: inst.Board}
	admitter := server.NewSlotAdmitter(slots, router)
	slotRouter.OnSlotFreed = admitter.SlotFreed
	inst.Router, inst.Admitter, inst.Pools = router, admitter, pools
	return slots, errors.Wrap(slots.Init(), "slots")
}

func addLimitFlags(s *settings, l *server.Limits) {
	s.IntVar(&l.BufferBytes, "buffer-bytes", l.BufferBytes, "undelivered `bytes` held for one stream")
	s.IntVar(&l.MaxKeptTextBytes, "keep-bytes", l.MaxKeptTextBytes, "delivered `bytes` kept for one stream to continue it on another engine")
	s.Int64Var(&l.WorkspaceBytes, "workspace-bytes", l.WorkspaceBytes, "`bytes` held for the streams of one workspace")
	s.Int64Var(&l.InstanceBytes, "instance-bytes", l.InstanceBytes, "`bytes` held for all streams")
	s.IntVar(&l.MaxAnswerBytes, "answer-bytes", l.MaxAnswerBytes, "largest size in `bytes` of a response that is not streamed")
	s.DurationVar(&l.ReaderIdleTimeout, "reader-idle", l.ReaderIdleTimeout, "longest `time` for which a caller may read nothing before its connection is closed")
	s.DurationVar(&l.DetachAfter, "detach-after", l.DetachAfter, "`time` after which the engine connection of a caller that stopped reading is closed")
	s.DurationVar(&l.UploadTimeout, "upload-wait", l.UploadTimeout, "longest `time` that a caller may take to send a body")
	s.DurationVar(&l.HeaderTimeout, "header-wait", l.HeaderTimeout, "longest `time` that a caller may take to send a header")
	s.DurationVar(&l.IdleTimeout, "idle-wait", l.IdleTimeout, "`time` for which a caller's connection is kept between requests")
	s.DurationVar(&l.KeepAliveInterval, "keep-alive", l.KeepAliveInterval, "`time` without output after which a comment is sent in a streamed response")
	s.DurationVar(&l.ResumeTimeout, "resume-wait", l.ResumeTimeout, "longest `time` without a token before a stream fails")
	s.DurationVar(&l.CursorTTL, "cursor-life", l.CursorTTL, "`time` for which a cursor is valid")
	s.DurationVar(&l.DrainPeriod, "drain-wait", l.DrainPeriod, "`time` for which a stopping instance still accepts requests, until load balancers have seen /readyz")
	s.DurationVar(&l.StopTimeout, "stop-wait", l.StopTimeout, "longest `time` of a graceful stop")
	addCallFlags(s, &l.Calls)
	s.addCheck("buffer-bytes", func() bool { return l.BufferBytes >= 1024 && l.BufferBytes <= 1<<20 }, "must be from 1024 to 1048576")
	s.addCheck("keep-bytes", func() bool { return l.MaxKeptTextBytes >= 0 && l.MaxKeptTextBytes <= 1<<20 }, "must be from 0 to 1048576")
	s.addCheck("workspace-bytes", func() bool { return l.WorkspaceBytes >= 1<<20 }, "must be at least 1048576")
	s.addCheck("instance-bytes", func() bool { return l.InstanceBytes >= l.WorkspaceBytes }, "must be at least workspace-bytes")
	s.addCheck("answer-bytes", func() bool { return l.MaxAnswerBytes >= 1024 && int64(l.MaxAnswerBytes) <= l.WorkspaceBytes }, "must be from 1024 to workspace-bytes")
	s.addCheck("drain-wait", func() bool { return l.DrainPeriod >= 0 }, "must not be negative")
	for name, d := range map[string]*time.Duration{
		"reader-idle": &l.ReaderIdleTimeout, "detach-after": &l.DetachAfter, "upload-wait": &l.UploadTimeout, "header-wait": &l.HeaderTimeout, "idle-wait": &l.IdleTimeout,
		"keep-alive": &l.KeepAliveInterval, "resume-wait": &l.ResumeTimeout, "cursor-life": &l.CursorTTL, "stop-wait": &l.StopTimeout,
	} {
		s.addCheck(name, func() bool { return *d >= time.Millisecond }, "must be at least 1ms")
	}
}

func addCallFlags(s *settings, l *server.CallLimits) {
	s.IntVar(&l.Shards, "claim-shards", l.Shards, "`number` of values that hold claims; it must be the same at all instances")
	s.DurationVar(&l.Retention, "claim-retention", l.Retention, "`time` for which a claim and its result are kept")
	s.DurationVar(&l.ClaimTimeout, "claim-wait", l.ClaimTimeout, "longest `time` that a claim waits for its write")
	s.DurationVar(&l.WriteSpacing, "claim-spacing", l.WriteSpacing, "mean `time` between the writes of a busy shard")
	s.DurationVar(&l.TicketTTL, "ticket-life", l.TicketTTL, "`time` for which a ticket is valid")
	s.addCheck("claim-shards", func() bool { return l.Shards >= 1 && l.Shards <= 1024 }, "must be from 1 to 1024")
	s.addCheck("claim-retention", func() bool { return l.Retention >= time.Minute }, "must be at least 1m")
	s.addCheck("claim-wait", func() bool { return l.ClaimTimeout >= 10*time.Millisecond }, "must be at least 10ms")
	s.addCheck("claim-spacing", func() bool { return l.WriteSpacing >= 0 }, "must not be negative")
	s.addCheck("ticket-life", func() bool { return l.TicketTTL > 0 }, "must be above 0")
}

func openEventLog(e Environment, path string) (io.Writer, func(), error) {
	if path == "-" {
		return e.Stdout, func() {}, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, &SettingError{Flag: "event-log", Value: path, Rule: "must be a writable file"}
	}
	return f, func() { _ = f.Close() }, nil
}

// runInstance runs an instance until its graceful stop is complete or a second signal arrives.
func runInstance(ctx context.Context, inst *server.Server, network *peer.Network, slots *server.Slots, leaveTimeout time.Duration, withMetrics bool, metricsAddress string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopCtx, beginStop := context.WithCancel(ctx)
	defer beginStop()
	defer callOnSignals(ctx, beginStop, cancel)()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		defer cancel()
		if err := inst.Run(ctx, stopCtx); err != nil || ctx.Err() != nil {
			return err
		}
		leaveCtx, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
		defer cancelLeave()
		if err := slots.Leave(leaveCtx); err != nil {
			inst.Log.Warn().Err(err).Dur("waited", leaveTimeout).Msg("the instance could not remove itself from the roster; its slots are reassigned when the other instances detect its absence")
		}
		return nil
	})
	g.Go(func() error { return slots.Run(ctx) })
	g.Go(func() error { return inst.Pools.Run(ctx) })
	g.Go(func() error { return inst.Admitter.(*server.SlotAdmitter).Run(ctx) })
	g.Go(func() error { return inst.FollowCatalogue(ctx) })
	g.Go(func() error { return inst.Versions.Run(ctx) })
	g.Go(func() error { return inst.RunMembership(ctx) })
	if network != nil {
		g.Go(func() error { return network.Run(ctx) })
	}
	if withMetrics {
		g.Go(func() error { return serveMetrics(ctx, inst, metricsAddress) })
	}
	if err := g.Wait(); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// callOnSignals calls the functions in order, one for each SIGINT or SIGTERM, until ctx ends. The returned
// function stops the delivery of signals.
func callOnSignals(ctx context.Context, funcs ...context.CancelFunc) (end func()) {
	signals := make(chan os.Signal, len(funcs))
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		for _, f := range funcs {
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

func serveMetrics(ctx context.Context, inst *server.Server, address string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		inst.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /status", inst.ServeStatus)
	httpServer := &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		_ = httpServer.Close()
	}()
	if err := httpServer.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "metrics")
	}
	return nil
}
