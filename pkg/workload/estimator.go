package workload

import (
	"math"
	"time"

	"bambooferry.example/bambooferry/pkg/engine"
)

const (
	defaultOutputShare = 0.8 // of the declared maximum
	defaultOutput      = 256 // output units if nothing is declared
	defaultCall        = 20 * time.Millisecond
	// defaultRange is the ratio of the quantiles 0 and 1 that is assumed without history.
	defaultRange = 16

	// The spreads are logarithms of the ratio of the quantiles 0.9 and 0.1. A hint that has not proved right is worth
	// less than the declared maximum.
	defaultSpread     = 2
	defaultHintSpread = 3

	keyGeneration   = 64
	routeGeneration = 256
	hintUnit        = 1024
)

// Estimator learns what requests need. The zero value is ready for use.
type Estimator struct {
	keys, routes cache
	// all holds the histories of all streams (0) and of all calls (1).
	all [2]history
}

// prediction is a value with the spread of what it was learned from.
type prediction struct{ value, spread float64 }

// Estimate returns the expected work of a request: the median of what similar ones needed.
func (e *Estimator) Estimate(now time.Time, r Request) Work { return e.Quantile(now, r, 0.5) }

// Quantile returns the work that a share q of requests such as r does not exceed. A request that looks like a call gets an
// output too if streams have ended at its route, since headers may lack the numbers of tokens. NaN is taken as 0.5.
func (e *Estimator) Quantile(_ time.Time, r Request, q float64) Work {
	if math.IsNaN(q) {
		q = 0.5
	}
	q = min(max(q, 0), 1)
	if !isCall(r) {
		return Work{Read: float64(max(r.PromptTokens, 0)), Write: e.output(r, q)}
	}
	w := Work{Call: e.call(r, q)}
	if e.routes.get(routeKey(r, false)) != nil {
		w.Write = e.output(r, q)
	}
	return w
}

// RecordOutput records the output of a stream that ended whole.
func (e *Estimator) RecordOutput(now time.Time, r Request, tokens int) {
	if tokens < 0 {
		return
	}
	ratio := int64(0)
	if r.OutputHint > 0 {
		ratio = int64(min(max(float64(tokens)/float64(r.OutputHint)*hintUnit, 1), maxValue))
	}
	e.record(now, r, false, int64(max(tokens, 1)), ratio)
}

// RecordCall records the time that a call took at a target of the given slowness, which is taken as usual if it is out of
// range.
func (e *Estimator) RecordCall(now time.Time, r Request, took time.Duration, slowness float64) {
	if took <= 0 {
		return
	}
	if !engine.ValidSlowness(slowness) {
		slowness = 1
	}
	e.record(now, r, true, int64(float64(took)/float64(time.Microsecond)/slowness), 0)
}

func isCall(r Request) bool { return r.PromptTokens <= 0 && r.OutputTokens <= 0 && r.OutputHint <= 0 }

func (e *Estimator) record(now time.Time, r Request, call bool, value, hintRatio int64) {
	e.total(call).values.record(now, value, routeGeneration)
	route := e.routes.getOrAdd(routeKey(r, call), maxRoutes)
	key := e.keys.getOrAdd(fullKey(r, call), maxKeys)
	route.values.record(now, value, routeGeneration)
	key.values.record(now, value, keyGeneration)
	if hintRatio == 0 {
		return
	}
	route.recordHint(now, hintRatio, routeGeneration)
	key.recordHint(now, hintRatio, keyGeneration)
}

func (h *history) recordHint(now time.Time, ratio int64, size int) {
	if h.hintRatios == nil {
		h.hintRatios = &distribution{}
	}
	h.hintRatios.record(now, ratio, size)
}

func (e *Estimator) total(call bool) *history {
	if call {
		return &e.all[1]
	}
	return &e.all[0]
}

func (e *Estimator) call(r Request, q float64) time.Duration {
	p := prediction{float64(defaultCall/time.Microsecond) * math.Pow(defaultRange, q-0.5), defaultSpread}
	route, key := e.routes.get(routeKey(r, true)), e.keys.get(fullKey(r, true))
	p = e.refine(p, q, e.total(true), route, key)
	return time.Duration(p.value * float64(time.Microsecond))
}

// output predicts from the outputs of similar requests, or from the hint if outputs have kept closer to it.
func (e *Estimator) output(r Request, q float64) float64 {
	route, key := e.routes.get(routeKey(r, false)), e.keys.get(fullKey(r, false))
	p := prediction{defaultOutputMedian(r) * math.Pow(defaultRange, q-0.5), defaultSpread}
	p = e.refine(p, q, e.total(false), route, key)
	if r.OutputHint > 0 {
		hinted := prediction{hintUnit, defaultHintSpread}
		for _, h := range []*history{route, key} {
			if h != nil && h.hintRatios != nil {
				hinted = hinted.refine(h.hintRatios, q)
			}
		}
		if hinted.spread < p.spread {
			p.value = hinted.value / hintUnit * float64(r.OutputHint)
		}
	}
	if r.OutputTokens > 0 {
		return min(p.value, float64(r.OutputTokens))
	}
	return p.value
}

func defaultOutputMedian(r Request) float64 {
	switch {
	case r.OutputTokens > 0:
		return defaultOutputShare * float64(r.OutputTokens)
	case r.OutputHint > 0:
		return float64(r.OutputHint)
	}
	return defaultOutput
}

// refine replaces a prediction by those of the histories, from the most general to the most specific.
func (e *Estimator) refine(p prediction, q float64, levels ...*history) prediction {
	for _, h := range levels {
		if h != nil {
			p = p.refine(&h.values, q)
		}
	}
	return p
}

// refine moves a prediction towards a distribution, entirely once that has enough values. Values are mixed by their
// logarithms, since those of different routes differ by factors.
func (p prediction) refine(d *distribution, q float64) prediction {
	weight := min(float64(d.total())/enoughValues, 1)
	if weight == 0 {
		return p
	}
	value := max(d.quantile(q), 1)
	return prediction{
		math.Exp((1-weight)*math.Log(max(p.value, 1)) + weight*math.Log(value)),
		(1-weight)*p.spread + weight*d.spread(),
	}
}
