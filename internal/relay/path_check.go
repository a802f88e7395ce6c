package relay

import (
	"time"

	"bambooferry.example/bambooferry/pkg/link"
	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// otherPathChecks is the number of further targets to which connections are made once the path to one is lost, so that
// the loss of all paths to the pool is known early.
const otherPathChecks = 3

// checkSilentTarget has the path to a silent target checked, unless data came from its pool within some time. That shows
// whether it is a silence of the own links.
func (r *Relay) checkSilentTarget(now time.Time, t route.Target, quiet time.Duration, c *conn) {
	if c != nil && c.carrier == "" && now.Sub(r.Links.contactAt(t.Pool)) >= quiet && r.Links.lostSince(t).IsZero() && r.Links.takeCheck(now, t.Pool, link.TargetSilent) {
		r.checkPaths(now, t, []route.Target{t}, link.TargetSilent)
	}
}

// handleLostPath takes back what was believed about targets whose path was lost, and has other paths to the pool
// checked.
func (r *Relay) handleLostPath(now time.Time, t route.Target, since time.Time, wholePool bool) {
	r.Targets.forgetLosses(t, since, wholePool)
	if r.Links.takeCheck(now, t.Pool, link.PathLost) {
		r.checkPaths(now, t, r.Targets.othersOf(now, t, otherPathChecks), link.PathLost)
	}
}

// checkPaths makes new connections to targets, which shows the state of the paths, and keeps them for requests.
func (r *Relay) checkPaths(now time.Time, cause route.Target, list []route.Target, reason link.CheckReason) {
	r.Log.Write(now, timeline.Event{
		Kind: "path_check", Target: cause.ID, Entry: cause.Pool, Why: string(reason),
		Inputs: []timeline.Input{{Name: "targets", Value: int64(len(list))}, {Name: "contact_ms", Value: ageMillis(now, r.Links.contactAt(cause.Pool))}},
	})
	for _, t := range list {
		r.startProbe(func() {
			if c, err := r.targetConns.dial(r.probeContext, t); err == nil {
				r.targetConns.put(time.Now(), c, 0)
			}
		})
	}
}
