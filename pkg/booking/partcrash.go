package booking

import (
	"slices"
	"time"
)

const (
	// minPartCrashes is the number of separate crashes after which a part that has no recent answer is
	// marked, and minServedPartCrashes the number for one that has: the requests of a popular part are present
	// at many crashes.
	minPartCrashes       = 3
	minServedPartCrashes = 5
	// minOtherRequests is the number of these crashes at which a request with the part must have been present
	// that is not the most frequent one: that one may crash its targets by its own text.
	minOtherRequests = 2
	// minNarrowingCrashes is the number of separate crashes with only some parts of a mark after which the others are no longer
	// needed for it; one of them may have another cause.
	minNarrowingCrashes = 2
	// commonCauseWindow is the time around a crash in which crashes without the part have a common cause with
	// it if there are at least minCommonCause, and as many as with the part.
	commonCauseWindow = 100 * time.Millisecond
	minCommonCause    = 3
	// separateCrashes is the least time between two crashes that count as separate, since targets that are
	// lost at the same moment have a common cause.
	separateCrashes = 200 * time.Millisecond
	// recentAnswer is how long an answer counts as recent.
	recentAnswer = 30 * time.Second
	// minRecentAnswers is the number of recent answers that must be known before a part counts as having
	// none.
	minRecentAnswers = 8
	// minAnswersSince is the number of answers that must have begun since the first crash with a part that has
	// recent answers: if fewer do, the targets crash for all requests.
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
	// answerMemory is how long an answer counts for the share of a part among those to be expected.
	answerMemory = 10 * time.Minute
	// maxChance is the chance of the crashes of a part, if it had been at as many as its share among the answers makes likely, up to
	// which it is marked without answers since.
	maxChance = 1e-3
	// crashesBefore is the time before the first crash with a part in which crashes without it speak for another cause.
	crashesBefore = 30 * time.Second
	// minKnownAnswers is the number of answers that must be known to judge a part by its share among them.
	minKnownAnswers = 2
	// sharedAnswers is the number of answers within sharedAnswerTime from which on an instance shares no more of its own with others.
	sharedAnswers    = 8
	sharedAnswerTime = 5 * time.Second
	// unthinnedAnswers is the number of own answers within sharedAnswerTime up to which an instance may share each of them.
	unthinnedAnswers = 3
	// answerSharers bounds the expected number of answers that all instances share within sharedAnswerTime, in multiples of
	// sharedAnswers, if their messages cross.
	answerSharers = 4
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

// PartCrashDetector finds parts of prompts that crash each target that begins to answer a request with
// them. Set its exported fields before the first call.
//
// A crash also ends the other requests at the target, which share parts with the guilty one and with
// requests that are served. A part is marked when different requests with it were present at several
// separate crashes, no answer to a request with it has begun since the first of these, other answers have,
// and no other part explains more crashes. Parts that came together at all of them are marked together: only requests with
// all of them are refused, so that a sound one shows by itself that it is sound. While nothing is served, it is marked only if a minority of the
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
	// ownAnswers counts the answers of this instance.
	ownAnswers int
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

// has reports whether a request with a part was lost in the crash.
func (c *targetCrash) has(part string) bool {
	return slices.ContainsFunc(c.participants, func(p participant) bool { return p.part == part })
}

// explainedBy reports whether a request with all parts of a mark was lost in the crash.
func (c *targetCrash) explainedBy(m *PartMark) bool {
	return slices.ContainsFunc(c.participants, func(p participant) bool { return p.part == m.Part && c.hasTogether(p.request, m.With) })
}

// hasTogether reports whether a request that was lost in the crash has some parts.
func (c *targetCrash) hasTogether(request string, parts []string) bool {
	return !slices.ContainsFunc(parts, func(part string) bool { return !slices.Contains(c.participants, participant{request, part}) })
}

// answer is an answer that went on, as seen at a time.
type answer struct {
	begunAt time.Time
	seenAt  time.Time
	// parts are the parts of the prompt that other requests may share.
	parts []string
	// own is set for an answer of this instance.
	own bool
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
	d.ownAnswers++
	return d.recordAnswer(now, answer{begunAt: begunAt, seenAt: now, parts: parts, own: true})
}

// RecordOtherAnswer records an answer that another instance has shared.
func (d *PartCrashDetector) RecordOtherAnswer(now, begunAt time.Time, parts []string) (cleared []string) {
	return d.recordAnswer(now, answer{begunAt: begunAt, seenAt: now, parts: parts})
}

// SharesAnswer reports whether this instance is to share the answer that it recorded last, one of a number of instances. Few
// answers are needed to tell a part that crashes targets from targets that crash for all requests, so those of a fleet with
// little traffic are shared, and of one with much traffic some.
func (d *PartCrashDetector) SharesAnswer(now time.Time, instances int) bool {
	known, own := 0, 0
	for _, a := range d.answers {
		if now.Sub(a.seenAt) >= sharedAnswerTime {
			continue
		}
		if a.own {
			own++
		} else {
			known++
		}
	}
	// Few own answers say little about the traffic of the others.
	expected := max(own-unthinnedAnswers, 0) * instances
	return known < sharedAnswers && d.ownAnswers%max(expected/(answerSharers*sharedAnswers), 1) == 0
}

func (d *PartCrashDetector) recordAnswer(now time.Time, a answer) (cleared []string) {
	if len(d.answers) >= maxPartCrashes {
		d.answers = d.answers[1:]
	}
	d.answers = append(d.answers, a)
	begunAt, parts := a.begunAt, a.parts
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
	return d.clearMarks(begunAt, part) || cleared
}

// RecordArrival records that a request arrived at this instance.
func (d *PartCrashDetector) RecordArrival(parts []string) {
	if len(d.arrivals) >= maxArrivals {
		d.arrivals = d.arrivals[1:]
	}
	d.arrivals = append(d.arrivals, parts)
}

// LastServed returns when the last recent answer to a request with a part began.
func (d *PartCrashDetector) LastServed(now time.Time, part string) (time.Time, bool) {
	at, ok := d.served[part]
	return at, ok && now.Sub(at) < recentAnswer
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
