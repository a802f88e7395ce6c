package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// storeStub holds items and serves ranges and watches of them.
type storeStub struct {
	mu       sync.Mutex
	items    map[string]Item
	events   []Event
	revision int64
	// compacted is the revision up to which the history is gone.
	compacted int64
	down      bool
	mute      bool
	watches   int
}

func newStoreStub() *storeStub { return &storeStub{items: map[string]Item{}} }

var errDown = errors.New("down")

func (s *storeStub) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := Item{Key: key, Value: []byte(value), Revision: s.revision}
	s.items[key] = it
	s.events = append(s.events, Event{Item: it})
}

func (s *storeStub) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, Event{Item: Item{Key: key, Revision: s.revision}, Removed: true})
}

func (s *storeStub) set(f func(s *storeStub)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *storeStub) Range(_ context.Context, prefix, after string) (Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return Page{}, errDown
	}
	p := Page{Revision: s.revision}
	for k, it := range s.items {
		if len(k) >= len(prefix) && k[:len(prefix)] == prefix && k > after {
			p.Items = append(p.Items, it)
		}
	}
	return p, nil
}

func (s *storeStub) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (Changes, error) {
	ends := time.Now().Add(wait)
	s.set(func(s *storeStub) { s.watches++ })
	mute := false
	for ctx.Err() == nil {
		// A watch that was mute once gets no answer any more.
		s.set(func(s *storeStub) { mute = mute || s.mute })
		if c, done, err := s.poll(after, ends); done && !mute {
			return c, err
		}
		time.Sleep(2 * time.Millisecond)
	}
	return Changes{}, ctx.Err()
}

func (s *storeStub) poll(after int64, ends time.Time) (Changes, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return Changes{}, true, errDown
	case after < s.compacted:
		return Changes{}, true, &CompactedError{After: after}
	}
	c := Changes{Revision: s.revision}
	for _, ev := range s.events {
		if ev.Revision > after {
			c.Events = append(c.Events, ev)
		}
	}
	return c, len(c.Events) > 0 || time.Now().After(ends), nil
}

// copyStub is what a follower has applied.
type copyStub struct {
	mu    sync.Mutex
	items map[string]string
	last  Update
	// regained holds the ends of outages that were told.
	regained map[time.Time]bool
}

func (c *copyStub) apply(_ time.Time, u Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.Whole || c.items == nil {
		c.items = map[string]string{}
	}
	for _, it := range u.Changed {
		c.items[it.Key] = string(it.Value)
	}
	for _, key := range u.Removed {
		delete(c.items, key)
	}
	if !u.RegainedAt.IsZero() {
		if c.regained == nil {
			c.regained = map[time.Time]bool{}
		}
		c.regained[u.RegainedAt] = true
	}
	c.last = u
}

func (c *copyStub) get(key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.items[key]
}

func (c *copyStub) outages() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.regained)
}

func startFollower(t *testing.T, f *Follower) *copyStub {
	t.Helper()
	c := &copyStub{}
	f.Prefixes, f.Apply = []string{"operators/", "targets/"}, c.apply
	f.Init()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return c
}

func has(t *testing.T, c *copyStub, key, value string, within time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool { return c.get(key) == value }, within, time.Millisecond, "%s must become %q", key, value)
}

// Guards against changes that are missed or come late.
func TestFollowsChanges(t *testing.T) {
	s := newStoreStub()
	s.put("operators/table", "1")
	c := startFollower(t, &Follower{Source: s})
	has(t, c, "operators/table", "1", time.Second)
	s.put("operators/table", "2")
	has(t, c, "operators/table", "2", 300*time.Millisecond)
	s.put("other/key", "x")
	s.put("targets/a", "y")
	has(t, c, "targets/a", "y", 500*time.Millisecond)
	require.Empty(t, c.get("other/key"))
	s.remove("targets/a")
	has(t, c, "targets/a", "", 500*time.Millisecond)
}

// Guards against a target whose entry lapsed and came back between two looks, and is taken for gone.
func TestLastChangeOfKeyCounts(t *testing.T) {
	s := newStoreStub()
	s.put("targets/a", "x")
	s.put("targets/b", "x")
	c := startFollower(t, &Follower{Source: s})
	has(t, c, "targets/b", "x", time.Second)
	s.put("operators/table", "1")
	has(t, c, "operators/table", "1", time.Second)
	// The follower pauses now, so that these come together.
	s.remove("targets/a")
	s.put("targets/a", "x")
	s.put("targets/b", "y")
	s.remove("targets/b")
	has(t, c, "targets/b", "", time.Second)
	require.Equal(t, "x", c.get("targets/a"))
}

// Guards against a target that is removed again by news of changes that the listener has had before.
func TestOldNewsIsLeftOut(t *testing.T) {
	f := &Follower{Prefixes: []string{"targets/"}}
	f.Init()
	f.take(&Update{}, Changes{Revision: 4, Events: []Event{{Item: Item{Key: "targets/a", Revision: 3}, Removed: true}}})
	u := Update{}
	f.take(&u, Changes{Revision: 6, Events: []Event{
		{Item: Item{Key: "targets/a", Revision: 2}},
		{Item: Item{Key: "targets/a", Revision: 3}, Removed: true},
		{Item: Item{Key: "targets/a", Value: []byte("x"), Revision: 5}},
	}})
	require.Empty(t, u.Removed)
	require.Len(t, u.Changed, 1)
	require.EqualValues(t, 5, u.Changed[0].Revision)
}

// Guards against a copy that stays old when the store leaves watches unanswered and then drops
// its history; a change has to be in force 3 s after the watches went quiet.
func TestMuteWatchAndLostHistory(t *testing.T) {
	s := newStoreStub()
	s.put("operators/table", "1")
	c := startFollower(t, &Follower{Source: s})
	has(t, c, "operators/table", "1", time.Second)
	s.set(func(s *storeStub) { s.mute = true })
	begun := time.Now()
	s.put("operators/table", "2")
	time.Sleep(time.Second)
	s.set(func(s *storeStub) { s.mute, s.compacted, s.events = false, s.revision, nil })
	has(t, c, "operators/table", "2", 3*time.Second-time.Since(begun))
}

// Guards against an outage of the store that is taken for the end of all targets.
func TestOutageIsToldOnce(t *testing.T) {
	s := newStoreStub()
	s.put("targets/a", "x")
	c := startFollower(t, &Follower{Source: s})
	has(t, c, "targets/a", "x", time.Second)
	s.set(func(s *storeStub) { s.down = true })
	time.Sleep(outageAfter + 500*time.Millisecond)
	s.remove("targets/a")
	s.set(func(s *storeStub) { s.down = false })
	require.Eventually(t, func() bool { return c.outages() == 1 }, 2*time.Second, time.Millisecond)
}

// peersStub gives copies of another instance.
type peersStub struct {
	mu    sync.Mutex
	state State
}

func (p *peersStub) Later(_ context.Context, after int64) (State, string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, "other", p.state.Revision > after
}

// Guards against an instance that stays without a table, or with an old one, while only it cannot
// reach the store, and against one that goes back to an older copy.
func TestAsksOthersWhileTheStoreIsAway(t *testing.T) {
	s := newStoreStub()
	s.set(func(s *storeStub) { s.down = true })
	p := &peersStub{state: State{Revision: 7, Items: []Item{{Key: "operators/table", Value: []byte("7"), Revision: 7}}}}
	f := &Follower{Source: s, Peers: p}
	c := startFollower(t, f)
	has(t, c, "operators/table", "7", time.Second)
	p.mu.Lock()
	p.state = State{Revision: 6, Items: []Item{{Key: "operators/table", Value: []byte("6"), Revision: 6}}}
	p.mu.Unlock()
	time.Sleep(time.Second)
	require.Equal(t, "7", c.get("operators/table"))
	require.EqualValues(t, 7, f.Revision())
}

// Guards against calls to the store by instances that hear its changes from a reader, and against
// ones that go on trusting a reader that has stopped.
func TestReliesOnReader(t *testing.T) {
	s := newStoreStub()
	s.put("operators/table", "1")
	listener := &Follower{Source: s, Name: "b", Reads: func() bool { return false }}
	listener.Init()
	var silent atomic.Bool
	reader := &Follower{Source: s, Name: "a", Reads: func() bool { return true }, Tell: func(data []byte) bool {
		if len(data) > 1400 {
			return false
		}
		if !silent.Load() {
			listener.Receive(time.Now(), data)
		}
		return true
	}}
	startFollower(t, reader)
	beating, stop := context.WithCancel(context.Background())
	go func() { _ = reader.Beat(beating) }()
	defer stop()
	c := startFollower(t, listener)
	has(t, c, "operators/table", "1", time.Second)
	time.Sleep(WatchWait + 500*time.Millisecond)

	before := watchesOf(s)
	s.put("targets/a", "x")
	has(t, c, "targets/a", "x", 300*time.Millisecond)
	large := randomText(4 << 10)
	s.put("operators/table", large)
	has(t, c, "operators/table", large, 500*time.Millisecond)
	time.Sleep(time.Second)
	require.LessOrEqual(t, watchesOf(s)-before, 5, "the reader's watches and one of the listener for the large change")

	before = watchesOf(s)
	s.put("operators/table", large[:2000]+"changed"+large[2000:])
	has(t, c, "operators/table", large[:2000]+"changed"+large[2000:], 300*time.Millisecond)
	require.LessOrEqual(t, watchesOf(s)-before, 2, "a small change of a large value is told by the reader")

	stop()
	silent.Store(true)
	time.Sleep(beatLife)
	s.put("targets/b", "y")
	has(t, c, "targets/b", "y", time.Second)
}

// cutSource is a store that one instance alone may lose.
type cutSource struct {
	*storeStub
	cut atomic.Bool
	// silent tells that calls get no answer, and not an error, while it is cut.
	silent bool
}

func (c *cutSource) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error) {
	for ends := time.Now().Add(wait); time.Now().Before(ends) && ctx.Err() == nil && !c.cut.Load(); {
		if got, err := c.storeStub.Watch(ctx, prefix, after, 5*time.Millisecond); err != nil || len(got.Events) > 0 {
			if c.cut.Load() {
				break
			}
			return got, err
		}
	}
	switch {
	case c.cut.Load() && c.silent:
		<-ctx.Done()
		return Changes{}, ctx.Err()
	case c.cut.Load():
		return Changes{}, errDown
	}
	return c.storeStub.Watch(ctx, prefix, after, 0)
}

// Guards against removed targets that stay in use because a reader lost the store that answered
// the others, and against forgetting all targets after an outage that only a reader noticed.
func TestOutageOfReader(t *testing.T) {
	for name, all := range map[string]bool{"of the reader alone": false, "of the store": true} {
		t.Run(name, func(t *testing.T) {
			s := newStoreStub()
			s.put("targets/a", "x")
			listener := &Follower{Source: s, Name: "b", Reads: func() bool { return false }}
			listener.Init()
			source := &cutSource{storeStub: s}
			reader := &Follower{Source: source, Name: "a", Reads: func() bool { return true }, Tell: func(data []byte) bool {
				listener.Receive(time.Now(), data)
				return true
			}}
			rc := startFollower(t, reader)
			beating, stop := context.WithCancel(context.Background())
			go func() { _ = reader.Beat(beating) }()
			defer stop()
			c := startFollower(t, listener)
			has(t, c, "targets/a", "x", time.Second)
			has(t, rc, "targets/a", "x", time.Second)
			// Ends the reader's watch, so that the next one fails.
			s.put("targets/b", "y")
			has(t, rc, "targets/b", "y", time.Second)
			source.cut.Store(true)
			s.set(func(s *storeStub) { s.down = all })
			lost := time.Now()
			for i := 0; time.Since(lost) < 3500*time.Millisecond; i++ {
				time.Sleep(100 * time.Millisecond)
				if !all {
					s.put("targets/c", string(rune('a'+i%26)))
				}
			}
			source.cut.Store(false)
			s.set(func(s *storeStub) { s.down = false })
			s.put("targets/d", "z")
			has(t, c, "targets/d", "z", 2*time.Second)
			has(t, rc, "targets/d", "z", 2*time.Second)
			// A later change carries what was told of the outage.
			s.put("targets/e", "z")
			has(t, c, "targets/e", "z", time.Second)
			require.Equal(t, 1, rc.outages())
			require.Equal(t, all, c.outages() > 0)
		})
	}
}

// Guards against a change that comes late since both readers can't reach the store that answers
// the others: it has to be in force 2 s after the store took it.
func TestChangeWhileReadersAreCutOff(t *testing.T) {
	for name, silent := range map[string]bool{"refused": false, "unanswered": true} {
		t.Run(name, func(t *testing.T) {
			s := newStoreStub()
			s.put("operators/table", "1")
			listener := &Follower{Source: s, Name: "c", Reads: func() bool { return false }}
			listener.Init()
			var sources []*cutSource
			for _, name := range []string{"a", "b"} {
				source := &cutSource{storeStub: s, silent: silent}
				sources = append(sources, source)
				reader := &Follower{Source: source, Name: name, Reads: func() bool { return true }, Tell: func(data []byte) bool {
					listener.Receive(time.Now(), data)
					return true
				}}
				startFollower(t, reader)
				beating, stop := context.WithCancel(context.Background())
				go func() { _ = reader.Beat(beating) }()
				defer stop()
			}
			c := startFollower(t, listener)
			has(t, c, "operators/table", "1", time.Second)
			time.Sleep(WatchWait + watchMargin)
			for _, source := range sources {
				source.cut.Store(true)
			}
			s.put("operators/table", "2")
			has(t, c, "operators/table", "2", 2*time.Second)
		})
	}
}

func watchesOf(s *storeStub) int {
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
