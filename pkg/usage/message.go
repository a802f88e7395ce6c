package usage

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// MaxMessage bounds an encoded message: with the byte of its kind it fits into a datagram of 1,400 bytes.
	MaxMessage = 1399
	// maxName bounds the names of instances and workspaces, in bytes.
	maxName = 100
	// maxMessageWindows bounds the windows of a message.
	maxMessageWindows = 2 * KeptWindows
)

// MessageError reports which field of a message or of a stored record can't be used.
type MessageError struct{ Field string }

func (e *MessageError) Error() string { return fmt.Sprintf("usage: field %s can't be used", e.Field) }

// Counts is a message with totals of an instance.
type Counts struct {
	// Instance identifies the instance, and Incarnation its process, by its start in Unix nanoseconds.
	Instance    string `json:"instance"`
	Incarnation int64  `json:"incarnation"`
	// ClockMillis is the instance's wall clock in Unix milliseconds.
	ClockMillis int64 `json:"clock_ms"`
	// Windows holds totals by window and workspace; a later message may hold others.
	Windows Totals `json:"windows,omitempty"`
}

// maxUnixMillis bounds times in messages, which lies in the year 2109, so that differences between them do not overflow.
const maxUnixMillis = 1 << 42

// Validate checks a message but for its counts, which a Collector checks one by one.
func (m *Counts) Validate() error {
	switch {
	case m.Instance == "" || len(m.Instance) > maxName:
		return &MessageError{Field: "instance"}
	case m.Incarnation <= 0:
		return &MessageError{Field: "incarnation"}
	case m.ClockMillis <= 0 || m.ClockMillis > maxUnixMillis:
		return &MessageError{Field: "clock_ms"}
	case len(m.Windows) > maxMessageWindows:
		return &MessageError{Field: "windows"}
	}
	return nil
}

// Acknowledgement is the holder's answer to counts.
type Acknowledgement struct {
	// Instance identifies the holder.
	Instance string `json:"instance"`
	// TrueMillis is true time in Unix milliseconds, and BoundMillis the bound of its error.
	TrueMillis  int64 `json:"true_ms"`
	BoundMillis int64 `json:"bound_ms,omitempty"`
	// EchoMillis is the wall clock in the answered message.
	EchoMillis int64 `json:"echo_ms"`
	// Recorded is the latest window whose report the store holds, and RecordedHash that of the report.
	Recorded     int64  `json:"recorded,omitempty"`
	RecordedHash uint64 `json:"recorded_hash,omitempty"`
	// Resend asks for the totals of all kept windows, since the holder has just begun its term.
	Resend bool `json:"resend,omitempty"`
}

// Validate checks a message.
func (m *Acknowledgement) Validate() error {
	switch {
	case m.Instance == "" || len(m.Instance) > maxName:
		return &MessageError{Field: "instance"}
	case m.TrueMillis <= 0 || m.TrueMillis > maxUnixMillis:
		return &MessageError{Field: "true_ms"}
	case m.BoundMillis < 0 || m.BoundMillis > maxRoundTrip.Milliseconds()*100:
		return &MessageError{Field: "bound_ms"}
	case m.EchoMillis <= 0:
		return &MessageError{Field: "echo_ms"}
	case m.Recorded < 0:
		return &MessageError{Field: "recorded"}
	}
	return nil
}

// DecodeCounts decodes and checks a message.
func DecodeCounts(data []byte) (*Counts, error) {
	m := &Counts{}
	if err := json.Unmarshal(data, m); err != nil {
		return nil, errors.Wrap(err, "usage counts")
	}
	return m, m.Validate()
}

// DecodeAcknowledgement decodes and checks a message.
func DecodeAcknowledgement(data []byte) (*Acknowledgement, error) {
	m := &Acknowledgement{}
	if err := json.Unmarshal(data, m); err != nil {
		return nil, errors.Wrap(err, "usage acknowledgement")
	}
	return m, m.Validate()
}

// Encode returns messages of at most MaxMessage bytes that hold all totals together; there is one without totals if m
// has none. Workspaces with names too long to be sent are left out.
func (m *Counts) Encode() ([][]byte, error) {
	var list [][]byte
	part := Counts{Instance: m.Instance, Incarnation: m.Incarnation, ClockMillis: m.ClockMillis}
	empty, err := json.Marshal(part)
	if err != nil {
		return nil, errors.Wrap(err, "usage counts")
	}
	base := len(empty) + len(`,"windows":{}`)
	size := base
	flush := func() error {
		data, err := json.Marshal(part)
		list = append(list, data)
		part.Windows, size = nil, base
		return errors.Wrap(err, "usage counts")
	}
	for _, window := range slices.Sorted(maps.Keys(m.Windows)) {
		windowSize := len(strconv.FormatInt(window, 10)) + len(`"":{},`)
		for _, workspace := range slices.Sorted(maps.Keys(m.Windows[window])) {
			n := m.Windows[window][workspace]
			name, err := json.Marshal(workspace)
			if err != nil || len(workspace) > maxName {
				continue
			}
			entry := len(name) + len(strconv.FormatInt(n, 10)) + len(":,")
			if size+windowSize+entry > MaxMessage && part.Windows != nil {
				if err := flush(); err != nil {
					return nil, err
				}
			}
			if part.Windows == nil {
				part.Windows = Totals{}
			}
			if part.Windows[window] == nil {
				size += windowSize
			}
			part.Windows.set(window, workspace, n)
			size += entry
		}
	}
	if part.Windows != nil || len(list) == 0 {
		err = flush()
	}
	return list, err
}
