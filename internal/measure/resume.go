package measure

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"bambooferry.example/bambooferry/internal/caller"
	"bambooferry.example/bambooferry/internal/deployment"
	"bambooferry.example/bambooferry/internal/server"
	standin "bambooferry.example/bambooferry/internal/standin/engine"
	"bambooferry.example/bambooferry/pkg/engine"
)

const (
	resumeTokens  = 60
	resumeStreams = 24
	resumeRounds  = 5
	// lossAt is the number of tokens that the first stream has when its engine is lost.
	lossAt = resumeTokens / 3
	// resumeBound is the stated wait above the engine's own first-token time after a closed connection.
	resumeBound = 50 * time.Millisecond
	silentAll   = 3 * time.Second
	silentHalf  = time.Second
)

// loss is one way in which an engine is lost.
type loss struct {
	name string
	do   func(e *standin.Engine)
	// silent is set when nothing tells the instance of the loss.
	silent bool
}

var losses = []loss{
	{"engine killed", func(e *standin.Engine) { e.Kill() }, false},
	{"connections silent", func(e *standin.Engine) { e.SetFaults(standin.Faults{SilenceConnections: true}) }, true},
	{"engine paused", func(e *standin.Engine) { e.SetFaults(standin.Faults{Pause: true}) }, true},
}

// resume measures the wait of callers and the cost of resuming, for one stream and for many.
func resume(ctx context.Context, seed uint64) ([]Row, error) {
	var rows []Row
	for _, l := range losses {
		for _, streams := range []int{1, resumeStreams} {
			for _, variant := range []string{Ours, Baseline} {
				got, err := resumeCase(ctx, seed, l, streams, variant)
				if err != nil {
					return nil, errors.Wrapf(err, "%s, %d streams, %s", l.name, streams, variant)
				}
				rows = append(rows, got...)
			}
		}
	}
	return rows, nil
}

// resumeResult is what one round showed.
type resumeResult struct {
	waits    []float64
	computed int
	wanted   int
	wrong    int
}

func resumeCase(ctx context.Context, seed uint64, l loss, streams int, variant string) ([]Row, error) {
	var all resumeResult
	results := make([]resumeResult, resumeRounds)
	group, ctx := errgroup.WithContext(ctx)
	for round := range results {
		group.Go(func() (err error) {
			results[round], err = resumeRound(ctx, seed+uint64(round), l, streams, variant)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for _, r := range results {
		all.waits = append(all.waits, r.waits...)
		all.computed += r.computed
		all.wanted += r.wanted
		all.wrong += r.wrong
	}
	name := fmt.Sprintf("%s, %d streams", l.name, streams)
	wait := row(name, variant, "longest wait of a stream that lost its engine", "ms", all.waits)
	extra := row(name, variant, "tokens computed per token delivered", "ratio", []float64{float64(all.computed) / float64(all.wanted)})
	wrong := row(name, variant, "answers that differ from the undisturbed one", "count", []float64{float64(all.wrong)})
	if variant == Ours {
		first := deployment.DefaultEngine().FirstToken
		if l.silent {
			wait = wait.bound("half within 1 s, all within 3 s", wait.Median <= ms(silentHalf) && wait.Max <= ms(silentAll))
		} else {
			wait = wait.bound(fmt.Sprintf("median within first token (%v) + 50 ms", first), wait.Median <= ms(first+resumeBound))
		}
		wrong = wrong.bound("0", all.wrong == 0)
	}
	return []Row{wait, extra, wrong}, nil
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// resumeRound runs streams over six engines, loses one engine and reads all answers.
//
// The baseline keeps no delivered text, so that each lost stream is computed again
// from its beginning.
func resumeRound(ctx context.Context, seed uint64, l loss, streams int, variant string) (resumeResult, error) {
	limits := server.DefaultLimits()
	if variant == Baseline {
		limits.MaxKeptTextBytes = 0
	}
	d, err := deployment.Start(ctx, deployment.Config{Instances: 1, Engines: 6, EngineTemplate: deployment.DefaultEngine(), Limits: limits})
	if err != nil {
		return resumeResult{}, err
	}
	defer d.Close()
	var once sync.Once
	lost := 0
	answers := make([]caller.CompletionResult, streams)
	errs := make([]error, streams)
	var group sync.WaitGroup
	for i := range streams {
		c := completion(d, seed*1000+uint64(i), resumeTokens)
		if i == 0 {
			c.OnToken = func(n int) {
				if n == lossAt {
					once.Do(func() {
						e := busiest(d)
						lost = e.Running()
						l.do(e)
					})
				}
			}
		}
		group.Go(func() { answers[i], errs[i] = c.Stream(ctx) })
	}
	group.Wait()
	r := resumeResult{}
	for i, a := range answers {
		if errs[i] != nil || a.Text != undisturbed(completion(d, seed*1000+uint64(i), resumeTokens)) {
			r.wrong++
		}
		r.wanted += a.Tokens
		r.waits = append(r.waits, ms(slices.Max(append(a.TokenIntervals[min(1, len(a.TokenIntervals)):], 0))))
	}
	// The streams of the lost engine are those that waited longest.
	slices.Sort(r.waits)
	r.waits = r.waits[len(r.waits)-lost:]
	for _, e := range d.Engines {
		r.computed += e.Stats().Tokens
	}
	return r, nil
}

// busiest returns the engine that has computed most tokens, which runs the first stream.
func busiest(d *deployment.Deployment) *standin.Engine {
	best := d.Engines[0]
	for _, e := range d.Engines {
		if e.Stats().Tokens > best.Stats().Tokens {
			best = e
		}
	}
	return best
}

func completion(d *deployment.Deployment, seed uint64, tokens int) caller.Completion {
	return caller.Completion{
		APIKey: deployment.APIKey, Model: deployment.ModelName, Prompt: "Summarise the rules of the Sunday market.",
		Tokens: tokens, Seed: seed, Instances: d.AddressesFrom(0), MaxAttempts: 5,
	}
}

// undisturbed returns the text that a completion must bring.
func undisturbed(c caller.Completion) string {
	return standin.AnswerText(&engine.Request{Model: c.Model, Version: "v1", Seed: c.Seed, Prompt: c.Prompt}, uint64(c.Tokens))
}
