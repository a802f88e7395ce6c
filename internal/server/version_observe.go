package server

import (
	"time"

	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/version"
)

const (
	// paceTokens is the number of tokens over which the first pace of a stream is taken,
	// paceAgain that for later ones, so that a version that slows down later shows it.
	paceTokens = 8
	paceAgain  = 64
)

// observer turns the course of one stream into evidence about its version.
//
// It belongs to the stream's loop goroutine.
type observer struct {
	begun  time.Time
	mark   time.Time
	tokens int
	wanted int
	failed bool
}

// see takes in one action of the stream before it is carried out.
func (o *observer) see(now time.Time, st *stream, a generation.Action) {
	r := version.Result{}
	switch a.Kind {
	case generation.Begin:
		o.mark, o.tokens = time.Time{}, 0
		if o.begun.IsZero() {
			o.begun, o.wanted = now, paceTokens
		}
		if !lossReasons[a.Reason] || o.failed {
			return
		}
		o.failed, r.Ended, r.Failed = true, true, true
		if a.Reason == "connection_lost" || a.Reason == "target_lost" || a.Reason == "target_unreachable" {
			r.LostTarget = st.core.Target
		}
	case generation.Deliver:
		if !o.pace(now, a.Position, &r) {
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
	r.Version, r.Route = st.wire.Version, st.request.URL.Path+"|"+st.server.DataCentre
	st.server.Versions.Observe(now, st.entry, r)
}

// lossReasons are the reasons of attempts that follow the failure of another.
var lossReasons = map[string]bool{
	"connection_lost": true, "target_lost": true, "target_unreachable": true, "record_missing": true, "target_refused": true,
	"silent": true, "silent_again": true, "position_mismatch": true, "end_mismatch": true,
}

// pace measures the time to the first token, and between tokens once enough have come.
func (o *observer) pace(now time.Time, position uint64, r *version.Result) bool {
	if position == 0 && !o.failed {
		r.FirstToken = max(now.Sub(o.begun), 1)
	}
	if o.mark.IsZero() {
		o.mark, o.tokens = now, 0
		return r.FirstToken > 0
	}
	o.tokens++
	if o.tokens < o.wanted {
		return false
	}
	r.TokenInterval = max(now.Sub(o.mark)/time.Duration(o.tokens), 1)
	o.mark, o.tokens, o.wanted = now, 0, paceAgain
	return true
}

// rest forgets the time in which the caller did not read.
func (o *observer) rest() { o.mark = time.Time{} }
