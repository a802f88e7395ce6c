package slot

import "net/netip"

// Bounds of messages.
const (
	// MaxWants is the largest number of seats in one Ask.
	MaxWants = 256
	// MaxSlots is the largest number of slots of one seat.
	MaxSlots = 1 << 14
	// MaxLoans is the largest number of loans in one audit.
	MaxLoans = 1024
)

// Want names a seat that is assigned to the asker; Since is the epoch from which it has been assigned
// without interruption.
type Want struct {
	Pool  string `json:"pool"`
	Seat  int    `json:"seat"`
	Since int64  `json:"since"`
}

// Ask is a request to a possible holder to release seats.
//
// To names the incarnation that is addressed: a newer one at the same address cannot answer for it.
type Ask struct {
	From  Key    `json:"from"`
	To    Key    `json:"to"`
	Epoch int64  `json:"epoch"`
	Wants []Want `json:"wants"`
}

// Release answers one Want.
type Release struct {
	// Clear is set when the answerer has a roster at least as new as Want.Since, is not
	// assigned the seat by it, and owns none of its slots except those in Held.
	Clear bool `json:"clear"`
	Held  Set  `json:"held,omitempty"`
	// Given are slots of which the answerer was the only owner until now and which it hands over.
	Given Set `json:"given,omitempty"`
}

// Released answers an Ask with one Release for each Want; Epoch is that of the answerer's roster.
type Released struct {
	Epoch    int64     `json:"epoch"`
	Releases []Release `json:"releases"`
}

// Borrow is a request to a holder to lend one slot of a pool; Loan is the borrower's ticket for it.
type Borrow struct {
	From Key `json:"from"`
	To   Key `json:"to"`
	// Address is the address at which the borrower answers audits.
	Address netip.AddrPort `json:"address"`
	Pool    string         `json:"pool"`
	Loan    int64          `json:"loan"`
}

// Lent answers a Borrow; Seat and Slot locate the slot that was lent if OK is set.
type Lent struct {
	OK   bool `json:"ok"`
	Seat int  `json:"seat"`
	Slot int  `json:"slot"`
}

// Loans lists loans between two instances: in a return those that ended, in an audit those that the
// lender believes to be in use, and in its answer those that the borrower does not have.
type Loans struct {
	From  Key     `json:"from"`
	To    Key     `json:"to"`
	Loans []int64 `json:"loans"`
}

// Set is a bit set of slot indexes.
type Set []uint64

// Has reports whether the set contains i.
func (s Set) Has(i int) bool { return i/64 < len(s) && s[i/64]&(1<<(i%64)) != 0 }

// With returns the set with i added; it may modify s.
func (s Set) With(i int) Set {
	for i/64 >= len(s) {
		s = append(s, 0)
	}
	s[i/64] |= 1 << (i % 64)
	return s
}

// Empty reports whether the set has no element.
func (s Set) Empty() bool {
	for _, w := range s {
		if w != 0 {
			return false
		}
	}
	return true
}

// Check returns an error if the Ask exceeds its bounds.
func (a *Ask) Check() error {
	if len(a.Wants) > MaxWants || len(a.From.ID) > maxIDBytes {
		return &RosterError{a.Epoch, "an ask is too large"}
	}
	return nil
}
