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
	// candidates is the number of instances that may become the decider.
	candidates = 2
	// fewMembers is the number of instances up to which all report to the candidates themselves.
	fewMembers = 16
	rankKey    = "version"
	// manyPeriods is the number of periods between two reports above fewMembers instances.
	manyPeriods = 4
	// lead is how long before its collector's own report an instance sends its own, so that
	// evidence passes all levels in one period, and the answer comes back the same way.
	lead = 80 * time.Millisecond
	// holdWait bounds the time for which a collector keeps a call until its own was
	// answered; it is above the leads of three levels with 80 ms for each call.
	holdWait = 500 * time.Millisecond
)

// VersionsReport is what an instance sends to the candidates or to its collector in each period.
type VersionsReport struct {
	// Evidence is the binary form of version reports, one for each change.
	Evidence []byte
	// Versions are those of the records that the sender has, in the order of the reports.
	Versions []int64
	// Final is false when the receiver is to pass the evidence on to the candidates.
	Final bool
}

// VersionsReply is the answer to a report.
type VersionsReply struct {
	// Records are those that the sender did not have, Marks all marks.
	Records []RecordAt
	Marks   map[uint64]string
	// Ages tell, in the order of the reports, how many milliseconds ago a candidate
	// confirmed the share, plus 1; 0 stands for never.
	Ages []int64
	// Next is the time in milliseconds until the collector reports again.
	Next int64
	// Names is set when names of routes have to be sent again.
	Names bool
}

// RecordAt is a record with its version in the key-value service.
type RecordAt struct {
	Record  []byte
	Version int64
}

// versionCalls serves the calls of other instances.
type versionCalls struct{ v *Versions }

// Report takes in evidence and tells the sender what it does not know yet.
//
// A collector answers once its own report was answered, so that the sender learns
// what the candidates know now.
func (c *versionCalls) Report(in VersionsReport, out *VersionsReply) error {
	v := c.v
	v.mu.Lock()
	list, missing, err := v.heard.DecodeReports(in.Evidence)
	v.mu.Unlock()
	if err != nil {
		return err
	}
	if in.Final {
		v.receive(list)
	} else {
		select {
		case <-v.relay(list):
		case <-time.After(holdWait):
		}
	}
	*out = v.reply(time.Now(), list, in)
	out.Names = missing
	return nil
}

// Mark takes in marks that another instance made.
func (c *versionCalls) Mark(in map[uint64]string, _ *struct{}) error {
	c.v.learn(time.Now(), in, "peer")
	return nil
}

// Publish takes in records of the decider.
func (c *versionCalls) Publish(in []RecordAt, _ *struct{}) error {
	c.v.takeAll(time.Now(), in)
	return nil
}

// relay keeps evidence of another instance until this one reports, and returns what is closed after that.
func (v *Versions) relay(list []version.Report) <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.received == nil {
		v.received = map[uint64]version.Report{}
	}
	for _, r := range list {
		old := v.received[r.ChangeID]
		old.ChangeID = r.ChangeID
		old.Merge(r)
		v.received[r.ChangeID] = old
	}
	if v.answered == nil {
		v.answered = make(chan struct{})
	}
	return v.answered
}

// reply lists what the sender lacks and how old the candidates' word is.
func (v *Versions) reply(now time.Time, list []version.Report, in VersionsReport) VersionsReply {
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
		switch age := now.Sub(w.Confirmed); {
		case in.Final:
			out.Ages[i] = 1
		case age < confirmWait:
			out.Ages[i] = 1 + age.Milliseconds() + 1
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !in.Final {
		out.Next = max(v.next.Sub(now).Milliseconds(), 0)
	}
	for id, why := range v.marks {
		if out.Marks == nil {
			out.Marks = map[uint64]string{}
		}
		out.Marks[id] = why
	}
	return out
}

func (v *Versions) takeAll(now time.Time, list []RecordAt) {
	for _, r := range list {
		if rec, err := version.DecodeRecord(r.Record); err == nil {
			v.take(now, rec, r.Version)
		}
	}
}

// members returns the live members, or none when this instance is alone.
func (v *Versions) members() (self string, live []instance.Member) {
	view, ok := Members.Get(v.Server.Board)
	if !ok || v.Server.Peers == nil {
		return v.Server.ID, nil
	}
	return view.Self.ID, view.Live()
}

func contains(list []instance.Member, id string) bool {
	for _, m := range list {
		if m.ID == id {
			return true
		}
	}
	return false
}

// reports sends a report in each period until ctx ends.
func (v *Versions) reports(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-time.After(time.Until(v.report(ctx))):
		case <-ctx.Done():
		}
	}
}

// report sends what was counted in the last period and returns when to send the next one.
func (v *Versions) report(ctx context.Context) time.Time {
	now := time.Now()
	self, live := v.members()
	period := v.ReportInterval
	if len(live) > fewMembers {
		period *= manyPeriods
	}
	plans := v.plans()
	list, answered := v.collect(plans)
	next := now.Add(period)
	if len(plans) > 0 {
		next = v.sendAll(ctx, now, period, self, live, list)
	}
	v.mu.Lock()
	v.next = next
	v.mu.Unlock()
	if answered != nil {
		close(answered)
	}
	return next
}

// sendAll sends one report to each destination and returns when to send the next one.
func (v *Versions) sendAll(ctx context.Context, now time.Time, period time.Duration, self string, live []instance.Member, list []version.Report) time.Time {
	to, final := ReportDestinations(live, self)
	if len(live) == 0 || contains(to, self) {
		v.receive(list)
		v.confirm(now, list)
	}
	v.keepNames(to)
	next := now.Add(period)
	var group sync.WaitGroup
	for _, m := range to {
		if m.ID == self {
			continue
		}
		names := v.sent[m.Address]
		in := VersionsReport{Evidence: names.AppendReports(nil, list), Versions: v.known(list), Final: final}
		group.Go(func() {
			out, ok := v.send(ctx, m, in, list)
			if !ok || out.Names {
				names.Reset()
			}
			switch {
			case final:
			case !ok:
				v.bypass(ctx, live, list)
			case out.Next > 0:
				next = v.before(now, period, out.Next)
			}
		})
	}
	group.Wait()
	return next
}

// before returns the time of the next report, shortly before that of the collector, which is due in some milliseconds.
func (v *Versions) before(now time.Time, period time.Duration, due int64) time.Time {
	next := time.Now().Add(time.Duration(due)*time.Millisecond - lead)
	if next.Before(now.Add(period / 2)) {
		next = next.Add(period)
	}
	return next
}

// bypass asks a candidate what holds when the collector did not answer; the evidence of the lost call stays lost.
func (v *Versions) bypass(ctx context.Context, live []instance.Member, list []version.Report) {
	empty := make([]version.Report, len(list))
	for i, r := range list {
		empty[i].ChangeID = r.ChangeID
	}
	in := VersionsReport{Evidence: version.AppendReports(nil, empty), Versions: v.known(list), Final: true}
	for _, m := range instance.RankByRendezvousHash(live, rankKey, candidates) {
		if _, ok := v.send(ctx, m, in, empty); ok {
			return
		}
	}
}

// keepNames keeps what is known of the names that each destination has, and nothing of others.
func (v *Versions) keepNames(to []instance.Member) {
	old := v.sent
	v.sent = map[netip.AddrPort]*version.RouteDictionary{}
	for _, m := range to {
		if v.sent[m.Address] = old[m.Address]; v.sent[m.Address] == nil {
			v.sent[m.Address] = &version.RouteDictionary{}
		}
	}
}

// collect takes the counts of all changes and forgets changes that are no longer asked for.
//
// It also returns what has to be closed once the report was answered, if instances wait for it.
func (v *Versions) collect(plans []version.Plan) (list []version.Report, answered chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	answered, v.answered = v.answered, nil
	asked := map[uint64]bool{}
	for _, p := range plans {
		asked[p.ID] = true
		r := version.Report{ChangeID: p.ID}
		if c := v.counters[p.ID]; c != nil {
			r = c.TakeReport()
		}
		r.Merge(v.received[p.ID])
		list = append(list, r)
	}
	v.received = nil
	for id := range v.counters {
		if !asked[id] {
			delete(v.counters, id)
		}
	}
	for id := range v.marks {
		if !asked[id] {
			delete(v.marks, id)
		}
	}
	return list, answered
}

// known returns the versions of the records of the changes.
func (v *Versions) known(list []version.Report) []int64 {
	at := make([]int64, len(list))
	views, _ := VersionChanges.Get(v.Server.Board)
	for _, w := range views {
		for i, r := range list {
			if w.Record.ID == r.ChangeID {
				at[i] = w.Version
			}
		}
	}
	return at
}

// reportWait bounds one call; evidence of a lost call is lost, and never counted twice.
const reportWait = holdWait + 300*time.Millisecond

func (v *Versions) send(ctx context.Context, m instance.Member, in VersionsReport, list []version.Report) (VersionsReply, bool) {
	ctx, cancel := context.WithTimeout(ctx, reportWait)
	defer cancel()
	sent := time.Now()
	out := VersionsReply{}
	if v.Server.Peers.Call(ctx, m.Address, "Versions.Report", in, &out) != nil {
		return out, false
	}
	v.learn(time.Now(), out.Marks, m.ID)
	v.takeAll(time.Time{}, out.Records)
	for i, age := range out.Ages {
		if i < len(list) && age > 0 {
			v.confirmOne(sent.Add(time.Millisecond-time.Duration(age)*time.Millisecond), list[i].ChangeID)
		}
	}
	return out, true
}

// confirm renews the shares on a candidate itself.
func (v *Versions) confirm(now time.Time, list []version.Report) {
	for _, r := range list {
		v.confirmOne(now, r.ChangeID)
	}
}

// confirmOne notes that a candidate confirmed a share at a time.
func (v *Versions) confirmOne(at time.Time, id uint64) {
	views, _ := VersionChanges.Get(v.Server.Board)
	for entry, w := range views {
		if w.Record.ID == id && at.After(w.Confirmed) {
			v.update(entry, func(w ChangeView) ChangeView { w.Confirmed = at; return w })
		}
	}
}
