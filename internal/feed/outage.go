package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"bambooferry.example/bambooferry/pkg/timeline"
)

// beginUpdate records a response of the store, which confirms the copy as of a time, and returns an update for it.
func (r *Replicator) beginUpdate(now, confirmedAt time.Time, version Version) Update {
	r.recordResponse(now, confirmedAt)
	return Update{Revision: version.Revision, Era: version.Era, Source: SourceStore, OutageEndedAt: r.recentOutageEnd(now)}
}

// recentOutageEnd returns when the store recovered, or the zero time if that was not recent.
func (r *Replicator) recentOutageEnd(now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.outageEndedAt) >= outageReportWindow {
		return time.Time{}
	}
	return r.outageEndedAt
}

// recordResponse records that the store responded, which may end an outage. confirmedAt is the time as of
// which it confirms the copy, or the zero time if it does not.
func (r *Replicator) recordResponse(now, confirmedAt time.Time) {
	if r.storeUnavailable {
		r.Log.Write(now, timeline.Event{Kind: "store_regained", Revision: r.Revision(), Inputs: []timeline.Input{{Name: "away_ms", Value: now.Sub(r.lastContactAt).Milliseconds()}}})
	}
	// An outage may end before a call fails late enough to set storeUnavailable.
	outageEnded := r.storeUnavailable || !r.firstFailureAt.IsZero() && now.Sub(r.lastContactAt) >= outageAfter
	firstFailureAt := r.firstFailureAt
	r.storeUnavailable, r.firstFailureAt, r.lastContactAt = false, time.Time{}, now
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastResponseAt, r.failures = now, 0
	if confirmedAt.After(r.confirmedAt) {
		r.confirmedAt = confirmedAt
	}
	if outageEnded {
		r.outageEndedAt, r.outageBeganAt = now, firstFailureAt
	}
}

// handleFailure records a failed call, fetches a copy from other instances if the store is
// unavailable, and backs off.
func (r *Replicator) handleFailure(ctx context.Context, now time.Time, err error) {
	if r.firstFailureAt.IsZero() {
		r.firstFailureAt = now
	}
	r.recordFailure(now)
	if !r.storeUnavailable && now.Sub(r.lastContactAt) >= outageAfter {
		r.storeUnavailable = true
		r.Log.Write(now, timeline.Event{Kind: "store_lost", Revision: r.Revision(), Why: errorReason(err)})
	}
	if r.storeUnavailable || r.Revision() == 0 {
		r.fetchFromPeers(ctx)
	}
	r.backoff = min(max(2*r.backoff, minBackoff), maxBackoff)
	sleep(ctx, r.backoff/2+rand.N(r.backoff))
}

// fetchFromPeers gets a later copy from other instances while the store is unavailable.
func (r *Replicator) fetchFromPeers(ctx context.Context) {
	if r.Peers == nil || r.fetchLater(ctx) {
		return
	}
	// Instances of former builds only send complete copies, which are not compressed.
	ctx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
	defer cancel()
	from := r.Version()
	snapshot, source, ok := r.Peers.FetchSnapshotAfter(ctx, from)
	if ok && snapshot.After(from) {
		r.applySnapshot(time.Now(), snapshot, source)
	}
}

// applySnapshot replaces the copy with that of another instance.
func (r *Replicator) applySnapshot(now time.Time, snapshot Snapshot, source string) {
	from := r.Version()
	items := make(map[string]Item, len(snapshot.Items))
	for _, it := range snapshot.Items {
		items[it.Key] = it
	}
	r.ObserveEra(snapshot.Era)
	restored := r.recordRestore(now, from, snapshot.Version)
	update := Update{Full: true, Restored: restored, Revision: snapshot.Revision, Era: snapshot.Era, Source: source, OutageEndedAt: r.recentOutageEnd(now)}
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	r.replaceItems(&update, items)
	r.Log.Write(now, timeline.Event{Kind: "copy_from_member", Member: source, Revision: snapshot.Revision})
	r.endLag(now, source)
	r.needsFullRead = false
	r.apply(now, update)
}
