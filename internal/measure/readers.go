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
	// stoppedReaders is the number of the stated target; without a bound each holds megabytes.
	stoppedReaders  = 1000
	baselineReaders = 200
	// readerTokens of readerTokenBytes make an answer of 1 MiB.
	readerTokens     = 1024
	readerTokenBytes = 1024
	readerTarget     = 64 << 10
	steadyReaders    = 20
	steadyTokens     = 200
	steadyGap        = 5 * time.Millisecond
	// steadyRatio is the stated bound of token times beside stopped readers to those without.
	steadyRatio = 1.1
	// readerWait only keeps a fault from stopping the run; the time that readers take is a row.
	readerWait = 3 * time.Minute
	// settleWait bounds the wait for held bytes that go on changing; the baseline's did for 30 s.
	settleWait = 5 * time.Second
	// stopWait bounds the wait until all streams are held back.
	stopWait = 30 * time.Second
	// settled is the time without a change after which the held bytes count as final.
	settled   = 400 * time.Millisecond
	unbounded = 1 << 30
	// detachAfter is shorter than the default, so that stopped readers cost an engine connection only briefly.
	detachAfter = 200 * time.Millisecond
)

// readers measures what stopped readers hold and what they cost others; the baseline's buffers have no bound.
func readers(ctx context.Context, seed uint64) ([]Row, error) {
	var rows []Row
	for _, variant := range []string{Ours, Baseline} {
		got, err := stoppedCase(ctx, seed, variant)
		if err != nil {
			return rows, errors.Wrap(err, variant)
		}
		rows = append(rows, got...)
	}
	return rows, nil
}

func readerLimits(variant string) server.Limits {
	l := server.DefaultLimits()
	l.DetachAfter = detachAfter
	// All readers begin at once, which must not be taken for a silent engine.
	l.SilenceTimeouts = generation.Timeouts{FirstToken: time.Minute, NextToken: time.Minute, Accept: time.Minute}
	if variant == Baseline {
		l.BufferBytes, l.MaxKeptTextBytes, l.InstanceBytes, l.WorkspaceBytes = unbounded, unbounded, 1<<40, 1<<40
	}
	return l
}

func stoppedCase(ctx context.Context, seed uint64, variant string) ([]Row, error) {
	src := &source{tokenBytes: readerTokenBytes, gap: steadyGap}
	if err := src.start(ctx); err != nil {
		return nil, err
	}
	defer src.close()
	limits := readerLimits(variant)
	d, err := deployment.Start(ctx, deployment.Config{
		Instances: 1, EngineTemplate: deployment.DefaultEngine(), Limits: limits,
		EditCatalogue: func(doc *catalogue.Document) {
			doc.Entries[0].Targets = []catalogue.Target{{
				Name: "source", Address: src.address, DataCentre: deployment.DataCentre, Version: "v1", Slots: 10 * stoppedReaders,
			}}
		},
	})
	if err != nil {
		return nil, err
	}
	defer d.Close()
	without, wrongSteady, err := steadyTimes(ctx, d, src, seed)
	if err != nil {
		return nil, err
	}
	before := src.computed.Load()
	n := stoppedReaders
	if variant == Baseline {
		n = baselineReaders
	}
	stopped, err := stopReaders(d.Instances[0].Address(), n, seed)
	defer closeReaders(stopped)
	if err != nil {
		return nil, err
	}
	if variant == Ours {
		waitPaused(d, n)
	}
	held := settledBytes(d, n)
	paused := gauge(d.Instances[0], "bambooferry_paused_streams")
	with, wrong, err := steadyTimes(ctx, d, src, seed+1)
	if err != nil {
		return nil, err
	}
	wrong += wrongSteady
	begun := time.Now()
	for _, ok := range readAgain(stopped, src) {
		if !ok {
			wrong++
		}
	}
	took := time.Since(begun)
	computed := src.computed.Load() - before - steadyReaders*steadyTokens
	name := fmt.Sprintf("%d stopped readers", n)
	each := held / float64(n)
	ratio := row(name, variant, "token times of others, median with against without", "ratio", []float64{middle(with) / middle(without)})
	perReader := row(name, variant, "bytes counted per stopped reader", "KiB", []float64{each / 1024})
	total := row(name, variant, "bytes counted of the instance's budget", "share", []float64{held / float64(server.DefaultLimits().InstanceBytes)})
	whole := row(name, variant, "answers that are not whole", "count", []float64{float64(wrong)})
	heldBack := row(name, variant, "streams held back", "count", []float64{paused})
	if variant == Ours {
		ratio = ratio.bound("at most 1.1", ratio.Median <= steadyRatio)
		perReader = perReader.bound("at most 64 KiB", each <= readerTarget)
		total = total.bound("at most 1", total.Median <= 1)
		whole = whole.bound("0", wrong == 0)
		heldBack = heldBack.bound(fmt.Sprint(n), paused == float64(n))
	}
	return []Row{
		perReader, total, heldBack,
		row(name, variant, "token times of others without stopped readers", "ms", without),
		row(name, variant, "token times of others with stopped readers", "ms", with),
		ratio,
		row(name, variant, "token times of others, p99 with against without", "ratio", []float64{quantile(with, 0.99) / quantile(without, 0.99)}),
		whole,
		row(name, variant, "tokens computed per token delivered", "ratio", []float64{float64(computed) / float64(n*readerTokens)}),
		row(name, variant, "time until all have read their answers", "s", []float64{took.Seconds()}),
	}, nil
}

// gauge reads a gauge of an instance.
func gauge(in *deployment.Instance, name string) float64 {
	return in.Metrics.GetOrCreateGauge(name, nil).Get()
}

func middle(samples []float64) float64 { return quantile(samples, 0.5) }

// quantile returns a sample with that share of the samples at or below it, and 0 without samples.
func quantile(samples []float64, q float64) float64 {
	if len(samples) == 0 {
		return 0
	}
	s := slices.Clone(samples)
	slices.Sort(s)
	return s[int(q*float64(len(s)-1))]
}

// waitPaused waits until all streams are held back.
func waitPaused(d *deployment.Deployment, streams int) {
	for begun := time.Now(); time.Since(begun) < stopWait && gauge(d.Instances[0], "bambooferry_paused_streams") < float64(streams); {
		time.Sleep(20 * time.Millisecond)
	}
}

// settledBytes waits until the bytes held for the streams no longer change and returns them.
func settledBytes(d *deployment.Deployment, streams int) float64 {
	in := d.Instances[0]
	last, since := -1.0, time.Now()
	for begun := time.Now(); time.Since(begun) < settleWait; time.Sleep(20 * time.Millisecond) {
		now := gauge(in, "bambooferry_held_bytes")
		if now != last || gauge(in, "bambooferry_streams_in_progress") != float64(streams) {
			last, since = now, time.Now()
		}
		if time.Since(since) > settled {
			break
		}
	}
	return last
}

// steadyTimes returns the times between tokens of readers that do not stop, and the number of wrong answers.
func steadyTimes(ctx context.Context, d *deployment.Deployment, src *source, seed uint64) ([]float64, int, error) {
	var mu sync.Mutex
	var group sync.WaitGroup
	var times []float64
	var first error
	wrong := 0
	for i := range steadyReaders {
		group.Go(func() {
			c := completion(d, seed, steadyTokens)
			c.Prompt = fmt.Sprintf("%s %d", steadyPrompt, i)
			var a caller.CompletionResult
			a, err := c.Stream(ctx)
			mu.Lock()
			defer mu.Unlock()
			if err != nil && first == nil {
				first = err
			}
			if a.Text != src.answer(c.Prompt, steadyTokens) {
				wrong++
			}
			for _, g := range a.TokenIntervals[min(1, len(a.TokenIntervals)):] {
				times = append(times, ms(g))
			}
		})
	}
	group.Wait()
	return times, wrong, first
}

// stoppedReader is a caller on a connection of its own that reads only when it is told to.
type stoppedReader struct {
	conn   net.Conn
	prompt string
}

func stopReaders(address netip.AddrPort, n int, seed uint64) ([]stoppedReader, error) {
	var list []stoppedReader
	for i := range n {
		conn, err := net.Dial("tcp", address.String())
		if err != nil {
			return list, err
		}
		r := stoppedReader{conn, fmt.Sprintf("stopped %d", i)}
		list = append(list, r)
		body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true,"seed":%d}`, deployment.ModelName, r.prompt, readerTokens, seed)
		if _, err := fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", deployment.APIKey, len(body), body); err != nil {
			return list, err
		}
	}
	return list, nil
}

func closeReaders(list []stoppedReader) {
	for _, r := range list {
		_ = r.conn.Close()
	}
}

// readAgain reads all answers to their ends and reports which are whole.
func readAgain(list []stoppedReader, src *source) []bool {
	whole := make([]bool, len(list))
	var group sync.WaitGroup
	for i, r := range list {
		group.Go(func() { whole[i] = r.rest() == src.answer(r.prompt, readerTokens) })
	}
	group.Wait()
	return whole
}

// rest returns the text that comes until the answer's end; it is empty without an end.
func (s stoppedReader) rest() string {
	_ = s.conn.SetReadDeadline(time.Now().Add(readerWait))
	res, err := http.ReadResponse(bufio.NewReader(s.conn), nil)
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	var text strings.Builder
	in := bufio.NewScanner(res.Body)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		data, ok := strings.CutPrefix(in.Text(), "data: ")
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
