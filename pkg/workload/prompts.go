package workload

import (
	"slices"
	"time"
)

const (
	// writeShareWhileReading is the speed at which streams write while their engine reads a prompt: a step then takes about
	// five times as long.
	writeShareWhileReading = 0.2
	// newsDelay is how late the other instances' statements arrive: 50 to 300 ms.
	newsDelay = 175 * time.Millisecond
	// lateNews is the time after which another instance's first output is known here.
	lateNews = 400 * time.Millisecond
	// minReadShare bounds from below what is left of a prompt of this instance that should have been read and has no output.
	minReadShare = 0.2
	// minSlowness keeps rates finite if a Pace returns 0.
	minSlowness = 0.01
)

// prompt is a prompt at a target, or several of one other instance.
type prompt struct {
	// at is when it was sent, as far as is known.
	at time.Time
	// instance is empty for this instance's own.
	instance, id string
	tokens       float64
	// read is set if a later prompt has been read, so that this one has been too.
	read bool
}

// promptQueue holds the prompts at a target of which no first output is known, in order of time. An engine reads in order,
// so that a first output shows that all earlier prompts have been read.
type promptQueue struct {
	list []prompt
	// startedAt is when reading of the rest began: the time of the last first output.
	startedAt time.Time
}

func (q *promptQueue) add(p prompt) {
	i := len(q.list)
	for i > 0 && q.list[i-1].at.After(p.at) {
		i--
	}
	q.list = slices.Insert(q.list, i, p)
}

// recordRead records the first output of an own request.
func (q *promptQueue) recordRead(now time.Time, id string) {
	i := slices.IndexFunc(q.list, func(p prompt) bool { return p.instance == "" && p.id == id })
	if i < 0 {
		return
	}
	sent := q.list[i].at
	q.list = slices.Delete(q.list, i, i+1)
	q.readUpTo(now, sent)
}

// readUpTo marks the prompts that were sent before a time, since a later one has been read.
func (q *promptQueue) readUpTo(now, sent time.Time) {
	q.startedAt = later(q.startedAt, now)
	for i := range q.list {
		if p := &q.list[i]; !p.at.After(sent) {
			p.read = true
		}
	}
}

// remove removes an own prompt whose request has ended.
func (q *promptQueue) remove(id string) {
	if i := slices.IndexFunc(q.list, func(p prompt) bool { return p.instance == "" && p.id == id }); i >= 0 {
		q.list = slices.Delete(q.list, i, i+1)
	}
}

// forget removes an instance's prompts.
func (q *promptQueue) forget(instance string) {
	q.list = slices.DeleteFunc(q.list, func(p prompt) bool { return p.instance == instance })
}

// setRemote sets the sum of an instance's prompts without output. More than before are new ones; less shows that the
// oldest have been read.
func (q *promptQueue) setRemote(now time.Time, instance string, tokens float64) {
	const rounding = 1
	known := 0.0
	for i := range q.list {
		if q.list[i].instance == instance {
			known += q.list[i].tokens
		}
	}
	if tokens > known+rounding {
		q.add(prompt{at: now.Add(-newsDelay), instance: instance, tokens: tokens - known})
		return
	}
	excess, sent := known-tokens, time.Time{}
	for i := 0; i < len(q.list) && excess > rounding; {
		p := &q.list[i]
		switch {
		case p.instance != instance:
			i++
		case p.tokens > excess+rounding:
			p.tokens -= excess
			excess = 0
		default:
			excess -= p.tokens
			sent = p.at
			q.list = slices.Delete(q.list, i, i+1)
		}
	}
	if !sent.IsZero() {
		q.readUpTo(now.Add(-newsDelay), sent)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// reading is the state of a target's queue of prompts, with the target's speeds.
type reading struct {
	// left is the number of tokens that are still to be read.
	left float64
	// readPerSecond and writePerSecond are the tokens that the target reads and each stream writes in a second.
	readPerSecond, writePerSecond float64
	// busyShare is the share of the time since the oldest prompt in which the target read.
	busyShare float64
}

// read returns what is left of a target's prompts, which are read one after the other at the target's pace.
func (b *Backlog) read(now time.Time, name string, t *targetBacklog) reading {
	slowness := max(b.Pace.Slowness(now, name), minSlowness)
	r := reading{
		readPerSecond:  1 / (b.Pace.ReadTime().Seconds() * slowness),
		writePerSecond: 1 / (b.Pace.StepTime().Seconds() * slowness),
	}
	began, freeAt := time.Time{}, time.Time{}
	own, unread := 0.0, 0.0
	for i := range t.prompts.list {
		p := &t.prompts.list[i]
		if p.read && p.instance != "" {
			continue
		}
		start := later(p.at, t.prompts.startedAt)
		if began.IsZero() {
			began = start
		}
		freeAt = later(freeAt, start).Add(time.Duration(p.tokens / r.readPerSecond * float64(time.Second)))
		unread += p.tokens
		if p.instance == "" {
			own = p.tokens
		}
	}
	if began.IsZero() {
		return r
	}
	left := freeAt.Sub(now).Seconds() * r.readPerSecond
	r.left = min(max(left, 0), unread)
	if total := now.Sub(began).Seconds(); total > 0 {
		r.busyShare = min(freeAt.Sub(began).Seconds()/total, 1)
	}
	// The longer it takes beyond what was expected, the more is likely to be left.
	overdue := -left
	if own == 0 {
		overdue -= lateNews.Seconds() * r.readPerSecond
	}
	r.left = max(r.left, min(max(overdue, minReadShare*own), unread))
	return r
}

// writtenIn returns how many tokens a stream writes in a time, given how much of the time its target reads.
func (r reading) writtenIn(d time.Duration) float64 {
	return max(d.Seconds(), 0) * r.writePerSecond * (1 - r.busyShare*(1-writeShareWhileReading))
}
