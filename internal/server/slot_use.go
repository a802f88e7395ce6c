package server

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/slot"
)

// FreeSlots returns how many slots of a pool can be used without contacting another instance.
func (s *Slots) FreeSlots(now time.Time, pool string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.FreeSlots(now, pool)
}

// CanStartWork reports whether the instance may start new work.
func (s *Slots) CanStartWork(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.CanStartWork(now)
}

// HoldsPool reports whether this instance holds slots of a pool.
func (s *Slots) HoldsPool(pool string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.HoldsPool(pool)
}

// Acquire takes a free slot of the pool from those that this instance holds.
func (s *Slots) Acquire(now time.Time, pool string) (release func(), ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ok := s.holder.Acquire(now, pool)
	if !ok {
		return nil, false
	}
	s.Metrics.GetOrCreateCounter(`bambooferry_slot_uses_total{pool="` + slot.PoolKind(pool) + `"}`).Inc()
	return s.releaseOnce(id), true
}

// Adopt counts work that already runs at its target.
func (s *Slots) Adopt(now time.Time, pool string) (release func(), ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ok := s.holder.AdoptWork(now, pool)
	if !ok {
		return nil, false
	}
	return s.releaseOnce(id), true
}

func (s *Slots) releaseOnce(id int64) func() {
	return sync.OnceFunc(func() { s.endUse(id) })
}

// endUse ends a use and returns a borrowed slot to its lender.
func (s *Slots) endUse(id int64) {
	s.mu.Lock()
	lender, returnToLender := s.holder.ReleaseTicket(time.Now(), id)
	m, ok := s.holder.Roster().Member(lender)
	s.mu.Unlock()
	if !returnToLender || !ok {
		return
	}
	// If the message is lost, the lender's audit recovers the slot.
	go func() {
		var none Nothing
		_ = s.callMember(context.Background(), s.Times.CallTimeout, m, "Return", slot.Loans{From: s.Self, Loans: []int64{id}}, &none)
	}()
}

// BorrowWithRetry asks one holder of the pool for a slot, or several in turn when this instance is
// not a member and has no other way to work.
func (s *Slots) BorrowWithRetry(ctx context.Context, pool string) (release func(), ok bool) {
	tries := 1
	if !s.isMember() {
		tries = maxBorrowAttempts
	}
	for range tries {
		if release, ok = s.Borrow(ctx, pool); ok {
			break
		}
	}
	return release, ok
}

// Borrow asks one holder of the pool for a slot.
func (s *Slots) Borrow(ctx context.Context, pool string) (release func(), ok bool) {
	now := time.Now()
	s.mu.Lock()
	var lender *slot.Member
	for _, m := range s.holder.Lenders(now, pool, rand.IntN(slot.DefaultSeats)) {
		if now.Sub(s.unansweredAt[m.Key()]) >= s.Times.LenderBackoff {
			lender = &m
			break
		}
	}
	if lender == nil {
		s.mu.Unlock()
		return nil, false
	}
	b := s.holder.BeginLoan(pool, lender.Key())
	s.mu.Unlock()
	var lent slot.Lent
	err := s.callMember(ctx, s.Times.BorrowTimeout, *lender, "Lend", b, &lent)
	s.mu.Lock()
	ok = err == nil && s.holder.ConfirmLoan(time.Now(), b, lent)
	s.mu.Unlock()
	s.countBorrow(pool, now, ok, err)
	if !ok {
		s.endUse(b.Loan)
		return nil, false
	}
	return s.releaseOnce(b.Loan), true
}

func (s *Slots) countBorrow(pool string, startedAt time.Time, ok bool, err error) {
	result := "refused"
	if ok {
		result = "lent"
	} else if err != nil {
		result = "failed"
	}
	s.Metrics.GetOrCreateCounter(`bambooferry_slot_borrows_total{pool="` + slot.PoolKind(pool) + `",result="` + result + `"}`).Inc()
	s.Metrics.GetOrCreateHistogram("bambooferry_slot_borrow_seconds").Update(time.Since(startedAt).Seconds())
}
