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

// DueAsks returns the asks that are due: to each member that may still have slots dealt to this instance.
func (h *Holder) DueAsks(now time.Time) []OutgoingAsk {
	if !h.member || h.self.Leaving {
		return nil
	}
	byKey, list := map[Key]int{}, []OutgoingAsk(nil)
	for _, name := range slices.Sorted(maps.Keys(h.pools)) {
		p := h.pools[name]
		h.settle(now, p)
		for i, s := range p.seats {
			if s == nil || now.Before(s.next) || s.awaiting(capacity(p.limit, i, h.SeatsPerPool)) == 0 {
				continue
			}
			s.pause = min(max(2*s.pause, h.AskBackoff), h.MaxAskBackoff)
			s.next = now.Add(s.pause)
			for _, m := range s.former {
				held, ok := s.cleared[m.Key()]
				if m.Ended || ok && held.Empty() {
					continue
				}
				n, found := byKey[m.Key()]
				if !found || len(list[n].Ask.Wants) == MaxWants {
					n = len(list)
					byKey[m.Key()] = n
					list = append(list, OutgoingAsk{To: m, Ask: Ask{From: h.Self, To: m.Key(), Epoch: h.roster.Epoch}})
				}
				list[n].Ask.Wants = append(list[n].Ask.Wants, Want{Pool: name, Seat: i, Since: s.since})
			}
		}
	}
	return list
}

// AnswerAsk releases what the asker was dealt, as far as it is not in use; an ask meant for another
// incarnation gets no releases.
func (h *Holder) AnswerAsk(a Ask) Released {
	if a.To != h.Self {
		return Released{Epoch: h.Epoch()}
	}
	out := Released{Epoch: h.Epoch(), Releases: make([]Release, len(a.Wants))}
	for i, w := range a.Wants {
		out.Releases[i] = h.release(a.From, w)
	}
	return out
}

func (h *Holder) release(to Key, w Want) Release {
	// Without a roster as new as the asker's, this instance may yet take the seat under an older one.
	if h.Epoch() < w.Since || w.Seat < 0 || w.Seat >= h.SeatsPerPool {
		return Release{}
	}
	p := h.pools[w.Pool]
	var s *seat
	if p != nil {
		s = p.seats[w.Seat]
	}
	if s == nil {
		// The pool may be unknown here and the seat still dealt here by the roster.
		d := h.roster.Assign(w.Pool, h.SeatsPerPool)
		return Release{Clear: len(d.Holders) == 0 || d.Holders[w.Seat].Key() != h.Self}
	}
	if s.since != 0 {
		return Release{}
	}
	return s.release(to, w.Since)
}

// ApplyReleased takes in the answer to an ask.
func (h *Holder) ApplyReleased(from Key, a Ask, r Released) {
	if len(r.Releases) != len(a.Wants) {
		return
	}
	for i, w := range a.Wants {
		p := h.pools[w.Pool]
		if p == nil || p.seats[w.Seat] == nil || p.seats[w.Seat].since != w.Since {
			continue
		}
		s, n := p.seats[w.Seat], capacity(p.limit, w.Seat, h.SeatsPerPool)
		h.takeGiven(s, r.Releases[i].Given)
		// An answer under a newer roster may hide a holder that this instance does not know.
		if r.Releases[i].Clear && r.Epoch <= h.roster.Epoch {
			s.cleared[from] = r.Releases[i].Held
			s.confirm(n)
		}
		h.settle(h.heard, p)
	}
}

func (h *Holder) takeGiven(s *seat, given Set) {
	for i := range min(64*len(given), MaxSlots) {
		if given.Has(i) {
			s.grow(i + 1)
			s.own(i)
		}
	}
}
