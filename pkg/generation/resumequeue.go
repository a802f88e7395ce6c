package generation

import (
	"container/heap"
	"time"
)

// WaitPerToken is the waiting time that one delivered token counts for in a Pacer.
//
// It is about the time that an engine needs to recompute a token in a batched prefill.
const WaitPerToken = time.Millisecond

// QueuedResume is one stream that waits for an engine to take it over.
type QueuedResume struct {
	ID uint64
	// Since is when the stream lost its engine.
	Since time.Time
	// DeliveredTokens is the number of tokens delivered so far.
	DeliveredTokens uint64
}

// rank is an instant: the earlier, the sooner the ticket's turn.
func (t *QueuedResume) effectiveStart() time.Time {
	return t.Since.Add(-time.Duration(t.DeliveredTokens) * WaitPerToken)
}

// ResumeQueue bounds the resumes in flight by the capacity that is left, longest-waiting and most-invested first.
//
// The order never changes while tickets wait, so that each gets its turn. Its
// zero value is ready for use; its owner guards it.
type ResumeQueue struct {
	waiting  resumeHeap
	inFlight map[uint64]struct{}
}

// Add puts a ticket in the queue.
func (p *ResumeQueue) Add(t QueuedResume) { heap.Push(&p.waiting, t) }

// Remove removes a ticket, whether it waits or is in flight.
func (p *ResumeQueue) Remove(id uint64) {
	if _, ok := p.inFlight[id]; ok {
		delete(p.inFlight, id)
		return
	}
	for i := range p.waiting {
		if p.waiting[i].ID == id {
			heap.Remove(&p.waiting, i)
			return
		}
	}
}

// Grant moves tickets into flight until capacity tickets are there, and returns their ids.
//
// Capacity counts the slots that are free or already taken by tickets in flight.
func (p *ResumeQueue) Grant(capacity int) []uint64 {
	var ids []uint64
	for len(p.waiting) > 0 && len(p.inFlight) < capacity {
		t := heap.Pop(&p.waiting).(QueuedResume)
		if p.inFlight == nil {
			p.inFlight = map[uint64]struct{}{}
		}
		p.inFlight[t.ID] = struct{}{}
		ids = append(ids, t.ID)
	}
	return ids
}

// Waiting returns the number of tickets in the queue.
func (p *ResumeQueue) Waiting() int { return len(p.waiting) }

// InFlight returns the number of tickets granted and not left yet.
func (p *ResumeQueue) InFlight() int { return len(p.inFlight) }

type resumeHeap []QueuedResume

func (h resumeHeap) Len() int           { return len(h) }
func (h resumeHeap) Less(i, j int) bool { return h[i].effectiveStart().Before(h[j].effectiveStart()) }
func (h resumeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *resumeHeap) Push(x any)        { *h = append(*h, x.(QueuedResume)) }

func (h *resumeHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}
