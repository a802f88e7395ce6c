package server

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/slot"
)

// Nothing is an empty message.
type Nothing struct{ OK bool }

// Ping carries the sender's roster epoch and the age of the keeper's last heartbeat.
type Ping struct {
	From       netip.AddrPort `json:"from"`
	Epoch      int64          `json:"epoch"`
	BeatMillis int64          `json:"beat_ms"`
}

// Fence asks whether the receiver has finished all dealings with a member that is marked as ended.
//
// To identifies the incarnation that is asked.
type Fence struct {
	To   slot.Key `json:"to"`
	Over slot.Key `json:"over"`
	// Roster is the roster in JSON in which the member is marked.
	Roster []byte `json:"roster"`
}

// errTooManyLoans rejects messages that name too many loans.
var errTooManyLoans = errors.Newf("a message names more than %d loans", slot.MaxLoans)

// slotService is the RPC service for other instances.
type slotService struct{ slots *Slots }

// Ask releases slots that the roster assigns to the asking instance.
func (v *slotService) Ask(a slot.Ask, out *slot.Released) error {
	if err := a.Check(); err != nil {
		return err
	}
	v.slots.mu.Lock()
	defer v.slots.mu.Unlock()
	*out = v.slots.holder.AnswerAsk(a)
	return nil
}

// Lend lends a slot.
func (v *slotService) Lend(b slot.Borrow, out *slot.Lent) error {
	v.slots.mu.Lock()
	defer v.slots.mu.Unlock()
	*out = v.slots.holder.Lend(time.Now(), b)
	return nil
}

// Return takes back slots that were lent.
func (v *slotService) Return(l slot.Loans, out *Nothing) error {
	if len(l.Loans) > slot.MaxLoans {
		return errTooManyLoans
	}
	v.slots.mu.Lock()
	defer v.slots.mu.Unlock()
	v.slots.holder.EndLoans(time.Now(), l)
	out.OK = true
	return nil
}

// Audit returns which of the listed loans this instance does not have.
func (v *slotService) Audit(l slot.Loans, out *slot.Loans) error {
	v.slots.mu.Lock()
	defer v.slots.mu.Unlock()
	*out = v.slots.holder.AnswerAudit(l)
	return nil
}

// Fence reports whether this instance has finished all dealings with a member that is marked as ended.
func (v *slotService) Fence(f Fence, out *Nothing) error {
	r, err := slot.DecodeRoster(f.Roster)
	if err != nil {
		return err
	}
	v.slots.applyRoster(r)
	v.slots.mu.Lock()
	defer v.slots.mu.Unlock()
	out.OK = v.slots.holder.Fence(f.To, f.Over)
	return nil
}

// Ping exchanges the epochs and the ages of the keeper's last heartbeat.
func (v *slotService) Ping(p Ping, out *Ping) error {
	s := v.slots
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordHeartbeat(p.BeatMillis)
	*out = Ping{From: s.Address, Epoch: s.holder.Epoch(), BeatMillis: time.Since(s.lastHeartbeat).Milliseconds()}
	if p.Epoch > out.Epoch && p.From.IsValid() {
		go s.fetchRoster(context.Background(), p.From)
	}
	return nil
}

// Roster returns the roster in JSON.
func (v *slotService) Roster(_ Nothing, out *[]byte) error {
	v.slots.mu.Lock()
	r := v.slots.holder.Roster()
	v.slots.mu.Unlock()
	var err error
	*out, err = json.Marshal(r)
	return err
}

// fetchRoster gets the roster from another member.
func (s *Slots) fetchRoster(ctx context.Context, from netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, s.Times.CallTimeout)
	defer cancel()
	var data []byte
	if s.Peers == nil || s.Peers.Call(ctx, from, "Slots.Roster", Nothing{}, &data) != nil {
		return
	}
	if r, err := slot.DecodeRoster(data); err == nil {
		s.applyRoster(r)
	}
}

// recordHeartbeat applies a received age of the keeper's last heartbeat; the caller holds the lock.
func (s *Slots) recordHeartbeat(millis int64) {
	if millis < 0 {
		return
	}
	if at := time.Now().Add(-time.Duration(millis) * time.Millisecond); at.After(s.lastHeartbeat) {
		s.lastHeartbeat = at
	}
}
