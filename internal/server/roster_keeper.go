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
	// keeperInterval is the pause between two rounds of the keeper.
	keeperInterval = time.Second
	// keeperRankDelay is how much longer than its predecessor each member waits before it becomes the keeper.
	keeperRankDelay = 500 * time.Millisecond
	// maxKeeperFailure is how long the keeper continues while the service does not answer before it
	// lets another member try, and keeperRest how long it then pauses.
	maxKeeperFailure = 5 * time.Second
	keeperRest       = 10 * time.Second
)

// rosterKeeper is the state of the one member that reconciles the roster with the platform's list.
// Only runKeeper uses it, except for tracker, which the lock of Slots guards.
type rosterKeeper struct {
	tracker      slot.RemovalTracker
	absentSince  map[slot.Key]time.Time
	failingSince time.Time
	restUntil    time.Time
}

// runKeeper makes this instance the keeper while no member with a better rank sends heartbeats.
func (s *Slots) runKeeper(ctx context.Context) {
	s.keeper.absentSince = map[slot.Key]time.Time{}
	runEvery(ctx, keeperInterval, func() {
		now := time.Now()
		if now.Before(s.keeper.restUntil) || !s.isKeeper(now) {
			return
		}
		s.mu.Lock()
		s.lastHeartbeat = now
		s.mu.Unlock()
		if s.reconcileRoster(ctx) == nil {
			s.keeper.failingSince = time.Time{}
			return
		}
		if s.keeper.failingSince.IsZero() {
			s.keeper.failingSince = now
		}
		if now.Sub(s.keeper.failingSince) > maxKeeperFailure {
			s.keeper.restUntil, s.keeper.failingSince = now.Add(keeperRest), time.Time{}
		}
	})
}

// isKeeper reports whether this member ranks first or the keeper's last heartbeat is older than its rank allows.
func (s *Slots) isKeeper(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.holder.Roster()
	if r == nil || !s.holder.IsMember() {
		return false
	}
	rank := slices.IndexFunc(memberRing(r), func(m slot.Member) bool { return m.Key() == s.Self })
	if rank == 0 {
		return true
	}
	return rank > 0 && now.Sub(s.lastHeartbeat) > s.Times.KeeperTimeout+time.Duration(rank)*keeperRankDelay
}

// reconcileRoster compares the roster with the platform's list and makes at most one change.
func (s *Slots) reconcileRoster(ctx context.Context) error {
	r, version, err := s.readRoster(ctx)
	if err != nil {
		return err
	}
	requestedAt := time.Now()
	list, err := s.Store.ListInstances(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	s.mu.Lock()
	s.keeper.tracker.Update(requestedAt, now, r, s.runningMembers(list))
	fences, removable := s.keeper.tracker.PendingFences(now), s.keeper.tracker.Removable(now)
	s.mu.Unlock()
	data, err := json.Marshal(r)
	if err != nil {
		return err
	}
	for _, f := range fences {
		go s.sendFence(ctx, f, data)
	}
	if len(removable) > 0 {
		s.proposeRoster(ctx, r.Remove(removable...), version, "remove")
		return nil
	}
	for _, m := range r.Members {
		if reason := s.endProof(now, m, list); reason != "" && !m.Ended && m.Key() != s.Self {
			s.proposeRoster(ctx, r.MarkLeaving(m.Key(), true), version, reason)
			return nil
		}
	}
	return nil
}

// runningMembers returns the instances that the platform lists. If the list lacks this instance and
// so does not cover the deployment, it returns those that the membership protocol knows.
func (s *Slots) runningMembers(list []platform.ListedInstance) []slot.Member {
	covered := slices.ContainsFunc(list, func(l platform.ListedInstance) bool { return l.ID == s.Self.ID })
	v, ok := Members.Get(s.Board)
	if covered || !ok {
		return listedMembers(list)
	}
	var members []slot.Member
	for _, m := range v.Members {
		if m.State != instance.Dead {
			members = append(members, slot.Member{ID: m.ID, Address: m.Address, Incarnation: m.Incarnation})
		}
	}
	return members
}

func (s *Slots) sendFence(ctx context.Context, f slot.OutgoingFence, roster []byte) {
	var reply Nothing
	fence, err := Fence{To: f.To.Key(), Over: f.Ended, Roster: roster}, error(nil)
	if f.To.Key() == s.Self {
		// A single instance may have no address at which to call itself.
		err = (&slotService{s}).Fence(fence, &reply)
	} else {
		err = s.callMember(ctx, s.Times.CallTimeout, f.To, "Fence", fence, &reply)
	}
	if err != nil || !reply.OK {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.tracker.RecordFenced(f.Ended, f.To.Key())
}

func listedMembers(list []platform.ListedInstance) []slot.Member {
	members := make([]slot.Member, len(list))
	for i, l := range list {
		members[i] = slot.Member{ID: l.ID, Address: l.Address, Incarnation: l.Incarnation}
	}
	return members
}

// endProof returns which fact in the platform's list proves that a member has ended, or "".
func (s *Slots) endProof(now time.Time, m slot.Member, list []platform.ListedInstance) string {
	selfListed, listed := false, false
	for _, l := range list {
		selfListed = selfListed || l.ID == s.Self.ID
		if l.ID != m.ID && l.Address != m.Address {
			continue
		}
		if l.Incarnation > m.Incarnation {
			return "newer_incarnation_listed"
		}
		listed = true
	}
	// A list without this instance does not cover the deployment.
	if listed || !selfListed {
		delete(s.keeper.absentSince, m.Key())
		return ""
	}
	since, ok := s.keeper.absentSince[m.Key()]
	if !ok {
		s.keeper.absentSince[m.Key()] = now
		return ""
	}
	if now.Sub(since) < s.Times.UnlistedAfter {
		return ""
	}
	return "no_longer_listed"
}
