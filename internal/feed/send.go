package feed

import (
	"context"
	"encoding/json"
	"time"
	"unicode/utf8"

	"bambooferry.example/bambooferry/internal/difference"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// encodeChange encodes a change for a message; a large value becomes a delta to the item that it
// replaces.
func encodeChange(ev *Event, old Item) changeItem {
	change := changeItem{Key: ev.Key, Revision: ev.Revision, Era: ev.Era, Removed: ev.Removed}
	if utf8.Valid(ev.Value) {
		change.Text = string(ev.Value)
	} else {
		change.Value = ev.Value
	}
	if len(ev.Value) < deltaThreshold || old.Revision == 0 {
		return change
	}
	encode, encoded := difference.Encode, &change.Delta
	if difference.PatchPreferred(old.Value) {
		encode, encoded = difference.EncodePatch, &change.Patch
	}
	data, err := encode(old.Value, ev.Value)
	if err != nil || len(data) >= len(ev.Value) {
		return change
	}
	change.Text, change.Value, change.BaseRevision, change.BaseEra, *encoded = "", nil, old.Revision, old.Era, data
	return change
}

// applyAndBroadcast applies the changes of a watch to the copy, keeps them for other instances and sends them.
func (r *Replicator) applyAndBroadcast(now time.Time, from Version, update *Update, changes Changes) {
	r.announceMu.Lock()
	defer r.announceMu.Unlock()
	replaced := r.applyChanges(update, changes)
	if !changes.version().After(from) {
		// The next heartbeat may come later than the others rely on the last response.
		if r.Broadcast != nil && r.isReader() && from.Revision > 0 {
			r.announce(r.newHeartbeat(now))
		}
		return
	}
	if r.Broadcast == nil || !r.isReader() {
		// What others might fetch is encoded by readers only.
		r.mu.Lock()
		defer r.mu.Unlock()
		r.history.reset()
		return
	}
	encoded := make([]changeItem, 0, len(changes.Events))
	for i := range changes.Events {
		ev := &changes.Events[i]
		encoded = append(encoded, encodeChange(ev, replaced[ev.Key]))
		replaced[ev.Key] = ev.Item
	}
	r.mu.Lock()
	r.history.add(from, changes.version(), encoded)
	r.repeater.add(now, r.RepeatedPrefix, encoded)
	r.mu.Unlock()
	message := r.newHeartbeat(now)
	message.FromRevision, message.FromEra, message.ToRevision, message.Era = from.Revision, from.Era, changes.Revision, changes.Era
	r.broadcastChanges(now, message, encoded)
}

// broadcastChanges sends changes to the other instances, or only their version if they need too many messages: then
// the others fetch them from each other.
func (r *Replicator) broadcastChanges(now time.Time, message ChangeMessage, items []changeItem) {
	stats := sendStats{changes: len(items)}
	messages := r.splitMessage(message, items)
	if len(messages) > maxMessagesPerChange {
		messages = nil
	}
	for _, data := range messages {
		if !r.Broadcast(data) {
			messages = nil
			break
		}
		stats.messages++
		stats.bytes += len(data)
	}
	if len(messages) == 0 {
		stats.announced = true
		r.announce(message)
	}
	r.logSend(now, message.ToRevision, &stats)
}

// announce sends a message without its changes.
func (r *Replicator) announce(message ChangeMessage) {
	message.Changed = nil
	if data, ok := encodeMessage(&message); ok {
		r.Broadcast(data)
	}
}

// splitMessage encodes changes as one message, or as several if it is too long for one. The result is empty if the
// changes of one revision are too long.
func (r *Replicator) splitMessage(message ChangeMessage, items []changeItem) [][]byte {
	message.Changed = items
	data, ok := encodeMessage(&message)
	if !ok {
		return nil
	}
	if r.MaxBroadcast == 0 || len(data) <= r.MaxBroadcast {
		return [][]byte{data}
	}
	half := splitByRevision(items)
	if half == 0 {
		return nil
	}
	first, second := message, message
	first.ToRevision = items[half-1].Revision
	second.FromRevision = first.ToRevision
	before := r.splitMessage(first, items[:half])
	if len(before) == 0 {
		return nil
	}
	after := r.splitMessage(second, items[half:])
	if len(after) == 0 {
		return nil
	}
	return append(before, after...)
}

// splitByRevision returns how many of the items go into the first of two messages, or 0 if all items are of one
// revision: a copy that has applied the first message is at its revision, and would skip further changes of it.
func splitByRevision(items []changeItem) int {
	for distance := range len(items) {
		for _, at := range [...]int{len(items)/2 - distance, len(items)/2 + distance} {
			if at > 0 && at < len(items) && items[at].Revision != items[at-1].Revision {
				return at
			}
		}
	}
	return 0
}

// encodeMessage encodes and compresses a message.
func encodeMessage(message *ChangeMessage) ([]byte, bool) {
	encoded, err := json.Marshal(message)
	if err != nil {
		return nil, false
	}
	data, err := difference.Encode(nil, encoded)
	return data, err == nil
}

// newHeartbeat returns a message without changes.
func (r *Replicator) newHeartbeat(now time.Time) ChangeMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	message := ChangeMessage{FromRevision: r.version.Revision, ToRevision: r.version.Revision, FromEra: r.version.Era, Era: r.version.Era, Reader: r.InstanceName, ResponseAgeMillis: now.Sub(r.lastResponseAt).Milliseconds()}
	confirmedMillis := now.Sub(r.confirmedAt).Milliseconds()
	message.ConfirmedMillis = &confirmedMillis
	message.Clock, message.SentMillis = r.clock, now.Sub(r.clockStartedAt).Milliseconds()
	message.Failing = r.failures >= failuresBeforeReport
	if sinceEnd := now.Sub(r.outageEndedAt); !r.outageEndedAt.IsZero() && sinceEnd < outageReportWindow {
		message.OutageEndedMillis = max(sinceEnd.Milliseconds(), 1)
		message.OutageBeganMillis = now.Sub(r.outageBeganAt).Milliseconds()
	}
	return message
}

// recordFailure counts a failed call and notifies the others when they should read the store
// themselves.
func (r *Replicator) recordFailure(now time.Time) {
	r.mu.Lock()
	r.failures++
	report := r.failures == failuresBeforeReport && r.version.Revision > 0
	r.mu.Unlock()
	if report && r.Broadcast != nil && r.isReader() {
		r.announce(r.newHeartbeat(now))
	}
}

// RunHeartbeats announces to the others, until ctx ends, that this instance reads the store.
func (r *Replicator) RunHeartbeats(ctx context.Context) error {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	wasReader := false
	for {
		select {
		case now := <-tick.C:
			isReader := r.Broadcast != nil && r.isReader()
			if isReader != wasReader {
				r.Log.Write(now, timeline.Event{Kind: "store_reader", Decision: map[bool]string{true: "reads_for_others", false: "relies_on_others"}[isReader]})
			}
			wasReader = isReader
			if isReader {
				r.sendHeartbeat(now)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendHeartbeat announces the version of the copy, if the store has confirmed it recently.
func (r *Replicator) sendHeartbeat(now time.Time) {
	r.announceMu.Lock()
	defer r.announceMu.Unlock()
	message := r.newHeartbeat(now)
	if message.ToRevision == 0 || message.ResponseAgeMillis >= maxResponseAge.Milliseconds() {
		return
	}
	r.mu.Lock()
	message.Repeated = r.repeater.due(now, message.Era)
	r.mu.Unlock()
	for len(message.Repeated) > 0 {
		if data, ok := encodeMessage(&message); ok && (r.MaxBroadcast == 0 || len(data) <= r.MaxBroadcast) {
			break
		}
		message.Repeated = message.Repeated[1:]
	}
	r.announce(message)
}
