package server

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"bambooferry.example/bambooferry/pkg/version"
)

// currentVersion returns the version that the call goes to if it is sent now.
//
// It is evaluated when a call is sent and not when it arrives, since the new version
// may be found bad while the call waits for its claim.
func (s *Server) currentVersion(c *call) string { return s.VersionFor(time.Now(), c.entry, c.id) }

// recordVersionEvidence turns one attempt of a call into evidence about its version.
//
// An attempt that this instance or the caller aborted is no evidence, and neither
// is one that was never sent.
func (s *Server) recordVersionEvidence(ctx context.Context, c *call, sentVersion, target string, took time.Duration, status int, err *sendError) {
	r := version.Result{Version: sentVersion, Route: c.routeLabel() + "|" + s.DataCentre, Ended: true}
	switch {
	case err == nil && status < http.StatusInternalServerError:
		r.FirstToken = max(took, 1)
	case err == nil:
		r.Failed = true
	case errors.Is(ctx.Err(), context.Canceled), err.NotRun && (err.Code == "deadline" || err.Code == "invalid_call"):
		return
	default:
		r.Failed = true
		if err.Code == "target_unreachable" || err.Code == "target_crashed" || err.Code == "answer_lost" {
			r.LostTarget = target
		}
	}
	s.Versions.Observe(time.Now(), c.entry, r)
}

// routeLabel returns the method and the first segment of the path; the rest usually identifies a single booking.
func (c *call) routeLabel() string {
	first, _, _ := strings.Cut(strings.TrimPrefix(c.path, "/"), "/")
	return c.method + " /" + first
}
