package booking

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minPartCrashes is the number of separate crashes after which a part that has not been served lately is
	// marked, and minServedPartCrashes the number for one that has: the requests of a popular part are present
	// at many crashes.
	minPartCrashes       = 3
	minServedPartCrashes = 5
	// minOtherRequests is the number of these crashes at which a request with the part must have been present
	// that is not the most frequent one: that one may crash its targets by its own text.
	minOtherRequests = 2
	// commonCauseWindow is the time around a crash in which crashes without the part have a common cause with
	// it if there are at least minCommonCause, and more than twice as many as with the part.
	commonCauseWindow = 100 * time.Millisecond
	minCommonCause    = 4
	// separateCrashes is the least time between two crashes that count as separate, since targets that are
	// lost at the same moment have a common cause.
	separateCrashes = 200 * time.Millisecond
	// recentAnswer is how long an answer counts as recent.
	recentAnswer = 30 * time.Second
	// minRecentAnswers is the number of recent answers that must be known before a part counts as not served
	// lately.
	minRecentAnswers = 8
	// minAnswersSince is the number of answers that must have begun since the first crash with a part that has
	// been served lately: if none does, the targets crash for all requests.
	minAnswersSince = 3
	// maxPartCrashes, maxCrashParticipants, maxPartMarks and maxServedParts bound what is held.
	maxPartCrashes       = 256
	maxCrashParticipants = 64
	maxPartMarks         = 1024
	maxServedParts       = 8192
	// maxArrivals is the number of last requests among which the share of a part is counted, and minArrivals the
	// least number for that.
	maxArrivals = 64
	minArrivals = 16
	// decideInterval is the least time between two decisions, since a lost data centre means thousands of reports.
	decideInterval = 50 * time.Millisecond
	// maxMarkAge is how long a part is refused at most, so that a repaired target is found.
	maxMarkAge = 24 * time.Hour
)

// PartCrash reports that a target crashed while it ran a request that had not been answered for long.
type PartCrash struct {
	// Target is the incarnation that crashed, and At the time at which the request was lost.
	Target string
	At     time.Time
	// Request identifies the request by its content.
	Request string
	// Parts are the parts of its prompt that other requests may share.
	Parts []string
}

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

// PartCrashDetector finds parts of prompts that crash each target that begins to answer a request with
// them. Set its exported fields before the first call.
//
// A crash also ends the other requests at the target, which share parts with the guilty one and with
// requests that are served. A part is marked when different requests with it were present at several
// separate crashes, no answer to a request with it has begun since the first of these, other answers have,
// and no other part explains more crashes. While nothing is served, it is marked only if a minority of the
// requests have it and it was present at most crashes.
type PartCrashDetector struct {
	// Retention is how long a crash counts.
	Retention time.Duration
	// MarkTime is how long a part is refused after the last request with it.
	MarkTime time.Duration

	crashes []targetCrash
	marks   map[string]*PartMark
	// served holds when the last answer to a request with a part began that went on.
	served  map[string]time.Time
	answers []answer
	// arrivals holds the parts of the last requests at this instance.
	arrivals [][]string
	// undecided is set when something was recorded since the last decision, at decidedAt.
	undecided bool
	decidedAt time.Time
}

// targetCrash is one crash of one incarnation, as reported for all requests that it ran.
type targetCrash struct {
	target       string
	at           time.Time
	participants []participant
}

type participant struct {
	request string
	part    string
}

// answer is an answer that went on, as seen at a time.
type answer struct {
	begunAt time.Time
	seenAt  time.Time
}

// partEvidence is what the crashes say about one part.
type partEvidence struct {
	part string
	// crashes counts the separate crashes, present all at which the part was present.
	crashes int
	present int
	first   time.Time
	last    time.Time
	// requests holds the requests with the part at each counted crash.
	requests [][]string
}

// otherRequests returns the number of counted crashes at which another request than the most frequent one
// was present.
func (e *partEvidence) otherRequests() int {
	counts, frequent := map[string]int{}, ""
	for _, list := range e.requests {
		for _, r := range list {
			counts[r]++
			if counts[r] > counts[frequent] {
				frequent = r
			}
		}
	}
	n := 0
	for _, list := range e.requests {
		if slices.ContainsFunc(list, func(r string) bool { return r != frequent }) {
			n++
		}
	}
	return n
}

// RecordCrash records that a request was lost in a crash.
func (d *PartCrashDetector) RecordCrash(now time.Time, c PartCrash) {
	if len(c.Parts) == 0 || now.Sub(c.At) > d.Retention {
		return
	}
	d.undecided = true
	crash := d.mergeCrash(c.Target, c.At)
	for _, part := range c.Parts {
		p := participant{request: c.Request, part: part}
		if len(crash.participants) < maxCrashParticipants && !slices.Contains(crash.participants, p) && !d.served[part].After(crash.at) {
			crash.participants = append(crash.participants, p)
		}
	}
}

// mergeCrash returns the crash of an incarnation. Several requests and instances report each one, and an
// incarnation may have the name of an earlier one.
func (d *PartCrashDetector) mergeCrash(target string, at time.Time) *targetCrash {
	for i := range d.crashes {
		if c := &d.crashes[i]; c.target == target && c.at.Sub(at).Abs() < sameCrashWindow {
			return c
		}
	}
	if len(d.crashes) >= maxPartCrashes {
		d.crashes = d.crashes[1:]
	}
	i, _ := slices.BinarySearchFunc(d.crashes, at, func(c targetCrash, at time.Time) int { return c.at.Compare(at) })
	d.crashes = slices.Insert(d.crashes, i, targetCrash{target: target, at: at})
	return &d.crashes[i]
}

// RecordAnswer records that an answer to a request of this instance began at a time and went on, and returns
// the parts that it clears of suspicion.
func (d *PartCrashDetector) RecordAnswer(now, begunAt time.Time, parts []string) (cleared []string) {
	if len(d.answers) >= maxPartCrashes {
		d.answers = d.answers[1:]
	}
	d.answers = append(d.answers, answer{begunAt: begunAt, seenAt: now})
	for _, part := range parts {
		if d.RecordServed(now, begunAt, part) {
			cleared = append(cleared, part)
		}
	}
	d.undecided = d.undecided || len(d.crashes) > 0
	return cleared
}

// RecordServed records that an answer to a request with a part began at a time and went on, and reports
// whether that clears the part of suspicion.
func (d *PartCrashDetector) RecordServed(now, begunAt time.Time, part string) bool {
	if d.served == nil {
		d.served = map[string]time.Time{}
	}
	if len(d.served) >= maxServedParts {
		d.dropServed(now)
	}
	if begunAt.After(d.served[part]) {
		d.served[part] = begunAt
	}
	cleared := false
	for i := range d.crashes {
		c := &d.crashes[i]
		if !begunAt.After(c.at) {
			break
		}
		n := len(c.participants)
		c.participants = slices.DeleteFunc(c.participants, func(p participant) bool { return p.part == part })
		cleared = cleared || len(c.participants) < n
	}
	if m := d.marks[part]; m != nil && begunAt.After(m.FirstCrash) {
		delete(d.marks, part)
		cleared = true
	}
	return cleared
}

// RecordArrival records that a request arrived at this instance.
func (d *PartCrashDetector) RecordArrival(parts []string) {
	if len(d.arrivals) >= maxArrivals {
		d.arrivals = d.arrivals[1:]
	}
	d.arrivals = append(d.arrivals, parts)
}

// explainsOutage reports whether a part that few requests have was present at most crashes. That holds also
// while nothing is served, since its requests crash all targets.
func (d *PartCrashDetector) explainsOutage(e *partEvidence) bool {
	if e.crashes < minServedPartCrashes || len(d.arrivals) < minArrivals {
		return false
	}
	with := 0
	for _, parts := range d.arrivals {
		if slices.Contains(parts, e.part) {
			with++
		}
	}
	return 2*with <= len(d.arrivals) && 10*e.present >= 9*len(d.crashes)
}

// LastServed returns when the last recent answer to a request with a part began.
func (d *PartCrashDetector) LastServed(now time.Time, part string) (time.Time, bool) {
	at, ok := d.served[part]
	return at, ok && now.Sub(at) < recentAnswer
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

// Decide marks the parts against which the evidence is sufficient, and returns the new marks.
func (d *PartCrashDetector) Decide(now time.Time) []PartMark {
	if !d.undecided || now.Sub(d.decidedAt) < decideInterval {
		return nil
	}
	d.undecided, d.decidedAt = false, now
	d.dropExpired(now)
	var marked []PartMark
	for {
		list := d.evidence()
		if len(list) == 0 {
			return marked
		}
		most := slices.MaxFunc(list, func(a, b *partEvidence) int { return cmp.Compare(a.crashes, b.crashes) }).crashes
		list = slices.DeleteFunc(list, func(e *partEvidence) bool { return e.crashes < most || !d.isSufficient(now, e) })
		if len(list) == 0 || len(list) > 1 && most < minServedPartCrashes {
			// Parts that were present together so far may still be told apart.
			return marked
		}
		for _, e := range list {
			m := PartMark{Part: e.part, Crashes: e.crashes, FirstCrash: e.first, LastCrash: e.last}
			d.setMark(now, m)
			marked = append(marked, m)
		}
	}
}

// isSufficient reports whether the evidence against a part suffices to mark it.
func (d *PartCrashDetector) isSufficient(now time.Time, e *partEvidence) bool {
	if e.otherRequests() < minOtherRequests {
		return false
	}
	recent, seenSince, begunSince := 0, 0, 0
	for _, a := range d.answers {
		if now.Sub(a.seenAt) < recentAnswer {
			recent++
		}
		if a.seenAt.After(e.first) {
			seenSince++
		}
		if a.begunAt.After(e.first) {
			begunSince++
		}
	}
	if _, served := d.LastServed(now, e.part); served || recent < minRecentAnswers {
		return e.crashes >= minServedPartCrashes && begunSince >= minAnswersSince || d.explainsOutage(e)
	}
	return e.crashes >= minPartCrashes && seenSince > 0 || d.explainsOutage(e)
}

// evidence returns what the crashes that no marked part explains say about the parts that were present at
// enough of them.
func (d *PartCrashDetector) evidence() []*partEvidence {
	present := map[string][]int{}
	for i := range d.crashes {
		c := &d.crashes[i]
		if slices.ContainsFunc(c.participants, func(p participant) bool { return d.marks[p.part] != nil }) {
			continue
		}
		for _, p := range c.participants {
			if list := present[p.part]; len(list) == 0 || list[len(list)-1] != i {
				present[p.part] = append(list, i)
			}
		}
	}
	var list []*partEvidence
	for part, crashes := range present {
		if len(crashes) < minPartCrashes {
			continue
		}
		if e := d.partEvidence(part, crashes); e.crashes >= minPartCrashes {
			list = append(list, e)
		}
	}
	return list
}

// partEvidence returns the evidence against a part that was present at the given crashes.
func (d *PartCrashDetector) partEvidence(part string, present []int) *partEvidence {
	e := &partEvidence{part: part, present: len(present)}
	for _, i := range present {
		c := &d.crashes[i]
		if e.crashes > 0 && c.at.Sub(e.last) < separateCrashes || d.hasCommonCause(i, present) {
			continue
		}
		if e.crashes == 0 {
			e.first = c.at
		}
		e.crashes++
		e.last = c.at
		var requests []string
		for _, p := range c.participants {
			if p.part == part {
				requests = append(requests, p.request)
			}
		}
		e.requests = append(e.requests, requests)
	}
	return e
}

// hasCommonCause reports whether so many targets crashed at the same moment as at crash i without a part
// that the part is not the cause; present holds the crashes at which the part was present.
func (d *PartCrashDetector) hasCommonCause(i int, present []int) bool {
	at, from, to := d.crashes[i].at, i, i+1
	for from > 0 && at.Sub(d.crashes[from-1].at) <= commonCauseWindow {
		from--
	}
	for to < len(d.crashes) && d.crashes[to].at.Sub(at) <= commonCauseWindow {
		to++
	}
	with := 0
	for _, j := range present {
		if from <= j && j < to {
			with++
		}
	}
	without := to - from - with
	return without >= minCommonCause && without > 2*with
}

func (d *PartCrashDetector) dropExpired(now time.Time) {
	d.crashes = slices.DeleteFunc(d.crashes, func(c targetCrash) bool { return now.Sub(c.at) > d.Retention })
	for part, m := range d.marks {
		if d.isOver(now, m) {
			delete(d.marks, part)
		}
	}
}

// dropServed forgets answers that are not recent, or all if there are too many recent ones.
func (d *PartCrashDetector) dropServed(now time.Time) {
	for part, at := range d.served {
		if now.Sub(at) >= recentAnswer {
			delete(d.served, part)
		}
	}
	if len(d.served) >= maxServedParts {
		clear(d.served)
	}
}
