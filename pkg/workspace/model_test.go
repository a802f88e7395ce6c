package workspace

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// modelQueue is the plain queue that walks all items; Queue must serve in the same order.
type modelQueue struct {
	// Limit is the largest number of waiting items of one entry; a missing entry has none waiting.
	Limit map[string]int
	// Total is the largest number of waiting items in all.
	Total int

	waiting []*waiter
	clock   map[int]float64
	tags    map[tagKey]float64
	rates   map[string]*rate
	order   uint64
}

// Len returns the number of waiting items.
func (q *modelQueue) Len() int { return len(q.waiting) }

// Waiting returns the number of waiting items of an entry.
func (q *modelQueue) Waiting(entry string) int {
	n := 0
	for _, w := range q.waiting {
		if w.Entry == entry {
			n++
		}
	}
	return n
}

// Offer takes in an item or refuses it; it also returns the item that had to make place.
//
// A full queue drops the item that would go last, so that a workspace which fills
// the queue cannot keep the others out of it.
func (q *modelQueue) Offer(now time.Time, it Item) (displaced *RefusedError, err error) {
	q.init()
	r := q.rate(it.Entry)
	r.allow(it.Deadline.Sub(now))
	w := q.place(it)
	if wait := r.wait(q.ahead(w)); now.Add(wait + r.needs(now)).After(it.Deadline) {
		return nil, &RefusedError{ID: it.ID, Reason: DeadlineUnreachable, RetryAfter: q.retryAfter(it)}
	}
	if last, full := q.last(it.Entry); full {
		if last == nil || cmp.Or(cmp.Compare(last.Class, w.Class), cmp.Compare(w.start, last.start)) >= 0 {
			return nil, &RefusedError{ID: it.ID, Reason: QueueFull, RetryAfter: q.retryAfter(it)}
		}
		q.remove(last.ID)
		q.tags[tagKey{last.Class, last.Workspace}] = last.start
		displaced = &RefusedError{ID: last.ID, Reason: Displaced, RetryAfter: q.retryAfter(last.Item)}
	}
	q.insert(w)
	return displaced, nil
}

// last returns the item that goes last of those that count against a limit which is reached.
func (q *modelQueue) last(entry string) (last *waiter, full bool) {
	if q.Waiting(entry) >= q.Limit[entry] {
		for i := len(q.waiting) - 1; i >= 0; i-- {
			if q.waiting[i].Entry == entry {
				return q.waiting[i], true
			}
		}
		return nil, true
	}
	if len(q.waiting) < q.Total {
		return nil, false
	}
	if len(q.waiting) == 0 {
		return nil, true
	}
	return q.waiting[len(q.waiting)-1], true
}

// NextOf does as Next with a function that tells what an item waits for.
func (q *modelQueue) NextOf(now time.Time, start func(Item) StartResult) (started []Item, late []*RefusedError) {
	q.init()
	entries, workspaces, groups := map[string]bool{}, map[string]bool{}, map[[2]string]bool{}
	keep := q.waiting[:0]
	for _, w := range q.waiting {
		answer := ItemBlocked
		if now.Add(q.rate(w.Entry).needs(now)).After(w.Deadline) || !now.Before(w.Deadline) {
			late = append(late, &RefusedError{ID: w.ID, Reason: DeadlineUnreachable, RetryAfter: q.retryAfter(w.Item)})
			continue
		}
		if !entries[w.Entry] && !workspaces[w.Workspace] && !groups[[2]string{w.Entry, w.Group}] {
			answer = start(w.Item)
		}
		switch answer {
		case Started:
			q.clock[w.Class] = max(q.clock[w.Class], w.start)
			started = append(started, w.Item)
			continue
		case GroupBlocked:
			groups[[2]string{w.Entry, w.Group}] = true
		case WorkspaceBlocked:
			workspaces[w.Workspace] = true
		case EntryBlocked:
			entries[w.Entry] = true
		case ItemBlocked:
		}
		keep = append(keep, w)
	}
	clear(q.waiting[len(keep):])
	q.waiting = keep
	q.forget()
	return started, late
}

// Cancel removes an item whose caller has gone and reports whether it was waiting.
func (q *modelQueue) Cancel(id string) bool { return q.remove(id) }

// Ended takes in the end of a request that was started.
func (q *modelQueue) Ended(now time.Time, it Item, run RunResult) {
	q.init()
	r := q.rate(it.Entry)
	took, ok := r.whole(now, run)
	if !ok {
		r.restart(now)
		return
	}
	r.ended(now, it.Cost*run.FractionDone, took, q.Waiting(it.Entry) > 0)
}

func (q *modelQueue) init() {
	if q.clock == nil {
		q.clock, q.tags, q.rates = map[int]float64{}, map[tagKey]float64{}, map[string]*rate{}
	}
}

func (q *modelQueue) rate(entry string) *rate {
	r := q.rates[entry]
	if r == nil {
		r = &rate{}
		q.rates[entry] = r
	}
	return r
}

// place computes where an item stands: start-time fair queueing by workspace.
func (q *modelQueue) place(it Item) *waiter {
	q.order++
	start := max(q.clock[it.Class], q.tags[tagKey{it.Class, it.Workspace}])
	return &waiter{Item: it, start: start, order: q.order}
}

func (q *modelQueue) insert(w *waiter) {
	q.tags[tagKey{w.Class, w.Workspace}] = w.start + w.Cost/float64(w.Weight)
	i, _ := slices.BinarySearchFunc(q.waiting, w, modelBefore)
	q.waiting = slices.Insert(q.waiting, i, w)
}

// ahead returns the cost of the items of the same entry that go before an item.
func (q *modelQueue) ahead(w *waiter) float64 {
	cost := 0.0
	for _, o := range q.waiting {
		if o.Entry == w.Entry && modelBefore(o, w) < 0 {
			cost += o.Cost
		}
	}
	return cost
}

func (q *modelQueue) remove(id string) bool {
	n := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waiter) bool { return w.ID == id })
	return len(q.waiting) < n
}

// retryAfter estimates when half of the entry's waiting work will have been started.
func (q *modelQueue) retryAfter(it Item) time.Duration {
	cost := 0.0
	for _, w := range q.waiting {
		if w.Entry == it.Entry {
			cost += w.Cost
		}
	}
	return max(q.rate(it.Entry).wait(cost/2), minRetryAfter)
}

// forget drops the tags of workspaces that have fallen behind the clock of their class.
func (q *modelQueue) forget() {
	for k, tag := range q.tags {
		if tag <= q.clock[k.class] {
			delete(q.tags, k)
		}
	}
}

func modelBefore(a, b *waiter) int {
	return cmp.Or(cmp.Compare(b.Class, a.Class), cmp.Compare(a.start, b.start), cmp.Compare(a.order, b.order))
}

// pair feeds both queues and compares what they say.
type pair struct {
	queue *Queue
	model *modelQueue
}

func ids(list []*RefusedError) (out []string) {
	for _, r := range list {
		out = append(out, r.ID)
	}
	slices.Sort(out)
	return out
}

func (p *pair) offer(t *rapid.T, now time.Time, it Item) {
	d1, err1 := p.queue.Offer(now, it)
	d2, err2 := p.model.Offer(now, it)
	require.Equal(t, d2, d1)
	require.Equal(t, err2, err1)
}

func (p *pair) ended(now time.Time, it Item, run RunResult) {
	p.queue.RecordEnd(now, it, run)
	p.model.Ended(now, it, run)
}

// next starts items by answers that depend on the item alone, and compares who was asked in which order.
func (p *pair) next(t *rapid.T, now time.Time, salt, free int) []Item {
	var asked [2][]string
	start := func(i int) func(Item) StartResult {
		left := free
		return func(it Item) StartResult {
			asked[i] = append(asked[i], it.ID)
			if left == 0 {
				return EntryBlocked
			}
			answer := StartResult(mix(uint64(salt)+uint64(len(it.ID))+mix(uint64(it.ID[len(it.ID)-1]))) % 8)
			if answer > EntryBlocked {
				answer = Started
			}
			if answer == Started {
				left--
			}
			return answer
		}
	}
	s1, l1 := p.queue.DispatchFunc(now, start(0))
	s2, l2 := p.model.NextOf(now, start(1))
	require.Equal(t, asked[1], asked[0])
	require.Equal(t, s2, s1)
	require.Equal(t, ids(l2), ids(l1))
	return s1
}

// Guards against a queue that serves, drops or refuses other items than one that walks all of them.
func TestQueueServesAsTheModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := map[string]int{"a": rapid.IntRange(0, 12).Draw(t, "a"), "b": 8}
		total := rapid.IntRange(1, 15).Draw(t, "total")
		p := &pair{&Queue{EntryLimits: limit, TotalLimit: total}, &modelQueue{Limit: limit, Total: total}}
		now, n := t0, 0
		var running []Item
		// Without a rate of ends no work is refused for what waits ahead of it.
		for _, entry := range []string{"a", "b"} {
			it := Item{ID: entry, Workspace: "x", Weight: 1, Entry: entry, Cost: 1, Deadline: now.Add(time.Hour)}
			p.offer(t, now, it)
			for range rapid.SampledFrom([]int{0, rateSamples + 2}).Draw(t, "ends") {
				now = now.Add(rateStep)
				p.ended(now, it, RunResult{now.Add(-100 * time.Millisecond), now, 1})
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1, 2:
				n++
				p.offer(t, now, Item{
					ID: fmt.Sprint(n), Workspace: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "ws"), Weight: rapid.IntRange(1, 2).Draw(t, "weight"),
					Entry: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "entry"), Group: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "group"),
					Class: rapid.IntRange(0, 2).Draw(t, "class"), Cost: float64(rapid.IntRange(1, 4).Draw(t, "cost")),
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "deadline")) * time.Millisecond),
				})
			case 3:
				running = append(running, p.next(t, now, rapid.IntRange(0, 1000).Draw(t, "salt"), rapid.IntRange(0, 4).Draw(t, "free"))...)
			case 4:
				id := fmt.Sprint(rapid.IntRange(1, n+1).Draw(t, "id"))
				require.Equal(t, p.model.Cancel(id), p.queue.Cancel(id))
			case 5:
				if len(running) > 0 {
					run := RunResult{now.Add(-time.Duration(rapid.IntRange(0, 400).Draw(t, "took")) * time.Millisecond), now, 1}
					p.ended(now, running[0], run)
					running = running[1:]
				}
			}
			require.Equal(t, p.model.Len(), p.queue.Len())
			require.Equal(t, p.model.Waiting("a"), p.queue.EntryLen("a"))
		}
	})
}
