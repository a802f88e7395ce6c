package feed

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"bambooferry.example/bambooferry/pkg/timeline"
)

// restoreReadSpread is the time over which the instances that rely on readers read a restored store
// themselves, unless a reader's message makes that needless.
const restoreReadSpread = 300 * time.Millisecond

// ObserveEra records the era that a response or a message states.
func (r *Replicator) ObserveEra(era int64) {
	r.Init()
	r.mu.Lock()
	raised := era > r.observedEra
	r.observedEra = max(r.observedEra, era)
	r.mu.Unlock()
	if raised {
		select {
		case r.eraRaised <- struct{}{}:
		default:
		}
	}
}

// confirmEra records the era in which the store has returned its whole content. A later one that was stated
// before was wrong, or belongs to answers that are still to come.
func (r *Replicator) confirmEra(era int64) {
	r.ObserveEra(era)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observedEra = era
}

// EraRaised returns the channel that signals that ObservedEra has risen; it has one receiver.
func (r *Replicator) EraRaised() <-chan struct{} {
	r.Init()
	return r.eraRaised
}

// ObservedEra returns the latest era that a response or a message has stated.
func (r *Replicator) ObservedEra() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.observedEra
}

// isBehindEra reports whether the store was restored since the copy was made.
func (r *Replicator) isBehindEra() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version.Revision != 0 && r.observedEra > r.version.Era
}

// awaitRestoredCopy waits for a reader's message with the restored content, or fetches it from another instance, so
// that not all instances read the store at once.
func (r *Replicator) awaitRestoredCopy(ctx context.Context) {
	if r.isReader() {
		return
	}
	t := time.NewTimer(rand.N(restoreReadSpread))
	defer t.Stop()
	for r.isBehindEra() {
		select {
		case message := <-r.messages:
			r.applyMessage(message)
			continue
		case <-t.C:
			if r.reliesOnReaders(time.Now()) {
				r.catchUp(ctx)
			}
		case <-ctx.Done():
		}
		return
	}
}

// recordRestore records that the store was restored from a copy, if the era has risen, and reports
// whether it has. What was written since the copy was made is missing until it is written again, as
// after an outage.
func (r *Replicator) recordRestore(now time.Time, from, to Version) bool {
	if from.Revision == 0 || to.Era <= from.Era {
		return false
	}
	r.mu.Lock()
	r.outageBeganAt, r.outageEndedAt = r.lastResponseAt, now
	r.mu.Unlock()
	r.Log.Write(now, timeline.Event{
		Kind: "store_restored", Revision: to.Revision,
		Inputs: []timeline.Input{{Name: "era", Value: to.Era}, {Name: "former_era", Value: from.Era}, {Name: "former_revision", Value: from.Revision}},
	})
	return true
}

// broadcastRestore sends the difference that a restore has made to the other instances.
func (r *Replicator) broadcastRestore(now time.Time, from, to Version, former map[string]Item) {
	if r.Broadcast == nil || !r.isReader() || from.Revision == 0 || to.Era <= from.Era {
		return
	}
	r.mu.Lock()
	var events []Event
	for key, it := range r.items {
		if old, ok := former[key]; !ok || old.Revision != it.Revision || !bytes.Equal(old.Value, it.Value) {
			events = append(events, Event{Item: it})
		}
	}
	for key := range former {
		if _, ok := r.items[key]; !ok {
			events = append(events, Event{Item: Item{Key: key, Revision: to.Revision, Era: to.Era}, Removed: true})
		}
	}
	r.mu.Unlock()
	message := r.newHeartbeat(now)
	message.FromEra, message.FromRevision, message.Era, message.ToRevision, message.Restored = from.Era, from.Revision, to.Era, to.Revision, true
	for i := range events {
		message.Changed = append(message.Changed, encodeChange(&events[i], former[events[i].Key]))
	}
	if data, ok := encodeMessage(&message); ok && r.Broadcast(data) {
		return
	}
	// The others fetch the copy from each other when a heartbeat shows them the new era.
	r.announce(r.newHeartbeat(now))
}

// applyRestore applies the difference that a restore has made, if it refers to the present copy, and
// reports whether it did.
func (r *Replicator) applyRestore(message *receivedMessage, update *Update) bool {
	from := r.Version()
	if !message.Restored || message.from() != from || r.needsFullRead {
		return false
	}
	var events []Event
	for i := range message.Changed {
		ev, ok := r.decodeChange(&message.Changed[i], nil)
		if !ok {
			return false
		}
		events = append(events, ev)
	}
	update.Restored = r.recordRestore(message.receivedAt, from, message.to())
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, it := range r.items {
		it.Era = message.Era
		r.items[key] = it
	}
	for i := range events {
		ev := &events[i]
		if ev.Removed {
			delete(r.items, ev.Key)
			update.Removed = append(update.Removed, ev.Key)
			continue
		}
		r.items[ev.Key] = ev.Item
		update.Changed = append(update.Changed, ev.Item)
	}
	r.advance(message.to())
	r.history.reset()
	return true
}
