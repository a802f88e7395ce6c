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

// RosterKey names the roster in the key-value service.
const RosterKey = "roster"

// takeRoster puts a roster in force if it is newer.
func (s *Slots) takeRoster(r *slot.Roster) {
	now := time.Now()
	s.mu.Lock()
	was := s.holder.IsMember()
	taken := s.holder.SetRoster(now, r)
	is := s.holder.IsMember()
	s.mu.Unlock()
	if !taken {
		return
	}
	signal(s.changed)
	s.Events.Write(now, timeline.Event{Kind: "roster_in_force", Inputs: []timeline.Input{
		{Name: "epoch", Value: r.Epoch}, {Name: "members", Value: int64(len(r.Members))},
	}})
	if was && !is {
		s.Log.Warn().Int64("epoch", r.Epoch).Msg("roster: This instance was taken off and starts no more work.")
	}
}

// read gets the roster from the service with the version to replace it at.
func (s *Slots) read(ctx context.Context) (*slot.Roster, int64, error) {
	begun := time.Now()
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
	s.heard(begun)
	s.answered = time.Now()
	s.mu.Unlock()
	s.takeRoster(r)
	return r, v.Version, nil
}

// propose replaces the roster at a version; a nil roster changes nothing.
func (s *Slots) propose(ctx context.Context, r *slot.Roster, version int64, why string) bool {
	if r == nil || r.Check() != nil {
		return false
	}
	data, err := json.Marshal(r)
	if err != nil || len(data) > slot.MaxRosterBytes {
		return false
	}
	_, err = s.Store.Swap(ctx, RosterKey, version, data)
	s.Events.Write(time.Now(), timeline.Event{Kind: "roster_proposed", Decision: why, Why: result(err), Inputs: []timeline.Input{
		{Name: "epoch", Value: r.Epoch}, {Name: "members", Value: int64(len(r.Members))},
	}})
	if err != nil {
		// The write may have taken effect; the next read shows it.
		return false
	}
	s.takeRoster(r)
	return true
}

func result(err error) string {
	if err != nil {
		return "not_confirmed"
	}
	return "written"
}

const (
	joinRetry    = 100 * time.Millisecond
	joinRetryMax = 3 * time.Second
)

// join adds the instance to the roster, and retries with growing pauses until it has done so.
func (s *Slots) join(ctx context.Context) {
	for pause := joinRetry; ctx.Err() == nil && !s.listed(); pause = min(2*pause, joinRetryMax) {
		r, version, err := s.read(ctx)
		if err == nil {
			if _, there := r.Member(s.Self); there || s.propose(ctx, r.Join(s.Self.ID, s.Address, s.Self.Incarnation), version, "join") {
				return
			}
			pause = joinRetry
		}
		if sleep(ctx, pause/2+rand.N(pause)) != nil {
			return
		}
	}
}

// Leave takes the instance off the roster once its work is done; nothing new starts meanwhile.
func (s *Slots) Leave(ctx context.Context) error {
	for ctx.Err() == nil {
		s.mu.Lock()
		drained, in := s.holder.Drained(), s.holder.IsMember()
		s.mu.Unlock()
		if !in {
			return nil
		}
		r, version, err := s.read(ctx)
		switch {
		case err != nil:
		case drained:
			s.propose(ctx, r.Remove(s.Self), version, "leave")
		default:
			s.propose(ctx, r.MarkLeaving(s.Self, false), version, "begin_leave")
		}
		if err := sleep(ctx, s.Times.PingInterval); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// fingers returns a random member to an instance that is none, and otherwise the members at distances of powers of two in the ring of members by hash, so
// that news passes all members in as many steps as their number has binary digits.
func (s *Slots) fingers() []slot.Member {
	s.mu.Lock()
	r := s.holder.Roster()
	s.mu.Unlock()
	if r == nil {
		return nil
	}
	ring := ringOf(r)
	at := slices.IndexFunc(ring, func(m slot.Member) bool { return m.Key() == s.Self })
	var list []slot.Member
	if at < 0 {
		// An instance that borrows only is in no ring; others learn nothing from its pings.
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

func ringOf(r *slot.Roster) []slot.Member {
	ring := slices.DeleteFunc(slices.Clone(r.Members), func(m slot.Member) bool { return m.Ended })
	slices.SortFunc(ring, func(a, b slot.Member) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return ring
}

// pingAll pings one finger after another, and all of them when the roster has changed.
func (s *Slots) pingAll(ctx context.Context) {
	for next := 0; ; next++ {
		t := time.NewTimer(s.Times.PingInterval)
		select {
		case <-t.C:
			if list := s.fingers(); len(list) > 0 {
				go s.ping(ctx, list[next%len(list)])
			}
		case <-s.changed:
			for _, m := range s.fingers() {
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
	p := Ping{From: s.Address, Epoch: s.holder.Epoch(), BeatMillis: time.Since(s.beat).Milliseconds()}
	s.mu.Unlock()
	var q Ping
	if s.call(ctx, s.Times.CallTimeout, m, "Ping", p, &q) != nil {
		return
	}
	s.mu.Lock()
	s.sawBeat(q.BeatMillis)
	behind := q.Epoch > s.holder.Epoch()
	s.mu.Unlock()
	if behind {
		s.fetch(ctx, m.Address)
	}
}
