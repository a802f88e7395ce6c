package rollout

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxInterval bounds the time that an order allows, so that a malformed one does not pend for ever.
	maxInterval = 24 * time.Hour
	// recordedSettle is the time between the deadline in a record and the end of the order's interval, and
	// recordedSettleDivisor limits it to a part of a short interval. Instances of the former build decide at that deadline.
	recordedSettle        = 3 * time.Second
	recordedSettleDivisor = 4
)

// Order is an operator's order to move the traffic of a pool to a version within an interval.
type Order struct {
	Pool     string        `json:"pool"`
	Version  string        `json:"version"`
	Interval time.Duration `json:"interval"`
}

// OrderError reports which field of an order can't be used.
type OrderError struct {
	Field string
	Value string
}

func (e *OrderError) Error() string { return fmt.Sprintf("rollout order: %s = %q", e.Field, e.Value) }

// Validate checks an order; the error is an *OrderError.
func (o *Order) Validate() error {
	switch {
	case o.Pool == "":
		return &OrderError{Field: "pool"}
	case o.Version == "":
		return &OrderError{Field: "version"}
	case o.Interval <= 0 || o.Interval > maxInterval:
		return &OrderError{Field: "interval", Value: o.Interval.String()}
	}
	return nil
}

// changeID identifies the change that the order asks for. An order that the operator writes once more in the
// same era of the store has another number and is another change; after a restore it is the same one.
func (o *Order) changeID(number int64) uint64 {
	h := xxhash.New()
	for _, s := range []string{o.Pool, o.Version} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(o.Interval)))
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(number)))
	return max(h.Sum64(), 1)
}

// recordedSettle returns the time between the deadline in the order's record and the end of its interval.
func (o *Order) recordedSettle() time.Duration {
	return min(recordedSettle, o.Interval/recordedSettleDivisor)
}

// State is the state of a change as the operator sees it.
type State string

// The states of a change.
const (
	Running    State = "running"
	Succeeded  State = "succeeded"
	RolledBack State = "rolled_back"
)
