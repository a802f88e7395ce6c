package usage

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/duty"
	"bambooferry.example/bambooferry/internal/feed"
	"bambooferry.example/bambooferry/pkg/timeline"
	"bambooferry.example/bambooferry/pkg/usage"
)

const (
	// planInterval is the time between two decisions of the holder.
	planInterval = 100 * time.Millisecond
	// storeTimeout bounds a call to the store, and sendTimeout the sending of a report with the wait for the rate.
	storeTimeout = time.Second
	sendTimeout  = 5 * time.Second
)

// reading is the era and the term as they were known at now.
type reading struct {
	now  time.Time
	era  int64
	term Term
	held bool
}

// readNow reads the era, the term and the time. A process that is suspended between the readings must not date the era
// before it was known: a report may be created only if the era was known before the end of its window.
func (r *Reporter) readNow() reading {
	p := reading{era: r.Era()}
	p.term, p.held = r.Tenure.Term(r.Now())
	p.now = r.Now()
	return p
}

// status returns what the planner's decisions are based on; the caller holds mu.
func (r *Reporter) status(p reading) usage.Status {
	s := usage.Status{
		Now: p.now, True: r.estimate.At(p.now), Bound: r.estimate.Bound, Era: p.era,
		Held: p.held, Token: p.term.Token, TermEra: p.term.Era, CollectingSince: r.collectingSince,
	}
	if p.held {
		s.Instances, s.Heard = r.Instances(), r.collector.Heard(p.now)
	}
	return s
}

// plan makes the steps that are due.
func (r *Reporter) plan(ctx context.Context) {
	for due := true; due && ctx.Err() == nil; {
		due = r.planOne(ctx)
	}
}

// planOne makes one step and reports whether another one may be due.
func (r *Reporter) planOne(ctx context.Context) bool {
	p := r.readNow()
	term := p.term
	r.mu.Lock()
	if r.stopSending != nil && (!p.held || term.Token != r.sendToken) {
		r.stopSending()
	}
	if p.held {
		r.addOwn(p.now)
	}
	s := r.status(p)
	action := r.planner.Next(&s, r.collector.Sum)
	r.logSkips(r.planner.TakeSkips())
	r.mu.Unlock()
	switch action.Kind {
	case usage.Read:
		r.read(ctx, term)
	case usage.Write:
		r.write(ctx, term, action)
	case usage.Send:
		r.startSending(ctx, term, action.Report)
	case usage.Wait:
		return false
	}
	return true
}

// addOwn adds this instance's totals to those of the others; the caller holds mu.
func (r *Reporter) addOwn(now time.Time) {
	m := &usage.Counts{Instance: r.Address.String(), Incarnation: r.Incarnation, Windows: usage.Totals{}}
	current := usage.WindowOf(r.estimate.At(now), r.Window)
	r.appendTotals(m.Windows, current, time.Time{}, -1)
	r.reject(m.Instance, r.collector.Add(now, current, m))
}

// read reads the records of all eras.
func (r *Reporter) read(ctx context.Context, term Term) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var records []usage.StoredRecord
	era, after, more := int64(-1), "", true
	for more {
		page, err := r.Store.Range(ctx, r.KeyPrefix, after)
		if err != nil || era >= 0 && page.Era != era {
			r.recordFailure()
			return
		}
		era, more = page.Era, page.HasMore && len(page.Items) > 0
		for i := range page.Items {
			it := &page.Items[i]
			after = it.Key
			if n, err := strconv.ParseInt(strings.TrimPrefix(it.Key, r.KeyPrefix), 10, 64); err == nil {
				record, err := usage.DecodeRecord(it.Value)
				if err != nil {
					r.Log.Write(time.Now(), timeline.Event{Kind: "usage_record_unusable", Revision: it.Revision, Why: "decode_failed"})
					record = nil
				}
				records = append(records, usage.StoredRecord{Era: n, Revision: it.Revision, Record: record})
			}
		}
	}
	p := r.readNow()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.status(p)
	r.planner.HandleRead(&s, term.Token, era, records)
	r.logSkips(r.planner.TakeSkips())
}

func (r *Reporter) recordFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planner.HandleFailure(r.Now())
}

// write writes the record of the term's era, on condition that the duty is still held and the record unchanged.
func (r *Reporter) write(ctx context.Context, term Term, action usage.Action) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(action.Record)
	if err != nil {
		r.recordFailure()
		return
	}
	key := r.KeyPrefix + strconv.FormatInt(term.Era, 10)
	version, err := r.Store.Commit(ctx, []feed.Condition{duty.Condition(term), {Key: key, Revision: action.Revision}}, []feed.Write{{Key: key, Value: value}})
	if err != nil {
		why := "store_failed"
		if conflict := (*feed.ConflictError)(nil); errors.As(err, &conflict) {
			why = "written_by_another"
		}
		r.Log.Write(time.Now(), timeline.Event{Kind: "usage_record_failed", Why: why, Decision: "read_again"})
		r.recordFailure()
		return
	}
	p := r.readNow()
	r.mu.Lock()
	defer r.mu.Unlock()
	former, _ := r.planner.Recorded()
	s := r.status(p)
	r.planner.HandleWritten(&s, term.Token, version.Era, version.Revision)
	recorded, _ := r.planner.Recorded()
	for _, report := range action.Record.Unsent {
		if report.Window > former && report.Window <= recorded {
			r.logReport("usage_recorded", &s, &report)
		}
	}
}

// startSending sends a report in the background.
func (r *Reporter) startSending(ctx context.Context, term Term, report usage.Report) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	r.mu.Lock()
	r.sendToken, r.stopSending = term.Token, cancel
	r.mu.Unlock()
	r.sending.Go(func() {
		defer cancel()
		err := r.Platform.ReportUsage(ctx, term, report.Window, report.Counts)
		if refused := (*duty.RefusedError)(nil); errors.As(err, &refused) {
			r.Tenure.RecordRefused(r.Now(), refused.Token)
		}
		p := r.readNow()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.stopSending = nil
		r.planner.HandleSent(p.now, report.Window, err == nil)
		if err == nil {
			r.reported = max(r.reported, report.Window)
			s := r.status(p)
			r.logReport("usage_reported", &s, &report)
		}
	})
}

// logReport logs what has been done with a report; the caller holds mu.
func (r *Reporter) logReport(kind string, s *usage.Status, report *usage.Report) {
	sum := int64(0)
	for _, n := range report.Counts {
		sum += n
	}
	r.Log.Write(time.Now(), timeline.Event{Kind: kind, Inputs: []timeline.Input{
		{Name: "window", Value: report.Window},
		{Name: "workspaces", Value: int64(len(report.Counts))},
		{Name: "requests", Value: sum},
		{Name: "late_ms", Value: s.True.Sub(usage.EndOf(report.Window, r.Window)).Milliseconds()},
		{Name: "instances", Value: int64(s.Heard)},
		{Name: "listed", Value: int64(s.Instances)},
		{Name: "backlog", Value: int64(r.planner.Backlog())},
	}})
}

func (r *Reporter) logSkips(skips []usage.Skip) {
	for _, skip := range skips {
		r.Log.Write(time.Now(), timeline.Event{Kind: "usage_window_skipped", Why: skip.Why, Inputs: []timeline.Input{{Name: "window", Value: skip.From}, {Name: "last_window", Value: skip.To}}})
	}
}
