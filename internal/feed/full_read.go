package feed

import (
	"context"
	"maps"
	"time"
)

// readAll replaces the copy with the present content of the store.
//
// Pages are not read at one revision, so the watch continues from the revision of the first one.
func (r *Replicator) readAll(ctx context.Context) error {
	startedAt := time.Now()
	items := map[string]Item{}
	first := Version{}
	for _, prefix := range r.Prefixes {
		version, err := r.readPrefix(ctx, prefix, items)
		if err != nil {
			return err
		}
		if first.Revision != 0 && version.Era != first.Era {
			return &EraError{Expected: first.Era, Received: version.Era}
		}
		if first.Revision == 0 || version.Revision < first.Revision {
			first = version
		}
	}
	now := time.Now()
	from := r.Version()
	if first.Era < from.Era {
		return &EraError{Expected: from.Era, Received: first.Era}
	}
	r.confirmEra(first.Era)
	restored := r.recordRestore(now, from, first)
	update := r.beginUpdate(now, startedAt, first)
	update.Full, update.Restored = true, restored
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	r.broadcastRestore(now, from, first, r.replaceItems(&update, items))
	r.needsFullRead = false
	r.apply(now, update)
	r.dropAnnouncement(startedAt)
	r.endLag(now, update.Source)
	return nil
}

func (r *Replicator) readPrefix(ctx context.Context, prefix string, items map[string]Item) (first Version, err error) {
	after := ""
	for range maxPages {
		page, err := r.readPage(ctx, prefix, after)
		if err != nil {
			return Version{}, err
		}
		if first.Revision == 0 {
			first = Version{Era: page.Era, Revision: page.Revision}
		}
		if page.Era != first.Era {
			return Version{}, &EraError{Expected: first.Era, Received: page.Era}
		}
		for _, it := range page.Items {
			items[it.Key] = it
			after = it.Key
		}
		if !page.HasMore || len(page.Items) == 0 {
			break
		}
	}
	return first, nil
}

func (r *Replicator) readPage(ctx context.Context, prefix, after string) (Page, error) {
	startedAt := time.Now()
	ctx, cancel := withStallTimeout(ctx, CallTimeout)
	defer cancel()
	page, err := r.Store.Range(ctx, prefix, after)
	err = stallError(ctx, err)
	r.observeCall("range", startedAt, err)
	return page, err
}

// replaceItems makes items the copy and returns the former items. It keeps items that are newer in
// the present copy: a copy from a peer may be newer than what was read.
func (r *Replicator) replaceItems(update *Update, items map[string]Item) (former map[string]Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, old := range r.items {
		if it, ok := items[key]; ok && old.version().After(it.version()) {
			items[key] = old
		}
	}
	former, r.items = r.items, items
	r.advance(update.version())
	r.history.reset()
	for it := range maps.Values(items) {
		update.Changed = append(update.Changed, it)
	}
	return former
}
