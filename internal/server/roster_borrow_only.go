package server

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"bambooferry.example/bambooferry/pkg/timeline"
)

// borrowOnlyInterval is the pause between checks whether a new instance has to work on borrowed slots.
const borrowOnlyInterval = 250 * time.Millisecond

// workOnBorrowed lets an instance that cannot reach the service work on borrowed slots, with the roster
// of another instance, until it joins the roster itself.
func (s *Slots) workOnBorrowed(ctx context.Context) {
	for warned := false; sleep(ctx, borrowOnlyInterval) == nil && !s.isMember(); {
		now := time.Now()
		s.mu.Lock()
		timedOut := now.Sub(s.storeAnsweredAt) >= s.Times.JoinTimeout
		rosterKnown := s.holder.Epoch() > 0
		s.mu.Unlock()
		switch peer, ok := s.randomLivePeer(); {
		case !timedOut:
		case rosterKnown:
			s.mu.Lock()
			s.holder.AllowBorrowOnly()
			s.mu.Unlock()
			if !warned {
				warned = true
				s.Events.Write(now, timeline.Event{Kind: "slots_borrowed_only", Why: "service_unreachable"})
				s.Log.Warn().Msg("roster: The service does not answer. This instance works on borrowed slots until it can join.")
			}
		case ok:
			s.fetchRoster(ctx, peer)
		}
	}
}

// randomLivePeer returns the address of a random live instance other than this one.
func (s *Slots) randomLivePeer() (netip.AddrPort, bool) {
	v, _ := Members.Get(s.Board)
	var list []netip.AddrPort
	for _, m := range v.Live() {
		if m.ID != s.Self.ID && m.Address.IsValid() {
			list = append(list, m.Address)
		}
	}
	if len(list) == 0 {
		return netip.AddrPort{}, false
	}
	return list[rand.IntN(len(list))], true
}

// enlistSilentBorrowers adds borrowers that are not members and no longer answer to the roster, so that
// the keeper can prove their end and their loans are recovered. The random pause keeps lenders from calling
// the service simultaneously when it recovers.
func (s *Slots) enlistSilentBorrowers(ctx context.Context) {
	for sleep(ctx, jitter(s.Times.EnlistAfter)) == nil {
		s.mu.Lock()
		silent := s.holder.BorrowersToEnlist(time.Now())
		s.mu.Unlock()
		for _, m := range silent {
			r, version, err := s.readRoster(ctx)
			if err != nil {
				break
			}
			s.proposeRoster(ctx, r.EnlistBorrower(m.ID, m.Address, m.Incarnation), version, "enlist_borrower")
		}
	}
}
