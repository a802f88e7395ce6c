package feed

import (
	"context"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// WatchWait bounds one watch. A store that drops its history, or is cut off, may leave watches
	// unanswered, so a watch is cancelled after WatchWait and watchMargin. A change has to be in
	// force within 2 s, and by then other instances must have read it in place of a failed reader.
	WatchWait = 1200 * time.Millisecond
	// watchMargin is the time that a watch may take beyond its wait; a slow store takes 300 ms.
	watchMargin = 400 * time.Millisecond
	// failuresBeforeReport is the number of consecutive failed calls after which a reader reports
	// that it can't read; a single call may fail by chance.
	failuresBeforeReport = 2
	// CallTimeout bounds a read, and the renewal or registration of a lease.
	CallTimeout = 1500 * time.Millisecond
	// changePause is the pause after a watch that returned changes, since each call has a price and
	// changes come in groups; it stays under the 300 ms within which a change has to be applied.
	changePause = 200 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
	// outageAfter is the time without a response after which the store counts as unavailable.
	outageAfter = time.Second
	// peerFetchTimeout bounds one round of calls to other instances while the store is unavailable.
	peerFetchTimeout = 400 * time.Millisecond
	// maxPages bounds the pages of one prefix.
	maxPages = 1000
)

// Update holds changes of the copy.
type Update struct {
	Changed []Item
	Removed []string
	// Full reports whether Changed holds all items, so that those not listed have been removed.
	Full bool
	// OutageEndedAt is when the store responded again after an outage, or the zero time if that was
	// not recent.
	OutageEndedAt time.Time
	// Restored reports whether the store was restored from a copy since the last update, and ended an
	// outage by that.
	Restored bool
	Revision int64
	Era      int64
	// Source is SourceStore, or the instance that sent the update.
	Source string
}

// SourceStore is the source of updates that this instance has read from the store itself.
const SourceStore = "store"

func (u *Update) version() Version { return Version{Era: u.Era, Revision: u.Revision} }

// Snapshot is a complete copy at a version.
type Snapshot struct {
	Version
	Items []Item
}

// PeerClient requests copies from other instances.
type PeerClient interface {
	// FetchSnapshotAfter returns a copy newer than a version, with the name of the instance that
	// sent it; ok is false if none was found.
	FetchSnapshotAfter(ctx context.Context, after Version) (s Snapshot, from string, ok bool)
}

// Replicator keeps a copy of some prefixes of the store; set its exported fields before Run.
type Replicator struct {
	Store StoreClient
	// Peers is called while the store is unavailable; it may be nil.
	Peers PeerClient
	// Prefixes are replicated; WatchPrefix is the prefix that covers all of them.
	Prefixes    []string
	WatchPrefix string
	// Apply receives each update of the copy; it is called by one goroutine at a time.
	Apply func(now time.Time, update Update)
	Log   *timeline.Writer
	// InstanceName names this instance. IsReader reports whether it reads the store for others, and
	// Broadcast sends them a message and returns false if it is too long; both may be nil, and then
	// each instance reads the store itself.
	InstanceName string
	IsReader     func() bool
	Broadcast    func(data []byte) bool
	// ObserveCall, if set, is called after each call to the store.
	ObserveCall func(kind string, took time.Duration, err error)

	mu    sync.Mutex
	items map[string]Item
	// version is the version of the copy; revision 0 means that there is none.
	version Version
	// observedEra is the latest era that any response or message has stated.
	observedEra int64
	eraRaised   chan struct{}
	// lastResponseAt is when the store last responded. outageEndedAt is when it last recovered, and
	// outageBeganAt when the first call failed in that outage.
	lastResponseAt time.Time
	outageEndedAt  time.Time
	outageBeganAt  time.Time
	// failures counts the failed calls since lastResponseAt.
	failures int
	messages chan receivedMessage
	// droppedMessages counts messages that did not fit into the queue.
	droppedMessages atomic.Uint64
	initOnce        sync.Once

	// The fields below belong to the goroutine of Run. lastContactAt is when the store last
	// responded or when Run started; storeUnavailable is set during an outage.
	lastContactAt    time.Time
	storeUnavailable bool
	// firstFailureAt is when the first call since the last response failed, or the zero time.
	firstFailureAt time.Time
	// needsFullRead is set when changes may have been missed, so that the prefixes have to be read
	// again.
	needsFullRead bool
	backoff       time.Duration
	lag           lag
	// failedCalls counts the consecutive failed calls of this instance.
	failedCalls int
	// readerExpiry is the time until which each reader's messages are relied on.
	readerExpiry map[string]time.Time
}

// Init prepares the replicator for messages that arrive before Run.
func (r *Replicator) Init() {
	r.initOnce.Do(func() {
		r.items, r.readerExpiry = map[string]Item{}, map[string]time.Time{}
		r.messages = make(chan receivedMessage, messageQueueSize)
		r.eraRaised = make(chan struct{}, 1)
	})
}

// SnapshotAfter returns the copy if it is newer than a version.
func (r *Replicator) SnapshotAfter(after Version) (Snapshot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.version.After(after) {
		return Snapshot{}, false
	}
	snapshot := Snapshot{Version: r.version, Items: make([]Item, 0, len(r.items))}
	for _, it := range r.items {
		snapshot.Items = append(snapshot.Items, it)
	}
	return snapshot, true
}

// Version returns the version of the copy.
func (r *Replicator) Version() Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Revision returns the revision of the copy.
func (r *Replicator) Revision() int64 { return r.Version().Revision }

// Run replicates the store until ctx ends.
func (r *Replicator) Run(ctx context.Context) error {
	r.Init()
	r.needsFullRead, r.lastContactAt = true, time.Now()
	for ctx.Err() == nil {
		changed, err := r.syncOnce(ctx)
		now := time.Now()
		switch {
		case err == nil:
			r.backoff = 0
			if changed {
				sleep(ctx, changePause)
			}
		case ctx.Err() == nil:
			r.handleFailure(ctx, now, err)
		}
	}
	return ctx.Err()
}

// syncOnce does one full read, one watch or one wait for a message. It reports whether the copy may
// have changed through a store call.
func (r *Replicator) syncOnce(ctx context.Context) (bool, error) {
	if r.isBehindEra() {
		r.awaitRestoredCopy(ctx)
		r.needsFullRead = r.needsFullRead || r.isBehindEra()
	}
	if r.needsFullRead {
		return true, r.readAll(ctx)
	}
	startedAt := time.Now()
	if !r.isReader() {
		behind := r.drainMessages()
		if !behind && r.reliesOnReaders(startedAt) {
			behind = r.waitForMessage(ctx)
		}
		if !behind && r.reliesOnReaders(time.Now()) || r.isBehindEra() {
			return false, nil
		}
	}
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, WatchWait+watchMargin)
	defer cancel()
	changes, err := r.Store.Watch(ctx, r.WatchPrefix, r.Revision(), WatchWait)
	r.observeCall("watch", startedAt, err)
	if compacted := (*CompactedError)(nil); errors.As(err, &compacted) {
		r.recordResponse(time.Now())
		r.Log.Write(time.Now(), timeline.Event{Kind: "store_history_gone", Revision: compacted.After})
		r.needsFullRead = true
		return false, nil
	}
	if err != nil {
		return false, err
	}
	now := time.Now()
	from := r.Version()
	if changes.Era != from.Era {
		// The revisions of another era say nothing about this copy.
		r.ObserveEra(changes.Era)
		return false, &EraError{Expected: from.Era, Received: changes.Era}
	}
	update := r.beginUpdate(now, changes.version())
	r.broadcastChanges(now, from, changes, r.applyChanges(&update, changes))
	if len(update.Changed)+len(update.Removed) > 0 || update.OutageEndedAt.Equal(now) {
		r.Apply(now, update)
	}
	r.endLag(now, update.Source)
	return len(changes.Events) > 0, nil
}

// applyChanges applies the changes of a watch to the copy, adds them to update, and returns the
// items that were replaced.
//
// If a key changed several times, update gets its last change only, since it has no order between
// changed and removed items.
func (r *Replicator) applyChanges(update *Update, changes Changes) map[string]Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	replaced := map[string]Item{}
	changedKeys := map[string]bool{}
	for _, ev := range changes.Events {
		old, ok := r.items[ev.Key]
		if !r.isReplicated(ev.Key) || !ev.version().After(r.version) || ok && !ev.version().After(old.version()) {
			continue
		}
		if ok {
			if _, saved := replaced[ev.Key]; !saved {
				replaced[ev.Key] = old
			}
		}
		changedKeys[ev.Key] = true
		if ev.Removed {
			delete(r.items, ev.Key)
			continue
		}
		r.items[ev.Key] = ev.Item
	}
	for key := range changedKeys {
		if it, ok := r.items[key]; ok {
			update.Changed = append(update.Changed, it)
		} else {
			update.Removed = append(update.Removed, key)
		}
	}
	if changes.version().After(r.version) {
		r.version = changes.version()
	}
	return replaced
}

func (r *Replicator) isReplicated(key string) bool {
	for _, prefix := range r.Prefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// readAll replaces the copy with the present content of the store.
//
// Pages are not read at one revision, so the watch continues from the revision of the first one.
func (r *Replicator) readAll(ctx context.Context) error {
	items := map[string]Item{}
	first := Version{}
	for _, prefix := range r.Prefixes {
		version, err := r.readPrefix(ctx, prefix, items)
		if err != nil {
			return err
		}
		if first.Revision != 0 && version.Era != first.Era {
			return &EraError{Expected: first.Era, Received: version.Era}
		}
		if first.Revision == 0 || version.Revision < first.Revision {
			first = version
		}
	}
	now := time.Now()
	from := r.Version()
	if first.Era < from.Era {
		return &EraError{Expected: from.Era, Received: first.Era}
	}
	r.confirmEra(first.Era)
	restored := r.recordRestore(now, from, first)
	update := r.beginUpdate(now, first)
	update.Full, update.Restored = true, restored
	r.broadcastRestore(now, from, first, r.replaceItems(&update, items))
	r.needsFullRead = false
	r.Apply(now, update)
	r.endLag(now, update.Source)
	return nil
}

func (r *Replicator) readPrefix(ctx context.Context, prefix string, items map[string]Item) (first Version, err error) {
	after := ""
	for range maxPages {
		page, err := r.readPage(ctx, prefix, after)
		if err != nil {
			return Version{}, err
		}
		if first.Revision == 0 {
			first = Version{Era: page.Era, Revision: page.Revision}
		}
		if page.Era != first.Era {
			return Version{}, &EraError{Expected: first.Era, Received: page.Era}
		}
		for _, it := range page.Items {
			items[it.Key] = it
			after = it.Key
		}
		if !page.HasMore || len(page.Items) == 0 {
			break
		}
	}
	return first, nil
}

func (r *Replicator) readPage(ctx context.Context, prefix, after string) (Page, error) {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	page, err := r.Store.Range(ctx, prefix, after)
	r.observeCall("range", startedAt, err)
	return page, err
}

// replaceItems makes items the copy and returns the former items. It keeps items that are newer in
// the present copy: a copy from a peer may be newer than what was read.
func (r *Replicator) replaceItems(update *Update, items map[string]Item) (former map[string]Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, old := range r.items {
		if it, ok := items[key]; ok && old.version().After(it.version()) {
			items[key] = old
		}
	}
	former, r.items = r.items, items
	if update.version().After(r.version) {
		r.version = update.version()
	}
	for it := range maps.Values(items) {
		update.Changed = append(update.Changed, it)
	}
	return former
}

// beginUpdate records a response of the store and returns an update for it.
func (r *Replicator) beginUpdate(now time.Time, version Version) Update {
	r.recordResponse(now)
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

// recordResponse records that the store responded, which may end an outage.
func (r *Replicator) recordResponse(now time.Time) {
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

func (r *Replicator) fetchFromPeers(ctx context.Context) {
	if r.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
	defer cancel()
	from := r.Version()
	snapshot, source, ok := r.Peers.FetchSnapshotAfter(ctx, from)
	if !ok || !snapshot.After(from) {
		return
	}
	items := make(map[string]Item, len(snapshot.Items))
	for _, it := range snapshot.Items {
		items[it.Key] = it
	}
	now := time.Now()
	r.ObserveEra(snapshot.Era)
	restored := r.recordRestore(now, from, snapshot.Version)
	update := Update{Full: true, Restored: restored, Revision: snapshot.Revision, Era: snapshot.Era, Source: source, OutageEndedAt: r.recentOutageEnd(now)}
	r.replaceItems(&update, items)
	r.Log.Write(now, timeline.Event{Kind: "copy_from_member", Member: source, Revision: snapshot.Revision})
	r.endLag(now, source)
	r.needsFullRead = false
	r.Apply(now, update)
}

func (r *Replicator) observeCall(kind string, startedAt time.Time, err error) {
	r.recordCall(time.Now(), kind, startedAt, err)
	if r.ObserveCall != nil {
		r.ObserveCall(kind, time.Since(startedAt), err)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// errorReason returns a short name of an error for the log.
func errorReason(err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "no_answer"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	}
	if s := (interface{ Reason() string })(nil); errors.As(err, &s) {
		return s.Reason()
	}
	return "connection_failed"
}
