package instance

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"
)

// testCluster runs the tables of several members in simulated rounds; a message sent in one round is
// delivered in the same or a later one.
type testCluster struct {
	now    time.Time
	random *rand.Rand
	ids    []string
	tables map[string]*Table
	down   map[string]bool
	// dropped reports whether a message between two members is lost.
	dropped func(from, to string) bool
	// delayRounds is the number of 20 ms rounds that a message takes, at least one.
	delayRounds  int
	scheduled    map[int][]func()
	round        int
	changeLog    []string
	revisions    map[string]int64
	messagesSent int
}

const simulationStep = 20 * time.Millisecond

func newTestCluster(n int, seed uint64) *testCluster {
	f := &testCluster{
		now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), tables: map[string]*Table{},
		delayRounds: 1, down: map[string]bool{}, scheduled: map[int][]func(){}, revisions: map[string]int64{}, dropped: func(string, string) bool { return false },
	}
	var all []Note
	for i := range n {
		id := fmt.Sprintf("i%03d", i)
		f.ids = append(f.ids, id)
		f.tables[id] = NewTable(testMember(i, n), DefaultTiming())
		all = append(all, f.tables[id].self)
	}
	for _, id := range f.ids {
		f.tables[id].MergeNotes(f.now, all)
		f.tables[id].DrainChanges()
	}
	return f
}

func testMember(i, n int) Member {
	return Member{
		ID: fmt.Sprintf("i%03d", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7000),
		DataCentre: fmt.Sprintf("dc-%d", 3*i/n), Incarnation: 1,
	}
}

func (f *testCluster) schedule(rounds int, run func()) {
	f.scheduled[f.round+rounds] = append(f.scheduled[f.round+rounds], run)
}

// advance simulates the given time; each member ticks every 200 ms, at its own phase.
func (f *testCluster) advance(d time.Duration) {
	for range int(d / simulationStep) {
		f.round++
		f.now = f.now.Add(simulationStep)
		for _, deliver := range f.scheduled[f.round] {
			deliver()
		}
		delete(f.scheduled, f.round)
		for i, id := range f.ids {
			if !f.down[id] && (f.round+i)%10 == 0 {
				for _, to := range f.tables[id].Tick(f.now) {
					f.sendBeat(id, to.ID)
				}
			}
		}
		f.collectChanges()
	}
}

func (f *testCluster) collectChanges() {
	for _, id := range f.ids {
		for _, c := range f.tables[id].DrainChanges() {
			f.changeLog = append(f.changeLog, fmt.Sprintf("%d %s %s %s", f.now.UnixMilli(), id, c.Kind, c.Member))
		}
	}
}

func (f *testCluster) sendBeat(from, to string) {
	b := f.tables[from].NextBeat(to, f.revisions[from], 0)
	f.messagesSent++
	if f.dropped(from, to) || f.tables[to] == nil {
		return
	}
	begun := f.now
	f.schedule(f.delayRounds, func() {
		if f.down[to] {
			return
		}
		f.tables[to].HandleBeat(f.now, &b)
		f.fetchRevision(to, b.Revision)
		answer := f.tables[to].NextBeat(from, f.revisions[to], 0)
		if f.dropped(to, from) {
			return
		}
		f.schedule(f.delayRounds+1, func() {
			if f.down[from] {
				return
			}
			if f.tables[from].HandleAnswer(f.now, &answer, f.now.Sub(begun)) {
				mine, theirs := f.tables[from].Notes(), f.tables[to].Notes()
				f.tables[from].MergeNotes(f.now, theirs)
				f.tables[to].MergeNotes(f.now, mine)
			}
			f.fetchRevision(from, answer.Revision)
		})
	})
}

// fetchRevision simulates fetching a newer revision, which takes one more exchange.
func (f *testCluster) fetchRevision(id string, revision int64) {
	if revision > f.revisions[id] {
		f.schedule(2*f.delayRounds+1, func() { f.revisions[id] = max(revision, f.revisions[id]) })
	}
}

// countHolding returns the number of running members whose view has the member in the given state.
func (f *testCluster) countHolding(id string, s State) int {
	n := 0
	for _, other := range f.ids {
		if other == id || f.down[other] {
			continue
		}
		if m, ok := f.tables[other].View().Member(id); ok && m.State == s {
			n++
		}
	}
	return n
}

// advanceUntil advances until a condition holds and returns the time it took.
func (f *testCluster) advanceUntil(limit time.Duration, ok func() bool) (time.Duration, bool) {
	begun := f.now
	for f.now.Sub(begun) < limit {
		f.advance(simulationStep)
		if ok() {
			return f.now.Sub(begun), true
		}
	}
	return limit, false
}

func (f *testCluster) countDead() int {
	n := 0
	for _, id := range f.ids {
		for _, m := range f.tables[id].View().Members {
			if m.State == Dead {
				n++
			}
		}
	}
	return n
}
