package version

import (
	"encoding/binary"
	"fmt"
	"math"
)

const (
	maxRouteBytes = 48
	// rowCounts is the number of counts of a row.
	rowCounts = 12
	// MaxReports bounds the changes in one message.
	MaxReports = 16
	// MaxMessageBytes bounds a message.
	MaxMessageBytes = 32 << 10
)

// FormatError tells at which byte a message of evidence is not valid, and why.
type FormatError struct {
	Offset int
	Rule   string
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("evidence at byte %d: %s", e.Offset, e.Rule)
}

// formMark is added to the first byte. Instances of the format before take it for
// too many reports and refuse the message, in place of reading wrong counts.
const formMark = 0x80

// AppendReports appends the binary form of at most MaxReports reports with all names in full.
func AppendReports(b []byte, list []Report) []byte {
	return (*RouteDictionary)(nil).AppendReports(b, list)
}

// AppendReports appends the binary form of at most MaxReports reports.
//
// It is a count, then for each report the change (8 bytes, big endian), the number of
// rows, and for each row the route (its length and name, or numberMark and its number),
// a bit for each of the twelve counts that is above 0, and these counts, all as varints. Counts of
// times are differences from the requests.
func (n *RouteDictionary) AppendReports(b []byte, list []Report) []byte {
	list = list[:min(len(list), MaxReports)]
	b = append(b, byte(len(list))|formMark)
	for _, r := range list {
		b = binary.BigEndian.AppendUint64(b, r.ChangeID)
		b = append(b, byte(len(r.Routes)))
		for i := range r.Routes {
			b = n.appendRoute(b, r.Routes[i].Route)
			b = r.Routes[i].appendCounts(b)
		}
	}
	return b
}

func (r *RouteCounts) appendCounts(b []byte) []byte {
	set, all := uint64(0), packed(*r)
	for i, n := range all {
		if n > 0 {
			set |= 1 << i
		}
	}
	b = binary.AppendUvarint(b, set)
	for _, n := range all {
		if n > 0 {
			b = binary.AppendUvarint(b, uint64(n))
		}
	}
	return b
}

// packed returns the counts, with those of times as differences from the requests,
// which are mostly as many; the lowest bit of a difference is its sign.
func packed(r RouteCounts) (all [rowCounts]uint32) {
	for i, n := range r.numbers() {
		all[i] = *n
	}
	for i := range all {
		if base, ok := timesOf(i); ok {
			d := int32(all[i] - *r.numbers()[base])
			all[i] = uint32(d<<1) ^ uint32(d>>31)
		}
	}
	return all
}

// unpack sets the counts from what packed returned.
func (r *RouteCounts) unpack(all [rowCounts]uint32) {
	for i, n := range r.numbers() {
		*n = all[i]
		if base, ok := timesOf(i); ok {
			*n = (all[i]>>1 ^ -(all[i] & 1)) + *r.numbers()[base]
		}
	}
}

// timesOf reports whether a number counts times, and which one counts the requests of its version.
func timesOf(i int) (requests int, ok bool) {
	const perVersion = rowCounts / 2
	at := i % perVersion
	return i - at, at == 2 || at == 4
}

func (r *RouteCounts) numbers() (all [rowCounts]*uint32) {
	old, now := r.Old.numbers(), r.New.numbers()
	copy(all[copy(all[:], old[:]):], now[:])
	return all
}

func (c *Counts) numbers() [6]*uint32 {
	return [...]*uint32{&c.Requests, &c.Failed, &c.FirstTokens, &c.SlowFirstTokens, &c.TokenIntervals, &c.SlowTokenIntervals}
}

// DecodeReports reads what AppendReports wrote and checks it.
func DecodeReports(data []byte) ([]Report, error) {
	list, _, err := (&RouteDictionary{}).DecodeReports(data)
	return list, err
}

// DecodeReports reads what Append wrote and checks it.
//
// It reports whether numbers stand for names that did not arrive, as after a restart;
// their counts are under OtherRoute.
func (n *RouteDictionary) DecodeReports(data []byte) (list []Report, missing bool, err error) {
	d := decoder{data: data, names: n}
	if len(data) > MaxMessageBytes {
		d.fail("is too large")
	}
	list, err = d.reports()
	return list, d.missing, err
}

func (d *decoder) reports() ([]Report, error) {
	n := d.count(MaxReports|formMark) ^ formMark
	if n > MaxReports {
		d.fail("has an unknown format")
		n = 0
	}
	var list []Report
	for range n {
		r := Report{ChangeID: d.fixed()}
		for range d.count(MaxRoutes) {
			row := RouteCounts{Route: d.route()}
			d.counts(&row)
			r.Routes = append(r.Routes, row)
		}
		list = append(list, r)
	}
	if d.err == nil && d.at != len(d.data) {
		d.fail("has more data")
	}
	if d.err != nil {
		return nil, d.err
	}
	return list, nil
}

type decoder struct {
	data    []byte
	at      int
	err     error
	names   *RouteDictionary
	missing bool
}

func (d *decoder) fail(rule string) {
	if d.err == nil {
		d.err = &FormatError{Offset: d.at, Rule: rule}
	}
}

func (d *decoder) take(n int) []byte {
	if d.err != nil || len(d.data)-d.at < n {
		d.fail("ends early")
		return nil
	}
	d.at += n
	return d.data[d.at-n : d.at]
}

func (d *decoder) count(most int) int {
	b := d.take(1)
	if b == nil {
		return 0
	}
	if int(b[0]) > most {
		d.fail("has too many parts")
		return 0
	}
	return int(b[0])
}

func (d *decoder) fixed() uint64 {
	b := d.take(8)
	if b == nil {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

func (d *decoder) route() string {
	if d.err == nil && d.at < len(d.data) && d.data[d.at] == numberMark {
		d.at++
		at := d.take(4)
		if at == nil {
			return ""
		}
		name, known := d.names.byNumber[binary.BigEndian.Uint32(at)]
		if !known {
			d.missing = true
			return OtherRoute
		}
		return name
	}
	name := string(d.take(d.count(maxRouteBytes)))
	if d.err == nil {
		d.names.keep(name)
	}
	return name
}

func (d *decoder) number(most uint64) uint64 {
	if d.err != nil {
		return 0
	}
	v, used := binary.Uvarint(d.data[d.at:])
	if used <= 0 || v > most {
		d.fail("has an invalid number")
		return 0
	}
	d.at += used
	return v
}

func (d *decoder) counts(r *RouteCounts) {
	set := d.number(1<<rowCounts - 1)
	all := [rowCounts]uint32{}
	for i := range all {
		if set&(1<<i) != 0 {
			all[i] = uint32(d.number(math.MaxUint32))
		}
	}
	r.unpack(all)
	if !r.Old.valid() || !r.New.valid() {
		d.fail("has more bad results than results")
	}
}
