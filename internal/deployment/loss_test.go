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

// journal collects the events of a deployment.
type journal struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (j *journal) Write(b []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.buf.Write(b)
}

type journalEvent struct {
	Kind, Request, Target, Decision, Why string
	Attempt                              int
	Inputs                               map[string]int64
}

func (j *journal) events(t testing.TB) []journalEvent {
	j.mu.Lock()
	defer j.mu.Unlock()
	var list []journalEvent
	dec := json.NewDecoder(bytes.NewReader(j.buf.Bytes()))
	for dec.More() {
		ev := journalEvent{}
		require.NoError(t, dec.Decode(&ev))
		list = append(list, ev)
	}
	return list
}

func count(list []journalEvent, kind, why string) int {
	n := 0
	for _, ev := range list {
		if ev.Kind == kind && (why == "" || ev.Why == why) {
			n++
		}
	}
	return n
}

// Guards against resumes that bring down the engines which survive a large loss, and against a rush of attempts for which there is no slot.
func TestHalfOfTheEnginesLost(t *testing.T) {
	j := &journal{}
	const streams, slots = 28, 4
	d := start(t, 1, 8, func(p *deployment.Config) {
		p.Events = j
		// One request above its slots makes an engine fall over.
		p.EngineTemplate.Slots, p.EngineTemplate.MaxRequests = slots, slots
	})
	ready := sync.WaitGroup{}
	ready.Add(streams)
	var group sync.WaitGroup
	for i := range streams {
		q := completion(d, uint64(i))
		q.Tokens = 150 + 5*i
		reached := sync.OnceFunc(ready.Done)
		q.OnToken = func(n int) {
			if n >= 20+i {
				reached()
			}
		}
		group.Go(func() {
			defer reached()
			a, err := q.Stream(context.Background())
			if err != nil || a.Text != expected(q) || a.Connections != 1 {
				t.Errorf("stream %d: %v, %d tokens over %d connections", i, err, a.Tokens, a.Connections)
			}
		})
	}
	group.Go(func() {
		ready.Wait()
		for _, e := range d.Engines[:4] {
			e.Kill()
		}
	})
	group.Wait()
	for i, e := range d.Engines {
		s := e.Stats()
		t.Logf("engine %d: started %d, peak %d of limit %d", i, s.Started, s.PeakRequests, e.MaxRequests)
		require.False(t, s.Overloaded)
	}
	events := j.events(t)
	queued, rejected := count(events, "resume_queued", ""), count(events, "attempt_ended", "no_target")
	t.Logf("resumes %d, queued %d, attempts without a slot %d", count(events, "stream_resumed", ""), queued, rejected)
	require.Positive(t, queued)
	require.Less(t, rejected, streams)
}

// Guards against a target that keeps computing for, or stays booked by, an attempt that moved elsewhere.
func TestSupersededAttemptFreesItsTarget(t *testing.T) {
	d := start(t, 1, 2, func(p *deployment.Config) { p.EngineTemplate.Slots, p.EngineTemplate.MaxRequests = 1, 1 })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	long := completion(d, 1)
	long.Tokens, long.MaxAttempts = 5000, 1
	moved := make(chan struct{})
	long.OnToken = func(n int) {
		switch n {
		case 10:
			victim(t, d).SetFaults(standin.Faults{RepeatTokens: true})
		case 50:
			others(d, nil, standin.Faults{})
			close(moved)
		}
	}
	var group sync.WaitGroup
	group.Go(func() { _, _ = long.Stream(ctx) })
	<-moved
	require.Equal(t, 2, startedAt(d))
	// An engine that is not told to stop runs on for 5 s, and falls over when given a second request.
	q := completion(d, 2)
	q.MaxAttempts = 1
	within, stop := context.WithTimeout(ctx, 4*time.Second)
	defer stop()
	a, err := q.Stream(within)
	require.NoError(t, err)
	require.Equal(t, expected(q), a.Text)
	cancel()
	group.Wait()
	for _, e := range d.Engines {
		require.False(t, e.Stats().Overloaded)
	}
}
