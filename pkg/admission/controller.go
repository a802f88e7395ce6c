package admission

import (
	"math"
	"math/rand/v2"
	"time"

	"bambooferry.example/bambooferry/pkg/workspace"
)

const (
	// shortBelow is the free part of the room below which it is short, and enoughAbove that above which it no longer is.
	shortBelow  = 0.05
	enoughAbove = 0.15
	// defaultQueueLimit bounds the waiting requests of one instance for one pool.
	defaultQueueLimit = 256
	// overloadWaitDivisor bounds the expected wait while the room is divided, as a divisor of the time that a request has:
	// estimates err, and a caller that is refused at once can still come back in time.
	overloadWaitDivisor = 5
	// startedTimeout is the time after which an admitted request counts in the stated room, if Started is not called.
	startedTimeout = 200 * time.Millisecond
	// freezeGap is the time between two decisions with waiting requests above which the process did not run in between,
	// and thawTime how long what others stated before counts on: their news arrive within it.
	freezeGap = time.Second
	thawTime  = 500 * time.Millisecond
)

// Controller decides on the requests of one instance for one pool; set its exported fields before the first call.
//
// While requests wait, the owner calls Next at least each 100 ms.
type Controller struct {
	// QueueLimit is the maximum number of waiting requests, or 0 for 256.
	QueueLimit int
	// Window is the time that the counts given to SetArrivals cover, or 0 for 10 s.
	Window time.Duration
	// Seed determines how the times to come back are spread; instances need different ones.
	Seed uint64

	random   *rand.Rand
	arrivals arrivals
	classes  classCounts
	shares   shares
	// allowances are those of the workspaces, by priority.
	allowances map[int]*allowances
	queue      workspace.Queue
	waiting    map[string]*waitingRequest
	// admitted holds when requests were admitted that the stated room may not contain yet.
	admitted map[string]time.Time
	// settled holds the verdicts on requests that have waited, until Next returns them.
	settled []Verdict
	short   bool
	// switches counts how often the room has become short or enough.
	switches int
	credit   credit
	ownEnds  ownEnds
	seenAt   time.Time
	// heldRunning counts in place of a lower number of running requests until heldUntil.
	heldRunning int
	heldUntil   time.Time
	lastRunning int
}

type waitingRequest struct {
	Request
	sizeClass int
	since     time.Time
	// extended is set if StartBy was put off since a load was over.
	extended bool
	// allowance is what the request was taken from, or nil.
	allowance *allowance
}

// giveBack returns what the request was taken from, since it does not start.
func (w *waitingRequest) giveBack() {
	w.allowance.charge(-1)
}

func (c *Controller) init() {
	if c.waiting != nil {
		return
	}
	if c.QueueLimit <= 0 {
		c.QueueLimit = defaultQueueLimit
	}
	if c.Window <= 0 {
		c.Window = defaultWindow
	}
	c.random = rand.New(rand.NewPCG(c.Seed, c.Seed))
	c.arrivals.window, c.classes.window = c.Window, c.Window
	c.queue.EntryLimits, c.queue.TotalLimit = map[string]int{queueEntry: c.QueueLimit}, c.QueueLimit
	c.allowances = map[int]*allowances{}
	c.waiting, c.admitted = map[string]*waitingRequest{}, map[string]time.Time{}
}

// SetArrivals records how many requests another instance has got for the pool within Window, or this one if instance is
// empty.
func (c *Controller) SetArrivals(now time.Time, instance string, count int) {
	c.init()
	c.arrivals.set(now, instance, count)
}

// Waiting returns the number of waiting requests.
func (c *Controller) Waiting() int { return len(c.waiting) }

// Short reports whether the room was short at the last decision.
func (c *Controller) Short() bool { return c.short }

// Switches returns how often the room has become short or enough.
func (c *Controller) Switches() int { return c.switches }

// Decide decides on a request that has come. While the room is not short, each request is admitted.
func (c *Controller) Decide(now time.Time, req Request, room Room) Verdict {
	c.init()
	room = c.observe(now, room)
	if !req.Again {
		c.classes.record(now, req.Priority)
		c.shares.observeSize(req.Size)
	}
	if !c.short || room.Slots == 0 {
		return c.verdict(now, Verdict{ID: req.ID, Decision: Admit}, room)
	}
	if until := now.Add(extraTime); req.Again && req.StartBy.Before(until) && !until.After(req.Deadline) && !c.overloaded(now, room, &req) {
		req.StartBy = until
	}
	item, sizeClass := c.shares.item(req)
	v := Verdict{ID: req.ID, Decision: Wait, Until: req.StartBy, Position: int(math.Ceil(c.queue.CostAhead(item)))}
	// The rest of a load that is over is gone sooner than the rates say that were measured during it.
	perSecond, patience := c.ownRate(now, room, req.Priority), req.StartBy.Sub(now)+extraTime
	var allowance *allowance
	if !req.Again && c.overloaded(now, room, &req) {
		patience = req.StartBy.Sub(now) / overloadWaitDivisor
		if room.freeShare() < shortBelow {
			allowance = c.takeAllowance(now, room, &req, perSecond)
		}
	}
	if allowance != nil && allowance.amount < 1 {
		v.Estimate = req.StartBy.Sub(now)
		allowance.charge(askCost)
		return c.refusal(now, v, OverShare, &req, room)
	}
	if v.Position > 0 || c.mayStart(now, room, req.Priority) == noStart {
		if v.Estimate = c.estimate(perSecond, c.queue.CostAhead(item)); v.Estimate > patience {
			allowance.charge(askCost)
			return c.refusal(now, v, NotInTime, &req, room)
		}
	}
	displaced, err := c.queue.Offer(now, item)
	if err != nil {
		reason := QueueFull
		if !now.Before(req.StartBy) {
			reason = Late
		}
		return c.refusal(now, v, reason, &req, room)
	}
	c.waiting[req.ID] = &waitingRequest{Request: req, sizeClass: sizeClass, since: now, allowance: allowance}
	allowance.charge(1)
	c.shares.added(req.Workspace, sizeClass)
	if displaced != nil {
		c.settleRefused(now, displaced.ID, Displaced, room)
	}
	c.dispatch(now, room)
	for i := range c.settled {
		if c.settled[i].ID == req.ID {
			settled := c.settled[i]
			c.settled = append(c.settled[:i], c.settled[i+1:]...)
			return settled
		}
	}
	return c.verdict(now, v, room)
}

// Next returns the verdicts on requests that need not wait any longer.
func (c *Controller) Next(now time.Time, room Room) []Verdict {
	c.init()
	if len(c.waiting) > 0 || c.short {
		c.dispatch(now, c.observe(now, room))
	}
	list := c.settled
	c.settled = nil
	return list
}

// Started records that the stated room contains an admitted request from now on, or that it is not sent after all.
func (c *Controller) Started(id string) { delete(c.admitted, id) }

// Ended records that a request of this instance has ended at a target that ran it.
func (c *Controller) Ended(now time.Time) {
	if c.short {
		c.ownEnds.any(now) // drops old ones
		c.ownEnds.at = append(c.ownEnds.at, now)
	}
}

// Cancel removes a request that does not wait any longer, and reports whether it was waiting.
func (c *Controller) Cancel(id string) bool {
	w := c.waiting[id]
	if w == nil {
		return false
	}
	c.queue.Cancel(id)
	w.giveBack()
	c.forget(w)
	return true
}

func (c *Controller) forget(w *waitingRequest) {
	delete(c.waiting, w.ID)
	c.shares.removed(w.Workspace, w.sizeClass)
}

// observe takes over a statement of the room, and returns it with what it does not contain yet.
func (c *Controller) observe(now time.Time, room Room) Room {
	for id, at := range c.admitted {
		if now.Sub(at) > startedTimeout {
			delete(c.admitted, id)
		}
	}
	if gap := now.Sub(c.seenAt); gap > freezeGap && len(c.waiting) > 0 {
		c.heldRunning, c.heldUntil = c.lastRunning, now.Add(thawTime)
		c.arrivals.heldFrom, c.arrivals.heldUntil = c.seenAt, c.heldUntil
	}
	if now.Before(c.heldUntil) {
		room.Running = max(room.Running, c.heldRunning)
	}
	c.lastRunning = room.Running
	if now.After(c.seenAt) {
		c.seenAt = now
	}
	room.Running += len(c.admitted)
	room.Own += len(c.admitted)
	if short := c.isShort(room); short != c.short {
		c.short = short
		c.switches++
	}
	c.credit.update(now, c.arrivals.part(now, recentTime, leastArrivals), room)
	return room
}

// isShort reports whether the room is short now. It stays short while requests wait, so that none overtakes them.
func (c *Controller) isShort(room Room) bool {
	switch {
	case room.Slots == 0:
		return c.short && len(c.waiting) > 0
	case c.short:
		return len(c.waiting) > 0 || room.freeShare() <= enoughAbove
	}
	return room.freeShare() < shortBelow
}

// dispatch admits the waiting requests for which there is room, in their order, and refuses those that are late.
func (c *Controller) dispatch(now time.Time, room Room) {
	if len(c.waiting) == 0 {
		return
	}
	started, late := c.queue.Dispatch(now, func(it workspace.Item) bool {
		by := c.mayStart(now, room, priorityOf(it.Class))
		if by == noStart {
			return false
		}
		if by == onCredit {
			c.credit.amount--
		}
		c.ownEnds.use()
		c.admitted[it.ID] = now
		room.Running++
		room.Own++
		return true
	})
	for _, it := range started {
		w := c.waiting[it.ID]
		c.forget(w)
		c.settled = append(c.settled, c.verdict(now, Verdict{ID: it.ID, Decision: Admit, Waited: now.Sub(w.since)}, room))
	}
	for _, refused := range late {
		if !c.extend(now, room, c.waiting[refused.ID]) {
			c.settleRefused(now, refused.ID, Late, room)
		}
	}
}

// extraTime is how much longer a late request may wait when the load is over.
const extraTime = 2 * time.Second

// extend lets a late request wait a little longer, before others of its priority, if what is needed now is less than the
// room: it is the rest of a load that is over. It reports whether it did.
func (c *Controller) extend(now time.Time, room Room, w *waitingRequest) bool {
	until := now.Add(extraTime)
	if w.extended || until.After(w.Deadline) || c.overloaded(now, room, &w.Request) {
		return false
	}
	w.Again, w.extended, w.StartBy = true, true, until
	item, sizeClass := c.shares.item(w.Request)
	if _, err := c.queue.Offer(now, item); err != nil {
		return false
	}
	c.shares.removed(w.Workspace, w.sizeClass)
	w.sizeClass = sizeClass
	c.shares.added(w.Workspace, w.sizeClass)
	return true
}

func (c *Controller) settleRefused(now time.Time, id string, reason Reason, room Room) {
	w := c.waiting[id]
	w.giveBack()
	c.forget(w)
	c.settled = append(c.settled, c.refusal(now, Verdict{ID: id, Waited: now.Sub(w.since)}, reason, &w.Request, room))
}

func (c *Controller) verdict(now time.Time, v Verdict, room Room) Verdict {
	v.Free, v.Slots, v.Part = room.Free(), room.Slots, c.arrivals.part(now, recentTime, leastArrivals)
	return v
}

const (
	// minComeBack and maxComeBack bound the mean time after which a refused caller may come back: a later one would be
	// idle when the load is over.
	minComeBack = 300 * time.Millisecond
	maxComeBack = time.Second
	// comeBackDivisor bounds that time by a part of what is left to the deadline, as a divisor.
	comeBackDivisor = 3
)

// refusal completes the verdict on a request that is refused. The time to come back is spread evenly over half to one and
// a half of the mean, so that those who are refused together do not come back together.
func (c *Controller) refusal(now time.Time, v Verdict, reason Reason, req *Request, room Room) Verdict {
	mean := min(max(v.Estimate-req.StartBy.Sub(now), minComeBack), maxComeBack)
	if left := req.Deadline.Sub(now) / comeBackDivisor; left > 0 {
		mean = min(mean, left*2/3)
	}
	v.Decision, v.Reason, v.RetryAfter = Refuse, reason, mean/2+time.Duration(c.random.Int64N(int64(mean)+1))
	return c.verdict(now, v, room)
}
