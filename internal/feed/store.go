package feed

import (
	"context"
	"fmt"
	"time"
)

// Item is one key of the store.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision of the item's last change.
	Revision int64
}

// Event is a change of one key.
type Event struct {
	Item
	Removed bool
}

// Page is one page of the items under a prefix.
type Page struct {
	Items []Item
	// HasMore reports whether further items follow the last one.
	HasMore bool
	// Revision is the store's revision when the page was read.
	Revision int64
}

// Changes holds the changes after a revision, up to Revision.
type Changes struct {
	Events   []Event
	Revision int64
}

// StoreClient reads the platform's store.
type StoreClient interface {
	// Range returns a page of the items under a prefix whose keys follow after.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits for changes after a revision; there may be none within the wait. The error is a
	// *CompactedError when the store no longer has the changes.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
}

// CompactedError reports that the store has dropped the history after a revision.
type CompactedError struct{ After int64 }

func (e *CompactedError) Error() string {
	return fmt.Sprintf("the store no longer has the changes after revision %d", e.After)
}
