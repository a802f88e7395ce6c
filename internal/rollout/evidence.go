package rollout

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bambooferry.example/bambooferry/pkg/timeline"
	"bambooferry.example/bambooferry/pkg/version"
)

const (
	// reportInterval is the longest time between two reports of an instance while a change is not finished.
	reportInterval = 400 * time.Millisecond
	// confirmTimeout is how long a share stays in force after the report was sent that a candidate has confirmed last.
	confirmTimeout = 2 * time.Second
	// rateTimeout is how long after its last report a process counts for the rate of requests, and minRateTime the least
	// time over which a rate is taken.
	rateTimeout = 2 * time.Second
	minRateTime = time.Second
	// maxSenders bounds the processes whose reports for one change are kept.
	maxSenders = 4096
)

// heardReport is the latest report of one process.
type heardReport struct {
	report
	at time.Time
}

// Observe counts a result of a request for a pool.
func (c *Controller) Observe(now time.Time, pool string, r version.Result) {
	c.mu.Lock()
	p := c.pool(pool)
	if p.split.Change == 0 || r.Version != p.split.Version {
		r.Version = formerVersion
	}
	c.mu.Unlock()
	r.Route = shortRoute(r.Route)
	p.counter.Add(now, r)
}

// maxRouteName bounds the names of routes, so that a report of all routes fits into a datagram.
const maxRouteName = 24

// shortRoute returns the name of a route, with its end replaced by a hash if it is long.
func shortRoute(name string) string {
	if len(name) <= maxRouteName {
		return name
	}
	const hashDigits = 8
	return name[:maxRouteName-hashDigits] + fmt.Sprintf("%0*x", hashDigits, uint32(xxhash.Sum64String(name)))
}

// HandleEvidence adds the differences that an instance of the former format sends.
func (c *Controller) HandleEvidence(now time.Time, data []byte) {
	list, err := version.DecodeReports(data)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heardAt = now
	for _, r := range list {
		if p := c.tracked(r.ChangeID); p != nil {
			p.change.Step(now, version.Event{Kind: version.Reported, Report: r})
		}
	}
}

// HandleReport adds what another instance has counted since its last report, and confirms it.
func (c *Controller) HandleReport(now time.Time, data []byte) {
	r, err := decodeReport(data)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heardAt = now
	p := c.tracked(r.results.ChangeID)
	if p == nil {
		return
	}
	p.addReport(now, r)
	if r.bad {
		c.markBad(now, p, r.sender.String())
	}
	answer := confirmation{change: r.results.ChangeID, incarnation: r.incarnation, sentAt: r.sentAt, bad: p.markedBad || p.change.Record.State == version.RolledBack}
	c.Messenger.SendConfirmation(answer.encode(), r.sender)
}

// tracked returns the pool whose change this instance follows as a candidate, or nil; the caller holds mu.
func (c *Controller) tracked(change uint64) *poolState {
	for _, p := range c.pools {
		if p.change != nil && p.change.Plan.ID == change {
			return p
		}
	}
	return nil
}

// addReport adds what a process has counted since its last report.
func (p *poolState) addReport(now time.Time, r *report) {
	if p.heard == nil {
		p.heard = map[senderID]*heardReport{}
	}
	id := senderID{r.sender, r.incarnation}
	last := p.heard[id]
	if last == nil {
		if len(p.heard) >= maxSenders {
			return
		}
		last = &heardReport{}
		p.heard[id] = last
	}
	if last.at.IsZero() || r.sentAt > last.sentAt {
		p.change.Step(now, version.Event{Kind: version.Reported, Report: r.results.Since(&last.results)})
		last.report = *r
	}
	last.at = now
}

// senderID identifies the process that sends reports.
type senderID struct {
	address     netip.AddrPort
	incarnation int64
}

// exposure returns the requests to the pool and to the version that all processes have sent, as far as they reported.
func (p *poolState) exposure() (sent, exposed float64) {
	for _, h := range p.heard {
		sent += float64(h.sent)
		exposed += float64(h.exposed)
	}
	// Instances of the former format report results only.
	r := &p.change.Record
	return max(sent, float64(r.New.Requests+r.Old.Requests)), max(exposed, float64(r.New.Requests))
}

// requestRate returns how many requests a second reach the pool, from the reports of the processes that still send them;
// local is the rate of this instance, one of n, which stands in for the others until they have reported.
func (p *poolState) requestRate(now time.Time, local float64, n int) float64 {
	sum, known := 0.0, true
	for _, h := range p.heard {
		if now.Sub(h.at) > rateTimeout {
			continue
		}
		if h.countedFor < minRateTime {
			known = false
			break
		}
		sum += float64(h.sent) / h.countedFor.Seconds()
	}
	if !known || sum == 0 {
		return local * float64(max(n, 1))
	}
	return sum
}

// markBad records that a member has found the version of the pool's change bad, which ends its share at once; the caller
// holds mu.
func (c *Controller) markBad(now time.Time, p *poolState, member string) {
	if p.markedBad || p.record == nil || p.record.state() != Running {
		return
	}
	p.markedBad = true
	c.Log.Write(now, timeline.Event{Kind: "rollout_marked_bad", Entry: p.record.Order.Pool, Version: p.record.Order.Version, Member: member, Decision: "share_ended"})
	c.publish(now)
}

// HandleConfirmation prolongs the share of a change, or ends it if the candidate has found the version bad.
func (c *Controller) HandleConfirmation(now time.Time, data []byte) {
	a, err := decodeConfirmation(data)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.incarnation != c.Incarnation {
		return
	}
	for _, p := range c.pools {
		if p.record == nil || p.record.Change.ID != a.change {
			continue
		}
		if a.bad {
			c.markBad(now, p, "candidate")
		}
		p.confirm(c.startedAt.Add(a.sentAt))
		c.publish(now)
	}
}

// confirm records that the share was confirmed at a time.
func (p *poolState) confirm(at time.Time) {
	if at.After(p.confirmedAt) {
		p.confirmedAt = at
	}
}

// takeReports takes the results of all pools, adds them to the changes that this instance follows and sends them to the
// other candidates; the caller holds mu.
func (c *Controller) takeReports(now time.Time) {
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	var differences []version.Report
	candidates := c.Candidates(c.decider)
	for name, p := range c.pools {
		if p.counting == 0 {
			continue
		}
		diff := p.counter.TakeReport()
		if p.counted.ChangeID != diff.ChangeID {
			p.counted, p.reportedAt = version.Report{ChangeID: diff.ChangeID}, time.Time{}
		}
		p.counted.Merge(diff)
		if p.finished() || len(diff.Routes) == 0 && now.Sub(p.reportedAt) < reportInterval {
			continue
		}
		p.reportedAt = now
		sent, exposed := c.Pools.Exposure(name)
		r := &report{
			sender: c.Address, incarnation: c.Incarnation, sentAt: now.Sub(c.startedAt), bad: p.markedBad,
			countedFor: now.Sub(p.countingSince), sent: uint64(sent), exposed: uint64(exposed),
			results: version.Report{ChangeID: p.counted.ChangeID, Routes: slices.Clone(p.counted.Routes)},
		}
		if c.tracked(diff.ChangeID) == p {
			p.addReport(now, r)
			p.confirm(now)
		}
		if len(diff.Routes) > 0 && len(differences) < version.MaxReports {
			differences = append(differences, diff)
		}
		data := r.encode()
		for _, to := range candidates {
			if to.Format >= EvidenceFormat {
				c.Messenger.SendReport(data, to.Address)
			}
		}
	}
	if len(differences) == 0 {
		return
	}
	data := version.AppendReports(nil, differences)
	for _, to := range candidates {
		if to.Format < EvidenceFormat {
			c.Messenger.SendEvidence(data, to.Address)
		}
	}
}

// evaluate looks for proof that a version is bad, also at a candidate that does not decide; the caller holds mu.
func (c *Controller) evaluate(now time.Time, p *poolState) {
	if p.change == nil || p.record == nil || p.change.Plan.ID != p.record.Change.ID {
		return
	}
	if _, bad := p.change.EvaluateEvidence(now); bad {
		c.markBad(now, p, c.Instance)
	}
}
