package workspace

import (
	"fmt"
	"time"
)

// Item is one request that waits.
type Item struct {
	// ID names the request; it must be unique in the queue.
	ID        string
	Workspace string
	// Weight is the workspace's part in fair sharing, at least 1.
	Weight int
	// Entry names the pool of targets that the request goes to.
	Entry string
	// Group names those of the entry's targets that the item may go to; it may be empty.
	Group string
	// Class ranks the request: a higher class goes first.
	Class int
	// Cost is the size of the work, such as the tokens that are asked for, at least 1.
	Cost     float64
	Deadline time.Time
}

// RunResult is what became of an item that was started.
type RunResult struct {
	StartedAt time.Time
	// LastProgress is when the target last got on with the work.
	LastProgress time.Time
	// FractionDone is the part of the work that was done: 1 for all, 0 when the target did none of it.
	FractionDone float64
}

// Reason tells why an item was refused, as a stable code.
type Reason string

// The reasons of refusals.
const (
	// QueueFull tells that the queue has no place for the item.
	QueueFull Reason = "queue_full"
	// DeadlineUnreachable tells that the item could not end by its deadline.
	DeadlineUnreachable Reason = "deadline_unreachable"
	// Displaced tells that an item of a higher class took the place.
	Displaced Reason = "displaced"
)

// RefusedError tells why an item is not run and when a retry makes sense.
type RefusedError struct {
	ID         string
	Reason     Reason
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("request %s: %s, retry after %v", e.ID, e.Reason, e.RetryAfter)
}
