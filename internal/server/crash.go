package server

import (
	"cmp"
	"context"
	"encoding/hex"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// maxRememberedCrashes bounds the crashes that are remembered.
	maxRememberedCrashes = 64
	// probeTimeout bounds the dials that distinguish a crashed target from a lost connection.
	probeTimeout = 250 * time.Millisecond
	// crashReportTimeout bounds the report to one other instance.
	crashReportTimeout = time.Second
	// markSpreadWait bounds the time for which a refusal is delayed until the other instances refuse the request as well.
	markSpreadWait = 250 * time.Millisecond
	// crashReportWindow is the time in which all connections lost to one target count as one crash.
	crashReportWindow = 3 * time.Second
)

// crashTable tracks which requests run on which targets and which of them crash targets.
type crashTable struct {
	mu       sync.Mutex
	running  map[string]map[*targetRequest]struct{}
	reported map[string]crashReport
	detector booking.CrashDetector
}

// targetRequest is a request that runs on a target.
type targetRequest struct {
	digest    string
	startedAt time.Time
	// position is the next position of the answer.
	position atomic.Uint64
	// firstOutput is the time from startedAt to the first output in milliseconds plus 1, or 0 without output.
	firstOutput atomic.Int64
	// stop, if set, closes the connection when the request is marked.
	stop context.CancelFunc
}

// crashReport records which requests this instance has reported for a target's last crash.
type crashReport struct {
	at      time.Time
	digests map[string]struct{}
}

// registerRequest records that a request runs on a target until the returned function is called.
//
// The answer continues from the given position. stop, if not nil, is called when the request is
// marked; a call that must not run twice has none and continues, as its outcome would be unknown.
func (k *callState) registerRequest(target, digest string, position uint64, stop context.CancelFunc) (*targetRequest, func()) {
	r := &targetRequest{digest: digest, startedAt: time.Now(), stop: stop}
	r.position.Store(position)
	t := &k.crashes
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[target] == nil {
		t.running[target] = map[*targetRequest]struct{}{}
	}
	t.running[target][r] = struct{}{}
	if stop != nil && t.detector.IsMarked(r.startedAt, digest) {
		// The request was marked after it was placed.
		stop()
	}
	return r, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.running[target], r)
		if len(t.running[target]) == 0 {
			delete(t.running, target)
		}
	}
}

// recordToken records that the target sent the token before the given position.
func (r *targetRequest) recordToken(position uint64) {
	r.position.Store(position)
	if r.firstOutput.Load() == 0 {
		r.firstOutput.Store(time.Since(r.startedAt).Milliseconds() + 1)
	}
}

func (r *targetRequest) crashState(now time.Time) booking.CrashRequest {
	first := r.firstOutput.Load()
	return booking.CrashRequest{
		Digest: r.digest, Position: r.position.Load(), AgeMillis: now.Sub(r.startedAt).Milliseconds(), Output: first > 0, FirstMillis: max(first-1, 0),
	}
}

// requestsAt returns the requests that run on a target.
func (k *callState) requestsAt(now time.Time, target string) []booking.CrashRequest {
	k.crashes.mu.Lock()
	defer k.crashes.mu.Unlock()
	out := make([]booking.CrashRequest, 0, len(k.crashes.running[target]))
	for r := range k.crashes.running[target] {
		out = append(out, r.crashState(now))
	}
	slices.SortFunc(out, func(a, b booking.CrashRequest) int {
		return cmp.Or(cmp.Compare(a.Digest, b.Digest), cmp.Compare(b.Position, a.Position), cmp.Compare(b.AgeMillis, a.AgeMillis))
	})
	// Of two requests with the same content, the one that has progressed further is the likelier cause.
	return slices.CompactFunc(out, func(a, b booking.CrashRequest) bool { return a.Digest == b.Digest })
}

// filterReported drops the requests that this instance has already reported for the crash, as each lost connection to the target leads here.
func (k *callState) filterReported(now time.Time, target string, requests []booking.CrashRequest) []booking.CrashRequest {
	k.crashes.mu.Lock()
	defer k.crashes.mu.Unlock()
	last := k.crashes.reported[target]
	if now.Sub(last.at) > crashReportWindow {
		last = crashReport{at: now, digests: map[string]struct{}{}}
		maps.DeleteFunc(k.crashes.reported, func(_ string, r crashReport) bool { return now.Sub(r.at) > crashReportWindow })
		k.crashes.reported[target] = last
	}
	return slices.DeleteFunc(requests, func(r booking.CrashRequest) bool {
		_, alreadyReported := last.digests[r.Digest]
		last.digests[r.Digest] = struct{}{}
		return alreadyReported
	})
}

// isMarked reports whether a request is refused because it crashes targets.
func (k *callState) isMarked(digest string) bool {
	k.crashes.mu.Lock()
	defer k.crashes.mu.Unlock()
	return k.crashes.detector.IsMarked(time.Now(), digest)
}

// isSuspected reports whether a target that ran the request has crashed.
func (k *callState) isSuspected(digest string) bool {
	k.crashes.mu.Lock()
	defer k.crashes.mu.Unlock()
	return k.crashes.detector.IsSuspect(digest)
}

// recordSuccess records that a request ended without a crash.
func (k *callState) recordSuccess(digest string) {
	k.crashes.mu.Lock()
	defer k.crashes.mu.Unlock()
	k.crashes.detector.ClearRequest(digest)
}

// detectCrash reports whether a target whose connection was lost has crashed, and reports a crash to all members.
//
// requests are those that ran on the target when the connection was lost.
func (s *Server) detectCrash(t catalogue.Target, at time.Time, requests []booking.CrashRequest) bool {
	if !s.refusesDials(t, 0, 30*time.Millisecond, 100*time.Millisecond) {
		return false
	}
	s.reportTargetCrash(t, at, requests)
	return true
}

// reportTargetCrash records the crash of a target and reports it to all members.
func (s *Server) reportTargetCrash(t catalogue.Target, at time.Time, requests []booking.CrashRequest) {
	requests = s.calls.filterReported(at, t.Name, requests)
	if len(requests) == 0 {
		return
	}
	c := booking.Crash{Target: t.Name, At: at.UnixMilli(), Requests: requests[:min(len(requests), booking.MaxCrashRequests)]}
	marked := s.recordCrash(c)
	broadcastDone := s.broadcastCrash(c)
	if !marked {
		return
	}
	// A caller that is refused here may immediately try another instance, which must refuse as well.
	timer := time.NewTimer(markSpreadWait)
	defer timer.Stop()
	select {
	case <-broadcastDone:
	case <-timer.C:
	}
}

// contentDigest identifies a generation's content for crash detection.
func (st *stream) contentDigest() string { return hex.EncodeToString(st.cursor.Request[:]) }

// checkForCrash checks whether the engine crashed: with one dial before the stream resumes, so that a marked
// request is not sent to a third engine, and with further dials in the background, so that the resume is not delayed.
//
// A resumed attempt, or one whose request is already suspected, is checked in full before
// the stream resumes: the listener of a dying engine may outlive its connections, and the next
// engine would be the third.
func (st *stream) checkForCrash(cause error, t catalogue.Target, resumed bool) {
	s, now := st.server, time.Now()
	requests := s.calls.requestsAt(now, t.Name)
	switch {
	case errors.Is(cause, context.Canceled) || errors.Is(cause, net.ErrClosed):
		// The connection was closed by this instance. A caller that disconnects at a crash will send its request again.
		if s.calls.isSuspected(st.contentDigest()) {
			s.calls.runInBackground(func() { s.detectCrash(t, now, requests) })
		}
	case resumed || s.calls.isSuspected(st.contentDigest()):
		s.detectCrash(t, now, requests)
	case s.refusesDials(t, 0):
		s.reportTargetCrash(t, now, requests)
	default:
		s.calls.runInBackground(func() { s.detectCrash(t, now, requests) })
	}
}

// refusesDials reports whether a target refuses one of several dials, as the listener of a dying process may briefly outlive its connections.
func (s *Server) refusesDials(t catalogue.Target, pauses ...time.Duration) bool {
	ctx, cancel := context.WithTimeout(s.calls.baseContext(), probeTimeout)
	defer cancel()
	for _, pause := range pauses {
		if sleep(ctx, pause) != nil {
			return false
		}
		conn, err := s.calls.dial(ctx, "tcp", t.Address.String())
		if err != nil {
			return ctx.Err() == nil
		}
		_ = conn.Close()
	}
	return false
}

// recordCrash records a crash, stops the requests that it marks and reports whether there are any.
func (s *Server) recordCrash(c booking.Crash) bool {
	now := time.Now()
	s.calls.crashes.mu.Lock()
	marked := s.calls.crashes.detector.RecordCrash(now, c)
	s.calls.crashes.stopMarked(marked)
	s.calls.crashes.mu.Unlock()
	for range marked {
		s.Events.Write(now, timeline.Event{
			Kind: "request_marked", Target: c.Target, Decision: "refuse", Why: "crashes_targets",
			Inputs: []timeline.Input{{Name: "requests_inside", Value: int64(len(c.Requests))}},
		})
	}
	return len(marked) > 0
}

// stopMarked stops the running attempts of marked requests before they crash another target; the caller holds the lock.
func (t *crashTable) stopMarked(marked []string) {
	for _, requests := range t.running {
		for r := range requests {
			if r.stop != nil && slices.Contains(marked, r.digest) {
				r.stop()
			}
		}
	}
}

// broadcastCrash reports a crash to all members, since any of them may receive the request next.
//
// The returned channel is closed when all members have received the report or could not be reached.
func (s *Server) broadcastCrash(c booking.Crash) <-chan struct{} {
	done := make(chan struct{})
	v, ok := Members.Get(s.Board)
	if !ok || s.Peers == nil {
		close(done)
		return done
	}
	var group sync.WaitGroup
	for _, m := range v.Live() {
		if m.ID == s.ID {
			continue
		}
		group.Add(1)
		s.calls.runInBackground(func() {
			defer group.Done()
			ctx, cancel := context.WithTimeout(s.calls.baseContext(), crashReportTimeout)
			defer cancel()
			_ = s.Peers.Call(ctx, m.Address, callsServiceName+".Crashed", &c, &struct{}{})
		})
	}
	go func() { defer close(done); group.Wait() }()
	return done
}
