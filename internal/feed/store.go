package feed

import (
	"context"
	"fmt"
	"time"
)

// Version orders the states of the store.
//
// A store that was restored from a copy gives out revisions again, so a state of a later era follows
// all states of an earlier one.
type Version struct {
	// Era counts the store's restores; it is 0 for a store that does not state it.
	Era      int64
	Revision int64
}

// After reports whether v follows other.
func (v Version) After(other Version) bool {
	return v.Era > other.Era || v.Era == other.Era && v.Revision > other.Revision
}

// Item is one key of the store.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision of the item's last change, in the era Era.
	Revision int64
	Era      int64
}

func (it *Item) version() Version { return Version{Era: it.Era, Revision: it.Revision} }

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
	// Revision is the store's revision when the page was read, in the era Era.
	Revision int64
	Era      int64
}

// Changes holds the changes after a revision, up to Revision.
type Changes struct {
	Events   []Event
	Revision int64
	// Era is the era of Revision and of all events.
	Era int64
}

func (c *Changes) version() Version { return Version{Era: c.Era, Revision: c.Revision} }

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

// EraError reports a response of another era than the one that it has to continue: an answer that was
// delayed until after a restore, or the first one after it.
type EraError struct {
	Expected int64
	Received int64
}

func (e *EraError) Error() string {
	return fmt.Sprintf("response of the store's era %d, expected era %d", e.Received, e.Expected)
}

// Reason names the error for the log.
func (e *EraError) Reason() string { return "other_era" }

// Condition requires that a key is at a revision; 0 means that it must not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Write sets a key, which is removed with its lease unless the lease's ID is 0.
type Write struct {
	Key   string
	Value []byte
	Lease Lease
}

// ConflictError reports that a condition of a write was not met.
type ConflictError struct {
	Key string
	// Current holds the present items of the conditions' keys, as far as they exist.
	Current []Item
}

func (e *ConflictError) Error() string { return "condition not met by key " + e.Key }
