package route

import (
	"cmp"
	"slices"
	"time"
)

const (
	// probeShare is the share of the refusals that a target bears which are spent on finding more room.
	probeShare = 0.25
	// minReserve is the number of a target's last places that only one instance at a time fills, and reportDelay the time
	// after which the others know of a request; what may come in that time is reserved as well.
	minReserve  = 2
	reportDelay = 20 * time.Millisecond
	// otherTurnWait is the time after which a request may be sent again that came in the turn of another instance.
	otherTurnWait = 150 * time.Millisecond
	// turnTime is how long it is one instance's turn to fill a target, and turnGap the time at its beginning in which
	// it waits to learn what the one before has sent.
	turnTime = time.Second
	turnGap  = 30 * time.Millisecond
)

// RefusalStatement is what a target's answer says about the requests that it bears to refuse.
type RefusalStatement struct {
	// PerSecond is the number of requests that it can refuse within a second for want of room, if Brittle is set.
	PerSecond float64
	Brittle   bool
	// HeardAt is when the answer was received.
	HeardAt time.Time
	// Room is the number of requests for which the target is known to have room, and RoomAt when that was learnt. Lowered
	// is set if it was learnt from a refusal: otherwise the target may have more room.
	Room    int
	RoomAt  time.Time
	Lowered bool
}

// RefusalLimits bounds the refusals of brittle targets, which fall over when they have to refuse too many requests.
// Its zero value is ready for use; its owner guards it.
//
// Room is learnt from below, since a target that has become brittle may queue less than before: from answers that state
// a load without a queue, and by single requests beyond the known room. The last places are filled by one instance
// at a time, so that no two of them take the same one.
type RefusalLimits struct {
	targets map[string]*targetRoom
}

// targetRoom is what is known of the room of one incarnation.
type targetRoom struct {
	RefusalStatement
	startedAt time.Time
	// local is set if the statement was made to this instance, or this instance has learnt the room.
	local bool
	// stated is set if the target itself has stated it, and not only another one of its pool.
	stated bool
	// probes is the number of requests beyond the room that this instance may send, as of probesAt.
	probes   float64
	probesAt time.Time
}

// Turn returns the number of the present turn and whether it is past its gap.
func Turn(now time.Time) (number int64, open bool) {
	ms := now.UnixMilli()
	return ms / turnTime.Milliseconds(), ms%turnTime.Milliseconds() >= turnGap.Milliseconds()
}

// Record records a statement of a target, to this instance if local is set, and reports whether it changes what is known.
// The newest statement of the latest incarnation holds, and of its room what was learnt last.
func (l *RefusalLimits) Record(t Target, s RefusalStatement, local bool) bool {
	old := l.targets[t.ID]
	if old != nil && old.startedAt.After(t.StartedAt) {
		return false
	}
	known := old != nil && old.startedAt.Equal(t.StartedAt)
	if known && !isNewer(s.HeardAt, old.HeardAt, local) {
		return l.adoptRoom(old, s)
	}
	if !s.Brittle && (!known || !old.Brittle) && !l.Any() {
		return false
	}
	if l.targets == nil {
		l.targets = map[string]*targetRoom{}
	}
	next := &targetRoom{RefusalStatement: s, startedAt: t.StartedAt, local: local, stated: true, probesAt: s.HeardAt}
	next.Room = max(s.Room, 1)
	if known && old.Brittle && s.Brittle {
		next.Room, next.RoomAt, next.Lowered, next.local = old.Room, old.RoomAt, old.Lowered, old.local || local
		next.probes, next.probesAt = old.probes, old.probesAt
		l.adoptRoom(next, s)
	}
	l.targets[t.ID] = next
	return !known && s.Brittle || known && (old.Brittle != s.Brittle || old.PerSecond != s.PerSecond || old.Room != next.Room)
}

// adoptRoom takes over what another instance has learnt later about a target's room: more of it, or less by a refusal.
func (l *RefusalLimits) adoptRoom(r *targetRoom, s RefusalStatement) bool {
	if !r.Brittle || s.Room < 1 || !s.RoomAt.After(r.RoomAt) || s.Room == r.Room || s.Room < r.Room && !s.Lowered {
		return false
	}
	r.Room, r.RoomAt, r.Lowered, r.local = s.Room, s.RoomAt, s.Lowered, false
	return true
}

// Brittle reports whether a target has stated that it bears few refusals.
func (l *RefusalLimits) Brittle(t Target) bool { return l.state(t) != nil }

// Inherit applies what other targets of a pool have stated to one that has not answered yet, such as one that is back
// after it fell over.
func (l *RefusalLimits) Inherit(now time.Time, t Target) {
	if r := l.targets[t.ID]; r != nil && !t.StartedAt.After(r.startedAt) {
		return
	}
	least := (*targetRoom)(nil)
	for _, r := range l.targets {
		if r.Brittle && r.stated && (least == nil || r.PerSecond < least.PerSecond) {
			least = r
		}
	}
	if least == nil {
		return
	}
	// Any statement of its own is newer.
	s := RefusalStatement{PerSecond: least.PerSecond, Brittle: true, HeardAt: now.Add(-limitReportWindow), Room: 1, RoomAt: now.Add(-limitReportWindow)}
	l.targets[t.ID] = &targetRoom{RefusalStatement: s, startedAt: t.StartedAt, probes: 1, probesAt: now}
}

// Any reports whether any target has stated that it bears few refusals.
func (l *RefusalLimits) Any() bool {
	for _, r := range l.targets {
		if r.Brittle {
			return true
		}
	}
	return false
}

func (l *RefusalLimits) state(t Target) *targetRoom {
	r := l.targets[t.ID]
	if r == nil || !r.Brittle || t.StartedAt.After(r.startedAt) {
		return nil
	}
	return r
}

// Room returns the number of requests for which a brittle target is known to have room, or 0 if it is not brittle.
func (l *RefusalLimits) Room(t Target) int {
	if r := l.state(t); r != nil {
		return r.Room
	}
	return 0
}

// Wait returns how long this instance must wait before it may send one more request to a target with a load, which
// counts the requests of all instances there. perSecond is the number of requests that all instances get a second for
// the target's pool, and isTurn reports whether it is this instance's turn to fill the target.
func (l *RefusalLimits) Wait(now time.Time, t Target, load, perSecond float64, isTurn func() bool) time.Duration {
	r := l.state(t)
	if r == nil || load < float64(r.Room)-minReserve-perSecond*reportDelay.Seconds() {
		return 0
	}
	if !isTurn() {
		// It may be the turn of the instance that a caller asks next.
		return otherTurnWait
	}
	if load < float64(r.Room) {
		return 0
	}
	r.refill(now)
	if r.probes >= 1 && load < float64(r.Room)+1 {
		return 0
	}
	return time.Duration((1 - min(r.probes, 0)) / r.probeRate() * float64(time.Second))
}

// Take counts a request that is sent to a target with a load.
func (l *RefusalLimits) Take(now time.Time, t Target, load float64) {
	if r := l.state(t); r != nil && load >= float64(r.Room) {
		r.refill(now)
		r.probes--
	}
}

func (r *targetRoom) probeRate() float64 { return max(probeShare*r.PerSecond, lowestRate) }

func (r *targetRoom) refill(now time.Time) {
	if passed := now.Sub(r.probesAt); passed > 0 {
		r.probes = min(r.probes+r.probeRate()*passed.Seconds(), 1)
		r.probesAt = now
	}
}

// RecordRefusal records that a target has refused a request for want of room while it had a load, and reports whether
// less room is known than before.
func (l *RefusalLimits) RecordRefusal(now time.Time, t Target, load float64) bool {
	r := l.state(t)
	if r == nil {
		return false
	}
	return r.setRoom(now, min(r.Room, int(load)), true)
}

// RecordRunning records that a target has stated a number of running requests and that none waits, and reports whether
// more room is known than before.
func (l *RefusalLimits) RecordRunning(now time.Time, t Target, running int) bool {
	r := l.state(t)
	if r == nil {
		return false
	}
	return r.setRoom(now, max(r.Room, running), false)
}

// RecordAccepted records that a target has accepted a request when it had a load, and reports whether more room is known
// than before. Since the request may have been queued, that is one place at most, and none beyond the target's slots.
func (l *RefusalLimits) RecordAccepted(now time.Time, t Target, load float64) bool {
	r := l.state(t)
	if r == nil || load < float64(r.Room) || t.Slots > 0 && r.Room >= t.Slots {
		return false
	}
	return r.setRoom(now, r.Room+1, false)
}

func (r *targetRoom) setRoom(now time.Time, room int, lowered bool) bool {
	room = max(room, 1)
	if room == r.Room {
		return false
	}
	r.Room, r.RoomAt, r.Lowered, r.local = room, now, lowered, true
	return true
}

// Recent returns what this instance has learnt of a target's room, or received for the first time, a short time ago. Of
// many targets, it returns those of which it has learnt last.
func (l *RefusalLimits) Recent(now time.Time) map[string]RefusalStatement {
	var ids []string
	for id, r := range l.targets {
		if r.local && now.Sub(r.RoomAt) < limitReportWindow {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(l.targets[b].RoomAt.Compare(l.targets[a].RoomAt), cmp.Compare(a, b))
	})
	out := map[string]RefusalStatement{}
	for _, id := range ids[:min(len(ids), maxReportedRooms)] {
		out[id] = l.targets[id].RefusalStatement
	}
	return out
}

// maxReportedRooms bounds the targets in one report, which shares a datagram with other reports.
const maxReportedRooms = 4

// Retain drops what is known of targets that are not listed, and of those that are no longer brittle.
func (l *RefusalLimits) Retain(now time.Time, listed []Target) {
	ids := make(map[string]bool, len(listed))
	for i := range listed {
		ids[listed[i].ID] = true
	}
	for id, r := range l.targets {
		if age := now.Sub(r.HeardAt); !ids[id] && age > availabilityTTL || !r.Brittle && age > limitReportWindow && !l.Any() {
			delete(l.targets, id)
		}
	}
}
