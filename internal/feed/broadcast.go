package feed

import (
	"context"
	"encoding/json"
	"time"

	"bambooferry.example/bambooferry/internal/difference"
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
	Restored bool `json:"restored,omitempty"`
	// Complete is set if Changed is the whole copy; such a message is sent as a reply only.
	Complete bool         `json:"complete,omitempty"`
	Changed  []changeItem `json:"changed,omitempty"`
	// Repeated holds recent changes, oldest first, that may be applied whatever else the copy lacks.
	Repeated []changeItem `json:"repeated,omitempty"`
	// Clock identifies the sender's clock, which starts with its process, and SentMillis is its reading. Clock is 0 in messages
	// of builds that do not state them.
	Clock      uint64 `json:"clock,omitempty"`
	SentMillis int64  `json:"sent_ms,omitempty"`
	// ResponseAgeMillis is the age of the store's last response.
	ResponseAgeMillis int64 `json:"answered_ms"`
	// ConfirmedMillis is the age of what the store has last confirmed. Builds that do not state it take it for that of the response.
	ConfirmedMillis *int64 `json:"confirmed_ms,omitempty"`
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
	// Patch is sent instead of Delta for a long value. Instances that do not know it fail to decode the empty
	// Delta, and read the store.
	Patch []byte `json:"patch,omitempty"`
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
	r.mu.Lock()
	delay := r.delays.delay(now, message.Clock, time.Duration(message.SentMillis)*time.Millisecond)
	r.mu.Unlock()
	r.applyRepeated(now, &message)
	select {
	case r.messages <- receivedMessage{ChangeMessage: message, receivedAt: now, sentAt: now.Add(-delay)}:
	default:
		// The queue is full; the next message shows that changes were missed.
		r.droppedMessages.Add(1)
	}
}

type receivedMessage struct {
	ChangeMessage
	receivedAt time.Time
	// sentAt is when the message was sent, by the clock of this instance.
	sentAt time.Time
}

// confirmedAt returns the time as of which the store has confirmed the sender's copy.
func (m *receivedMessage) confirmedAt(respondedAt time.Time) time.Time {
	if m.ConfirmedMillis == nil {
		return respondedAt
	}
	return before(m.sentAt, *m.ConfirmedMillis)
}

// before returns the time that is some milliseconds before t. An age out of range, from a faulty sender, counts as none or as an hour, so that
// nothing is confirmed in the future.
func before(t time.Time, millis int64) time.Time {
	return t.Add(-time.Duration(min(max(millis, 0), time.Hour.Milliseconds())) * time.Millisecond)
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
	expiry := minTime(message.sentAt.Add(heartbeatTTL), respondedAt.Add(maxResponseAge))
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

// drainMessages applies the queued messages.
func (r *Replicator) drainMessages() {
	for {
		select {
		case message := <-r.messages:
			r.applyMessage(message)
		default:
			return
		}
	}
}

// waitForMessage waits for a message while this instance relies on readers, and applies it.
func (r *Replicator) waitForMessage(ctx context.Context) {
	t := time.NewTimer(time.Until(r.readersValidUntil()))
	defer t.Stop()
	select {
	case message := <-r.messages:
		r.applyMessage(message)
	case <-t.C:
	case <-ctx.Done():
	}
}

// applyMessage applies one message from another instance.
func (r *Replicator) applyMessage(message receivedMessage) {
	r.recordDelay(&message)
	r.recordLag(message.receivedAt, &message, r.applyChangeMessage(&message))
}

// applyChangeMessage applies one message and returns why the copy lacks changes that it announces, if it does.
func (r *Replicator) applyChangeMessage(message *receivedMessage) lagReason {
	version := r.Version()
	if message.Era < version.Era {
		// The reader has not noticed the restore of the store yet.
		return lagNone
	}
	respondedAt := before(message.sentAt, message.ResponseAgeMillis)
	r.recordReader(message, respondedAt)
	r.ObserveEra(message.Era)
	r.applyOutage(message)
	if message.FromEra == message.Era {
		r.recordAnnouncement(message.receivedAt, message.to())
	}
	if respondedAt.After(r.lastContactAt) {
		r.recordResponse(respondedAt, message.confirmedAt(respondedAt))
	}
	update := Update{Revision: message.ToRevision, Era: message.Era, Source: message.Reader}
	if message.Era > version.Era {
		r.applyMu.Lock()
		defer r.applyMu.Unlock()
		if version.Revision != 0 && r.applyRestore(message, &update) {
			update.OutageEndedAt = r.recentOutageEnd(message.receivedAt)
			r.apply(time.Now(), update)
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
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	if !r.applyChanged(&message.ChangeMessage, &update) {
		return lagUndecodable
	}
	r.apply(time.Now(), update)
	return lagNone
}

// applyOutage records that the store recovered for a reader, unless the store responded to this
// instance in the meantime: then only the reader was cut off, and no entries expired.
func (r *Replicator) applyOutage(message *receivedMessage) {
	beganAt := message.sentAt.Add(-time.Duration(message.OutageBeganMillis) * time.Millisecond)
	if message.OutageEndedMillis == 0 || r.lastContactAt.After(beganAt) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if endedAt := message.sentAt.Add(-time.Duration(message.OutageEndedMillis) * time.Millisecond); endedAt.After(r.outageEndedAt) {
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
	if change.Patch != nil {
		ev.Value, err = difference.DecodePatch(old.Value, change.Patch, maxValueSize)
	} else {
		ev.Value, err = difference.Decode(old.Value, change.Delta, maxValueSize)
	}
	return ev, err == nil
}

const (
	// deltaThreshold is the size from which a value is sent as a delta.
	deltaThreshold = 600
	// maxMessageSize bounds a decoded message, and maxValueSize a value of the store.
	maxMessageSize = 256 << 10
	maxValueSize   = 1 << 20
	// maxMessagesPerChange bounds the messages that a reader sends to each other instance for one change.
	maxMessagesPerChange = 2
)

// outageReportWindow is how long the end of an outage is reported.
const outageReportWindow = 5 * time.Second

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
