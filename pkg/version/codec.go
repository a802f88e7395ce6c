package version

import (
	"encoding/binary"
	"fmt"
	"math"
)

const (
	maxRouteBytes = 48
	// countersPerRoute is the number of counters in a RouteCounts.
	countersPerRoute = 12
	// MaxReports is the largest number of reports, one for each change, in one message.
	MaxReports = 16
	// MaxMessageBytes is the largest size of a message.
	MaxMessageBytes = 32 << 10
)

// FormatError reports at which byte a message of evidence is not valid, and why.
type FormatError struct {
	Offset int
	Rule   string
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("evidence at byte %d: %s", e.Offset, e.Rule)
}

// formatMarker is set in the first byte. Instances that know only the previous format read it
// as too many reports and refuse the message, instead of reading wrong counts.
const formatMarker = 0x80

// AppendReports appends the binary form of at most MaxReports reports, with all route names in full.
func AppendReports(b []byte, list []Report) []byte {
	return (*RouteDictionary)(nil).AppendReports(b, list)
}

// AppendReports appends the binary form of at most MaxReports reports.
//
// The form is the number of reports, then for each report the change id (8 bytes, big
// endian) and the number of routes, and for each route its name (length and bytes, or
// routeIDMarker and its id), a bit for each of the twelve counters that is above 0, and these
// counters, all as varints. Counts of times are stored as differences from the requests.
func (dict *RouteDictionary) AppendReports(b []byte, list []Report) []byte {
	list = list[:min(len(list), MaxReports)]
	b = append(b, byte(len(list))|formatMarker)
	for _, r := range list {
		b = binary.BigEndian.AppendUint64(b, r.ChangeID)
		b = append(b, byte(len(r.Routes)))
		for i := range r.Routes {
			b = dict.appendRoute(b, r.Routes[i].Route)
			b = r.Routes[i].appendCounts(b)
		}
	}
	return b
}

func (r *RouteCounts) appendCounts(b []byte) []byte {
	mask, values := uint64(0), packCounts(*r)
	for i, n := range values {
		if n > 0 {
			mask |= 1 << i
		}
	}
	b = binary.AppendUvarint(b, mask)
	for _, n := range values {
		if n > 0 {
			b = binary.AppendUvarint(b, uint64(n))
		}
	}
	return b
}

// packCounts returns the counters. The counts of times are returned as differences from the requests,
// which are mostly small; the lowest bit of a difference is its sign.
func packCounts(r RouteCounts) (values [countersPerRoute]uint32) {
	for i, n := range r.counters() {
		values[i] = *n
	}
	for i := range values {
		if requests, ok := requestsIndex(i); ok {
			diff := int32(values[i] - *r.counters()[requests])
			values[i] = uint32(diff<<1) ^ uint32(diff>>31)
		}
	}
	return values
}

// unpackCounts sets the counters from the values that packCounts returned.
func (r *RouteCounts) unpackCounts(values [countersPerRoute]uint32) {
	for i, n := range r.counters() {
		*n = values[i]
		if requests, ok := requestsIndex(i); ok {
			*n = (values[i]>>1 ^ -(values[i] & 1)) + *r.counters()[requests]
		}
	}
}

// requestsIndex reports whether counter i counts times, and returns the index of the counter of the
// requests of the same version.
func requestsIndex(i int) (requests int, ok bool) {
	const perVersion = countersPerRoute / 2
	index := i % perVersion
	return i - index, index == 2 || index == 4
}

func (r *RouteCounts) counters() (pointers [countersPerRoute]*uint32) {
	old, current := r.Old.counters(), r.New.counters()
	copy(pointers[copy(pointers[:], old[:]):], current[:])
	return pointers
}

func (c *Counts) counters() [6]*uint32 {
	return [...]*uint32{&c.Requests, &c.Failed, &c.FirstTokens, &c.SlowFirstTokens, &c.TokenIntervals, &c.SlowTokenIntervals}
}

// DecodeReports decodes and checks the output of AppendReports.
func DecodeReports(data []byte) ([]Report, error) {
	list, _, err := (&RouteDictionary{}).DecodeReports(data)
	return list, err
}

// DecodeReports decodes and checks the output of AppendReports.
//
// It reports in missing whether route ids were unknown, as after a restart; their counts are
// under OtherRoute.
func (dict *RouteDictionary) DecodeReports(data []byte) (list []Report, missing bool, err error) {
	d := decoder{data: data, dictionary: dict}
	if len(data) > MaxMessageBytes {
		d.fail("is too large")
	}
	list, err = d.readReports()
	return list, d.missing, err
}

func (d *decoder) readReports() ([]Report, error) {
	n := d.readCount(MaxReports|formatMarker) ^ formatMarker
	if n > MaxReports {
		d.fail("has an unknown format")
		n = 0
	}
	var list []Report
	for range n {
		r := Report{ChangeID: d.readUint64()}
		for range d.readCount(MaxRoutes) {
			route := RouteCounts{Route: d.readRoute()}
			d.readCounts(&route)
			r.Routes = append(r.Routes, route)
		}
		list = append(list, r)
	}
	if d.err == nil && d.offset != len(d.data) {
		d.fail("has more data")
	}
	if d.err != nil {
		return nil, d.err
	}
	return list, nil
}

// decoder reads a message of reports; it keeps the first error, after which reads return zero values.
type decoder struct {
	data       []byte
	offset     int
	err        error
	dictionary *RouteDictionary
	missing    bool
}

func (d *decoder) fail(rule string) {
	if d.err == nil {
		d.err = &FormatError{Offset: d.offset, Rule: rule}
	}
}

func (d *decoder) readBytes(n int) []byte {
	if d.err != nil || len(d.data)-d.offset < n {
		d.fail("ends early")
		return nil
	}
	d.offset += n
	return d.data[d.offset-n : d.offset]
}

func (d *decoder) readCount(limit int) int {
	b := d.readBytes(1)
	if b == nil {
		return 0
	}
	if int(b[0]) > limit {
		d.fail("has too many parts")
		return 0
	}
	return int(b[0])
}

func (d *decoder) readUint64() uint64 {
	b := d.readBytes(8)
	if b == nil {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

func (d *decoder) readRoute() string {
	if d.err == nil && d.offset < len(d.data) && d.data[d.offset] == routeIDMarker {
		d.offset++
		idBytes := d.readBytes(4)
		if idBytes == nil {
			return ""
		}
		name, known := d.dictionary.byID[binary.BigEndian.Uint32(idBytes)]
		if !known {
			d.missing = true
			return OtherRoute
		}
		return name
	}
	name := string(d.readBytes(d.readCount(maxRouteBytes)))
	if d.err == nil {
		d.dictionary.addRoute(name)
	}
	return name
}

func (d *decoder) readUvarint(limit uint64) uint64 {
	if d.err != nil {
		return 0
	}
	v, size := binary.Uvarint(d.data[d.offset:])
	if size <= 0 || v > limit {
		d.fail("has an invalid number")
		return 0
	}
	d.offset += size
	return v
}

func (d *decoder) readCounts(r *RouteCounts) {
	mask := d.readUvarint(1<<countersPerRoute - 1)
	values := [countersPerRoute]uint32{}
	for i := range values {
		if mask&(1<<i) != 0 {
			values[i] = uint32(d.readUvarint(math.MaxUint32))
		}
	}
	r.unpackCounts(values)
	if !r.Old.valid() || !r.New.valid() {
		d.fail("has more bad results than results")
	}
}
