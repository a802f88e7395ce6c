package usage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testWindow = 5 * time.Second

// holder drives a Planner as the shell does, at true times after a start at the beginning of window 1000.
type holder struct {
	t       *testing.T
	planner *Planner
	status  Status
	counts  map[string]int64
}

func newHolder(t *testing.T) *holder {
	h := &holder{t: t, planner: &Planner{Window: testWindow}, counts: map[string]int64{"a": 1}}
	h.status = Status{Held: true, Token: 7, Instances: 1, Heard: 1, CollectingSince: start.Add(-time.Hour)}
	h.at(-time.Minute)
	h.planner.ObserveEra(&h.status)
	return h
}

func (h *holder) at(d time.Duration) *holder {
	h.status.Now, h.status.True = start.Add(d), time.Unix(5000, 0).Add(d)
	return h
}

func (h *holder) next() Action {
	return h.planner.Next(&h.status, func(int64) map[string]int64 { return h.counts })
}

// read answers the next action, which must be a read, with the records of an era.
func (h *holder) read(records ...StoredRecord) *holder {
	h.t.Helper()
	require.Equal(h.t, Read, h.next().Kind)
	h.planner.HandleRead(&h.status, h.status.Token, h.status.TermEra, records)
	return h
}

// write answers the next action, which must be a write.
func (h *holder) write(revision int64) *Record {
	h.t.Helper()
	action := h.next()
	require.Equal(h.t, Write, action.Kind)
	h.planner.HandleWritten(&h.status, h.status.Token, h.status.TermEra, revision)
	return action.Record
}

func (h *holder) send() Report {
	h.t.Helper()
	action := h.next()
	require.Equal(h.t, Send, action.Kind)
	return action.Report
}

func report(window, n int64) Report {
	return Report{Window: window, Counts: map[string]int64{"a": n}}
}

// Guards against a report that is sent before the store has it, before the window's last counts have arrived, or not at
// all.
func TestReportIsRecordedThenSent(t *testing.T) {
	h := newHolder(t).at(2 * time.Second).read(StoredRecord{Revision: 3, Record: &Record{LastSent: &Report{Window: 998}}})
	require.Equal(t, []Report{report(999, 1)}, h.write(4).Unsent)
	require.EqualValues(t, 999, h.send().Window)
	require.Equal(t, Wait, h.next().Kind, "one at a time")
	h.planner.HandleSent(h.status.Now, 999, true)
	require.Equal(t, Wait, h.at(5*time.Second+900*time.Millisecond).next().Kind, "the last counts still arrive")
	h.counts = map[string]int64{"a": 5, "appeared": 1}
	record := h.at(6 * time.Second).write(5)
	require.Equal(t, []Report{{Window: 1000, Counts: h.counts}}, record.Unsent)
	require.Equal(t, &Report{Window: 999, Counts: map[string]int64{"a": 1}}, record.LastSent, "the acceptance is noted with the next write")
	require.EqualValues(t, 1000, h.send().Window)
	window, hash := h.planner.Recorded()
	require.EqualValues(t, 1000, window)
	require.Equal(t, record.Unsent[0].Hash(), hash)
	require.Empty(t, h.planner.TakeSkips())
}

// Guards against another report by a successor of a holder that was killed between the record and the sending, or
// between the sending and the answer.
func TestSuccessorSendsWhatIsRecorded(t *testing.T) {
	h := newHolder(t).at(7 * time.Second)
	h.counts = map[string]int64{"a": 99}
	h.read(StoredRecord{Revision: 3, Record: &Record{Unsent: []Report{report(1000, 1)}}})
	require.Equal(t, report(1000, 1), h.send())
	h.planner.HandleSent(h.status.Now, 1000, false)
	require.Equal(t, Wait, h.next().Kind)
	h.at(7*time.Second + minSendDelay)
	require.Equal(t, report(1000, 1), h.send(), "unchanged until it is accepted")
}

// Guards against a report that is lost, or sent under another content, when the term ends with its sending pending.
func TestTermEndsWhileSending(t *testing.T) {
	h := newHolder(t).at(6 * time.Second).read()
	record := h.write(4)
	sent := h.send()
	h.status.Held = false
	require.Equal(t, Wait, h.next().Kind)
	h.planner.HandleSent(h.status.Now, sent.Window, false)
	h.status.Held, h.status.Token = true, 9
	h.counts = map[string]int64{"a": 50}
	h.at(7 * time.Second).read(StoredRecord{Revision: 4, Record: record})
	require.Equal(t, sent, h.send())
}

// Guards against a second report of a window that is written after a write whose answer was lost.
func TestLostAnswerOfWrite(t *testing.T) {
	h := newHolder(t).at(6 * time.Second).read(StoredRecord{Revision: 3, Record: &Record{LastSent: &Report{Window: 999}}})
	lost := h.next()
	require.Equal(t, Write, lost.Kind)
	h.planner.HandleFailure(h.status.Now)
	h.counts = map[string]int64{"a": 50}
	require.Equal(t, Wait, h.next().Kind)
	h.at(7 * time.Second).read(StoredRecord{Revision: 4, Record: lost.Record})
	require.Equal(t, report(1000, 1), h.send())
}

// Guards against two different reports of a window when the store is restored to a state before or after the record of a
// report that an earlier holder has sent.
func TestRestoredStore(t *testing.T) {
	restored := func(record *Record, proven bool) *holder {
		h := newHolder(t).at(6 * time.Second)
		if proven {
			r := report(1000, 1)
			h.planner.ObserveRecorded(&h.status, 1000, r.Hash())
		}
		h.at(8 * time.Second)
		h.counts = map[string]int64{"a": 99}
		h.status.Era, h.status.TermEra = 1, 1
		h.planner.ObserveEra(&h.status)
		return h.read(StoredRecord{Era: 0, Revision: 2, Record: record})
	}
	h := restored(&Record{LastSent: &Report{Window: 999}}, false)
	require.Equal(t, Wait, h.next().Kind, "before the record")
	require.Equal(t, []Skip{{1000, 1000, SkippedEra}}, h.planner.TakeSkips())
	require.Equal(t, []Report{{Window: 1001, Counts: h.counts}}, h.at(12*time.Second).write(3).Unsent, "the window of the restore has no report of an earlier era")

	h = restored(&Record{Unsent: []Report{report(1000, 1)}}, true)
	require.Equal(t, []Report{report(1000, 1)}, h.write(3).Unsent, "after the record, as it is known to have been")
	require.Equal(t, report(1000, 1), h.send())

	h = restored(&Record{Unsent: []Report{report(1000, 2)}}, true)
	require.Equal(t, Wait, h.next().Kind, "a delayed write was executed after the restore")
	require.Equal(t, []Skip{{1000, 1000, SkippedUnproven}}, h.planner.TakeSkips())
}

// Guards against reports of a holder that was started after the end of a window, unless a record shows that the era is
// older.
func TestWindowBeforeStart(t *testing.T) {
	for name, c := range map[string]struct {
		written time.Duration
		kind    ActionKind
	}{"record of the era before the window's end": {written: time.Second, kind: Write}, "none": {written: 6 * time.Second, kind: Wait}} {
		t.Run(name, func(t *testing.T) {
			h := newHolder(t)
			h.planner = &Planner{Window: testWindow}
			record := &Record{LastSent: &Report{Window: 999}, WrittenMillis: time.Unix(5000, 0).Add(c.written).UnixMilli()}
			h.at(7 * time.Second).read(StoredRecord{Revision: 2, Record: record})
			require.Equal(t, c.kind, h.next().Kind)
		})
	}
}

// Guards against a report without the counts of instances that a new holder has not heard yet, and against one that never
// comes because an ended instance is still listed or most instances can't be reached.
func TestNewHolderWaitsForCounts(t *testing.T) {
	begin := func(instances, heard int) *holder {
		h := newHolder(t).at(6 * time.Second)
		h.status.Instances, h.status.Heard, h.status.CollectingSince = instances, heard, h.status.Now
		return h.read(StoredRecord{Revision: 2, Record: &Record{LastSent: &Report{Window: 999}}})
	}
	h := begin(9, 9)
	require.Equal(t, Wait, h.at(7*time.Second).next().Kind)
	require.Equal(t, Write, h.at(6*time.Second+collectTime).next().Kind)
	h = begin(9, 8)
	require.Equal(t, Wait, h.at(8*time.Second).next().Kind)
	require.Equal(t, Write, h.at(6*time.Second+missingTime).next().Kind)
	h = begin(9, 4)
	require.Equal(t, Wait, h.at(12*time.Second).next().Kind)
	require.Equal(t, Write, h.at(5*time.Second+minorityTime).next().Kind)
	h = begin(9, 9)
	h.status.CollectingSince = start
	require.Equal(t, Write, h.next().Kind, "it has collected as a candidate")
}

// Guards against a backlog that grows for ever, an unusable record that ends all reports or is replaced by a second
// report, and windows that are skipped without a word.
func TestPlannerLimits(t *testing.T) {
	h := newHolder(t).at(7 * time.Second).read(StoredRecord{Revision: 9})
	require.Equal(t, Wait, h.next().Kind)
	require.Equal(t, []Skip{{1000, 1001, SkippedRecord}}, h.planner.TakeSkips())
	action := h.at(17 * time.Second).next()
	require.Equal(t, []Report{report(1002, 1)}, action.Record.Unsent)
	require.EqualValues(t, 9, action.Revision)

	h = newHolder(t).at(6 * time.Second)
	full := &Record{}
	for w := int64(0); w < maxUnsent; w++ {
		full.Unsent = append(full.Unsent, report(1000-maxUnsent+w, 1))
	}
	h.read(StoredRecord{Revision: 9, Record: full})
	require.Len(t, h.write(10).Unsent, maxUnsent)
	require.Equal(t, []Skip{{1000 - maxUnsent, 1000 - maxUnsent, SkippedBacklog}}, h.planner.TakeSkips())
	require.Equal(t, maxUnsent, h.planner.Backlog())
	h.at(46 * time.Second).write(11)
	require.Contains(t, h.planner.TakeSkips(), Skip{1001, 1005, SkippedOld})
}
