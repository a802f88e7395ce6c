package rollout

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"time"

	"bambooferry.example/bambooferry/internal/feed"
	"bambooferry.example/bambooferry/pkg/timeline"
	"bambooferry.example/bambooferry/pkg/version"
)

const (
	// withdrawalGrace is how long after a restore of the store a missing order is not taken for withdrawn.
	withdrawalGrace = 10 * time.Second
	// formerVersion stands for all versions but the new one in a change.
	formerVersion = "former"
)

// Store is what a decider writes to.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (feed.Lease, error)
	Renew(ctx context.Context, lease feed.Lease) error
	Revoke(ctx context.Context, lease feed.Lease) error
	Commit(ctx context.Context, conditions []feed.Condition, writes []feed.Write) (feed.Version, error)
}

// Pools is what the controller needs of the instance's targets.
type Pools interface {
	// SetSplit divides the requests of a pool from now on.
	SetSplit(pool string, s version.Split)
	// OpenSlots returns the slots of a pool's open targets by version.
	OpenSlots(now time.Time, pool string) map[string]int
	// RequestRate returns how many requests a second this instance gets for a pool.
	RequestRate(now time.Time, pool string) float64
	// Exposure returns how many requests this instance has sent to a pool during its present change, and for how many
	// it has chosen the new version.
	Exposure(pool string) (sent, exposed float64)
}

// Messenger sends messages to other instances; they may be lost.
type Messenger interface {
	// SendEvidence sends differences to a candidate of the former format, SendReport a report to one of the present
	// format, and SendConfirmation the answer to a report.
	SendEvidence(data []byte, to netip.AddrPort)
	SendReport(data []byte, to netip.AddrPort)
	SendConfirmation(data []byte, to netip.AddrPort)
}

// Candidate is another instance that gets evidence.
type Candidate struct {
	Address netip.AddrPort
	// Format is the latest format of evidence that it reads.
	Format int
}

// Controller takes part in the changes of version; set its exported fields before the first call.
type Controller struct {
	Instance string
	// Address and Incarnation identify this process in messages.
	Address     netip.AddrPort
	Incarnation int64
	Store       Store
	Pools       Pools
	Log         *timeline.Writer
	// DecodeOrder decodes an operator's order, and EncodeStatus returns the key and the value that report a
	// change's state to the operator.
	DecodeOrder  func(key string, data []byte) (Order, error)
	EncodeStatus func(o Order, s State) (key string, value []byte)
	// OrderPrefix is the prefix of the orders' keys, RecordPrefix that of the records' keys, and DeciderKey the
	// key that the decider holds.
	OrderPrefix  string
	RecordPrefix string
	DeciderKey   string
	Exposure     version.ExposureLimit
	// IsCandidate reports whether this instance may decide while there are others, and Candidates returns the others
	// that may, with the named decider.
	IsCandidate func() bool
	Candidates  func(decider string) []Candidate
	// Place returns the number of instances, and this one's place in an order on which they agree, from 0, or -1 if it
	// is not listed.
	Place     func() (n, rank int)
	Messenger Messenger

	mu    sync.Mutex
	pools map[string]*poolState
	// startedAt is the time from which reports count, heardAt is when another instance's evidence was last received.
	startedAt time.Time
	heardAt   time.Time
	// decider is the instance that holds DeciderKey, or empty, and deciderMissing since when a change has none.
	decider        string
	deciderMissing time.Time
	// versions holds the store's version of the records' keys and of DeciderKey; a key that does not exist is
	// not listed.
	versions   map[string]feed.Version
	restoredAt time.Time
	// restored is the version of the store up to which it held a copy when it was last restored.
	restored feed.Version
	lease    leaseState
	// changed signals Run that there may be something to decide.
	changed chan struct{}
}

// poolState is what an instance knows of a pool's changes.
type poolState struct {
	order     *Order
	orderAt   feed.Version
	orderSeen time.Time
	// doubtful is an order that a restore has brought back in place of order.
	doubtful *doubtfulOrder
	record   *record
	counter  *version.Counter
	// counting is the change that the counter counts for, and counted what it has counted since countingSince, which was
	// last reported at reportedAt.
	counting      uint64
	countingSince time.Time
	counted       version.Report
	reportedAt    time.Time
	// seenUnstarted is set if this instance knew of the order before its change began, so that no earlier process of
	// the instance has sent requests to the version.
	seenUnstarted bool
	// confirmedAt is when the share was last confirmed; markedBad ends it.
	confirmedAt time.Time
	markedBad   bool
	// change is the change as a candidate sees it, heard the latest reports for it by sender, and trackedAt when this
	// instance became a candidate for it.
	change    *version.Change
	heard     map[senderID]*heardReport
	trackedAt time.Time
	// dirty is set when the store lacks the record.
	dirty       bool
	split       version.Split
	loggedShare float64
	// limit is this instance's part of the exposure limit for the present change.
	limit version.ExposureLimit
}

func (c *Controller) pool(name string) *poolState {
	if c.pools == nil {
		c.pools, c.versions = map[string]*poolState{}, map[string]feed.Version{}
	}
	p := c.pools[name]
	if p == nil {
		p = &poolState{counter: version.NewCounter(version.Plan{From: formerVersion})}
		c.pools[name] = p
	}
	return p
}

// Apply applies an update of the store's copy.
func (c *Controller) Apply(now time.Time, update feed.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool("")
	if update.Restored {
		c.restoredAt, c.restored = now, feed.Version{Era: update.Era, Revision: update.Revision}
		for key, v := range c.versions {
			c.versions[key] = feed.Version{Era: update.Era, Revision: v.Revision}
		}
	}
	listed := map[string]bool{}
	for i := range update.Changed {
		it := &update.Changed[i]
		listed[it.Key] = true
		c.applyItem(now, it)
	}
	for _, key := range update.Removed {
		c.applyRemoval(now, key)
	}
	if update.Full {
		for key := range c.versions {
			if !listed[key] {
				c.applyRemoval(now, key)
			}
		}
		for name, p := range c.pools {
			if p.order != nil && !listed[c.OrderPrefix+name] {
				c.applyRemoval(now, c.OrderPrefix+name)
			}
		}
	}
	c.publish(now)
	if len(c.pendingPools()) > 0 {
		select {
		case c.changedSignal() <- struct{}{}:
		default:
		}
	}
}

// changedSignal returns the channel that signals Run; the caller holds mu.
func (c *Controller) changedSignal() chan struct{} {
	if c.changed == nil {
		c.changed = make(chan struct{}, 1)
	}
	return c.changed
}

func (c *Controller) applyItem(now time.Time, it *feed.Item) {
	at := feed.Version{Era: it.Era, Revision: it.Revision}
	switch {
	case strings.HasPrefix(it.Key, c.OrderPrefix):
		c.applyOrder(now, it, at)
	case strings.HasPrefix(it.Key, c.RecordPrefix):
		c.versions[it.Key] = at
		r, err := decodeRecord(it.Value)
		if err != nil {
			c.Log.Write(now, timeline.Event{Kind: "rollout_record_unusable", Entry: it.Key, Revision: it.Revision, Why: err.Error()})
			return
		}
		c.applyRecord(now, r)
	case it.Key == c.DeciderKey:
		c.versions[it.Key], c.decider = at, string(it.Value)
	}
}

func (c *Controller) applyRecord(now time.Time, r *record) {
	p := c.pool(r.Order.Pool)
	if !r.later(p.record) {
		p.dirty = p.dirty || p.record.later(r)
		return
	}
	c.logRecord(now, r)
	if p.record == nil || p.record.Change.ID != r.Change.ID {
		p.markedBad = false
	}
	p.record, p.dirty = r, false
	if p.change != nil && p.change.Plan.ID == r.Change.ID {
		p.change.Adopt(r.Change)
	}
	if !r.Confirmed {
		// A decider of the former format confirms nothing else.
		p.confirm(now)
	}
}

func (c *Controller) applyOrder(now time.Time, it *feed.Item, at feed.Version) {
	o, err := c.DecodeOrder(it.Key, it.Value)
	if err == nil {
		err = o.Validate()
	}
	if err != nil {
		c.Log.Write(now, timeline.Event{Kind: "rollout_order_unusable", Entry: strings.TrimPrefix(it.Key, c.OrderPrefix), Revision: it.Revision, Why: err.Error(), Decision: "ignored"})
		return
	}
	p := c.pool(o.Pool)
	if p.order != nil && *p.order != o && at.Era > p.orderAt.Era && at.Era == c.restored.Era && at.Revision <= c.restored.Revision {
		// The restored copy may be older than the order that is known, which the operator then gives again.
		p.doubtful = &doubtfulOrder{Order: o, at: at, until: now.Add(withdrawalGrace)}
		c.Log.Write(now, timeline.Event{Kind: "rollout_order_doubtful", Entry: o.Pool, Version: o.Version, Revision: it.Revision, Decision: "kept_the_former"})
		return
	}
	p.doubtful = nil
	c.setOrder(now, p, o, at)
}

// doubtfulOrder is an order that a restored store holds in place of the one that is known.
type doubtfulOrder struct {
	Order
	at    feed.Version
	until time.Time
}

// acceptDoubtful accepts the orders of a restored store that the operator has not replaced in time; the caller holds mu.
func (c *Controller) acceptDoubtful(now time.Time) {
	for _, p := range c.pools {
		if d := p.doubtful; d != nil && !now.Before(d.until) {
			p.doubtful = nil
			c.setOrder(now, p, d.Order, d.at)
		}
	}
}

func (c *Controller) setOrder(now time.Time, p *poolState, o Order, at feed.Version) {
	if p.order == nil || *p.order != o || p.orderAt != at {
		if p.order == nil || *p.order != o || p.orderAt.Era == at.Era {
			p.orderSeen, p.seenUnstarted = now, false
		}
		c.Log.Write(now, timeline.Event{
			Kind: "rollout_ordered", Entry: o.Pool, Version: o.Version, Revision: at.Revision,
			Inputs: []timeline.Input{{Name: "interval_ms", Value: o.Interval.Milliseconds()}, {Name: "era", Value: at.Era}},
		})
	}
	p.order, p.orderAt = &o, at
}

func (c *Controller) applyRemoval(now time.Time, key string) {
	delete(c.versions, key)
	if key == c.DeciderKey {
		c.decider = ""
	}
	if p := c.pools[strings.TrimPrefix(key, c.RecordPrefix)]; strings.HasPrefix(key, c.RecordPrefix) && p != nil {
		p.dirty = p.record != nil
	}
	name, ok := strings.CutPrefix(key, c.OrderPrefix)
	p := c.pools[name]
	if !ok || p == nil || p.order == nil {
		return
	}
	if !c.restoredAt.IsZero() && now.Sub(c.restoredAt) < withdrawalGrace {
		return
	}
	c.Log.Write(now, timeline.Event{Kind: "rollout_withdrawn", Entry: name, Version: p.order.Version})
	p.order = nil
}

// publish divides the requests of all pools as the orders and records say; the caller holds mu.
func (c *Controller) publish(now time.Time) {
	for name, p := range c.pools {
		if p.order != nil && (p.record == nil || !p.record.covers(*p.order, p.orderAt)) {
			p.seenUnstarted = true
		}
		split := p.currentSplit()
		if split.Change != 0 && p.counting != split.Change {
			p.counting, p.countingSince = split.Change, now
			p.counter.SetPlan(version.Plan{ID: split.Change, From: formerVersion, To: split.Version})
			n, rank := c.Place()
			p.limit = c.Exposure.Part(n, rank, p.seenUnstarted || p.record.Change.State == version.Waiting)
		}
		split.Limit = p.limit
		if !sameSplit(split, p.split) {
			p.split = split
			c.Pools.SetSplit(name, split)
		}
		c.logShare(now, name, p)
	}
}

// currentSplit returns the division of the requests. Until a decider has started the change of an order, the
// ordered version gets none.
func (p *poolState) currentSplit() version.Split {
	switch {
	case p.record != nil && (p.order == nil || p.record.covers(*p.order, p.orderAt)):
		s := p.record.split()
		if p.record.state() != Running {
			return s
		}
		s.Limited, s.Until = true, p.confirmedAt.Add(confirmTimeout)
		if p.markedBad {
			s.Share = 0
		}
		if p.order != nil && s.Until.After(p.orderSeen.Add(p.order.Interval)) {
			s.Until = p.orderSeen.Add(p.order.Interval)
		}
		return s
	case p.order != nil:
		s := version.Split{Change: p.order.changeID(0), Version: p.order.Version, Limited: true}
		if p.record != nil {
			s.Barred = p.record.barredAfter(*p.order)
		}
		return s
	}
	return version.Split{}
}

func sameSplit(a, b version.Split) bool {
	return a.Change == b.Change && a.Version == b.Version && a.Share == b.Share && a.Until.Equal(b.Until) && a.Limited == b.Limited && a.Limit == b.Limit && strings.Join(a.Barred, ",") == strings.Join(b.Barred, ",")
}

// logShare logs that the share in force at this instance has changed, also because it was not confirmed.
func (c *Controller) logShare(now time.Time, name string, p *poolState) {
	share := p.split.ShareAt(now)
	if share == p.loggedShare {
		return
	}
	sent, exposed := c.Pools.Exposure(name)
	c.Log.Write(now, timeline.Event{
		Kind: "rollout_share", Entry: name, Version: p.split.Version,
		Inputs: []timeline.Input{
			{Name: "share_ppm", Value: int64(share * 1e6)},
			{Name: "former_ppm", Value: int64(p.loggedShare * 1e6)},
			{Name: "confirmed_ms", Value: now.Sub(p.confirmedAt).Milliseconds()},
			{Name: "sent", Value: int64(sent)},
			{Name: "exposed", Value: int64(exposed)},
		},
	})
	p.loggedShare = share
}

func (c *Controller) logRecord(now time.Time, r *record) {
	c.Log.Write(now, timeline.Event{
		Kind: "rollout_step", Entry: r.Order.Pool, Version: r.Order.Version, Decision: string(r.Change.State), Why: r.Change.Why, Member: r.Change.Decider,
		Inputs: []timeline.Input{
			{Name: "share_ppm", Value: int64(r.Change.Share * 1e6)},
			{Name: "new_requests", Value: int64(r.Change.New.Requests)},
			{Name: "new_failed", Value: int64(r.Change.New.Failed)},
			{Name: "old_requests", Value: int64(r.Change.Old.Requests)},
			{Name: "old_failed", Value: int64(r.Change.Old.Failed)},
			{Name: "capped", Value: map[bool]int64{true: 1}[r.Capped]},
		},
	})
}
