package instance

import (
	"math/bits"
	"slices"
	"time"
)

// noteQueue holds the notes that an instance still has to send, each to a bounded number of peers.
type noteQueue struct{ items []queuedNote }

type queuedNote struct {
	note      Note
	sentCount int
	queuedAt  time.Time
}

// aliveHeadStart is how many times a note that a member is alive is sent before suspicions and deaths
// are sent, so that refutations overtake what they refute when many members change at once.
const aliveHeadStart = 4

func (i queuedNote) sendOrder() int {
	if i.note.State == Suspect || i.note.State == Dead {
		return i.sentCount + aliveHeadStart
	}
	return i.sentCount
}

// add queues a note, which replaces older notes about the member; a report replaces only one by the same reporter.
func (q *noteQueue) add(now time.Time, n Note) {
	q.items = slices.DeleteFunc(q.items, func(i queuedNote) bool {
		return i.note.ID == n.ID && (i.note.Reporter == n.Reporter || n.State != Suspect)
	})
	q.items = append(q.items, queuedNote{note: n, queuedAt: now})
}

// nextBatch returns the notes sent least often and drops those sent often enough for the number of members.
//
// Each instance sends a note about 3*log2(members) times, so that it reaches all
// members with a wide margin for lost messages.
//
// Suspicions and deaths are dropped after ttl: those that are left at the end of a
// partition would be false on the other side.
func (q *noteQueue) nextBatch(now time.Time, ttl time.Duration, members int) []Note {
	q.items = slices.DeleteFunc(q.items, func(i queuedNote) bool {
		return (i.note.State == Suspect || i.note.State == Dead) && now.Sub(i.queuedAt) > ttl
	})
	slices.SortStableFunc(q.items, func(a, b queuedNote) int { return a.sendOrder() - b.sendOrder() })
	var list []Note
	for i := range q.items[:min(len(q.items), MaxNews)] {
		q.items[i].sentCount++
		list = append(list, q.items[i].note)
	}
	limit := 3 * (bits.Len(uint(members)) + 1)
	q.items = slices.DeleteFunc(q.items, func(i queuedNote) bool { return i.sentCount >= limit })
	return list
}
