package booking

import (
	"slices"
	"time"
)

// Crash tells that a target failed while requests ran there.
type Crash struct {
	Target string `json:"target"`
	// At is the time in Unix milliseconds.
	At int64 `json:"at"`
	// Requests are those that the target had taken up.
	Requests []CrashRequest `json:"requests"`
}

// CrashRequest is a request that a target had taken up when it crashed.
type CrashRequest struct {
	// Digest identifies the request by its content.
	Digest string `json:"digest"`
	// Position is the next position of its answer, counted over all targets.
	Position uint64 `json:"position"`
	// AgeMillis is the time since the target took the request up.
	AgeMillis int64 `json:"age_ms"`
	// Output is set when the target had sent a part of the answer.
	Output bool `json:"output"`
	// FirstMillis is the time from take-up to that output.
	FirstMillis int64 `json:"first_ms"`
}

const (
	// MaxCrashRequests bounds the requests of one report.
	MaxCrashRequests = 256
	// maxMillis bounds times, so that their differences do not overflow a time.Duration.
	maxMillis = 1 << 42
	// sameCrash is the time within which reports of several instances tell of one crash.
	sameCrash = 3 * time.Second
	// nearPositions is the distance at which two crashes count as at one position. Tokens that
	// the engine sent just before it crashed can be lost with the connection.
	nearPositions = 8
	// nearAge is the difference at which two crashes count as equally long after take-up. It
	// covers the different times that the prefill takes.
	nearAge = 250 * time.Millisecond
	// earlyShare is the part of the first target's time to first output (a half) before which the
	// second target cannot have come to the place that crashed the first.
	earlyShare = 2
	// commonCause is the number of other targets that crash within sameCrash of a crash and
	// without the request, from which the crash is put down to a cause outside of requests. At
	// two, a loss of half of a pool within 1 s blames four times as many innocent ones. At one,
	// a chance crash in the same 3 s excuses a guilty request until its third target.
	commonCause = 1
)

// CrashDetector decides which requests crash their targets, from reports of crashes.
//
// A request is marked when it is the only one that met two crashes of different targets in the
// way of a request that causes them: before any output, near one position of its answer, or
// equally long after take-up. An unrelated crash hits a long generation at a random time.
type CrashDetector struct {
	// Retention is how long crashes and marks are held.
	Retention time.Duration
	// MaxCrashes bounds the crashes held; the oldest are dropped first.
	MaxCrashes int

	crashes []Crash
	marks   map[string]mark
	// weigh replaces the rule, to measure others beside it.
	weigh func(earlier, later CrashRequest) evidence
}

type mark struct {
	until time.Time
	// crash is the later of the two crashes, without its requests.
	crash Crash
}

// evidence tells how strongly two crashes speak against a request; the strongest decides.
type evidence int

const (
	none evidence = iota
	alike
	silent
)

// Valid reports whether a report from another instance can be taken.
func (c *Crash) Valid() bool {
	return c.Target != "" && len(c.Target) <= MaxNameBytes && len(c.Requests) <= MaxCrashRequests && c.At >= 0 && c.At < maxMillis &&
		!slices.ContainsFunc(c.Requests, func(t CrashRequest) bool {
			return !isHash(t.Digest) || t.AgeMillis < 0 || t.AgeMillis >= maxMillis || t.FirstMillis < 0
		})
}

// RecordCrash takes in a crash and returns the requests that it marks.
func (s *CrashDetector) RecordCrash(now time.Time, c Crash) []string {
	s.expire(now)
	one := s.merge(c)
	s.withdraw()
	var marked []string
	for j := range s.crashes {
		other := &s.crashes[j]
		if other.Target == one.Target {
			continue
		}
		earlier, later := other, one
		if earlier.At > later.At {
			earlier, later = later, earlier
		}
		if d, ok := s.only(earlier, later); ok && !s.IsMarked(now, d) {
			s.marks[d] = mark{now.Add(s.Retention), Crash{Target: later.Target, At: later.At}}
			marked = append(marked, d)
		}
	}
	return marked
}

// merge adds a report to those of the same crash and returns all that is known of the crash.
func (s *CrashDetector) merge(c Crash) *Crash {
	i := slices.IndexFunc(s.crashes, func(o Crash) bool { return o.Target == c.Target && near(o.At, c.At) })
	if i < 0 {
		s.crashes = append(s.crashes, Crash{Target: c.Target, At: c.At})
		if len(s.crashes) > max(s.MaxCrashes, 1) {
			s.crashes = s.crashes[1:]
		}
		i = len(s.crashes) - 1
	}
	one := &s.crashes[i]
	for _, t := range c.Requests {
		switch k := one.find(t.Digest); {
		case k >= 0 && one.Requests[k].before(t):
			one.Requests[k] = t
		case k < 0 && len(one.Requests) < MaxCrashRequests:
			one.Requests = append(one.Requests, t)
		}
	}
	return one
}

func near(a, b int64) bool {
	return time.Duration(max(a-b, b-a))*time.Millisecond < sameCrash
}

// before reports whether u is further on than t, which makes it the likelier cause of two with one content.
func (t CrashRequest) before(u CrashRequest) bool {
	return u.Position > t.Position || u.Position == t.Position && u.AgeMillis > t.AgeMillis
}

func (c *Crash) find(digest string) int {
	return slices.IndexFunc(c.Requests, func(t CrashRequest) bool { return t.Digest == digest })
}

// only returns the one request that two crashes speak most strongly against, if it is one.
func (s *CrashDetector) only(earlier, later *Crash) (string, bool) {
	weigh, found, strongest, ties := s.weigh, "", none, 0
	if weigh == nil {
		weigh = weighAlike
	}
	for _, t := range later.Requests {
		k := earlier.find(t.Digest)
		if k < 0 || s.excused(later, t.Digest) {
			continue
		}
		switch e := weigh(earlier.Requests[k], t); {
		case e > strongest:
			found, strongest, ties = t.Digest, e, 1
		case e == strongest:
			ties++
		}
	}
	return found, strongest > none && ties == 1
}

// weighAlike compares in which ways a request met two crashes.
//
// A request that crashed one target while it generated crashes the next when that one
// generates, so a crash before the prefill can be over is unrelated.
func weighAlike(a, b CrashRequest) evidence {
	switch {
	case !a.Output && !b.Output:
		return silent
	case !b.Output && b.AgeMillis < a.FirstMillis/earlyShare:
		return none
	case max(a.Position, b.Position)-min(a.Position, b.Position) <= nearPositions,
		time.Duration(max(a.AgeMillis-b.AgeMillis, b.AgeMillis-a.AgeMillis))*time.Millisecond <= nearAge:
		return alike
	default:
		return none
	}
}

// excused reports whether so many other targets crashed with this one that no request is the cause.
func (s *CrashDetector) excused(c *Crash, digest string) bool {
	others := 0
	for i := range s.crashes {
		if o := &s.crashes[i]; o.Target != c.Target && near(o.At, c.At) && o.find(digest) < 0 {
			others++
		}
	}
	return others >= commonCause
}

// withdraw drops marks that rest on a crash which has since turned out to have a common cause.
func (s *CrashDetector) withdraw() {
	for d, m := range s.marks {
		if s.excused(&m.crash, d) {
			delete(s.marks, d)
		}
	}
}

// IsMarked reports whether a request is to be refused.
func (s *CrashDetector) IsMarked(now time.Time, digest string) bool {
	m, ok := s.marks[digest]
	return ok && now.Before(m.until)
}

// IsSuspect reports whether a target that ran the request has crashed.
func (s *CrashDetector) IsSuspect(digest string) bool {
	return slices.ContainsFunc(s.crashes, func(c Crash) bool { return c.find(digest) >= 0 })
}

// MarkedCount counts the requests that are to be refused.
func (s *CrashDetector) MarkedCount(now time.Time) int {
	n := 0
	for _, m := range s.marks {
		if now.Before(m.until) {
			n++
		}
	}
	return n
}

// ClearRequest tells that a request ended without a crash, so that it is suspect no more.
func (s *CrashDetector) ClearRequest(digest string) {
	for i := range s.crashes {
		c := &s.crashes[i]
		c.Requests = slices.DeleteFunc(c.Requests, func(t CrashRequest) bool { return t.Digest == digest })
	}
}

func (s *CrashDetector) expire(now time.Time) {
	if s.marks == nil {
		s.marks = map[string]mark{}
	}
	for d, m := range s.marks {
		if !now.Before(m.until) {
			delete(s.marks, d)
		}
	}
	limit := now.Add(-s.Retention).UnixMilli()
	s.crashes = slices.DeleteFunc(s.crashes, func(c Crash) bool { return c.At < limit })
}
