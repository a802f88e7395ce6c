package workspace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	outageFrom  = 20 * time.Second
	outageUntil = 25 * time.Second
	outageEnd   = 60 * time.Second
	outageTick  = 5 * time.Millisecond
	// outageDeadline is the time that each try of a caller may take.
	outageDeadline = 2 * time.Second
	outageTries    = 8
)

// outageJob is one try of a caller at a target.
type outageJob struct {
	Item
	try        int
	begun, end time.Time
	// stopped is when the target stopped, if it did.
	stopped time.Time
}

// outageRun drives callers that retry over targets that all stop for some seconds.
type outageRun struct {
	q       *Queue
	rng     *rand.Rand
	running []outageJob
	fifo    []outageJob
	tries   map[string]int
	later   map[int64][]int
	n       int
	// useful counts the answers in time by half seconds.
	useful []int
}

func (r *outageRun) down(now time.Time) bool {
	return !now.Before(t0.Add(outageFrom)) && now.Before(t0.Add(outageUntil))
}

// retry has the caller come back after a time, spread by a fifth.
func (r *outageRun) retry(now time.Time, try int, after time.Duration) {
	if try >= outageTries {
		return
	}
	at := now.Add(time.Duration(float64(after) * (0.8 + 0.4*r.rng.Float64())))
	r.later[at.Sub(t0).Milliseconds()/outageTick.Milliseconds()] = append(r.later[at.Sub(t0).Milliseconds()/outageTick.Milliseconds()], try+1)
}

func (r *outageRun) offer(now time.Time, try int) {
	r.n++
	it := item(fmt.Sprint(r.n), fmt.Sprint("w", r.n%10), 1)
	it.Deadline = now.Add(outageDeadline)
	if r.q == nil {
		r.fifo = append(r.fifo, outageJob{Item: it, try: try})
		return
	}
	r.tries[it.ID] = try
	displaced, err := r.q.Offer(now, it)
	r.refused(now, displaced)
	if e, ok := err.(*RefusedError); ok {
		r.refused(now, e)
	}
}

func (r *outageRun) refused(now time.Time, e *RefusedError) {
	if e != nil {
		r.retry(now, r.tries[e.ID], e.RetryAfter)
		delete(r.tries, e.ID)
	}
}

// finish ends what has come to its end or, with a queue, to its deadline.
func (r *outageRun) finish(now time.Time) {
	still := r.running[:0]
	for _, j := range r.running {
		if r.down(now) && j.stopped.IsZero() {
			j.stopped = now
		}
		over := j.stopped.IsZero() && !j.end.After(now)
		cut := r.q != nil && !j.Deadline.After(now)
		// Without limits a target that comes back goes on with all that it was given.
		if r.q == nil && !j.stopped.IsZero() && !r.down(now) {
			j.end, j.stopped = j.end.Add(now.Sub(j.stopped)), time.Time{}
		}
		if !over && !cut {
			still = append(still, j)
			continue
		}
		if over && !now.After(j.Deadline) {
			r.useful[now.Sub(t0)/(500*time.Millisecond)]++
		} else {
			r.retry(now, j.try, time.Second)
		}
		if r.q == nil {
			continue
		}
		last := now
		if !j.stopped.IsZero() {
			last = j.stopped
		}
		share := max(0, min(1, last.Sub(j.begun).Seconds()/j.end.Sub(j.begun).Seconds()))
		r.q.RecordEnd(now, j.Item, RunResult{j.begun, last, share})
	}
	r.running = still
}

func (r *outageRun) start(now time.Time) {
	took := func() time.Duration { return simService * time.Duration(75+r.rng.IntN(51)) / 100 }
	if r.q == nil {
		for len(r.fifo) > 0 && len(r.running) < simSlots {
			j := r.fifo[0]
			r.fifo, j.begun, j.end = r.fifo[1:], now, now.Add(took())
			r.running = append(r.running, j)
		}
		return
	}
	started, late := r.q.Dispatch(now, startN(simSlots-len(r.running)))
	for _, it := range started {
		r.running = append(r.running, outageJob{Item: it, try: r.tries[it.ID], begun: now, end: now.Add(took())})
		delete(r.tries, it.ID)
	}
	for _, e := range late {
		r.refused(now, e)
	}
}

// recovery returns the time from the outage's end until useful work is above 0.95 of before for
// two seconds, and the least of two seconds after that, as shares of before.
func recovery(seed uint64, q *Queue) (took time.Duration, least float64) {
	r := &outageRun{
		q: q, rng: rand.New(rand.NewPCG(seed, 2)), tries: map[string]int{}, later: map[int64][]int{},
		useful: make([]int, outageEnd/(500*time.Millisecond)+1),
	}
	// The arrivals are regular, so that a dip in useful work is none in the load.
	due, perTick := 0.0, 0.8*simSlots/simService.Seconds()*outageTick.Seconds()
	for tick := int64(0); tick < int64(outageEnd/outageTick); tick++ {
		now := t0.Add(time.Duration(tick) * outageTick)
		r.finish(now)
		for due += perTick; due >= 1; due-- {
			r.offer(now, 1)
		}
		for _, try := range r.later[tick] {
			r.offer(now, try)
		}
		delete(r.later, tick)
		r.start(now)
	}
	sum := func(from, n int) (s int) {
		for _, v := range r.useful[from : from+n] {
			s += v
		}
		return s
	}
	const perWindow = 4
	before := float64(sum(20, 20)) / 20 * perWindow
	took, least = outageEnd-outageUntil, 0
	for i := int(outageUntil / (500 * time.Millisecond)); i+perWindow < len(r.useful); i++ {
		share := float64(sum(i, perWindow)) / before
		switch {
		case least > 0:
			least = min(least, share)
		case share > 0.95:
			took, least = time.Duration(i)*500*time.Millisecond-outageUntil, share
		}
	}
	return took, least
}

// Guards against an outage of all targets after which the retries of callers, or estimates from
// the outage, keep useful work down, at once or a second time.
func TestUsefulWorkComesBackAfterAnOutage(t *testing.T) {
	for seed := range uint64(20) {
		took, least := recovery(seed, queue(200))
		plain, _ := recovery(seed, nil)
		t.Logf("seed %d: back after %v, least after that %.2f of before; without a queue after %v", seed, took, least, plain)
		// The slots are held until the deadline of the work that was started in the outage.
		require.LessOrEqual(t, took, outageDeadline+time.Second)
		require.Greater(t, least, 0.9)
		require.Greater(t, plain, 2*took, "the load does not show the fault that the queue prevents")
	}
}
