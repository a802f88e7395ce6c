package relay

import (
	"net/http"
	"strconv"
	"time"

	"bambooferry.example/bambooferry/internal/gossip"
	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// roomWait returns how long this instance must wait before it may send a request to a target that bears few refusals; the
// caller holds mu.
func (p *pool) roomWait(now time.Time, t route.Target) time.Duration {
	if !p.refusalLimits.Any() {
		return 0
	}
	p.refusalLimits.Inherit(now, t)
	perSecond := p.arrivals.perSecond(now) * float64(p.instanceCount())
	return p.refusalLimits.Wait(now, t, p.enginePool.CountedLoad(now, t.ID), perSecond, func() bool { return p.isTurn(now, t.ID) })
}

// rateMeter measures the rate of events over the last interval of its length and the present one.
type rateMeter struct {
	startedAt time.Time
	n, before int
}

// rateMeterInterval is the length of the intervals in which events are counted.
const rateMeterInterval = 500 * time.Millisecond

func (m *rateMeter) advance(now time.Time) {
	switch passed := now.Sub(m.startedAt); {
	case passed >= 2*rateMeterInterval:
		*m = rateMeter{startedAt: now}
	case passed >= rateMeterInterval:
		*m = rateMeter{startedAt: m.startedAt.Add(rateMeterInterval), before: m.n}
	}
}

func (m *rateMeter) record(now time.Time) {
	m.advance(now)
	m.n++
}

func (m *rateMeter) perSecond(now time.Time) float64 {
	m.advance(now)
	return float64(m.n+m.before) / (rateMeterInterval + now.Sub(m.startedAt)).Seconds()
}

// isTurn reports whether this instance may fill a target now; the caller holds mu.
func (p *pool) isTurn(now time.Time, target string) bool {
	turn, open := route.Turn(now)
	return open && p.hasTurn(turn, target)
}

// hasTurn reports whether a turn to fill a target is this instance's; the caller holds mu. The targets are dealt to the
// instances in an order that differs from turn to turn.
func (p *pool) hasTurn(turn int64, target string) bool {
	if p.rank == nil {
		return true
	}
	if p.turn != turn {
		p.turn, p.turnRank = turn, p.rank("turn"+strconv.FormatInt(turn, 10))
	}
	index := 0
	for i := range p.targets {
		if p.targets[i].ID < target {
			index++
		}
	}
	return p.turnRank == index%max(p.instanceCount(), 1)
}

// addRefusalLimits adds what this instance has learnt of the pool's targets; the caller holds mu.
func (p *pool) addRefusalLimits(now time.Time, list map[string]gossip.RefusalLimitStatement) {
	for id, s := range p.refusalLimits.Recent(now) {
		list[id] = gossip.RefusalLimitStatement{
			PerSecond: s.PerSecond, Ended: !s.Brittle, AgeMillis: now.Sub(s.HeardAt).Milliseconds(), StartedMillis: startedMillis(p.findTarget(id)),
			Room: s.Room, RoomAgeMillis: now.Sub(s.RoomAt).Milliseconds(), Lowered: s.Lowered,
		}
	}
}

// applyRefusalLimits applies what another instance has learnt of the pool's targets; the caller holds mu.
func (p *pool) applyRefusalLimits(now time.Time, list map[string]gossip.RefusalLimitStatement) {
	for id, s := range list {
		t := p.findTarget(id)
		if t.ID == "" || s.AgeMillis < 0 || s.AgeMillis > route.MaxBackoff.Milliseconds() || s.StartedMillis != startedMillis(t) || !route.ValidRateLimit(s.PerSecond) {
			continue
		}
		if s.Room < 1 || s.Room > maxStatedRoom || s.RoomAgeMillis < 0 || s.RoomAgeMillis > route.MaxBackoff.Milliseconds() {
			continue
		}
		p.refusalLimits.Record(t, route.RefusalStatement{
			PerSecond: s.PerSecond, Brittle: !s.Ended, HeardAt: millisBefore(now, s.AgeMillis), Room: s.Room, RoomAt: millisBefore(now, s.RoomAgeMillis), Lowered: s.Lowered,
		}, false)
	}
}

// maxStatedRoom bounds the room of a target that another instance may state.
const maxStatedRoom = 1 << 16

// recordRefusalLimit records what the target's response states about refusals, and what it shows of its room.
func (a *attempt) recordRefusalLimit(now time.Time) {
	if a.info.BrittleUnknown || a.res.StatusCode == http.StatusMisdirectedRequest || !a.info.Brittle && !a.info.Sealed && !a.info.NotRun {
		return
	}
	p, r := a.req.pool, a.relay
	stated := false
	withLock(&p.mu, func() {
		stated = p.refusalLimits.Record(a.target, route.RefusalStatement{PerSecond: a.info.Tolerance, Brittle: a.info.Brittle, HeardAt: now, RoomAt: now}, true)
		if learnt := p.recordRoom(now, a); stated || learnt {
			p.signalProgress()
		}
	})
	if !stated {
		return
	}
	statement, decision := "brittle", "limited"
	if !a.info.Brittle {
		statement, decision = "brittle_ended", "not_limited"
	}
	r.instruments.recordStatement(statement)
	r.Log.Write(now, timeline.Event{
		Kind: "target_brittle", Request: a.req.ID, Target: a.target.ID, Entry: a.target.Pool, Why: "said_by_target", Decision: decision,
		Inputs: []timeline.Input{{Name: "refusals_per_1000_s", Value: int64(1000 * min(a.info.Tolerance, route.MaxRateLimit))}},
	})
}

// recordRoom records what a response shows of its target's room, and reports whether that is new; the caller holds mu.
func (p *pool) recordRoom(now time.Time, a *attempt) bool {
	load := a.info.Load
	switch {
	case a.info.NotRun && load != nil:
		return p.refusalLimits.RecordRefusal(now, a.target, float64(load.Running+load.Waiting))
	case a.info.NotRun:
		return p.refusalLimits.RecordRefusal(now, a.target, a.load)
	case load != nil && load.Waiting > 0:
		return false
	}
	learnt := load != nil && p.refusalLimits.RecordRunning(now, a.target, load.Running)
	return p.refusalLimits.RecordAccepted(now, a.target, a.load) || learnt
}
