package workload

import (
	"math"
	"time"

	"bambooferry.example/bambooferry/pkg/engine/policy"
)

// streamCost is the share by which each other stream lengthens a step. Steps of all streams are computed together, so that
// it is small: 0.0004 to 0.006 were measured.
const streamCost = 0.003

// Prediction is what a request would meet at a target.
type Prediction = policy.Prediction

// Predictor predicts what requests would meet at the targets of one pool; set its exported fields before the first call.
type Predictor struct {
	Backlog *Backlog
	// Memory returns the tokens that a target can keep, or 0 if that is not known; it may be nil.
	Memory func(target string) float64
}

// For returns a function that predicts for one request, to be used at once with policy.Candidate. The objective is the time
// within which the request is to have its first output, or 0.
func (p *Predictor) For(now time.Time, w Work, objective time.Duration) func(c *policy.Candidate) Prediction {
	return func(c *policy.Candidate) Prediction { return p.Predict(now, w, objective, c) }
}

// ForCopy returns a function that predicts for the backup of a request, as For does.
func (p *Predictor) ForCopy(now time.Time, w Work) func(c *policy.Candidate) Prediction {
	return func(c *policy.Candidate) Prediction { return p.PredictCopy(now, w, c) }
}

// Predict predicts what a request would meet at a target.
func (p *Predictor) Predict(now time.Time, w Work, objective time.Duration, c *policy.Candidate) Prediction {
	target, slots := c.Name, c.Slots
	there := p.Backlog.At(now, target)
	at := p.speedOf(now, target)
	r := Prediction{}
	if w.Read <= 0 && w.Call > 0 {
		wait := there.Write * at.step / float64(max(slots, 1))
		r = Prediction{FirstOutput: seconds(wait + w.Call.Seconds()*at.slowness), Fits: true}
		r.Finish = r.FirstOutput
	} else {
		reading := w.Read * at.read
		first := at.slotWait(there, slots) + there.Read*at.read + reading
		r = Prediction{
			FirstOutput: seconds(first), Finish: seconds(first + w.Write*at.stepBeside(there)),
			DelayToOthers: seconds(at.delay(there, reading)), Fits: p.fits(there, w, target),
		}
	}
	r.Late = objective > 0 && r.FirstOutput > objective
	return r
}

// PredictCopy predicts what the backup of a request would meet: a copy costs memory and no time, and if it is needed, its
// prompt need not be read again.
func (p *Predictor) PredictCopy(now time.Time, w Work, c *policy.Candidate) Prediction {
	target := c.Name
	there := p.Backlog.At(now, target)
	at := p.speedOf(now, target)
	writing := w.Write * at.stepBeside(there)
	first := at.slotWait(there, 0) + min(there.Read*at.read, writing/writeShareWhileReading)*(1-writeShareWhileReading)
	r := Prediction{FirstOutput: seconds(first), Finish: seconds(first + writing), Fits: p.fits(there, w, target)}
	if limit := p.memoryOf(target); limit > 0 {
		// Room that a copy takes is missing to the requests that are sent there.
		r.DelayToOthers = seconds(there.Memory / limit * writing)
	}
	return r
}

func (p *Predictor) memoryOf(target string) float64 {
	if p.Memory == nil {
		return 0
	}
	return p.Memory(target)
}

func (p *Predictor) fits(there Remaining, w Work, target string) bool {
	limit := p.memoryOf(target)
	return limit <= 0 || there.Memory+memoryOf(w) <= limit
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}

// maxSeconds bounds predictions, so that sums of them do not overflow.
const maxSeconds = 1e6

// speed holds the times in seconds that one target takes.
type speed struct{ slowness, read, step float64 }

func (p *Predictor) speedOf(now time.Time, target string) speed {
	s := max(p.Backlog.Pace.Slowness(now, target), minSlowness)
	return speed{slowness: s, read: s * p.Backlog.Pace.ReadTime().Seconds(), step: s * p.Backlog.Pace.StepTime().Seconds()}
}

// stepBeside returns the time of a step beside what is at the target.
func (v speed) stepBeside(there Remaining) float64 {
	return v.step * (1 + streamCost*float64(there.Streams))
}

// slotWait returns the time until a slot is free, if the streams end evenly over twice their mean time.
func (v speed) slotWait(there Remaining, slots int) float64 {
	excess := there.Streams + 1 - slots
	if slots <= 0 || excess <= 0 {
		return 0
	}
	n := float64(there.Streams)
	return 2 * there.Write / n * v.step * float64(excess) / (n + 1)
}

// delay returns the sum of the delays of the streams at the target while a prompt is read for a time: for each about that
// time, but not more than it still has to write. Only the mean of what they have to write is known; an exponential spread
// about it is assumed.
func (v speed) delay(there Remaining, reading float64) float64 {
	if there.Streams == 0 || there.Write <= 0 {
		return 0
	}
	n := float64(there.Streams)
	mean := there.Write / n * v.step
	return n * mean * -math.Expm1(-reading*(1-writeShareWhileReading)/mean)
}
