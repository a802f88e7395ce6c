package workspace

import "time"

// Counts shows where capacity for useful work is lost; all numbers are totals since the start.
type Counts struct {
	// Ended counts the requests that were started and have ended.
	Ended int
	// LateStarted counts those that ended after their deadline because less than the mean service
	// time was left when they were started, LateTargetStopped those whose target stopped, and LateSlow
	// those that took longer than usual.
	LateStarted, LateTargetStopped, LateSlow int
	// IdleSlotTime is the total time from a target slot becoming free to its next use while requests
	// waited, and IdleSlotsTaken the number of slots that were used again after such a time.
	IdleSlotTime   time.Duration
	IdleSlotsTaken int
}

// Counts returns the counters so far.
func (q *Queue) Counts() Counts { return q.counts }

// RecordFreedSlot records that a target slot of an entry became free.
func (q *Queue) RecordFreedSlot(now time.Time, entry string) {
	if q.EntryLen(entry) == 0 {
		return
	}
	q.init()
	q.freedSlots[entry] = append(q.freedSlots[entry], now)
}

// recordTakenSlot ends the idle time of the entry's slot that has been free for longest.
func (q *Queue) recordTakenSlot(now time.Time, entry string) {
	list := q.freedSlots[entry]
	if len(list) == 0 {
		return
	}
	q.counts.IdleSlotTime += now.Sub(list[0])
	q.counts.IdleSlotsTaken++
	q.freedSlots[entry] = list[1:]
}

// countEnd counts the end of a request and, if it was late, the cause.
func (q *Queue) countEnd(now time.Time, it Item, run RunResult) {
	q.counts.Ended++
	service := q.estimator(it.Entry).serviceTime
	switch {
	case now.Before(it.Deadline):
	case run.StartedAt.Add(service).After(it.Deadline):
		q.counts.LateStarted++
	case run.FractionDone < 1 && now.Sub(run.LastProgress) > service:
		q.counts.LateTargetStopped++
	default:
		q.counts.LateSlow++
	}
}
