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

// referenceQueue is a simple queue that scans all items; Queue must serve items in the same order.
type referenceQueue struct {
	// EntryLimits is the maximum number of waiting items per entry; a missing entry may have none.
	EntryLimits map[string]int
	// TotalLimit is the maximum number of waiting items in all.
	TotalLimit int

	waiting      []*queuedItem
	virtualTime  map[int]float64
	finishTags   map[tagKey]float64
	estimators   map[string]*estimator
	lastSequence uint64
}

// Len returns the number of waiting items.
func (q *referenceQueue) Len() int { return len(q.waiting) }

// EntryLen returns the number of waiting items of an entry.
func (q *referenceQueue) EntryLen(entry string) int {
	n := 0
	for _, item := range q.waiting {
		if item.Entry == entry {
			n++
		}
	}
	return n
}

// Offer queues an item or refuses it; it also returns the item that was displaced, if any.
//
// A full queue drops the item that would be served last, so that one workspace that fills
// the queue cannot exclude the others.
func (q *referenceQueue) Offer(now time.Time, it Item) (displaced *RefusedError, err error) {
	q.init()
	est := q.estimator(it.Entry)
	est.recordAllowedTime(it.Deadline.Sub(now))
	item := q.tagItem(it)
	if wait := est.waitTime(q.costAhead(item)); now.Add(wait + est.serviceTimeBound(now)).After(it.Deadline) {
		return nil, &RefusedError{ID: it.ID, Reason: DeadlineUnreachable, RetryAfter: q.retryAfter(it)}
	}
	if last, full := q.lastIfFull(it.Entry); full {
		if last == nil || cmp.Or(cmp.Compare(last.Class, item.Class), cmp.Compare(item.startTag, last.startTag)) >= 0 {
			return nil, &RefusedError{ID: it.ID, Reason: QueueFull, RetryAfter: q.retryAfter(it)}
		}
		q.remove(last.ID)
		q.finishTags[tagKey{last.Class, last.Workspace}] = last.startTag
		displaced = &RefusedError{ID: last.ID, Reason: Displaced, RetryAfter: q.retryAfter(last.Item)}
	}
	q.insert(item)
	return displaced, nil
}

// lastIfFull returns the item served last among those that count against an exhausted limit; full is false if no limit is exhausted.
func (q *referenceQueue) lastIfFull(entry string) (last *queuedItem, full bool) {
	if q.EntryLen(entry) >= q.EntryLimits[entry] {
		for i := len(q.waiting) - 1; i >= 0; i-- {
			if q.waiting[i].Entry == entry {
				return q.waiting[i], true
			}
		}
		return nil, true
	}
	if len(q.waiting) < q.TotalLimit {
		return nil, false
	}
	if len(q.waiting) == 0 {
		return nil, true
	}
	return q.waiting[len(q.waiting)-1], true
}

// DispatchFunc starts the items that can start now; start states what a blocked item waits for.
func (q *referenceQueue) DispatchFunc(now time.Time, start func(Item) StartResult) (started []Item, late []*RefusedError) {
	q.init()
	entries, workspaces, groups := map[string]bool{}, map[string]bool{}, map[[2]string]bool{}
	remaining := q.waiting[:0]
	for _, item := range q.waiting {
		result := ItemBlocked
		if now.Add(q.estimator(item.Entry).serviceTimeBound(now)).After(item.Deadline) || !now.Before(item.Deadline) {
			late = append(late, &RefusedError{ID: item.ID, Reason: DeadlineUnreachable, RetryAfter: q.retryAfter(item.Item)})
			continue
		}
		if !entries[item.Entry] && !workspaces[item.Workspace] && !groups[[2]string{item.Entry, item.Group}] {
			result = start(item.Item)
		}
		switch result {
		case Started:
			q.virtualTime[item.Class] = max(q.virtualTime[item.Class], item.startTag)
			started = append(started, item.Item)
			continue
		case GroupBlocked:
			groups[[2]string{item.Entry, item.Group}] = true
		case WorkspaceBlocked:
			workspaces[item.Workspace] = true
		case EntryBlocked:
			entries[item.Entry] = true
		case ItemBlocked:
		}
		remaining = append(remaining, item)
	}
	clear(q.waiting[len(remaining):])
	q.waiting = remaining
	q.dropOldTags()
	return started, late
}

// Cancel removes an item whose caller has disconnected and reports whether it was waiting.
func (q *referenceQueue) Cancel(id string) bool { return q.remove(id) }

// RecordEnd updates the estimates with the end of a started request.
func (q *referenceQueue) RecordEnd(now time.Time, it Item, run RunResult) {
	q.init()
	est := q.estimator(it.Entry)
	took, ok := est.wholeDuration(now, run)
	if !ok {
		est.restartStep(now)
		return
	}
	est.recordEnd(now, it.Cost*run.FractionDone, took, q.EntryLen(it.Entry) > 0)
}

func (q *referenceQueue) init() {
	if q.virtualTime == nil {
		q.virtualTime, q.finishTags, q.estimators = map[int]float64{}, map[tagKey]float64{}, map[string]*estimator{}
	}
}

func (q *referenceQueue) estimator(entry string) *estimator {
	est := q.estimators[entry]
	if est == nil {
		est = &estimator{}
		q.estimators[entry] = est
	}
	return est
}

// tagItem computes an item's start tag: start-time fair queueing by workspace.
func (q *referenceQueue) tagItem(it Item) *queuedItem {
	q.lastSequence++
	start := max(q.virtualTime[it.Class], q.finishTags[tagKey{it.Class, it.Workspace}])
	return &queuedItem{Item: it, startTag: start, sequence: q.lastSequence}
}

func (q *referenceQueue) insert(item *queuedItem) {
	q.finishTags[tagKey{item.Class, item.Workspace}] = item.startTag + item.Cost/float64(item.Weight)
	i, _ := slices.BinarySearchFunc(q.waiting, item, compareReferenceOrder)
	q.waiting = slices.Insert(q.waiting, i, item)
}

// costAhead returns the total cost of the entry's items that are served before an item.
func (q *referenceQueue) costAhead(item *queuedItem) float64 {
	cost := 0.0
	for _, o := range q.waiting {
		if o.Entry == item.Entry && compareReferenceOrder(o, item) < 0 {
			cost += o.Cost
		}
	}
	return cost
}

func (q *referenceQueue) remove(id string) bool {
	n := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(item *queuedItem) bool { return item.ID == id })
	return len(q.waiting) < n
}

// retryAfter estimates the time until half of the entry's waiting work has been started.
func (q *referenceQueue) retryAfter(it Item) time.Duration {
	cost := 0.0
	for _, item := range q.waiting {
		if item.Entry == it.Entry {
			cost += item.Cost
		}
	}
	return max(q.estimator(it.Entry).waitTime(cost/2), minRetryAfter)
}

// dropOldTags drops the finish tags that are not after the virtual time of their class and so have no effect.
func (q *referenceQueue) dropOldTags() {
	for k, tag := range q.finishTags {
		if tag <= q.virtualTime[k.class] {
			delete(q.finishTags, k)
		}
	}
}

func compareReferenceOrder(a, b *queuedItem) int {
	return cmp.Or(cmp.Compare(b.Class, a.Class), cmp.Compare(a.startTag, b.startTag), cmp.Compare(a.sequence, b.sequence))
}

// queuePair applies each operation to both queues and compares the results.
type queuePair struct {
	queue     *Queue
	reference *referenceQueue
}

func sortedIDs(list []*RefusedError) (out []string) {
	for _, r := range list {
		out = append(out, r.ID)
	}
	slices.Sort(out)
	return out
}

func (p *queuePair) offer(t *rapid.T, now time.Time, it Item) {
	d1, err1 := p.queue.Offer(now, it)
	d2, err2 := p.reference.Offer(now, it)
	require.Equal(t, d2, d1)
	require.Equal(t, err2, err1)
}

func (p *queuePair) recordEnd(now time.Time, it Item, run RunResult) {
	p.queue.RecordEnd(now, it, run)
	p.reference.RecordEnd(now, it, run)
}

// dispatch starts items by a rule that depends on the item alone, and compares the order of the start calls.
func (p *queuePair) dispatch(t *rapid.T, now time.Time, salt, free int) []Item {
	var startCalls [2][]string
	start := func(i int) func(Item) StartResult {
		remainingStarts := free
		return func(it Item) StartResult {
			startCalls[i] = append(startCalls[i], it.ID)
			if remainingStarts == 0 {
				return EntryBlocked
			}
			result := StartResult(mixBits(uint64(salt)+uint64(len(it.ID))+mixBits(uint64(it.ID[len(it.ID)-1]))) % 8)
			if result > EntryBlocked {
				result = Started
			}
			if result == Started {
				remainingStarts--
			}
			return result
		}
	}
	s1, l1 := p.queue.DispatchFunc(now, start(0))
	s2, l2 := p.reference.DispatchFunc(now, start(1))
	require.Equal(t, startCalls[1], startCalls[0])
	require.Equal(t, s2, s1)
	require.Equal(t, sortedIDs(l2), sortedIDs(l1))
	return s1
}

// Guards against a queue that serves, drops or refuses other items than the reference queue.
func TestQueueMatchesReferenceQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := map[string]int{"a": rapid.IntRange(0, 12).Draw(t, "a"), "b": 8}
		total := rapid.IntRange(1, 15).Draw(t, "total")
		p := &queuePair{&Queue{EntryLimits: limits, TotalLimit: total}, &referenceQueue{EntryLimits: limits, TotalLimit: total}}
		now, n := t0, 0
		var running []Item
		// Without a measured rate no work is refused because of the work ahead of it.
		for _, entry := range []string{"a", "b"} {
			it := Item{ID: entry, Workspace: "x", Weight: 1, Entry: entry, Cost: 1, Deadline: now.Add(time.Hour)}
			p.offer(t, now, it)
			for range rapid.SampledFrom([]int{0, minSamples + 2}).Draw(t, "ends") {
				now = now.Add(minRateStep)
				p.recordEnd(now, it, RunResult{now.Add(-100 * time.Millisecond), now, 1})
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
				running = append(running, p.dispatch(t, now, rapid.IntRange(0, 1000).Draw(t, "salt"), rapid.IntRange(0, 4).Draw(t, "free"))...)
			case 4:
				id := fmt.Sprint(rapid.IntRange(1, n+1).Draw(t, "id"))
				require.Equal(t, p.reference.Cancel(id), p.queue.Cancel(id))
			case 5:
				if len(running) > 0 {
					run := RunResult{now.Add(-time.Duration(rapid.IntRange(0, 400).Draw(t, "took")) * time.Millisecond), now, 1}
					p.recordEnd(now, running[0], run)
					running = running[1:]
				}
			}
			require.Equal(t, p.reference.Len(), p.queue.Len())
			require.Equal(t, p.reference.EntryLen("a"), p.queue.EntryLen("a"))
		}
	})
}
