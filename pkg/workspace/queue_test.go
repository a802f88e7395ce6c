package workspace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newItem(id, ws string, class int) Item {
	return Item{ID: id, Workspace: ws, Weight: 1, Entry: "ferry-llm", Class: class, Cost: 1, Deadline: t0.Add(time.Hour)}
}

func newQueue(limit int) *Queue {
	return &Queue{EntryLimits: map[string]int{"ferry-llm": limit, "drafter": limit}, TotalLimit: limit}
}

// startN returns a start function that starts at most n items.
func startN(n int) func(Item) bool {
	return func(Item) bool { n--; return n >= 0 }
}

// Guards against one large workspace that starves the others, despite their weights.
func TestWorkspacesShareByWeight(t *testing.T) {
	q := newQueue(2000)
	for i := range 1000 {
		_, err := q.Offer(t0, newItem(fmt.Sprintf("large-%d", i), "large", 1))
		require.NoError(t, err)
	}
	for w := range 9 {
		for i := range 50 {
			it := newItem(fmt.Sprintf("small-%d-%d", w, i), fmt.Sprintf("small-%d", w), 1)
			it.Weight = 1 + w%2
			_, err := q.Offer(t0, it)
			require.NoError(t, err)
		}
	}
	started, _ := q.Dispatch(t0, startN(140))
	got := map[string]int{}
	for _, it := range started {
		got[it.Workspace]++
	}
	require.InDelta(t, 10, got["large"], 2)
	require.InDelta(t, 10, got["small-0"], 2)
	require.InDelta(t, 20, got["small-1"], 2)
}

// Guards against batch work that is served before interactive work or keeps its place in a full queue.
func TestHigherClassGoesFirstAndDisplaces(t *testing.T) {
	q := newQueue(2)
	_, err := q.Offer(t0, newItem("a", "w", 0))
	require.NoError(t, err)
	_, err = q.Offer(t0, newItem("b", "w", 1))
	require.NoError(t, err)
	q.EntryLimits["ferry-llm"] = 3
	displaced, err := q.Offer(t0, newItem("c", "w", 1))
	require.NoError(t, err)
	require.Equal(t, "a", displaced.ID)
	_, err = q.Offer(t0, newItem("d", "w", 0))
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, QueueFull, refused.Reason)
	require.Positive(t, refused.RetryAfter)
}

// Guards against a workspace that fills the queue and so excludes the others.
func TestFullQueueDisplacesLargestWorkspace(t *testing.T) {
	q := newQueue(20)
	for i := range 30 {
		_, _ = q.Offer(t0, newItem(fmt.Sprintf("large-%d", i), "large", 1))
	}
	displaced, err := q.Offer(t0, newItem("small", "small", 1))
	require.NoError(t, err)
	require.Equal(t, "large-19", displaced.ID)
	require.Equal(t, Displaced, displaced.Reason)
	_, err = q.Offer(t0, newItem("large-30", "large", 1))
	require.Error(t, err, "the workspace that fills the queue must not displace others")
	require.Equal(t, 20, q.Len())
}

// Guards against a workspace at its limit that blocks the other workspaces of the entry.
func TestWorkspaceAtItsLimitDoesNotBlockOthers(t *testing.T) {
	q := newQueue(20)
	for _, ws := range []string{"large", "large", "small"} {
		_, err := q.Offer(t0, newItem(fmt.Sprint(ws, q.Len()), ws, 1))
		require.NoError(t, err)
	}
	asked := 0
	started, _ := q.DispatchFunc(t0, func(it Item) StartResult {
		if asked++; it.Workspace == "large" {
			return WorkspaceBlocked
		}
		return Started
	})
	require.Len(t, started, 1)
	require.Equal(t, "small", started[0].Workspace)
	require.Equal(t, 2, asked)
}

// Guards against an estimate from a slow period that refuses all work for ever, since nothing then corrects it.
func TestStaleEstimateRefusesNothing(t *testing.T) {
	q := newQueue(20)
	it := newItem("a", "w", 1)
	for range minSamples + 1 {
		q.RecordEnd(t0, it, RunResult{t0.Add(-3 * time.Second), t0, 1})
	}
	it.Deadline = t0.Add(2 * time.Second)
	_, err := q.Offer(t0, it)
	require.Error(t, err)
	it.Deadline = t0.Add(10 * time.Second)
	_, err = q.Offer(t0.Add(8*time.Second), it)
	require.NoError(t, err)
}

// Guards against an entry whose targets are full that blocks the other entries.
func TestBlockedEntryDoesNotBlockOthers(t *testing.T) {
	q := newQueue(10)
	_, err := q.Offer(t0, newItem("a", "w", 1))
	require.NoError(t, err)
	b := newItem("b", "w", 1)
	b.Entry = "drafter"
	_, err = q.Offer(t0, b)
	require.NoError(t, err)
	started, _ := q.Dispatch(t0, func(it Item) bool { return it.Entry == "drafter" })
	require.Len(t, started, 1)
	require.Equal(t, "b", started[0].ID)
}

// Guards against work that is queued although it can no longer end in time.
func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	q := newQueue(1000)
	for i := range 50 {
		it := newItem(fmt.Sprint(i), "w", 1)
		_, err := q.Offer(t0, it)
		require.NoError(t, err)
	}
	now := t0
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		started, _ := q.Dispatch(now, startN(1))
		q.RecordEnd(now, started[0], RunResult{now.Add(-50 * time.Millisecond), now, 1})
	}
	late := newItem("late", "w", 1)
	late.Deadline = now.Add(time.Second)
	_, err := q.Offer(now, late)
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, DeadlineUnreachable, refused.Reason)
	require.InDelta(t, 1.5, refused.RetryAfter.Seconds(), 0.75)
	late.Deadline = now.Add(time.Minute)
	_, err = q.Offer(now, late)
	require.NoError(t, err)
}

// Guards against items that are lost, started twice, or queued beyond the limits.
func TestEveryItemLeavesQueueOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &Queue{EntryLimits: map[string]int{"a": 5, "b": 8}, TotalLimit: 10}
		now, state, n := t0, map[string]string{}, 0
		endWaiting := func(id, newState string) {
			if state[id] != "waiting" {
				t.Fatalf("%s is %s and became %s", id, state[id], newState)
			}
			state[id] = newState
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				n++
				it := Item{
					ID: fmt.Sprint(n), Workspace: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "ws"), Weight: 1, Cost: 1,
					Entry: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "entry"), Class: rapid.IntRange(0, 1).Draw(t, "class"),
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "deadline")) * time.Millisecond),
				}
				displaced, err := q.Offer(now, it)
				if err == nil {
					state[it.ID] = "waiting"
				}
				if displaced != nil {
					endWaiting(displaced.ID, "displaced")
				}
			case 1:
				started, late := q.Dispatch(now, startN(rapid.IntRange(0, 3).Draw(t, "free")))
				for _, it := range started {
					endWaiting(it.ID, "started")
					if !now.Before(it.Deadline) {
						t.Fatalf("%s started after its deadline", it.ID)
					}
					q.RecordEnd(now, it, RunResult{now.Add(-10 * time.Millisecond), now, 1})
				}
				for _, r := range late {
					endWaiting(r.ID, "late")
				}
			case 2:
				id := fmt.Sprint(rapid.IntRange(1, n+1).Draw(t, "id"))
				if q.Cancel(id) {
					endWaiting(id, "cancelled")
				}
			}
			waiting := 0
			for _, s := range state {
				if s == "waiting" {
					waiting++
				}
			}
			if waiting != q.Len() || q.Len() > q.TotalLimit || q.EntryLen("a") > 5 {
				t.Fatalf("%d waiting, queue has %d", waiting, q.Len())
			}
		}
	})
}

const (
	simSlots       = 20
	simServiceTime = 500 * time.Millisecond
	simLength      = 60 * time.Second
)

// goodput simulates load at a multiple of a fixed capacity and returns the share of the capacity whose work ended in time.
func goodput(q *Queue, seed uint64, load float64, useQueue bool) float64 {
	return goodputWithSlowdown(q, seed, load, useQueue, 25, func(time.Duration) float64 { return 1 })
}

// goodputWithSlowdown is goodput with targets whose service time is multiplied by a factor that depends on the time since the start.
//
// Work is cut off at its deadline, as an instance does.
// The spread of service times is given in percent.
func goodputWithSlowdown(q *Queue, seed uint64, load float64, useQueue bool, spread int, slowdown func(since time.Duration) float64) float64 {
	const slots, service, tick, length = simSlots, simServiceTime, 5 * time.Millisecond, simLength
	type job struct {
		Item
		startedAt, end time.Time
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	var running []job
	var fifo []Item
	useful, n, capacity := 0, 0, 0.0
	startJob := func(now time.Time, it Item) job {
		took := time.Duration(float64(service*time.Duration(100-spread+rng.IntN(2*spread+1))/100) * slowdown(now.Sub(t0)))
		return job{it, now, now.Add(took)}
	}
	perTick := load * slots / service.Seconds() * tick.Seconds()
	for now := t0; now.Before(t0.Add(length)); now = now.Add(tick) {
		stillRunning := running[:0]
		for _, j := range running {
			end := j.end
			if useQueue && end.After(j.Deadline) {
				end = j.Deadline
			}
			if end.After(now) {
				stillRunning = append(stillRunning, j)
				continue
			}
			if !j.end.After(j.Deadline) {
				useful++
			}
			q.RecordEnd(now, j.Item, RunResult{j.startedAt, end, min(1, end.Sub(j.startedAt).Seconds()/j.end.Sub(j.startedAt).Seconds())})
		}
		running = stillRunning
		capacity += slots / (service.Seconds() * slowdown(now.Sub(t0))) * tick.Seconds()
		for range int(perTick + rng.Float64()) {
			n++
			it := newItem(fmt.Sprint(n), fmt.Sprint("w", n%10), 1)
			it.Deadline = now.Add(2 * time.Second)
			if useQueue {
				_, _ = q.Offer(now, it)
			} else {
				fifo = append(fifo, it)
			}
		}
		if useQueue {
			started, _ := q.Dispatch(now, startN(slots-len(running)))
			for _, it := range started {
				running = append(running, startJob(now, it))
			}
			continue
		}
		for len(fifo) > 0 && len(running) < slots {
			running = append(running, startJob(now, fifo[0]))
			fifo = fifo[1:]
		}
	}
	return float64(useful) / capacity
}

// Guards against congestion collapse: at overload, goodput must stay close to its maximum.
func TestGoodputAtOverload(t *testing.T) {
	best := goodput(newQueue(200), 1, 1, true)
	for _, load := range []float64{1.5, 2, 3, 5} {
		got := goodput(newQueue(200), 1, load, true)
		fifoGoodput := goodput(newQueue(200), 1, load, false)
		t.Logf("load %.1f: goodput %.3f of the goodput at load 1, first-in first-out %.3f", load, got/best, fifoGoodput/best)
		require.Greater(t, got/best, 0.95)
	}
}

// Guards against estimates that never adapt to slower targets, since work that is cut off at its
// deadline looks like work that took only the time it had left.
func TestGoodputWhenTargetsSlowDown(t *testing.T) {
	for _, c := range []struct {
		name     string
		slowdown func(since time.Duration) float64
	}{
		{"twice as slow after a third of the time", func(since time.Duration) float64 {
			if since < simLength/3 {
				return 1
			}
			return 2
		}},
		{"gradually slower", func(since time.Duration) float64 { return 1 + 1.5*since.Seconds()/simLength.Seconds() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, spread := range []int{0, 5, 25} {
				for seed := range uint64(5) {
					got := goodputWithSlowdown(newQueue(200), seed, 3, true, spread, c.slowdown)
					t.Logf("spread %d, seed %d: goodput at 3 times the capacity is %.3f of the capacity", spread, seed, got)
					require.Greater(t, got, 0.95)
				}
			}
		})
	}
}

// Guards against a margin for slow requests that refuses all work where most of it would end in time.
// Requests take 0.61 to 1.02 of the time they have; of those started with 0.9 of it left, 0.72 end in time.
func TestGoodputNearTheDeadline(t *testing.T) {
	for seed := range uint64(5) {
		got := goodputWithSlowdown(newQueue(200), seed, 3, true, 25, func(time.Duration) float64 { return 3.25 })
		t.Logf("seed %d: goodput at more than 3 times the capacity is %.3f of the capacity", seed, got)
		require.Greater(t, got, 0.7)
	}
}

// Measures one arrival, one start and one end with a number of items waiting, as on a busy instance.
func BenchmarkQueue(b *testing.B) {
	for _, c := range []struct{ waiting, workspaces int }{{10, 10}, {1000, 10}, {4096, 10}, {4096, 240}} {
		b.Run(fmt.Sprintf("waiting=%d/workspaces=%d", c.waiting, c.workspaces), func(b *testing.B) {
			q := newQueue(c.waiting + 1)
			for i := range c.waiting {
				_, _ = q.Offer(t0, newItem(fmt.Sprint("filler-", i), fmt.Sprint(i%c.workspaces), 1))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				_, _ = q.Offer(t0, newItem(fmt.Sprint(i), fmt.Sprint(i%c.workspaces), 1))
				started, _ := q.Dispatch(t0, startN(1))
				q.RecordEnd(t0, started[0], RunResult{t0, t0, 1})
			}
		})
	}
}
