package feed

import (
	"context"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// WatchWait bounds one watch. A store that drops its history, or is cut off, may leave watches
	// unanswered; one that hears nothing is given up after WatchWait and watchMargin. A change has
	// to be in force within 2 s, and by then others have to have read it in place of a reader.
	WatchWait = 1200 * time.Millisecond
	// watchMargin is what a watch may take beyond its wait; a slow store takes 300 ms.
	watchMargin = 400 * time.Millisecond
	// tellFailures is the number of calls in a row after whose failure a reader tells that it
	// can't read; one alone may be lost by chance.
	tellFailures = 2
	// CallTimeout bounds a read.
	CallTimeout = 1500 * time.Millisecond
	// gather is the pause after a watch that brought changes, since each call has a price and
	// changes come in groups; it stays under the 300 ms in which a change is to apply.
	gather = 200 * time.Millisecond
	// firstPause and longestPause bound the pause after a call that failed.
	firstPause   = 50 * time.Millisecond
	longestPause = 600 * time.Millisecond
	// outageAfter is the time without an answer after which the store counts as away.
	outageAfter = time.Second
	// peerPause is the time between questions to other instances while the store is away.
	peerPause = 400 * time.Millisecond
	// maxPages bounds the pages of one prefix.
	maxPages = 1000
)

// Update is what changed in the copy.
type Update struct {
	Changed []Item
	Removed []string
	// Whole tells that Changed holds all items, and that those not listed are gone.
	Whole bool
	// RegainedAt is when the store answered again after an outage, if that is lately.
	RegainedAt time.Time
	Revision   int64
	// From names the source: store, or the instance that was asked.
	From string
}

// State is a whole copy at a revision.
type State struct {
	Revision int64
	Items    []Item
}

// Peers asks other instances for their copies.
type Peers interface {
	// Later returns a copy later than a revision, with the name of the instance that had it; ok is
	// false when none was found.
	Later(ctx context.Context, after int64) (s State, from string, ok bool)
}

// Follower keeps a copy of some prefixes of the store; set its exported fields before Run.
type Follower struct {
	Source Source
	// Peers is asked while the store is away; it may be nil.
	Peers Peers
	// Prefixes are read; Watch is the prefix that covers all of them.
	Prefixes []string
	Watch    string
	// Apply takes each change of the copy; it is called by one goroutine at a time.
	Apply func(now time.Time, u Update)
	Log   *timeline.Writer
	// Name names this instance. Reads reports whether it reads the store for others, and Tell sends
	// them a message unless it is too long; both may be nil, and then each instance reads the store
	// itself.
	Name  string
	Reads func() bool
	Tell  func(data []byte) bool
	// Observe, if set, is told of each call by kind.
	Observe func(kind string, took time.Duration, err error)

	mu    sync.Mutex
	items map[string]Item
	// revision is that of the copy; 0 means that there is none.
	revision int64
	// lastAnswer is when the store last answered. regainedAt is when it last came back, and lostAt
	// when the first call failed before that.
	lastAnswer time.Time
	regainedAt time.Time
	lostAt     time.Time
	// failures counts the calls that failed since then.
	failures int
	news     chan heardNews
	once     sync.Once

	// The fields below belong to the goroutine of Run.
	answered time.Time
	away     bool
	// failedAt is when the first call since the last answer failed, or the zero time.
	failedAt time.Time
	// unsure is set when changes may have been missed, so that the prefixes have to be read.
	unsure bool
	pause  time.Duration
	// relyUntil is until when other instances read the store for this one, by reader.
	relyUntil map[string]time.Time
}

// Init prepares the follower for messages that come before Run.
func (f *Follower) Init() {
	f.once.Do(func() {
		f.items, f.relyUntil = map[string]Item{}, map[string]time.Time{}
		f.news = make(chan heardNews, newsRoom)
	})
}

// State returns the copy, if it is later than a revision.
func (f *Follower) State(after int64) (State, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revision <= after {
		return State{}, false
	}
	s := State{Revision: f.revision, Items: make([]Item, 0, len(f.items))}
	for _, it := range f.items {
		s.Items = append(s.Items, it)
	}
	return s, true
}

// Revision returns the revision of the copy.
func (f *Follower) Revision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.Init()
	f.unsure, f.answered = true, time.Now()
	for ctx.Err() == nil {
		changed, err := f.turn(ctx)
		now := time.Now()
		switch {
		case err == nil:
			f.pause = 0
			if changed {
				wait(ctx, gather)
			}
		case ctx.Err() == nil:
			f.failed(ctx, now, err)
		}
	}
	return ctx.Err()
}

// turn reads or waits once and reports whether anything changed.
func (f *Follower) turn(ctx context.Context) (bool, error) {
	if f.unsure {
		return true, f.read(ctx)
	}
	begun := time.Now()
	if !f.reads() {
		behind := f.heard()
		if !behind && f.relies(begun) {
			behind = f.hear(ctx)
		}
		if !behind && f.relies(time.Now()) {
			return false, nil
		}
	}
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, WatchWait+watchMargin)
	defer cancel()
	got, err := f.Source.Watch(ctx, f.Watch, f.Revision(), WatchWait)
	f.observe("watch", begun, err)
	if gone := (*CompactedError)(nil); errors.As(err, &gone) {
		f.answer(time.Now())
		f.Log.Write(time.Now(), timeline.Event{Kind: "store_history_gone", Revision: gone.After})
		f.unsure = true
		return false, nil
	}
	if err != nil {
		return false, err
	}
	now := time.Now()
	from := f.Revision()
	u := f.update(now, got.Revision)
	f.tell(now, from, got, f.take(&u, got))
	if len(u.Changed)+len(u.Removed) > 0 || u.RegainedAt.Equal(now) {
		f.Apply(now, u)
	}
	return len(got.Events) > 0, nil
}

// take puts the changes of a watch into the copy and into u, and returns the items that were replaced.
//
// Of several changes of one key u gets the last one: it has no order between items and removals.
func (f *Follower) take(u *Update, got Changes) map[string]Item {
	f.mu.Lock()
	defer f.mu.Unlock()
	replaced := map[string]Item{}
	changed := map[string]bool{}
	for _, ev := range got.Events {
		if !f.covers(ev.Key) || ev.Revision <= f.revision || f.items[ev.Key].Revision >= ev.Revision {
			continue
		}
		if old, ok := f.items[ev.Key]; ok {
			if _, known := replaced[ev.Key]; !known {
				replaced[ev.Key] = old
			}
		}
		changed[ev.Key] = true
		if ev.Removed {
			delete(f.items, ev.Key)
			continue
		}
		f.items[ev.Key] = ev.Item
	}
	for key := range changed {
		if it, ok := f.items[key]; ok {
			u.Changed = append(u.Changed, it)
		} else {
			u.Removed = append(u.Removed, key)
		}
	}
	f.revision = max(f.revision, got.Revision)
	return replaced
}

func (f *Follower) covers(key string) bool {
	for _, p := range f.Prefixes {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return false
}

// read replaces the copy by what the store holds now.
//
// Pages are no snapshot, so the watch goes on from the revision of the first one.
func (f *Follower) read(ctx context.Context) error {
	items := map[string]Item{}
	revision := int64(0)
	for _, prefix := range f.Prefixes {
		first, err := f.readPrefix(ctx, prefix, items)
		if err != nil {
			return err
		}
		if revision == 0 || first < revision {
			revision = first
		}
	}
	now := time.Now()
	u := f.update(now, revision)
	u.Whole = true
	f.replace(&u, items)
	f.unsure = false
	f.Apply(now, u)
	return nil
}

func (f *Follower) readPrefix(ctx context.Context, prefix string, items map[string]Item) (first int64, err error) {
	after := ""
	for range maxPages {
		p, err := f.page(ctx, prefix, after)
		if err != nil {
			return 0, err
		}
		if first == 0 {
			first = p.Revision
		}
		for _, it := range p.Items {
			items[it.Key] = it
			after = it.Key
		}
		if !p.More || len(p.Items) == 0 {
			break
		}
	}
	return first, nil
}

func (f *Follower) page(ctx context.Context, prefix, after string) (Page, error) {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	p, err := f.Source.Range(ctx, prefix, after)
	f.observe("range", begun, err)
	return p, err
}

// replace makes items the copy. A copy that a peer gave may be later than what was read in part.
func (f *Follower) replace(u *Update, items map[string]Item) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, old := range f.items {
		if it, ok := items[key]; ok && old.Revision > it.Revision {
			items[key] = old
		}
	}
	f.items, f.revision = items, max(f.revision, u.Revision)
	for it := range maps.Values(items) {
		u.Changed = append(u.Changed, it)
	}
}

// update begins an update from an answer of the store.
func (f *Follower) update(now time.Time, revision int64) Update {
	f.answer(now)
	return Update{Revision: revision, From: "store", RegainedAt: f.lately(now)}
}

// lately returns when the store came back, if that is not long ago.
func (f *Follower) lately(now time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.regainedAt) >= regainedMemory {
		return time.Time{}
	}
	return f.regainedAt
}

// answer notes that the store answered, and whether that ends an outage.
func (f *Follower) answer(now time.Time) {
	if f.away {
		f.Log.Write(now, timeline.Event{Kind: "store_regained", Revision: f.Revision(), Inputs: []timeline.Input{{Name: "away_ms", Value: now.Sub(f.answered).Milliseconds()}}})
	}
	// An outage may end before a call fails late enough to be taken for one.
	regained := f.away || !f.failedAt.IsZero() && now.Sub(f.answered) >= outageAfter
	lost := f.failedAt
	f.away, f.failedAt, f.answered = false, time.Time{}, now
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastAnswer, f.failures = now, 0
	if regained {
		f.regainedAt, f.lostAt = now, lost
	}
}

// failed notes a call without an answer, asks other instances if the store is away, and waits.
func (f *Follower) failed(ctx context.Context, now time.Time, err error) {
	if f.failedAt.IsZero() {
		f.failedAt = now
	}
	f.tellFailure(now)
	if !f.away && now.Sub(f.answered) >= outageAfter {
		f.away = true
		f.Log.Write(now, timeline.Event{Kind: "store_lost", Revision: f.Revision(), Why: reason(err)})
	}
	if f.away || f.Revision() == 0 {
		f.askPeers(ctx)
	}
	f.pause = min(max(2*f.pause, firstPause), longestPause)
	wait(ctx, f.pause/2+rand.N(f.pause))
}

func (f *Follower) askPeers(ctx context.Context) {
	if f.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerPause)
	defer cancel()
	s, from, ok := f.Peers.Later(ctx, f.Revision())
	if !ok {
		return
	}
	items := make(map[string]Item, len(s.Items))
	for _, it := range s.Items {
		items[it.Key] = it
	}
	now := time.Now()
	u := Update{Whole: true, Revision: s.Revision, From: from}
	f.replace(&u, items)
	f.Log.Write(now, timeline.Event{Kind: "copy_from_member", Member: from, Revision: s.Revision})
	f.unsure = false
	f.Apply(now, u)
}

func (f *Follower) observe(kind string, begun time.Time, err error) {
	if f.Observe != nil {
		f.Observe(kind, time.Since(begun), err)
	}
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// reason names an error in a few words for the log.
func reason(err error) string {
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
