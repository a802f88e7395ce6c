package generation

import (
	"container/heap"
	"time"
)

// WaitPerToken is the waiting time that one delivered token counts as in a ResumeQueue.
//
// It is about the time that an engine needs to recompute a token in a batched prefill.
const WaitPerToken = time.Millisecond

// QueuedResume is a stream that waits for an engine to take it over.
type QueuedResume struct {
	ID uint64
	// Since is when the stream lost its engine.
	Since time.Time
	// DeliveredTokens is the number of tokens delivered so far.
	DeliveredTokens uint64
}

// effectiveStart is the time by which resumes are ordered, earliest first.
func (t *QueuedResume) effectiveStart() time.Time {
	return t.Since.Add(-time.Duration(t.DeliveredTokens) * WaitPerToken)
}

// ResumeQueue limits the resumes in flight to the available capacity, and starts the
// longest-waiting streams with the most delivered tokens first.
//
// The order of waiting resumes never changes, so that each is eventually started. The zero value is
// ready for use; its owner guards it.
type ResumeQueue struct {
	waiting  resumeHeap
	inFlight map[uint64]struct{}
}

// Add adds a resume to the queue.
func (p *ResumeQueue) Add(t QueuedResume) { heap.Push(&p.waiting, t) }

// Remove removes a resume, whether it is waiting or in flight.
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

// Grant moves resumes into flight until capacity resumes are in flight, and returns their IDs.
//
// Capacity counts the slots that are free or already used by resumes in flight.
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

// Waiting returns the number of resumes in the queue.
func (p *ResumeQueue) Waiting() int { return len(p.waiting) }

// InFlight returns the number of resumes granted and not yet removed.
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
