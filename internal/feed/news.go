package feed

import (
	"context"
	"encoding/json"
	"time"
	"unicode/utf8"

	"bambooferry.example/bambooferry/internal/difference"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// beatEvery is the time between messages of an instance that reads the store for others.
	beatEvery = 400 * time.Millisecond
	// beatLife is how long such a message holds: two that are lost in a row do not matter.
	beatLife = 1300 * time.Millisecond
	// answerLife is the age of the store's last answer up to which an instance that reads it is relied on.
	answerLife = WatchWait + watchMargin
	// readers is the number of instances that read the store for the others.
	readers = 2
	// newsRoom bounds the messages that wait for the follower.
	newsRoom = 256
)

// News is what an instance that reads the store tells the others.
//
// From and To are the revisions between which the changes lie; they are the same when nothing
// has changed since the last message.
type News struct {
	From    int64      `json:"from"`
	To      int64      `json:"to"`
	Changed []newsItem `json:"changed,omitempty"`
	// AnsweredMillis is the age of the store's last answer.
	AnsweredMillis int64 `json:"answered_ms"`
	// RegainedMillis is the time since the store came back from an outage, or 0 if that is long ago.
	RegainedMillis int64 `json:"regained_ms,omitempty"`
	// LostMillis is the time since the reader's first call failed in that outage.
	LostMillis int64  `json:"lost_ms,omitempty"`
	Reader     string `json:"reader"`
	// Failing tells that the reader's calls to the store fail.
	Failing bool `json:"failing,omitempty"`
}

type newsItem struct {
	Key string `json:"key"`
	// Text is the value, or Value if it is no text; text is packed better.
	Text     string `json:"text,omitempty"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Removed  bool   `json:"removed,omitempty"`
	// Base is the revision of the item that Packed is a difference to; Value is empty then.
	Base   int64  `json:"base,omitempty"`
	Packed []byte `json:"packed,omitempty"`
}

// Receive takes a message of another instance.
func (f *Follower) Receive(now time.Time, data []byte) {
	plain, err := difference.Unpack(nil, data, maxNews)
	if err != nil {
		return
	}
	n := News{}
	if json.Unmarshal(plain, &n) != nil {
		return
	}
	select {
	case f.news <- heardNews{News: n, at: now}:
	default:
		// The next message shows that changes were missed.
	}
}

type heardNews struct {
	News
	at time.Time
}

// reads reports whether this instance reads the store for others.
func (f *Follower) reads() bool { return f.Reads == nil || f.Reads() }

// relies reports whether another instance has lately told that it reads the store.
func (f *Follower) relies(now time.Time) bool { return now.Before(f.reliesUntil()) }

// reliesUntil returns until when this instance relies on others.
func (f *Follower) reliesUntil() time.Time {
	until := time.Time{}
	for _, at := range f.relyUntil {
		if at.After(until) {
			until = at
		}
	}
	return until
}

// rely notes what a message says of its reader.
func (f *Follower) rely(n *heardNews, answered time.Time) {
	until := minTime(n.at.Add(beatLife), answered.Add(answerLife))
	if n.Failing {
		delete(f.relyUntil, n.Reader)
	} else if until.After(f.relyUntil[n.Reader]) {
		f.relyUntil[n.Reader] = until
	}
	for reader, at := range f.relyUntil {
		if !n.at.Before(at) {
			delete(f.relyUntil, reader)
		}
	}
}

// heard takes in the news that have come, and reports whether the copy is behind.
func (f *Follower) heard() (behind bool) {
	for {
		select {
		case n := <-f.news:
			behind = f.takeNews(n) || behind && n.To > f.Revision()
		default:
			return behind
		}
	}
}

// hear waits for news for as long as others read the store, and reports whether the copy is behind.
func (f *Follower) hear(ctx context.Context) (behind bool) {
	t := time.NewTimer(time.Until(f.reliesUntil()))
	defer t.Stop()
	select {
	case n := <-f.news:
		return f.takeNews(n)
	case <-t.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// takeNews takes in one message and reports whether the copy lacks changes that it tells of.
func (f *Follower) takeNews(n heardNews) (behind bool) {
	answered := n.at.Add(-time.Duration(n.AnsweredMillis) * time.Millisecond)
	f.rely(&n, answered)
	have := f.Revision()
	f.takeOutage(n)
	if answered.After(f.answered) {
		f.answer(answered)
	}
	u := Update{Revision: n.To, From: n.Reader, RegainedAt: f.lately(n.at)}
	if n.To <= have {
		return false
	}
	if len(n.Changed) == 0 || n.From > have || f.unsure {
		return true
	}
	got := Changes{Revision: n.To}
	earlier := map[string]Item{}
	for i := range n.Changed {
		ev, ok := f.restore(&n.Changed[i], earlier)
		if !ok {
			return true
		}
		earlier[ev.Key] = ev.Item
		got.Events = append(got.Events, ev)
	}
	f.take(&u, got)
	f.Apply(time.Now(), u)
	return false
}

// takeOutage takes in that the store came back to a reader, unless it answered here in the
// meantime: then only the reader was cut off, and no entries lapsed.
func (f *Follower) takeOutage(n heardNews) {
	lost := n.at.Add(-time.Duration(n.LostMillis) * time.Millisecond)
	if n.RegainedMillis == 0 || f.answered.After(lost) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := n.at.Add(-time.Duration(n.RegainedMillis) * time.Millisecond); at.After(f.regainedAt) {
		f.regainedAt, f.lostAt = at, lost
	}
}

// restore returns a change that another instance told, if the copy, or what the same message told
// earlier, has what it is a difference to.
func (f *Follower) restore(c *newsItem, earlier map[string]Item) (Event, bool) {
	ev := Event{Item: Item{Key: c.Key, Value: c.Value, Revision: c.Revision}, Removed: c.Removed}
	if c.Text != "" {
		ev.Value = []byte(c.Text)
	}
	if c.Base == 0 {
		return ev, true
	}
	old, ok := earlier[c.Key]
	if !ok {
		f.mu.Lock()
		old = f.items[c.Key]
		f.mu.Unlock()
	}
	if old.Revision != c.Base {
		return ev, false
	}
	var err error
	ev.Value, err = difference.Unpack(old.Value, c.Packed, maxValue)
	return ev, err == nil
}

// newsOf returns a change as it is told, a large one as a difference to the item that it replaces.
func newsOf(ev *Event, old Item) newsItem {
	n := newsItem{Key: ev.Key, Revision: ev.Revision, Removed: ev.Removed}
	if utf8.Valid(ev.Value) {
		n.Text = string(ev.Value)
	} else {
		n.Value = ev.Value
	}
	if len(ev.Value) < packedFrom || old.Revision == 0 {
		return n
	}
	packed, err := difference.Pack(old.Value, ev.Value)
	if err != nil || len(packed) >= len(ev.Value) {
		return n
	}
	n.Text, n.Value, n.Base, n.Packed = "", nil, old.Revision, packed
	return n
}

// tell sends changes to the other instances, in as many messages as they need.
func (f *Follower) tell(now time.Time, from int64, got Changes, replaced map[string]Item) {
	if f.Tell == nil || !f.reads() || got.Revision <= from {
		return
	}
	items := make([]newsItem, 0, len(got.Events))
	for i := range got.Events {
		ev := &got.Events[i]
		items = append(items, newsOf(ev, replaced[ev.Key]))
		replaced[ev.Key] = ev.Item
	}
	n := f.beat(now)
	n.From, n.To = from, got.Revision
	f.send(n, items)
}

// send sends changes in one message, or each half of them in messages of its own if they do not
// fit. Of a change that does not fit alone only the revision is told; the others see that they lack it.
func (f *Follower) send(n News, items []newsItem) {
	n.Changed = items
	plain, err := json.Marshal(n)
	if err != nil {
		return
	}
	data, err := difference.Pack(nil, plain)
	if err != nil || f.Tell(data) {
		return
	}
	if len(items) <= 1 {
		f.send(n, nil)
		return
	}
	first, second := n, n
	half := len(items) / 2
	first.To = items[half-1].Revision
	second.From = first.To
	f.send(first, items[:half])
	f.send(second, items[half:])
}

const (
	// packedFrom is the size from which a value is told as a difference.
	packedFrom = 600
	// maxNews bounds a message when it is unpacked, and maxValue a value of the store.
	maxNews  = 256 << 10
	maxValue = 1 << 20
)

// beat returns a message without changes.
func (f *Follower) beat(now time.Time) News {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := News{From: f.revision, To: f.revision, Reader: f.Name, AnsweredMillis: now.Sub(f.lastAnswer).Milliseconds()}
	n.Failing = f.failures >= tellFailures
	if since := now.Sub(f.regainedAt); !f.regainedAt.IsZero() && since < regainedMemory {
		n.RegainedMillis = max(since.Milliseconds(), 1)
		n.LostMillis = now.Sub(f.lostAt).Milliseconds()
	}
	return n
}

// tellFailure counts a call that failed and tells the others when they should read themselves.
func (f *Follower) tellFailure(now time.Time) {
	f.mu.Lock()
	f.failures++
	told := f.failures == tellFailures && f.revision > 0
	f.mu.Unlock()
	if told && f.Tell != nil && f.reads() {
		f.send(f.beat(now), nil)
	}
}

// regainedMemory is how long the return of the store is told.
const regainedMemory = 5 * time.Second

// Beat tells the others, until ctx ends, that this instance reads the store.
func (f *Follower) Beat(ctx context.Context) error {
	tick := time.NewTicker(beatEvery)
	defer tick.Stop()
	was := false
	for {
		select {
		case now := <-tick.C:
			is := f.Tell != nil && f.reads()
			if is != was {
				f.Log.Write(now, timeline.Event{Kind: "store_reader", Decision: map[bool]string{true: "reads_for_others", false: "relies_on_others"}[is]})
			}
			was = is
			if n := f.beat(now); is && n.To > 0 && n.AnsweredMillis < answerLife.Milliseconds() {
				f.send(n, nil)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
