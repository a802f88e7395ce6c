package relay

import (
	"net/netip"
	"slices"
	"time"

	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// listedTarget is a target with an entry.
type listedTarget struct {
	id      string
	leaving bool
}

const (
	// unconfirmedReportsPerSecond and unconfirmedReportBurst bound the reports of one instance on losses without a verdict: an instance
	// whose links are cut loses many requests at once.
	unconfirmedReportsPerSecond = 1
	unconfirmedReportBurst      = 3
	// confirmedRepeats is how often the verdict on a loss is sent again, and maxConfirmedReports bounds those that are.
	confirmedRepeats    = 2
	maxConfirmedReports = 64
)

// confirmedReport is a verdict on a loss that is sent again.
type confirmedReport struct {
	loss booking.UnconfirmedCrash
	left int
}

// recordUnconfirmed records that a request was lost at a target that may have crashed, until the list of targets shows whether it
// has.
func (r *Relay) recordUnconfirmed(now time.Time, a *attempt, lostAt time.Time, refused bool) {
	loss := booking.UnconfirmedCrash{
		Target: a.target.ID, Address: a.target.Address, LostAt: lostAt, StartedAt: a.startedAt,
		Request: a.req.digest(), Parts: a.suspectParts(lostAt), Refused: refused, Own: true,
	}
	if !r.Crashes.recordUnconfirmed(now, loss) {
		return
	}
	message := &crashMessage{Digest: loss.Request, Target: loss.Target, Unconfirmed: &unconfirmedMessage{Address: loss.Address, Refused: refused, Parts: loss.Parts}}
	r.startProbe(func() { r.reportCrash(a, lostAt, message) })
}

// recordUnconfirmed records a loss and reports whether the other instances are to receive it at once: after a refusal, since the verdict
// is due soon. A target that is not listed yet can't be told from one that has been replaced.
func (c *CrashTracker) recordUnconfirmed(now time.Time, loss booking.UnconfirmedCrash) (report bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fate(&loss) != booking.TargetListed {
		return false
	}
	c.parts.init()
	c.unconfirmed.Record(now, loss)
	return loss.Own && loss.Refused && c.parts.unconfirmedLimiter.AllowN(now, 1)
}

// ObserveTargets applies the targets of all pools that are listed now: a target that has ended without leaving has crashed.
func (c *CrashTracker) ObserveTargets(now time.Time, pools map[string][]route.Target) {
	var confirmed []booking.UnconfirmedCrash
	withLock(&c.mu, func() {
		c.pools, c.targets = pools, nil
		if !c.unconfirmed.Empty() {
			confirmed = c.unconfirmed.Confirm(now, c.fate)
		}
	})
	for i := range confirmed {
		c.countConfirmed(now, &confirmed[i])
	}
}

// targetsAt returns the listed targets at an address; the caller holds mu. The index is only needed after losses.
func (c *CrashTracker) targetsAt(address netip.AddrPort) []listedTarget {
	if c.targets == nil {
		c.targets = map[netip.AddrPort][]listedTarget{}
		for _, list := range c.pools {
			for i := range list {
				t := &list[i]
				c.targets[t.Address] = append(c.targets[t.Address], listedTarget{id: t.ID, leaving: t.Leaving})
			}
		}
	}
	return c.targets[address]
}

// fate returns what the list shows about the target of a loss; the caller holds mu.
func (c *CrashTracker) fate(loss *booking.UnconfirmedCrash) booking.TargetFate {
	list := c.targetsAt(loss.Address)
	i := slices.IndexFunc(list, func(t listedTarget) bool { return t.id == loss.Target })
	switch {
	case i >= 0 && list[i].leaving:
		return booking.TargetLeaving
	case i >= 0:
		return booking.TargetListed
	case len(list) > 0:
		return booking.TargetReplaced
	}
	return booking.TargetGone
}

// countConfirmed counts a loss against its request and its parts, and reports an own one.
func (c *CrashTracker) countConfirmed(now time.Time, loss *booking.UnconfirmedCrash) {
	marked := c.recordCrash(loss.LostAt, loss.StartedAt, loss.Target, loss.Request)
	report := false
	withLock(&c.mu, func() {
		if len(loss.Parts) > 0 {
			c.parts.detector.RecordCrash(now, booking.PartCrash{Target: loss.Target, At: loss.LostAt, Request: loss.Request, Parts: loss.Parts})
		}
		if report = loss.Own && c.parts.limiter.AllowN(now, 1); report {
			c.confirmed = append(c.confirmed[max(len(c.confirmed)-maxConfirmedReports+1, 0):], confirmedReport{*loss, confirmedRepeats})
		}
	})
	if report {
		c.broadcastConfirmed(now, loss)
	}
	c.decide(now)
	if c.Log == nil {
		return
	}
	c.Log.Write(now, timeline.Event{
		Kind: "target_crash_confirmed", Target: loss.Target, Why: "entry_ended",
		Decision: map[bool]string{true: "refuse " + loss.Request, false: "counted"}[marked], Inputs: []timeline.Input{{Name: "lost_ms", Value: now.Sub(loss.LostAt).Milliseconds()}},
	})
}

func (c *CrashTracker) broadcastConfirmed(now time.Time, loss *booking.UnconfirmedCrash) {
	c.broadcast(&crashMessage{
		Digest: loss.Request, Certain: true, Target: loss.Target, Parts: loss.Parts,
		AgeMillis: now.Sub(loss.LostAt).Milliseconds(), AttemptAgeMillis: now.Sub(loss.StartedAt).Milliseconds(),
	})
}

// repeatConfirmed sends the latest verdicts on own losses again.
func (c *CrashTracker) repeatConfirmed(now time.Time) {
	var due []confirmedReport
	withLock(&c.mu, func() {
		due = slices.Clone(c.confirmed)
		for i := range c.confirmed {
			c.confirmed[i].left--
		}
		c.confirmed = slices.DeleteFunc(c.confirmed, func(r confirmedReport) bool { return r.left <= 0 })
	})
	for i := range due {
		c.broadcastConfirmed(now, &due[i].loss)
	}
}
