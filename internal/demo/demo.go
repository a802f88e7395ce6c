package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"bambooferry.example/bambooferry/internal/caller"
	"bambooferry.example/bambooferry/internal/deployment"
	"bambooferry.example/bambooferry/internal/server"
	standin "bambooferry.example/bambooferry/internal/standin/engine"
	"bambooferry.example/bambooferry/pkg/engine"
)

// Result holds what one scenario showed.
type Result struct {
	Scenario  string `json:"scene"`
	Observed  string `json:"happened"`
	Guarantee string `json:"promise"`
	Kept      bool   `json:"held"`
}

// scenario demonstrates one guarantee on a running deployment.
type scenario struct {
	name      string
	guarantee string
	run       func(ctx context.Context, d *deployment.Deployment) (observed string, kept bool)
}

var scenarios = []scenario{
	{"engine killed in mid-answer", "every token once, in order, of one generation", killEngine},
	{"instance killed in mid-answer", "the caller goes on at another instance with exactly the rest", killInstance},
	{"booking sent twice", "it runs once and both callers get the same answer", bookTwice},
	{"booking while the key-value service is down", "the refusal is true, and its ticket runs the booking once", bookInOutage},
	{"bad version rolled back", "no caller's answer fails, the version's share stays small, and it gets nothing once it is found bad", badVersion},
}

// Run runs all scenarios and returns their results.
func Run(ctx context.Context) ([]Result, error) {
	d, err := deployment.Start(ctx, deployment.Config{
		Instances: 3, Engines: 4, Services: 1, EngineTemplate: deployment.DefaultEngine(), Limits: server.DefaultLimits(),
	})
	if err != nil {
		return nil, err
	}
	defer d.Close()
	var results []Result
	for _, s := range scenarios {
		observed, kept := s.run(ctx, d)
		results = append(results, Result{Scenario: s.name, Observed: observed, Guarantee: s.guarantee, Kept: kept})
	}
	return results, nil
}

// Print writes results as text or JSON and reports whether all guarantees were kept.
func Print(w io.Writer, results []Result, asJSON bool) bool {
	allKept := true
	for _, r := range results {
		allKept = allKept && r.Kept
		if asJSON {
			_ = json.NewEncoder(w).Encode(r)
			continue
		}
		verdict := "held"
		if !r.Kept {
			verdict = "BROKEN"
		}
		fmt.Fprintf(w, "%s\n  %s\n  promise: %s: %s\n", r.Scenario, r.Observed, r.Guarantee, verdict)
	}
	return allKept
}

const answerTokens = 60

// expectedText returns the answer that a completion must produce despite any fault.
func expectedText(c caller.Completion) string {
	return standin.AnswerText(&engine.Request{Model: c.Model, Version: "v1", Seed: c.Seed, Prompt: c.Prompt}, uint64(c.Tokens))
}

func completion(d *deployment.Deployment, seed uint64) caller.Completion {
	return caller.Completion{
		APIKey: deployment.APIKey, Model: deployment.ModelName, Prompt: "Summarise the rules of the Sunday market.",
		Tokens: answerTokens, Seed: seed, Instances: d.AddressesFrom(0), MaxAttempts: 5,
	}
}

// killEngine kills the engine that generates an answer once a third of the tokens has arrived.
func killEngine(ctx context.Context, d *deployment.Deployment) (string, bool) {
	c := completion(d, 1)
	killed := ""
	c.OnToken = func(n int) {
		if n != answerTokens/3 {
			return
		}
		for i, e := range d.Engines {
			if e.Stats().Tokens > 0 {
				killed = fmt.Sprintf("engine-%d", i)
				e.Kill()
			}
		}
	}
	result, err := c.Stream(ctx)
	return describeStream(result, err, "killed "+killed), err == nil && result.Text == expectedText(c) && killed != "" && result.Connections == 1
}

// killInstance kills the instance that streams an answer once a third of the tokens has arrived.
func killInstance(ctx context.Context, d *deployment.Deployment) (string, bool) {
	c := completion(d, 2)
	c.OnToken = func(n int) {
		if n == answerTokens/3 {
			d.Instances[0].Kill()
		}
	}
	result, err := c.Stream(ctx)
	return describeStream(result, err, "killed "+d.Instances[0].ID), err == nil && result.Text == expectedText(c) && result.Connections == 2
}

// describeStream summarises a streamed answer that a fault has disturbed.
func describeStream(result caller.CompletionResult, err error, event string) string {
	longest := time.Duration(0)
	for _, interval := range result.TokenIntervals {
		longest = max(longest, interval)
	}
	s := fmt.Sprintf("%s after %d tokens; the caller got %d tokens over %d connections, longest wait %d ms", event, answerTokens/3, result.Tokens, result.Connections, longest.Milliseconds())
	if err != nil {
		s += "; error: " + err.Error()
	}
	return s
}
