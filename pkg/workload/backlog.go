package workload

import (
	"slices"
	"time"
)

const (
	// remoteTTL is how long what another instance states is used. It is stated each second, and one or two datagrams may
	// be lost.
	remoteTTL = 3 * time.Second
	// minWriteShare bounds from below what is left of a request of this instance that has written more than expected.
	minWriteShare = 0.15
	// typicalWeight is the weight of one request in the average of this instance's.
	typicalWeight = 1.0 / 32
)

// Pace tells how fast targets work. Paces is adapted to it by the owner, which knows the targets' addresses.
type Pace interface {
	// Slowness returns how many times as long as usual the target takes now.
	Slowness(now time.Time, target string) float64
	// ReadTime and StepTime are the usual times to read a token and to write one.
	ReadTime() time.Duration
	StepTime() time.Duration
}

// Backlog tracks the remaining work at the targets of one pool: this instance's requests, and what the other instances
// state. Set Pace before the first call.
type Backlog struct {
	Pace Pace

	targets   map[string]*targetBacklog
	instances map[string]*statement
	// oldest is not after the time of the oldest statement.
	oldest time.Time
	// typical is the average work of this instance's requests.
	typical Work
}

// statement records when another instance has stated its work, and of which targets.
type statement struct {
	at      time.Time
	targets []string
}

// targetBacklog is what is known of one target.
type targetBacklog struct {
	own    []ownRequest
	remote []remoteWork
	// prompts are those that are not known to have been read.
	prompts promptQueue
}

// ownRequest is a request of this instance.
type ownRequest struct {
	id     string
	work   Work
	memory float64
	output bool
	// written is the number of tokens written at writtenAt.
	written   float64
	writtenAt time.Time
}

// remoteWork is what another instance has stated of a target.
type remoteWork struct {
	instance string
	at       time.Time
	left     Remaining
}

// Begin records that a request is sent to a target. It counts at once.
func (b *Backlog) Begin(now time.Time, target, id string, w Work) {
	w = b.inSteps(w)
	t := b.target(target)
	t.own = append(t.own, ownRequest{id: id, work: w, memory: memoryOf(w), output: w.Read <= 0, writtenAt: now})
	if w.Read > 0 {
		t.prompts.add(prompt{at: now, id: id, tokens: w.Read})
	}
	b.recordTypical(w)
}

// BeginCopy records that a target gets a copy of what a request keeps, which takes memory and no time.
func (b *Backlog) BeginCopy(now time.Time, target, id string, w Work) {
	t := b.target(target)
	t.own = append(t.own, ownRequest{id: id, memory: memoryOf(b.inSteps(w)), output: true, writtenAt: now})
}

// inSteps returns the work of a request with the time of a call as steps of usual length.
func (b *Backlog) inSteps(w Work) Work {
	if w.Read <= 0 && w.Call > 0 {
		return Work{Write: float64(w.Call) / float64(b.Pace.StepTime())}
	}
	return w
}

func (b *Backlog) recordTypical(w Work) {
	if b.typical == (Work{}) {
		b.typical = w
		return
	}
	b.typical.Read += (w.Read - b.typical.Read) * typicalWeight
	b.typical.Write += (w.Write - b.typical.Write) * typicalWeight
}

// FirstOutput records the first output of a request: its prompt has been read.
func (b *Backlog) FirstOutput(now time.Time, target, id string) {
	t := b.targets[target]
	q := t.find(id)
	if q == nil || q.output {
		return
	}
	q.output, q.writtenAt = true, now
	t.prompts.recordRead(now, id)
}

// Progress records how many tokens a request has written.
func (b *Backlog) Progress(now time.Time, target, id string, written float64) {
	if q := b.targets[target].find(id); q != nil && written >= q.written {
		q.written, q.writtenAt = written, now
	}
}

// End records that a request no longer runs at a target.
func (b *Backlog) End(_ time.Time, target, id string) {
	t := b.targets[target]
	if t == nil {
		return
	}
	// A request may be at a target twice.
	if i := slices.IndexFunc(t.own, func(q ownRequest) bool { return q.id == id }); i >= 0 {
		t.own = slices.Delete(t.own, i, i+1)
	}
	t.prompts.remove(id)
	b.dropEmpty(target, t)
}

// Retain removes the targets that are not named.
func (b *Backlog) Retain(names []string) {
	kept := make(map[string]bool, len(names))
	for _, n := range names {
		kept[n] = true
	}
	for n := range b.targets {
		if !kept[n] {
			delete(b.targets, n)
		}
	}
}

// Local returns what is left of this instance's requests, by target, to be told to the others. A prompt is stated whole
// until its first output: the others know as much of the time that its target needs, and all prompts at a target must age
// together.
func (b *Backlog) Local(now time.Time) map[string]Remaining {
	out := map[string]Remaining{}
	for name, t := range b.targets {
		if len(t.own) > 0 {
			out[name] = t.ownLeft(b.read(now, name, t), now)
		}
	}
	return out
}

func (t *targetBacklog) ownLeft(r reading, now time.Time) Remaining {
	sum := Remaining{}
	for i := range t.own {
		q := &t.own[i]
		sum.Memory += q.memory
		if q.work == (Work{}) {
			continue
		}
		sum.Streams++
		if !q.output {
			sum.Readers++
			sum.Read += q.work.Read
			sum.Write += q.work.Write
			continue
		}
		left := q.work.Write - q.written - r.writtenIn(now.Sub(q.writtenAt))
		sum.Write += max(left, minWriteShare*max(q.written, q.work.Write))
	}
	return sum
}

// SetRemote stores what another instance states of its requests, by target.
func (b *Backlog) SetRemote(now time.Time, instance string, by map[string]Remaining) {
	if b.instances == nil {
		b.instances, b.oldest = map[string]*statement{}, now
	}
	s := b.instances[instance]
	if s == nil {
		s = &statement{}
		b.instances[instance] = s
	}
	if now.Before(b.oldest) {
		b.oldest = now
	}
	for _, name := range s.targets {
		if _, named := by[name]; !named {
			b.forget(now, name, instance)
		}
	}
	s.at, s.targets = now, s.targets[:0]
	for name, left := range by {
		left = left.checked(b.typical)
		t := b.target(name)
		i := slices.IndexFunc(t.remote, func(e remoteWork) bool { return e.instance == instance })
		if i < 0 {
			i = len(t.remote)
			t.remote = append(t.remote, remoteWork{})
		}
		t.remote[i] = remoteWork{instance: instance, at: now, left: left}
		t.prompts.setRemote(now, instance, left.Read)
		s.targets = append(s.targets, name)
	}
}

// forget removes what an instance has stated of a target.
func (b *Backlog) forget(now time.Time, name, instance string) {
	t := b.targets[name]
	if t == nil {
		return
	}
	t.remote = slices.DeleteFunc(t.remote, func(e remoteWork) bool { return e.instance == instance })
	t.prompts.setRemote(now, instance, 0)
	b.dropEmpty(name, t)
}

// dropSilent removes the statements of instances that have not renewed them. It visits all instances, but only once the
// oldest statement may be too old.
func (b *Backlog) dropSilent(now time.Time) {
	if len(b.instances) == 0 || now.Sub(b.oldest) <= remoteTTL {
		return
	}
	b.oldest = now
	for instance, s := range b.instances {
		if now.Sub(s.at) > remoteTTL {
			for _, name := range s.targets {
				if t := b.targets[name]; t != nil {
					t.prompts.forget(instance)
				}
				b.forget(now, name, instance)
			}
			delete(b.instances, instance)
		} else if s.at.Before(b.oldest) {
			b.oldest = s.at
		}
	}
}

// At returns what is left of all instances' requests at a target.
func (b *Backlog) At(now time.Time, target string) Remaining {
	b.dropSilent(now)
	t := b.targets[target]
	if t == nil {
		return Remaining{}
	}
	r := b.read(now, target, t)
	sum := t.ownLeft(r, now)
	for i := range t.remote {
		e := &t.remote[i]
		left := e.left
		left.Write = max(left.Write-float64(left.Streams-left.Readers)*r.writtenIn(now.Sub(e.at)+newsDelay), 0)
		sum.add(left)
	}
	sum.Read = r.left
	return sum
}

func (b *Backlog) target(name string) *targetBacklog {
	if b.targets == nil {
		b.targets = map[string]*targetBacklog{}
	}
	t := b.targets[name]
	if t == nil {
		t = &targetBacklog{}
		b.targets[name] = t
	}
	return t
}

func (b *Backlog) dropEmpty(name string, t *targetBacklog) {
	if len(t.own)+len(t.remote) == 0 {
		delete(b.targets, name)
	}
}

func (t *targetBacklog) find(id string) *ownRequest {
	if t == nil {
		return nil
	}
	for i := range t.own {
		if t.own[i].id == id {
			return &t.own[i]
		}
	}
	return nil
}
