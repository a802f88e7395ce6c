package version

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"bambooferry.example/bambooferry/pkg/catalogue"
)

// Plan is a change as the catalogue requests it.
type Plan struct {
	// ID is a hash of the entry, the versions, the deadline and the share, so that any edit of
	// them is a different change and a rolled-back change does not start again.
	ID           uint64
	Entry        string
	From         string
	To           string
	Revision     int64
	Deadline     time.Time
	LargestShare float64
	// End is when a change that is not closed is rolled back, or the zero time if it may stay done for longer.
	End time.Time
}

// PlanOf returns the change that an entry requests, if it requests one.
func PlanOf(e *catalogue.Entry, revision int64) (Plan, bool) {
	c := e.Change
	if c == nil {
		return Plan{}, false
	}
	h := xxhash.New()
	for _, s := range []string{e.Name, e.Version, c.To} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(c.Deadline.UnixNano())))
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, math.Float64bits(c.LargestShare)))
	return Plan{
		ID: h.Sum64(), Entry: e.Name, From: e.Version, To: c.To,
		Revision: revision, Deadline: c.Deadline, LargestShare: c.LargestShare,
	}, true
}

// RoutesToNew reports whether a request goes to the new version at a share.
//
// A request that goes to it at one share goes to it at every larger share, on every instance.
func RoutesToNew(change uint64, share float64, request string) bool {
	if share >= 1 {
		return true
	}
	h := xxhash.New()
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, change))
	_, _ = h.WriteString(request)
	// A float64 holds 53 bits exactly.
	return float64(h.Sum64()>>11)/(1<<53) < share
}

// FixedScheduleShare returns the share of a schedule that depends only on the time; measurements use it as
// the baseline.
func FixedScheduleShare(p Plan, started, now time.Time) float64 {
	elapsed := float64(now.Sub(started)) / float64(p.Deadline.Sub(started))
	switch {
	case elapsed < 0.25:
		return p.LargestShare / 4
	case elapsed < 0.5:
		return p.LargestShare
	case elapsed < 0.75:
		return 0.5
	}
	return 1
}
