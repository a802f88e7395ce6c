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

// Result tells what one scene showed.
type Result struct {
	Scenario  string `json:"scene"`
	Observed  string `json:"happened"`
	Guarantee string `json:"promise"`
	Kept      bool   `json:"held"`
}

// scene shows one promise on a running deployment.
type scene struct {
	name    string
	promise string
	play    func(ctx context.Context, d *deployment.Deployment) (happened string, held bool)
}

var scenes = []scene{
	{"engine killed in mid-answer", "every token once, in order, of one generation", killEngine},
	{"instance killed in mid-answer", "the caller goes on at another instance with exactly the rest", killInstance},
	{"booking sent twice", "it runs once and both callers get the same answer", bookTwice},
	{"booking while the key-value service is down", "the refusal is true, and its ticket runs the booking once", bookInOutage},
	{"bad version rolled back", "no caller's answer fails, the version's share stays small, and it gets nothing once it is found bad", badVersion},
}

// Run plays all scenes and returns their results.
func Run(ctx context.Context) ([]Result, error) {
	d, err := deployment.Start(ctx, deployment.Config{
		Instances: 3, Engines: 4, Services: 1, EngineTemplate: deployment.DefaultEngine(), Limits: server.DefaultLimits(),
	})
	if err != nil {
		return nil, err
	}
	defer d.Close()
	var results []Result
	for _, s := range scenes {
		happened, held := s.play(ctx, d)
		results = append(results, Result{Scenario: s.name, Observed: happened, Guarantee: s.promise, Kept: held})
	}
	return results, nil
}

// Print writes results as text or JSON and reports whether all promises held.
func Print(w io.Writer, results []Result, asJSON bool) bool {
	all := true
	for _, r := range results {
		all = all && r.Kept
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
	return all
}

const demoTokens = 60

// expected returns the undisturbed answer that a completion must bring.
func expected(c caller.Completion) string {
	return standin.AnswerText(&engine.Request{Model: c.Model, Version: "v1", Seed: c.Seed, Prompt: c.Prompt}, uint64(c.Tokens))
}

func completion(d *deployment.Deployment, seed uint64) caller.Completion {
	return caller.Completion{
		APIKey: deployment.APIKey, Model: deployment.ModelName, Prompt: "Summarise the rules of the Sunday market.",
		Tokens: demoTokens, Seed: seed, Instances: d.AddressesFrom(0), MaxAttempts: 5,
	}
}

func killEngine(ctx context.Context, d *deployment.Deployment) (string, bool) {
	c := completion(d, 1)
	killed := ""
	c.OnToken = func(n int) {
		if n != demoTokens/3 {
			return
		}
		for i, e := range d.Engines {
			if e.Stats().Tokens > 0 {
				killed = fmt.Sprintf("engine-%d", i)
				e.Kill()
			}
		}
	}
	a, err := c.Stream(ctx)
	return describe(a, err, "killed "+killed), err == nil && a.Text == expected(c) && killed != "" && a.Connections == 1
}

func killInstance(ctx context.Context, d *deployment.Deployment) (string, bool) {
	c := completion(d, 2)
	c.OnToken = func(n int) {
		if n == demoTokens/3 {
			d.Instances[0].Kill()
		}
	}
	a, err := c.Stream(ctx)
	return describe(a, err, "killed "+d.Instances[0].ID), err == nil && a.Text == expected(c) && a.Connections == 2
}

func describe(a caller.CompletionResult, err error, what string) string {
	longest := time.Duration(0)
	for _, g := range a.TokenIntervals {
		longest = max(longest, g)
	}
	s := fmt.Sprintf("%s after %d tokens; the caller got %d tokens over %d connections, longest wait %d ms", what, demoTokens/3, a.Tokens, a.Connections, longest.Milliseconds())
	if err != nil {
		s += "; error: " + err.Error()
	}
	return s
}
