package instance

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"
)

// fleet drives tables round by round; a message of one round arrives in the same or a later one.
type fleet struct {
	now    time.Time
	random *rand.Rand
	ids    []string
	tables map[string]*Table
	down   map[string]bool
	// lost reports whether a message between two members is lost.
	lost func(from, to string) bool
	// delay is how many rounds of 20 ms a message takes, at least one.
	delay    int
	mail     map[int][]func()
	round    int
	log      []string
	revision map[string]int64
	sent     int
}

const step = 20 * time.Millisecond

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), tables: map[string]*Table{},
		delay: 1, down: map[string]bool{}, mail: map[int][]func(){}, revision: map[string]int64{}, lost: func(string, string) bool { return false },
	}
	var all []Note
	for i := range n {
		id := fmt.Sprintf("i%03d", i)
		f.ids = append(f.ids, id)
		f.tables[id] = NewTable(memberOf(i, n), DefaultTiming())
		all = append(all, f.tables[id].self)
	}
	for _, id := range f.ids {
		f.tables[id].MergeNotes(f.now, all)
		f.tables[id].DrainChanges()
	}
	return f
}

func memberOf(i, n int) Member {
	return Member{
		ID: fmt.Sprintf("i%03d", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7000),
		DataCentre: fmt.Sprintf("dc-%d", 3*i/n), Incarnation: 1,
	}
}

func (f *fleet) after(rounds int, what func()) {
	f.mail[f.round+rounds] = append(f.mail[f.round+rounds], what)
}

// run passes time; each member ticks every 200 ms, at its own phase.
func (f *fleet) run(d time.Duration) {
	for range int(d / step) {
		f.round++
		f.now = f.now.Add(step)
		for _, m := range f.mail[f.round] {
			m()
		}
		delete(f.mail, f.round)
		for i, id := range f.ids {
			if !f.down[id] && (f.round+i)%10 == 0 {
				for _, to := range f.tables[id].Tick(f.now) {
					f.beat(id, to.ID)
				}
			}
		}
		f.collect()
	}
}

func (f *fleet) collect() {
	for _, id := range f.ids {
		for _, c := range f.tables[id].DrainChanges() {
			f.log = append(f.log, fmt.Sprintf("%d %s %s %s", f.now.UnixMilli(), id, c.Kind, c.Member))
		}
	}
}

func (f *fleet) beat(from, to string) {
	b := f.tables[from].NextBeat(to, f.revision[from], 0)
	f.sent++
	if f.lost(from, to) || f.tables[to] == nil {
		return
	}
	begun := f.now
	f.after(f.delay, func() {
		if f.down[to] {
			return
		}
		f.tables[to].HandleBeat(f.now, &b)
		f.learn(to, b.Revision)
		answer := f.tables[to].NextBeat(from, f.revision[to], 0)
		if f.lost(to, from) {
			return
		}
		f.after(f.delay+1, func() {
			if f.down[from] {
				return
			}
			if f.tables[from].HandleAnswer(f.now, &answer, f.now.Sub(begun)) {
				mine, theirs := f.tables[from].Notes(), f.tables[to].Notes()
				f.tables[from].MergeNotes(f.now, theirs)
				f.tables[to].MergeNotes(f.now, mine)
			}
			f.learn(from, answer.Revision)
		})
	})
}

// learn fetches a newer revision, which takes one more exchange.
func (f *fleet) learn(id string, revision int64) {
	if revision > f.revision[id] {
		f.after(2*f.delay+1, func() { f.revision[id] = max(revision, f.revision[id]) })
	}
}

// seen counts the running members that hold another one in a state.
func (f *fleet) seen(id string, s State) int {
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

// until runs on until a condition holds and returns the time it took.
func (f *fleet) until(limit time.Duration, ok func() bool) (time.Duration, bool) {
	begun := f.now
	for f.now.Sub(begun) < limit {
		f.run(step)
		if ok() {
			return f.now.Sub(begun), true
		}
	}
	return limit, false
}

func (f *fleet) deaths() int {
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
