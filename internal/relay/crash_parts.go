package relay

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// partRetention is how long a crash counts against the parts of the prompts that were present: a part may come back once in some
	// minutes.
	partRetention = 2 * time.Hour
	// partMarkTime is how long a part is refused after the last request with it.
	partMarkTime = 2 * time.Hour
	// maxReportAge bounds the ages in messages.
	maxReportAge = 24 * time.Hour
	// maxReportedParts bounds the parts of one prompt that are considered.
	maxReportedParts = 16
	// maxPartBytes bounds the name of a part.
	maxPartBytes = 32
	// suspectAnswerTime is the time after the first output within which a crash may have been caused by the
	// request.
	suspectAnswerTime = time.Second
	// soundAnswerEvents is the number of events after which a stream that has lasted for suspectAnswerTime has
	// not crashed its target. Events that are read late may arrive together.
	soundAnswerEvents = 8
	// servedReportInterval is the least time between two reports that a part is served.
	servedReportInterval = time.Second
	// partReportsPerSecond and partReportBurst bound the reports of one instance, since many requests are lost
	// at once when a data centre fails.
	partReportsPerSecond = 10
	partReportBurst      = 20
	// refusalReportInterval is the time between two reports that a part or a request is still refused, from which instances that have
	// started meanwhile learn it.
	refusalReportInterval = 2 * time.Minute
	// markRepeatTime is how long an instance repeats a mark that it has set.
	markRepeatTime = 3 * time.Second
)

// partMarks holds what is known about parts of prompts; the tracker's lock guards it.
type partMarks struct {
	detector booking.PartCrashDetector
	limiter  *rate.Limiter
	// unconfirmedLimiter bounds the reports on losses without a verdict.
	unconfirmedLimiter *rate.Limiter
	// reportedServed is when this instance last reported that a part is served.
	reportedServed map[string]time.Time
	// own holds the marks that this instance has set.
	own map[string]bool
	// reportedRefusal is when this instance last reported that it refuses a part.
	reportedRefusal map[string]time.Time
}

func (p *partMarks) init() {
	if p.limiter == nil {
		p.limiter = rate.NewLimiter(partReportsPerSecond, partReportBurst)
		p.unconfirmedLimiter = rate.NewLimiter(unconfirmedReportsPerSecond, unconfirmedReportBurst)
		p.reportedServed, p.reportedRefusal, p.own = map[string]time.Time{}, map[string]time.Time{}, map[string]bool{}
		p.detector.Retention, p.detector.MarkTime = partRetention, partMarkTime
	}
}

// markMessage is a mark in messages and in the platform's store.
type markMessage struct {
	Part    string `json:"part"`
	Crashes int    `json:"crashes"`
	// FirstMillis and LastMillis are the times since the first and the last crash.
	FirstMillis int64 `json:"first_ms"`
	LastMillis  int64 `json:"last_ms"`
	// RefusedMillis is the time since the last refusal, or 0 if it is not reported.
	RefusedMillis int64 `json:"refused_ms,omitempty"`
	// With holds the further parts that a request must have to be refused; builds that do not know it refuse each request with Part.
	With []string `json:"with,omitempty"`
	trialMessage
}

// trialMessage holds the trials of a mark: their number and the time since the last one.
type trialMessage struct {
	Trials      int   `json:"trials,omitempty"`
	TrialMillis int64 `json:"trial_ms,omitempty"`
}

func newTrialMessage(now time.Time, t booking.Trials) trialMessage {
	if t.Count == 0 {
		return trialMessage{}
	}
	return trialMessage{Trials: t.Count, TrialMillis: max(now.Sub(t.LastAt).Milliseconds(), 0)}
}

func (m *trialMessage) trials(now time.Time) booking.Trials {
	if m.Trials <= 0 {
		return booking.Trials{}
	}
	return booking.Trials{Count: m.Trials, LastAt: millisBefore(now, min(max(m.TrialMillis, 0), maxReportAge.Milliseconds()))}
}

// Validate reports whether the mark can be used.
func (m *markMessage) Validate() error {
	if m.Part == "" || len(m.Part) > maxPartBytes || m.Crashes <= 0 || m.LastMillis < 0 || m.RefusedMillis < 0 || m.FirstMillis < m.LastMillis || m.FirstMillis > maxReportAge.Milliseconds() {
		return &CrashMessageError{Field: "marks"}
	}
	if len(m.With) > maxReportedParts || slices.ContainsFunc(m.With, func(part string) bool { return part == "" || len(part) > maxPartBytes }) {
		return &CrashMessageError{Field: "with"}
	}
	return nil
}

// key identifies the mark by all its parts and its trials.
func (m *markMessage) key() string {
	return strings.Join(append([]string{m.Part, strconv.Itoa(m.Trials)}, m.With...), " ")
}

func newMarkMessage(now time.Time, m *booking.PartMark) markMessage {
	return markMessage{Part: m.Part, With: m.With, Crashes: m.Crashes, FirstMillis: now.Sub(m.FirstCrash).Milliseconds(), LastMillis: now.Sub(m.LastCrash).Milliseconds(), trialMessage: newTrialMessage(now, m.Trials)}
}

func (m *markMessage) mark(now time.Time) booking.PartMark {
	return booking.PartMark{Part: m.Part, With: m.With, Crashes: m.Crashes, FirstCrash: millisBefore(now, m.FirstMillis), LastCrash: millisBefore(now, m.LastMillis), Trials: m.trials(now)}
}

// sharedParts returns the names of the prompt's parts that other prompts may share: all but the last one.
func (req *callerRequest) sharedParts() []string {
	if len(req.PromptParts) < 2 {
		return nil
	}
	parts := req.PromptParts[:len(req.PromptParts)-1]
	names := make([]string, 0, min(len(parts), maxReportedParts))
	for _, p := range parts[:min(len(parts), maxReportedParts)] {
		names = append(names, partName(p.ID))
	}
	return names
}

// partName returns the name of a part in messages and logs: its id, or a hash of one that is long or would
// not be the same after encoding.
func partName(id string) string {
	plain := func(r rune) bool { return r > ' ' && r < 0x7f && !strings.ContainsRune(`"\<>&`, r) }
	if len(id) <= maxPartBytes && id != "" && !strings.ContainsFunc(id, func(r rune) bool { return !plain(r) }) {
		return id
	}
	return strconv.FormatUint(xxhash.Sum64String(id), 16)
}

// suspectParts returns the parts that may have crashed the target of a lost attempt: none if its answer had
// gone on for some time.
func (a *attempt) suspectParts(lostAt time.Time) []string {
	if !a.firstEventAt.IsZero() && lostAt.Sub(a.firstEventAt) >= suspectAnswerTime {
		return nil
	}
	return a.req.sharedParts()
}

// recordAnswer records once that the answer of an attempt began at a time and did not crash its target.
func (a *attempt) recordAnswer(now, begunAt time.Time) {
	if !a.answerRecorded {
		a.answerRecorded = true
		a.relay.Crashes.recordAnswer(now, begunAt, a.req)
	}
}

// partRefusal returns the refusal of a request whose prompt has a marked part, or nil.
func (c *CrashTracker) partRefusal(now time.Time, req *callerRequest) *Refusal {
	if len(req.PromptParts) < 2 {
		return nil
	}
	c.decide(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.parts.detector.HasMarks() {
		return nil
	}
	m, ok := c.parts.detector.Marked(now, req.sharedParts())
	if !ok {
		return nil
	}
	c.parts.detector.RecordRefusal(now, m.Part)
	refusal := notRunRefusal(codePartCrashes, max(m.NextTrial().Sub(now), minMarkedRetryAfter))
	refusal.Part = m.Part
	return refusal
}

// recordArrival records that a request has arrived.
func (c *CrashTracker) recordArrival(req *callerRequest) {
	if req.route.Kind == route.Streaming || len(req.PromptParts) > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.parts.detector.RecordArrival(req.sharedParts())
	}
}

// recordPartCrash records that a request was lost in a crash, and reports whether the other instances are to
// receive its parts.
func (c *CrashTracker) recordPartCrash(now time.Time, crash booking.PartCrash) bool {
	served, report := map[string]int64(nil), false
	withLock(&c.mu, func() {
		c.parts.init()
		c.parts.detector.RecordCrash(now, crash)
		served = c.servedParts(now, crash.Parts)
		report = c.parts.limiter.AllowN(now, 1)
	})
	if len(served) > 0 {
		c.broadcast(&crashMessage{ServedParts: served})
	}
	c.decide(now)
	return report
}

// recordAnswer records that an answer to a request began at a time and went on.
func (c *CrashTracker) recordAnswer(now, begunAt time.Time, req *callerRequest) {
	parts := req.sharedParts()
	if len(parts) == 0 && req.route.Kind != route.Streaming {
		// Answers of other kinds of targets say nothing about these.
		return
	}
	served, shares := map[string]int64(nil), false
	withLock(&c.mu, func() {
		c.parts.init()
		cleared := c.parts.detector.RecordAnswer(now, begunAt, parts)
		for _, part := range cleared {
			delete(c.parts.reportedServed, part)
		}
		served = c.servedParts(now, cleared)
		shares = c.parts.detector.SharesAnswer(now, c.instances())
	})
	message := crashMessage{ServedParts: served}
	if shares {
		message.Answers = []answerMessage{{BegunMillis: max(now.Sub(begunAt).Milliseconds(), 0), Parts: parts}}
	}
	if len(served) > 0 || shares {
		c.broadcast(&message)
	}
	c.decide(now)
}

// instances returns the number of instances.
func (c *CrashTracker) instances() int {
	if c.Instances == nil {
		return 1
	}
	return c.Instances()
}

// servedParts returns which of some parts have recently been served and when, unless that was reported just
// before; the caller holds mu.
func (c *CrashTracker) servedParts(now time.Time, parts []string) map[string]int64 {
	served := map[string]int64{}
	for _, part := range parts {
		at, ok := c.parts.detector.LastServed(now, part)
		if ok && now.Sub(c.parts.reportedServed[part]) >= servedReportInterval {
			c.parts.reportedServed[part] = now
			served[part] = now.Sub(at).Milliseconds()
		}
	}
	for part, at := range c.parts.reportedServed {
		if now.Sub(at) >= servedReportInterval {
			delete(c.parts.reportedServed, part)
		}
	}
	return served
}

// decide marks the parts against which the evidence suffices, and broadcasts the new marks.
func (c *CrashTracker) decide(now time.Time) {
	var marked []booking.PartMark
	withLock(&c.mu, func() {
		marked = c.parts.detector.Decide(now)
		for i := range marked {
			c.parts.own[marked[i].Part] = true
			c.reportMark(now, &marked[i], "crashes")
		}
	})
	c.broadcastMarks(now, marked)
}

// reportMark logs and counts that a part is refused from now on; source says how this instance knows it:
// "crashes", "instance" or "store".
func (c *CrashTracker) reportMark(now time.Time, m *booking.PartMark, source string) {
	if c.Metrics != nil {
		c.Metrics.GetOrCreateCounter(fmt.Sprintf("bambooferry_parts_marked_total{source=%q}", source)).Inc()
	}
	if c.Log == nil {
		return
	}
	c.Log.Write(now, timeline.Event{
		Kind: "part_marked", Decision: "refuse " + strings.Join(append([]string{m.Part}, m.With...), " with "), Why: source,
		Inputs: []timeline.Input{
			{Name: "crashes", Value: int64(m.Crashes)},
			{Name: "first_ms", Value: now.Sub(m.FirstCrash).Milliseconds()},
			{Name: "last_ms", Value: now.Sub(m.LastCrash).Milliseconds()},
		},
	})
}

func (c *CrashTracker) broadcastMarks(now time.Time, marks []booking.PartMark) {
	for i := range marks {
		c.broadcast(&crashMessage{Marks: []markMessage{newMarkMessage(now, &marks[i])}})
	}
}

// RepeatMarks broadcasts again the marks that this instance has set within markRepeatTime, and, once in
// refusalReportInterval, those for which it refuses requests.
func (c *CrashTracker) RepeatMarks(now time.Time) {
	c.decide(now)
	var repeated []markMessage
	c.mu.Lock()
	c.parts.init()
	for _, m := range c.parts.detector.Marks(now) {
		message := newMarkMessage(now, &m)
		switch lastReport := c.parts.reportedRefusal[m.Part]; {
		case c.parts.own[m.Part] && (now.Sub(m.MarkedAt) < markRepeatTime || now.Sub(m.Trials.LastAt) < markRepeatTime):
			repeated = append(repeated, message)
		case m.RefusedAt.After(m.MarkedAt) && m.RefusedAt.After(lastReport) && now.Sub(lastReport) >= refusalReportInterval:
			c.parts.reportedRefusal[m.Part] = now
			message.RefusedMillis = max(now.Sub(m.RefusedAt).Milliseconds(), 1)
			repeated = append(repeated, message)
		}
	}
	c.parts.dropUnmarked()
	c.mu.Unlock()
	for _, m := range repeated {
		c.broadcast(&crashMessage{Marks: []markMessage{m}})
	}
	c.repeatTrials(now)
	c.repeatConfirmed(now)
}

// dropUnmarked deletes the state of marks that no longer exist; the caller holds the lock.
func (p *partMarks) dropUnmarked() {
	maps.DeleteFunc(p.own, func(part string, _ bool) bool { return !p.detector.HasMark(part) })
	maps.DeleteFunc(p.reportedRefusal, func(part string, _ time.Time) bool { return !p.detector.HasMark(part) })
}

// markMessages returns the marks in force.
func (c *CrashTracker) markMessages(now time.Time) []markMessage {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []markMessage
	for _, m := range c.parts.detector.Marks(now) {
		list = append(list, newMarkMessage(now, &m))
	}
	return list
}

// applyStored applies the marks that were added to the platform's store, and removes those that are gone
// from it.
func (c *CrashTracker) applyStored(now time.Time, added []markMessage, removed []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parts.init()
	for i := range added {
		if m := added[i].mark(now); c.parts.detector.Mark(now, m) {
			c.reportMark(now, &m, "store")
		}
	}
	for _, part := range removed {
		c.parts.detector.Unmark(part)
	}
}

// applyParts applies what another instance reports about parts.
func (c *CrashTracker) applyParts(now time.Time, message *crashMessage) {
	c.mu.Lock()
	c.parts.init()
	for part, age := range message.ServedParts {
		c.parts.detector.RecordServed(now, millisBefore(now, age), part)
	}
	for i := range message.Answers {
		c.parts.detector.RecordOtherAnswer(now, millisBefore(now, message.Answers[i].BegunMillis), message.Answers[i].Parts)
	}
	for i := range message.Marks {
		if m := message.Marks[i].mark(now); c.parts.detector.Mark(now, m) {
			c.reportMark(now, &m, "instance")
		}
		if ms := message.Marks[i].RefusedMillis; ms > 0 {
			c.parts.detector.RecordRefusal(millisBefore(now, ms), message.Marks[i].Part)
		}
	}
	var served map[string]int64
	if message.Target != "" && len(message.Parts) > 0 {
		c.parts.detector.RecordCrash(now, booking.PartCrash{Target: message.Target, At: millisBefore(now, message.AgeMillis), Request: message.Digest, Parts: message.Parts})
		served = c.servedParts(now, message.Parts)
	}
	c.mu.Unlock()
	if len(served) > 0 {
		c.broadcast(&crashMessage{ServedParts: served})
	}
	c.decide(now)
}
