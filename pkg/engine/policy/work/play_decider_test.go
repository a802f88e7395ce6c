package work_test

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"
	"time"

	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/engine/policy"
	"bambooferry.example/bambooferry/pkg/engine/policy/spread"
	"bambooferry.example/bambooferry/pkg/engine/policy/work"
	"bambooferry.example/bambooferry/pkg/workload"
)

type kind int

const (
	byCounts kind = iota
	byWork
	// knowingAll is one decider that knows the exact state of all targets at once.
	knowingAll
)

// news is a message between deciders.
type news struct {
	sent   float64
	counts map[string]engine.RequestCounts
	// left is what the counts say.
	left  map[string]workload.Remaining
	paces map[netip.AddrPort]workload.Statement
}

// pending is a message on its way to one decider.
type pending struct {
	arrival float64
	sender  int
	n       int
	// latest is set for the latest message of its sender.
	latest bool
}

// decider is an instance with its own state.
type decider struct {
	index   int
	kind    kind
	pool    engine.Pool
	paces   workload.Paces
	backlog workload.Backlog
	predict workload.Predictor
	own     map[string]*job
	// applied is the number of messages of each sender that were applied or passed over.
	applied []int
	// exact holds the true slowness, for the decider that knows all.
	exact map[string]*server
	// lie, if set, changes what the decider states.
	lie           func(map[string]engine.RequestCounts)
	lastSent      float64
	sendScheduled bool
	silent        bool
}

// pacesByName adapts Paces to targets' names; it gives the true figure to the decider that knows all.
type pacesByName struct{ *decider }

func addressOf(name string) netip.AddrPort {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	v := h.Sum32()
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(v >> 16), byte(v >> 8), byte(v)}), 80)
}

func (p pacesByName) Slowness(now time.Time, name string) float64 {
	if p.exact != nil {
		return p.exact[name].slowness
	}
	return p.paces.Slowness(now, addressOf(name))
}
func (p pacesByName) ReadTime() time.Duration { return p.paces.ReadTime() }
func (p pacesByName) StepTime() time.Duration { return p.paces.StepTime() }

func newDecider(w *world, index int) *decider {
	d := &decider{index: index, kind: w.kind, own: map[string]*job{}, applied: make([]int, w.deciders)}
	build := func(name string) policy.Policy {
		p, err := policy.New(name, w.seed*1000+uint64(index))
		if err != nil {
			panic(err)
		}
		return p
	}
	d.pool.Policy, d.pool.PredictionPolicy = build(spread.Name), build(work.Name)
	d.backlog.Pace = pacesByName{d}
	d.predict = workload.Predictor{Backlog: &d.backlog, Memory: func(string) float64 { return w.memory }}
	if w.kind == knowingAll {
		d.exact = map[string]*server{}
		for _, s := range w.servers {
			d.exact[s.name] = s
		}
	}
	return d
}

func workOf(j *job) workload.Work {
	return workload.Work{Read: j.read, Write: j.expected, Call: time.Duration(j.call * float64(time.Second))}
}

// choose returns the index of the target for a job.
func (d *decider) choose(w *world, j *job) string {
	now := clock(w.now)
	d.receive(w)
	switch d.kind {
	case byCounts:
		c, _ := d.pool.ChooseCandidate(now, w.available(), nil, nil)
		return c.Name
	case byWork:
		d.sync(now)
		c, _ := d.pool.ChoosePredicted(now, w.available(), nil, d.predict.For(now, workOf(j), w.objective))
		return c.Name
	}
	d.sync(now)
	best, bestScore, predict := "", 0.0, d.predict.For(now, workOf(j), w.objective)
	for _, a := range w.available() {
		p := predict(&policy.Candidate{Name: a.Name, Slots: a.Slots})
		score := (p.Finish + p.DelayToOthers).Seconds()
		if !p.Fits {
			score += 1e6
		}
		if best == "" || score < bestScore {
			best, bestScore = a.Name, score
		}
	}
	return best
}

// sync records what the decider's own streams have written, which it sees event by event.
func (d *decider) sync(now time.Time) {
	for _, j := range d.own {
		if j.first > 0 && !j.target.frozen {
			j.target.advance(now.Sub(playStart).Seconds())
			d.backlog.Progress(now, j.target.name, j.id, j.target.writtenOf(j))
		}
	}
}

func (d *decider) recordSent(w *world, j *job) {
	d.pool.RecordSent(clock(w.now), j.target.name, nil)
	if d.kind != byCounts {
		d.own[j.id] = j
		d.backlog.Begin(clock(w.now), j.target.name, j.id, workOf(j))
	}
}

func (d *decider) recordFirst(w *world, j *job) {
	d.pool.RecordFirstOutput(j.target.name)
	d.hear(w, j)
	if d.kind != byCounts {
		d.backlog.FirstOutput(clock(w.now), j.target.name, j.id)
	}
}

func (d *decider) recordEnd(w *world, j *job) {
	d.pool.RecordEnd(clock(w.now), j.target.name, engine.RequestResult{}, time.Duration((j.end-j.sent)*float64(time.Second)))
	if j.call > 0 {
		d.hear(w, j)
	}
	if d.kind != byCounts {
		delete(d.own, j.id)
		d.backlog.End(clock(w.now), j.target.name, j.id)
	}
}

// hear records the load header of a response.
func (d *decider) hear(w *world, j *job) {
	s := j.target
	d.pool.SetLoad(s.name, engine.Load{At: clock(w.now), Running: s.running(), Waiting: len(s.waiting), Slots: s.slots})
	if d.kind == byWork {
		if err := d.paces.RecordStated(clock(w.now), addressOf(s.name), workload.Statement{Slowness: s.slowness, At: clock(w.now)}, true); err != nil {
			panic(err)
		}
	}
}

// news returns what the decider states.
func (d *decider) news(w *world) news {
	m := news{sent: w.now, counts: d.pool.LocalCounts()}
	if d.kind == byWork {
		d.sync(clock(w.now))
		for name, left := range d.backlog.Local(clock(w.now)) {
			m.counts[name] = left.Counts()
		}
		m.paces = d.paces.LocalStatements(clock(w.now))
	}
	if d.lie != nil {
		d.lie(m.counts)
	}
	m.left = make(map[string]workload.Remaining, len(m.counts))
	for name, c := range m.counts {
		m.left[name] = workload.FromCounts(c)
	}
	return m
}

// receive applies the messages that have arrived. Of each sender's counts only the latest matter.
func (d *decider) receive(w *world) {
	var arrived []pending
	for sender, sent := range w.news {
		if sender == d.index {
			continue
		}
		latest, newest := true, 0
		for n := len(sent) - 1; n >= d.applied[sender]; n-- {
			if !latest && len(sent[n].paces) == 0 {
				continue
			}
			if at, ok := w.arrival(sender, d.index, n); ok && at <= w.now {
				arrived = append(arrived, pending{at, sender, n, latest})
				if latest {
					latest, newest = false, n
				}
			}
		}
		if !latest {
			d.applied[sender] = newest + 1
		}
	}
	slices.SortFunc(arrived, func(a, b pending) int { return cmp.Compare(a.arrival, b.arrival) })
	for _, p := range arrived {
		d.apply(p.sender, &w.news[p.sender][p.n], p)
	}
}

func (d *decider) apply(sender int, m *news, p pending) {
	now := clock(p.arrival)
	for address, s := range m.paces {
		_ = d.paces.RecordStated(now, address, s, false)
	}
	if !p.latest {
		return
	}
	instance := fmt.Sprint(sender)
	d.pool.SetRemoteCounts(now, instance, m.counts)
	if d.kind == byWork {
		d.backlog.SetRemote(now, instance, m.left)
	}
}
