package server

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"bambooferry.example/bambooferry/pkg/timeline"
)

// outsideEvery is the pause between looks whether a new instance has to work on borrowed slots.
const outsideEvery = 250 * time.Millisecond

// borrowOnly lets an instance that cannot reach the service work on borrowed slots, with the roster
// that another instance has, until it joins.
func (s *Slots) borrowOnly(ctx context.Context) {
	for told := false; sleep(ctx, outsideEvery) == nil && !s.listed(); {
		now := time.Now()
		s.mu.Lock()
		out := now.Sub(s.answered) >= s.Times.JoinTimeout
		known := s.holder.Epoch() > 0
		s.mu.Unlock()
		switch peer, ok := s.livePeer(); {
		case !out:
		case known:
			s.mu.Lock()
			s.holder.AllowBorrowOnly()
			s.mu.Unlock()
			if !told {
				told = true
				s.Events.Write(now, timeline.Event{Kind: "slots_borrowed_only", Why: "service_unreachable"})
				s.Log.Warn().Msg("roster: The service does not answer. This instance works on borrowed slots until it can join.")
			}
		case ok:
			s.fetch(ctx, peer)
		}
	}
}

// livePeer returns the address of a random live instance other than this one.
func (s *Slots) livePeer() (netip.AddrPort, bool) {
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

// enlist puts borrowers on the roster that are not members and answer no more, so that the keeper
// can prove their end and what they borrowed comes back. The random pause keeps lenders from calling
// the service together when it returns.
func (s *Slots) enlist(ctx context.Context) {
	for sleep(ctx, jitter(s.Times.EnlistAfter)) == nil {
		s.mu.Lock()
		silent := s.holder.BorrowersToEnlist(time.Now())
		s.mu.Unlock()
		for _, m := range silent {
			r, version, err := s.read(ctx)
			if err != nil {
				break
			}
			s.propose(ctx, r.EnlistBorrower(m.ID, m.Address, m.Incarnation), version, "enlist_borrower")
		}
	}
}
