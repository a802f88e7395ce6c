package slot

import (
	"maps"
	"slices"
	"time"
)

// OutgoingAsk is an Ask with the member to send it to.
type OutgoingAsk struct {
	To  Member
	Ask Ask
}

// DueAsks returns the asks that are due, to each member that may still own slots assigned to this instance.
func (h *Holder) DueAsks(now time.Time) []OutgoingAsk {
	if !h.isMember || h.selfMember.Leaving {
		return nil
	}
	askIndex, asks := map[Key]int{}, []OutgoingAsk(nil)
	for _, name := range slices.Sorted(maps.Keys(h.pools)) {
		p := h.pools[name]
		h.placeWaitingWork(now, p)
		for i, s := range p.seats {
			if s == nil || now.Before(s.nextAsk) || s.awaitedCount(seatCapacity(p.limit, i, h.SeatsPerPool)) == 0 {
				continue
			}
			s.askBackoff = min(max(2*s.askBackoff, h.AskBackoff), h.MaxAskBackoff)
			s.nextAsk = now.Add(s.askBackoff)
			for _, m := range s.possibleHolders {
				held, ok := s.stillHeld[m.Key()]
				if m.Ended || ok && held.Empty() {
					continue
				}
				index, found := askIndex[m.Key()]
				if !found || len(asks[index].Ask.Wants) == MaxWants {
					index = len(asks)
					askIndex[m.Key()] = index
					asks = append(asks, OutgoingAsk{To: m, Ask: Ask{From: h.Self, To: m.Key(), Epoch: h.roster.Epoch}})
				}
				asks[index].Ask.Wants = append(asks[index].Ask.Wants, Want{Pool: name, Seat: i, Since: s.assignedSince})
			}
		}
	}
	return asks
}

// AnswerAsk releases the idle slots of the seats that are assigned to the asker; an ask meant for another
// incarnation gets no releases.
func (h *Holder) AnswerAsk(a Ask) Released {
	if a.To != h.Self {
		return Released{Epoch: h.Epoch()}
	}
	out := Released{Epoch: h.Epoch(), Releases: make([]Release, len(a.Wants))}
	for i, w := range a.Wants {
		out.Releases[i] = h.releaseSeat(a.From, w)
	}
	return out
}

func (h *Holder) releaseSeat(to Key, w Want) Release {
	// Without a roster as new as the asker's, this instance may still become the holder of the seat under an older one.
	if h.Epoch() < w.Since || w.Seat < 0 || w.Seat >= h.SeatsPerPool {
		return Release{}
	}
	p := h.pools[w.Pool]
	var s *seat
	if p != nil {
		s = p.seats[w.Seat]
	}
	if s == nil {
		// No state is kept of the pool or seat, but the roster may still assign the seat to this instance.
		a := h.roster.Assign(w.Pool, h.SeatsPerPool)
		return Release{Clear: len(a.Holders) == 0 || a.Holders[w.Seat].Key() != h.Self}
	}
	if s.assignedSince != 0 {
		return Release{}
	}
	return s.releaseIdle(to, w.Since)
}

// ApplyReleased applies the answer to an ask: it takes over the slots that were handed over, and owns the
// rest once all possible holders have cleared them.
func (h *Holder) ApplyReleased(from Key, a Ask, r Released) {
	if len(r.Releases) != len(a.Wants) {
		return
	}
	for i, w := range a.Wants {
		p := h.pools[w.Pool]
		if p == nil || p.seats[w.Seat] == nil || p.seats[w.Seat].assignedSince != w.Since {
			continue
		}
		s, capacity := p.seats[w.Seat], seatCapacity(p.limit, w.Seat, h.SeatsPerPool)
		h.addGiven(s, r.Releases[i].Given)
		// Under a newer roster, the answerer may have released the slot to a holder that this instance does not know.
		if r.Releases[i].Clear && r.Epoch <= h.roster.Epoch {
			s.stillHeld[from] = r.Releases[i].Held
			s.ownCleared(capacity)
		}
		h.placeWaitingWork(h.lastContact, p)
	}
}

// addGiven makes this instance the owner of the slots that were handed over to it.
func (h *Holder) addGiven(s *seat, given Set) {
	for i := range min(64*len(given), MaxSlots) {
		if given.Has(i) {
			s.growSlots(i + 1)
			s.markOwned(i)
		}
	}
}
