package server

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/instance"
	"bambooferry.example/bambooferry/pkg/version"
)

const (
	// candidateCount is the number of instances that may become the decider.
	candidateCount = 2
	// maxDirectMembers is the number of instances up to which all report directly to the candidates.
	maxDirectMembers = 16
	candidateRankKey = "version"
	// relayedIntervalFactor multiplies the interval between two reports above maxDirectMembers instances.
	relayedIntervalFactor = 4
	// reportLead is how long before its collector's report an instance sends its own, so that
	// evidence passes all levels in one interval, and the reply returns the same way.
	reportLead = 80 * time.Millisecond
	// maxReplyHold bounds the time for which a collector delays its reply until its own report has
	// been answered; it exceeds the leads of three levels with 80 ms for each call.
	maxReplyHold = 500 * time.Millisecond
)

// VersionsReport is the message that an instance sends to the candidates or to its collector in each interval.
type VersionsReport struct {
	// Evidence is the binary form of version reports, one for each change.
	Evidence []byte
	// Versions holds the versions of the records that the sender has, in the order of the reports.
	Versions []int64
	// Final is false when the receiver must relay the evidence to the candidates.
	Final bool
}

// VersionsReply is the reply to a report.
type VersionsReply struct {
	// Records holds the records that the sender did not have, Marks all marks.
	Records []RecordAt
	Marks   map[uint64]string
	// Ages holds, in the order of the reports, how many milliseconds ago a candidate
	// confirmed the share, plus 1; 0 means never.
	Ages []int64
	// Next is the time in milliseconds until the collector reports again.
	Next int64
	// Names is set when the sender must send the names of routes again.
	Names bool
}

// RecordAt is a record with its version in the key-value service.
type RecordAt struct {
	Record  []byte
	Version int64
}

// versionService is the RPC service for other instances.
type versionService struct{ v *Versions }

// Report accepts evidence and replies with the information that the sender lacks.
//
// A collector replies after its own report has been answered, so that the sender gets
// the candidates' current state.
func (c *versionService) Report(in VersionsReport, out *VersionsReply) error {
	v := c.v
	v.mu.Lock()
	list, missing, err := v.receivedNames.DecodeReports(in.Evidence)
	v.mu.Unlock()
	if err != nil {
		return err
	}
	if in.Final {
		v.applyEvidence(list)
	} else {
		select {
		case <-v.relayEvidence(list):
		case <-time.After(maxReplyHold):
		}
	}
	*out = v.buildReply(time.Now(), list, in)
	out.Names = missing
	return nil
}

// Mark applies marks that another instance made.
func (c *versionService) Mark(in map[uint64]string, _ *struct{}) error {
	c.v.applyMarks(time.Now(), in, "peer")
	return nil
}

// Publish applies records of the decider.
func (c *versionService) Publish(in []RecordAt, _ *struct{}) error {
	c.v.applyRecords(time.Now(), in)
	return nil
}

// relayEvidence keeps another instance's evidence until this one reports, and returns a channel that is closed when that report has been answered.
func (v *Versions) relayEvidence(list []version.Report) <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.relayedReports == nil {
		v.relayedReports = map[uint64]version.Report{}
	}
	for _, r := range list {
		old := v.relayedReports[r.ChangeID]
		old.ChangeID = r.ChangeID
		old.Merge(r)
		v.relayedReports[r.ChangeID] = old
	}
	if v.reportAnswered == nil {
		v.reportAnswered = make(chan struct{})
	}
	return v.reportAnswered
}

// buildReply returns the records and marks that the sender lacks and the ages of the candidates' confirmations.
func (v *Versions) buildReply(now time.Time, list []version.Report, in VersionsReport) VersionsReply {
	out := VersionsReply{Ages: make([]int64, len(list))}
	views, _ := VersionChanges.Get(v.Server.Board)
	for _, w := range views {
		i := slices.IndexFunc(list, func(r version.Report) bool { return r.ChangeID == w.Record.ID })
		if w.Record.ID == 0 || i < 0 {
			continue
		}
		if i >= len(in.Versions) || w.Version > in.Versions[i] {
			out.Records = append(out.Records, RecordAt{w.Record.Encode(), w.Version})
		}
		switch age := now.Sub(w.ConfirmedAt); {
		case in.Final:
			out.Ages[i] = 1
		case age < confirmTimeout:
			out.Ages[i] = 1 + age.Milliseconds() + 1
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !in.Final {
		out.Next = max(v.nextReport.Sub(now).Milliseconds(), 0)
	}
	for id, reason := range v.marks {
		if out.Marks == nil {
			out.Marks = map[uint64]string{}
		}
		out.Marks[id] = reason
	}
	return out
}

func (v *Versions) applyRecords(now time.Time, list []RecordAt) {
	for _, r := range list {
		if rec, err := version.DecodeRecord(r.Record); err == nil {
			v.applyRecord(now, rec, r.Version)
		}
	}
}

// liveMembers returns the live members, or none when this instance is the only one.
func (v *Versions) liveMembers() (self string, live []instance.Member) {
	view, ok := Members.Get(v.Server.Board)
	if !ok || v.Server.Peers == nil {
		return v.Server.ID, nil
	}
	return view.Self.ID, view.Live()
}

func containsMember(list []instance.Member, id string) bool {
	for _, m := range list {
		if m.ID == id {
			return true
		}
	}
	return false
}

// runReports sends a report in each interval until ctx ends.
func (v *Versions) runReports(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-time.After(time.Until(v.sendReport(ctx))):
		case <-ctx.Done():
		}
	}
}

// sendReport sends the counts since the last report and returns when to send the next one.
func (v *Versions) sendReport(ctx context.Context) time.Time {
	now := time.Now()
	self, live := v.liveMembers()
	interval := v.ReportInterval
	if len(live) > maxDirectMembers {
		interval *= relayedIntervalFactor
	}
	plans := v.plans()
	list, answered := v.collectReports(plans)
	next := now.Add(interval)
	if len(plans) > 0 {
		next = v.sendToDestinations(ctx, now, interval, self, live, list)
	}
	v.mu.Lock()
	v.nextReport = next
	v.mu.Unlock()
	if answered != nil {
		close(answered)
	}
	return next
}

// sendToDestinations sends one report to each destination and returns when to send the next one.
func (v *Versions) sendToDestinations(ctx context.Context, now time.Time, interval time.Duration, self string, live []instance.Member, list []version.Report) time.Time {
	to, final := ReportDestinations(live, self)
	if len(live) == 0 || containsMember(to, self) {
		v.applyEvidence(list)
		v.confirmAll(now, list)
	}
	v.syncSentNames(to)
	next := now.Add(interval)
	var group sync.WaitGroup
	for _, m := range to {
		if m.ID == self {
			continue
		}
		names := v.sentNames[m.Address]
		in := VersionsReport{Evidence: names.AppendReports(nil, list), Versions: v.recordVersions(list), Final: final}
		group.Go(func() {
			out, ok := v.reportTo(ctx, m, in, list)
			if !ok || out.Names {
				names.Reset()
			}
			switch {
			case final:
			case !ok:
				v.queryCandidate(ctx, live, list)
			case out.Next > 0:
				next = v.nextReportBefore(now, interval, out.Next)
			}
		})
	}
	group.Wait()
	return next
}

// nextReportBefore returns the time of the next report, which is reportLead before the collector's; that one is due in the given milliseconds.
func (v *Versions) nextReportBefore(now time.Time, interval time.Duration, due int64) time.Time {
	next := time.Now().Add(time.Duration(due)*time.Millisecond - reportLead)
	if next.Before(now.Add(interval / 2)) {
		next = next.Add(interval)
	}
	return next
}

// queryCandidate gets the current state from a candidate when the collector did not answer; the evidence of the lost call remains lost.
func (v *Versions) queryCandidate(ctx context.Context, live []instance.Member, list []version.Report) {
	empty := make([]version.Report, len(list))
	for i, r := range list {
		empty[i].ChangeID = r.ChangeID
	}
	in := VersionsReport{Evidence: version.AppendReports(nil, empty), Versions: v.recordVersions(list), Final: true}
	for _, m := range instance.RankByRendezvousHash(live, candidateRankKey, candidateCount) {
		if _, ok := v.reportTo(ctx, m, in, empty); ok {
			return
		}
	}
}

// syncSentNames keeps track of the names that each destination has, and drops the state of former destinations.
func (v *Versions) syncSentNames(to []instance.Member) {
	old := v.sentNames
	v.sentNames = map[netip.AddrPort]*version.RouteDictionary{}
	for _, m := range to {
		if v.sentNames[m.Address] = old[m.Address]; v.sentNames[m.Address] == nil {
			v.sentNames[m.Address] = &version.RouteDictionary{}
		}
	}
}

// collectReports takes the counts of all changes and deletes the state of changes that are no longer requested.
//
// It also returns the channel to close once the report has been answered, or nil if no instance waits for it.
func (v *Versions) collectReports(plans []version.Plan) (list []version.Report, answered chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	answered, v.reportAnswered = v.reportAnswered, nil
	requested := map[uint64]bool{}
	for _, p := range plans {
		requested[p.ID] = true
		r := version.Report{ChangeID: p.ID}
		if c := v.counters[p.ID]; c != nil {
			r = c.TakeReport()
		}
		r.Merge(v.relayedReports[p.ID])
		list = append(list, r)
	}
	v.relayedReports = nil
	for id := range v.counters {
		if !requested[id] {
			delete(v.counters, id)
		}
	}
	for id := range v.marks {
		if !requested[id] {
			delete(v.marks, id)
		}
	}
	return list, answered
}

// recordVersions returns the versions of the changes' records that this instance has.
func (v *Versions) recordVersions(list []version.Report) []int64 {
	versions := make([]int64, len(list))
	views, _ := VersionChanges.Get(v.Server.Board)
	for _, w := range views {
		for i, r := range list {
			if w.Record.ID == r.ChangeID {
				versions[i] = w.Version
			}
		}
	}
	return versions
}

// reportTimeout bounds one call; the evidence of a failed call is lost, but never counted twice.
const reportTimeout = maxReplyHold + 300*time.Millisecond

func (v *Versions) reportTo(ctx context.Context, m instance.Member, in VersionsReport, list []version.Report) (VersionsReply, bool) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	sentAt := time.Now()
	out := VersionsReply{}
	if v.Server.Peers.Call(ctx, m.Address, "Versions.Report", in, &out) != nil {
		return out, false
	}
	v.applyMarks(time.Now(), out.Marks, m.ID)
	v.applyRecords(time.Time{}, out.Records)
	for i, age := range out.Ages {
		if i < len(list) && age > 0 {
			v.confirmChange(sentAt.Add(time.Millisecond-time.Duration(age)*time.Millisecond), list[i].ChangeID)
		}
	}
	return out, true
}

// confirmAll confirms the shares on a candidate itself.
func (v *Versions) confirmAll(now time.Time, list []version.Report) {
	for _, r := range list {
		v.confirmChange(now, r.ChangeID)
	}
}

// confirmChange records that a candidate confirmed a change's share at the given time.
func (v *Versions) confirmChange(at time.Time, id uint64) {
	views, _ := VersionChanges.Get(v.Server.Board)
	for entry, w := range views {
		if w.Record.ID == id && at.After(w.ConfirmedAt) {
			v.updateView(entry, func(w ChangeView) ChangeView { w.ConfirmedAt = at; return w })
		}
	}
}
