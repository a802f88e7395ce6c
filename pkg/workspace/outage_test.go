package workspace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	outageFrom     = 20 * time.Second
	outageUntil    = 25 * time.Second
	simulationEnd  = 60 * time.Second
	simulationTick = 5 * time.Millisecond
	// attemptDeadline is the time limit for each attempt of a caller.
	attemptDeadline = 2 * time.Second
	maxAttempts     = 8
)

// attempt is one attempt of a caller to get a request served.
type attempt struct {
	Item
	number     int
	begun, end time.Time
	// stopped is when the target stopped, or zero.
	stopped time.Time
}

// outageSimulation simulates callers that retry while all targets stop for some seconds.
type outageSimulation struct {
	q              *Queue
	rng            *rand.Rand
	running        []attempt
	fifo           []attempt
	attemptNumbers map[string]int
	retriesByTick  map[int64][]int
	offered        int
	// useful counts the requests that ended in time, per half second.
	useful []int
}

func (r *outageSimulation) targetsDown(now time.Time) bool {
	return !now.Before(t0.Add(outageFrom)) && now.Before(t0.Add(outageUntil))
}

// scheduleRetry schedules the caller's next attempt after a time with a random spread of a fifth.
func (r *outageSimulation) scheduleRetry(now time.Time, number int, after time.Duration) {
	if number >= maxAttempts {
		return
	}
	at := now.Add(time.Duration(float64(after) * (0.8 + 0.4*r.rng.Float64())))
	r.retriesByTick[at.Sub(t0).Milliseconds()/simulationTick.Milliseconds()] = append(r.retriesByTick[at.Sub(t0).Milliseconds()/simulationTick.Milliseconds()], number+1)
}

func (r *outageSimulation) offer(now time.Time, number int) {
	r.offered++
	it := newItem(fmt.Sprint(r.offered), fmt.Sprint("w", r.offered%10), 1)
	it.Deadline = now.Add(attemptDeadline)
	if r.q == nil {
		r.fifo = append(r.fifo, attempt{Item: it, number: number})
		return
	}
	r.attemptNumbers[it.ID] = number
	displaced, err := r.q.Offer(now, it)
	r.retryRefused(now, displaced)
	if e, ok := err.(*RefusedError); ok {
		r.retryRefused(now, e)
	}
}

func (r *outageSimulation) retryRefused(now time.Time, e *RefusedError) {
	if e != nil {
		r.scheduleRetry(now, r.attemptNumbers[e.ID], e.RetryAfter)
		delete(r.attemptNumbers, e.ID)
	}
}

// endAttempts ends the attempts that are done or, with a queue, have reached their deadline.
func (r *outageSimulation) endAttempts(now time.Time) {
	stillRunning := r.running[:0]
	for _, j := range r.running {
		if r.targetsDown(now) && j.stopped.IsZero() {
			j.stopped = now
		}
		finished := j.stopped.IsZero() && !j.end.After(now)
		cutOff := r.q != nil && !j.Deadline.After(now)
		// Without limits a target that restarts resumes all the work that it was given.
		if r.q == nil && !j.stopped.IsZero() && !r.targetsDown(now) {
			j.end, j.stopped = j.end.Add(now.Sub(j.stopped)), time.Time{}
		}
		if !finished && !cutOff {
			stillRunning = append(stillRunning, j)
			continue
		}
		if finished && !now.After(j.Deadline) {
			r.useful[now.Sub(t0)/(500*time.Millisecond)]++
		} else {
			r.scheduleRetry(now, j.number, time.Second)
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
	r.running = stillRunning
}

func (r *outageSimulation) startAttempts(now time.Time) {
	took := func() time.Duration { return simServiceTime * time.Duration(75+r.rng.IntN(51)) / 100 }
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
		r.running = append(r.running, attempt{Item: it, number: r.attemptNumbers[it.ID], begun: now, end: now.Add(took())})
		delete(r.attemptNumbers, it.ID)
	}
	for _, e := range late {
		r.retryRefused(now, e)
	}
}

// measureRecovery returns the time from the end of the outage until goodput exceeds 0.95 of its level before
// the outage for two seconds, and the minimum over two seconds after that, relative to that level.
func measureRecovery(seed uint64, q *Queue) (took time.Duration, minimum float64) {
	r := &outageSimulation{
		q: q, rng: rand.New(rand.NewPCG(seed, 2)), attemptNumbers: map[string]int{}, retriesByTick: map[int64][]int{},
		useful: make([]int, simulationEnd/(500*time.Millisecond)+1),
	}
	// Arrivals are regular, so that a dip in goodput is not caused by a dip in load.
	due, perTick := 0.0, 0.8*simSlots/simServiceTime.Seconds()*simulationTick.Seconds()
	for tick := int64(0); tick < int64(simulationEnd/simulationTick); tick++ {
		now := t0.Add(time.Duration(tick) * simulationTick)
		r.endAttempts(now)
		for due += perTick; due >= 1; due-- {
			r.offer(now, 1)
		}
		for _, number := range r.retriesByTick[tick] {
			r.offer(now, number)
		}
		delete(r.retriesByTick, tick)
		r.startAttempts(now)
	}
	sum := func(from, n int) (s int) {
		for _, v := range r.useful[from : from+n] {
			s += v
		}
		return s
	}
	const perWindow = 4
	before := float64(sum(20, 20)) / 20 * perWindow
	took, minimum = simulationEnd-outageUntil, 0
	for i := int(outageUntil / (500 * time.Millisecond)); i+perWindow < len(r.useful); i++ {
		share := float64(sum(i, perWindow)) / before
		switch {
		case minimum > 0:
			minimum = min(minimum, share)
		case share > 0.95:
			took, minimum = time.Duration(i)*500*time.Millisecond-outageUntil, share
		}
	}
	return took, minimum
}

// Guards against an outage of all targets after which retries, or estimates made during the
// outage, keep goodput low, immediately or later.
func TestGoodputRecoversAfterAnOutage(t *testing.T) {
	for seed := range uint64(20) {
		recoveryTime, minimum := measureRecovery(seed, newQueue(200))
		fifoRecoveryTime, _ := measureRecovery(seed, nil)
		t.Logf("seed %d: recovered after %v, minimum goodput after that %.2f of the level before; without a queue recovered after %v", seed, recoveryTime, minimum, fifoRecoveryTime)
		// Slots stay occupied until the deadline of the work that was started during the outage.
		require.LessOrEqual(t, recoveryTime, attemptDeadline+time.Second)
		require.Greater(t, minimum, 0.9)
		require.Greater(t, fifoRecoveryTime, 2*recoveryTime, "the load does not cause the slow recovery that the queue prevents")
	}
}
