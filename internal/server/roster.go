package server

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bambooferry.example/bambooferry/pkg/slot"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// RosterKey is the roster's key in the key-value service.
const RosterKey = "roster"

// applyRoster puts a roster in force if it is newer than the current one.
func (s *Slots) applyRoster(r *slot.Roster) {
	now := time.Now()
	s.mu.Lock()
	wasMember := s.holder.IsMember()
	applied := s.holder.SetRoster(now, r)
	isMember := s.holder.IsMember()
	s.mu.Unlock()
	if !applied {
		return
	}
	signal(s.rosterChanged)
	s.Events.Write(now, timeline.Event{Kind: "roster_in_force", Inputs: []timeline.Input{
		{Name: "epoch", Value: r.Epoch}, {Name: "members", Value: int64(len(r.Members))},
	}})
	if wasMember && !isMember {
		s.Log.Warn().Int64("epoch", r.Epoch).Msg("roster: This instance was removed from the roster and starts no more work.")
	}
}

// readRoster reads the roster from the service, with the version that a compare-and-swap needs.
func (s *Slots) readRoster(ctx context.Context) (*slot.Roster, int64, error) {
	startedAt := time.Now()
	v, err := s.Store.Get(ctx, RosterKey)
	if err != nil {
		return nil, 0, err
	}
	r := &slot.Roster{}
	if v.Version > 0 {
		if r, err = slot.DecodeRoster(v.Data); err != nil {
			return nil, 0, err
		}
	}
	s.mu.Lock()
	s.recordContact(startedAt)
	s.storeAnsweredAt = time.Now()
	s.mu.Unlock()
	s.applyRoster(r)
	return r, v.Version, nil
}

// proposeRoster replaces the roster if the stored one still has the given version; a nil roster changes nothing.
func (s *Slots) proposeRoster(ctx context.Context, r *slot.Roster, version int64, reason string) bool {
	if r == nil || r.Check() != nil {
		return false
	}
	data, err := json.Marshal(r)
	if err != nil || len(data) > slot.MaxRosterBytes {
		return false
	}
	_, err = s.Store.CompareAndSwap(ctx, RosterKey, version, data)
	s.Events.Write(time.Now(), timeline.Event{Kind: "roster_proposed", Decision: reason, Why: writeResultLabel(err), Inputs: []timeline.Input{
		{Name: "epoch", Value: r.Epoch}, {Name: "members", Value: int64(len(r.Members))},
	}})
	if err != nil {
		// The write may have taken effect; the next read shows it.
		return false
	}
	s.applyRoster(r)
	return true
}

func writeResultLabel(err error) string {
	if err != nil {
		return "not_confirmed"
	}
	return "written"
}

const (
	minJoinBackoff = 100 * time.Millisecond
	maxJoinBackoff = 3 * time.Second
)

// joinRoster adds the instance to the roster, and retries with growing pauses until it succeeds.
func (s *Slots) joinRoster(ctx context.Context) {
	for pause := minJoinBackoff; ctx.Err() == nil && !s.isMember(); pause = min(2*pause, maxJoinBackoff) {
		r, version, err := s.readRoster(ctx)
		if err == nil {
			if _, listed := r.Member(s.Self); listed || s.proposeRoster(ctx, r.Join(s.Self.ID, s.Address, s.Self.Incarnation), version, "join") {
				return
			}
			pause = minJoinBackoff
		}
		if sleep(ctx, pause/2+rand.N(pause)) != nil {
			return
		}
	}
}

// Leave removes the instance from the roster once its work is done; no new work starts in the meantime.
func (s *Slots) Leave(ctx context.Context) error {
	for ctx.Err() == nil {
		s.mu.Lock()
		drained, isMember := s.holder.Drained(), s.holder.IsMember()
		s.mu.Unlock()
		if !isMember {
			return nil
		}
		r, version, err := s.readRoster(ctx)
		switch {
		case err != nil:
		case drained:
			s.proposeRoster(ctx, r.Remove(s.Self), version, "leave")
		default:
			s.proposeRoster(ctx, r.MarkLeaving(s.Self, false), version, "begin_leave")
		}
		if err := sleep(ctx, s.Times.PingInterval); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// pingTargets returns the members to ping: those at distances of powers of two in the ring of
// members ordered by hash. News then reaches all members in as many steps as their number has
// binary digits. If this instance is not a member, it is one random member.
func (s *Slots) pingTargets() []slot.Member {
	s.mu.Lock()
	r := s.holder.Roster()
	s.mu.Unlock()
	if r == nil {
		return nil
	}
	ring := memberRing(r)
	at := slices.IndexFunc(ring, func(m slot.Member) bool { return m.Key() == s.Self })
	var list []slot.Member
	if at < 0 {
		// An instance that only borrows is not in the ring; others learn nothing from its pings.
		ring = slices.DeleteFunc(ring, func(m slot.Member) bool { return m.Address == s.Address })
		if len(ring) == 0 {
			return nil
		}
		return []slot.Member{ring[rand.IntN(len(ring))]}
	}
	for d := 1; at >= 0 && d < len(ring); d *= 2 {
		list = append(list, ring[(at+d)%len(ring)])
	}
	return list
}

func memberRing(r *slot.Roster) []slot.Member {
	ring := slices.DeleteFunc(slices.Clone(r.Members), func(m slot.Member) bool { return m.Ended })
	slices.SortFunc(ring, func(a, b slot.Member) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return ring
}

// runPings pings the targets in turn, and all of them when the roster has changed.
func (s *Slots) runPings(ctx context.Context) {
	for next := 0; ; next++ {
		t := time.NewTimer(s.Times.PingInterval)
		select {
		case <-t.C:
			if list := s.pingTargets(); len(list) > 0 {
				go s.ping(ctx, list[next%len(list)])
			}
		case <-s.rosterChanged:
			for _, m := range s.pingTargets() {
				go s.ping(ctx, m)
			}
		case <-ctx.Done():
			t.Stop()
			return
		}
		t.Stop()
	}
}

func (s *Slots) ping(ctx context.Context, m slot.Member) {
	s.mu.Lock()
	p := Ping{From: s.Address, Epoch: s.holder.Epoch(), BeatMillis: time.Since(s.lastHeartbeat).Milliseconds()}
	s.mu.Unlock()
	var q Ping
	if s.callMember(ctx, s.Times.CallTimeout, m, "Ping", p, &q) != nil {
		return
	}
	s.mu.Lock()
	s.recordHeartbeat(q.BeatMillis)
	behind := q.Epoch > s.holder.Epoch()
	s.mu.Unlock()
	if behind {
		s.fetchRoster(ctx, m.Address)
	}
}
