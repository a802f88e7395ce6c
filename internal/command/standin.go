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

func standin(ctx context.Context, e Environment, args []string) error {
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
	s := newSettings(e, "standin platform", "Runs a stand-in for the platform's key-value service. POST /fault takes its faults as JSON.")
	listen := s.address("listen", "127.0.0.1:7000", "`address` to listen on")
	if err := s.read(args); err != nil {
		return err
	}
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", listen.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: (&platform.Service{}).Handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func standinEngine(ctx context.Context, e Environment, args []string) error {
	s := newSettings(e, "standin engine", "Runs a stand-in for a model engine. POST /fault takes its faults as JSON.")
	en := &engine.Engine{}
	listen := s.address("listen", "127.0.0.1:7100", "`address` to listen on")
	versions := s.String("versions", "v1", "`names` of the loaded versions, separated by commas")
	s.StringVar(&en.Model, "model", "ferry-llm", "`name` of the model")
	s.IntVar(&en.Slots, "slots", 8, "`number` of generations in the batch")
	s.IntVar(&en.MaxRequests, "limit", 16, "`number` of requests above which the engine falls over")
	s.DurationVar(&en.FirstToken, "first-token", 100*time.Millisecond, "`time` to the first token of an uncached prompt")
	s.DurationVar(&en.TokenInterval, "token-time", 20*time.Millisecond, "`time` between tokens")
	s.Float64Var(&en.Noise, "noise", 0, "`share` by which token times vary, from 0 to 1")
	s.DurationVar(&en.Linger, "linger", 5*time.Second, "`time` for which a generation without a reader runs on")
	s.DurationVar(&en.Retention, "keep", 30*time.Second, "`time` for which an ended generation is kept")
	s.IntVar(&en.CacheBlocks, "cache-blocks", 1024, "`number` of prefix blocks in the cache")
	s.Uint64Var(&en.Seed, "seed", 1, "`seed` of the noise")
	s.check("slots", func() bool { return en.Slots > 0 }, "must be at least 1")
	s.check("limit", func() bool { return en.MaxRequests >= en.Slots }, "must be at least the slots")
	s.check("noise", func() bool { return en.Noise >= 0 && en.Noise <= 1 }, "must be from 0 to 1")
	s.check("token-time", func() bool { return en.TokenInterval > 0 }, "must be above 0")
	s.check("versions", func() bool { return *versions != "" }, "must be given")
	if err := s.read(args); err != nil {
		return err
	}
	en.Listen, en.Versions = *listen, strings.Split(*versions, ",")
	return en.Run(ctx)
}

func standinService(ctx context.Context, e Environment, args []string) error {
	s := newSettings(e, "standin service", "Runs a stand-in for a plain service. POST /fault takes its faults as JSON.")
	sv := &service.Service{}
	listen := s.address("listen", "127.0.0.1:7200", "`address` to listen on")
	s.StringVar(&sv.Version, "version", "v1", "`name` of the version")
	s.IntVar(&sv.MaxCalls, "limit", 64, "`number` of calls above which the service falls over")
	s.check("limit", func() bool { return sv.MaxCalls > 0 }, "must be at least 1")
	if err := s.read(args); err != nil {
		return err
	}
	sv.Listen = *listen
	return sv.Run(ctx)
}
