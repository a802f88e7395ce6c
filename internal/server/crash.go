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
	// maxCrashes bounds the crashes that are remembered.
	maxCrashes = 64
	// probeWait bounds the dials that tell a crashed target from a lost connection.
	probeWait = 250 * time.Millisecond
	// crashReportWait bounds the report to one other instance.
	crashReportWait = time.Second
	// markWait bounds the time for which a refusal waits until the other instances refuse as well.
	markWait = 250 * time.Millisecond
	// reportOnce is the time in which connections lost to one target tell of one crash.
	reportOnce = 3 * time.Second
)

// crashTable holds which requests run at which targets and which of them crash targets.
type crashTable struct {
	mu       sync.Mutex
	inside   map[string]map[*taken]struct{}
	reported map[string]crashReport
	suspects booking.CrashDetector
}

// taken is a request that a target has taken up.
type taken struct {
	digest string
	begun  time.Time
	// position is the next position of the answer.
	position atomic.Uint64
	// first is the time from begun to the first output in milliseconds and one more, or 0 without output.
	first atomic.Int64
	// stop, if set, ends the connection when the request is marked.
	stop context.CancelFunc
}

// crashReport is what this instance has reported of a target's last crash.
type crashReport struct {
	at      time.Time
	digests map[string]struct{}
}

// running notes a request at a target until the returned function is called.
//
// The answer goes on from the given position. A stop, if given, is called when the request is
// marked; a call that must not run twice is let go on, as its outcome would be unknown.
func (k *callState) running(target, digest string, position uint64, stop context.CancelFunc) (*taken, func()) {
	r := &taken{digest: digest, begun: time.Now(), stop: stop}
	r.position.Store(position)
	t := &k.crashes
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inside[target] == nil {
		t.inside[target] = map[*taken]struct{}{}
	}
	t.inside[target][r] = struct{}{}
	if stop != nil && t.suspects.IsMarked(r.begun, digest) {
		// It was marked since the request was placed.
		stop()
	}
	return r, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.inside[target], r)
		if len(t.inside[target]) == 0 {
			delete(t.inside, target)
		}
	}
}

// sent notes that the target sent the token before the given position.
func (r *taken) sent(position uint64) {
	r.position.Store(position)
	if r.first.Load() == 0 {
		r.first.Store(time.Since(r.begun).Milliseconds() + 1)
	}
}

func (r *taken) state(now time.Time) booking.CrashRequest {
	first := r.first.Load()
	return booking.CrashRequest{
		Digest: r.digest, Position: r.position.Load(), AgeMillis: now.Sub(r.begun).Milliseconds(), Output: first > 0, FirstMillis: max(first-1, 0),
	}
}

// inside returns the requests that run at a target.
func (k *callState) inside(now time.Time, target string) []booking.CrashRequest {
	k.crashes.mu.Lock()
	defer k.crashes.mu.Unlock()
	out := make([]booking.CrashRequest, 0, len(k.crashes.inside[target]))
	for r := range k.crashes.inside[target] {
		out = append(out, r.state(now))
	}
	slices.SortFunc(out, func(a, b booking.CrashRequest) int {
		return cmp.Or(cmp.Compare(a.Digest, b.Digest), cmp.Compare(b.Position, a.Position), cmp.Compare(b.AgeMillis, a.AgeMillis))
	})
	// Of two with one content, the one that is further on is the likelier cause.
	return slices.CompactFunc(out, func(a, b booking.CrashRequest) bool { return a.Digest == b.Digest })
}

// unreported drops the requests that this instance has reported of the crash, as each connection lost to it tells of them.
func (k *callState) unreported(now time.Time, target string, requests []booking.CrashRequest) []booking.CrashRequest {
	k.crashes.mu.Lock()
	defer k.crashes.mu.Unlock()
	last := k.crashes.reported[target]
	if now.Sub(last.at) > reportOnce {
		last = crashReport{at: now, digests: map[string]struct{}{}}
		maps.DeleteFunc(k.crashes.reported, func(_ string, r crashReport) bool { return now.Sub(r.at) > reportOnce })
		k.crashes.reported[target] = last
	}
	return slices.DeleteFunc(requests, func(r booking.CrashRequest) bool {
		_, told := last.digests[r.Digest]
		last.digests[r.Digest] = struct{}{}
		return told
	})
}

// marked reports whether a request is refused because it crashes targets.
func (k *callState) marked(digest string) bool {
	k.crashes.mu.Lock()
	defer k.crashes.mu.Unlock()
	return k.crashes.suspects.IsMarked(time.Now(), digest)
}

// suspected reports whether a target that ran the request has crashed.
func (k *callState) suspected(digest string) bool {
	k.crashes.mu.Lock()
	defer k.crashes.mu.Unlock()
	return k.crashes.suspects.IsSuspect(digest)
}

// cleared tells that a request ended without a crash.
func (k *callState) cleared(digest string) {
	k.crashes.mu.Lock()
	defer k.crashes.mu.Unlock()
	k.crashes.suspects.ClearRequest(digest)
}

// crashed finds out whether a target that lost a connection has crashed, and reports it to all members.
//
// The requests are those that the target had taken up when the connection was lost.
func (s *Server) crashed(t catalogue.Target, at time.Time, requests []booking.CrashRequest) bool {
	if !s.refusesDials(t, 0, 30*time.Millisecond, 100*time.Millisecond) {
		return false
	}
	s.reportLoss(t, at, requests)
	return true
}

// reportLoss takes in the crash of a target and tells all members.
func (s *Server) reportLoss(t catalogue.Target, at time.Time, requests []booking.CrashRequest) {
	requests = s.calls.unreported(at, t.Name, requests)
	if len(requests) == 0 {
		return
	}
	c := booking.Crash{Target: t.Name, At: at.UnixMilli(), Requests: requests[:min(len(requests), booking.MaxCrashRequests)]}
	marked := s.suspect(c)
	told := s.reportCrash(c)
	if !marked {
		return
	}
	// A caller that is refused here may ask another instance at once, which must refuse as well.
	timer := time.NewTimer(markWait)
	defer timer.Stop()
	select {
	case <-told:
	case <-timer.C:
	}
}

// digest identifies a generation's content among the requests that may crash targets.
func (st *stream) digest() string { return hex.EncodeToString(st.cursor.Request[:]) }

// lost looks whether the engine crashed: once before the stream resumes, so that a marked
// request goes to no third engine, and then beside it, so that no resume waits.
//
// A resumed attempt, or one whose request was at a crash before, is looked into in full before
// the stream goes on: the listener of a dying engine may outlive its connections, and the next
// engine would be the third.
func (st *stream) lost(cause error, t catalogue.Target, resumed bool) {
	s, now := st.server, time.Now()
	requests := s.calls.inside(now, t.Name)
	switch {
	case errors.Is(cause, context.Canceled) || errors.Is(cause, net.ErrClosed):
		// The connection was closed here. A caller that leaves at a crash sends its request again.
		if s.calls.suspected(st.digest()) {
			s.calls.runInBackground(func() { s.crashed(t, now, requests) })
		}
	case resumed || s.calls.suspected(st.digest()):
		s.crashed(t, now, requests)
	case s.refusesDials(t, 0):
		s.reportLoss(t, now, requests)
	default:
		s.calls.runInBackground(func() { s.crashed(t, now, requests) })
	}
}

// refusesDials dials a target a few times, as the listener of a dying process may outlive its connections a little.
func (s *Server) refusesDials(t catalogue.Target, pauses ...time.Duration) bool {
	ctx, cancel := context.WithTimeout(s.calls.baseContext(), probeWait)
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

// suspect takes in a crash, notes the requests that it marks and reports whether there are any.
func (s *Server) suspect(c booking.Crash) bool {
	now := time.Now()
	s.calls.crashes.mu.Lock()
	marked := s.calls.crashes.suspects.RecordCrash(now, c)
	s.calls.crashes.stop(marked)
	s.calls.crashes.mu.Unlock()
	for range marked {
		s.Events.Write(now, timeline.Event{
			Kind: "request_marked", Target: c.Target, Decision: "refuse", Why: "crashes_targets",
			Inputs: []timeline.Input{{Name: "requests_inside", Value: int64(len(c.Requests))}},
		})
	}
	return len(marked) > 0
}

// stop ends what runs of the marked requests, before it takes down another target; the caller holds the lock.
func (t *crashTable) stop(marked []string) {
	for _, inside := range t.inside {
		for r := range inside {
			if r.stop != nil && slices.Contains(marked, r.digest) {
				r.stop()
			}
		}
	}
}

// reportCrash tells all members of a crash, since the request may come next to any of them.
//
// The returned channel is closed when all have been told or could not be reached.
func (s *Server) reportCrash(c booking.Crash) <-chan struct{} {
	told := make(chan struct{})
	v, ok := Members.Get(s.Board)
	if !ok || s.Peers == nil {
		close(told)
		return told
	}
	var group sync.WaitGroup
	for _, m := range v.Live() {
		if m.ID == s.ID {
			continue
		}
		group.Add(1)
		s.calls.runInBackground(func() {
			defer group.Done()
			ctx, cancel := context.WithTimeout(s.calls.baseContext(), crashReportWait)
			defer cancel()
			_ = s.Peers.Call(ctx, m.Address, callsServiceName+".Crashed", &c, &struct{}{})
		})
	}
	go func() { defer close(told); group.Wait() }()
	return told
}
