package deployment_test

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/deployment"
	standin "bambooferry.example/bambooferry/internal/standin/engine"
)

// eventBuffer collects the events of a deployment.
type eventBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *eventBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

type loggedEvent struct {
	Kind, Request, Target, Decision, Why string
	Attempt                              int
	Inputs                               map[string]int64
}

func (b *eventBuffer) events(t testing.TB) []loggedEvent {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []loggedEvent
	dec := json.NewDecoder(bytes.NewReader(b.buf.Bytes()))
	for dec.More() {
		ev := loggedEvent{}
		require.NoError(t, dec.Decode(&ev))
		list = append(list, ev)
	}
	return list
}

// countEvents counts the events of a kind, and if a reason is given, only those with it.
func countEvents(events []loggedEvent, kind, reason string) int {
	n := 0
	for _, ev := range events {
		if ev.Kind == kind && (reason == "" || ev.Why == reason) {
			n++
		}
	}
	return n
}

// Guards against resumes that overload the engines which survive a large loss, and against a burst of
// attempts for which there is no slot.
func TestHalfOfTheEnginesLost(t *testing.T) {
	eventLog := &eventBuffer{}
	const streams, slots = 28, 4
	d := startDeployment(t, 1, 8, func(cfg *deployment.Config) {
		cfg.Events = eventLog
		// A single request above its slots crashes an engine.
		cfg.EngineTemplate.Slots, cfg.EngineTemplate.MaxRequests = slots, slots
	})
	allStarted := sync.WaitGroup{}
	allStarted.Add(streams)
	var group sync.WaitGroup
	for i := range streams {
		request := completion(d, uint64(i))
		request.Tokens = 150 + 5*i
		reportStarted := sync.OnceFunc(allStarted.Done)
		request.OnToken = func(n int) {
			if n >= 20+i {
				reportStarted()
			}
		}
		group.Go(func() {
			defer reportStarted()
			result, err := request.Stream(context.Background())
			if err != nil || result.Text != expectedText(request) || result.Connections != 1 {
				t.Errorf("stream %d: %v, %d tokens over %d connections", i, err, result.Tokens, result.Connections)
			}
		})
	}
	group.Go(func() {
		allStarted.Wait()
		for _, e := range d.Engines[:4] {
			e.Kill()
		}
	})
	group.Wait()
	for i, e := range d.Engines {
		stats := e.Stats()
		t.Logf("engine %d: started %d, peak %d of limit %d", i, stats.Started, stats.PeakRequests, e.MaxRequests)
		require.False(t, stats.Overloaded)
	}
	events := eventLog.events(t)
	queued, rejected := countEvents(events, "resume_queued", ""), countEvents(events, "attempt_ended", "no_target")
	t.Logf("resumes %d, queued %d, attempts without a slot %d", countEvents(events, "stream_resumed", ""), queued, rejected)
	require.Positive(t, queued)
	require.Less(t, rejected, streams)
}

// Guards against a target that keeps computing for an attempt that has moved elsewhere, or whose slot that attempt still holds.
func TestSupersededAttemptFreesItsTarget(t *testing.T) {
	d := startDeployment(t, 1, 2, func(cfg *deployment.Config) { cfg.EngineTemplate.Slots, cfg.EngineTemplate.MaxRequests = 1, 1 })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	longRequest := completion(d, 1)
	longRequest.Tokens, longRequest.MaxAttempts = 5000, 1
	moved := make(chan struct{})
	longRequest.OnToken = func(n int) {
		switch n {
		case 10:
			busyEngine(t, d).SetFaults(standin.Faults{RepeatTokens: true})
		case 50:
			setFaultsExcept(d, nil, standin.Faults{})
			close(moved)
		}
	}
	var group sync.WaitGroup
	group.Go(func() { _, _ = longRequest.Stream(ctx) })
	<-moved
	require.Equal(t, 2, startedAttempts(d))
	// An engine that is not told to stop continues for 5 s and crashes if it gets a second request.
	request := completion(d, 2)
	request.MaxAttempts = 1
	limitedCtx, stop := context.WithTimeout(ctx, 4*time.Second)
	defer stop()
	result, err := request.Stream(limitedCtx)
	require.NoError(t, err)
	require.Equal(t, expectedText(request), result.Text)
	cancel()
	group.Wait()
	for _, e := range d.Engines {
		require.False(t, e.Stats().Overloaded)
	}
}
