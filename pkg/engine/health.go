package engine

import (
	"slices"
	"time"
)

const (
	// healthMemory is the number of results over which averages are taken.
	healthMemory = 16
	// slowRatio is the ratio to the pool's median above which a target counts as slow.
	slowRatio = 1.5
	// lowestWeight keeps a trickle of probes going to a bad target.
	lowestWeight = 0.05
	// shunnedShare bounds the share of the pool whose weight may be low.
	shunnedShare = 0.5
	// healthyWeight is the weight below which a target counts as shunned.
	healthyWeight = 0.5
	// rampTime is the time over which a target that returns gets its full share.
	rampTime = 5 * time.Second
	// downFirst and downMost bound the time between attempts at a target that cannot be reached.
	downFirst = 200 * time.Millisecond
	downMost  = 5 * time.Second
)

// RequestResult is how one request went at a target.
type RequestResult struct {
	// Unreachable is set when no connection could be made or it was lost.
	Unreachable bool
	// Failed is set when the target answered with an error.
	Failed bool
	// Cancelled is set when the instance ended the work, which tells nothing of the target.
	Cancelled bool
	// FirstTokenRatio is the time to the first token divided by what was expected; 0 if there was none.
	FirstTokenRatio float64
	// MeanTokenGap is the mean time between tokens; 0 if there were fewer than two.
	MeanTokenGap time.Duration
}

// health is what recent results tell of one target.
type health struct {
	errors    float64
	first     float64
	gap       float64
	down      time.Duration
	downUntil time.Time
	upAt      time.Time
}

func average(old, v float64) float64 {
	if old == 0 {
		return v
	}
	return old + (v-old)/healthMemory
}

func (h *health) take(now time.Time, r RequestResult) {
	if r.Unreachable {
		h.down = min(max(2*h.down, downFirst), downMost)
		h.downUntil = now.Add(h.down)
		h.errors += (1 - h.errors) / healthMemory
		return
	}
	if h.down > 0 {
		h.down, h.upAt = 0, now
	}
	bad := 0.0
	if r.Failed {
		bad = 1
	}
	h.errors += (bad - h.errors) / healthMemory
	if r.FirstTokenRatio > 0 {
		h.first = average(h.first, r.FirstTokenRatio)
	}
	if r.MeanTokenGap > 0 {
		h.gap = average(h.gap, r.MeanTokenGap.Seconds())
	}
}

// weight returns the target's weight before the pool's cap.
func (h *health) weight(now time.Time, medianFirst, medianGap float64) float64 {
	w := (1 - h.errors) * (1 - h.errors)
	for _, v := range [][2]float64{{h.first, medianFirst}, {h.gap, medianGap}} {
		if v[1] > 0 && v[0] > slowRatio*v[1] {
			w *= slowRatio * v[1] / v[0]
		}
	}
	if since := now.Sub(h.upAt); !h.upAt.IsZero() && since < rampTime {
		w *= 0.1 + 0.9*since.Seconds()/rampTime.Seconds()
	}
	return max(w, lowestWeight)
}

// capShunned raises weights so that at most a share of the pool is shunned.
//
// When most of a pool looks bad the cause is common to all, and sending what is
// left to the few others would overload them.
func capShunned(weights []float64) {
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
	for _, i := range order[int(float64(len(order))*shunnedShare):] {
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
