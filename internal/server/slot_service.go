package server

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/slot"
)

// Nothing is an empty answer.
type Nothing struct{ OK bool }

// Ping tells another member the roster's epoch and the age of the keeper's last heartbeat.
type Ping struct {
	From       netip.AddrPort `json:"from"`
	Epoch      int64          `json:"epoch"`
	BeatMillis int64          `json:"beat_ms"`
}

// Fence asks whether the receiver has done with a member that is over.
//
// To names the incarnation that is asked.
type Fence struct {
	To   slot.Key `json:"to"`
	Over slot.Key `json:"over"`
	// Roster is the roster, in JSON, that says so.
	Roster []byte `json:"roster"`
}

// errTooManyLoans refuses messages about more loans than one may name.
var errTooManyLoans = errors.Newf("a message names more than %d loans", slot.MaxLoans)

// slotService is what other instances call.
type slotService struct{ s *Slots }

// Ask releases slots that the asker was dealt.
func (v *slotService) Ask(a slot.Ask, out *slot.Released) error {
	if err := a.Check(); err != nil {
		return err
	}
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	*out = v.s.holder.AnswerAsk(a)
	return nil
}

// Lend lends a slot.
func (v *slotService) Lend(b slot.Borrow, out *slot.Lent) error {
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	*out = v.s.holder.Lend(time.Now(), b)
	return nil
}

// Return takes back lent slots.
func (v *slotService) Return(l slot.Loans, out *Nothing) error {
	if len(l.Loans) > slot.MaxLoans {
		return errTooManyLoans
	}
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	v.s.holder.EndLoans(time.Now(), l)
	out.OK = true
	return nil
}

// Audit tells which loans this instance does not have.
func (v *slotService) Audit(l slot.Loans, out *slot.Loans) error {
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	*out = v.s.holder.AnswerAudit(l)
	return nil
}

// Fence reports whether this instance has done with a member that is over.
func (v *slotService) Fence(f Fence, out *Nothing) error {
	r, err := slot.DecodeRoster(f.Roster)
	if err != nil {
		return err
	}
	v.s.takeRoster(r)
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	out.OK = v.s.holder.Fence(f.To, f.Over)
	return nil
}

// Ping exchanges epochs.
func (v *slotService) Ping(p Ping, out *Ping) error {
	s := v.s
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sawBeat(p.BeatMillis)
	*out = Ping{From: s.Address, Epoch: s.holder.Epoch(), BeatMillis: time.Since(s.beat).Milliseconds()}
	if p.Epoch > out.Epoch && p.From.IsValid() {
		go s.fetch(context.Background(), p.From)
	}
	return nil
}

// Roster returns the roster in JSON.
func (v *slotService) Roster(_ Nothing, out *[]byte) error {
	v.s.mu.Lock()
	r := v.s.holder.Roster()
	v.s.mu.Unlock()
	var err error
	*out, err = json.Marshal(r)
	return err
}

// fetch gets the roster from another member.
func (s *Slots) fetch(ctx context.Context, from netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, s.Times.CallTimeout)
	defer cancel()
	var data []byte
	if s.Peers == nil || s.Peers.Call(ctx, from, "Slots.Roster", Nothing{}, &data) != nil {
		return
	}
	if r, err := slot.DecodeRoster(data); err == nil {
		s.takeRoster(r)
	}
}

// sawBeat takes in the age of the keeper's last heartbeat; the caller holds the lock.
func (s *Slots) sawBeat(millis int64) {
	if millis < 0 {
		return
	}
	if at := time.Now().Add(-time.Duration(millis) * time.Millisecond); at.After(s.beat) {
		s.beat = at
	}
}
