package feed

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// replicatorPair is a reader and an instance that relies on it, each with its own way to the store.
type replicatorPair struct {
	reader, listener                 *Replicator
	readerRecorder, listenerRecorder *updateRecorder
}

func startPair(t *testing.T, readerStore, listenerStore StoreClient) *replicatorPair {
	p := &replicatorPair{reader: &Replicator{}}
	p.listener = &Replicator{Store: listenerStore, Peers: &replicatorPeer{p.reader}, InstanceName: "b", IsReader: func() bool { return false }}
	p.listener.Init()
	*p.reader = Replicator{Store: readerStore, InstanceName: "a", IsReader: func() bool { return true }, Broadcast: func(data []byte) bool {
		if len(data) > 1400 {
			return false
		}
		p.listener.HandleMessage(time.Now(), data)
		return true
	}}
	p.readerRecorder = startReplicator(t, p.reader)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = p.reader.RunHeartbeats(ctx) }()
	p.listenerRecorder = startReplicator(t, p.listener)
	return p
}

func (r *updateRecorder) content() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.items)
}

func requireContent(t *testing.T, r *updateRecorder, want map[string]string, within time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool { return maps.Equal(want, r.content()) }, within, 2*time.Millisecond, "want %v", want)
}

// Guards against an instance that treats a revision of the restored store as one that it has applied
// before the restore, and so misses the change.
func TestRestoreGivesRevisionsOutAgain(t *testing.T) {
	for name, writesAfter := range map[string]int{"fewer than were lost": 1, "as many as were lost": 2, "more than were lost": 4} {
		t.Run(name, func(t *testing.T) {
			store := newStoreStub()
			store.put("operators/table", "1")
			r := &Replicator{Store: store}
			recorder := startReplicator(t, r)
			requireEventually(t, recorder, "operators/table", "1", time.Second)
			saved := store.copy()
			store.put("operators/table", "lost")
			store.put("targets/lost", "lost")
			requireEventually(t, recorder, "targets/lost", "lost", time.Second)
			store.restore(saved)
			want := map[string]string{"operators/table": "1"}
			for i := range writesAfter {
				key := "targets/" + string(rune('a'+i))
				store.put(key, "new")
				want[key] = "new"
			}
			requireContent(t, recorder, want, 2*time.Second)
			require.Equal(t, Version{Era: 1, Revision: saved.revision + int64(writesAfter)}, r.Version())
			require.Positive(t, recorder.outageCount(), "the entries that the copy lacks must get the time to come back")
		})
	}
}

// Guards against a second restore that is taken for the first one.
func TestTwoRestoresInARow(t *testing.T) {
	store := newStoreStub()
	store.put("operators/table", "1")
	r := &Replicator{Store: store}
	recorder := startReplicator(t, r)
	requireEventually(t, recorder, "operators/table", "1", time.Second)
	saved := store.copy()
	store.put("targets/a", "lost")
	requireEventually(t, recorder, "targets/a", "lost", time.Second)
	store.restore(saved)
	store.put("targets/b", "lost too")
	store.restore(saved)
	store.put("targets/c", "new")
	requireContent(t, recorder, map[string]string{"operators/table": "1", "targets/c": "new"}, 2*time.Second)
	require.EqualValues(t, 2, r.Version().Era)
}

// Guards against a burst of reads by all instances after a restore, and against an instance that
// keeps what the restore has lost.
func TestListenerFollowsRestoreThroughReader(t *testing.T) {
	store := newStoreStub()
	listenerStore := newStoreStub()
	store.put("operators/table", "1")
	store.put("targets/a", "a")
	listenerStore.update(func(s *storeStub) { s.down = true })
	p := startPair(t, store, listenerStore)
	want := map[string]string{"operators/table": "1", "targets/a": "a"}
	requireContent(t, p.listenerRecorder, want, 3*time.Second)
	saved := store.copy()
	store.put("targets/a", "leaving")
	store.put("targets/lost", "lost")
	want["targets/a"], want["targets/lost"] = "leaving", "lost"
	requireContent(t, p.listenerRecorder, want, 3*time.Second)
	calls := listenerStore.callCount()
	store.restore(saved)
	store.put("targets/new", "new")
	requireContent(t, p.listenerRecorder, map[string]string{"operators/table": "1", "targets/a": "a", "targets/new": "new"}, 3*time.Second)
	require.Equal(t, store.copy().revision, p.listener.Version().Revision)
	require.EqualValues(t, 1, p.listener.Version().Era)
	require.LessOrEqual(t, listenerStore.callCount()-calls, 1, "the instance must not read the store itself")
}

func (s *storeStub) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches + s.ranges
}

// replicatorPeer serves a replicator's copy as another instance does.
type replicatorPeer struct{ replicator *Replicator }

func (p *replicatorPeer) FetchSnapshotAfter(_ context.Context, after Version) (Snapshot, string, bool) {
	s, ok := p.replicator.SnapshotAfter(after)
	return s, "peer", ok
}

// Guards against an instance that alone can't reach the store and keeps its copy of the earlier era,
// and against an earlier era that comes back from another instance with higher revisions.
func TestCopiesOfAnEarlierEraAreSuperseded(t *testing.T) {
	store := newStoreStub()
	store.update(func(s *storeStub) { s.down = true })
	former := Snapshot{Version: Version{Era: 1, Revision: 500}, Items: []Item{{Key: "operators/table", Value: []byte("lost"), Revision: 499, Era: 1}}}
	restored := Snapshot{Version: Version{Era: 2, Revision: 450}, Items: []Item{{Key: "operators/table", Value: []byte("restored"), Revision: 440, Era: 2}}}
	peers := &peerClientStub{snapshot: former}
	r := &Replicator{Store: store, Peers: peers}
	recorder := startReplicator(t, r)
	requireEventually(t, recorder, "operators/table", "lost", 2*time.Second)
	peers.set(restored)
	requireEventually(t, recorder, "operators/table", "restored", 3*time.Second)
	former.Revision = 900
	peers.set(former)
	time.Sleep(1500 * time.Millisecond)
	require.Equal(t, "restored", recorder.get("operators/table"))
	require.Equal(t, Version{Era: 2, Revision: 450}, r.Version())
}

func (p *peerClientStub) set(s Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snapshot = s
}

// lateStore returns answers of an earlier era for a while after a restore.
type lateStore struct {
	*storeStub
	mu   sync.Mutex
	late *Page
}

func (s *lateStore) Range(ctx context.Context, prefix, after string) (Page, error) {
	s.mu.Lock()
	late := s.late
	s.mu.Unlock()
	if late != nil {
		return *late, nil
	}
	return s.storeStub.Range(ctx, prefix, after)
}

// Guards against a late answer of the former era that undoes what was read after the restore.
func TestLateAnswersOfFormerEraAreDropped(t *testing.T) {
	store := &lateStore{storeStub: newStoreStub()}
	store.update(func(s *storeStub) { s.era = 4 })
	store.put("operators/table", "1")
	r := &Replicator{Store: store}
	recorder := startReplicator(t, r)
	requireEventually(t, recorder, "operators/table", "1", time.Second)
	store.mu.Lock()
	store.late = &Page{Era: 3, Revision: 70, Items: []Item{{Key: "operators/table", Value: []byte("former"), Revision: 70, Era: 3}}}
	store.mu.Unlock()
	// Dropping the history makes the replicator read everything again.
	store.update(func(s *storeStub) { s.compactedTo = s.revision + 5; s.revision += 5 })
	time.Sleep(300 * time.Millisecond)
	require.Equal(t, "1", recorder.get("operators/table"))
	store.mu.Lock()
	store.late = nil
	store.mu.Unlock()
	store.put("operators/table", "2")
	requireEventually(t, recorder, "operators/table", "2", 2*time.Second)

	r.messages <- receivedMessage{ChangeMessage: ChangeMessage{
		Reader: "x", FromRevision: 1, ToRevision: 99, FromEra: 3, Era: 3,
		Changed: []changeItem{{Key: "operators/table", Text: "former", Revision: 99, Era: 3}},
	}, receivedAt: time.Now()}
	r.drainMessages()
	require.Equal(t, "2", recorder.get("operators/table"))
}

// Guards against an instance that reads the whole store again and again because one message or response stated
// an era that the store does not have.
func TestWrongEraCostsOneRead(t *testing.T) {
	store := newStoreStub()
	store.put("operators/table", "1")
	r := &Replicator{Store: store}
	recorder := startReplicator(t, r)
	requireEventually(t, recorder, "operators/table", "1", time.Second)
	store.update(func(s *storeStub) { s.ranges = 0 })
	r.ObserveEra(99)
	time.Sleep(WatchWait + time.Second)
	store.put("operators/table", "2")
	requireEventually(t, recorder, "operators/table", "2", time.Second)
	store.update(func(s *storeStub) { require.Equal(t, len(r.Prefixes), s.ranges) })
	require.EqualValues(t, 0, r.ObservedEra())
}

// Guards against a difference that is applied to a value of another era with the same revision.
func TestDeltaNeedsItsEra(t *testing.T) {
	base := Item{Key: "operators/table", Value: []byte(randomText(2000)), Revision: 8, Era: 1}
	ev := Event{Item: Item{Key: base.Key, Value: append([]byte("x"), base.Value...), Revision: 9, Era: 1}}
	change := encodeChange(&ev, base)
	require.NotEmpty(t, change.Delta)
	r := &Replicator{}
	r.Init()
	r.items[base.Key] = base
	got, ok := r.decodeChange(&change, nil)
	require.True(t, ok)
	require.Equal(t, ev, got)
	base.Era = 2
	r.items[base.Key] = base
	_, ok = r.decodeChange(&change, nil)
	require.False(t, ok)
}

// leaseStore is a store that grants leases and may be restored.
type leaseStore struct {
	mu       sync.Mutex
	era      int64
	next     int64
	keys     map[string]Lease
	revoked  []Lease
	renewed  []Lease
	loseNext bool
}

func (s *leaseStore) Grant(context.Context, time.Duration) (Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	return Lease{ID: s.next, Era: s.era}, nil
}

func (s *leaseStore) Renew(_ context.Context, lease Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewed = append(s.renewed, lease)
	if lease.Era != s.era {
		return &LeaseEndedError{Lease: lease.ID}
	}
	return nil
}

func (s *leaseStore) Revoke(_ context.Context, lease Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoked = append(s.revoked, lease)
	return nil
}

func (s *leaseStore) Put(_ context.Context, key string, _ []byte, lease Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys[key] = lease
	if s.loseNext {
		s.loseNext = false
		return context.DeadlineExceeded
	}
	return nil
}

func (s *leaseStore) leaseOf(key string) Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key]
}

// Guards against an instance that stays unlisted after a restore until its next renewal, and against
// renewing or ending a lease whose number belongs to another owner by then.
func TestPresenceAfterRestore(t *testing.T) {
	for name, loseAnswer := range map[string]bool{"answered": false, "answer of the write lost": true} {
		t.Run(name, func(t *testing.T) {
			s := &leaseStore{era: 1, keys: map[string]Lease{}}
			r := &Replicator{}
			r.ObserveEra(1)
			p := &Presence{Leases: s, Key: "instances/a", EraRaised: r.EraRaised(), Era: r.ObservedEra}
			ctx, stop := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { defer close(done); _ = p.Run(ctx) }()
			require.Eventually(t, func() bool { return s.leaseOf("instances/a") == Lease{ID: 1, Era: 1} }, time.Second, time.Millisecond)
			s.mu.Lock()
			s.era, s.next, s.keys, s.loseNext = 2, 0, map[string]Lease{}, loseAnswer
			s.mu.Unlock()
			r.ObserveEra(2)
			require.Eventually(t, func() bool { return s.leaseOf("instances/a").Era == 2 }, restoreWriteSpread+time.Second, 2*time.Millisecond)
			stop()
			<-done
			s.mu.Lock()
			defer s.mu.Unlock()
			require.Empty(t, s.renewed)
			for _, lease := range s.revoked {
				require.EqualValues(t, 2, lease.Era)
			}
		})
	}
}

func memberItem(name string, port int) Item {
	return Item{Key: "instances/" + name, Value: []byte(fmt.Sprintf(`{"name":%q,"address":"10.0.0.1:%d"}`, name, port)), Revision: 1}
}

// Guards against instances that each read the store themselves, or lose their peers, because a restored
// store does not list them yet.
func TestMembersMissingAfterRestoreAreKept(t *testing.T) {
	a, b, c := memberItem("a", 1), memberItem("b", 2), memberItem("c", 3)
	for name, restored := range map[string]Update{
		"complete read": {Full: true, Restored: true, Changed: []Item{a}},
		"difference":    {Restored: true, Removed: []string{b.Key, c.Key}},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			m := &Membership{KeyPrefix: "instances/"}
			m.Apply(now, Update{Full: true, Changed: []Item{a, b, c}})
			m.Apply(now, restored)
			require.Equal(t, 3, m.Count())
			m.Apply(now.Add(time.Second), Update{Changed: []Item{b}})
			require.Equal(t, 3, m.Count())
			m.Apply(now.Add(restoredMemberGrace), Update{})
			require.Equal(t, 2, m.Count(), "c has not listed itself again")
			m.Apply(now.Add(time.Minute), Update{Removed: []string{b.Key}})
			require.Equal(t, 1, m.Count())
		})
	}
}

func (p *replicatorPeer) FetchChanges(_ context.Context, request ChangesRequest, _ string) Fetched {
	return Fetched{Data: p.replicator.changesFor(&request).Data, From: "a"}
}
