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
	// With holds the further parts that a request must have to be refused, in order: they came together with Part so far, so that
	// it is not known which of them crashes targets.
	With []string
	// Trials are the requests that were let through since.
	Trials Trials
}

// NextTrial returns when a request may test the mark.
func (m *PartMark) NextTrial() time.Time { return m.Trials.nextAt(m.LastCrash) }

// BeginTrial reports whether a request may run to test the mark of a part at the instance of a rank, and counts it if so. Its answer
// clears the mark.
func (d *PartCrashDetector) BeginTrial(now time.Time, part string, rank int) bool {
	m := d.marks[part]
	return m != nil && m.Trials.begin(now, m.LastCrash, rank)
}

// parts returns all parts of the mark.
func (m *PartMark) parts() []string { return append([]string{m.Part}, m.With...) }

// matches reports whether a prompt with some parts has all parts of the mark.
func (m *PartMark) matches(parts []string) bool {
	return slices.Contains(parts, m.Part) && !slices.ContainsFunc(m.With, func(part string) bool { return !slices.Contains(parts, part) })
}

// Mark records a mark that another instance has set, and reports whether it is new. Parts of which an answer has begun since the
// first crash are left out. If the part is marked already, both marks have to name a further part for it to be kept.
func (d *PartCrashDetector) Mark(now time.Time, m PartMark) bool {
	parts := slices.DeleteFunc(m.parts(), func(part string) bool { return d.served[part].After(m.FirstCrash) })
	if len(parts) == 0 {
		return false
	}
	m.Part, m.With = parts[0], parts[1:]
	if d.marks[m.Part] != nil {
		d.mergeMark(&m)
		return false
	}
	d.setMark(now, m)
	return true
}

// mergeMark adds a mark, or keeps those further parts of a known one that both name.
func (d *PartCrashDetector) mergeMark(m *PartMark) {
	known := d.marks[m.Part]
	if known == nil {
		d.marks[m.Part] = m
		return
	}
	known.With = slices.DeleteFunc(slices.Clone(known.With), func(part string) bool { return !slices.Contains(m.With, part) })
	known.Trials.merge(m.Trials)
}

// clearMarks removes a part of which an answer began at a time from the marks for earlier crashes, and reports whether
// one had it.
func (d *PartCrashDetector) clearMarks(begunAt time.Time, part string) bool {
	cleared := false
	for key, m := range d.marks {
		if !begunAt.After(m.FirstCrash) || !slices.Contains(m.parts(), part) {
			continue
		}
		cleared = true
		rest := slices.DeleteFunc(m.parts(), func(p string) bool { return p == part })
		delete(d.marks, key)
		if len(rest) > 0 {
			m.Part, m.With = rest[0], rest[1:]
			d.mergeMark(m)
		}
	}
	return cleared
}

// narrowMarks removes parts from marks of several parts if targets have crashed for requests that had only the others.
func (d *PartCrashDetector) narrowMarks() {
	for key, m := range d.marks {
		if len(m.With) == 0 {
			continue
		}
		most, counts := 0, map[string]int{}
		for _, part := range m.parts() {
			counts[part] = d.crashesWithout(m, part)
			most = max(most, counts[part])
		}
		if most < minNarrowingCrashes {
			continue
		}
		rest := slices.DeleteFunc(m.parts(), func(part string) bool { return counts[part] < most })
		delete(d.marks, key)
		m.Part, m.With = rest[0], rest[1:]
		d.mergeMark(m)
	}
}

// crashesWithout counts the separate crashes at which a part of a mark was present and that the mark does not explain.
func (d *PartCrashDetector) crashesWithout(m *PartMark, part string) int {
	n, last := 0, time.Time{}
	for i := range d.crashes {
		c := &d.crashes[i]
		if c.has(part) && !c.explainedBy(m) && (n == 0 || c.at.Sub(last) >= separateCrashes) {
			n, last = n+1, c.at
		}
	}
	return n
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

// Marked returns the first mark that a prompt with some parts has all parts of.
func (d *PartCrashDetector) Marked(now time.Time, parts []string) (PartMark, bool) {
	for _, part := range parts {
		if m := d.marks[part]; m != nil && m.matches(parts) && !d.isOver(now, m) {
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
