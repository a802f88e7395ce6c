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
)

// MarkStore writes to the platform's store.
type MarkStore interface {
	Commit(ctx context.Context, conditions []feed.Condition, writes []feed.Write) (feed.Version, error)
}

// MarkKeeper keeps the marked parts of prompts in the platform's store, so that instances that start later,
// or all at once, know them before they serve; set its exported fields before the first Apply.
type MarkKeeper struct {
	Store MarkStore
	// Key is the store's key of the marks.
	Key     string
	Tracker *CrashTracker
	// IsWriter reports whether this instance is one of those that write.
	IsWriter func() bool
	Log      *timeline.Writer

	mu sync.Mutex
	// stored holds the parts that the store has marked, and revision the key's revision, or 0 if it does not exist.
	stored   map[string]bool
	revision int64
}

// storedMarks is the value of the key; ages are as of its writing.
type storedMarks struct {
	Marks []markMessage `json:"marks"`
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
			return
		}
	}
	if update.Full || slices.Contains(update.Removed, k.Key) {
		k.revision = 0
		k.applyMarks(now, nil, update.Restored)
	}
}

// applyMarks applies what the store has marked. What it no longer has was unmarked by another instance,
// unless the store was restored from an older copy.
func (k *MarkKeeper) applyMarks(now time.Time, marks []markMessage, restored bool) {
	former := k.stored
	k.stored = map[string]bool{}
	var added []markMessage
	for _, m := range marks {
		k.stored[m.Part] = true
		if !former[m.Part] {
			added = append(added, m)
		}
	}
	var removed []string
	for part := range former {
		if !k.stored[part] && !restored {
			removed = append(removed, part)
		}
	}
	k.Tracker.applyStored(now, added, removed)
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
	k.mu.Lock()
	known := map[string]bool{}
	for i := range marks {
		known[marks[i].Part] = true
	}
	same, revision := maps.Equal(known, k.stored), k.revision
	k.mu.Unlock()
	if same || !k.IsWriter() {
		return
	}
	value, err := json.Marshal(storedMarks{Marks: marks})
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
	k.Log.Write(now, timeline.Event{Kind: "part_marks_kept", Decision: decision, Why: why, Inputs: []timeline.Input{{Name: "parts", Value: int64(len(marks))}, {Name: "store_revision", Value: revision}}})
}
