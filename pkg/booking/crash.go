package booking

import (
	"slices"
	"time"
)

// Crash reports that a target failed while it ran requests.
type Crash struct {
	Target string `json:"target"`
	// At is the time of the crash in Unix milliseconds.
	At int64 `json:"at"`
	// Requests lists the requests that the target had accepted.
	Requests []CrashRequest `json:"requests"`
}

// CrashRequest is a request that a target had accepted when it crashed.
type CrashRequest struct {
	// Digest identifies the request by its content.
	Digest string `json:"digest"`
	// Position is the next position in its response, counted over all targets.
	Position uint64 `json:"position"`
	// AgeMillis is the time since the target accepted the request.
	AgeMillis int64 `json:"age_ms"`
	// Output is set when the target had sent part of the response.
	Output bool `json:"output"`
	// FirstMillis is the time from acceptance to the first output.
	FirstMillis int64 `json:"first_ms"`
}

const (
	// MaxCrashRequests bounds the number of requests in one report.
	MaxCrashRequests = 256
	// maxMillis bounds the times in reports, so that their differences do not overflow a
	// time.Duration.
	maxMillis = 1 << 42
	// sameCrashWindow is the time within which reports about one target are treated as the same
	// crash, since several instances may report it, and crashes of several targets as simultaneous.
	sameCrashWindow = 3 * time.Second
	// maxPositionDistance is the distance up to which two crashes count as at the same position.
	// Tokens that the engine sent just before it crashed can be lost with the connection.
	maxPositionDistance = 8
	// maxAgeDifference is the difference up to which two crashes count as equally long after
	// acceptance. It covers variation in the time of the prefill.
	maxAgeDifference = 250 * time.Millisecond
	// prefillDivisor divides the first target's time to first output. Within that time (a half) the
	// second target cannot have reached the position that crashed the first.
	prefillDivisor = 2
	// minUnrelatedCrashes is the number of other targets that must crash within sameCrashWindow of
	// a crash, without running the request, for the crash to be attributed to a cause outside of requests. At
	// two, the loss of half of a pool within 1 s blames four times as many innocent requests. At
	// one, an unrelated crash in the same 3 s excuses a guilty request until its third target.
	minUnrelatedCrashes = 1
)

// CrashDetector decides from crash reports which requests crash their targets.
//
// A request is marked when it is the only one that was present at two crashes of different targets
// under similar conditions: before any output, near the same position of its response, or equally
// long after acceptance. An unrelated crash interrupts a long generation at a random time.
type CrashDetector struct {
	// Retention is how long crashes and marks are held.
	Retention time.Duration
	// MaxCrashes bounds the number of crashes kept; the oldest are dropped first.
	MaxCrashes int

	crashes []Crash
	marks   map[string]crashMark
	// compare replaces compareCrashes in tests that measure other rules.
	compare func(earlier, later CrashRequest) evidence
}

type crashMark struct {
	expiresAt time.Time
	// crash is the later of the two crashes, without its requests.
	crash Crash
}

// evidence is how strongly two crashes point to a request; only the strongest evidence counts.
type evidence int

const (
	noEvidence evidence = iota
	similarCrashes
	crashesBeforeOutput
)

// Valid reports whether a crash report received from another instance can be used.
func (c *Crash) Valid() bool {
	return c.Target != "" && len(c.Target) <= MaxNameBytes && len(c.Requests) <= MaxCrashRequests && c.At >= 0 && c.At < maxMillis &&
		!slices.ContainsFunc(c.Requests, func(r CrashRequest) bool {
			return !isHash(r.Digest) || r.AgeMillis < 0 || r.AgeMillis >= maxMillis || r.FirstMillis < 0
		})
}

// RecordCrash records a crash and returns the requests that it newly marks.
func (s *CrashDetector) RecordCrash(now time.Time, c Crash) []string {
	s.dropExpired(now)
	merged := s.mergeReport(c)
	s.dropExcusedMarks()
	var marked []string
	for j := range s.crashes {
		other := &s.crashes[j]
		if other.Target == merged.Target {
			continue
		}
		earlier, later := other, merged
		if earlier.At > later.At {
			earlier, later = later, earlier
		}
		if d, ok := s.soleSuspect(earlier, later); ok && !s.IsMarked(now, d) {
			s.marks[d] = crashMark{now.Add(s.Retention), Crash{Target: later.Target, At: later.At}}
			marked = append(marked, d)
		}
	}
	return marked
}

// mergeReport merges a report with earlier ones about the same crash and returns everything known
// about the crash.
func (s *CrashDetector) mergeReport(c Crash) *Crash {
	i := slices.IndexFunc(s.crashes, func(o Crash) bool { return o.Target == c.Target && closeInTime(o.At, c.At) })
	if i < 0 {
		s.crashes = append(s.crashes, Crash{Target: c.Target, At: c.At})
		if len(s.crashes) > max(s.MaxCrashes, 1) {
			s.crashes = s.crashes[1:]
		}
		i = len(s.crashes) - 1
	}
	merged := &s.crashes[i]
	for _, r := range c.Requests {
		switch k := merged.requestIndex(r.Digest); {
		case k >= 0 && merged.Requests[k].lessAdvancedThan(r):
			merged.Requests[k] = r
		case k < 0 && len(merged.Requests) < MaxCrashRequests:
			merged.Requests = append(merged.Requests, r)
		}
	}
	return merged
}

func closeInTime(a, b int64) bool {
	return time.Duration(max(a-b, b-a))*time.Millisecond < sameCrashWindow
}

// lessAdvancedThan reports whether u has progressed further than r. Of two requests with the same
// content, the one that progressed further is the likelier cause.
func (r CrashRequest) lessAdvancedThan(u CrashRequest) bool {
	return u.Position > r.Position || u.Position == r.Position && u.AgeMillis > r.AgeMillis
}

func (c *Crash) requestIndex(digest string) int {
	return slices.IndexFunc(c.Requests, func(r CrashRequest) bool { return r.Digest == digest })
}

// soleSuspect returns the request with the strongest evidence from two crashes; it returns false if
// there is no evidence or a tie.
func (s *CrashDetector) soleSuspect(earlier, later *Crash) (string, bool) {
	compare, suspect, strongestEvidence, ties := s.compare, "", noEvidence, 0
	if compare == nil {
		compare = compareCrashes
	}
	for _, r := range later.Requests {
		k := earlier.requestIndex(r.Digest)
		if k < 0 || s.hasCommonCause(later, r.Digest) {
			continue
		}
		switch e := compare(earlier.Requests[k], r); {
		case e > strongestEvidence:
			suspect, strongestEvidence, ties = r.Digest, e, 1
		case e == strongestEvidence:
			ties++
		}
	}
	return suspect, strongestEvidence > noEvidence && ties == 1
}

// compareCrashes compares the conditions of a request at two crashes.
//
// A request that crashed one target while generating crashes the next one while generating too, so
// a crash before the prefill can be finished is unrelated.
func compareCrashes(a, b CrashRequest) evidence {
	switch {
	case !a.Output && !b.Output:
		return crashesBeforeOutput
	case !b.Output && b.AgeMillis < a.FirstMillis/prefillDivisor:
		return noEvidence
	case max(a.Position, b.Position)-min(a.Position, b.Position) <= maxPositionDistance,
		time.Duration(max(a.AgeMillis-b.AgeMillis, b.AgeMillis-a.AgeMillis))*time.Millisecond <= maxAgeDifference:
		return similarCrashes
	default:
		return noEvidence
	}
}

// hasCommonCause reports whether enough other targets crashed at the same time for no request to be
// the cause.
func (s *CrashDetector) hasCommonCause(c *Crash, digest string) bool {
	others := 0
	for i := range s.crashes {
		if o := &s.crashes[i]; o.Target != c.Target && closeInTime(o.At, c.At) && o.requestIndex(digest) < 0 {
			others++
		}
	}
	return others >= minUnrelatedCrashes
}

// dropExcusedMarks drops marks that depend on a crash which has since turned out to have a common
// cause.
func (s *CrashDetector) dropExcusedMarks() {
	for d, m := range s.marks {
		if s.hasCommonCause(&m.crash, d) {
			delete(s.marks, d)
		}
	}
}

// IsMarked reports whether a request must be refused.
func (s *CrashDetector) IsMarked(now time.Time, digest string) bool {
	m, ok := s.marks[digest]
	return ok && now.Before(m.expiresAt)
}

// IsSuspect reports whether a target crashed while it ran the request.
func (s *CrashDetector) IsSuspect(digest string) bool {
	return slices.ContainsFunc(s.crashes, func(c Crash) bool { return c.requestIndex(digest) >= 0 })
}

// MarkedCount returns the number of requests that must be refused.
func (s *CrashDetector) MarkedCount(now time.Time) int {
	n := 0
	for _, m := range s.marks {
		if now.Before(m.expiresAt) {
			n++
		}
	}
	return n
}

// ClearRequest removes a request that ended without a crash from all recorded crashes, so that it
// is no longer suspected.
func (s *CrashDetector) ClearRequest(digest string) {
	for i := range s.crashes {
		c := &s.crashes[i]
		c.Requests = slices.DeleteFunc(c.Requests, func(r CrashRequest) bool { return r.Digest == digest })
	}
}

func (s *CrashDetector) dropExpired(now time.Time) {
	if s.marks == nil {
		s.marks = map[string]crashMark{}
	}
	for d, m := range s.marks {
		if !now.Before(m.expiresAt) {
			delete(s.marks, d)
		}
	}
	limit := now.Add(-s.Retention).UnixMilli()
	s.crashes = slices.DeleteFunc(s.crashes, func(c Crash) bool { return c.At < limit })
}
