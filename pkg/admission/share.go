package admission

import (
	"math"
	"slices"
	"strconv"
	"time"

	"bambooferry.example/bambooferry/pkg/workspace"
)

const (
	// reserveShare is the part of the room that only requests of the highest priority may use. They find a free slot then
	// although the requests of others are taken in as soon as there is room at all.
	reserveShare = 0.01
	// creditTime is the time within which the instances together take what is left over. It is about as long as what
	// they know of each other is old; a shorter one lets several take the same slot.
	creditTime = 200 * time.Millisecond
	// gateLoad is the part of the room that requests of the highest priority may need without being held to the
	// instance's part of the room: few of them wait anywhere then.
	gateLoad = 0.9
	// leastArrivals is the number of arrivals that an instance counts as if it has got fewer, so that it gets some room.
	leastArrivals = 0.5
	// overload is the part of the room that is needed above which some requests can't be served, so that the room is divided.
	overload = 0.95
	// rateTime is the time over which arrivals are averaged to find what is left for a priority; a longer one delays the
	// end of refusals when a load ends.
	rateTime = time.Second
	// minRateShare is the least part of the room that the estimate of a wait assumes to be left for a lower priority.
	minRateShare = 0.03
)

// credit holds how many requests an instance may start beyond its part of the room, out of what the others leave unused.
type credit struct {
	amount float64
	at     time.Time
	// boost multiplies the part while the room stays unused, since few of the others have requests that wait.
	boost float64
}

const (
	// maxBoost bounds the boost, which grows by e in boostTime and is gone several times sooner once the room is used.
	maxBoost  = 32
	boostTime = 150 * time.Millisecond
	// unusedShare is the free part of the room, beyond the reserve, above which it counts as unused.
	unusedShare = 0.01
)

// update adds what has become due since the last update.
func (c *credit) update(now time.Time, part float64, room Room) {
	free := float64(max(room.Free()-reserve(room), 0))
	d := min(max(now.Sub(c.at), 0), creditTime)
	c.at = now
	change := math.Exp(d.Seconds() / boostTime.Seconds())
	if free <= unusedShare*float64(room.Slots) {
		change = math.Pow(change, -1)
	}
	c.boost = min(max(c.boost*change, 1), maxBoost)
	part = min(part*c.boost, 1)
	c.amount = min(c.amount+part*free*d.Seconds()/creditTime.Seconds(), max(part*free, 1))
}

// reserve returns the number of slots that only requests of the highest priority may use.
func reserve(room Room) int { return int(reserveShare*float64(room.Slots) + 0.5) }

// start says what lets a request start, if anything does.
type start int

const (
	noStart start = iota
	// onFreeRoom is a start for which there is room, within the instance's part or for the highest priority.
	onFreeRoom
	// onCredit is a start beyond the instance's part.
	onCredit
	// onOwnEnd is a start in place of an own request that has just ended.
	onOwnEnd
)

// mayStart returns what lets a request of a priority start now.
func (c *Controller) mayStart(now time.Time, room Room, priority int) start {
	if room.Unlimited {
		return onFreeRoom
	}
	free := room.Free()
	within := float64(room.Own+1) <= c.arrivals.part(now, recentTime, leastArrivals)*float64(room.Slots)
	first := c.classes.shareAbove(now, priority) == 0
	switch {
	case room.Refusing > 0 && free < 1:
		return noStart
	case first && free >= 1 && c.demandUpTo(now, priority, room, recentTime) <= gateLoad, within && free > c.reserveFor(room, first):
		return onFreeRoom
	case within && c.ownEnds.any(now):
		return onOwnEnd
	case c.credit.amount >= 1 && free > c.reserveFor(room, first):
		return onCredit
	}
	return noStart
}

// demandUpTo returns the part of the room that the requests of all instances need that are at least as important as a
// priority.
func (c *Controller) demandUpTo(now time.Time, priority int, room Room, within time.Duration) float64 {
	_, all := c.arrivals.within(now, within)
	return c.classes.shareUpTo(now, priority) * all / within.Seconds() * room.ServiceTime.Seconds() / float64(max(room.Slots, 1))
}

// reserveFor returns the number of slots that a request must leave free.
func (*Controller) reserveFor(room Room, first bool) int {
	if first {
		return 0
	}
	return reserve(room)
}

// ownEndTime is how long the slot of an own request that has ended is known to be free: until others know of it.
const ownEndTime = 100 * time.Millisecond

// ownEnds holds when own requests have ended whose slots this instance has not used again.
type ownEnds struct{ at []time.Time }

func (o *ownEnds) any(now time.Time) bool {
	o.at = slices.DeleteFunc(o.at, func(at time.Time) bool { return now.Sub(at) > ownEndTime })
	return len(o.at) > 0
}

// use records that the instance has started a request; it has the slot of the latest end.
func (o *ownEnds) use() {
	if len(o.at) > 0 {
		o.at = o.at[:len(o.at)-1]
	}
}

// ownRate returns how many requests of a priority this instance is expected to start a second, or 0 if it is not known.
func (c *Controller) ownRate(now time.Time, room Room, priority int) float64 {
	if room.ServiceTime <= 0 {
		return 0
	}
	_, all := c.arrivals.within(now, rateTime)
	ends := float64(room.Slots) / room.ServiceTime.Seconds()
	left := max(ends-c.classes.shareAbove(now, priority)*all/rateTime.Seconds(), minRateShare*ends)
	return left * min(c.arrivals.part(now, c.Window, leastArrivals)*c.credit.boost, 1)
}

// estimate returns how long a request is expected to wait behind others of a cost, at a rate of starts.
func (c *Controller) estimate(perSecond, costAhead float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration((costAhead/max(c.shares.meanCost, 1) + 1) / perSecond * float64(time.Second))
}

// overloaded reports whether the requests that are at least as important as one need more than the room.
func (c *Controller) overloaded(now time.Time, room Room, req *Request) bool {
	return c.demandUpTo(now, req.Priority, room, rateTime) > overload
}

// takeAllowance returns the allowance of a request's workspace.
func (c *Controller) takeAllowance(now time.Time, room Room, req *Request, perSecond float64) *allowance {
	a := c.allowances[req.Priority]
	if a == nil {
		a = &allowances{}
		c.allowances[req.Priority] = a
	}
	w := a.of(now, req.Workspace)
	a.update(now, perSecond, len(c.waiting) == 0 && room.Free() > reserve(room))
	return w
}

// classCounts counts this instance's arrivals by priority.
type classCounts struct {
	window time.Duration
	counts map[int]*binnedCount
}

func (c *classCounts) record(now time.Time, priority int) {
	if c.counts == nil {
		c.counts = map[int]*binnedCount{}
	}
	if c.counts[priority] == nil {
		c.counts[priority] = newBinnedCount(c.window)
	}
	c.counts[priority].add(now, 1)
}

// shareUpTo returns the share of the arrivals that are at least as important as a priority.
func (c *classCounts) shareUpTo(now time.Time, priority int) float64 {
	upTo, all := 0.0, 0.0
	for p, b := range c.counts {
		b.advance(now)
		n := b.sum(c.window)
		if n == 0 {
			delete(c.counts, p)
		}
		all += n
		if p <= priority {
			upTo += n
		}
	}
	return upTo / max(all, 1)
}

// shareAbove returns the share of the arrivals that are more important than a priority.
func (c *classCounts) shareAbove(now time.Time, priority int) float64 {
	return c.shareUpTo(now, priority-1)
}

const (
	queueEntry = "pool"
	// sizeClasses is the number of size classes, and sizeWeight a weight that can be divided by each number of them.
	sizeClasses = 3
	sizeWeight  = 6
	// sizeSamples is the number of requests over which sizes are averaged.
	sizeSamples = 64
	// maxCost bounds the cost of one request in units of the cost of one of usual size.
	maxCost = 4
)

// shares divides the room between workspaces, and the share of a workspace between its size classes.
type shares struct {
	meanSize float64
	meanCost float64
	samples  int
	// waiting counts a workspace's waiting requests by size class.
	waiting map[string]*[sizeClasses]int
}

func (s *shares) observeSize(size float64) {
	s.samples = min(s.samples+1, sizeSamples)
	if size > 0 {
		s.meanSize += (size - s.meanSize) / float64(s.samples)
	}
	s.meanCost += (s.cost(size) - s.meanCost) / float64(s.samples)
}

// sizeClass returns the class of a size: under half, about, or over twice the mean.
func (s *shares) sizeClass(size float64) int {
	switch {
	case size <= 0 || s.meanSize == 0 || size <= 2*s.meanSize && size >= s.meanSize/2:
		return 1
	case size < s.meanSize:
		return 0
	}
	return 2
}

// item returns a request as an item of the queue, and its size class. Each size class is a flow of its own; those of one
// workspace divide the workspace's weight.
func (s *shares) item(req Request) (it workspace.Item, class int) {
	class = s.sizeClass(req.Size)
	active := 1
	if counts := s.waiting[req.Workspace]; counts != nil {
		for other, n := range counts {
			if other != class && n > 0 {
				active++
			}
		}
	}
	return workspace.Item{
		ID: req.ID, Workspace: req.Workspace + "/" + strconv.Itoa(class), Weight: sizeWeight / active,
		Entry: queueEntry, Class: classOf(req), Cost: s.cost(req.Size), Deadline: req.StartBy,
	}, class
}

// classOf returns the class of a request in the queue, which serves higher ones first.
func classOf(req Request) int {
	if req.Again {
		return 1 - 2*req.Priority
	}
	return -2 * req.Priority
}

// priorityOf returns the priority of the requests of a class.
func priorityOf(class int) int { return (1 - class) / 2 }

// cost returns the cost of a request in units of one of usual size; a small one needs a slot as well.
func (s *shares) cost(size float64) float64 {
	if size <= 0 || s.meanSize == 0 {
		return 1
	}
	return min(max(size/s.meanSize, 1), maxCost)
}

func (s *shares) added(workspaceName string, class int) {
	if s.waiting == nil {
		s.waiting = map[string]*[sizeClasses]int{}
	}
	if s.waiting[workspaceName] == nil {
		s.waiting[workspaceName] = &[sizeClasses]int{}
	}
	s.waiting[workspaceName][class]++
}

func (s *shares) removed(workspaceName string, class int) {
	counts := s.waiting[workspaceName]
	if counts[class]--; *counts == [sizeClasses]int{} {
		delete(s.waiting, workspaceName)
	}
}
