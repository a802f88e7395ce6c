package server

import (
	"context"
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/instance"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	watchWait  = 20 * time.Second
	watchRetry = 200 * time.Millisecond
	// watchRetryMax spares a service that comes back from an outage.
	watchRetryMax = 5 * time.Second
	fetchWait     = 2 * time.Second
	// peersFirst is how long a restarted instance waits for the catalogue of a peer it reached.
	peersFirst = time.Second
)

// FollowCatalogue keeps the newest revision of the catalogue on the blackboard until ctx ends.
func (s *Server) FollowCatalogue(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { s.fetchRevisions(ctx) })
	select {
	case <-s.membership.joined:
	case <-ctx.Done():
		return ctx.Err()
	}
	s.awaitPeers(ctx)
	s.watchCatalogue(ctx)
	return ctx.Err()
}

// awaitPeers gives peers the time to bring the catalogue before the service is asked.
func (s *Server) awaitPeers(ctx context.Context) {
	if s.alone() {
		return
	}
	wait, cancel := context.WithTimeout(ctx, peersFirst)
	defer cancel()
	changed := Catalogue.Changed(s.Board)
	if _, ok := Catalogue.Get(s.Board); ok {
		return
	}
	select {
	case <-changed:
	case <-wait.Done():
	}
}

// watchCatalogue holds the watch on the service while the instance is one of its holders.
func (s *Server) watchCatalogue(ctx context.Context) {
	var version int64
	pause := watchRetry
	for ctx.Err() == nil {
		changed := Members.Changed(s.Board)
		if !s.holds(CatalogueKey) {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		v, err := s.Store.Watch(ctx, CatalogueKey, version, watchWait)
		if err != nil {
			_ = sleep(ctx, jitter(pause))
			pause = min(2*pause, watchRetryMax)
			continue
		}
		pause = watchRetry
		// A lower version means that the service was restored; later writes count up from there.
		if v.Version != version && v.Version > 0 {
			s.ApplyCatalogue(time.Now(), v.Data)
		}
		version = v.Version
	}
}

// fetchRevisions fetches newer revisions from the peers that told of them.
func (s *Server) fetchRevisions(ctx context.Context) {
	for {
		select {
		case n := <-s.membership.news:
			revision, hash := s.inForce()
			if n.revision <= revision {
				continue
			}
			wait, cancel := context.WithTimeout(ctx, fetchWait)
			out := Fetched{}
			// A failure is made good by the next heartbeat, which carries the revision again.
			if s.Peers.Call(wait, n.from, "Member.Catalogue", &Fetch{After: revision, Hash: hash}, &out) == nil && len(out.Data) > 0 {
				s.takeFetched(&out)
			}
			cancel()
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) takeFetched(f *Fetched) {
	kept, _ := forms.Get(s.Board)
	data, err := restore(kept, f)
	if err != nil {
		s.Log.Error().Err(err).Msg("catalogue: Refused a document of a peer.")
		return
	}
	s.ApplyCatalogue(time.Now(), data)
}

// heard compares a peer's catalogue with the one in force.
func (s *Server) heard(b *instance.Beat) {
	revision, hash := s.inForce()
	switch {
	case b.Revision > revision:
		select {
		case s.membership.news <- revisionNews{b.From.Address, b.Revision}:
		default:
		}
	case b.Revision == revision && b.Content != hash && revision > 0:
		s.alarm(b.Revision, b.From.ID)
	}
}

// inForce returns the revision in force and the hash of its content.
func (s *Server) inForce() (int64, uint64) {
	kept, ok := forms.Get(s.Board)
	if !ok {
		return 0, 0
	}
	return kept[0].revision, kept[0].hash
}

// ApplyCatalogue puts a document in force if it is valid and newer than the one in force.
func (s *Server) ApplyCatalogue(now time.Time, data []byte) bool {
	d, err := catalogue.Decode(data)
	if err != nil {
		s.Events.Write(now, timeline.Event{Kind: "catalogue_refused", Decision: "keep", Why: "invalid_document"})
		s.Log.Error().Err(err).Msg("catalogue: Refused an invalid document.")
		return false
	}
	// The hash is of the canonical form, which does not depend on who encoded it.
	c, err := formOf(d)
	if err != nil {
		return false
	}
	taken := Catalogue.Update(s.Board, func(old *catalogue.Document, ok bool) (*catalogue.Document, bool) {
		return d, !ok || d.Revision > old.Revision
	})
	if !taken {
		if revision, hash := s.inForce(); revision == c.revision && hash != c.hash {
			s.alarm(c.revision, "")
		}
		return false
	}
	forms.Update(s.Board, func(old []form, ok bool) ([]form, bool) {
		if ok && c.revision <= old[0].revision {
			return old, false
		}
		kept := append([]form{c}, old...)
		return kept[:min(len(kept), keepForms)], true
	})
	s.noteArrival(now, c.revision)
	s.Events.Write(now, timeline.Event{Kind: "catalogue_in_force", Revision: d.Revision})
	s.Metrics.GetOrCreateGauge("bambooferry_catalogue_revision", nil).Set(float64(d.Revision))
	s.Log.Info().Int64("revision", d.Revision).Msg("catalogue: In force.")
	return true
}

// alarmed names the last revision for which an alarm was raised.
var alarmed = blackboard.Key[int64]{Name: "catalogue-alarm"}

// alarm reports once for each revision that another document bears the same number.
func (s *Server) alarm(revision int64, from string) {
	first := alarmed.Update(s.Board, func(old int64, ok bool) (int64, bool) { return revision, !ok || old != revision })
	if !first {
		return
	}
	s.Events.Write(time.Now(), timeline.Event{Kind: "catalogue_conflict", Revision: revision, Member: from, Decision: "keep", Why: "equal_revision"})
	s.Metrics.GetOrCreateCounter("bambooferry_catalogue_conflicts_total").Inc()
	s.Log.Error().Int64("revision", revision).Str("member", from).Msg("catalogue: Two documents bear the same revision. The one in force stays.")
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
