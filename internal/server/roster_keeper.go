package server

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"bambooferry.example/bambooferry/internal/platform"
	"bambooferry.example/bambooferry/pkg/instance"
	"bambooferry.example/bambooferry/pkg/slot"
)

const (
	// keepEvery is the pause between the keeper's looks at the service.
	keepEvery = time.Second
	// keepStep is how much longer each member in turn waits before it becomes the keeper.
	keepStep = 500 * time.Millisecond
	// keepFailing is how long the keeper goes on without an answer of the service before it
	// lets another try, and keepRest how long it then rests.
	keepFailing = 5 * time.Second
	keepRest    = 10 * time.Second
)

// keeper is the state of the one member that keeps the roster in step with the platform's list.
// Only the keep loop uses it, but for decide, which the lock of Slots guards.
type keeper struct {
	decide slot.RemovalTracker
	absent map[slot.Key]time.Time
	failed time.Time
	rest   time.Time
}

// keep makes this instance the keeper while no member that ranks before it sends heartbeats.
func (s *Slots) keep(ctx context.Context) {
	s.keeper.absent = map[slot.Key]time.Time{}
	every(ctx, keepEvery, func() {
		now := time.Now()
		if now.Before(s.keeper.rest) || !s.turn(now) {
			return
		}
		s.mu.Lock()
		s.beat = now
		s.mu.Unlock()
		if s.keepOnce(ctx) == nil {
			s.keeper.failed = time.Time{}
			return
		}
		if s.keeper.failed.IsZero() {
			s.keeper.failed = now
		}
		if now.Sub(s.keeper.failed) > keepFailing {
			s.keeper.rest, s.keeper.failed = now.Add(keepRest), time.Time{}
		}
	})
}

// turn reports whether the keeper's last heartbeat is older than this member's rank allows.
func (s *Slots) turn(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.holder.Roster()
	if r == nil || !s.holder.IsMember() {
		return false
	}
	rank := slices.IndexFunc(ringOf(r), func(m slot.Member) bool { return m.Key() == s.Self })
	if rank == 0 {
		return true
	}
	return rank > 0 && now.Sub(s.beat) > s.Times.KeeperTimeout+time.Duration(rank)*keepStep
}

// keepOnce compares the roster with the platform's list and makes at most one change.
func (s *Slots) keepOnce(ctx context.Context) error {
	r, version, err := s.read(ctx)
	if err != nil {
		return err
	}
	asked := time.Now()
	list, err := s.Store.Instances(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	s.mu.Lock()
	s.keeper.decide.Update(asked, now, r, s.running(list))
	fences, gone := s.keeper.decide.PendingFences(now), s.keeper.decide.Removable(now)
	s.mu.Unlock()
	data, err := json.Marshal(r)
	if err != nil {
		return err
	}
	for _, f := range fences {
		go s.fence(ctx, f, data)
	}
	if len(gone) > 0 {
		s.propose(ctx, r.Remove(gone...), version, "remove")
		return nil
	}
	for _, m := range r.Members {
		if why := s.ended(now, m, list); why != "" && !m.Ended && m.Key() != s.Self {
			s.propose(ctx, r.MarkLeaving(m.Key(), true), version, why)
			return nil
		}
	}
	return nil
}

// running returns the instances that the platform lists or, where its list lacks this
// instance and so does not cover the deployment, those that the membership protocol knows.
func (s *Slots) running(list []platform.Listed) []slot.Member {
	covered := slices.ContainsFunc(list, func(l platform.Listed) bool { return l.ID == s.Self.ID })
	v, ok := Members.Get(s.Board)
	if covered || !ok {
		return instancesOf(list)
	}
	var members []slot.Member
	for _, m := range v.Members {
		if m.State != instance.Dead {
			members = append(members, slot.Member{ID: m.ID, Address: m.Address, Incarnation: m.Incarnation})
		}
	}
	return members
}

func (s *Slots) fence(ctx context.Context, f slot.OutgoingFence, roster []byte) {
	var done Nothing
	question, err := Fence{To: f.To.Key(), Over: f.Ended, Roster: roster}, error(nil)
	if f.To.Key() == s.Self {
		// An only instance may have no address at which to call itself.
		err = (&slotService{s}).Fence(question, &done)
	} else {
		err = s.call(ctx, s.Times.CallTimeout, f.To, "Fence", question, &done)
	}
	if err != nil || !done.OK {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.decide.RecordFenced(f.Ended, f.To.Key())
}

func instancesOf(list []platform.Listed) []slot.Member {
	members := make([]slot.Member, len(list))
	for i, l := range list {
		members[i] = slot.Member{ID: l.ID, Address: l.Address, Incarnation: l.Incarnation}
	}
	return members
}

// ended returns what in the platform's list proves that a member has ended, or nothing.
func (s *Slots) ended(now time.Time, m slot.Member, list []platform.Listed) string {
	self, there := false, false
	for _, l := range list {
		self = self || l.ID == s.Self.ID
		if l.ID != m.ID && l.Address != m.Address {
			continue
		}
		if l.Incarnation > m.Incarnation {
			return "newer_incarnation_listed"
		}
		there = true
	}
	// A list without this instance does not cover the deployment.
	if there || !self {
		delete(s.keeper.absent, m.Key())
		return ""
	}
	since, ok := s.keeper.absent[m.Key()]
	if !ok {
		s.keeper.absent[m.Key()] = now
		return ""
	}
	if now.Sub(since) < s.Times.UnlistedAfter {
		return ""
	}
	return "no_longer_listed"
}
