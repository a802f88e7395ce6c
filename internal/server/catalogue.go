package server

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/instance"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	watchTimeout  = 20 * time.Second
	minWatchRetry = 200 * time.Millisecond
	// maxWatchRetry limits the load on a service that recovers from an outage.
	maxWatchRetry = 5 * time.Second
	fetchTimeout  = 2 * time.Second
	// DefaultCatalogueLookInterval is the default of Server.CatalogueLookInterval: a look after a change returns the whole document, which
	// is 0.26 KB/s for each instance at the design scale.
	DefaultCatalogueLookInterval = 5 * time.Second
	// lookWait bounds the wait of such a look for a change.
	lookWait = time.Millisecond
	// peerCatalogueWait is how long a restarted instance waits for the catalogue of a peer it reached.
	peerCatalogueWait = time.Second
)

// FollowCatalogue keeps the blackboard up to date with the newest revision of the catalogue until ctx ends.
func (s *Server) FollowCatalogue(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { s.fetchRevisions(ctx) })
	select {
	case <-s.membership.joined:
	case <-ctx.Done():
		return ctx.Err()
	}
	s.waitForPeerCatalogue(ctx)
	s.watchCatalogue(ctx)
	return ctx.Err()
}

// waitForPeerCatalogue waits for a catalogue from a peer before the service is asked.
func (s *Server) waitForPeerCatalogue(ctx context.Context) {
	if s.isAlone() {
		return
	}
	waitCtx, cancel := context.WithTimeout(ctx, peerCatalogueWait)
	defer cancel()
	changed := Catalogue.Changed(s.Board)
	if _, ok := Catalogue.Get(s.Board); ok {
		return
	}
	select {
	case <-changed:
	case <-waitCtx.Done():
	}
}

// watchCatalogue watches the catalogue in the service while the instance holds that job, and looks at it now and then
// while it does not.
func (s *Server) watchCatalogue(ctx context.Context) {
	var version int64
	pause, nextLook := minWatchRetry, time.Now().Add(jitter(s.lookInterval()))
	for ctx.Err() == nil {
		changed := Members.Changed(s.Board)
		wait := watchTimeout
		if !s.holdsJob(CatalogueKey) {
			if !s.waitForLook(ctx, &nextLook, changed) {
				continue
			}
			wait = lookWait
		}
		v, err := s.Store.Watch(ctx, CatalogueKey, version, wait)
		if err != nil {
			_ = sleep(ctx, jitter(pause))
			pause = min(2*pause, maxWatchRetry)
			continue
		}
		pause = minWatchRetry
		// A lower version means that the service was restored from a backup; later writes count up from there.
		if v.Version != version && v.Version > 0 {
			s.ApplyCatalogue(time.Now(), v.Data)
		}
		version = v.Version
	}
}

func (s *Server) lookInterval() time.Duration {
	return cmp.Or(s.CatalogueLookInterval, DefaultCatalogueLookInterval)
}

// waitForLook waits until a time at which one of all instances looks at the catalogue, and reports whether it is this one. It
// returns early if changed is closed or ctx ends.
func (s *Server) waitForLook(ctx context.Context, at *time.Time, changed <-chan struct{}) bool {
	t := time.NewTimer(time.Until(*at))
	defer t.Stop()
	select {
	case now := <-t.C:
		*at = now.Add(jitter(s.lookInterval()))
		view, _ := Members.Get(s.Board)
		return rand.IntN(max(len(view.Live()), 1)) == 0
	case <-changed:
	case <-ctx.Done():
	}
	return false
}

// fetchRevisions fetches newer revisions from the peers that announced them.
func (s *Server) fetchRevisions(ctx context.Context) {
	for {
		select {
		case n := <-s.membership.catalogueNews:
			revision, hash := s.revisionInForce()
			if n.revision <= revision {
				continue
			}
			fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
			out := Fetched{}
			// After a failure the next heartbeat, which carries the revision again, triggers another fetch.
			if s.Peers.Call(fetchCtx, n.from, "Member.Catalogue", &Fetch{After: revision, Hash: hash}, &out) == nil && len(out.Data) > 0 {
				s.applyFetched(&out)
			}
			cancel()
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) applyFetched(f *Fetched) {
	kept, _ := catalogueForms.Get(s.Board)
	data, err := restoreDocument(kept, f)
	if err != nil {
		s.Log.Error().Err(err).Msg("catalogue: Rejected a document from a peer.")
		return
	}
	s.ApplyCatalogue(time.Now(), data)
}

// compareRevision compares a peer's catalogue with the one in force.
func (s *Server) compareRevision(now time.Time, b *instance.Beat) {
	revision, hash := s.revisionInForce()
	switch {
	case b.Revision > revision:
		laterRevision.Update(s.Board, func(old announcedRevision, _ bool) (announcedRevision, bool) {
			return announcedRevision{revision: max(old.revision, b.Revision), at: now}, true
		})
		select {
		case s.membership.catalogueNews <- revisionNews{b.From.Address, b.Revision}:
		default:
		}
	case b.Revision == revision && b.Content != hash && revision > 0:
		s.reportConflict(b.Revision, b.From.ID)
	}
}

// announcedRevision is a revision that a peer has, and when a peer last stated that it has a later one than this instance.
type announcedRevision struct {
	revision int64
	at       time.Time
}

// laterRevision is the blackboard key of the latest revision that a peer has announced.
var laterRevision = blackboard.Key[announcedRevision]{Name: "catalogue-announced"}

// announcementTTL is how long an announced revision is believed in; heartbeats repeat it several times a second.
const announcementTTL = 5 * time.Second

// refuseUnknown refuses a request for something that is not in the catalogue. An instance that knows that a peer has a later
// catalogue can't state that it does not exist.
func (s *Server) refuseUnknown(now time.Time, status int, code, message string) *Refusal {
	revision, _ := s.revisionInForce()
	if later, _ := laterRevision.Get(s.Board); later.revision > revision && now.Sub(later.at) < announcementTTL {
		return newRefusal(http.StatusServiceUnavailable, "catalogue_outdated", "it is not in this instance's catalogue, and another instance has a later one").retryAfter(time.Second)
	}
	return newRefusal(status, code, message)
}

// revisionInForce returns the revision in force and the hash of its content.
func (s *Server) revisionInForce() (int64, uint64) {
	kept, ok := catalogueForms.Get(s.Board)
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
		s.Log.Error().Err(err).Msg("catalogue: Rejected an invalid document.")
		return false
	}
	// The hash is computed over the canonical form, which does not depend on the encoder.
	c, err := newCanonicalForm(d)
	if err != nil {
		return false
	}
	applied := Catalogue.Update(s.Board, func(old *catalogue.Document, ok bool) (*catalogue.Document, bool) {
		return d, !ok || d.Revision > old.Revision
	})
	if !applied {
		if revision, hash := s.revisionInForce(); revision == c.revision && hash != c.hash {
			s.reportConflict(c.revision, "")
		}
		return false
	}
	catalogueForms.Update(s.Board, func(old []canonicalForm, ok bool) ([]canonicalForm, bool) {
		if ok && c.revision <= old[0].revision {
			return old, false
		}
		kept := append([]canonicalForm{c}, old...)
		return kept[:min(len(kept), maxForms)], true
	})
	s.recordArrival(now, c.revision)
	s.Events.Write(now, timeline.Event{Kind: "catalogue_in_force", Revision: d.Revision})
	s.Metrics.GetOrCreateGauge("bambooferry_catalogue_revision", nil).Set(float64(d.Revision))
	s.Log.Info().Int64("revision", d.Revision).Msg("catalogue: New revision in force.")
	return true
}

// alarmedRevision is the blackboard key of the last revision for which a conflict was reported.
var alarmedRevision = blackboard.Key[int64]{Name: "catalogue-alarm"}

// reportConflict reports, once for each revision, that another document has the same revision number.
func (s *Server) reportConflict(revision int64, from string) {
	isFirst := alarmedRevision.Update(s.Board, func(old int64, ok bool) (int64, bool) { return revision, !ok || old != revision })
	if !isFirst {
		return
	}
	s.Events.Write(time.Now(), timeline.Event{Kind: "catalogue_conflict", Revision: revision, Member: from, Decision: "keep", Why: "equal_revision"})
	s.Metrics.GetOrCreateCounter("bambooferry_catalogue_conflicts_total").Inc()
	s.Log.Error().Int64("revision", revision).Str("member", from).Msg("catalogue: Two documents have the same revision. The one in force is kept.")
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
