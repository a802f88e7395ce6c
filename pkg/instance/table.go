package instance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// statePrecedence ranks notes with the same incarnation and count; the higher state wins.
var statePrecedence = map[State]int{Alive: 1, Leaving: 2, Dead: 3}

// record is the table's knowledge of one other member.
type record struct {
	Note
	reports []report
	// declaredDead is set when another instance declared the member dead.
	declaredDead bool
	// mustNotify is set when the next message to the member must state its suspicion.
	mustNotify bool
	// sufficientSince is when the reports became sufficient to declare a death, or zero.
	sufficientSince time.Time
	diedAt          time.Time
	lastHeard       time.Time
	revision        int64
	contentHash     uint64
}

type report struct {
	reporter string
	at       time.Time
}

// heartbeatTarget is the state of a member to which the instance sends heartbeats.
type heartbeatTarget struct {
	lastAnswer time.Time
	lastReport time.Time
	// temporary is set for members that are sent heartbeats outside the rings until they answer:
	// monitors of a suspect, and members that another instance holds dead.
	temporary bool
	addedAt   time.Time
	// heldDeadBy names the instance that holds the member dead.
	heldDeadBy string
}

// Change is one decision of a table, to be logged as an event.
type Change struct {
	// Kind is joined, returned, suspected, refuted, died, left, leaving, paused, refuted_self or duplicate_id.
	Kind        string
	Member      string
	Incarnation int64
	// Reports is the number of monitors whose reports led to a death.
	Reports int
	// PauseDuration is how long the instance itself was paused.
	PauseDuration time.Duration
}

// Table is the member table of one instance; its owner must serialise all calls with one lock.
type Table struct {
	timing  Timing
	self    Note
	records map[string]*record
	// suspects are the IDs of members with reports or a death declaration against them.
	suspects         map[string]bool
	rings            rings
	heartbeatTargets map[string]*heartbeatTarget
	// probeCandidates are members named by the platform or a peer that have not answered yet.
	probeCandidates map[string]Note
	outgoing        noteQueue
	distances       map[string]time.Duration
	changes         []Change
	lastTick        time.Time
	lastProbe       time.Time
	lastSync        time.Time
	hashMismatches  int
	messagesSent    int
	recordsHash     uint64
	view            View
	viewStale       bool
	hashStale       bool
	viewChanged     bool
	// merging is set while a whole table is merged, which queues no notes: propagating all of it would
	// fill the messages for half a minute after each start, and other instances exchange tables themselves.
	merging bool
}

// NewTable returns the table of an instance that knows only itself.
func NewTable(self Member, timing Timing) *Table {
	self.State = Alive
	t := &Table{
		timing: timing, self: Note{Member: self}, records: map[string]*record{}, suspects: map[string]bool{}, heartbeatTargets: map[string]*heartbeatTarget{},
		probeCandidates: map[string]Note{}, distances: map[string]time.Duration{}, viewStale: true, hashStale: true,
	}
	t.rings.add(self.ID)
	t.enqueueNote(t.self)
	return t
}

// enqueueNote queues a note for the next messages, except during a merge.
func (t *Table) enqueueNote(n Note) {
	if !t.merging {
		t.outgoing.add(t.lastTick, n)
	}
}

// View returns the current view of the members.
func (t *Table) View() View {
	t.rebuildView()
	return t.view
}

// ViewChanged reports whether the view changed since the last call.
func (t *Table) ViewChanged() bool {
	t.rebuildView()
	changed := t.viewChanged
	t.viewChanged = false
	return changed
}

// DrainChanges returns the decisions since the last call.
func (t *Table) DrainChanges() []Change {
	c := t.changes
	t.changes = nil
	return c
}

func (t *Table) recordChange(kind string, n Note) {
	t.changes = append(t.changes, Change{Kind: kind, Member: n.ID, Incarnation: n.Incarnation})
	t.viewStale, t.hashStale = true, true
}

// rebuildView rebuilds the view if it is stale.
func (t *Table) rebuildView() {
	if !t.viewStale {
		return
	}
	t.viewStale, t.viewChanged = false, true
	t.view = View{Self: t.self.Member, Members: []Member{t.self.Member}}
	for _, r := range t.records {
		t.view.Members = append(t.view.Members, r.Member)
	}
	slices.SortFunc(t.view.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
}

// tableHash returns a hash of the members that are not dead, including the instance itself.
func (t *Table) tableHash() uint64 {
	h := noteHash(t.self)
	if !t.hashStale {
		return t.recordsHash ^ h
	}
	t.hashStale, t.recordsHash = false, 0
	for _, r := range t.records {
		if r.State != Dead {
			t.recordsHash ^= noteHash(r.Note)
		}
	}
	return t.recordsHash ^ h
}

// noteHash ignores suspicion, which each instance notices at a different time.
func noteHash(n Note) uint64 {
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

// AddProbeCandidates adds members from the platform's list that are unknown, restarted or dead, to be probed.
func (t *Table) AddProbeCandidates(rows []Member) {
	for _, m := range rows {
		n := Note{Member: m}
		if m.ID == t.self.ID || n.Check() != nil {
			continue
		}
		r := t.records[m.ID]
		if r == nil || m.Incarnation > r.Incarnation || r.State == Dead {
			t.addProbeCandidate(n)
		}
	}
}

func (t *Table) addProbeCandidate(n Note) {
	if len(t.probeCandidates) < MaxMembers {
		t.probeCandidates[n.ID] = n
	}
}

// Notes returns the whole table, for an exchange with another instance.
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

// MergeNotes merges another instance's whole table; its first note is the sender's own.
//
// Deaths are not adopted: after a partition each side holds the other as dead, and
// adopting them would declare live members dead. The members are sent heartbeats instead.
func (t *Table) MergeNotes(now time.Time, notes []Note) {
	t.merging = true
	defer func() { t.merging = false }()
	for _, n := range notes {
		r := t.records[n.ID]
		switch {
		case n.Check() != nil || n.ID == t.self.ID || n.State == Suspect:
		case n.State == Dead:
			if r != nil && r.State != Dead && n.Incarnation == r.Incarnation && n.Count >= r.Count {
				t.heartbeatTemporarily(now, n.ID, notes[0].ID)
			}
		case r != nil && r.State == Dead && n.Incarnation == r.Incarnation && n.Count <= r.Count:
			t.addProbeCandidate(n)
		default:
			t.applyNote(now, n)
		}
	}
}

// Leave announces the planned shutdown of the instance.
func (t *Table) Leave() {
	if t.self.State == Leaving {
		return
	}
	t.self.State = Leaving
	t.enqueueNote(t.self)
	t.recordChange("leaving", t.self)
}

// Distances returns a copy of the measured round-trip time to each data centre.
func (t *Table) Distances() map[string]time.Duration { return maps.Clone(t.distances) }

// ReportedRevisions returns the catalogue revision last reported by each member from which a message arrived after since.
func (t *Table) ReportedRevisions(since time.Time) map[string]int64 {
	m := map[string]int64{}
	for id, r := range t.records {
		if r.lastHeard.After(since) {
			m[id] = r.revision
		}
	}
	return m
}
