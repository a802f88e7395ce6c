package slot

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
)

// Bounds of a roster.
const (
	MaxMembers     = 2048
	MaxRosterBytes = 512 << 10
	maxIDBytes     = 128
)

// Key identifies one incarnation of one instance.
type Key struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation"`
}

// Member is one incarnation of an instance that may hold slots.
type Member struct {
	ID          string         `json:"id"`
	Address     netip.AddrPort `json:"address"`
	Incarnation int64          `json:"incarnation"`
	// Joined is the first epoch whose roster has the member.
	Joined int64 `json:"joined"`
	// Leaving members are assigned no seats; the mark is never removed.
	Leaving bool `json:"leaving,omitempty"`
	// Ended is set once the incarnation is proved to have ended.
	Ended bool `json:"over,omitempty"`
}

// Key returns the key of the member's incarnation.
func (m Member) Key() Key { return Key{m.ID, m.Incarnation} }

// Roster lists the instances to which seats are assigned; it is never modified in place.
type Roster struct {
	Epoch   int64    `json:"epoch"`
	Members []Member `json:"members"`
}

// RosterError reports the rule that a roster or an Ask violates.
type RosterError struct {
	Epoch int64
	Rule  string
}

func (e *RosterError) Error() string { return fmt.Sprintf("roster of epoch %d: %s", e.Epoch, e.Rule) }

// DecodeRoster parses a roster from JSON, rejects unknown fields and checks the result.
func DecodeRoster(data []byte) (*Roster, error) {
	if len(data) > MaxRosterBytes {
		return nil, &RosterError{Rule: "too many bytes"}
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	r := &Roster{}
	if err := dec.Decode(r); err != nil {
		return nil, &RosterError{Rule: err.Error()}
	}
	return r, r.Check()
}

// Check returns the first rule that the roster violates, as a *RosterError.
func (r *Roster) Check() error {
	if r.Epoch < 0 || len(r.Members) > MaxMembers {
		return &RosterError{r.Epoch, "epoch or number of members out of range"}
	}
	seen := map[Key]bool{}
	for _, m := range r.Members {
		switch {
		case m.ID == "" || len(m.ID) > maxIDBytes:
			return &RosterError{r.Epoch, "a member's id is empty or too long"}
		case !m.Address.IsValid():
			return &RosterError{r.Epoch, "a member has no address"}
		case m.Joined < 1 || m.Joined > r.Epoch:
			return &RosterError{r.Epoch, "a member joined outside the roster's epochs"}
		case seen[m.Key()]:
			return &RosterError{r.Epoch, "a member is listed twice"}
		}
		seen[m.Key()] = true
	}
	return nil
}

// Member returns the member with the given key.
func (r *Roster) Member(k Key) (Member, bool) {
	if r == nil {
		return Member{}, false
	}
	for _, m := range r.Members {
		if m.Key() == k {
			return m, true
		}
	}
	return Member{}, false
}

// cloneNextEpoch returns a copy of the roster with the next epoch; a nil roster counts as empty.
func (r *Roster) cloneNextEpoch() *Roster {
	if r == nil {
		return &Roster{Epoch: 1}
	}
	return &Roster{Epoch: r.Epoch + 1, Members: slices.Clone(r.Members)}
}

// Join returns a roster with a new member added, or nil if this one has that or a newer incarnation.
//
// Older incarnations with the id or address are marked as ended, since the new one runs in their place.
func (r *Roster) Join(id string, address netip.AddrPort, incarnation int64) *Roster {
	next := r.cloneNextEpoch()
	for i := range next.Members {
		m := &next.Members[i]
		if m.ID != id && m.Address != address {
			continue
		}
		if m.Incarnation >= incarnation {
			return nil
		}
		m.Leaving, m.Ended = true, true
	}
	next.Members = append(next.Members, Member{ID: id, Address: address, Incarnation: incarnation, Joined: next.Epoch})
	return next
}

// EnlistBorrower returns a roster with a borrower added that did not join by itself, or nil if it is a member.
//
// The borrower is marked as ended if a newer incarnation has joined in its place.
func (r *Roster) EnlistBorrower(id string, address netip.AddrPort, incarnation int64) *Roster {
	if next := r.Join(id, address, incarnation); next != nil {
		return next
	}
	if _, ok := r.Member(Key{id, incarnation}); ok {
		return nil
	}
	next := r.cloneNextEpoch()
	next.Members = append(next.Members, Member{
		ID: id, Address: address, Incarnation: incarnation, Joined: next.Epoch, Leaving: true, Ended: true,
	})
	return next
}

// MarkLeaving returns a roster with a member marked as leaving, and as ended if that is set, or nil if
// that changes nothing.
func (r *Roster) MarkLeaving(k Key, ended bool) *Roster {
	next := r.cloneNextEpoch()
	for i := range next.Members {
		m := &next.Members[i]
		if m.Key() == k && (!m.Leaving || ended && !m.Ended) {
			m.Leaving, m.Ended = true, m.Ended || ended
			return next
		}
	}
	return nil
}

// Remove returns a roster without the given members, or nil if this one has none of them.
func (r *Roster) Remove(keys ...Key) *Roster {
	next := r.cloneNextEpoch()
	next.Members = slices.DeleteFunc(next.Members, func(m Member) bool { return slices.Contains(keys, m.Key()) })
	if r == nil || len(next.Members) == len(r.Members) {
		return nil
	}
	return next
}
