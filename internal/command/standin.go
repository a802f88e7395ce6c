package command

import (
	"context"
	"net"
	"net/http"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/standin/engine"
	"bambooferry.example/bambooferry/internal/standin/platform"
	"bambooferry.example/bambooferry/internal/standin/service"
)

func runStandin(ctx context.Context, e Environment, args []string) error {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	code := dispatch(ctx, e, "bambooferry standin", []Subcommand{
		{"platform", "the platform's key-value service and instance list", standinPlatform},
		{"engine", "a model engine", standinEngine},
		{"service", "a plain service", standinService},
	}, args)
	if code != exitOK {
		return &exitError{code}
	}
	return nil
}

func standinPlatform(ctx context.Context, e Environment, args []string) error {
	s := newSettings(e, "standin platform", "Runs a stand-in for the platform's key-value service. POST /fault sets its faults as JSON.")
	listen := s.addressFlag("listen", "127.0.0.1:7000", "`address` to listen on")
	if err := s.parseAndCheck(args); err != nil {
		return err
	}
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", listen.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	httpServer := &http.Server{Handler: (&platform.Service{}).Handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		_ = httpServer.Close()
	}()
	if err := httpServer.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func standinEngine(ctx context.Context, e Environment, args []string) error {
	s := newSettings(e, "standin engine", "Runs a stand-in for a model engine. POST /fault sets its faults as JSON.")
	eng := &engine.Engine{}
	listen := s.addressFlag("listen", "127.0.0.1:7100", "`address` to listen on")
	versions := s.String("versions", "v1", "`names` of the loaded versions, separated by commas")
	s.StringVar(&eng.Model, "model", "ferry-llm", "`name` of the model")
	s.IntVar(&eng.Slots, "slots", 8, "`number` of generations in a batch")
	s.IntVar(&eng.MaxRequests, "limit", 16, "`number` of concurrent requests above which the engine crashes")
	s.DurationVar(&eng.FirstToken, "first-token", 100*time.Millisecond, "`time` to the first token of an uncached prompt")
	s.DurationVar(&eng.TokenInterval, "token-time", 20*time.Millisecond, "`time` between tokens")
	s.Float64Var(&eng.Noise, "noise", 0, "`share` by which token times vary, from 0 to 1")
	s.DurationVar(&eng.Linger, "linger", 5*time.Second, "`time` for which a generation continues without a reader")
	s.DurationVar(&eng.Retention, "keep", 30*time.Second, "`time` for which an ended generation is kept")
	s.IntVar(&eng.CacheBlocks, "cache-blocks", 1024, "`number` of prefix blocks in the cache")
	s.Uint64Var(&eng.Seed, "seed", 1, "`seed` of the noise")
	s.addCheck("slots", func() bool { return eng.Slots > 0 }, "must be at least 1")
	s.addCheck("limit", func() bool { return eng.MaxRequests >= eng.Slots }, "must be at least -slots")
	s.addCheck("noise", func() bool { return eng.Noise >= 0 && eng.Noise <= 1 }, "must be from 0 to 1")
	s.addCheck("token-time", func() bool { return eng.TokenInterval > 0 }, "must be above 0")
	s.addCheck("versions", func() bool { return *versions != "" }, "must be given")
	if err := s.parseAndCheck(args); err != nil {
		return err
	}
	eng.Listen, eng.Versions = *listen, strings.Split(*versions, ",")
	return eng.Run(ctx)
}

func standinService(ctx context.Context, e Environment, args []string) error {
	s := newSettings(e, "standin service", "Runs a stand-in for a plain service. POST /fault sets its faults as JSON.")
	svc := &service.Service{}
	listen := s.addressFlag("listen", "127.0.0.1:7200", "`address` to listen on")
	s.StringVar(&svc.Version, "version", "v1", "`name` of the version")
	s.IntVar(&svc.MaxCalls, "limit", 64, "`number` of concurrent calls above which the service crashes")
	s.addCheck("limit", func() bool { return svc.MaxCalls > 0 }, "must be at least 1")
	if err := s.parseAndCheck(args); err != nil {
		return err
	}
	svc.Listen = *listen
	return svc.Run(ctx)
}
