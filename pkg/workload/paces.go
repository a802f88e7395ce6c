package workload

import (
	"container/list"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"bambooferry.example/bambooferry/pkg/engine"
)

const (
	defaultReadTime = 200 * time.Microsecond
	defaultStepTime = 6 * time.Millisecond

	maxAddresses = 8192
	// localAge is the age up to which other instances are told a statement.
	localAge = 1500 * time.Millisecond
	// statedAge is the time for which a statement makes measurements of the same target unnecessary.
	statedAge = 10 * time.Second

	// The pool's median is computed for each figure while the pool is small, and otherwise once in medianInterval from
	// the targets that were confirmed within medianAge.
	medianInterval = time.Second
	medianAge      = time.Minute
	smallPool      = 32
)

// Paces learns how slow each target of one pool is. The zero value is ready for use.
type Paces struct {
	elements map[netip.AddrPort]*list.Element
	order    list.List // of *pace, latest figure first
	local    map[netip.AddrPort]Statement

	stated      bool
	poolMedian  float64 // 0: not known
	medianAt    time.Time
	bases       []float64
	persistence persistence

	read, write usualTime
	writeByLoad [loadClasses]usualTime
}

// RecordStated records a slowness that a target stated; local is set if it stated it to this instance. It returns a
// *RangeError if the figure is out of range, and then ignores it.
func (p *Paces) RecordStated(now time.Time, address netip.AddrPort, s Statement, local bool) error {
	if !engine.ValidSlowness(s.Slowness) {
		return &RangeError{address, s.Slowness}
	}
	p.stated = true
	if s.At.After(now) {
		s.At = now
	}
	t := p.get(now, address)
	if s.At.IsZero() || (t != nil && !s.At.After(t.restartedAt)) {
		return nil
	}
	// Messages of other instances repeat a statement and arrive in any order.
	newer := t == nil || s.At.After(t.latest.At)
	if newer {
		t = p.getOrAdd(address)
	}
	if local && s.At.After(p.local[address].At) {
		p.local[address] = s
	}
	if !newer {
		return nil
	}
	p.learnPersistence(t, s, local)
	if t.record(s.At, s.Slowness, p.median()) && t.n > minSamples {
		p.persistence.recordStatement(s.Slowness, t.base)
	}
	t.latest = s
	t.recordRun(s, &p.persistence, p.median())
	p.updateMedian(now)
	return nil
}

func (p *Paces) learnPersistence(t *pace, s Statement, local bool) {
	least := minLag
	if !local {
		least = remoteLag
	}
	lag := s.At.Sub(t.anchor.At)
	if !t.anchor.At.IsZero() && lag < least {
		return
	}
	if !t.anchor.At.IsZero() && t.n >= minSamples && !same(t.anchor.Slowness, t.base) {
		p.persistence.recordPair(lag, same(t.anchor.Slowness, s.Slowness))
	}
	t.anchor = s
}

// RecordRestart records that a target was started again: its base is only a guess until three figures confirm or replace
// it.
func (p *Paces) RecordRestart(now time.Time, address netip.AddrPort) {
	if el := p.elements[address]; el != nil {
		el.Value.(*pace).restart(now)
		delete(p.local, address)
	}
}

// RecordReading records how long a target took to read a prompt while nothing else ran there.
func (p *Paces) RecordReading(now time.Time, address netip.AddrPort, tokens float64, took time.Duration) {
	each, ok := timePerUnit(tokens, took)
	if !ok {
		return
	}
	if s, ok := p.referenceSlowness(now, address); ok {
		p.read.record(each / s)
	}
	if p.read.learned() {
		p.recordMeasured(now, address, each/p.read.median)
	}
}

// RecordWriting records how long a target took to write output beside the given number of streams.
func (p *Paces) RecordWriting(now time.Time, address netip.AddrPort, tokens float64, took time.Duration,
	streams float64,
) {
	each, ok := timePerUnit(tokens, took)
	if !ok || math.IsNaN(streams) {
		return
	}
	byLoad := &p.writeByLoad[loadClass(streams)]
	if s, ok := p.referenceSlowness(now, address); ok {
		p.write.record(each / s)
		byLoad.record(each / s)
	}
	if byLoad.learned() {
		p.recordMeasured(now, address, each/byLoad.median)
	}
}

func timePerUnit(units float64, took time.Duration) (ns float64, ok bool) {
	ns = float64(took) / units
	return ns, units > 0 && took > 0 && !math.IsInf(units, 0) && !math.IsInf(ns, 0)
}

// referenceSlowness returns the slowness by which a measurement is divided to learn the usual time. If targets state
// theirs, only measurements of those that do show it; otherwise the usual time is that of the median target.
func (p *Paces) referenceSlowness(now time.Time, address netip.AddrPort) (s float64, ok bool) {
	if !p.stated {
		return 1, true
	}
	el := p.elements[address]
	if el == nil || el.Value.(*pace).latest.At.IsZero() {
		return 0, false
	}
	return p.Slowness(now, address), true
}

// recordMeasured records a measured slowness of a target that has not stated it recently.
func (p *Paces) recordMeasured(now time.Time, address netip.AddrPort, x float64) {
	if !engine.ValidSlowness(x) {
		return
	}
	t := p.get(now, address)
	if t != nil && !t.latest.At.IsZero() && now.Sub(t.latest.At) < statedAge {
		return
	}
	t = p.getOrAdd(address)
	t.record(now, x, p.median())
	p.updateMedian(now)
}

// Slowness returns the slowness that is expected of a target now: its base and, as far as its age allows, what it stated
// last.
func (p *Paces) Slowness(now time.Time, address netip.AddrPort) float64 {
	el := p.elements[address]
	if el == nil {
		return p.median()
	}
	t := el.Value.(*pace)
	base := t.baseAt(now, p.median())
	if t.latest.At.IsZero() {
		return base
	}
	// A statement in the future is of unknown age, since the clock has stepped back.
	age := now.Sub(t.latest.At).Abs()
	return base + (t.latest.Slowness-base)*math.Exp(-float64(age)/float64(p.persistence.time()))
}

// Base returns the slowness of a target's machine without what disturbs it at present.
func (p *Paces) Base(now time.Time, address netip.AddrPort) float64 {
	if el := p.elements[address]; el != nil {
		return el.Value.(*pace).baseAt(now, p.median())
	}
	return p.median()
}

// LocalStatements returns the latest statement of each target to this instance that is at most 1.5 s old.
func (p *Paces) LocalStatements(now time.Time) map[netip.AddrPort]Statement {
	maps.DeleteFunc(p.local, func(_ netip.AddrPort, s Statement) bool { return now.Sub(s.At).Abs() > localAge })
	return maps.Clone(p.local)
}

// Persistence returns how long a target's deviation from its base lasts, as learned.
func (p *Paces) Persistence() time.Duration { return p.persistence.time() }

// ReadTime returns the usual time to read a prompt token at slowness 1.
func (p *Paces) ReadTime() time.Duration { return p.read.time(defaultReadTime) }

// StepTime returns the usual time to write an output unit at slowness 1.
func (p *Paces) StepTime() time.Duration { return p.write.time(defaultStepTime) }

// Stated reports whether any target has stated its slowness.
func (p *Paces) Stated() bool { return p.stated }

func (p *Paces) median() float64 {
	if p.poolMedian == 0 {
		return 1
	}
	return p.poolMedian
}

// updateMedian computes the pool's median from time to time, so that readers get it at once.
func (p *Paces) updateMedian(now time.Time) {
	if since := now.Sub(p.medianAt); p.order.Len() > smallPool && since >= 0 && since < medianInterval {
		return
	}
	p.medianAt = now
	p.bases = p.bases[:0]
	for el := p.order.Front(); el != nil; el = el.Next() {
		if t := el.Value.(*pace); t.n > 0 && now.Sub(t.confirmedAt) < medianAge {
			p.bases = append(p.bases, t.base)
		}
	}
	if len(p.bases) > 0 {
		slices.Sort(p.bases)
		p.poolMedian = middle(p.bases)
	}
}

// get returns the pace of a target, or nil if it is unknown.
func (p *Paces) get(now time.Time, address netip.AddrPort) *pace {
	el := p.elements[address]
	if el == nil {
		return nil
	}
	t := el.Value.(*pace)
	if t.forgetFuture(now) {
		delete(p.local, address)
	}
	return t
}

// getOrAdd returns the pace of a target. It drops the one with the oldest figure if there are too many.
func (p *Paces) getOrAdd(address netip.AddrPort) *pace {
	if el := p.elements[address]; el != nil {
		p.order.MoveToFront(el)
		return el.Value.(*pace)
	}
	if p.elements == nil {
		p.elements, p.local = map[netip.AddrPort]*list.Element{}, map[netip.AddrPort]Statement{}
	}
	for p.order.Len() >= maxAddresses {
		oldest := p.order.Remove(p.order.Back()).(*pace)
		delete(p.elements, oldest.address)
		delete(p.local, oldest.address)
	}
	t := &pace{address: address}
	p.elements[address] = p.order.PushFront(t)
	return t
}
