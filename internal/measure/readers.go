package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/caller"
	"bambooferry.example/bambooferry/internal/deployment"
	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/generation"
)

const (
	// stoppedReaderCount is the number in the stated target. The baseline has fewer, because without limits each holds megabytes.
	stoppedReaderCount  = 1000
	baselineReaderCount = 200
	// readerTokens of readerTokenBytes make an answer of 1 MiB.
	readerTokens        = 1024
	readerTokenBytes    = 1024
	maxBytesPerReader   = 64 << 10
	steadyReaderCount   = 20
	steadyTokens        = 200
	steadyTokenInterval = 5 * time.Millisecond
	// maxSteadyRatio is the stated bound on the ratio of token times with stopped readers to those without.
	maxSteadyRatio = 1.1
	// readerTimeout only prevents a fault from blocking the run; the time that readers take is reported as a row.
	readerTimeout = 3 * time.Minute
	// settleTimeout limits the wait for held bytes that keep changing; those of the baseline did so for 30 s.
	settleTimeout = 5 * time.Second
	// pauseTimeout limits the wait until all streams are paused.
	pauseTimeout = 30 * time.Second
	// settledTime is the time without a change after which the held bytes count as final.
	settledTime = 400 * time.Millisecond
	noLimit     = 1 << 30
	// detachAfter is shorter than the default, so that a stopped reader occupies an engine connection only briefly.
	detachAfter = 200 * time.Millisecond
)

// measureReaders measures the memory held for stopped readers and their effect on others. The baseline's buffers are unlimited.
func measureReaders(ctx context.Context, seed uint64) ([]Row, error) {
	var rows []Row
	for _, variant := range []string{Ours, Baseline} {
		variantRows, err := measureStoppedReaders(ctx, seed, variant)
		if err != nil {
			return rows, errors.Wrap(err, variant)
		}
		rows = append(rows, variantRows...)
	}
	return rows, nil
}

func readerLimits(variant string) server.Limits {
	limits := server.DefaultLimits()
	limits.DetachAfter = detachAfter
	// All readers start at the same time; the resulting delays must not be taken for a silent engine.
	limits.SilenceTimeouts = generation.Timeouts{FirstToken: time.Minute, NextToken: time.Minute, Accept: time.Minute}
	if variant == Baseline {
		limits.BufferBytes, limits.MaxKeptTextBytes, limits.InstanceBytes, limits.WorkspaceBytes = noLimit, noLimit, 1<<40, 1<<40
	}
	return limits
}

// measureStoppedReaders runs one variant: steady readers alone, then beside readers that stop and later resume.
func measureStoppedReaders(ctx context.Context, seed uint64, variant string) ([]Row, error) {
	engine := &tokenSource{tokenBytes: readerTokenBytes, tokenInterval: steadyTokenInterval}
	if err := engine.start(ctx); err != nil {
		return nil, err
	}
	defer engine.close()
	limits := readerLimits(variant)
	d, err := deployment.Start(ctx, deployment.Config{
		Instances: 1, EngineTemplate: deployment.DefaultEngine(), Limits: limits,
		EditCatalogue: func(doc *catalogue.Document) {
			doc.Entries[0].Targets = []catalogue.Target{{
				Name: "source", Address: engine.address, DataCentre: deployment.DataCentre, Version: "v1", Slots: 10 * stoppedReaderCount,
			}}
		},
	})
	if err != nil {
		return nil, err
	}
	defer d.Close()
	intervalsWithout, wrongWithout, err := measureSteadyReaders(ctx, d, engine, seed)
	if err != nil {
		return nil, err
	}
	computedBefore := engine.computedTokens.Load()
	n := stoppedReaderCount
	if variant == Baseline {
		n = baselineReaderCount
	}
	stopped, err := startStoppedReaders(d.Instances[0].Address(), n, seed)
	defer closeReaders(stopped)
	if err != nil {
		return nil, err
	}
	if variant == Ours {
		waitUntilPaused(d, n)
	}
	held := waitForSettledBytes(d, n)
	paused := gauge(d.Instances[0], "bambooferry_paused_streams")
	intervalsWith, wrong, err := measureSteadyReaders(ctx, d, engine, seed+1)
	if err != nil {
		return nil, err
	}
	wrong += wrongWithout
	startedAt := time.Now()
	for _, ok := range resumeReading(stopped, engine) {
		if !ok {
			wrong++
		}
	}
	elapsed := time.Since(startedAt)
	computed := engine.computedTokens.Load() - computedBefore - steadyReaderCount*steadyTokens
	caseName := fmt.Sprintf("%d stopped readers", n)
	perReader := held / float64(n)
	ratioRow := row(caseName, variant, "token times of others, median with against without", "ratio", []float64{median(intervalsWith) / median(intervalsWithout)})
	perReaderRow := row(caseName, variant, "bytes counted per stopped reader", "KiB", []float64{perReader / 1024})
	totalRow := row(caseName, variant, "bytes counted of the instance's budget", "share", []float64{held / float64(server.DefaultLimits().InstanceBytes)})
	incompleteRow := row(caseName, variant, "answers that are not whole", "count", []float64{float64(wrong)})
	pausedRow := row(caseName, variant, "streams held back", "count", []float64{paused})
	if variant == Ours {
		ratioRow = ratioRow.withTarget("at most 1.1", ratioRow.Median <= maxSteadyRatio)
		perReaderRow = perReaderRow.withTarget("at most 64 KiB", perReader <= maxBytesPerReader)
		totalRow = totalRow.withTarget("at most 1", totalRow.Median <= 1)
		incompleteRow = incompleteRow.withTarget("0", wrong == 0)
		pausedRow = pausedRow.withTarget(fmt.Sprint(n), paused == float64(n))
	}
	return []Row{
		perReaderRow, totalRow, pausedRow,
		row(caseName, variant, "token times of others without stopped readers", "ms", intervalsWithout),
		row(caseName, variant, "token times of others with stopped readers", "ms", intervalsWith),
		ratioRow,
		row(caseName, variant, "token times of others, p99 with against without", "ratio", []float64{quantile(intervalsWith, 0.99) / quantile(intervalsWithout, 0.99)}),
		incompleteRow,
		row(caseName, variant, "tokens computed per token delivered", "ratio", []float64{float64(computed) / float64(n*readerTokens)}),
		row(caseName, variant, "time until all have read their answers", "s", []float64{elapsed.Seconds()}),
	}, nil
}

// gauge reads a gauge of an instance.
func gauge(in *deployment.Instance, name string) float64 {
	return in.Metrics.GetOrCreateGauge(name, nil).Get()
}

func median(samples []float64) float64 { return quantile(samples, 0.5) }

// quantile returns a sample with that share of the samples at or below it, and 0 without samples.
func quantile(samples []float64, q float64) float64 {
	if len(samples) == 0 {
		return 0
	}
	s := slices.Clone(samples)
	slices.Sort(s)
	return s[int(q*float64(len(s)-1))]
}

// waitUntilPaused waits until all streams are paused.
func waitUntilPaused(d *deployment.Deployment, streams int) {
	for startedAt := time.Now(); time.Since(startedAt) < pauseTimeout && gauge(d.Instances[0], "bambooferry_paused_streams") < float64(streams); {
		time.Sleep(20 * time.Millisecond)
	}
}

// waitForSettledBytes waits until the number of bytes held for the streams no longer changes and returns it.
func waitForSettledBytes(d *deployment.Deployment, streams int) float64 {
	in := d.Instances[0]
	last, since := -1.0, time.Now()
	for startedAt := time.Now(); time.Since(startedAt) < settleTimeout; time.Sleep(20 * time.Millisecond) {
		now := gauge(in, "bambooferry_held_bytes")
		if now != last || gauge(in, "bambooferry_streams_in_progress") != float64(streams) {
			last, since = now, time.Now()
		}
		if time.Since(since) > settledTime {
			break
		}
	}
	return last
}

// measureSteadyReaders returns the token intervals of readers that do not stop, and the number of wrong answers.
func measureSteadyReaders(ctx context.Context, d *deployment.Deployment, engine *tokenSource, seed uint64) ([]float64, int, error) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	var intervals []float64
	var firstErr error
	wrong := 0
	for i := range steadyReaderCount {
		callers.Go(func() {
			c := completion(d, seed, steadyTokens)
			c.Prompt = fmt.Sprintf("%s %d", steadyPrompt, i)
			var result caller.CompletionResult
			result, err := c.Stream(ctx)
			mu.Lock()
			defer mu.Unlock()
			if err != nil && firstErr == nil {
				firstErr = err
			}
			if result.Text != engine.answerText(c.Prompt, steadyTokens) {
				wrong++
			}
			for _, interval := range result.TokenIntervals[min(1, len(result.TokenIntervals)):] {
				intervals = append(intervals, milliseconds(interval))
			}
		})
	}
	callers.Wait()
	return intervals, wrong, firstErr
}

// stoppedReader is a caller with its own connection, which does not read before readRest is called.
type stoppedReader struct {
	conn   net.Conn
	prompt string
}

// startStoppedReaders sends n requests for streams without reading any response.
func startStoppedReaders(address netip.AddrPort, n int, seed uint64) ([]stoppedReader, error) {
	var readers []stoppedReader
	for i := range n {
		conn, err := net.Dial("tcp", address.String())
		if err != nil {
			return readers, err
		}
		r := stoppedReader{conn, fmt.Sprintf("stopped %d", i)}
		readers = append(readers, r)
		body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true,"seed":%d}`, deployment.ModelName, r.prompt, readerTokens, seed)
		if _, err := fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", deployment.APIKey, len(body), body); err != nil {
			return readers, err
		}
	}
	return readers, nil
}

func closeReaders(readers []stoppedReader) {
	for _, r := range readers {
		_ = r.conn.Close()
	}
}

// resumeReading reads all answers to their ends and reports for each whether it is complete and correct.
func resumeReading(readers []stoppedReader, engine *tokenSource) []bool {
	complete := make([]bool, len(readers))
	var group sync.WaitGroup
	for i, r := range readers {
		group.Go(func() { complete[i] = r.readRest() == engine.answerText(r.prompt, readerTokens) })
	}
	group.Wait()
	return complete
}

// readRest returns the text of the answer, or an empty string if it does not reach its end.
func (r stoppedReader) readRest() string {
	_ = r.conn.SetReadDeadline(time.Now().Add(readerTimeout))
	res, err := http.ReadResponse(bufio.NewReader(r.conn), nil)
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	var text strings.Builder
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String()
		}
		var ev struct{ Choices []struct{ Text string } }
		if json.Unmarshal([]byte(data), &ev) != nil || len(ev.Choices) != 1 {
			return ""
		}
		text.WriteString(ev.Choices[0].Text)
	}
	return ""
}
