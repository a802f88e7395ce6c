package deployment_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/deployment"
	standin "bambooferry.example/bambooferry/internal/standin/engine"
)

const (
	benchTokens  = 80
	faultAtToken = 50
)

// resumeResult holds the measurements of one stream with one fault.
type resumeResult struct {
	// firstToken is the engine's own time to the first token, longestWait the longest token interval after it.
	firstToken, longestWait time.Duration
	costs                   map[string]int64
}

func median[T int64 | time.Duration](list []T) T {
	slices.Sort(list)
	return list[len(list)/2]
}

func measureResume(b *testing.B, seed uint64, inject func(e *standin.Engine)) (r resumeResult) {
	eventLog := &eventBuffer{}
	d := startDeployment(b, 1, 4, func(cfg *deployment.Config) {
		cfg.Events = eventLog
		cfg.EngineTemplate.FirstToken, cfg.EngineTemplate.TokenInterval = 40*time.Millisecond, 10*time.Millisecond
	})
	defer d.Close()
	request := completion(d, seed)
	request.Tokens = benchTokens
	startedAt := time.Now()
	request.OnToken = func(n int) {
		switch n {
		case 1:
			r.firstToken = time.Since(startedAt)
		case faultAtToken:
			inject(busyEngine(b, d))
		}
	}
	result, err := request.Stream(context.Background())
	require.NoError(b, err)
	require.Equal(b, expectedText(request), result.Text)
	r.longestWait = slices.Max(result.TokenIntervals[1:])
	for _, ev := range eventLog.events(b) {
		if ev.Kind == "request_finished" {
			r.costs = ev.Inputs
		}
	}
	return r
}

// BenchmarkResume reports medians of the longest wait of a caller after a fault, and the cost of resuming for the engines.
func BenchmarkResume(b *testing.B) {
	for _, c := range []struct {
		name   string
		inject func(e *standin.Engine)
	}{
		{"closed", func(e *standin.Engine) { e.Kill() }},
		{"connection_silent", func(e *standin.Engine) { e.SetFaults(standin.Faults{SilenceConnections: true}) }},
		{"engine_paused", func(e *standin.Engine) { e.SetFaults(standin.Faults{Pause: true}) }},
	} {
		b.Run(c.name, func(b *testing.B) {
			var waits, waitsOverFirstToken []time.Duration
			var prefilled, discarded, heldTwice []int64
			for i := 0; b.Loop(); i++ {
				r := measureResume(b, uint64(i), c.inject)
				waits, waitsOverFirstToken = append(waits, r.longestWait), append(waitsOverFirstToken, r.longestWait-r.firstToken)
				prefilled, discarded, heldTwice = append(prefilled, r.costs["prefilled"]), append(discarded, r.costs["discarded"]), append(heldTwice, r.costs["doubled"])
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(median(waits).Microseconds())/1000, "median_wait_ms")
			b.ReportMetric(float64(slices.Max(waits).Microseconds())/1000, "longest_wait_ms")
			b.ReportMetric(float64(median(waitsOverFirstToken).Microseconds())/1000, "over_first_token_ms")
			b.ReportMetric(float64(median(prefilled)), "prefilled_tokens")
			b.ReportMetric(float64(median(discarded)), "discarded_tokens")
			b.ReportMetric(float64(median(heldTwice)), "slots_held_twice")
		})
	}
	b.Run("restart_from_the_beginning", restartBaseline)
}

// restartBaseline measures a caller that requests the whole answer again after its engine was lost.
func restartBaseline(b *testing.B) {
	var waits []time.Duration
	for i := 0; b.Loop(); i++ {
		d := startDeployment(b, 1, 1, func(cfg *deployment.Config) {
			cfg.EngineTemplate.FirstToken, cfg.EngineTemplate.TokenInterval = 40*time.Millisecond, 10*time.Millisecond
		})
		request := completion(d, uint64(i))
		request.Tokens = benchTokens
		startedAt, reached := time.Now(), time.Duration(0)
		request.OnToken = func(n int) {
			if n == faultAtToken+1 {
				reached = time.Since(startedAt)
			}
		}
		_, err := request.Stream(context.Background())
		require.NoError(b, err)
		waits = append(waits, reached)
		d.Close()
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(median(waits).Microseconds())/1000, "median_wait_ms")
	b.ReportMetric(faultAtToken, "recomputed_tokens")
}
