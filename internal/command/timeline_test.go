package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/caller"
	"bambooferry.example/bambooferry/internal/deployment"
	"bambooferry.example/bambooferry/internal/eventlog"
	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/pkg/timeline"
)

func runTimelineCommand(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	e := Environment{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &errs, Getenv: func(string) string { return "" }}
	code = Main(context.Background(), e, append([]string{"timeline"}, args...))
	return code, out.String(), errs.String()
}

// writeTwoLogs writes the logs of two instances whose clocks differ by 3 s; the second, which is behind, observes the
// timestamps of the first.
func writeTwoLogs(t *testing.T) []string {
	t.Helper()
	t0 := time.Date(2026, 1, 31, 4, 0, 0, 0, time.UTC)
	paths := []string{filepath.Join(t.TempDir(), "a.log"), filepath.Join(t.TempDir(), "b.log")}
	writers := []*timeline.Writer{}
	for i, p := range paths {
		f, err := os.Create(p)
		require.NoError(t, err)
		defer f.Close()
		writers = append(writers, &timeline.Writer{Out: f, Instance: fmt.Sprintf("instance-%d", i), Incarnation: 1, Clock: &timeline.Clock{}})
	}
	a, b := writers[0], writers[1]
	aheadTime := func(ms int) time.Time { return t0.Add(3*time.Second + time.Duration(ms)*time.Millisecond) }
	a.Write(aheadTime(0), timeline.Event{Kind: "request_admitted", Request: "r1", Generation: "g1", Workspace: "workspace-0", Entry: "ferry-llm", Version: "v1", Revision: 1})
	var call timeline.ClockCarrier
	call.SetStamp(aheadTime(1), a.Clock)
	require.True(t, call.ObserveStamp(t0.Add(2*time.Millisecond), b.Clock))
	b.Write(t0.Add(3*time.Millisecond), timeline.Event{Kind: "slot_lent", Request: "r1", Entry: "ferry-llm", Member: "instance-0", Decision: "lend"})
	call.SetStamp(t0.Add(4*time.Millisecond), b.Clock)
	require.True(t, call.ObserveStamp(aheadTime(5), a.Clock))
	a.Write(aheadTime(6), timeline.Event{Kind: "request_finished", Request: "r1", Generation: "g1", Entry: "ferry-llm", Why: "length", Outcome: "ran", Inputs: []timeline.Input{{Name: "position", Value: 9}}})
	b.Write(t0.Add(time.Second), timeline.Event{Kind: "request_refused", Request: "r2", Why: "wrong_key", Outcome: "not_run"})
	for _, w := range writers {
		w.Close(t0.Add(time.Minute), "graceful_stop")
		require.NoError(t, w.Flush())
	}
	return paths
}

// Guards against a merge that orders events by unsynchronised clocks, and against wrong selections and output forms.
func TestTimelineOutput(t *testing.T) {
	logs := writeTwoLogs(t)
	g := goldie.New(t)
	for name, args := range map[string][]string{
		"merge":   {},
		"story":   {"-request", "r1"},
		"entry":   {"-entry", "ferry-llm"},
		"kind":    {"-kind", "request_refused"},
		"since":   {"-since", "2026-01-31T04:00:30Z"},
		"lines":   {"-json", "-request", "g1"},
		"verify":  {"-verify"},
		"in-json": {"-verify", "-json"},
	} {
		t.Run(name, func(t *testing.T) {
			code, out, errs := runTimelineCommand(append(args, logs...)...)
			require.Zero(t, code, errs)
			g.Assert(t, "timeline-"+name, []byte(out))
		})
	}
}

// Guards against a changed or truncated log that passes -verify, and against one damaged line that hides the rest.
func TestVerifyDetectsChangedFiles(t *testing.T) {
	for name, c := range map[string]struct {
		change func(string) string
		want   string
	}{
		"cut in mid-line": {func(s string) string { return s[:len(s)-9] }, "without a graceful stop"},
		"edited":          {func(s string) string { return strings.Replace(s, "length", "stop", 1) }, "changed after it was written"},
		"line removed": {func(s string) string {
			l := strings.SplitAfter(s, "\n")
			return l[0] + l[2]
		}, "lines 2 to 2 are missing"},
		"swapped": {func(s string) string {
			l := strings.SplitAfter(s, "\n")
			return l[1] + l[0] + l[2]
		}, "stands before an earlier one"},
		"damaged": {func(s string) string { return s + "oops\n" }, ":4: the line cannot be read"},
	} {
		t.Run(name, func(t *testing.T) {
			logs := writeTwoLogs(t)
			data, err := os.ReadFile(logs[0])
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(logs[0], []byte(c.change(string(data))), 0o600))
			code, out, _ := runTimelineCommand(append([]string{"-verify"}, logs...)...)
			require.Equal(t, exitFailed, code)
			require.Contains(t, out, c.want)
			code, out, _ = runTimelineCommand(logs...)
			require.Zero(t, code)
			require.Contains(t, out, "the key belongs to no workspace")
		})
	}
}

// Guards against invalid settings that are accepted silently.
func TestTimelineSettings(t *testing.T) {
	log := writeTwoLogs(t)[0]
	for name, c := range map[string]struct {
		args []string
		code int
		want string
	}{
		"no file":        {nil, exitSetting, "at least one file"},
		"no such file":   {[]string{log + ".none"}, exitFailed, "no such file"},
		"bad time":       {[]string{"-since", "yesterday", log}, exitSetting, "-since"},
		"little memory":  {[]string{"-sort-memory", "1", log}, exitSetting, "-sort-memory"},
		"check in part":  {[]string{"-verify", "-kind", "k", log}, exitSetting, "-verify"},
		"no such flag":   {[]string{"-nope", log}, exitSetting, "nope"},
		"unknown id":     {[]string{"-request", "r9", log}, exitFailed, "no event"},
		"help":           {[]string{"-help"}, exitOK, "usage"},
		"help on verify": {[]string{"-help"}, exitOK, "-verify"},
	} {
		t.Run(name, func(t *testing.T) {
			code, _, errs := runTimelineCommand(c.args...)
			require.Equal(t, c.code, code)
			require.Contains(t, errs, c.want)
		})
	}
}

func newCompletion(d *deployment.Deployment, first int, seed uint64) caller.Completion {
	return caller.Completion{
		APIKey: deployment.APIKey, Model: deployment.ModelName, Prompt: "Summarise the rules of the Sunday market.",
		Tokens: 60, Seed: seed, Instances: d.AddressesFrom(first), MaxAttempts: 5,
	}
}

// Guards against outcomes that the logs do not show, with an engine and an instance killed during a response.
func TestEveryOutcomeIsLogged(t *testing.T) {
	dir, paths := t.TempDir(), []string{}
	d, err := deployment.Start(context.Background(), deployment.Config{
		Instances: 3, Engines: 4, EngineTemplate: deployment.DefaultEngine(), Limits: server.DefaultLimits(),
		EventsFor: func(id string) io.Writer {
			paths = append(paths, filepath.Join(dir, id+".log"))
			f, err := os.Create(paths[len(paths)-1])
			require.NoError(t, err)
			t.Cleanup(func() { _ = f.Close() })
			return f
		},
	})
	require.NoError(t, err)
	defer d.Close()
	runFaultyRequests(t, d)
	for _, in := range d.Instances[1:] {
		<-in.Stop()
	}
	d.Close()

	code, out, errs := runTimelineCommand(append([]string{"-verify"}, paths[1:]...)...)
	require.Zero(t, code, out+errs)
	code, out, _ = runTimelineCommand(append([]string{"-verify", "-json"}, paths...)...)
	require.Equal(t, exitFailed, code)
	findings := 0
	for line := range strings.Lines(out) {
		f := timeline.Finding{}
		require.NoError(t, json.Unmarshal([]byte(line), &f))
		if f.Kind == "" {
			continue
		}
		findings++
		require.Equal(t, "instance-0", f.Instance, line)
		require.Contains(t, []string{timeline.NoGracefulEnd, timeline.NoOutcome, timeline.AttemptOpen}, f.Kind)
		require.Contains(t, []string{"", timeline.NoGracefulEnd}, f.Why)
	}
	require.Equal(t, 3, findings, out)
	requireStories(t, paths)
}

// runFaultyRequests sends requests that end in different ways: some complete despite a killed engine or
// instance, one is refused and one is cancelled by the caller.
func runFaultyRequests(t *testing.T, d *deployment.Deployment) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newCompletion(d, 1, 1)
	c.OnToken = func(n int) {
		for _, e := range d.Engines {
			if n == 20 && e.Stats().Tokens > 0 {
				e.Kill()
			}
		}
	}
	_, err := c.Stream(ctx)
	require.NoError(t, err)
	c = newCompletion(d, 0, 2)
	c.OnToken = func(n int) {
		if n == 20 {
			d.Instances[0].Kill()
		}
	}
	_, err = c.Stream(ctx)
	require.NoError(t, err)
	c = newCompletion(d, 1, 3)
	c.APIKey, c.MaxAttempts = "wrong", 1
	_, err = c.Stream(ctx)
	require.Error(t, err)
	c = newCompletion(d, 2, 4)
	c.MaxAttempts = 1
	c.OnToken = func(n int) {
		if n == 20 {
			cancel()
		}
	}
	_, err = c.Stream(ctx)
	require.Error(t, err)
}

// requireStories prints each request in the logs and requires the expected outcomes.
func requireStories(t *testing.T, paths []string) {
	t.Helper()
	requests := map[string]bool{}
	for _, p := range paths {
		require.NoError(t, eventlog.File{Path: p}.ForEach(func(r *timeline.Record) error {
			if r.Request != "" {
				requests[r.Request] = true
			}
			return nil
		}))
	}
	require.Len(t, requests, 5)
	outcomeCounts := map[string]int{}
	for id := range requests {
		code, story, errs := runTimelineCommand(append([]string{"-request", id}, paths...)...)
		require.Zero(t, code, errs)
		for _, end := range []string{"finished the answer after 60 tokens", "refused the request", "the caller had gone", "the target completed it"} {
			if strings.Contains(story, end) {
				outcomeCounts[end]++
			}
		}
	}
	// The killed instance's request and the one that resumed its response have the same story.
	require.Equal(t, map[string]int{"finished the answer after 60 tokens": 3, "refused the request": 1, "the caller had gone": 1, "the target completed it": 3}, outcomeCounts)
}
