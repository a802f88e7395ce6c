package booking

import (
	"cmp"
	"slices"
	"time"
)

// PartMark says that requests with a part crash their targets.
type PartMark struct {
	Part string
	// Crashes is the number of crashes that the mark is based on, and LastCrash the time of the last one.
	Crashes   int
	LastCrash time.Time
	// FirstCrash is the time of the first of these crashes.
	FirstCrash time.Time
	// MarkedAt is when this instance learned it, and RefusedAt when it last refused a request for it.
	MarkedAt  time.Time
	RefusedAt time.Time
}

// Mark records a mark that another instance has set, and reports whether it is new. It is ignored if an
// answer to a request with the part has begun since the first crash.
func (d *PartCrashDetector) Mark(now time.Time, m PartMark) bool {
	if d.marks[m.Part] != nil || d.served[m.Part].After(m.FirstCrash) {
		return false
	}
	d.setMark(now, m)
	return true
}

// Unmark removes a mark.
func (d *PartCrashDetector) Unmark(part string) { delete(d.marks, part) }

func (d *PartCrashDetector) setMark(now time.Time, m PartMark) {
	d.dropExpired(now)
	if d.marks == nil {
		d.marks = map[string]*PartMark{}
	}
	if len(d.marks) >= maxPartMarks {
		oldest := slices.MinFunc(d.Marks(now), func(a, b PartMark) int { return a.RefusedAt.Compare(b.RefusedAt) })
		delete(d.marks, oldest.Part)
	}
	m.MarkedAt, m.RefusedAt = now, now
	d.marks[m.Part] = &m
}

// Marked returns the mark of the first part of a prompt that has one.
func (d *PartCrashDetector) Marked(now time.Time, parts []string) (PartMark, bool) {
	for _, part := range parts {
		if m := d.marks[part]; m != nil && !d.isOver(now, m) {
			return *m, true
		}
	}
	return PartMark{}, false
}

// RecordRefusal records that a request was refused because of a part, which keeps the part marked.
func (d *PartCrashDetector) RecordRefusal(now time.Time, part string) {
	if m := d.marks[part]; m != nil && now.After(m.RefusedAt) {
		m.RefusedAt = now
	}
}

// Marks returns the marks in force, ordered by part.
func (d *PartCrashDetector) Marks(now time.Time) []PartMark {
	list := make([]PartMark, 0, len(d.marks))
	for _, m := range d.marks {
		if !d.isOver(now, m) {
			list = append(list, *m)
		}
	}
	slices.SortFunc(list, func(a, b PartMark) int { return cmp.Compare(a.Part, b.Part) })
	return list
}

// HasMark reports whether a part may be marked.
func (d *PartCrashDetector) HasMark(part string) bool { return d.marks[part] != nil }

// HasMarks reports whether there may be a mark.
func (d *PartCrashDetector) HasMarks() bool { return len(d.marks) > 0 }

// isOver reports whether a mark no longer holds.
func (d *PartCrashDetector) isOver(now time.Time, m *PartMark) bool {
	return now.Sub(m.RefusedAt) > d.MarkTime || now.Sub(m.MarkedAt) > maxMarkAge
}
