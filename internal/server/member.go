package server

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"bambooferry.example/bambooferry/internal/platform"
	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/instance"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// RoundTripTimes is the blackboard key of the round-trip times to data centres.
var RoundTripTimes = blackboard.Key[map[string]time.Duration]{Name: "distances"}

// Lister reads the platform's list of instances, which lags behind the actual state.
type Lister interface {
	ListInstances(ctx context.Context) ([]platform.ListedInstance, error)
}

// heartbeatTimeout is short enough that a second heartbeat on a new link can be answered before
// a member behind a silent link is reported.
const heartbeatTimeout = 200 * time.Millisecond

// membership is the instance's state in the membership protocol.
type membership struct {
	mu    sync.Mutex
	table *instance.Table
	// awaitingReply holds the members whose reply to a heartbeat is outstanding.
	awaitingReply map[string]bool
	group         sync.WaitGroup
	joined        chan struct{}
	catalogueNews chan revisionNews
}

// revisionNews states that a member has a newer catalogue.
type revisionNews struct {
	from     netip.AddrPort
	revision int64
}

// InitMembership publishes the instance itself as a member and registers its RPC service; call it before Run.
func (s *Server) InitMembership() error {
	if s.MembershipTiming.HeartbeatInterval == 0 {
		s.MembershipTiming = instance.DefaultTiming()
	}
	m := &s.membership
	m.table = instance.NewTable(instance.Member{
		ID: s.ID, Address: s.PeerAddress, DataCentre: s.DataCentre, Incarnation: s.Incarnation,
	}, s.MembershipTiming)
	m.awaitingReply = map[string]bool{}
	m.joined, m.catalogueNews = make(chan struct{}), make(chan revisionNews, 1)
	s.publishChanges(time.Now())
	if s.Peers == nil {
		return nil
	}
	return s.Peers.Register("Member", &memberService{s})
}

// RunMembership runs the membership protocol until ctx ends.
func (s *Server) RunMembership(ctx context.Context) error {
	m := &s.membership
	defer m.group.Wait()
	if s.Peers == nil {
		close(m.joined)
		<-ctx.Done()
		return ctx.Err()
	}
	m.group.Go(func() { s.runListReader(ctx) })
	ticker := time.NewTicker(s.MembershipTiming.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.sendHeartbeats(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendHeartbeats sends the heartbeats that are due.
func (s *Server) sendHeartbeats(ctx context.Context) {
	m := &s.membership
	m.mu.Lock()
	now := time.Now()
	targets := m.table.Tick(now)
	s.publishChanges(now)
	var due []instance.Member
	for _, t := range targets {
		// A member gets no second heartbeat while its reply is outstanding.
		if !m.awaitingReply[t.ID] {
			m.awaitingReply[t.ID] = true
			due = append(due, t)
		}
	}
	m.mu.Unlock()
	for _, t := range due {
		m.group.Go(func() { s.sendHeartbeat(ctx, t) })
	}
}

func (s *Server) sendHeartbeat(ctx context.Context, to instance.Member) {
	m := &s.membership
	revision, content := s.revisionInForce()
	m.mu.Lock()
	in := m.table.NextBeat(to.ID, revision, content)
	m.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	out, startedAt := instance.Beat{}, time.Now()
	err := s.Peers.Call(callCtx, to.Address, "Member.Beat", &in, &out)
	now := time.Now()
	m.mu.Lock()
	delete(m.awaitingReply, to.ID)
	differs := false
	if err == nil {
		differs = m.table.HandleAnswer(now, &out, now.Sub(startedAt))
		s.publishChanges(now)
	}
	m.mu.Unlock()
	if err != nil {
		s.Metrics.GetOrCreateCounter("bambooferry_heartbeats_failed_total").Inc()
		return
	}
	s.Metrics.GetOrCreateCounter("bambooferry_heartbeats_total").Inc()
	s.compareRevision(now, &out)
	if differs {
		_ = s.exchangeTables(ctx, to.Address, true)
	}
}

// announceLeave tells the other instances immediately that this one accepts no new work.
func (s *Server) announceLeave(ctx context.Context) {
	m := &s.membership
	if m.table == nil {
		return
	}
	m.mu.Lock()
	m.table.Leave()
	s.publishChanges(time.Now())
	m.mu.Unlock()
	if s.Peers != nil {
		s.sendHeartbeats(ctx)
	}
}

// publishChanges publishes the changes of the table; the table's lock must be held, except before Run.
func (s *Server) publishChanges(now time.Time) {
	t := s.membership.table
	for _, c := range t.DrainChanges() {
		ev := timeline.Event{Kind: "member_" + c.Kind, Member: c.Member, Decision: c.Kind, Inputs: []timeline.Input{{Name: "member_incarnation", Value: c.Incarnation}}}
		if c.Reports > 0 {
			ev.Inputs = append(ev.Inputs, timeline.Input{Name: "reports", Value: int64(c.Reports)})
		}
		if c.PauseDuration > 0 {
			ev.Inputs = append(ev.Inputs, timeline.Input{Name: "paused_ms", Value: c.PauseDuration.Milliseconds()})
		}
		s.Events.Write(now, ev)
		s.Metrics.GetOrCreateCounter(`bambooferry_member_changes_total{kind="` + c.Kind + `"}`).Inc()
		s.Log.Info().Str("member", c.Member).Msg("member: " + c.Kind + ".")
	}
	if t.ViewChanged() {
		Members.Put(s.Board, t.View())
	}
	RoundTripTimes.Put(s.Board, t.Distances())
}
