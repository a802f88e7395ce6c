package server

import (
	"time"

	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/version"
)

const (
	// firstPaceTokens is the number of tokens over which the pace of a stream is first measured.
	// laterPaceTokens is the number for the following measurements, which detect a version that slows down later.
	firstPaceTokens = 8
	laterPaceTokens = 64
)

// evidenceObserver turns the progress of one stream into evidence about its version.
//
// Only the stream's loop goroutine uses it.
type evidenceObserver struct {
	startedAt         time.Time
	intervalStart     time.Time
	intervalTokens    int
	tokensPerInterval int
	failed            bool
}

// observe processes one action of the stream before the action is carried out.
func (o *evidenceObserver) observe(now time.Time, st *stream, a generation.Action) {
	r := version.Result{}
	switch a.Kind {
	case generation.Begin:
		o.intervalStart, o.intervalTokens = time.Time{}, 0
		if o.startedAt.IsZero() {
			o.startedAt, o.tokensPerInterval = now, firstPaceTokens
		}
		if !failureReasons[a.Reason] || o.failed {
			return
		}
		o.failed, r.Ended, r.Failed = true, true, true
		if a.Reason == "connection_lost" || a.Reason == "target_lost" || a.Reason == "target_unreachable" {
			r.LostTarget = st.core.Target
		}
	case generation.Deliver:
		if !o.measurePace(now, a.Position, &r) {
			return
		}
	case generation.Finish:
		if o.failed {
			return
		}
		r.Ended = true
	case generation.Fail:
		if o.failed {
			return
		}
		o.failed, r.Ended, r.Failed = true, true, true
	default:
		return
	}
	r.Version, r.Route = st.engineRequest.Version, st.request.URL.Path+"|"+st.server.DataCentre
	st.server.Versions.Observe(now, st.entry, r)
}

// failureReasons are the reasons of attempts that follow the failure of an earlier attempt.
var failureReasons = map[string]bool{
	"connection_lost": true, "target_lost": true, "target_unreachable": true, "record_missing": true, "target_refused": true,
	"silent": true, "silent_again": true, "position_mismatch": true, "end_mismatch": true,
}

// measurePace measures the time to the first token, and the mean time between tokens once enough have arrived.
func (o *evidenceObserver) measurePace(now time.Time, position uint64, r *version.Result) bool {
	if position == 0 && !o.failed {
		r.FirstToken = max(now.Sub(o.startedAt), 1)
	}
	if o.intervalStart.IsZero() {
		o.intervalStart, o.intervalTokens = now, 0
		return r.FirstToken > 0
	}
	o.intervalTokens++
	if o.intervalTokens < o.tokensPerInterval {
		return false
	}
	r.TokenInterval = max(now.Sub(o.intervalStart)/time.Duration(o.intervalTokens), 1)
	o.intervalStart, o.intervalTokens, o.tokensPerInterval = now, 0, laterPaceTokens
	return true
}

// restartInterval restarts the measurement, so that the time in which the caller did not read is not counted.
func (o *evidenceObserver) restartInterval() { o.intervalStart = time.Time{} }
