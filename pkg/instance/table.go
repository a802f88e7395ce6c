package instance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// order ranks what is said of one incarnation with one count.
var order = map[State]int{Alive: 1, Leaving: 2, Dead: 3}

// record is what a table holds of one other member.
type record struct {
	Note
	reports []report
	// declared is set when another instance declared the member dead.
	declared bool
	// tell is set when the member must hear of its suspicion with the next message.
	tell bool
	// enoughSince is when the reports became enough for a death, or zero.
	enoughSince time.Time
	died        time.Time
	heard       time.Time
	revision    int64
	content     uint64
}

type report struct {
	by string
	at time.Time
}

// watch is what an instance knows of a member that it heartbeats.
type watch struct {
	answered time.Time
	reported time.Time
	// extra is set for members that are asked outside the rings until they answer:
	// monitors of a suspect, and members that another instance holds dead.
	extra bool
	since time.Time
	// told names the instance that holds the member dead.
	told string
}

// Change is one decision of a table, for the time line.
type Change struct {
	// Kind is joined, returned, suspected, refuted, died, left, leaving, paused, refuted_self or duplicate_id.
	Kind        string
	Member      string
	Incarnation int64
	// Reports is the number of monitors that reported a death.
	Reports int
	// PauseDuration is the length of the instance's own pause.
	PauseDuration time.Duration
}

// Table is the member table of one instance; its owner calls it under one lock.
type Table struct {
	rules   Timing
	self    Note
	records map[string]*record
	// suspects are the members with reports against them.
	suspects map[string]bool
	rings    rings
	watches  map[string]*watch
	// hints are members that the platform or a peer named and that were not reached yet.
	hints     map[string]Note
	news      news
	distances map[string]time.Duration
	changes   []Change
	last      time.Time
	probed    time.Time
	synced    time.Time
	differs   int
	beats     int
	hash      uint64
	view      View
	stale     bool
	unsummed  bool
	fresh     bool
	// quiet is set while a whole table is merged: passing all of it on would fill the
	// messages for half a minute after each start, and others exchange tables themselves.
	quiet bool
}

// NewTable returns the table of an instance that knows only itself.
func NewTable(self Member, r Timing) *Table {
	self.State = Alive
	t := &Table{
		rules: r, self: Note{Member: self}, records: map[string]*record{}, suspects: map[string]bool{}, watches: map[string]*watch{},
		hints: map[string]Note{}, distances: map[string]time.Duration{}, stale: true, unsummed: true,
	}
	t.rings.add(self.ID)
	t.spread(t.self)
	return t
}

// spread queues a note for the next messages.
func (t *Table) spread(n Note) {
	if !t.quiet {
		t.news.add(t.last, n)
	}
}

// View returns the members as the table knows them.
func (t *Table) View() View {
	t.refresh()
	return t.view
}

// ViewChanged reports whether the view changed since the last call.
func (t *Table) ViewChanged() bool {
	t.refresh()
	fresh := t.fresh
	t.fresh = false
	return fresh
}

// DrainChanges returns the decisions since the last call.
func (t *Table) DrainChanges() []Change {
	c := t.changes
	t.changes = nil
	return c
}

func (t *Table) changed(kind string, n Note) {
	t.changes = append(t.changes, Change{Kind: kind, Member: n.ID, Incarnation: n.Incarnation})
	t.stale, t.unsummed = true, true
}

// refresh rebuilds the view after changes.
func (t *Table) refresh() {
	if !t.stale {
		return
	}
	t.stale, t.fresh = false, true
	t.view = View{Self: t.self.Member, Members: []Member{t.self.Member}}
	for _, r := range t.records {
		t.view.Members = append(t.view.Members, r.Member)
	}
	slices.SortFunc(t.view.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
}

// sum returns a hash of the members that are not dead.
func (t *Table) sum() uint64 {
	h := hashOf(t.self)
	if !t.unsummed {
		return t.hash ^ h
	}
	t.unsummed, t.hash = false, 0
	for _, r := range t.records {
		if r.State != Dead {
			t.hash ^= hashOf(r.Note)
		}
	}
	return t.hash ^ h
}

// hashOf leaves out suspicion, which each instance sees at another time.
func hashOf(n Note) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(n.ID)
	var b [13]byte
	for i := range 8 {
		b[i] = byte(n.Incarnation >> (8 * i))
	}
	for i := range 4 {
		b[8+i] = byte(n.Count >> (8 * i))
	}
	if n.State == Leaving {
		b[12] = 1
	}
	_, _ = h.Write(b[:])
	return h.Sum64()
}

// AddProbeCandidates takes in rows of the platform's list; members that it does not know are probed.
func (t *Table) AddProbeCandidates(rows []Member) {
	for _, m := range rows {
		n := Note{Member: m}
		if m.ID == t.self.ID || n.Check() != nil {
			continue
		}
		r := t.records[m.ID]
		if r == nil || m.Incarnation > r.Incarnation || r.State == Dead {
			t.hint(n)
		}
	}
}

func (t *Table) hint(n Note) {
	if len(t.hints) < MaxMembers {
		t.hints[n.ID] = n
	}
}

// Notes returns all that the table holds, for an exchange of whole tables.
func (t *Table) Notes() []Note {
	list := []Note{t.self}
	for _, id := range slices.Sorted(maps.Keys(t.records)) {
		n := t.records[id].Note
		if n.State == Suspect {
			n.State = Alive
		}
		list = append(list, n)
	}
	return list
}

// MergeNotes takes in another instance's whole table.
//
// Deaths are not taken over: after a partition each side holds the other as dead,
// and taking them over would declare live members dead. The members are asked
// instead. The first note is the other instance's own.
func (t *Table) MergeNotes(now time.Time, notes []Note) {
	t.quiet = true
	defer func() { t.quiet = false }()
	for _, n := range notes {
		r := t.records[n.ID]
		switch {
		case n.Check() != nil || n.ID == t.self.ID || n.State == Suspect:
		case n.State == Dead:
			if r != nil && r.State != Dead && n.Incarnation == r.Incarnation && n.Count >= r.Count {
				t.ask(now, n.ID, notes[0].ID)
			}
		case r != nil && r.State == Dead && n.Incarnation == r.Incarnation && n.Count <= r.Count:
			t.hint(n)
		default:
			t.take(now, n)
		}
	}
}

// Leave announces the planned end of the instance.
func (t *Table) Leave() {
	if t.self.State == Leaving {
		return
	}
	t.self.State = Leaving
	t.spread(t.self)
	t.changed("leaving", t.self)
}

// Distances returns the measured round-trip time to each data centre; it is a copy.
func (t *Table) Distances() map[string]time.Duration { return maps.Clone(t.distances) }

// ReportedRevisions returns the catalogue revision that each member reported when it was last heard directly.
func (t *Table) ReportedRevisions(since time.Time) map[string]int64 {
	m := map[string]int64{}
	for id, r := range t.records {
		if r.heard.After(since) {
			m[id] = r.revision
		}
	}
	return m
}
