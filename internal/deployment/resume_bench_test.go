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
	benchTokens = 80
	strikeAt    = 50
)

// resumeRun is what one stream with one fault showed.
type resumeRun struct {
	// first is the engine's own time to first token, wait the longest wait after it.
	first, wait time.Duration
	costs       map[string]int64
}

func median[T int64 | time.Duration](list []T) T {
	slices.Sort(list)
	return list[len(list)/2]
}

func resumeOnce(b *testing.B, seed uint64, strike func(e *standin.Engine)) (r resumeRun) {
	j := &journal{}
	d := start(b, 1, 4, func(p *deployment.Config) {
		p.Events = j
		p.EngineTemplate.FirstToken, p.EngineTemplate.TokenInterval = 40*time.Millisecond, 10*time.Millisecond
	})
	defer d.Close()
	q := completion(d, seed)
	q.Tokens = benchTokens
	begun := time.Now()
	q.OnToken = func(n int) {
		switch n {
		case 1:
			r.first = time.Since(begun)
		case strikeAt:
			strike(victim(b, d))
		}
	}
	a, err := q.Stream(context.Background())
	require.NoError(b, err)
	require.Equal(b, expected(q), a.Text)
	r.wait = slices.Max(a.TokenIntervals[1:])
	for _, ev := range j.events(b) {
		if ev.Kind == "request_finished" {
			r.costs = ev.Inputs
		}
	}
	return r
}

// BenchmarkResume reports medians of the longest wait that a caller sees after a fault, and what it costs the engines.
func BenchmarkResume(b *testing.B) {
	for _, c := range []struct {
		name   string
		strike func(e *standin.Engine)
	}{
		{"closed", func(e *standin.Engine) { e.Kill() }},
		{"connection_silent", func(e *standin.Engine) { e.SetFaults(standin.Faults{SilenceConnections: true}) }},
		{"engine_paused", func(e *standin.Engine) { e.SetFaults(standin.Faults{Pause: true}) }},
	} {
		b.Run(c.name, func(b *testing.B) {
			var waits, extra []time.Duration
			var prefilled, discarded, doubled []int64
			for i := 0; b.Loop(); i++ {
				r := resumeOnce(b, uint64(i), c.strike)
				waits, extra = append(waits, r.wait), append(extra, r.wait-r.first)
				prefilled, discarded, doubled = append(prefilled, r.costs["prefilled"]), append(discarded, r.costs["discarded"]), append(doubled, r.costs["doubled"])
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(median(waits).Microseconds())/1000, "median_wait_ms")
			b.ReportMetric(float64(slices.Max(waits).Microseconds())/1000, "longest_wait_ms")
			b.ReportMetric(float64(median(extra).Microseconds())/1000, "over_first_token_ms")
			b.ReportMetric(float64(median(prefilled)), "prefilled_tokens")
			b.ReportMetric(float64(median(discarded)), "discarded_tokens")
			b.ReportMetric(float64(median(doubled)), "slots_held_twice")
		})
	}
	b.Run("restart_from_the_beginning", restartBaseline)
}

// restartBaseline measures a caller that asks for the whole answer again after its engine closed.
func restartBaseline(b *testing.B) {
	var waits []time.Duration
	for i := 0; b.Loop(); i++ {
		d := start(b, 1, 1, func(p *deployment.Config) {
			p.EngineTemplate.FirstToken, p.EngineTemplate.TokenInterval = 40*time.Millisecond, 10*time.Millisecond
		})
		q := completion(d, uint64(i))
		q.Tokens = benchTokens
		begun, reached := time.Now(), time.Duration(0)
		q.OnToken = func(n int) {
			if n == strikeAt+1 {
				reached = time.Since(begun)
			}
		}
		_, err := q.Stream(context.Background())
		require.NoError(b, err)
		waits = append(waits, reached)
		d.Close()
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(median(waits).Microseconds())/1000, "median_wait_ms")
	b.ReportMetric(strikeAt, "recomputed_tokens")
}
