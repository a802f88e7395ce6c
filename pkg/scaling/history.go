package scaling

import (
	"math"
	"slices"
	"time"
)

const (
	// trendTime is the time over which the trend of the rate is taken.
	trendTime = 10 * time.Second
	// peakTime is the time before that with whose highest rate the present one is compared: two periods of the waves
	// that loads usually have (11 s), whose rising half is no growth.
	peakTime = 22 * time.Second
	// newHigh is the least share by which the present rate must exceed that one, and newHighDeviations the number of
	// standard deviations of a count of random arrivals.
	newHigh           = 0.05
	newHighDeviations = 3
	// streamsTime is the time over which streamsQuantile of the requests in progress is taken.
	streamsTime     = 20 * time.Second
	streamsQuantile = 0.95
	// holdTime is how long less must have been needed before a number goes down. It is longer than the period of the
	// usual waves (11 s), in whose lower half less is needed for 5.5 s.
	holdTime = 12 * time.Second
)

// sample is what was observed in one step.
type sample struct {
	at        time.Time
	perSecond float64
	streams   int
	reading   time.Duration
	// disturbed is set while a data centre is being lost, which makes requests count twice and delays events.
	disturbed bool
	need      need
}

// history holds the samples of the last seconds, the latest one last.
type history struct{ samples []sample }

func (h *history) add(s sample) {
	h.samples = append(h.samples, s)
	oldest := s.at.Add(-trendTime - peakTime)
	h.samples = slices.DeleteFunc(h.samples, func(s sample) bool { return s.at.Before(oldest) })
}

// since returns the samples since a time.
func (h *history) since(at time.Time) []sample {
	i, _ := slices.BinarySearchFunc(h.samples, at, func(s sample, at time.Time) int { return s.at.Compare(at) })
	return h.samples[i:]
}

// covers reports whether the samples reach back for a time.
func (h *history) covers(now time.Time, d time.Duration) bool {
	return len(h.samples) > 0 && !h.samples[0].at.After(now.Add(-d))
}

// trend returns the growth of the rate a second within the last trendTime by a linear fit; ok is false if the samples do
// not reach back for another holdTime, or the rate was about as high before.
// deviation is the relative standard deviation of the rate.
func (h *history) trend(now time.Time, deviation float64) (slope float64, ok bool) {
	if !h.covers(now, trendTime+holdTime) {
		return 0, false
	}
	recent := h.since(now.Add(-trendTime))
	latest := recent[len(recent)-1].perSecond / (1 + max(newHigh, newHighDeviations*deviation))
	for i := range h.samples[:len(h.samples)-len(recent)] {
		if h.samples[i].perSecond >= latest {
			return 0, false
		}
	}
	meanAt, mean := 0.0, 0.0
	for _, s := range recent {
		meanAt, mean = meanAt+s.at.Sub(now).Seconds(), mean+s.perSecond
	}
	meanAt, mean = meanAt/float64(len(recent)), mean/float64(len(recent))
	product, square := 0.0, 0.0
	for _, s := range recent {
		x := s.at.Sub(now).Seconds() - meanAt
		product, square = product+x*(s.perSecond-mean), square+x*x
	}
	if square == 0 {
		return 0, false
	}
	return product / square, true
}

// streams returns the number of requests in progress that was rarely exceeded.
func (h *history) streams(now time.Time) int {
	return quantile(h.undisturbed(now), streamsQuantile, func(s sample) int { return s.streams })
}

// readingTime returns the median of the reading times.
func (h *history) readingTime(now time.Time) time.Duration {
	return quantile(h.undisturbed(now), 0.5, func(s sample) time.Duration { return s.reading })
}

// undisturbed returns the samples within streamsTime in which no data centre was being lost, or all if there are none.
func (h *history) undisturbed(now time.Time) []sample {
	all := h.since(now.Add(-streamsTime))
	var list []sample
	for _, s := range all {
		if !s.disturbed {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		return all
	}
	return list
}

func quantile[T int | time.Duration](list []sample, q float64, value func(s sample) T) T {
	if len(list) == 0 {
		return 0
	}
	values := make([]T, 0, len(list))
	for _, s := range list {
		values = append(values, value(s))
	}
	slices.Sort(values)
	return values[max(int(math.Ceil(q*float64(len(values))))-1, 0)]
}

// mostNeeded returns the largest number that was needed within holdTime.
func (h *history) mostNeeded(now time.Time) int {
	most := 0
	for _, s := range h.since(now.Add(-holdTime)) {
		most = max(most, s.need.total)
	}
	return most
}
