package relay

import (
	"strings"
	"sync"
	"time"

	"bambooferry.example/bambooferry/internal/feed"
	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// ConfigApplier derives the table and the targets in force from the content of the platform's
// store; set its exported fields before the first Apply.
type ConfigApplier struct {
	// TableItemKey is the key of the operators' table, TargetKeyPrefix the prefix of the targets'
	// keys.
	TableItemKey    string
	TargetKeyPrefix string
	DecodeTable     func(data []byte) (*route.Table, error)
	DecodeTarget    func(key string, data []byte) (route.Target, error)
	Board           *blackboard.Board
	Targets         *TargetRegistry
	Log             *timeline.Writer

	mu            sync.Mutex
	table         *route.Table
	targetEntries route.TargetSet
}

// Apply applies an update of the store's copy.
func (c *ConfigApplier) Apply(now time.Time, update feed.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if update.Restored {
		c.targetEntries.SourceRestored(update.OutageEndedAt)
	}
	if !update.OutageEndedAt.IsZero() {
		c.targetEntries.SourceRecovered(update.OutageEndedAt)
	}
	listed := map[string]bool{}
	changes := targetChanges{log: c.Log, revision: update.Revision, member: update.Source, summarise: update.Full || update.Source != feed.SourceStore}
	defer changes.write(now)
	for i := range update.Changed {
		item := &update.Changed[i]
		if item.Key == c.TableItemKey {
			c.applyTable(now, item, update.Source)
		}
		if id, ok := strings.CutPrefix(item.Key, c.TargetKeyPrefix); ok {
			listed[id] = true
			c.applyTarget(now, id, item, &changes)
		}
	}
	for _, key := range update.Removed {
		if id, ok := strings.CutPrefix(key, c.TargetKeyPrefix); ok {
			decision := map[bool]string{true: "kept_after_outage", false: "taken_out"}[c.targetEntries.Remove(now, id)]
			c.Targets.RecordRemoval(now, id)
			changes.add(now, timeline.Event{Kind: "target_removed", Target: id, Revision: update.Revision, Decision: decision})
		}
	}
	if update.Full {
		c.targetEntries.RemoveUnlisted(now, func(id string) bool { return listed[id] })
	}
	c.publish(now)
}

func (c *ConfigApplier) applyTable(now time.Time, item *feed.Item, source string) {
	t, err := c.DecodeTable(item.Value)
	if err != nil {
		c.Log.Write(now, timeline.Event{Kind: "table_unusable", Revision: item.Revision, Why: "decode_failed"})
		return
	}
	if c.table != nil && t.Version <= c.table.Version {
		return
	}
	c.table = t
	c.Log.Write(now, timeline.Event{
		Kind: "table_in_force", Revision: t.Version, Member: source,
		Inputs: []timeline.Input{{Name: "store_revision", Value: item.Revision}, {Name: "routes", Value: int64(t.RouteCount())}},
	})
	for _, err := range t.Problems {
		c.Log.Write(now, timeline.Event{Kind: "table_part_unusable", Revision: t.Version, Why: err.Error(), Decision: "ignored"})
	}
}

func (c *ConfigApplier) applyTarget(now time.Time, id string, item *feed.Item, changes *targetChanges) {
	t, err := c.DecodeTarget(item.Key, item.Value)
	if err != nil {
		c.Log.Write(now, timeline.Event{Kind: "target_entry_unusable", Target: id, Revision: item.Revision, Why: "decode_failed"})
		c.targetEntries.Discard(id)
		return
	}
	if c.targetEntries.Put(now, t) {
		decision := "open"
		if t.Leaving {
			decision = "leaving"
		}
		changes.add(now, timeline.Event{Kind: "target_entry", Target: id, Revision: item.Revision, Entry: t.Pool, Version: t.Version, Decision: decision})
	}
}

// publish puts the table and the targets in force; the caller holds mu.
func (c *ConfigApplier) publish(now time.Time) {
	if next := c.targetEntries.RemoveExpired(now); !next.IsZero() {
		time.AfterFunc(next.Sub(now), func() { c.expireAndPublish(time.Now()) })
	}
	if c.table == nil {
		return
	}
	c.Targets.Update(now, c.table, c.targetEntries.Targets())
	if old, ok := TableKey.Get(c.Board); !ok || old != c.table {
		TableKey.Put(c.Board, c.table)
	}
}

func (c *ConfigApplier) expireAndPublish(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.publish(now)
}
