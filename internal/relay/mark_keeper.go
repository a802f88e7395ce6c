package relay

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/feed"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// keepInterval is the time between two comparisons of the marks with the store's.
	keepInterval = time.Second
	// keepTimeout bounds one write.
	keepTimeout = time.Second
	// writerTakeoverDelay is how long the store must have lacked marks until an instance writes them that is no writer;
	// each further one in the order of the instances waits for writerTakeoverSpacing longer.
	writerTakeoverDelay   = 1500 * time.Millisecond
	writerTakeoverSpacing = 300 * time.Millisecond
)

// MarkStore writes to the platform's store.
type MarkStore interface {
	Commit(ctx context.Context, conditions []feed.Condition, writes []feed.Write) (feed.Version, error)
}

// MarkKeeper keeps the marked parts of prompts, and the requests that are refused, in the platform's store, so that instances that start later,
// or all at once, know them before they serve; set its exported fields before the first Apply.
type MarkKeeper struct {
	Store MarkStore
	// Key is the store's key of the marks.
	Key     string
	Tracker *CrashTracker
	// IsWriter reports whether this instance is one of those that write at once. Members that have ended stay listed, so
	// the others write if the marks are not written, in the order of Rank, which counts from 0 and is negative if this
	// instance is not listed.
	IsWriter func() bool
	Rank     func() int
	Log      *timeline.Writer

	mu sync.Mutex
	// stored holds the keys of the marks in the store by their part, and requests those of the refused requests by their digest;
	// revision is the revision of Key, or 0 if it does not exist.
	stored   map[string]string
	requests map[string]string
	revision int64
	// unwrittenSince is since when the marks have differed from those at unwrittenRevision, or the zero time.
	unwrittenSince    time.Time
	unwrittenRevision int64
	// retryAt is when an instance that is no writer tries again.
	retryAt time.Time
}

// storedMarks is the value of the key; ages are as of its writing.
type storedMarks struct {
	Marks []markMessage `json:"marks"`
	// Requests holds the requests that are refused. It is missing in values that former builds have written.
	Requests []requestMark `json:"requests"`
}

func decodeStoredMarks(data []byte) (*storedMarks, error) {
	out := &storedMarks{}
	if err := json.Unmarshal(data, out); err != nil {
		return nil, err
	}
	for i := range out.Marks {
		if err := out.Marks[i].Validate(); err != nil {
			return nil, err
		}
	}
	for i := range out.Requests {
		if err := out.Requests[i].Validate(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// Apply applies an update of the store's copy.
func (k *MarkKeeper) Apply(now time.Time, update feed.Update) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range update.Changed {
		if it := &update.Changed[i]; it.Key == k.Key {
			k.revision = it.Revision
			marks, err := decodeStoredMarks(it.Value)
			if err != nil {
				k.Log.Write(now, timeline.Event{Kind: "part_marks_unusable", Revision: it.Revision, Why: "decode_failed", Decision: "kept_the_former"})
				return
			}
			k.applyMarks(now, marks.Marks, update.Restored)
			k.applyRequests(now, marks.Requests, update.Restored || marks.Requests == nil)
			return
		}
	}
	if update.Full || slices.Contains(update.Removed, k.Key) {
		k.revision = 0
		k.applyMarks(now, nil, update.Restored)
		k.applyRequests(now, nil, update.Restored)
	}
}

// applyMarks applies what the store has marked. What it no longer has was unmarked by another instance,
// unless the store was restored from an older copy.
func (k *MarkKeeper) applyMarks(now time.Time, marks []markMessage, restored bool) {
	former := k.stored
	k.stored = map[string]string{}
	var added []markMessage
	for _, m := range marks {
		k.stored[m.Part] = m.key()
		if former[m.Part] != m.key() {
			added = append(added, m)
		}
	}
	var removed []string
	for part := range former {
		if k.stored[part] == "" && !restored {
			removed = append(removed, part)
		}
	}
	k.Tracker.applyStored(now, added, removed)
}

// applyRequests applies the refused requests of the store, as applyMarks does the marks. If it is incomplete, what it lacks is still
// refused, and written again.
func (k *MarkKeeper) applyRequests(now time.Time, marks []requestMark, incomplete bool) {
	former := k.requests
	k.requests = map[string]string{}
	var added []requestMark
	for _, m := range marks {
		k.requests[m.Digest] = m.key()
		if former[m.Digest] != m.key() {
			added = append(added, m)
		}
	}
	var removed []string
	for digest := range former {
		if k.requests[digest] == "" && !incomplete {
			removed = append(removed, digest)
		}
	}
	k.Tracker.applyStoredRequests(now, added, removed)
}

// Run repeats the marks to the other instances and writes them until ctx ends.
func (k *MarkKeeper) Run(ctx context.Context) error {
	tick := time.NewTicker(keepInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			k.Tracker.RepeatMarks(now)
			k.write(ctx, now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// write writes the marks if they differ from the store's.
func (k *MarkKeeper) write(ctx context.Context, now time.Time) {
	marks := k.Tracker.markMessages(now)
	known := map[string]string{}
	for i := range marks {
		known[marks[i].Part] = marks[i].key()
	}
	requests := k.Tracker.requestMarks(now)
	knownRequests := map[string]string{}
	for i := range requests {
		knownRequests[requests[i].Digest] = requests[i].key()
	}
	revision, due := k.dueRevision(now, known, knownRequests)
	if !due {
		return
	}
	value, err := json.Marshal(storedMarks{Marks: marks, Requests: requests})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	_, err = k.Store.Commit(ctx, []feed.Condition{{Key: k.Key, Revision: revision}}, []feed.Write{{Key: k.Key, Value: value}})
	decision, why := "written", ""
	if conflict := (*feed.ConflictError)(nil); errors.As(err, &conflict) {
		decision, why = "left", "written_by_another"
	} else if err != nil {
		decision, why = "tried_again", "store_failed"
	}
	k.Log.Write(now, timeline.Event{Kind: "part_marks_kept", Decision: decision, Why: why, Inputs: []timeline.Input{{Name: "parts", Value: int64(len(marks))}, {Name: "requests", Value: int64(len(requests))}, {Name: "store_revision", Value: revision}}})
}

// dueRevision reports whether this instance has to write the known parts and requests now, and the revision that it replaces.
func (k *MarkKeeper) dueRevision(now time.Time, known, requests map[string]string) (revision int64, due bool) {
	isWriter, rank := k.IsWriter(), k.Rank()
	k.mu.Lock()
	defer k.mu.Unlock()
	if maps.Equal(known, k.stored) && maps.Equal(requests, k.requests) {
		k.unwrittenSince = time.Time{}
		return 0, false
	}
	if k.unwrittenSince.IsZero() || k.unwrittenRevision != k.revision {
		// A new revision shows that there is a writer.
		k.unwrittenSince, k.unwrittenRevision, k.retryAt = now, k.revision, time.Time{}
	}
	if isWriter {
		return k.revision, true
	}
	if rank < 0 || now.Before(k.retryAt) || now.Sub(k.unwrittenSince) < writerTakeoverDelay+time.Duration(rank)*writerTakeoverSpacing {
		return 0, false
	}
	// While the store is away, all instances together make a few calls a second.
	k.retryAt = now.Add(time.Duration(rank+1) * keepInterval)
	return k.revision, true
}
