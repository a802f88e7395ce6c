package relay

import (
	"context"
	"math"
	"slices"
	"time"

	"bambooferry.example/bambooferry/pkg/route"
)

const (
	// objectiveFraction is the part of a call's objective for which it waits for room, as a divisor, and
	// defaultRoomPatience how long it waits if it has no objective.
	objectiveFraction   = 8
	defaultRoomPatience = 40 * time.Millisecond
	// roomCheckInterval is the time after which the first waiting call tries again although no end of a request is known:
	// the turns of the instances change with time.
	roomCheckInterval = 10 * time.Millisecond
)

// roomQueue holds the calls that wait until one of the pool's brittle targets has room, in the order in which they came.
type roomQueue struct {
	waiting []chan struct{}
}

// join appends a call, unless more wait already than the targets are expected to take in time.
func (q *roomQueue) join(bound int) (wake chan struct{}, ok bool) {
	if len(q.waiting) >= bound {
		return nil, false
	}
	wake = make(chan struct{}, 1)
	q.waiting = append(q.waiting, wake)
	return wake, true
}

// leave removes a call, and wakes the one that is first now.
func (q *roomQueue) leave(wake chan struct{}) {
	q.waiting = slices.DeleteFunc(q.waiting, func(other chan struct{}) bool { return other == wake })
	q.wakeFirst()
}

func (q *roomQueue) isFirst(wake chan struct{}) bool {
	return len(q.waiting) > 0 && q.waiting[0] == wake
}

func (q *roomQueue) wakeFirst() {
	if len(q.waiting) == 0 {
		return
	}
	select {
	case q.waiting[0] <- struct{}{}:
	default:
	}
}

// joinRoomQueue lets a call wait for room, unless this instance may not fill any target now or too many calls wait.
func (p *pool) joinRoomQueue(now time.Time, patience time.Duration) (wake chan struct{}, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.refusalLimits.Any() {
		return nil, false
	}
	places := 0
	turn, _ := route.Turn(now)
	for i := range p.targets {
		if t := &p.targets[i]; p.isOpenIfRoom(now, t) && p.hasTurn(turn, t.ID) {
			places += p.refusalLimits.Room(*t)
		}
	}
	return p.rooms.join(p.expectedEnds(places, patience))
}

// expectedEnds returns how many requests are expected to end within a time at targets that run a number of them, at least
// one if they run any; the caller holds mu.
func (p *pool) expectedEnds(running int, within time.Duration) int {
	usual := p.enginePool.ServiceTime()
	if running == 0 || usual == 0 {
		return min(running, 1)
	}
	return int(math.Ceil(float64(running) * within.Seconds() / usual.Seconds()))
}

func (p *pool) leaveRoomQueue(wake chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rooms.leave(wake)
}

// callWaits reports whether a call waits for room that must be served before one that comes now.
func (p *pool) callWaits() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.rooms.waiting) > 0
}

func (p *pool) isFirstInRoomQueue(wake chan struct{}) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rooms.isFirst(wake)
}

// roomPatience returns how long a call waits for room before it is refused.
func (req *callerRequest) roomPatience(now time.Time) time.Duration {
	patience := defaultRoomPatience
	if req.route.Objective > 0 {
		patience = req.route.Objective / objectiveFraction
	}
	return min(patience, req.deadline.Sub(now)/objectiveFraction)
}

// startFirst starts the call's first attempt, after a wait if its targets are brittle and will have room soon. It reports
// false if the call is to be refused.
func (c *callHandler) startFirst(ctx, sendCtx context.Context) bool {
	if !c.req.pool.callWaits() && c.startAttempt(sendCtx, "first") {
		return true
	}
	now := time.Now()
	patience := c.req.roomPatience(now)
	wake, ok := c.req.pool.joinRoomQueue(now, patience)
	if !ok {
		return false
	}
	defer c.req.pool.leaveRoomQueue(wake)
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	check := time.NewTicker(roomCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-wake:
		case <-check.C:
		case <-ctx.Done():
			return false
		}
		if c.req.pool.isFirstInRoomQueue(wake) && c.startAttempt(sendCtx, "room") {
			return true
		}
	}
}
