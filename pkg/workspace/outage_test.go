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
	number         int
	startedAt, end time.Time
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

func (sim *outageSimulation) targetsDown(now time.Time) bool {
	return !now.Before(t0.Add(outageFrom)) && now.Before(t0.Add(outageUntil))
}

// scheduleRetry schedules the caller's next attempt after a time with a random spread of a fifth.
func (sim *outageSimulation) scheduleRetry(now time.Time, number int, after time.Duration) {
	if number >= maxAttempts {
		return
	}
	at := now.Add(time.Duration(float64(after) * (0.8 + 0.4*sim.rng.Float64())))
	sim.retriesByTick[at.Sub(t0).Milliseconds()/simulationTick.Milliseconds()] = append(sim.retriesByTick[at.Sub(t0).Milliseconds()/simulationTick.Milliseconds()], number+1)
}

func (sim *outageSimulation) offer(now time.Time, number int) {
	sim.offered++
	it := newItem(fmt.Sprint(sim.offered), fmt.Sprint("w", sim.offered%10), 1)
	it.Deadline = now.Add(attemptDeadline)
	if sim.q == nil {
		sim.fifo = append(sim.fifo, attempt{Item: it, number: number})
		return
	}
	sim.attemptNumbers[it.ID] = number
	displaced, err := sim.q.Offer(now, it)
	sim.retryRefused(now, displaced)
	if e, ok := err.(*RefusedError); ok {
		sim.retryRefused(now, e)
	}
}

func (sim *outageSimulation) retryRefused(now time.Time, e *RefusedError) {
	if e != nil {
		sim.scheduleRetry(now, sim.attemptNumbers[e.ID], e.RetryAfter)
		delete(sim.attemptNumbers, e.ID)
	}
}

// endAttempts ends the attempts that are done or, with a queue, have reached their deadline.
func (sim *outageSimulation) endAttempts(now time.Time) {
	stillRunning := sim.running[:0]
	for _, a := range sim.running {
		if sim.targetsDown(now) && a.stopped.IsZero() {
			a.stopped = now
		}
		finished := a.stopped.IsZero() && !a.end.After(now)
		cutOff := sim.q != nil && !a.Deadline.After(now)
		// Without limits a target that restarts resumes all the work that it was given.
		if sim.q == nil && !a.stopped.IsZero() && !sim.targetsDown(now) {
			a.end, a.stopped = a.end.Add(now.Sub(a.stopped)), time.Time{}
		}
		if !finished && !cutOff {
			stillRunning = append(stillRunning, a)
			continue
		}
		if finished && !now.After(a.Deadline) {
			sim.useful[now.Sub(t0)/(500*time.Millisecond)]++
		} else {
			sim.scheduleRetry(now, a.number, time.Second)
		}
		if sim.q == nil {
			continue
		}
		last := now
		if !a.stopped.IsZero() {
			last = a.stopped
		}
		share := max(0, min(1, last.Sub(a.startedAt).Seconds()/a.end.Sub(a.startedAt).Seconds()))
		sim.q.RecordEnd(now, a.Item, RunResult{a.startedAt, last, share})
	}
	sim.running = stillRunning
}

func (sim *outageSimulation) startAttempts(now time.Time) {
	took := func() time.Duration { return simServiceTime * time.Duration(75+sim.rng.IntN(51)) / 100 }
	if sim.q == nil {
		for len(sim.fifo) > 0 && len(sim.running) < simSlots {
			a := sim.fifo[0]
			sim.fifo, a.startedAt, a.end = sim.fifo[1:], now, now.Add(took())
			sim.running = append(sim.running, a)
		}
		return
	}
	started, late := sim.q.Dispatch(now, startN(simSlots-len(sim.running)))
	for _, it := range started {
		sim.running = append(sim.running, attempt{Item: it, number: sim.attemptNumbers[it.ID], startedAt: now, end: now.Add(took())})
		delete(sim.attemptNumbers, it.ID)
	}
	for _, e := range late {
		sim.retryRefused(now, e)
	}
}

// measureRecovery returns the time from the end of the outage until goodput exceeds 0.95 of its level before
// the outage for two seconds, and the minimum over two seconds after that, relative to that level.
func measureRecovery(seed uint64, q *Queue) (took time.Duration, minimum float64) {
	sim := &outageSimulation{
		q: q, rng: rand.New(rand.NewPCG(seed, 2)), attemptNumbers: map[string]int{}, retriesByTick: map[int64][]int{},
		useful: make([]int, simulationEnd/(500*time.Millisecond)+1),
	}
	// Arrivals are regular, so that a dip in goodput is not caused by a dip in load.
	due, perTick := 0.0, 0.8*simSlots/simServiceTime.Seconds()*simulationTick.Seconds()
	for tick := int64(0); tick < int64(simulationEnd/simulationTick); tick++ {
		now := t0.Add(time.Duration(tick) * simulationTick)
		sim.endAttempts(now)
		for due += perTick; due >= 1; due-- {
			sim.offer(now, 1)
		}
		for _, number := range sim.retriesByTick[tick] {
			sim.offer(now, number)
		}
		delete(sim.retriesByTick, tick)
		sim.startAttempts(now)
	}
	sum := func(from, n int) (s int) {
		for _, v := range sim.useful[from : from+n] {
			s += v
		}
		return s
	}
	const perWindow = 4
	before := float64(sum(20, 20)) / 20 * perWindow
	took, minimum = simulationEnd-outageUntil, 0
	for i := int(outageUntil / (500 * time.Millisecond)); i+perWindow < len(sim.useful); i++ {
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
