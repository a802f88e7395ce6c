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
func (r *QueuedResume) effectiveStart() time.Time {
	return r.Since.Add(-time.Duration(r.DeliveredTokens) * WaitPerToken)
}

// ResumeQueue limits the resumes in flight to the available capacity. The streams that have waited
// longest start first, where each delivered token counts as WaitPerToken more.
//
// The order of waiting resumes never changes, so that each is eventually started. The zero value is
// ready for use; its owner guards it.
type ResumeQueue struct {
	waiting  resumeHeap
	inFlight map[uint64]struct{}
}

// Add adds a resume to the queue.
func (q *ResumeQueue) Add(r QueuedResume) { heap.Push(&q.waiting, r) }

// Remove removes a resume, whether it is waiting or in flight.
func (q *ResumeQueue) Remove(id uint64) {
	if _, ok := q.inFlight[id]; ok {
		delete(q.inFlight, id)
		return
	}
	for i := range q.waiting {
		if q.waiting[i].ID == id {
			heap.Remove(&q.waiting, i)
			return
		}
	}
}

// Grant moves resumes into flight until capacity resumes are in flight, and returns their IDs.
//
// Capacity counts the slots that are free or already used by resumes in flight.
func (q *ResumeQueue) Grant(capacity int) []uint64 {
	var ids []uint64
	for len(q.waiting) > 0 && len(q.inFlight) < capacity {
		r := heap.Pop(&q.waiting).(QueuedResume)
		if q.inFlight == nil {
			q.inFlight = map[uint64]struct{}{}
		}
		q.inFlight[r.ID] = struct{}{}
		ids = append(ids, r.ID)
	}
	return ids
}

// Waiting returns the number of resumes in the queue.
func (q *ResumeQueue) Waiting() int { return len(q.waiting) }

// InFlight returns the number of resumes granted and not yet removed.
func (q *ResumeQueue) InFlight() int { return len(q.inFlight) }

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
