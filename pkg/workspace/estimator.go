package workspace

import (
	"math"
	"time"
)

// estimator estimates the rate at which an entry completes work and the duration of one request.
type estimator struct {
	// costRate is the cost completed per second while the entry was busy.
	costRate float64
	// serviceTime and serviceDeviation are the mean and the mean deviation of one request's time at its target.
	serviceTime      time.Duration
	serviceDeviation time.Duration
	// meanAllowedTime is the mean time between a request's arrival and its deadline.
	meanAllowedTime time.Duration
	updatedAt       time.Time
	pendingCost     float64
	samples         int
}

const (
	// rateWindow is the time constant with which old rates decay.
	rateWindow = 5 * time.Second
	// minRateStep is the shortest time over which a rate is measured, since requests end in bursts.
	minRateStep = 200 * time.Millisecond
	// minSamples is the number of ended requests before the estimates are used.
	minSamples = 8
	// averagingSamples is the number of requests over which times are averaged.
	averagingSamples = 64
	// maxTimeShare limits the margin for slow requests to a share of the time that requests have. With a
	// larger share, all requests would be refused once the slowest miss their deadline, though most meet it.
	maxTimeShare = 0.9
	// minScaledFraction is the completed fraction from which the time of a whole request is extrapolated;
	// below it the time before the first token distorts the result too much.
	minScaledFraction = 0.5
	// partialRunDivisor sets the margin, took/partialRunDivisor, added for a run below minScaledFraction.
	partialRunDivisor = 4
)

// recordEnd updates the estimates with the end of one request; busy states that others were waiting.
func (e *estimator) recordEnd(now time.Time, cost float64, took time.Duration, busy bool) {
	e.samples++
	if e.samples == 1 {
		e.serviceTime, e.updatedAt = took, now
		return
	}
	e.serviceTime += (took - e.serviceTime) / time.Duration(min(e.samples, averagingSamples))
	e.serviceDeviation += ((took - e.serviceTime).Abs() - e.serviceDeviation) / time.Duration(min(e.samples, averagingSamples))
	if !busy {
		e.restartStep(now)
		return
	}
	e.pendingCost += cost
	d := now.Sub(e.updatedAt)
	if d < minRateStep {
		return
	}
	measured := e.pendingCost / d.Seconds()
	if e.costRate == 0 {
		e.costRate = measured
	}
	a := 1 - math.Exp(-d.Seconds()/rateWindow.Seconds())
	e.costRate += a * (measured - e.costRate)
	e.updatedAt, e.pendingCost = now, 0
}

// restartStep starts a new step of the rate, so that time in which the targets were idle or stopped
// does not lower the rate.
func (e *estimator) restartStep(now time.Time) { e.updatedAt, e.pendingCost = now, 0 }

// wholeDuration estimates how long the whole request would have taken; ok is false if the run allows no estimate.
//
// A request that is cut off at its deadline has taken at most the time that was left at its start. If
// this counted as a whole request, the estimates would never exceed that time once the targets have
// become slower. A target that has stopped says nothing about the duration of requests at a running
// one: otherwise an outage makes all requests look too late, and nothing is started for some time after it.
func (e *estimator) wholeDuration(now time.Time, run RunResult) (took time.Duration, ok bool) {
	took = run.LastProgress.Sub(run.StartedAt)
	switch {
	case run.FractionDone >= 1:
		return took, true
	case run.FractionDone >= minScaledFraction:
		return time.Duration(float64(took) / run.FractionDone), true
	case run.FractionDone <= 0 || now.Sub(run.LastProgress) > e.serviceTime:
		return 0, false
	}
	return max(took, e.serviceTime) + took/partialRunDivisor, true
}

// waitTime estimates the time until work of the given cost has been started.
func (e *estimator) waitTime(cost float64) time.Duration {
	if e.samples < minSamples || e.costRate <= 0 {
		return 0
	}
	return time.Duration(cost / e.costRate * float64(time.Second))
}

// serviceTimeBound estimates the time within which nearly all requests end at their target.
//
// With the mean alone, half of the started work would end after its deadline. A stale
// estimate is not used: while it causes all work to be refused, no request ends that could correct it.
func (e *estimator) serviceTimeBound(now time.Time) time.Duration {
	if e.samples < minSamples || now.Sub(e.updatedAt) > max(rateWindow, 2*e.serviceTime) {
		return 0
	}
	longest := e.serviceTime + 2*e.serviceDeviation
	if e.meanAllowedTime > 0 {
		longest = min(longest, max(e.serviceTime, time.Duration(maxTimeShare*float64(e.meanAllowedTime))))
	}
	return longest
}

// recordAllowedTime updates the mean time that requests have on arrival.
func (e *estimator) recordAllowedTime(d time.Duration) {
	if e.meanAllowedTime == 0 {
		e.meanAllowedTime = d
	}
	e.meanAllowedTime += (d - e.meanAllowedTime) / averagingSamples
}
