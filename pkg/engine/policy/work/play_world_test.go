package work_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bambooferry.example/bambooferry/pkg/engine"
)

// world is a deterministic event loop of targets and deciders.
type world struct {
	kind      kind
	seed      uint64
	deciders  int
	slowness  []float64 // of each target
	slots     int
	calls     bool
	memory    float64 // tokens of each target; 0: no limit
	objective time.Duration
	lossShare float64 // of the messages
	jobs      []*job
	// prepare, if set, is called before the start, and may schedule changes.
	prepare func(w *world)

	now     float64
	events  events
	servers []*server
	all     []*decider
	news    [][]news
	open    []engine.AvailableTarget
	// overMemory counts the sends to targets that had no room by what the decider knew, overMemoryTruly those that had none.
	overMemory, overMemoryTruly int
	// busiest is the largest number of requests at a target over the mean at the same time.
	busiest float64
}

type event struct {
	at  float64
	seq int
	do  func()
}

type events struct {
	list []event
	seq  int
}

func (e *events) Len() int { return len(e.list) }

func (e *events) Less(i, j int) bool {
	return e.list[i].at < e.list[j].at || e.list[i].at == e.list[j].at && e.list[i].seq < e.list[j].seq
}
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(x any)    { e.list = append(e.list, x.(event)) }
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

func (w *world) schedule(at float64, do func()) {
	w.events.seq++
	heap.Push(&w.events, event{at, w.events.seq, do})
}

// run plays all jobs to their ends.
func (w *world) run() {
	for i, s := range w.slowness {
		name := fmt.Sprint("t", i)
		w.servers = append(w.servers, &server{index: i, name: name, slowness: s, slots: w.slots, calls: w.calls})
	}
	if w.kind == knowingAll {
		w.deciders = 1
	}
	w.news = make([][]news, w.deciders)
	for i := range w.deciders {
		w.all = append(w.all, newDecider(w, i))
	}
	if w.prepare != nil {
		w.prepare(w)
	}
	for _, j := range w.jobs {
		w.schedule(j.arrival, func() { w.place(j) })
	}
	for w.events.Len() > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

func (w *world) available() []engine.AvailableTarget {
	if w.open == nil {
		for _, s := range w.servers {
			w.open = append(w.open, engine.AvailableTarget{Name: s.name, Slots: s.slots})
		}
	}
	return w.open
}

func (w *world) place(j *job) {
	d := w.all[j.decider%w.deciders]
	name := d.choose(w, j)
	j.target = w.servers[slices.IndexFunc(w.servers, func(s *server) bool { return s.name == name })]
	if w.memory > 0 {
		if j.target.memory()+j.memory() > w.memory {
			w.overMemoryTruly++
		}
		if d.kind == byWork && d.backlog.At(clock(w.now), name).Memory+j.read+j.expected > w.memory {
			w.overMemory++
		}
	}
	j.sent = w.now
	d.recordSent(w, j)
	w.change(j.target, func() { j.target.waiting = append(j.target.waiting, j) })
	w.announce(d)
	w.measureBusiest(j.target)
}

func (w *world) measureBusiest(s *server) {
	total := 0
	for _, o := range w.servers {
		total += o.running() + len(o.waiting)
	}
	if mean := float64(total) / float64(len(w.servers)); mean >= 1 {
		w.busiest = max(w.busiest, float64(s.running()+len(s.waiting))/mean)
	}
}

// change changes a server and schedules what follows.
func (w *world) change(s *server, do func()) {
	s.advance(w.now)
	do()
	first, ended := s.settle(w.now)
	s.version++
	version := s.version
	if next := s.next(); !math.IsInf(next, 1) {
		w.schedule(w.now+next, func() {
			if s.version == version {
				w.change(s, func() {})
			}
		})
	}
	for _, j := range first {
		w.all[j.decider%w.deciders].recordFirst(w, j)
		w.announce(w.all[j.decider%w.deciders])
	}
	for _, j := range ended {
		w.all[j.decider%w.deciders].recordEnd(w, j)
		w.announce(w.all[j.decider%w.deciders])
	}
}

// announce sends what a decider states as internal/gossip does: at most once in a millisecond for each instance, and
// again after a second.
func (w *world) announce(d *decider) {
	if d.sendScheduled || w.deciders == 1 || w.calls && w.kind == byCounts {
		return
	}
	d.sendScheduled = true
	w.schedule(max(w.now, d.lastSent+float64(w.deciders)/1000), func() { w.send(d) })
}

func (w *world) send(d *decider) {
	d.sendScheduled, d.lastSent = false, w.now
	if d.silent {
		return
	}
	w.news[d.index] = append(w.news[d.index], d.news(w))
	sent := len(w.news[d.index])
	w.schedule(w.now+1, func() {
		if len(w.news[d.index]) == sent && w.now < w.jobs[len(w.jobs)-1].arrival {
			w.announce(d)
		}
	})
}

// arrival returns when a message arrives at a decider, 50 to 300 ms after it was sent; ok is false if it is lost.
func (w *world) arrival(sender, receiver, n int) (at float64, ok bool) {
	h := rand.NewPCG(w.seed<<32|uint64(sender), uint64(receiver)<<32|uint64(n)).Uint64()
	if float64(h>>40)/(1<<24) < w.lossShare {
		return 0, false
	}
	return w.news[sender][n].sent + 0.05 + 0.25*float64(h&0xffffff)/(1<<24), true
}

// mean and quantile are over the jobs that arrived after the first seconds.
const warmUp = 10.0

func measured(jobs []*job, value func(j *job) float64) []float64 {
	var list []float64
	for _, j := range jobs {
		if j.arrival >= warmUp {
			list = append(list, value(j))
		}
	}
	slices.Sort(list)
	return list
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(len(list))
}

func quantile(list []float64, q float64) float64 { return list[int(q*float64(len(list)-1))] }

func (w *world) meanTime() float64 {
	return mean(measured(w.jobs, func(j *job) float64 { return j.end - j.arrival }))
}

func (w *world) firstOutput(q float64) float64 {
	return quantile(measured(w.jobs, func(j *job) float64 { return j.first - j.arrival }), q)
}

// lateCalls returns the share of calls that took more than twice the time of their work.
func (w *world) lateCalls() float64 {
	return mean(measured(w.jobs, func(j *job) float64 {
		if j.end-j.arrival > 2*j.call {
			return 1
		}
		return 0
	}))
}
