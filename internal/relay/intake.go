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

// Intake turns what the platform's store holds into the table and the targets in force; set its
// exported fields before the first Apply.
type Intake struct {
	// TableItem is the key of the operators' table, TargetsPrefix begins the keys of targets.
	TableItem     string
	TargetsPrefix string
	DecodeTable   func(data []byte) (*route.Table, error)
	DecodeTarget  func(key string, data []byte) (route.Target, error)
	Board         *blackboard.Board
	Targets       *Targets
	Log           *timeline.Writer

	mu     sync.Mutex
	table  *route.Table
	roster route.Roster
}

// Apply takes in an update of the store's copy.
func (in *Intake) Apply(now time.Time, u feed.Update) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !u.RegainedAt.IsZero() {
		in.roster.Regained(u.RegainedAt)
	}
	listed := map[string]bool{}
	for i := range u.Changed {
		it := &u.Changed[i]
		if it.Key == in.TableItem {
			in.takeTable(now, it, u.From)
		}
		if id, ok := strings.CutPrefix(it.Key, in.TargetsPrefix); ok {
			listed[id] = true
			in.takeTarget(now, id, it)
		}
	}
	for _, key := range u.Removed {
		if id, ok := strings.CutPrefix(key, in.TargetsPrefix); ok {
			decision := map[bool]string{true: "kept_after_outage", false: "taken_out"}[in.roster.Remove(now, id)]
			in.Log.Write(now, timeline.Event{Kind: "target_removed", Target: id, Revision: u.Revision, Decision: decision})
		}
	}
	if u.Whole {
		in.roster.Keep(now, func(id string) bool { return listed[id] })
	}
	in.post(now)
}

func (in *Intake) takeTable(now time.Time, it *feed.Item, from string) {
	t, err := in.DecodeTable(it.Value)
	if err != nil {
		in.Log.Write(now, timeline.Event{Kind: "table_unusable", Revision: it.Revision, Why: "decode_failed"})
		return
	}
	if in.table != nil && t.Version <= in.table.Version {
		return
	}
	in.table = t
	in.Log.Write(now, timeline.Event{
		Kind: "table_in_force", Revision: t.Version, Member: from,
		Inputs: []timeline.Input{{Name: "store_revision", Value: it.Revision}, {Name: "routes", Value: int64(t.Routes())}},
	})
}

func (in *Intake) takeTarget(now time.Time, id string, it *feed.Item) {
	t, err := in.DecodeTarget(it.Key, it.Value)
	if err != nil {
		in.Log.Write(now, timeline.Event{Kind: "target_entry_unusable", Target: id, Revision: it.Revision, Why: "decode_failed"})
		in.roster.Discard(id)
		return
	}
	if in.roster.Put(t) {
		decision := "open"
		if t.Leaving {
			decision = "leaving"
		}
		in.Log.Write(now, timeline.Event{Kind: "target_entry", Target: id, Revision: it.Revision, Entry: t.Pool, Version: t.Version, Decision: decision})
	}
}

// post puts the table and the targets in force; the caller holds mu.
func (in *Intake) post(now time.Time) {
	if next := in.roster.Sweep(now); !next.IsZero() {
		time.AfterFunc(next.Sub(now), func() { in.sweep(time.Now()) })
	}
	if in.table == nil {
		return
	}
	in.Targets.Update(now, in.table, in.roster.Targets())
	if old, ok := TableKey.Get(in.Board); !ok || old != in.table {
		TableKey.Put(in.Board, in.table)
	}
}

func (in *Intake) sweep(now time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.post(now)
}
