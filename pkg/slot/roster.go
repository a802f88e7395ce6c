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

// Key names one incarnation of one instance.
type Key struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation"`
}

// Member is one incarnation of an instance that may hold slots.
type Member struct {
	ID          string         `json:"id"`
	Address     netip.AddrPort `json:"address"`
	Incarnation int64          `json:"incarnation"`
	// Joined is the epoch that first had the member.
	Joined int64 `json:"joined"`
	// Leaving members are dealt no slots; the mark is never taken back.
	Leaving bool `json:"leaving,omitempty"`
	// Ended is set once the incarnation is proved to have ended.
	Ended bool `json:"over,omitempty"`
}

// Key returns the name of the member's incarnation.
func (m Member) Key() Key { return Key{m.ID, m.Incarnation} }

// Roster lists the instances among which slots are dealt; it is never changed in place.
type Roster struct {
	Epoch   int64    `json:"epoch"`
	Members []Member `json:"members"`
}

// RosterError tells which rule a roster breaks.
type RosterError struct {
	Epoch int64
	Rule  string
}

func (e *RosterError) Error() string { return fmt.Sprintf("roster of epoch %d: %s", e.Epoch, e.Rule) }

// DecodeRoster reads a roster strictly and checks it.
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

// Check returns the first rule that the roster breaks, as a *RosterError.
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

func (r *Roster) next() *Roster {
	if r == nil {
		return &Roster{Epoch: 1}
	}
	return &Roster{Epoch: r.Epoch + 1, Members: slices.Clone(r.Members)}
}

// Join returns the roster with a new member, or nil when it has that or a newer incarnation.
//
// Older incarnations of the id or address are over, since the new one runs in their place.
func (r *Roster) Join(id string, address netip.AddrPort, incarnation int64) *Roster {
	n := r.next()
	for i := range n.Members {
		m := &n.Members[i]
		if m.ID != id && m.Address != address {
			continue
		}
		if m.Incarnation >= incarnation {
			return nil
		}
		m.Leaving, m.Ended = true, true
	}
	n.Members = append(n.Members, Member{ID: id, Address: address, Incarnation: incarnation, Joined: n.Epoch})
	return n
}

// EnlistBorrower returns the roster with a borrower that did not join itself, or nil when it is a member.
//
// It is over when a newer incarnation has joined in its place.
func (r *Roster) EnlistBorrower(id string, address netip.AddrPort, incarnation int64) *Roster {
	if n := r.Join(id, address, incarnation); n != nil {
		return n
	}
	if _, ok := r.Member(Key{id, incarnation}); ok {
		return nil
	}
	n := r.next()
	n.Members = append(n.Members, Member{
		ID: id, Address: address, Incarnation: incarnation, Joined: n.Epoch, Leaving: true, Ended: true,
	})
	return n
}

// MarkLeaving returns the roster with a member marked as leaving or over, or nil when that changes nothing.
func (r *Roster) MarkLeaving(k Key, over bool) *Roster {
	n := r.next()
	for i := range n.Members {
		m := &n.Members[i]
		if m.Key() == k && (!m.Leaving || over && !m.Ended) {
			m.Leaving, m.Ended = true, m.Ended || over
			return n
		}
	}
	return nil
}

// Remove returns the roster without the members, or nil when it has none of them.
func (r *Roster) Remove(keys ...Key) *Roster {
	n := r.next()
	n.Members = slices.DeleteFunc(n.Members, func(m Member) bool { return slices.Contains(keys, m.Key()) })
	if r == nil || len(n.Members) == len(r.Members) {
		return nil
	}
	return n
}
