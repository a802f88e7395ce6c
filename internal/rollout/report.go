package rollout

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"bambooferry.example/bambooferry/pkg/version"
)

const (
	// EvidenceFormat is the latest format of evidence that this package reads: reports with all that an instance has
	// counted for a change, which are confirmed. Instances of the former format exchange differences.
	EvidenceFormat = 1
	// messageFormat is the first byte of reports and confirmations.
	messageFormat = 1
	// flagBad is set in messages if the sender has found the version bad.
	flagBad = 1
	// maxAddressBytes bounds the text of an address.
	maxAddressBytes = 64
	// maxCount bounds the counts of requests of one instance.
	maxCount = 1 << 40
)

// MessageError reports which part of a message between instances can't be used.
type MessageError struct{ Part string }

func (e *MessageError) Error() string {
	return fmt.Sprintf("rollout message: %s can't be used", e.Part)
}

// report has all that one instance has counted for a change.
type report struct {
	// sender and incarnation identify the instance's process, and sentAt orders its reports: the time since its start.
	sender      netip.AddrPort
	incarnation int64
	sentAt      time.Duration
	// bad is set if the sender has found the version bad.
	bad bool
	// sent and exposed are the requests that it has sent to the pool and to the version, in the time countedFor.
	countedFor    time.Duration
	sent, exposed uint64
	results       version.Report
}

func (r *report) encode() []byte {
	sender := r.sender.String()
	b := append([]byte{messageFormat, flags(r.bad), byte(len(sender))}, sender...)
	b = binary.BigEndian.AppendUint64(b, uint64(r.incarnation))
	b = binary.BigEndian.AppendUint64(b, uint64(r.sentAt))
	for _, n := range []uint64{uint64(max(r.countedFor.Milliseconds(), 0)), r.sent, r.exposed} {
		b = binary.AppendUvarint(b, n)
	}
	return version.AppendReports(b, []version.Report{r.results})
}

func flags(bad bool) byte {
	if bad {
		return flagBad
	}
	return 0
}

func decodeReport(data []byte) (*report, error) {
	if len(data) < 3 || data[0] != messageFormat || data[2] > maxAddressBytes || len(data) < 3+int(data[2])+16 {
		return nil, &MessageError{Part: "header"}
	}
	r := &report{bad: data[1]&flagBad != 0}
	sender, rest := string(data[3:3+data[2]]), data[3+int(data[2]):]
	var err error
	if r.sender, err = netip.ParseAddrPort(sender); err != nil {
		return nil, &MessageError{Part: "sender"}
	}
	r.incarnation, r.sentAt = int64(binary.BigEndian.Uint64(rest)), time.Duration(binary.BigEndian.Uint64(rest[8:]))
	rest = rest[16:]
	countedForMillis := uint64(0)
	for _, n := range []*uint64{&countedForMillis, &r.sent, &r.exposed} {
		v, size := binary.Uvarint(rest)
		if size <= 0 || v > maxCount {
			return nil, &MessageError{Part: "counts"}
		}
		*n, rest = v, rest[size:]
	}
	r.countedFor = time.Duration(countedForMillis) * time.Millisecond
	list, err := version.DecodeReports(rest)
	if err != nil {
		return nil, err
	}
	if len(list) != 1 {
		return nil, &MessageError{Part: "results"}
	}
	r.results = list[0]
	return r, nil
}

// confirmation states that a candidate has the evidence of a report, and whether it has found the version bad.
type confirmation struct {
	change uint64
	// incarnation and sentAt are those of the report.
	incarnation int64
	sentAt      time.Duration
	bad         bool
}

const confirmationBytes = 2 + 3*8

func (c *confirmation) encode() []byte {
	b := []byte{messageFormat, flags(c.bad)}
	b = binary.BigEndian.AppendUint64(b, c.change)
	b = binary.BigEndian.AppendUint64(b, uint64(c.incarnation))
	return binary.BigEndian.AppendUint64(b, uint64(c.sentAt))
}

func decodeConfirmation(data []byte) (*confirmation, error) {
	if len(data) != confirmationBytes || data[0] != messageFormat {
		return nil, &MessageError{Part: "confirmation"}
	}
	return &confirmation{
		bad: data[1]&flagBad != 0, change: binary.BigEndian.Uint64(data[2:]),
		incarnation: int64(binary.BigEndian.Uint64(data[10:])), sentAt: time.Duration(binary.BigEndian.Uint64(data[18:])),
	}, nil
}
