package feed

import (
	"context"
	"encoding/json"
	"time"
	"unicode/utf8"

	"bambooferry.example/bambooferry/internal/difference"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// heartbeatInterval is the interval between the messages of an instance that reads the store
	// for others.
	heartbeatInterval = 400 * time.Millisecond
	// heartbeatTTL is how long such a message is valid: two lost in a row do no harm.
	heartbeatTTL = 1300 * time.Millisecond
	// maxResponseAge is the maximum age of the store's last response for which other instances rely
	// on a reader.
	maxResponseAge = WatchWait + watchMargin
	// readerCount is the number of instances that read the store for the others.
	readerCount = 2
	// messageQueueSize bounds the received messages that are not processed yet.
	messageQueueSize = 256
)

// ChangeMessage is what a reader, an instance that reads the store, sends to the others.
//
// It holds the changes after FromRevision up to ToRevision; the two are equal when nothing has
// changed since the last message.
type ChangeMessage struct {
	FromRevision int64 `json:"from"`
	ToRevision   int64 `json:"to"`
	// Era is the store's era of ToRevision, FromEra that of FromRevision.
	Era     int64 `json:"era,omitempty"`
	FromEra int64 `json:"from_era,omitempty"`
	// Restored is set if Changed is the whole difference that a restore of the store has made to the
	// copy at FromRevision.
	Restored bool         `json:"restored,omitempty"`
	Changed  []changeItem `json:"changed,omitempty"`
	// ResponseAgeMillis is the age of the store's last response.
	ResponseAgeMillis int64 `json:"answered_ms"`
	// OutageEndedMillis is the time since the store recovered from an outage, or 0 if it was not
	// recent.
	OutageEndedMillis int64 `json:"regained_ms,omitempty"`
	// OutageBeganMillis is the time since the reader's first call failed in that outage.
	OutageBeganMillis int64  `json:"lost_ms,omitempty"`
	Reader            string `json:"reader"`
	// Failing reports whether the reader's calls to the store fail.
	Failing bool `json:"failing,omitempty"`
}

type changeItem struct {
	Key string `json:"key"`
	// Text holds the value if it is valid UTF-8, and Value holds it otherwise; text compresses
	// better.
	Text     string `json:"text,omitempty"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Era      int64  `json:"era,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
	// BaseRevision is the revision of the item that Delta is relative to; Text and Value are empty
	// then.
	BaseRevision int64  `json:"base,omitempty"`
	BaseEra      int64  `json:"base_era,omitempty"`
	Delta        []byte `json:"packed,omitempty"`
}

func (m *ChangeMessage) from() Version { return Version{Era: m.FromEra, Revision: m.FromRevision} }
func (m *ChangeMessage) to() Version   { return Version{Era: m.Era, Revision: m.ToRevision} }

// HandleMessage queues a message from another instance.
func (r *Replicator) HandleMessage(now time.Time, data []byte) {
	decoded, err := difference.Decode(nil, data, maxMessageSize)
	if err != nil {
		return
	}
	message := ChangeMessage{}
	if json.Unmarshal(decoded, &message) != nil {
		return
	}
	select {
	case r.messages <- receivedMessage{ChangeMessage: message, receivedAt: now}:
	default:
		// The queue is full; the next message shows that changes were missed.
		r.droppedMessages.Add(1)
	}
}

type receivedMessage struct {
	ChangeMessage
	receivedAt time.Time
}

// isReader reports whether this instance reads the store for others.
func (r *Replicator) isReader() bool { return r.IsReader == nil || r.IsReader() }

// reliesOnReaders reports whether another instance has recently announced that it reads the store.
func (r *Replicator) reliesOnReaders(now time.Time) bool { return now.Before(r.readersValidUntil()) }

// readersValidUntil returns the time until which this instance relies on readers.
func (r *Replicator) readersValidUntil() time.Time {
	until := time.Time{}
	for _, expiry := range r.readerExpiry {
		if expiry.After(until) {
			until = expiry
		}
	}
	return until
}

// recordReader updates the expiry of the reader that sent a message.
func (r *Replicator) recordReader(message *receivedMessage, respondedAt time.Time) {
	expiry := minTime(message.receivedAt.Add(heartbeatTTL), respondedAt.Add(maxResponseAge))
	if message.Failing {
		delete(r.readerExpiry, message.Reader)
	} else if expiry.After(r.readerExpiry[message.Reader]) {
		r.readerExpiry[message.Reader] = expiry
	}
	for reader, expiry := range r.readerExpiry {
		if !message.receivedAt.Before(expiry) {
			delete(r.readerExpiry, reader)
		}
	}
}

// drainMessages applies the queued messages and reports whether the copy is behind.
func (r *Replicator) drainMessages() (behind bool) {
	for {
		select {
		case message := <-r.messages:
			behind = r.applyMessage(message) || behind && message.to().After(r.Version())
		default:
			return behind
		}
	}
}

// waitForMessage waits for a message while this instance relies on readers, and reports whether the
// copy is behind.
func (r *Replicator) waitForMessage(ctx context.Context) (behind bool) {
	t := time.NewTimer(time.Until(r.readersValidUntil()))
	defer t.Stop()
	select {
	case message := <-r.messages:
		return r.applyMessage(message)
	case <-t.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// applyMessage applies one message and reports whether the copy lacks changes that the message
// announces.
func (r *Replicator) applyMessage(message receivedMessage) (behind bool) {
	reason := r.applyChangeMessage(&message)
	r.recordLag(message.receivedAt, &message, reason)
	return reason != lagNone
}

func (r *Replicator) applyChangeMessage(message *receivedMessage) lagReason {
	version := r.Version()
	if message.Era < version.Era {
		// The reader has not noticed the restore of the store yet.
		return lagNone
	}
	respondedAt := message.receivedAt.Add(-time.Duration(message.ResponseAgeMillis) * time.Millisecond)
	r.recordReader(message, respondedAt)
	r.ObserveEra(message.Era)
	r.applyOutage(message)
	if respondedAt.After(r.lastContactAt) {
		r.recordResponse(respondedAt)
	}
	update := Update{Revision: message.ToRevision, Era: message.Era, Source: message.Reader}
	if message.Era > version.Era {
		if version.Revision != 0 && r.applyRestore(message, &update) {
			update.OutageEndedAt = r.recentOutageEnd(message.receivedAt)
			r.Apply(time.Now(), update)
			return lagNone
		}
		return lagRestored
	}
	update.OutageEndedAt = r.recentOutageEnd(message.receivedAt)
	if !message.to().After(version) || message.FromEra != message.Era {
		return lagNone
	}
	switch {
	case r.needsFullRead:
		return lagFullRead
	case message.FromRevision > version.Revision:
		return lagMissed
	case len(message.Changed) == 0:
		return lagAnnounced
	}
	changes := Changes{Revision: message.ToRevision, Era: message.Era}
	earlier := map[string]Item{}
	for i := range message.Changed {
		ev, ok := r.decodeChange(&message.Changed[i], earlier)
		if !ok {
			return lagUndecodable
		}
		earlier[ev.Key] = ev.Item
		changes.Events = append(changes.Events, ev)
	}
	r.applyChanges(&update, changes)
	r.Apply(time.Now(), update)
	return lagNone
}

// applyOutage records that the store recovered for a reader, unless the store responded to this
// instance in the meantime: then only the reader was cut off, and no entries expired.
func (r *Replicator) applyOutage(message *receivedMessage) {
	beganAt := message.receivedAt.Add(-time.Duration(message.OutageBeganMillis) * time.Millisecond)
	if message.OutageEndedMillis == 0 || r.lastContactAt.After(beganAt) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if endedAt := message.receivedAt.Add(-time.Duration(message.OutageEndedMillis) * time.Millisecond); endedAt.After(r.outageEndedAt) {
		r.outageEndedAt, r.outageBeganAt = endedAt, beganAt
	}
}

// decodeChange decodes a received change. A delta needs its base revision in the copy or earlier in
// the same message; without it, decodeChange returns false.
func (r *Replicator) decodeChange(change *changeItem, earlier map[string]Item) (Event, bool) {
	ev := Event{Item: Item{Key: change.Key, Value: change.Value, Revision: change.Revision, Era: change.Era}, Removed: change.Removed}
	if change.Text != "" {
		ev.Value = []byte(change.Text)
	}
	if change.BaseRevision == 0 {
		return ev, true
	}
	old, ok := earlier[change.Key]
	if !ok {
		r.mu.Lock()
		old = r.items[change.Key]
		r.mu.Unlock()
	}
	if old.Revision != change.BaseRevision || old.Era != change.BaseEra {
		return ev, false
	}
	var err error
	ev.Value, err = difference.Decode(old.Value, change.Delta, maxValueSize)
	return ev, err == nil
}

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
	delta, err := difference.Encode(old.Value, ev.Value)
	if err != nil || len(delta) >= len(ev.Value) {
		return change
	}
	change.Text, change.Value, change.BaseRevision, change.BaseEra, change.Delta = "", nil, old.Revision, old.Era, delta
	return change
}

// broadcastChanges sends changes to the other instances, in as many messages as they need.
func (r *Replicator) broadcastChanges(now time.Time, from Version, changes Changes, replaced map[string]Item) {
	if r.Broadcast == nil || !r.isReader() || !changes.version().After(from) {
		return
	}
	encoded := make([]changeItem, 0, len(changes.Events))
	for i := range changes.Events {
		ev := &changes.Events[i]
		encoded = append(encoded, encodeChange(ev, replaced[ev.Key]))
		replaced[ev.Key] = ev.Item
	}
	message := r.newHeartbeat(now)
	message.FromRevision, message.FromEra, message.ToRevision, message.Era = from.Revision, from.Era, changes.Revision, changes.Era
	stats := sendStats{}
	r.sendMessage(message, encoded, &stats)
	r.logSend(now, changes.Revision, len(encoded), &stats)
}

// sendMessage sends changes in one message, or splits them in half until each message fits. Of the
// changes of one revision that do not fit only the revision is sent, which shows the others that they
// lack them.
func (r *Replicator) sendMessage(message ChangeMessage, items []changeItem, stats *sendStats) {
	message.Changed = items
	data, ok := encodeMessage(&message)
	if !ok || r.Broadcast(data) {
		stats.messages++
		stats.bytes += len(data)
		return
	}
	half := splitByRevision(items)
	if half == 0 {
		stats.announced++
		r.sendMessage(message, nil, stats)
		return
	}
	first, second := message, message
	first.ToRevision = items[half-1].Revision
	second.FromRevision = first.ToRevision
	r.sendMessage(first, items[:half], stats)
	r.sendMessage(second, items[half:], stats)
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

const (
	// deltaThreshold is the size from which a value is sent as a delta.
	deltaThreshold = 600
	// maxMessageSize bounds a decoded message, and maxValueSize a value of the store.
	maxMessageSize = 256 << 10
	maxValueSize   = 1 << 20
)

// newHeartbeat returns a message without changes.
func (r *Replicator) newHeartbeat(now time.Time) ChangeMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	message := ChangeMessage{FromRevision: r.version.Revision, ToRevision: r.version.Revision, FromEra: r.version.Era, Era: r.version.Era, Reader: r.InstanceName, ResponseAgeMillis: now.Sub(r.lastResponseAt).Milliseconds()}
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
		r.sendMessage(r.newHeartbeat(now), nil, &sendStats{})
	}
}

// outageReportWindow is how long the end of an outage is reported.
const outageReportWindow = 5 * time.Second

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
			if message := r.newHeartbeat(now); isReader && message.ToRevision > 0 && message.ResponseAgeMillis < maxResponseAge.Milliseconds() {
				r.sendMessage(message, nil, &sendStats{})
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
