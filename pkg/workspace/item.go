package workspace

import (
	"fmt"
	"time"
)

// Item is one waiting request.
type Item struct {
	// ID identifies the request; it must be unique in the queue.
	ID        string
	Workspace string
	// Weight is the workspace's relative weight in fair sharing, at least 1.
	Weight int
	// Entry names the pool of targets that may serve the request.
	Entry string
	// Group names the subset of the entry's targets that may serve the item; it may be empty.
	Group string
	// Class is the priority of the request: a higher class is served first.
	Class int
	// Cost is the size of the work, such as the number of tokens requested, at least 1.
	Cost     float64
	Deadline time.Time
}

// RunResult describes how the run of a started item ended.
type RunResult struct {
	StartedAt time.Time
	// LastProgress is when the target last made progress.
	LastProgress time.Time
	// FractionDone is the completed part of the work: 1 for all, 0 if the target did none of it.
	FractionDone float64
}

// Reason is the stable code of why an item was refused.
type Reason string

// The reasons of refusals.
const (
	// QueueFull means that the queue has no space for the item.
	QueueFull Reason = "queue_full"
	// DeadlineUnreachable means that the item could not end by its deadline.
	DeadlineUnreachable Reason = "deadline_unreachable"
	// Displaced means that an item of a higher class or another workspace took the place.
	Displaced Reason = "displaced"
)

// RefusedError states why an item is not run and when a retry makes sense.
type RefusedError struct {
	ID         string
	Reason     Reason
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("request %s: %s, retry after %v", e.ID, e.Reason, e.RetryAfter)
}
