package instance

import (
	"net/netip"
	"slices"
)

// State is the liveness state of a member.
type State string

// The states of a member.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Leaving State = "leaving"
	Dead    State = "dead"
)

// Member is an entry instance as other instances know it.
type Member struct {
	ID string `json:"id"`
	// Address is where the member accepts calls from other instances.
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"data_centre"`
	// Incarnation increases with each start of the instance.
	Incarnation int64 `json:"incarnation"`
	State       State `json:"state"`
}

// View is one instance's view of all members, sorted by ID; it is never modified in place.
type View struct {
	Self    Member   `json:"self"`
	Members []Member `json:"members"`
}

// Member returns the member with the given ID, if it is known.
func (v View) Member(id string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, id, func(m Member, id string) int {
		switch {
		case m.ID < id:
			return -1
		case m.ID > id:
			return 1
		}
		return 0
	})
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// Live returns the members that accept new work, including the instance itself unless it is leaving.
func (v View) Live() []Member {
	var list []Member
	for _, m := range v.Members {
		if m.State == Alive || m.State == Suspect {
			list = append(list, m)
		}
	}
	return list
}
