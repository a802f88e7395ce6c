package booking

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// partEvidence is what the crashes say about one part.
type partEvidence struct {
	part string
	// crashes counts the separate crashes, present all at which the part was present.
	crashes int
	present int
	first   time.Time
	last    time.Time
	// counted holds the separate crashes.
	counted []int
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

// Decide marks the parts against which the evidence is sufficient, and returns the new marks.
func (d *PartCrashDetector) Decide(now time.Time) []PartMark {
	if !d.undecided || now.Sub(d.decidedAt) < decideInterval {
		return nil
	}
	d.undecided, d.decidedAt = false, now
	d.dropExpired(now)
	d.narrowMarks()
	var marked []PartMark
	for {
		list := d.evidence()
		if len(list) == 0 {
			return marked
		}
		most := slices.MaxFunc(list, func(a, b *partEvidence) int { return cmp.Compare(a.crashes, b.crashes) }).crashes
		list = slices.DeleteFunc(list, func(e *partEvidence) bool { return e.crashes < most || !d.isSufficient(now, e) })
		groups := d.groupCompanions(list)
		if len(groups) == 0 || len(groups) > 1 && most < minServedPartCrashes {
			// Parts of different requests that were present together so far may still be told apart.
			return marked
		}
		for _, g := range groups {
			e := g[0]
			m := PartMark{Part: e.part, Crashes: e.crashes, FirstCrash: e.first, LastCrash: e.last}
			for _, companion := range g[1:] {
				m.With = append(m.With, companion.part)
			}
			if d.marks[m.Part] == nil {
				d.setMark(now, m)
			} else {
				// The part has come with others before, so these are not needed.
				d.mergeMark(&m)
			}
			marked = append(marked, *d.marks[m.Part])
		}
	}
}

// groupCompanions groups the parts that were present at the same crashes in the same requests. The first part of each group is
// the one whose last answer is the longest ago.
func (d *PartCrashDetector) groupCompanions(list []*partEvidence) [][]*partEvidence {
	slices.SortFunc(list, func(a, b *partEvidence) int {
		return cmp.Or(d.served[a.part].Compare(d.served[b.part]), cmp.Compare(a.part, b.part))
	})
	var groups [][]*partEvidence
	for _, e := range list {
		i := slices.IndexFunc(groups, func(g []*partEvidence) bool { return d.cameTogether(g, e) })
		if i < 0 {
			groups = append(groups, []*partEvidence{e})
		} else {
			groups[i] = append(groups[i], e)
		}
	}
	return groups
}

// cameTogether reports whether each counted crash of a group of parts has a request with all of them and a further one.
func (d *PartCrashDetector) cameTogether(group []*partEvidence, e *partEvidence) bool {
	m := PartMark{Part: group[0].part, With: []string{e.part}}
	for _, companion := range group[1:] {
		m.With = append(m.With, companion.part)
	}
	return !slices.ContainsFunc(group[0].counted, func(i int) bool { return !d.crashes[i].explainedBy(&m) })
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
	if d.explainsOutage(now, e) || d.exceedsChance(now, e) {
		return true
	}
	if _, served := d.LastServed(now, e.part); served || recent < minRecentAnswers {
		return e.crashes >= minServedPartCrashes && begunSince >= minAnswersSince
	}
	return e.crashes >= minPartCrashes && seenSince > 0
}

// exceedsChance reports whether a part was present at more crashes than it would be if its requests did not cause them: each one lost
// in a crash then has the part as often as those that were answered.
func (d *PartCrashDetector) exceedsChance(now time.Time, e *partEvidence) bool {
	if e.crashes < minServedPartCrashes || !d.wasAtMost(e, e.first.Add(-crashesBefore)) {
		return false
	}
	known, with := 0, 0
	for _, a := range d.answers {
		if now.Sub(a.seenAt) < answerMemory {
			known++
			if slices.Contains(a.parts, e.part) {
				with++
			}
		}
	}
	if known < minKnownAnswers {
		return false
	}
	// One answer with the part and one without it are assumed beside those that are known.
	without, chance := 1-float64(with+1)/float64(known+2), 1.0
	for _, i := range e.counted {
		chance *= 1 - math.Pow(without, float64(d.crashes[i].requestCount()))
	}
	return chance <= maxChance
}

// requestCount returns the number of requests that were lost in the crash.
func (c *targetCrash) requestCount() int {
	requests := map[string]bool{}
	for _, p := range c.participants {
		requests[p.request] = true
	}
	return len(requests)
}

// evidence returns what the crashes that no marked part explains say about the parts that were present at
// enough of them.
func (d *PartCrashDetector) evidence() []*partEvidence {
	present := map[string][]int{}
	for i := range d.crashes {
		c := &d.crashes[i]
		if d.isExplained(c) {
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

// isExplained reports whether a marked part explains a crash.
func (d *PartCrashDetector) isExplained(c *targetCrash) bool {
	return slices.ContainsFunc(c.participants, func(p participant) bool {
		m := d.marks[p.part]
		return m != nil && c.hasTogether(p.request, m.With)
	})
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
		e.last, e.counted = c.at, append(e.counted, i)
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
	return without >= minCommonCause && without >= with
}

// explainsOutage reports whether a part that few requests have was present at most crashes. That holds also
// while nothing is served, since its requests crash all targets.
func (d *PartCrashDetector) explainsOutage(now time.Time, e *partEvidence) bool {
	if e.crashes < minServedPartCrashes || len(d.arrivals) < minArrivals {
		return false
	}
	with := 0
	for _, parts := range d.arrivals {
		if slices.Contains(parts, e.part) {
			with++
		}
	}
	return 2*with <= len(d.arrivals) && d.wasAtMost(e, now.Add(-answerMemory))
}

// wasAtMost reports whether a part was present at nine in ten of the crashes since a time that no mark explains.
func (d *PartCrashDetector) wasAtMost(e *partEvidence, since time.Time) bool {
	n := 0
	for i := range d.crashes {
		if c := &d.crashes[i]; !c.at.Before(since) && !d.isExplained(c) {
			n++
		}
	}
	return 10*e.present >= 9*n
}
