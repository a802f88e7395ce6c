package feed

import (
	"context"
	"encoding/json"
	"time"

	"bambooferry.example/bambooferry/internal/difference"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// sourceWait is how long another instance may hold a call until it has the changes itself; then it answers that it is waiting.
	sourceWait = 300 * time.Millisecond
	// silentSource is the time after which a further source is asked if none has responded, and waitingSource that after which one
	// is asked although the others wait for the changes themselves.
	silentSource  = 400 * time.Millisecond
	waitingSource = 800 * time.Millisecond
	// silentSources is the time without a response after which the store is asked: an engine that leaves has to be known
	// within 2 s.
	silentSources = time.Second
	// catchUpTimeout bounds one round of calls to sources; a change of the configuration has to be in force within 4 s.
	catchUpTimeout = 3 * time.Second
	// maxReplySize bounds a decoded reply with changes or a complete copy.
	maxReplySize = 8 << 20
	// currentFor is how long a copy counts as current without a response of the store to this instance or to a reader;
	// heartbeats that the store confirms come at least every WatchWait and heartbeatInterval.
	currentFor = 3 * time.Second
	// currentPollInterval is the pause between two looks at a copy that is not confirmed.
	currentPollInterval = 20 * time.Millisecond
)

// ChangesRequest asks for the changes after a version. The instance that is asked holds the call for a while until it has
// those up to another version.
type ChangesRequest struct {
	AfterRevision int64
	AfterEra      int64
	UntilRevision int64
	UntilEra      int64
	// Complete asks for the complete copy.
	Complete bool
}

func (c *ChangesRequest) after() Version { return Version{Era: c.AfterEra, Revision: c.AfterRevision} }

func (c *ChangesRequest) until() Version { return Version{Era: c.UntilEra, Revision: c.UntilRevision} }

// ChangesReply holds an encoded ChangeMessage, or is empty if the instance does not know the changes, although it may have their
// result: its history begins after them, or its copy came as a whole.
type ChangesReply struct {
	Data []byte
	// Waiting is set if the instance lacks the changes as well, and expects to get them.
	Waiting bool
}

// Fetched is the result of a request to other instances.
type Fetched struct {
	// Data is an encoded ChangeMessage, and From the instance that sent it; Data is empty if none did.
	Data []byte
	From string
	// Unknown counts the instances that replied that they do not know the changes, and Waiting those that wait for them as well.
	Unknown int
	Waiting int
}

// Changes returns the changes of the copy after a version.
func (s *SnapshotService) Changes(in *ChangesRequest, out *ChangesReply) error {
	*out = s.Replicator.changesFor(in)
	return nil
}

// isBehind reports whether another instance has announced a later version than that of the copy.
func (r *Replicator) isBehind() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.announced.After(r.version)
}

// recordAnnouncement records the version of a message from another instance.
func (r *Replicator) recordAnnouncement(now time.Time, version Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version.After(r.announced) {
		r.announced, r.announcedAt = version, now
	}
}

// dropAnnouncement discards an announced version that the store did not have when a later call began.
func (r *Replicator) dropAnnouncement(callBeganAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.announced.After(r.version) && callBeganAt.After(r.announcedAt) {
		r.announced = r.version
	}
}

// AwaitCurrent reports whether what Apply has received is the latest known state of the store. It waits while another
// instance is known to have a later one, and returns false if ctx ends before or the store has not confirmed the copy
// recently.
func (r *Replicator) AwaitCurrent(ctx context.Context) bool {
	for {
		current, confirmed := r.currency(time.Now())
		if current || !confirmed {
			return current
		}
		sleep(ctx, currentPollInterval)
		if ctx.Err() != nil {
			return false
		}
	}
}

func (r *Replicator) currency(now time.Time) (current, confirmed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	confirmed = now.Sub(r.confirmedAt) < currentFor
	return confirmed && !r.announced.After(r.applied) && !r.version.After(r.applied) && r.observedEra <= r.applied.Era, confirmed
}

// apply passes an update on.
func (r *Replicator) apply(now time.Time, update Update) {
	r.Apply(now, update)
	r.markApplied()
}

// markApplied records that Apply has received all of the copy.
func (r *Replicator) markApplied() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied = r.version
}

// catchUp gets what the copy lacks from other instances: the changes or, if these are not known any more or the store was
// restored, the complete copy. The store would have to send it to each of them.
func (r *Replicator) catchUp(ctx context.Context) {
	if r.Peers == nil || r.Revision() == 0 {
		return
	}
	for _, complete := range [...]bool{false, true} {
		request := r.nextRequest()
		request.Complete = complete
		if !complete && request.UntilEra != request.AfterEra {
			continue
		}
		startedAt := time.Now()
		fetched := r.Peers.FetchChanges(ctx, request, r.lag.reader)
		now := time.Now()
		if r.applyReply(now, &fetched) || ctx.Err() != nil {
			return
		}
		took := now.Sub(startedAt)
		r.Log.Write(now, timeline.Event{
			Kind: "changes_not_fetched", Member: fetched.From, Revision: request.AfterRevision, Decision: map[bool]string{true: "complete_copy", false: "changes"}[complete],
			Inputs: []timeline.Input{
				{Name: "announced_revision", Value: request.UntilRevision},
				{Name: "took_ms", Value: took.Milliseconds()},
				{Name: "unknown", Value: int64(fetched.Unknown)},
				{Name: "waiting", Value: int64(fetched.Waiting)},
			},
		})
		if took >= silentSources && fetched.Unknown == 0 {
			return
		}
	}
}

// fetchLater gets the changes after the copy, or a complete later copy, from an instance that has them now. It reports
// whether one had.
func (r *Replicator) fetchLater(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, laterTimeout)
	defer cancel()
	for _, complete := range [...]bool{false, true} {
		version := r.Version()
		if version.Revision == 0 && !complete {
			continue
		}
		fetched := r.Peers.FetchChanges(ctx, ChangesRequest{AfterRevision: version.Revision, AfterEra: version.Era, Complete: complete}, "")
		if r.applyReply(time.Now(), &fetched) {
			return true
		}
	}
	return false
}

// nextRequest returns the request for what the copy is known to lack.
func (r *Replicator) nextRequest() ChangesRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := r.announced
	if r.observedEra > until.Era {
		until = Version{Era: r.observedEra}
	}
	return ChangesRequest{AfterRevision: r.version.Revision, AfterEra: r.version.Era, UntilRevision: until.Revision, UntilEra: until.Era}
}

// applyReply applies the changes or the copy that another instance has sent, and reports whether it could.
func (r *Replicator) applyReply(now time.Time, fetched *Fetched) bool {
	if len(fetched.Data) == 0 {
		return false
	}
	from := fetched.From
	decoded, err := difference.Decode(nil, fetched.Data, maxReplySize)
	if err != nil {
		return false
	}
	message := ChangeMessage{}
	if json.Unmarshal(decoded, &message) != nil || !message.to().After(r.Version()) {
		return false
	}
	if message.Complete {
		snapshot := Snapshot{Version: message.to()}
		for i := range message.Changed {
			ev, ok := r.decodeChange(&message.Changed[i], nil)
			if !ok {
				return false
			}
			snapshot.Items = append(snapshot.Items, ev.Item)
		}
		r.applySnapshot(now, snapshot, from)
		return true
	}
	update := Update{Revision: message.ToRevision, Era: message.Era, Source: from, OutageEndedAt: r.recentOutageEnd(now)}
	version := r.Version()
	if r.needsFullRead || message.Era != version.Era || message.FromEra != version.Era || message.FromRevision > version.Revision {
		return false
	}
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	if !r.applyChanged(&message, &update) {
		return false
	}
	r.apply(now, update)
	r.endLag(now, from)
	return true
}

// applyChanged applies the changes of a message that continues from the copy's version or an earlier one, and
// reports whether it could decode them.
func (r *Replicator) applyChanged(message *ChangeMessage, update *Update) bool {
	changes := Changes{Revision: message.ToRevision, Era: message.Era}
	earlier := map[string]Item{}
	for i := range message.Changed {
		if r.hasChange(&message.Changed[i], earlier) {
			continue
		}
		ev, ok := r.decodeChange(&message.Changed[i], earlier)
		if !ok {
			return false
		}
		earlier[ev.Key] = ev.Item
		changes.Events = append(changes.Events, ev)
	}
	r.applyChanges(update, changes)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.add(message.from(), message.to(), message.Changed)
	return true
}

// hasChange reports whether the copy, or the changes decoded before, hold a key as it is after a change or later.
func (r *Replicator) hasChange(change *changeItem, earlier map[string]Item) bool {
	it, ok := earlier[change.Key]
	if !ok {
		r.mu.Lock()
		it, ok = r.items[change.Key]
		r.mu.Unlock()
	}
	return ok && it.Era == change.Era && it.Revision >= change.Revision
}

// changesFor returns an encoded message for another instance once the copy has reached the version that it asks for.
func (r *Replicator) changesFor(request *ChangesRequest) ChangesReply {
	t := time.NewTimer(sourceWait)
	defer t.Stop()
	for {
		r.mu.Lock()
		version, changed := r.version, r.versionChanged
		r.mu.Unlock()
		if !request.until().After(version) {
			return ChangesReply{Data: r.encodedChanges(request)}
		}
		select {
		case <-changed:
		case <-t.C:
			return ChangesReply{Waiting: true}
		case <-r.done:
			return ChangesReply{}
		}
	}
}

// encodedChanges returns an encoded message with the changes after a version, or nil if there are none or they are not known.
func (r *Replicator) encodedChanges(request *ChangesRequest) []byte {
	r.encodeMu.Lock()
	defer r.encodeMu.Unlock()
	r.mu.Lock()
	version := r.version
	cached := r.encoded
	r.mu.Unlock()
	if !version.After(request.after()) {
		return nil
	}
	if cached.version == version && cached.complete == request.Complete && (request.Complete || cached.after == request.after()) {
		return cached.data
	}
	message, ok := r.messageFor(request)
	if !ok {
		return nil
	}
	data, ok := encodeMessage(&message)
	if !ok {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.encoded = encodedReply{version: message.to(), after: request.after(), complete: request.Complete, data: data}
	return data
}

// encodedReply is the last reply to another instance. Several ask for the same changes.
type encodedReply struct {
	version  Version
	after    Version
	complete bool
	data     []byte
}

// messageFor returns the changes after a version, or the complete copy; ok is false if the changes are not known.
func (r *Replicator) messageFor(request *ChangesRequest) (ChangeMessage, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	message := ChangeMessage{
		FromRevision: request.AfterRevision, FromEra: request.AfterEra, ToRevision: r.version.Revision, Era: r.version.Era,
		Reader: r.InstanceName, Complete: request.Complete,
	}
	if request.Complete {
		for _, it := range r.items {
			message.Changed = append(message.Changed, encodeChange(&Event{Item: it}, Item{}))
		}
		return message, true
	}
	items, ok := r.history.after(request.after())
	message.Changed = items
	return message, ok
}
