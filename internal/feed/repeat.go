package feed

import (
	"strings"
	"time"

	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// minRepeatInterval is the time until a change is first repeated; it doubles up to maxRepeatInterval, within which an
	// instance that receives heartbeats again has to get the change.
	minRepeatInterval = 400 * time.Millisecond
	maxRepeatInterval = 3 * time.Second
	// repeatFor is how long a change is repeated.
	repeatFor = 30 * time.Second
	// maxRepeatedSize bounds one repeated change; larger ones do not fit into a datagram with others.
	maxRepeatedSize = 1 << 10
	// maxRepeated bounds the changes that are kept to be repeated.
	maxRepeated = 16
)

// repeater keeps recent changes of some keys, which a reader repeats in its heartbeats.
type repeater struct {
	era     int64
	changes []repeatedChange
}

type repeatedChange struct {
	item     changeItem
	sentAt   time.Time
	nextAt   time.Time
	interval time.Duration
}

// add adds the changes of keys with a prefix. A removal ends the repetition of its key, since a receiver could not tell whether
// the key was written again later.
func (p *repeater) add(now time.Time, prefix string, items []changeItem) {
	for _, it := range items {
		if prefix == "" || !strings.HasPrefix(it.Key, prefix) {
			continue
		}
		if it.Era != p.era {
			*p = repeater{era: it.Era}
		}
		if it.Removed {
			p.forget(it.Key)
			continue
		}
		if it.size() > maxRepeatedSize {
			continue
		}
		p.changes = append(p.changes, repeatedChange{item: it, sentAt: now, nextAt: now.Add(minRepeatInterval), interval: minRepeatInterval})
		p.changes = p.changes[max(len(p.changes)-maxRepeated, 0):]
	}
}

func (p *repeater) forget(key string) {
	kept := p.changes[:0]
	for _, c := range p.changes {
		if c.item.Key != key {
			kept = append(kept, c)
		}
	}
	p.changes = kept
}

// due returns all changes, since each one is a difference to the one before it, if one of them is to be repeated now.
func (p *repeater) due(now time.Time, era int64) []changeItem {
	for len(p.changes) > 0 && now.Sub(p.changes[0].sentAt) > repeatFor {
		p.changes = p.changes[1:]
	}
	if era != p.era {
		return nil
	}
	isDue := false
	items := make([]changeItem, 0, len(p.changes))
	for i := range p.changes {
		c := &p.changes[i]
		items = append(items, c.item)
		if !now.Before(c.nextAt) {
			isDue = true
			c.interval = min(2*c.interval, maxRepeatInterval)
			c.nextAt = now.Add(c.interval)
		}
	}
	if !isDue {
		return nil
	}
	return items
}

// applyRepeated applies the repeated changes that the copy lacks. They do not change its version, so that it still gets what
// else it lacks. It runs beside Run, which may be waiting for a call.
func (r *Replicator) applyRepeated(now time.Time, message *ChangeMessage) {
	if len(message.Repeated) == 0 || !r.applyMu.TryLock() {
		return
	}
	defer r.applyMu.Unlock()
	version := r.Version()
	if version.Revision == 0 || message.Era != version.Era {
		return
	}
	update := Update{Revision: version.Revision, Era: version.Era, Source: message.Reader}
	for i := range message.Repeated {
		change := &message.Repeated[i]
		if change.Removed || change.Era != version.Era || change.Revision <= version.Revision || !r.isReplicated(change.Key) || r.hasChange(change, nil) {
			continue
		}
		ev, ok := r.decodeChange(change, nil)
		if !ok {
			continue
		}
		r.mu.Lock()
		r.items[ev.Key] = ev.Item
		r.mu.Unlock()
		update.Changed = append(update.Changed, ev.Item)
	}
	if len(update.Changed) == 0 {
		return
	}
	r.Log.Write(now, timeline.Event{
		Kind: "changes_repeated", Member: message.Reader, Revision: version.Revision,
		Inputs: []timeline.Input{{Name: "changes", Value: int64(len(update.Changed))}, {Name: "announced_revision", Value: message.ToRevision}},
	})
	r.Apply(now, update)
}
