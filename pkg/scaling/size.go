package scaling

import (
	"math"
	"time"
)

const (
	// maxReadingShare bounds the share of time in which a target reads prompts, since reading delays its other streams, if
	// Plan.ReadingShare is not set; maxReadingShareLost is the bound while the largest data centre is lost.
	maxReadingShare     = 0.5
	maxReadingShareLost = 0.75
	// maxSlotShare is the share of a target's slots that is used: streams slow each other long before the slots are full.
	maxSlotShare = 0.25
	// maxGrowth bounds the growth that is expected within the boot time. A step in the demand looks like a steep trend
	// until it leaves the window of the rate.
	maxGrowth = 1.5
)

// Reasons for a wanted number, and with that for an order.
const (
	WhyReading     = "reading_time"
	WhyReadingLost = "reading_time_with_loss"
	WhyStreams     = "streams"
	WhyGrowth      = "growth"
	WhyLess        = "less_needed"
	WhyLimits      = "limits"
	// WhyAssumed stands for the number of targets that are present: nothing was ordered yet.
	WhyAssumed = "present_assumed"
)

// need is the number of targets that a demand takes in all data centres together, before the limits.
type need struct {
	total int
	why   string
	// growth is the factor by which the demand is expected to grow within the boot time.
	growth float64
}

// sizeFor returns the least number of targets in n data centres for which all rules hold. streams is the number of
// requests in progress to be provided for.
func sizeFor(d Demand, streams int, growth float64, n int) need {
	share, shareLost := maxReadingShare, maxReadingShareLost
	if d.readingShare > 0 {
		share, shareLost = d.readingShare, d.readingShare*maxReadingShareLost/maxReadingShare
	}
	reading := d.PerSecond * growth * d.ReadingTime.Seconds()
	slots := maxSlotShare * float64(max(d.Slots, 1))
	w := need{total: roundUp(reading / share), why: WhyReading, growth: growth}
	if byStreams := roundUp(float64(streams) * growth / slots); byStreams > w.total {
		w.total, w.why = byStreams, WhyStreams
	}
	if n > 1 {
		// If the only data centre is lost, no number is enough.
		if byLoss := int(reading / shareLost * float64(n) / float64(n-1)); byLoss > w.total {
			w.total, w.why = byLoss, WhyReadingLost
		}
		for float64(w.total-partOf(w.total, n, 0)) < reading/shareLost-roundingSlack {
			w.total, w.why = w.total+1, WhyReadingLost
		}
	}
	if growth > 1 {
		w.why = WhyGrowth
	}
	return w
}

// roundingSlack keeps rounding errors from adding a target.
const roundingSlack = 1e-6

func roundUp(x float64) int { return int(math.Ceil(x - roundingSlack)) }

// partOf returns the part of the data centre at an index in an even division between n.
func partOf(total, n, index int) int {
	part := total / n
	if index < total%n {
		part++
	}
	return part
}

// growthAhead returns the factor by which the rate grows until a target that is ordered now serves. The rate is as of the
// middle of its window.
func growthAhead(h *history, now time.Time, d Demand, boot time.Duration) float64 {
	slope, ok := h.trend(now, d.deviation())
	if !ok || d.PerSecond <= 0 || slope <= 0 {
		return 1
	}
	return min(1+slope*(boot+d.Window/2).Seconds()/d.PerSecond, maxGrowth)
}
