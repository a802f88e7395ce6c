package booking

import "time"

// ShardWriter turns operations on one shard into group writes; its owner carries out the writes.
type ShardWriter struct {
	// Retention is the age at which claims are dropped.
	Retention time.Duration
	// MaxBatch bounds the operations of one write; 0 means no bound.
	MaxBatch int

	shard   *Shard
	version int64
	fresh   bool
	next    *Shard
	data    []byte
	pending []waiting
	group   []waiting
}

type waiting struct {
	Op
	id       uint64
	deadline time.Time
	begin    time.Time
	settled  Settled
}

// Step is what the owner of a Writer has to do next.
type Step struct {
	Kind StepKind
	// Version and Data are the write to be made.
	Version int64
	Data    []byte
	// Wake is when an Idle step with operations waiting has more to do.
	Wake time.Time
}

// StepKind tells what a Step asks for.
type StepKind int

// The kinds of steps.
const (
	Idle StepKind = iota
	Read
	Write
)

// OpResult is what became of an operation that was added under the id.
type OpResult struct {
	ID uint64
	Settled
}

// Enqueue takes an operation that is given up at the deadline if its write is not confirmed.
//
// It goes with the next group, and begins one by itself only from the time begin on.
func (w *ShardWriter) Enqueue(id uint64, o Op, begin, deadline time.Time) {
	w.pending = append(w.pending, waiting{Op: o, id: id, begin: begin, deadline: deadline})
}

// PendingCount returns the number of operations not yet settled.
func (w *ShardWriter) PendingCount() int { return len(w.pending) + len(w.group) }

// NextStep returns the step to take and the operations that are settled without one.
func (w *ShardWriter) NextStep(now time.Time) (Step, []OpResult) {
	out := w.giveUp(now)
	if w.data != nil {
		if len(w.group) > 0 {
			// A write without an answer is repeated unchanged: if the first took effect, the
			// repeat finds another version, and the claims are looked for in what it finds.
			return Step{Kind: Write, Version: w.version, Data: w.data}, out
		}
		w.forget()
	}
	if len(w.group) == 0 {
		if wake := w.wake(); now.Before(wake) {
			return Step{Wake: wake}, out
		}
		w.take()
	}
	if len(w.group) == 0 {
		return Step{}, out
	}
	if w.shard == nil {
		return Step{Kind: Read}, out
	}
	if changed := w.apply(now); changed {
		w.data = w.next.Encode()
		return Step{Kind: Write, Version: w.version, Data: w.data}, out
	}
	if !w.fresh {
		return Step{Kind: Read}, out
	}
	return Step{}, append(out, w.settle()...)
}

// Demand returns what needs a write now; wake is when there will be something if there is nothing yet.
func (w *ShardWriter) Demand(now time.Time) (d ShardDemand, wake time.Time, ok bool) {
	for _, list := range [][]waiting{w.group, w.pending} {
		for _, o := range list {
			if o.Kind == OpClaim {
				d.Claims++
			}
			if d.Since.IsZero() || o.begin.Before(d.Since) {
				d.Since = o.begin
			}
		}
	}
	switch {
	case len(w.group) == 0 && len(w.pending) == 0:
		return d, time.Time{}, false
	case len(w.group) == 0 && now.Before(d.Since):
		return d, d.Since, false
	default:
		return d, time.Time{}, true
	}
}

// wake returns when the next group begins.
func (w *ShardWriter) wake() time.Time {
	var first time.Time
	for _, o := range w.pending {
		if first.IsZero() || o.begin.Before(first) {
			first = o.begin
		}
	}
	return first
}

func (w *ShardWriter) take() {
	n := len(w.pending)
	if w.MaxBatch > 0 {
		n = min(n, w.MaxBatch)
	}
	w.group, w.pending = w.pending[:n:n], w.pending[n:]
}

// giveUp settles operations whose time is over; a write in flight may still take effect.
func (w *ShardWriter) giveUp(now time.Time) []OpResult {
	var out []OpResult
	for _, list := range []*[]waiting{&w.group, &w.pending} {
		var kept []waiting
		for _, o := range *list {
			if now.Before(o.deadline) {
				kept = append(kept, o)
			} else {
				out = append(out, OpResult{o.id, w.LastKnownResult(o.Op)})
			}
		}
		*list = kept
	}
	return out
}

// LastKnownResult judges an operation by the shard as last read, for use while the service does not answer.
//
// That shard may be old, but a claim in it that is not released shows that the key was used.
func (w *ShardWriter) LastKnownResult(o Op) Settled {
	if w.shard != nil && o.Kind == OpClaim {
		if s, changed := w.shard.Clone().Apply(o); !changed && (s.Verdict == Taken || s.Verdict == Reused) {
			return s
		}
	}
	return Settled{Verdict: Unwritten}
}

// apply works the group into a copy of the shard.
func (w *ShardWriter) apply(now time.Time) (changed bool) {
	w.next = w.shard.Clone()
	w.next.Expire(now, w.Retention)
	for i := range w.group {
		s, c := w.next.Apply(w.group[i].Op)
		w.group[i].settled = s
		changed = changed || c
	}
	return changed
}

// settle answers the group by what apply found.
func (w *ShardWriter) settle() []OpResult {
	out := make([]OpResult, 0, len(w.group))
	for _, o := range w.group {
		out = append(out, OpResult{o.id, o.settled})
	}
	w.group, w.data, w.fresh = nil, nil, false
	return out
}

// WriteConfirmed tells that the write took effect as the given version.
func (w *ShardWriter) WriteConfirmed(version int64) []OpResult {
	w.shard, w.version = w.next, version
	return w.settle()
}

// SetCurrentValue tells the present value, by a read or by a write that met another version.
func (w *ShardWriter) SetCurrentValue(version int64, data []byte) error {
	s, err := DecodeShard(data)
	w.data = nil
	if err != nil {
		w.shard = nil
		return err
	}
	w.shard, w.version, w.fresh = s, version, true
	return nil
}

// forget drops a write that nobody waits for any more; its effect is found by the next read.
func (w *ShardWriter) forget() {
	w.shard, w.data, w.fresh = nil, nil, false
}
