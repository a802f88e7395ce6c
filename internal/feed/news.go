package feed

import (
	"context"
	"encoding/json"
	"time"

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
	RegainedMillis int64  `json:"regained_ms,omitempty"`
	Reader         string `json:"reader"`
}

type newsItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Removed  bool   `json:"removed,omitempty"`
	// Base is the revision of the item that Packed is a difference to; Value is empty then.
	Base   int64  `json:"base,omitempty"`
	Packed []byte `json:"packed,omitempty"`
}

// Receive takes a message of another instance.
func (f *Follower) Receive(now time.Time, data []byte) {
	n := News{}
	if json.Unmarshal(data, &n) != nil {
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
func (f *Follower) relies(now time.Time) bool { return now.Before(f.relyUntil) }

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
	t := time.NewTimer(time.Until(f.relyUntil))
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
	if until := minTime(n.at.Add(beatLife), answered.Add(answerLife)); until.After(f.relyUntil) {
		f.relyUntil = until
	}
	have := f.Revision()
	u := Update{Revision: n.To, From: n.Reader}
	if n.RegainedMillis > 0 {
		u.RegainedAt = n.at.Add(-time.Duration(n.RegainedMillis) * time.Millisecond)
	}
	if answered.After(f.answered) {
		if f.answer(answered) {
			u.RegainedAt = n.at
		}
	}
	if n.To <= have {
		return false
	}
	if len(n.Changed) == 0 || n.From > have || f.unsure {
		return true
	}
	got := Changes{Revision: n.To}
	for i := range n.Changed {
		ev, ok := f.restore(&n.Changed[i])
		if !ok {
			return true
		}
		got.Events = append(got.Events, ev)
	}
	f.take(&u, got)
	f.Apply(time.Now(), u)
	return false
}

// restore returns a change that another instance told, if the copy has what it is a difference to.
func (f *Follower) restore(c *newsItem) (Event, bool) {
	ev := Event{Item: Item{Key: c.Key, Value: c.Value, Revision: c.Revision}, Removed: c.Removed}
	if c.Base == 0 {
		return ev, true
	}
	f.mu.Lock()
	old := f.items[c.Key]
	f.mu.Unlock()
	if old.Revision != c.Base {
		return ev, false
	}
	var err error
	ev.Value, err = difference.Unpack(old.Value, c.Packed, maxValue)
	return ev, err == nil
}

// newsOf returns a change as it is told, a large one as a difference to the item that it replaces.
func newsOf(ev *Event, old Item) newsItem {
	n := newsItem{Key: ev.Key, Value: ev.Value, Revision: ev.Revision, Removed: ev.Removed}
	if len(ev.Value) < packedFrom || old.Revision == 0 {
		return n
	}
	packed, err := difference.Pack(old.Value, ev.Value)
	if err != nil || len(packed) >= len(ev.Value) {
		return n
	}
	n.Value, n.Base, n.Packed = nil, old.Revision, packed
	return n
}

// tell sends changes to the other instances, in as many messages as they need.
//
// What does not fit is left out: the others see from the revision that they lack something.
func (f *Follower) tell(now time.Time, from int64, got Changes, replaced map[string]Item) {
	if f.Tell == nil || !f.reads() || got.Revision <= from {
		return
	}
	n := f.beat(now)
	n.From, n.To = from, from
	size := 0
	for i := range got.Events {
		ev := &got.Events[i]
		item := newsOf(ev, replaced[ev.Key])
		replaced[ev.Key] = ev.Item
		cost := len(ev.Key) + (len(item.Value)+len(item.Packed))*4/3 + newsItemBytes
		if cost > newsBytes {
			f.send(n)
			n.Changed, size = nil, 0
			// A message without changes tells of the revision that the others lack.
			n.To = ev.Revision
			f.send(n)
			n.From = ev.Revision
			continue
		}
		if size+cost > newsBytes {
			f.send(n)
			n.From, n.Changed, size = n.To, nil, 0
		}
		n.Changed = append(n.Changed, item)
		n.To = ev.Revision
		size += cost
	}
	n.To = got.Revision
	f.send(n)
}

const (
	// newsBytes bounds the changes of one message, which has to fit into a datagram.
	newsBytes = 1100
	// packedFrom is the size from which a value is told as a difference.
	packedFrom = 600
	// maxValue bounds a value of the store.
	maxValue = 1 << 20
	// newsItemBytes is the size of a change's field names and numbers.
	newsItemBytes = 60
)

func (f *Follower) send(n News) {
	if data, err := json.Marshal(n); err == nil {
		f.Tell(data)
	}
}

// beat returns a message without changes.
func (f *Follower) beat(now time.Time) News {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := News{From: f.revision, To: f.revision, Reader: f.Name, AnsweredMillis: now.Sub(f.lastAnswer).Milliseconds()}
	if since := now.Sub(f.regainedAt); !f.regainedAt.IsZero() && since < regainedMemory {
		n.RegainedMillis = max(since.Milliseconds(), 1)
	}
	return n
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
				f.send(n)
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
