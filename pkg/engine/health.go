package engine

import (
	"slices"
	"time"
)

const (
	// averageWindow is the number of results that the moving averages cover.
	averageWindow = 16
	// slowRatio is the ratio to the pool's median above which a target counts as slow.
	slowRatio = 1.5
	// minWeight keeps a few requests going to a bad target, so that its recovery is noticed.
	minWeight = 0.05
	// maxLowWeightShare bounds the share of the pool whose weight may be below healthyWeight.
	maxLowWeightShare = 0.5
	// healthyWeight is the weight below which a target counts as unhealthy.
	healthyWeight = 0.5
	// rampTime is the time over which a recovered target returns to its full share of requests.
	rampTime = 5 * time.Second
	// minDownTime and maxDownTime bound the time between attempts at an unreachable target.
	minDownTime = 200 * time.Millisecond
	maxDownTime = 5 * time.Second
)

// RequestResult is the result of one request at a target.
type RequestResult struct {
	// Unreachable is set when no connection could be made or the connection was lost.
	Unreachable bool
	// Failed is set when the target responded with an error.
	Failed bool
	// Cancelled is set when the instance ended the request, which is no evidence about the target.
	Cancelled bool
	// FirstTokenRatio is the time to the first token divided by the expected time; 0 if there was
	// no token.
	FirstTokenRatio float64
	// MeanTokenGap is the mean time between tokens; 0 if there were fewer than two.
	MeanTokenGap time.Duration
}

// health summarises the recent results of one target.
type health struct {
	errorRate       float64
	firstTokenRatio float64
	tokenGapSeconds float64
	downTime        time.Duration
	downUntil       time.Time
	lostAt          time.Time
	recoveredAt     time.Time
}

func movingAverage(old, v float64) float64 {
	if old == 0 {
		return v
	}
	return old + (v-old)/averageWindow
}

func (h *health) record(now time.Time, r RequestResult) {
	if r.Unreachable {
		h.downTime = min(max(2*h.downTime, minDownTime), maxDownTime)
		h.downUntil, h.lostAt = now.Add(h.downTime), now
		h.errorRate += (1 - h.errorRate) / averageWindow
		return
	}
	if h.downTime > 0 {
		h.downTime, h.recoveredAt = 0, now
	}
	failure := 0.0
	if r.Failed {
		failure = 1
	}
	h.errorRate += (failure - h.errorRate) / averageWindow
	if r.FirstTokenRatio > 0 {
		h.firstTokenRatio = movingAverage(h.firstTokenRatio, r.FirstTokenRatio)
	}
	if r.MeanTokenGap > 0 {
		h.tokenGapSeconds = movingAverage(h.tokenGapSeconds, r.MeanTokenGap.Seconds())
	}
}

// weight returns the target's weight before capLowWeights is applied.
func (h *health) weight(now time.Time, medianFirst, medianGap float64) float64 {
	w := (1 - h.errorRate) * (1 - h.errorRate)
	for _, v := range [][2]float64{{h.firstTokenRatio, medianFirst}, {h.tokenGapSeconds, medianGap}} {
		if v[1] > 0 && v[0] > slowRatio*v[1] {
			w *= slowRatio * v[1] / v[0]
		}
	}
	if since := now.Sub(h.recoveredAt); !h.recoveredAt.IsZero() && since < rampTime {
		w *= 0.1 + 0.9*since.Seconds()/rampTime.Seconds()
	}
	return max(w, minWeight)
}

// capLowWeights raises weights so that at most maxLowWeightShare of the pool is below
// healthyWeight.
//
// When most of a pool looks bad the cause is common to all, and sending all traffic to the few
// others would overload them.
func capLowWeights(weights []float64) {
	if !slices.ContainsFunc(weights, func(w float64) bool { return w < healthyWeight }) {
		return
	}
	order := make([]int, len(weights))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		switch {
		case weights[a] < weights[b]:
			return -1
		case weights[a] > weights[b]:
			return 1
		}
		return a - b
	})
	for _, i := range order[int(float64(len(order))*maxLowWeightShare):] {
		weights[i] = max(weights[i], healthyWeight)
	}
}

func median(list []float64) float64 {
	list = slices.DeleteFunc(list, func(v float64) bool { return v == 0 })
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}
