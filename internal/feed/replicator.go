package feed

import (
	"context"
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
	// peerFetchTimeout bounds one round of calls to other instances while the store is unavailable, and laterTimeout one in
	// which they send what is later than the copy in a compressed form.
	peerFetchTimeout = 400 * time.Millisecond
	laterTimeout     = time.Second
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
	// FetchChanges asks other instances for changes; reader is the one that has announced them.
	FetchChanges(ctx context.Context, request ChangesRequest, reader string) Fetched
}

// Replicator keeps a copy of some prefixes of the store; set its exported fields before Run.
type Replicator struct {
	Store StoreClient
	// Peers is called when the copy is behind, and while the store is unavailable; it may be nil.
	Peers PeerClient
	// Prefixes are replicated; WatchPrefix is the prefix that covers all of them.
	Prefixes    []string
	WatchPrefix string
	// Apply receives each update of the copy; it is called by one goroutine at a time.
	Apply func(now time.Time, update Update)
	Log   *timeline.Writer
	// RepeatedPrefix is the prefix of keys whose changes a reader repeats in later heartbeats, so that an instance that missed them
	// gets them without a call of its own. If it is empty, none are.
	RepeatedPrefix string
	// InstanceName names this instance. IsReader reports whether it reads the store for others, and
	// Broadcast sends them a message and returns false if it is too long; both may be nil, and then
	// each instance reads the store itself.
	InstanceName string
	IsReader     func() bool
	Broadcast    func(data []byte) bool
	// MaxBroadcast is the length of the longest message that Broadcast sends, or 0 if there is no limit.
	MaxBroadcast int
	// ObserveCall, if set, is called after each call to the store.
	ObserveCall func(kind string, took time.Duration, err error)

	mu    sync.Mutex
	items map[string]Item
	// version is the version of the copy; revision 0 means that there is none.
	version Version
	// applied is the version of the copy that Apply has received.
	applied Version
	// versionChanged is closed when version changes.
	versionChanged chan struct{}
	// announced is the latest version that a message has stated, and announcedAt when it came.
	announced   Version
	announcedAt time.Time
	history     history
	repeater    repeater
	encoded     encodedReply
	// observedEra is the latest era that any response or message has stated.
	observedEra int64
	eraRaised   chan struct{}
	// lastResponseAt is when the store last responded, and confirmedAt the time as of which it confirmed the copy. outageEndedAt is
	// when it last recovered, and outageBeganAt when the first call failed in that outage.
	lastResponseAt time.Time
	confirmedAt    time.Time
	outageEndedAt  time.Time
	outageBeganAt  time.Time
	// failures counts the failed calls since lastResponseAt.
	failures int
	messages chan receivedMessage
	// clock identifies the clock that clockStartedAt starts.
	clock          uint64
	clockStartedAt time.Time
	delays         delayTracker
	// done is closed when Run returns.
	done chan struct{}
	// encodeMu lets one reply be encoded at a time. announceMu is held from a change of the copy until it has been
	// sent, so that no heartbeat announces it before.
	encodeMu   sync.Mutex
	announceMu sync.Mutex
	// applyMu is held from a change of the copy until Apply has received it.
	applyMu sync.Mutex
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
	// messagesLate is set if the last message arrived late.
	messagesLate bool
	// readerExpiry is the time until which each reader's messages are relied on.
	readerExpiry map[string]time.Time
}

// Init prepares the replicator for messages that arrive before Run.
func (r *Replicator) Init() {
	r.initOnce.Do(func() {
		r.items, r.readerExpiry = map[string]Item{}, map[string]time.Time{}
		r.messages = make(chan receivedMessage, messageQueueSize)
		r.eraRaised = make(chan struct{}, 1)
		r.clock, r.clockStartedAt = rand.Uint64()|1, time.Now()
		r.versionChanged, r.done = make(chan struct{}), make(chan struct{})
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
	defer close(r.done)
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

// syncOnce does one full read, one watch, one wait for a message or one round of calls to other instances. It reports
// whether the copy may have changed through a store call.
func (r *Replicator) syncOnce(ctx context.Context) (bool, error) {
	if r.isBehindEra() {
		r.awaitRestoredCopy(ctx)
		r.needsFullRead = r.needsFullRead || r.isBehindEra()
	}
	if r.needsFullRead {
		return true, r.readAll(ctx)
	}
	if r.listens() && r.followReaders(ctx) {
		return false, nil
	}
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	return r.watch(ctx)
}

// listens reports whether this instance gets changes from others: it is no reader, or a reader whose own calls
// fail.
func (r *Replicator) listens() bool {
	if !r.isReader() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures >= failuresBeforeReport
}

// followReaders applies the messages of readers, and fetches the changes that they only announce. It returns
// false if this instance has to read the store itself.
func (r *Replicator) followReaders(ctx context.Context) bool {
	r.drainMessages()
	isReader := r.isReader()
	if !isReader && !r.isBehind() && r.reliesOnReaders(time.Now()) {
		r.waitForMessage(ctx)
	}
	if r.isBehind() && !r.isBehindEra() {
		r.catchUp(ctx)
	}
	return !isReader && !r.isBehind() && r.reliesOnReaders(time.Now()) || r.isBehindEra()
}

// watch waits for changes in the store and reports whether there were any.
func (r *Replicator) watch(ctx context.Context) (bool, error) {
	startedAt := time.Now()
	ctx, cancel := withStallTimeout(ctx, WatchWait+watchMargin)
	defer cancel()
	changes, err := r.Store.Watch(ctx, r.WatchPrefix, r.Revision(), WatchWait)
	err = stallError(ctx, err)
	r.observeCall("watch", startedAt, err)
	if compacted := (*CompactedError)(nil); errors.As(err, &compacted) {
		r.recordResponse(time.Now(), time.Time{})
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
	update := r.beginUpdate(now, responseBegan(ctx, now), changes.version())
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	r.applyAndBroadcast(now, from, &update, changes)
	if len(update.Changed)+len(update.Removed) > 0 || update.OutageEndedAt.Equal(now) {
		r.apply(now, update)
	} else {
		r.markApplied()
	}
	r.dropAnnouncement(startedAt)
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
	r.advance(changes.version())
	return replaced
}

// advance sets the version of the copy, unless it is a later one already; the caller holds mu.
func (r *Replicator) advance(version Version) {
	if !version.After(r.version) {
		return
	}
	r.version = version
	close(r.versionChanged)
	r.versionChanged = make(chan struct{})
}

func (r *Replicator) isReplicated(key string) bool {
	for _, prefix := range r.Prefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
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
