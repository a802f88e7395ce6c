package workspace

import "time"

// Counts tells where useful work is lost; all numbers count from the start.
type Counts struct {
	// Ended counts the requests that ended at a target.
	Ended int
	// LateStarted counts those that ended after their deadline and were started when less than the
	// usual time of a request was left, LateTargetStopped those whose target stopped, and LateSlow those
	// that took longer than usual.
	LateStarted, LateTargetStopped, LateSlow int
	// IdleSlotTime is the time from target slots coming free to their next start while requests waited,
	// and Taken the number of slots that were taken after such a time.
	IdleSlotTime   time.Duration
	IdleSlotsTaken int
}

// Counts returns what the queue has counted.
func (q *Queue) Counts() Counts { return q.counts }

// RecordFreedSlot notes that a target slot of an entry came free.
func (q *Queue) RecordFreedSlot(now time.Time, entry string) {
	if q.EntryLen(entry) == 0 {
		return
	}
	q.init()
	q.free[entry] = append(q.free[entry], now)
}

// taken ends the idle time of the slot of an entry that has been free for longest.
func (q *Queue) taken(now time.Time, entry string) {
	list := q.free[entry]
	if len(list) == 0 {
		return
	}
	q.counts.IdleSlotTime += now.Sub(list[0])
	q.counts.IdleSlotsTaken++
	q.free[entry] = list[1:]
}

// countEnd counts the end of a request by whether it was late, and why.
func (q *Queue) countEnd(now time.Time, it Item, run RunResult) {
	q.counts.Ended++
	service := q.rate(it.Entry).service
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
