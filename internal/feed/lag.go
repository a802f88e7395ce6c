package feed

import (
	"time"

	"bambooferry.example/bambooferry/pkg/timeline"
)

// lagReason is the reason for which a message shows that the copy is behind.
type lagReason string

const (
	lagNone lagReason = ""
	// lagAnnounced is a message with the version only, because the changes do not fit into a datagram.
	lagAnnounced lagReason = "announced_only"
	// lagMissed is a message that continues from a later version than that of the copy.
	lagMissed lagReason = "messages_missed"
	// lagUndecodable is a delta to a value that the copy does not have, or one that can't be decoded.
	lagUndecodable lagReason = "undecodable"
	// lagRestored is a message of a later era of the store.
	lagRestored lagReason = "store_restored"
	// lagFullRead is any message while the copy has to be read again.
	lagFullRead lagReason = "full_read_pending"
)

// lag tracks since when the copy is known to be behind another instance's.
type lag struct {
	since  time.Time
	reason lagReason
	calls  int
	// reader is the instance that has announced changes last.
	reader string
}

// recordLag updates the lag after a message from another instance.
func (r *Replicator) recordLag(now time.Time, message *receivedMessage, reason lagReason) {
	if reason == lagNone {
		r.endLag(now, message.Reader)
		return
	}
	r.lag.reader = message.Reader
	if !r.lag.since.IsZero() {
		return
	}
	r.lag.since, r.lag.reason, r.lag.calls = now, reason, 0
	r.Log.Write(now, timeline.Event{
		Kind: "copy_behind", Member: message.Reader, Why: string(reason), Revision: r.Revision(),
		Inputs: []timeline.Input{{Name: "announced_revision", Value: message.ToRevision}, {Name: "dropped_messages", Value: int64(r.droppedMessages.Load())}},
	})
}

// endLag ends the lag if the copy has reached the announced version.
func (r *Replicator) endLag(now time.Time, source string) {
	if r.lag.since.IsZero() || r.isBehind() || r.isBehindEra() {
		return
	}
	r.Log.Write(now, timeline.Event{
		Kind: "copy_caught_up", Member: source, Why: string(r.lag.reason), Revision: r.Revision(),
		Inputs: []timeline.Input{{Name: "behind_ms", Value: now.Sub(r.lag.since).Milliseconds()}, {Name: "store_calls", Value: int64(r.lag.calls)}},
	})
	r.lag = lag{reader: r.lag.reader}
}

// recordCall counts a call to the store, and logs the first one of consecutive failures and their end.
func (r *Replicator) recordCall(now time.Time, kind string, startedAt time.Time, err error) {
	r.lag.calls++
	if err == nil {
		if r.failedCalls > 1 {
			r.Log.Write(now, timeline.Event{Kind: "store_calls_answered", Entry: kind, Revision: r.Revision(), Inputs: []timeline.Input{{Name: "failed", Value: int64(r.failedCalls)}}})
		}
		r.failedCalls = 0
		return
	}
	if r.failedCalls++; r.failedCalls == 1 {
		r.Log.Write(now, timeline.Event{Kind: "store_call_failed", Entry: kind, Why: errorReason(err), Revision: r.Revision(), Inputs: []timeline.Input{{Name: "took_ms", Value: now.Sub(startedAt).Milliseconds()}}})
	}
}

// sendStats counts what a change became.
type sendStats struct {
	changes int
	// messages and bytes count what was broadcast; announced is set if the others have to fetch the changes.
	messages  int
	bytes     int
	announced bool
}

// logSend logs changes that needed more than one message.
func (r *Replicator) logSend(now time.Time, revision int64, stats *sendStats) {
	if stats.messages <= 1 && !stats.announced {
		return
	}
	r.Log.Write(now, timeline.Event{
		Kind: "changes_sent", Revision: revision, Decision: map[bool]string{true: "announced", false: "sent"}[stats.announced],
		Inputs: []timeline.Input{{Name: "changes", Value: int64(stats.changes)}, {Name: "messages", Value: int64(stats.messages)}, {Name: "bytes", Value: int64(stats.bytes)}},
	})
}
