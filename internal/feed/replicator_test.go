package feed

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// storeStub holds items and serves Range and Watch calls.
type storeStub struct {
	mu       sync.Mutex
	items    map[string]Item
	events   []Event
	revision int64
	era      int64
	// compactedTo is the revision up to which the history has been dropped.
	compactedTo  int64
	down         bool
	unresponsive bool
	watches      int
	ranges       int
}

func newStoreStub() *storeStub { return &storeStub{items: map[string]Item{}} }

var errDown = errors.New("down")

func (s *storeStub) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := Item{Key: key, Value: []byte(value), Revision: s.revision, Era: s.era}
	s.items[key] = it
	s.events = append(s.events, Event{Item: it})
}

// putAll writes keys in one transaction.
func (s *storeStub) putAll(values map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for key, value := range values {
		it := Item{Key: key, Value: []byte(value), Revision: s.revision, Era: s.era}
		s.items[key] = it
		s.events = append(s.events, Event{Item: it})
	}
}

func (s *storeStub) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, Event{Item: Item{Key: key, Revision: s.revision, Era: s.era}, Removed: true})
}

// storeCopy is a copy that a store can be restored from.
type storeCopy struct {
	items    map[string]Item
	revision int64
}

func (s *storeStub) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{items: maps.Clone(s.items), revision: s.revision}
}

// restore replaces the content with a copy, which begins the next era.
func (s *storeStub) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.revision, s.events = maps.Clone(c.items), c.revision, nil
	s.compactedTo = c.revision
	s.era++
	for key, it := range s.items {
		it.Era = s.era
		s.items[key] = it
	}
}

func (s *storeStub) update(f func(s *storeStub)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *storeStub) Range(_ context.Context, prefix, after string) (Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ranges++
	if s.down {
		return Page{}, errDown
	}
	p := Page{Revision: s.revision, Era: s.era}
	for k, it := range s.items {
		if len(k) >= len(prefix) && k[:len(prefix)] == prefix && k > after {
			p.Items = append(p.Items, it)
		}
	}
	return p, nil
}

func (s *storeStub) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (Changes, error) {
	deadline := time.Now().Add(wait)
	s.update(func(s *storeStub) { s.watches++ })
	unresponsive := false
	for ctx.Err() == nil {
		// A watch that ran while the store was unresponsive never gets a response.
		s.update(func(s *storeStub) { unresponsive = unresponsive || s.unresponsive })
		if c, done, err := s.poll(after, deadline); done && !unresponsive {
			return c, err
		}
		time.Sleep(2 * time.Millisecond)
	}
	return Changes{}, ctx.Err()
}

func (s *storeStub) poll(after int64, deadline time.Time) (Changes, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return Changes{}, true, errDown
	case after < s.compactedTo || after > s.revision:
		return Changes{}, true, &CompactedError{After: after}
	}
	c := Changes{Revision: s.revision, Era: s.era}
	for _, ev := range s.events {
		if ev.Revision > after {
			c.Events = append(c.Events, ev)
		}
	}
	return c, len(c.Events) > 0 || time.Now().After(deadline), nil
}

// updateRecorder records the updates that a replicator has applied.
type updateRecorder struct {
	mu         sync.Mutex
	items      map[string]string
	lastUpdate Update
	// outageEnds holds the reported ends of outages.
	outageEnds map[time.Time]bool
}

func (r *updateRecorder) apply(_ time.Time, update Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if update.Full || r.items == nil {
		r.items = map[string]string{}
	}
	for _, it := range update.Changed {
		r.items[it.Key] = string(it.Value)
	}
	for _, key := range update.Removed {
		delete(r.items, key)
	}
	if !update.OutageEndedAt.IsZero() {
		if r.outageEnds == nil {
			r.outageEnds = map[time.Time]bool{}
		}
		r.outageEnds[update.OutageEndedAt] = true
	}
	r.lastUpdate = update
}

func (r *updateRecorder) get(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.items[key]
}

func (r *updateRecorder) outageCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.outageEnds)
}

func startReplicator(t *testing.T, r *Replicator) *updateRecorder {
	t.Helper()
	recorder := &updateRecorder{}
	next := r.Apply
	r.Prefixes, r.Apply = []string{"operators/", "targets/"}, func(now time.Time, update Update) {
		if next != nil {
			next(now, update)
		}
		recorder.apply(now, update)
	}
	r.Init()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return recorder
}

func requireEventually(t *testing.T, recorder *updateRecorder, key, value string, within time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool { return recorder.get(key) == value }, within, time.Millisecond, "%s must become %q", key, value)
}

// Guards against changes that are missed or applied late.
func TestAppliesStoreChanges(t *testing.T) {
	store := newStoreStub()
	store.put("operators/table", "1")
	recorder := startReplicator(t, &Replicator{Store: store})
	requireEventually(t, recorder, "operators/table", "1", time.Second)
	store.put("operators/table", "2")
	requireEventually(t, recorder, "operators/table", "2", 300*time.Millisecond)
	store.put("other/key", "x")
	store.put("targets/a", "y")
	requireEventually(t, recorder, "targets/a", "y", 500*time.Millisecond)
	require.Empty(t, recorder.get("other/key"))
	store.remove("targets/a")
	requireEventually(t, recorder, "targets/a", "", 500*time.Millisecond)
}

// Guards against removing a target whose entry expired and was written again between two watches.
func TestLastChangeOfKeyWins(t *testing.T) {
	store := newStoreStub()
	store.put("targets/a", "x")
	store.put("targets/b", "x")
	recorder := startReplicator(t, &Replicator{Store: store})
	requireEventually(t, recorder, "targets/b", "x", time.Second)
	store.put("operators/table", "1")
	requireEventually(t, recorder, "operators/table", "1", time.Second)
	// The replicator pauses now, so that one watch returns all of these changes.
	store.remove("targets/a")
	store.put("targets/a", "x")
	store.put("targets/b", "y")
	store.remove("targets/b")
	requireEventually(t, recorder, "targets/b", "", time.Second)
	require.Equal(t, "x", recorder.get("targets/a"))
}

// Guards against a target that is removed again by a message with changes that the receiver has
// already applied.
func TestOldChangesAreIgnored(t *testing.T) {
	r := &Replicator{Prefixes: []string{"targets/"}}
	r.Init()
	r.applyChanges(&Update{}, Changes{Revision: 4, Events: []Event{{Item: Item{Key: "targets/a", Revision: 3}, Removed: true}}})
	update := Update{}
	r.applyChanges(&update, Changes{Revision: 6, Events: []Event{
		{Item: Item{Key: "targets/a", Revision: 2}},
		{Item: Item{Key: "targets/a", Revision: 3}, Removed: true},
		{Item: Item{Key: "targets/a", Value: []byte("x"), Revision: 5}},
	}})
	require.Empty(t, update.Removed)
	require.Len(t, update.Changed, 1)
	require.EqualValues(t, 5, update.Changed[0].Revision)
}

// Guards against a copy that stays stale when the store leaves watches unanswered and then drops
// its history; a change has to be in force 3 s after the watches became unresponsive.
func TestUnansweredWatchAndCompactedHistory(t *testing.T) {
	store := newStoreStub()
	store.put("operators/table", "1")
	recorder := startReplicator(t, &Replicator{Store: store})
	requireEventually(t, recorder, "operators/table", "1", time.Second)
	store.update(func(store *storeStub) { store.unresponsive = true })
	unresponsiveSince := time.Now()
	store.put("operators/table", "2")
	time.Sleep(time.Second)
	store.update(func(store *storeStub) {
		store.unresponsive, store.compactedTo, store.events = false, store.revision, nil
	})
	requireEventually(t, recorder, "operators/table", "2", 3*time.Second-time.Since(unresponsiveSince))
}

// Guards against treating an outage of the store as the end of all targets.
func TestOutageIsReportedOnce(t *testing.T) {
	store := newStoreStub()
	store.put("targets/a", "x")
	recorder := startReplicator(t, &Replicator{Store: store})
	requireEventually(t, recorder, "targets/a", "x", time.Second)
	store.update(func(store *storeStub) { store.down = true })
	time.Sleep(outageAfter + 500*time.Millisecond)
	store.remove("targets/a")
	store.update(func(store *storeStub) { store.down = false })
	require.Eventually(t, func() bool { return recorder.outageCount() == 1 }, 2*time.Second, time.Millisecond)
}

// peerClientStub returns the copy of another instance.
type peerClientStub struct {
	mu       sync.Mutex
	snapshot Snapshot
}

func (p *peerClientStub) FetchSnapshotAfter(_ context.Context, after Version) (Snapshot, string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.snapshot, "other", p.snapshot.After(after)
}

func (p *peerClientStub) FetchChanges(context.Context, ChangesRequest, string) Fetched {
	return Fetched{}
}

// Guards against an instance that has no table, or a stale one, while it alone cannot reach the
// store, and against one that returns to an older copy.
func TestFetchesFromPeersWhileStoreIsUnavailable(t *testing.T) {
	store := newStoreStub()
	store.update(func(store *storeStub) { store.down = true })
	peers := &peerClientStub{snapshot: Snapshot{Version: Version{Revision: 7}, Items: []Item{{Key: "operators/table", Value: []byte("7"), Revision: 7}}}}
	r := &Replicator{Store: store, Peers: peers}
	recorder := startReplicator(t, r)
	requireEventually(t, recorder, "operators/table", "7", time.Second)
	peers.mu.Lock()
	peers.snapshot = Snapshot{Version: Version{Revision: 6}, Items: []Item{{Key: "operators/table", Value: []byte("6"), Revision: 6}}}
	peers.mu.Unlock()
	time.Sleep(time.Second)
	require.Equal(t, "7", recorder.get("operators/table"))
	require.EqualValues(t, 7, r.Revision())
}

// Guards against store calls by instances that receive the changes from a reader, and against
// instances that keep relying on a reader that has stopped.
func TestListenerReliesOnReader(t *testing.T) {
	store := newStoreStub()
	store.put("operators/table", "1")
	listener := &Replicator{Store: store, InstanceName: "b", IsReader: func() bool { return false }}
	listener.Init()
	var readerStopped atomic.Bool
	reader := &Replicator{Store: store, InstanceName: "a", IsReader: func() bool { return true }, Broadcast: func(data []byte) bool {
		if len(data) > 1400 {
			return false
		}
		if !readerStopped.Load() {
			listener.HandleMessage(time.Now(), data)
		}
		return true
	}}
	startReplicator(t, reader)
	heartbeatCtx, stop := context.WithCancel(context.Background())
	go func() { _ = reader.RunHeartbeats(heartbeatCtx) }()
	defer stop()
	recorder := startReplicator(t, listener)
	requireEventually(t, recorder, "operators/table", "1", time.Second)
	time.Sleep(WatchWait + 500*time.Millisecond)

	before := watchCount(store)
	store.put("targets/a", "x")
	requireEventually(t, recorder, "targets/a", "x", 300*time.Millisecond)
	large := randomText(4 << 10)
	store.put("operators/table", large)
	requireEventually(t, recorder, "operators/table", large, 500*time.Millisecond)
	time.Sleep(time.Second)
	require.LessOrEqual(t, watchCount(store)-before, 5, "the reader's watches and one of the listener for the large change")

	before = watchCount(store)
	store.put("operators/table", large[:2000]+"changed"+large[2000:])
	requireEventually(t, recorder, "operators/table", large[:2000]+"changed"+large[2000:], 300*time.Millisecond)
	require.LessOrEqual(t, watchCount(store)-before, 2, "the reader broadcasts a small change of a large value")

	stop()
	readerStopped.Store(true)
	time.Sleep(heartbeatTTL)
	store.put("targets/b", "y")
	requireEventually(t, recorder, "targets/b", "y", time.Second)
}

// partitionedStore is one instance's connection to the store, which can be cut.
type partitionedStore struct {
	*storeStub
	partitioned atomic.Bool
	// silent makes calls hang, instead of fail, while the connection is cut.
	silent bool
}

func (c *partitionedStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error) {
	for deadline := time.Now().Add(wait); time.Now().Before(deadline) && ctx.Err() == nil && !c.partitioned.Load(); {
		if changes, err := c.storeStub.Watch(ctx, prefix, after, 5*time.Millisecond); err != nil || len(changes.Events) > 0 {
			if c.partitioned.Load() {
				break
			}
			return changes, err
		}
	}
	switch {
	case c.partitioned.Load() && c.silent:
		<-ctx.Done()
		return Changes{}, ctx.Err()
	case c.partitioned.Load():
		return Changes{}, errDown
	}
	return c.storeStub.Watch(ctx, prefix, after, 0)
}

// Guards against removed targets that stay in use because a reader could not reach a store that
// responded to the others, and against forgetting all targets after an outage that only a reader
// noticed.
func TestOutageOfReader(t *testing.T) {
	for name, storeDown := range map[string]bool{"of the reader alone": false, "of the store": true} {
		t.Run(name, func(t *testing.T) {
			store := newStoreStub()
			store.put("targets/a", "x")
			listener := &Replicator{Store: store, InstanceName: "b", IsReader: func() bool { return false }}
			listener.Init()
			source := &partitionedStore{storeStub: store}
			reader := &Replicator{Store: source, InstanceName: "a", IsReader: func() bool { return true }, Broadcast: func(data []byte) bool {
				listener.HandleMessage(time.Now(), data)
				return true
			}}
			readerRecorder := startReplicator(t, reader)
			heartbeatCtx, stop := context.WithCancel(context.Background())
			go func() { _ = reader.RunHeartbeats(heartbeatCtx) }()
			defer stop()
			recorder := startReplicator(t, listener)
			requireEventually(t, recorder, "targets/a", "x", time.Second)
			requireEventually(t, readerRecorder, "targets/a", "x", time.Second)
			// Ends the reader's watch, so that the next one fails.
			store.put("targets/b", "y")
			requireEventually(t, readerRecorder, "targets/b", "y", time.Second)
			source.partitioned.Store(true)
			store.update(func(store *storeStub) { store.down = storeDown })
			lostAt := time.Now()
			for i := 0; time.Since(lostAt) < 3500*time.Millisecond; i++ {
				time.Sleep(100 * time.Millisecond)
				if !storeDown {
					store.put("targets/c", string(rune('a'+i%26)))
				}
			}
			source.partitioned.Store(false)
			store.update(func(store *storeStub) { store.down = false })
			store.put("targets/d", "z")
			requireEventually(t, recorder, "targets/d", "z", 2*time.Second)
			requireEventually(t, readerRecorder, "targets/d", "z", 2*time.Second)
			// A later change carries the report of the outage.
			store.put("targets/e", "z")
			requireEventually(t, recorder, "targets/e", "z", time.Second)
			require.Equal(t, 1, readerRecorder.outageCount())
			require.Equal(t, storeDown, recorder.outageCount() > 0)
		})
	}
}

// Guards against a change that is applied late because both readers can't reach a store that
// responds to the others: it has to be in force 2 s after the store accepted it.
func TestChangeWhileReadersArePartitioned(t *testing.T) {
	for name, unanswered := range map[string]bool{"refused": false, "unanswered": true} {
		t.Run(name, func(t *testing.T) {
			store := newStoreStub()
			store.put("operators/table", "1")
			listener := &Replicator{Store: store, InstanceName: "c", IsReader: func() bool { return false }}
			listener.Init()
			var sources []*partitionedStore
			for _, name := range []string{"a", "b"} {
				source := &partitionedStore{storeStub: store, silent: unanswered}
				sources = append(sources, source)
				reader := &Replicator{Store: source, InstanceName: name, IsReader: func() bool { return true }, Broadcast: func(data []byte) bool {
					listener.HandleMessage(time.Now(), data)
					return true
				}}
				startReplicator(t, reader)
				heartbeatCtx, stop := context.WithCancel(context.Background())
				go func() { _ = reader.RunHeartbeats(heartbeatCtx) }()
				defer stop()
			}
			recorder := startReplicator(t, listener)
			requireEventually(t, recorder, "operators/table", "1", time.Second)
			time.Sleep(WatchWait + watchMargin)
			for _, source := range sources {
				source.partitioned.Store(true)
			}
			store.put("operators/table", "2")
			requireEventually(t, recorder, "operators/table", "2", 2*time.Second)
		})
	}
}

func watchCount(s *storeStub) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

func randomText(n int) string {
	rng := rand.New(rand.NewPCG(1, 2))
	b := make([]byte, n)
	for i := range b {
		b[i] = byte('a' + rng.IntN(26))
	}
	return string(b)
}
