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

func newTestCluster(members int, seed uint64) *testCluster {
	tc := &testCluster{
		now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), tables: map[string]*Table{},
		delayRounds: 1, down: map[string]bool{}, scheduled: map[int][]func(){}, revisions: map[string]int64{}, dropped: func(string, string) bool { return false },
	}
	var all []Note
	for i := range members {
		id := fmt.Sprintf("i%03d", i)
		tc.ids = append(tc.ids, id)
		tc.tables[id] = NewTable(testMember(i, members), DefaultTiming())
		all = append(all, tc.tables[id].self)
	}
	for _, id := range tc.ids {
		tc.tables[id].MergeNotes(tc.now, all)
		tc.tables[id].DrainChanges()
	}
	return tc
}

func testMember(i, n int) Member {
	return Member{
		ID: fmt.Sprintf("i%03d", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7000),
		DataCentre: fmt.Sprintf("dc-%d", 3*i/n), Incarnation: 1,
	}
}

func (tc *testCluster) schedule(rounds int, run func()) {
	tc.scheduled[tc.round+rounds] = append(tc.scheduled[tc.round+rounds], run)
}

// advance simulates the given time; each member ticks every 200 ms, at its own phase.
func (tc *testCluster) advance(d time.Duration) {
	for range int(d / simulationStep) {
		tc.round++
		tc.now = tc.now.Add(simulationStep)
		for _, deliver := range tc.scheduled[tc.round] {
			deliver()
		}
		delete(tc.scheduled, tc.round)
		for i, id := range tc.ids {
			if !tc.down[id] && (tc.round+i)%10 == 0 {
				for _, to := range tc.tables[id].Tick(tc.now) {
					tc.sendBeat(id, to.ID)
				}
			}
		}
		tc.collectChanges()
	}
}

func (tc *testCluster) collectChanges() {
	for _, id := range tc.ids {
		for _, c := range tc.tables[id].DrainChanges() {
			tc.changeLog = append(tc.changeLog, fmt.Sprintf("%d %s %s %s", tc.now.UnixMilli(), id, c.Kind, c.Member))
		}
	}
}

func (tc *testCluster) sendBeat(from, to string) {
	b := tc.tables[from].NextBeat(to, tc.revisions[from], 0)
	tc.messagesSent++
	if tc.dropped(from, to) || tc.tables[to] == nil {
		return
	}
	sentAt := tc.now
	tc.schedule(tc.delayRounds, func() {
		if tc.down[to] {
			return
		}
		tc.tables[to].HandleBeat(tc.now, &b)
		tc.fetchRevision(to, b.Revision)
		answer := tc.tables[to].NextBeat(from, tc.revisions[to], 0)
		if tc.dropped(to, from) {
			return
		}
		tc.schedule(tc.delayRounds+1, func() {
			if tc.down[from] {
				return
			}
			if tc.tables[from].HandleAnswer(tc.now, &answer, tc.now.Sub(sentAt)) {
				mine, theirs := tc.tables[from].Notes(), tc.tables[to].Notes()
				tc.tables[from].MergeNotes(tc.now, theirs)
				tc.tables[to].MergeNotes(tc.now, mine)
			}
			tc.fetchRevision(from, answer.Revision)
		})
	})
}

// fetchRevision simulates fetching a newer revision, which takes one more exchange.
func (tc *testCluster) fetchRevision(id string, revision int64) {
	if revision > tc.revisions[id] {
		tc.schedule(2*tc.delayRounds+1, func() { tc.revisions[id] = max(revision, tc.revisions[id]) })
	}
}

// countHolding returns the number of running members whose view has the member in the given state.
func (tc *testCluster) countHolding(id string, s State) int {
	n := 0
	for _, other := range tc.ids {
		if other == id || tc.down[other] {
			continue
		}
		if m, ok := tc.tables[other].View().Member(id); ok && m.State == s {
			n++
		}
	}
	return n
}

// advanceUntil advances until a condition holds and returns the time it took.
func (tc *testCluster) advanceUntil(limit time.Duration, ok func() bool) (time.Duration, bool) {
	startedAt := tc.now
	for tc.now.Sub(startedAt) < limit {
		tc.advance(simulationStep)
		if ok() {
			return tc.now.Sub(startedAt), true
		}
	}
	return limit, false
}

func (tc *testCluster) countDead() int {
	n := 0
	for _, id := range tc.ids {
		for _, m := range tc.tables[id].View().Members {
			if m.State == Dead {
				n++
			}
		}
	}
	return n
}
