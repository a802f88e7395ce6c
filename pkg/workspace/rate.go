package workspace

import (
	"math"
	"time"
)

// rate estimates how fast an entry ends work and how long one request takes.
type rate struct {
	// perSecond is the cost ended in a second while the entry was busy.
	perSecond float64
	// service and spread are the mean and the mean deviation of one request's time at its target.
	service time.Duration
	spread  time.Duration
	// allowed is the mean time that requests have when they come.
	allowed time.Duration
	endedAt time.Time
	pending float64
	samples int
}

const (
	// rateWindow is the time over which the estimates forget.
	rateWindow = 5 * time.Second
	// rateStep is the shortest time over which a rate is taken, since ends come in bursts.
	rateStep = 200 * time.Millisecond
	// rateSamples is the number of ends before the estimates are used.
	rateSamples = 8
	// rateMemory is the number of ends over which service times are averaged.
	rateMemory = 64
	// allowedShare bounds the margin for slow requests to a part of what requests have. With more
	// of it, requests that mostly end in time would all be refused once the slowest do not.
	allowedShare = 0.9
	// wholeShare is the share from which the time of a whole request is computed from that of a
	// part; with less of it the time before the first token counts for too much.
	wholeShare = 0.5
	// cutGrowth is the part of its time that is added to that of a request of which less was done.
	cutGrowth = 4
)

// ended takes in the end of one request; busy tells that others were waiting.
func (r *rate) ended(now time.Time, cost float64, took time.Duration, busy bool) {
	r.samples++
	if r.samples == 1 {
		r.service, r.endedAt = took, now
		return
	}
	r.service += (took - r.service) / time.Duration(min(r.samples, rateMemory))
	r.spread += ((took - r.service).Abs() - r.spread) / time.Duration(min(r.samples, rateMemory))
	if !busy {
		r.restart(now)
		return
	}
	r.pending += cost
	d := now.Sub(r.endedAt)
	if d < rateStep {
		return
	}
	seen := r.pending / d.Seconds()
	if r.perSecond == 0 {
		r.perSecond = seen
	}
	a := 1 - math.Exp(-d.Seconds()/rateWindow.Seconds())
	r.perSecond += a * (seen - r.perSecond)
	r.endedAt, r.pending = now, 0
}

// restart begins the rate's next step, so that time in which the targets had nothing to do or had
// stopped does not count as slowness.
func (r *rate) restart(now time.Time) { r.endedAt, r.pending = now, 0 }

// whole estimates the time that all of a request would have taken; ok is false when the run tells nothing of it.
//
// A request that is cut off at its deadline has taken at most what was left at its start. Taken
// as a whole one, the estimates would never exceed that once the targets have become slower. A
// target that has stopped says nothing of how long requests take at one that runs: else an outage
// makes all requests look too late, and nothing is started for some time after it.
func (r *rate) whole(now time.Time, run RunResult) (took time.Duration, ok bool) {
	took = run.LastProgress.Sub(run.StartedAt)
	switch {
	case run.FractionDone >= 1:
		return took, true
	case run.FractionDone >= wholeShare:
		return time.Duration(float64(took) / run.FractionDone), true
	case run.FractionDone <= 0 || now.Sub(run.LastProgress) > r.service:
		return 0, false
	}
	return max(took, r.service) + took/cutGrowth, true
}

// wait estimates the time until work of the given cost has been started.
func (r *rate) wait(ahead float64) time.Duration {
	if r.samples < rateSamples || r.perSecond <= 0 {
		return 0
	}
	return time.Duration(ahead / r.perSecond * float64(time.Second))
}

// needs estimates the time within which nearly all requests end at their target.
//
// The mean alone would start work of which half ends after its deadline. An old
// estimate counts as none: while it keeps all work out, nothing ends that could correct it.
func (r *rate) needs(now time.Time) time.Duration {
	if r.samples < rateSamples || now.Sub(r.endedAt) > max(rateWindow, 2*r.service) {
		return 0
	}
	longest := r.service + 2*r.spread
	if r.allowed > 0 {
		longest = min(longest, max(r.service, time.Duration(allowedShare*float64(r.allowed))))
	}
	return longest
}

// allow takes in the time that a request has when it comes.
func (r *rate) allow(d time.Duration) {
	if r.allowed == 0 {
		r.allowed = d
	}
	r.allowed += (d - r.allowed) / rateMemory
}
