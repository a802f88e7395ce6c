package booking

import "time"

// ShardWriter batches operations on one shard into writes; its owner carries out the writes.
type ShardWriter struct {
	// Retention is the age at which claims are dropped.
	Retention time.Duration
	// MaxBatch bounds the number of operations in one write; 0 means no bound.
	MaxBatch int

	// shard is the value as last read or written; nil means that it must be read.
	shard   *Shard
	version int64
	// justRead is set if shard was read, or found by a write, since the last batch ended.
	justRead bool
	// updated is shard with the batch applied, and pendingWrite its encoding until the write is
	// confirmed or another version is found.
	updated      *Shard
	pendingWrite []byte
	queued       []pendingOp
	batch        []pendingOp
}

type pendingOp struct {
	Op
	id        uint64
	deadline  time.Time
	notBefore time.Time
	result    Settled
}

// Step is the next action for the owner of a ShardWriter.
type Step struct {
	Kind StepKind
	// Version and Data are the arguments of a Write step.
	Version int64
	Data    []byte
	// Wake is when to call NextStep again after an Idle step, if operations are waiting.
	Wake time.Time
}

// StepKind is the kind of action of a Step.
type StepKind int

// The kinds of steps.
const (
	Idle StepKind = iota
	Read
	Write
)

// OpResult is the result of the operation that was enqueued with the id.
type OpResult struct {
	ID uint64
	Settled
}

// Enqueue adds an operation; it is given up at the deadline if its write is not confirmed.
//
// The operation joins the next batch, and starts a batch by itself only from the time notBefore on.
func (w *ShardWriter) Enqueue(id uint64, o Op, notBefore, deadline time.Time) {
	w.queued = append(w.queued, pendingOp{Op: o, id: id, notBefore: notBefore, deadline: deadline})
}

// PendingCount returns the number of operations without a result.
func (w *ShardWriter) PendingCount() int { return len(w.queued) + len(w.batch) }

// NextStep returns the next step, and the results of operations that expired or need no write.
func (w *ShardWriter) NextStep(now time.Time) (Step, []OpResult) {
	out := w.expireOps(now)
	if w.pendingWrite != nil {
		if len(w.batch) > 0 {
			// A write without a response is repeated unchanged: if the first one took effect, the
			// repeat finds another version, and the claims are looked up in the value found.
			return Step{Kind: Write, Version: w.version, Data: w.pendingWrite}, out
		}
		w.discardWrite()
	}
	if len(w.batch) == 0 {
		if wake := w.nextBatchTime(); now.Before(wake) {
			return Step{Wake: wake}, out
		}
		w.takeBatch()
	}
	if len(w.batch) == 0 {
		return Step{}, out
	}
	if w.shard == nil {
		return Step{Kind: Read}, out
	}
	if changed := w.applyBatch(now); changed {
		w.pendingWrite = w.updated.Encode()
		return Step{Kind: Write, Version: w.version, Data: w.pendingWrite}, out
	}
	if !w.justRead {
		return Step{Kind: Read}, out
	}
	return Step{}, append(out, w.finishBatch()...)
}

// Demand summarises the operations that need a write now; if there are none yet, ok is false and
// wake is when there will be some, or zero if no operation is pending.
func (w *ShardWriter) Demand(now time.Time) (d ShardDemand, wake time.Time, ok bool) {
	for _, list := range [][]pendingOp{w.batch, w.queued} {
		for _, o := range list {
			if o.Kind == OpClaim {
				d.Claims++
			}
			if d.Since.IsZero() || o.notBefore.Before(d.Since) {
				d.Since = o.notBefore
			}
		}
	}
	switch {
	case len(w.batch) == 0 && len(w.queued) == 0:
		return d, time.Time{}, false
	case len(w.batch) == 0 && now.Before(d.Since):
		return d, d.Since, false
	default:
		return d, time.Time{}, true
	}
}

// nextBatchTime returns when the next batch may start.
func (w *ShardWriter) nextBatchTime() time.Time {
	var first time.Time
	for _, o := range w.queued {
		if first.IsZero() || o.notBefore.Before(first) {
			first = o.notBefore
		}
	}
	return first
}

func (w *ShardWriter) takeBatch() {
	n := len(w.queued)
	if w.MaxBatch > 0 {
		n = min(n, w.MaxBatch)
	}
	w.batch, w.queued = w.queued[:n:n], w.queued[n:]
}

// expireOps removes operations past their deadline and returns their results; a write in flight may
// still take effect.
func (w *ShardWriter) expireOps(now time.Time) []OpResult {
	var out []OpResult
	for _, list := range []*[]pendingOp{&w.batch, &w.queued} {
		var kept []pendingOp
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

// LastKnownResult evaluates an operation against the shard as last read, for use while the service
// does not respond.
//
// That shard may be out of date, but a claim in it that is not released shows that the key was
// used.
func (w *ShardWriter) LastKnownResult(o Op) Settled {
	if w.shard != nil && o.Kind == OpClaim {
		if s, changed := w.shard.Clone().Apply(o); !changed && (s.Verdict == Taken || s.Verdict == Reused) {
			return s
		}
	}
	return Settled{Verdict: Unwritten}
}

// applyBatch applies the batch to a copy of the shard.
func (w *ShardWriter) applyBatch(now time.Time) (changed bool) {
	w.updated = w.shard.Clone()
	w.updated.Expire(now, w.Retention)
	for i := range w.batch {
		s, c := w.updated.Apply(w.batch[i].Op)
		w.batch[i].result = s
		changed = changed || c
	}
	return changed
}

// finishBatch returns the results computed by applyBatch and clears the batch.
func (w *ShardWriter) finishBatch() []OpResult {
	out := make([]OpResult, 0, len(w.batch))
	for _, o := range w.batch {
		out = append(out, OpResult{o.id, o.result})
	}
	w.batch, w.pendingWrite, w.justRead = nil, nil, false
	return out
}

// WriteConfirmed records that the write took effect with the given version and returns the results
// of its batch.
func (w *ShardWriter) WriteConfirmed(version int64) []OpResult {
	w.shard, w.version = w.updated, version
	return w.finishBatch()
}

// SetCurrentValue stores the current value, from a read or from a write that found another version.
func (w *ShardWriter) SetCurrentValue(version int64, data []byte) error {
	s, err := DecodeShard(data)
	w.pendingWrite = nil
	if err != nil {
		w.shard = nil
		return err
	}
	w.shard, w.version, w.justRead = s, version, true
	return nil
}

// discardWrite drops a write whose operations have all expired; the next read shows whether it took
// effect.
func (w *ShardWriter) discardWrite() {
	w.shard, w.pendingWrite, w.justRead = nil, nil, false
}
