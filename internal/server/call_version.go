package server

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"bambooferry.example/bambooferry/pkg/version"
)

// versionOf returns the version that the call goes to if it is sent now.
//
// It is asked when a call is sent and not when it arrives, since a call may wait
// for its claim while the new version is found bad.
func (s *Server) versionOf(c *call) string { return s.VersionFor(time.Now(), c.entry, c.id) }

// observeCall turns one sending of a call into evidence about its version.
//
// A sending that this instance or the caller broke off says nothing, and neither
// does one that never left.
func (s *Server) observeCall(ctx context.Context, c *call, sent, target string, took time.Duration, status int, err *sendError) {
	r := version.Result{Version: sent, Route: c.route() + "|" + s.DataCentre, Ended: true}
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

// route tells calls apart by method and first part of the path; what follows usually names one booking.
func (c *call) route() string {
	first, _, _ := strings.Cut(strings.TrimPrefix(c.path, "/"), "/")
	return c.method + " /" + first
}
