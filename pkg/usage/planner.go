package usage

import "time"

const (
	// closeDelay is the time from the end of a window until it is reported, in which its last counts arrive: instances
	// send twice in a second.
	closeDelay = time.Second
	// collectTime is the time that a new holder waits for the totals that the other instances hold.
	collectTime = 1600 * time.Millisecond
	// missingTime is how long after its start a holder waits for instances that it has not heard. Instances that have
	// ended stay listed for some seconds.
	missingTime = 2500 * time.Millisecond
	// minorityTime is how long after the end of a window a holder waits that has not heard most instances. After 10 s a
	// report is late.
	minorityTime = 8 * time.Second
	// maxUnsent bounds the reports that wait for the platform: five minutes of windows of 5 s.
	maxUnsent = 60
	// keptProofs is the number of windows of which the recorded report is remembered.
	keptProofs = 2 * maxUnsent
	// readRetryDelay is the time between two attempts to read or write the record.
	readRetryDelay = 300 * time.Millisecond
	// minSendDelay and maxSendDelay bound the time between two attempts to send a report.
	minSendDelay = 200 * time.Millisecond
	maxSendDelay = 2 * time.Second
)

// Status is what a decision is based on.
type Status struct {
	// Now is on the steady scale; True is the estimate of true time, and Bound that of its error.
	Now   time.Time
	True  time.Time
	Bound time.Duration
	// Era is the latest known era of the store.
	Era int64
	// Held is set while this instance holds the duty, under Token, which it won in TermEra.
	Held    bool
	Token   int64
	TermEra int64
	// Instances is the number of listed instances, and Heard that of those whose counts arrive, both with this one.
	Instances int
	Heard     int
	// CollectingSince is the steady time since which counts have arrived without a longer pause.
	CollectingSince time.Time
}

// trueTime returns the true time of a steady time by the present estimate.
func (s *Status) trueTime(t time.Time) time.Time { return s.True.Add(t.Sub(s.Now)) }

// ActionKind says what to do next.
type ActionKind int

// The kinds of actions.
const (
	// Wait asks for the next decision later.
	Wait ActionKind = iota
	// Read reads the records of all eras.
	Read
	// Write writes the record of the term's era, on condition that it is at Revision.
	Write
	// Send sends a report.
	Send
)

// Action is the next step of the holder.
type Action struct {
	Kind     ActionKind
	Record   *Record
	Revision int64
	Report   Report
}

// Skip says that no report is made of the windows from From to To.
type Skip struct {
	From, To int64
	Why      string
}

// The reasons of skipped windows.
const (
	// SkippedEra means that an earlier era of the store may have had a report of the window.
	SkippedEra = "era_unobserved"
	// SkippedOld means that the instances no longer hold the counts.
	SkippedOld = "counts_gone"
	// SkippedRecord means that the window may have a report in a record that can't be read.
	SkippedRecord = "record_unusable"
	// SkippedUnproven means that a restored record has a report that may differ from the one that was sent.
	SkippedUnproven = "unproven_after_restore"
	// SkippedBacklog means that too many later reports wait for the platform.
	SkippedBacklog = "backlog_full"
)

// Planner decides what the holder reads, writes and sends; set Window before the first call.
//
// A report is sent only if the store has it in the record of an era, to which only holders of that era write. Within an
// era the writes are ordered by the record's revision, and windows are recorded in order, so the era has one report of a
// window. A report is created only if the era began before the end of its window, so no earlier era has one.
type Planner struct {
	Window time.Duration

	era      int64
	eraKnown bool
	// eraSince is the steady time since which the era is known.
	eraSince time.Time

	token     int64
	termEra   int64
	termSince time.Time
	isRead    bool
	retryAt   time.Time
	// record is the record of the term's era at revision, and pending what is being written.
	record   *Record
	revision int64
	pending  *Record
	// carried holds the proven unsent reports of the record of the era before.
	carried []Report
	// floor is a window up to which no report is created.
	floor int64
	// proofs holds the hash of the report of each window that the store has held in the record of its present era.
	proofs   map[int64]uint64
	recorded int64
	accepted map[int64]bool

	sending   bool
	sendAt    time.Time
	sendDelay time.Duration
	skips     []Skip
}

// WindowOf returns the window of a true time.
func WindowOf(t time.Time, window time.Duration) int64 {
	n, rest := t.UnixNano()/int64(window), t.UnixNano()%int64(window)
	if rest < 0 {
		n--
	}
	return n
}

// EndOf returns the end of a window.
func EndOf(n int64, window time.Duration) time.Time { return time.Unix(0, (n+1)*int64(window)) }

// ObserveEra records the known era of the store.
func (p *Planner) ObserveEra(s *Status) {
	if !p.eraKnown || s.Era != p.era {
		p.era, p.eraKnown, p.eraSince = s.Era, true, s.Now
	}
}

// ObserveRecorded records that the store holds a report of a window, as the holder states.
func (p *Planner) ObserveRecorded(s *Status, window int64, hash uint64) {
	// A window that has not ended has no report; a wrong statement must not end all reports.
	if window > 0 && window < WindowOf(s.True.Add(s.Bound), p.Window) {
		p.prove(window, hash)
		p.floor = max(p.floor, window)
	}
}

func (p *Planner) prove(window int64, hash uint64) {
	if p.proofs == nil {
		p.proofs = map[int64]uint64{}
	}
	p.proofs[window] = hash
	p.recorded = max(p.recorded, window)
	for w := range p.proofs {
		if w <= p.recorded-keptProofs {
			delete(p.proofs, w)
		}
	}
}

// Recorded returns the latest window with a recorded report and the report's hash, as far as this instance knows.
func (p *Planner) Recorded() (window int64, hash uint64) { return p.recorded, p.proofs[p.recorded] }

// Next returns the next action. The caller executes it and calls the method that handles its result, and may ask for the
// next action while a report is being sent. Totals returns the counts of a window.
func (p *Planner) Next(s *Status, totals func(window int64) map[string]int64) Action {
	p.ObserveEra(s)
	if !s.Held || s.TermEra != s.Era {
		p.token = 0
		return Action{}
	}
	if s.Token != p.token {
		p.token, p.termEra, p.termSince = s.Token, s.TermEra, s.Now
		p.isRead, p.retryAt, p.record, p.pending, p.carried = false, time.Time{}, nil, nil, nil
		p.sendAt, p.sendDelay = time.Time{}, 0
	}
	if s.Now.Before(p.retryAt) {
		return p.nextSend(s)
	}
	if !p.isRead {
		return Action{Kind: Read}
	}
	if record := p.nextRecord(s, totals); record != nil {
		p.pending = record
		return Action{Kind: Write, Record: record, Revision: p.revision}
	}
	return p.nextSend(s)
}

// nextRecord returns the record to write, or nil if there is no new report.
func (p *Planner) nextRecord(s *Status, totals func(window int64) map[string]int64) *Record {
	last := WindowOf(s.True.Add(-closeDelay), p.Window) - 1
	first := WindowOf(s.True, p.Window) - KeptWindows + 1
	switch latest := p.latest(); {
	case latest == 0:
		// There is nothing to report of the time before the first instance.
		first = max(first, WindowOf(s.trueTime(p.eraSince), p.Window))
	case latest+1 < first:
		p.skip(latest+1, first-1, SkippedOld)
	default:
		first = max(first, latest+1)
	}
	var added []Report
	for w := first; w <= last; w++ {
		if !p.isComplete(s, w) {
			break
		}
		// The bound of the clock's error, on which this depends, is large until the other instances are heard.
		if why := p.forbidden(s, w); why != "" {
			p.skip(w, w, why)
			continue
		}
		added = append(added, Report{Window: w, Counts: totals(w)})
	}
	if len(added)+len(p.carried) == 0 {
		return nil
	}
	record := &Record{LastSent: p.record.LastSent, WrittenMillis: s.True.Add(s.Bound).UnixMilli()}
	for _, list := range [][]Report{p.carried, p.record.Unsent, added} {
		for _, r := range list {
			if p.accepted[r.Window] {
				record.LastSent = &r
				continue
			}
			record.Unsent = append(record.Unsent, r)
		}
	}
	if n := len(record.Unsent) - maxUnsent; n > 0 {
		p.skip(record.Unsent[0].Window, record.Unsent[n-1].Window, SkippedBacklog)
		record.Unsent = record.Unsent[n:]
	}
	return record
}

// latest returns the latest window of which no report may be created any more.
func (p *Planner) latest() int64 { return max(p.floor, p.record.Latest()) }

// forbidden returns why a report of a window must not be created, or an empty reason.
//
// The era must have begun before the end of the window, in true time. Holders of earlier eras created reports at closeDelay
// after it, by clocks that may differ by the bounds of both.
func (p *Planner) forbidden(s *Status, window int64) string {
	latestBegin := EndOf(window, p.Window).Add(-max(0, 2*s.Bound-closeDelay))
	if s.trueTime(p.eraSince).Before(latestBegin) || p.record.WrittenMillis > 0 && time.UnixMilli(p.record.WrittenMillis).Before(latestBegin) {
		return ""
	}
	return SkippedEra
}

// isComplete reports whether the counts of a window are as complete as they will be.
func (p *Planner) isComplete(s *Status, window int64) bool {
	end, held := EndOf(window, p.Window), s.Now.Sub(p.termSince)
	switch {
	case s.Instances <= 1:
		return true
	case s.trueTime(s.CollectingSince).After(end.Add(-p.Window)) && held < collectTime:
		return false
	case s.Heard >= s.Instances:
		return true
	case held < missingTime:
		return false
	}
	return 2*s.Heard > s.Instances || !s.True.Before(end.Add(minorityTime))
}

// skip records that some windows get no report.
func (p *Planner) skip(from, to int64, why string) {
	p.floor = max(p.floor, to)
	p.skips = append(p.skips, Skip{From: from, To: to, Why: why})
}

// TakeSkips returns the windows that were skipped since the last call.
func (p *Planner) TakeSkips() []Skip {
	skips := p.skips
	p.skips = nil
	return skips
}

func (p *Planner) nextSend(s *Status) Action {
	if p.record == nil || p.sending || s.Now.Before(p.sendAt) {
		return Action{}
	}
	for _, r := range p.record.Unsent {
		if !p.accepted[r.Window] {
			p.sending = true
			return Action{Kind: Send, Report: r}
		}
	}
	return Action{}
}

// Backlog returns the number of recorded reports that the platform has not accepted, as far as this instance knows.
func (p *Planner) Backlog() int {
	n := 0
	if p.record != nil {
		for i := range p.record.Unsent {
			if !p.accepted[p.record.Unsent[i].Window] {
				n++
			}
		}
	}
	return n
}
