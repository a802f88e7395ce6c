package admission

import "time"

// Request is a request that asks for room.
type Request struct {
	// ID must be unique among the waiting requests.
	ID        string
	Workspace string
	// Priority ranks the request; 0 is the most important.
	Priority int
	// Size is the size of the work, such as its tokens, or 0 if it is not known.
	Size float64
	// StartBy is the latest time at which the request can start and still be served in time; see LatestStart.
	StartBy time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Again is set for a request that was admitted and then refused by its target. It comes before others of its priority.
	Again bool
}

// toleranceDivisor is the part, as a divisor, of the time between a request's objective and its deadline by which its
// objective may be missed before the request is refused.
const toleranceDivisor = 8

// LatestStart returns the latest time at which a request can start that has come now: it is served by its objective plus
// the tolerance of its deadline if its first output takes as long as usual. Without an objective, a quarter of the time
// to the deadline takes its place.
func LatestStart(now time.Time, objective time.Duration, deadline time.Time, usual time.Duration) time.Time {
	allowed := deadline.Sub(now)
	if objective <= 0 {
		objective = allowed / 4
	}
	objective = min(objective, allowed)
	return now.Add(max(objective+(allowed-objective)/toleranceDivisor-usual, 0))
}

// Decision is what becomes of a request.
type Decision string

// The decisions.
const (
	Admit  Decision = "admit"
	Wait   Decision = "wait"
	Refuse Decision = "refuse"
)

// Reason is the stable code of why a request was refused.
type Reason string

// The reasons of refusals.
const (
	// NotInTime means that the request could not start in time behind those before it.
	NotInTime Reason = "not_in_time"
	// Late means that the request has waited until it could no longer be served in time.
	Late Reason = "late"
	// OverShare means that the workspace has used its share of what is left for the priority.
	OverShare Reason = "over_share"
	// QueueFull means that no more requests may wait.
	QueueFull Reason = "too_many_waiting"
	// Displaced means that a request of a higher priority or another workspace took the place.
	Displaced Reason = "displaced"
)

// Verdict is the decision on a request, with the figures that it was based on.
type Verdict struct {
	ID       string
	Decision Decision
	// Until is when a waiting request is refused at the latest.
	Until time.Time
	// Reason and RetryAfter are set for a refusal.
	Reason     Reason
	RetryAfter time.Duration
	// Waited is how long the request has waited.
	Waited time.Duration
	// Free and Slots are the pool's room, Part is this instance's part of it, Estimate the expected wait and Position the
	// number of requests that are served before.
	Free, Slots int
	Part        float64
	Estimate    time.Duration
	Position    int
}
