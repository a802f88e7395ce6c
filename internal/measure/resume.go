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
	// lossAtToken is the number of tokens that the first stream has received when its engine is lost.
	lossAtToken = resumeTokens / 3
	// maxExtraWait is the stated bound on the wait after a closed connection, in excess of the engine's own first-token time.
	maxExtraWait = 50 * time.Millisecond
	// maxSilentWait and maxSilentMedianWait are the stated bounds on the wait after a loss that closes no connection.
	maxSilentWait       = 3 * time.Second
	maxSilentMedianWait = time.Second
)

// engineLoss is one way in which an engine is lost.
type engineLoss struct {
	name  string
	cause func(e *standin.Engine)
	// silent is set if the instance gets no indication of the loss, such as a closed connection.
	silent bool
}

var engineLosses = []engineLoss{
	{"engine killed", func(e *standin.Engine) { e.Kill() }, false},
	{"connections silent", func(e *standin.Engine) { e.SetFaults(standin.Faults{SilenceConnections: true}) }, true},
	{"engine paused", func(e *standin.Engine) { e.SetFaults(standin.Faults{Pause: true}) }, true},
}

// measureResume measures the waits of callers and the cost of resuming, for one stream and for many.
func measureResume(ctx context.Context, seed uint64) ([]Row, error) {
	var rows []Row
	for _, loss := range engineLosses {
		for _, streams := range []int{1, resumeStreams} {
			for _, variant := range []string{Ours, Baseline} {
				caseRows, err := measureResumeCase(ctx, seed, loss, streams, variant)
				if err != nil {
					return nil, errors.Wrapf(err, "%s, %d streams, %s", loss.name, streams, variant)
				}
				rows = append(rows, caseRows...)
			}
		}
	}
	return rows, nil
}

// resumeResult holds the results of one round.
type resumeResult struct {
	// longestWaits holds the longest wait of each stream that lost its engine.
	longestWaits    []float64
	computedTokens  int
	deliveredTokens int
	wrongAnswers    int
}

func measureResumeCase(ctx context.Context, seed uint64, loss engineLoss, streams int, variant string) ([]Row, error) {
	var total resumeResult
	results := make([]resumeResult, resumeRounds)
	group, ctx := errgroup.WithContext(ctx)
	for round := range results {
		group.Go(func() (err error) {
			results[round], err = runResumeRound(ctx, seed+uint64(round), loss, streams, variant)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for _, r := range results {
		total.longestWaits = append(total.longestWaits, r.longestWaits...)
		total.computedTokens += r.computedTokens
		total.deliveredTokens += r.deliveredTokens
		total.wrongAnswers += r.wrongAnswers
	}
	caseName := fmt.Sprintf("%s, %d streams", loss.name, streams)
	waitRow := row(caseName, variant, "longest wait of a stream that lost its engine", "ms", total.longestWaits)
	computedRow := row(caseName, variant, "tokens computed per token delivered", "ratio", []float64{float64(total.computedTokens) / float64(total.deliveredTokens)})
	wrongRow := row(caseName, variant, "answers that differ from the undisturbed one", "count", []float64{float64(total.wrongAnswers)})
	if variant == Ours {
		firstToken := deployment.DefaultEngine().FirstToken
		if loss.silent {
			waitRow = waitRow.withTarget("half within 1 s, all within 3 s", waitRow.Median <= milliseconds(maxSilentMedianWait) && waitRow.Max <= milliseconds(maxSilentWait))
		} else {
			waitRow = waitRow.withTarget(fmt.Sprintf("median within first token (%v) + 50 ms", firstToken), waitRow.Median <= milliseconds(firstToken+maxExtraWait))
		}
		wrongRow = wrongRow.withTarget("0", total.wrongAnswers == 0)
	}
	return []Row{waitRow, computedRow, wrongRow}, nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// runResumeRound runs streams over six engines, loses one engine and reads all answers.
//
// The baseline keeps no delivered text, so each lost stream is computed again from
// its beginning.
func runResumeRound(ctx context.Context, seed uint64, loss engineLoss, streams int, variant string) (resumeResult, error) {
	limits := server.DefaultLimits()
	if variant == Baseline {
		limits.MaxKeptTextBytes = 0
	}
	d, err := deployment.Start(ctx, deployment.Config{Instances: 1, Engines: 6, EngineTemplate: deployment.DefaultEngine(), Limits: limits})
	if err != nil {
		return resumeResult{}, err
	}
	defer d.Close()
	var loseOnce sync.Once
	lostStreams := 0
	results := make([]caller.CompletionResult, streams)
	errs := make([]error, streams)
	var callers sync.WaitGroup
	for i := range streams {
		c := completion(d, seed*1000+uint64(i), resumeTokens)
		if i == 0 {
			c.OnToken = func(n int) {
				if n == lossAtToken {
					loseOnce.Do(func() {
						e := busiestEngine(d)
						lostStreams = e.Running()
						loss.cause(e)
					})
				}
			}
		}
		callers.Go(func() { results[i], errs[i] = c.Stream(ctx) })
	}
	callers.Wait()
	r := resumeResult{}
	for i, result := range results {
		if errs[i] != nil || result.Text != expectedText(completion(d, seed*1000+uint64(i), resumeTokens)) {
			r.wrongAnswers++
		}
		r.deliveredTokens += result.Tokens
		r.longestWaits = append(r.longestWaits, milliseconds(slices.Max(append(result.TokenIntervals[min(1, len(result.TokenIntervals)):], 0))))
	}
	// The streams of the lost engine are those with the longest waits.
	slices.Sort(r.longestWaits)
	r.longestWaits = r.longestWaits[len(r.longestWaits)-lostStreams:]
	for _, e := range d.Engines {
		r.computedTokens += e.Stats().Tokens
	}
	return r, nil
}

// busiestEngine returns the engine that has computed the most tokens, which runs the first stream.
func busiestEngine(d *deployment.Deployment) *standin.Engine {
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

// expectedText returns the answer that a completion must produce despite any loss.
func expectedText(c caller.Completion) string {
	return standin.AnswerText(&engine.Request{Model: c.Model, Version: "v1", Seed: c.Seed, Prompt: c.Prompt}, uint64(c.Tokens))
}
