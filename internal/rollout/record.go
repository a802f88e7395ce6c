package rollout

import (
	"encoding/json"
	"slices"
	"time"

	"bambooferry.example/bambooferry/internal/feed"
	"bambooferry.example/bambooferry/pkg/version"
)

// record is what the store holds of the latest change of a pool.
type record struct {
	Order Order `json:"order"`
	// Number counts the changes of the pool; OrderEra and OrderRevision are the version of the store in which
	// the operator has written the order.
	Number        int64          `json:"number"`
	OrderEra      int64          `json:"order_era"`
	OrderRevision int64          `json:"order_revision"`
	Change        version.Record `json:"change"`
	// Updated is when the record was last changed, by the clock of the decider. Sequence counts the times that it was
	// written; 0 is that of a decider of the former format.
	Updated  time.Time `json:"updated"`
	Sequence int64     `json:"sequence,omitempty"`
	// Confirmed is set if the deciding instance confirms the share to each instance whose reports it gets.
	Confirmed bool `json:"confirmed,omitempty"`
	// Capped is set while the version gets no requests because its exposure limit is used up.
	Capped bool `json:"capped,omitempty"`
	// Barred lists the versions of former changes that were rolled back.
	Barred []string `json:"barred,omitempty"`

	// unsaved is set until this record, which this instance began, or a later one is known to be in the store.
	unsaved bool
}

func decodeRecord(data []byte) (*record, error) {
	r := &record{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, err
	}
	// The change is decoded again to be checked.
	c, err := version.DecodeRecord(r.Change.Encode())
	if err != nil {
		return nil, err
	}
	r.Change = c
	return r, r.Order.Validate()
}

func (r *record) encode() []byte {
	data, _ := json.Marshal(r)
	return data
}

func (r *record) state() State {
	switch r.Change.State {
	case version.Closed:
		return Succeeded
	case version.RolledBack:
		return RolledBack
	case version.Waiting, version.Trial, version.Moving, version.Done:
	}
	return Running
}

// covers reports whether the record is about an order, which may have been written again after a restore of
// the store. An order that is repeated after a rollback asks for another change.
func (r *record) covers(o Order, at feed.Version) bool {
	repeated := at.Era == r.OrderEra && at.Revision > r.OrderRevision
	return r.Order == o && (!repeated || r.state() != RolledBack)
}

// split returns how the record divides the pool's requests.
func (r *record) split() version.Split {
	s := version.Split{Change: r.Change.ID, Version: r.Order.Version, Share: r.Change.Share, Barred: r.Barred}
	if r.Capped || r.Change.State == version.Waiting {
		s.Share = 0
	}
	return s
}

// later reports whether r describes a later state of the pool's changes than other.
func (r *record) later(other *record) bool {
	if other == nil {
		return true
	}
	if r.Number != other.Number {
		return r.Number > other.Number
	}
	if r.unsaved != other.unsaved {
		return other.unsaved
	}
	if r.Sequence != 0 && other.Sequence != 0 {
		// Clocks differ, and may step back.
		return r.Sequence > other.Sequence
	}
	return r.Updated.After(other.Updated)
}

// barredAfter returns the versions that get no requests once a further order is given.
func (r *record) barredAfter(next Order) []string {
	barred := slices.Clone(r.Barred)
	if r.Change.State != version.Closed {
		barred = append(barred, r.Order.Version)
	}
	slices.Sort(barred)
	return slices.DeleteFunc(slices.Compact(barred), func(v string) bool { return v == next.Version })
}
