package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/platform"
	"bambooferry.example/bambooferry/pkg/catalogue"
)

// CatalogueKey is the catalogue's key in the key-value service.
const CatalogueKey = "catalogue"

const (
	// HistoryLimit is the number of earlier revisions that the service keeps.
	HistoryLimit       = 1000
	maxWriteAttempts   = 5
	writeRetryInterval = 200 * time.Millisecond
)

// Store is the subset of the key-value service's client that an Editor uses.
type Store interface {
	Get(ctx context.Context, key string) (platform.Value, error)
	CompareAndSwap(ctx context.Context, key string, expected int64, data []byte) (int64, error)
}

// Editor edits the catalogue for one operator; set its exported fields before use.
type Editor struct {
	Store  Store
	Author string
}

// ConflictError reports that the catalogue has changed since the edited revision was read.
type ConflictError struct {
	// BaseRevision is the revision on which the edit is based, CurrentRevision the one in the store.
	BaseRevision    int64
	CurrentRevision int64
	// Author is the operator who put the current revision.
	Author string
	// Changes lists the differences between the current and the rejected document.
	Changes []catalogue.FieldChange
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the edit was made on revision %d, but %s has put revision %d", e.BaseRevision, e.Author, e.CurrentRevision)
}

// UnknownRevisionError reports that a revision does not exist or is no longer kept.
type UnknownRevisionError struct{ Revision int64 }

func (e *UnknownRevisionError) Error() string {
	return fmt.Sprintf("revision %d is not kept; the service keeps the last %d", e.Revision, HistoryLimit)
}

// Current returns the current catalogue and its version in the store; the document is nil if there is none.
func (e *Editor) Current(ctx context.Context) (*catalogue.Document, int64, error) {
	return e.read(ctx, CatalogueKey)
}

func (e *Editor) read(ctx context.Context, key string) (*catalogue.Document, int64, error) {
	v, err := e.Store.Get(ctx, key)
	if err != nil || v.Version == 0 {
		return nil, 0, err
	}
	d, err := catalogue.Decode(v.Data)
	return d, v.Version, errors.Wrapf(err, "value of %s", key)
}

// Put writes a document, which must be based on the current revision, as the next revision and returns the changes.
func (e *Editor) Put(ctx context.Context, now time.Time, d *catalogue.Document, note string) ([]catalogue.FieldChange, error) {
	if err := d.Check(); err != nil {
		return nil, err
	}
	current, storeVersion, err := e.Current(ctx)
	if err != nil {
		return nil, err
	}
	if err := checkConflict(current, d); err != nil {
		return nil, err
	}
	if err := e.archive(ctx, current); err != nil {
		return nil, err
	}
	base, next := d.Revision, *d
	next.Revision, next.Edit = base+1, &catalogue.Edit{ID: newEditID(), Author: e.Author, At: now.UTC(), Note: note}
	if err := e.writeCurrent(ctx, base, storeVersion, &next); err != nil {
		return nil, err
	}
	changes := catalogue.Diff(current, &next)
	*d = next
	return changes, nil
}

// checkConflict returns a ConflictError unless d is based on the current revision.
func checkConflict(current, d *catalogue.Document) error {
	if current == nil && d.Revision == 0 || current != nil && current.Revision == d.Revision {
		return nil
	}
	return newConflict(current, d, d.Revision)
}

func newConflict(current, d *catalogue.Document, base int64) *ConflictError {
	e := &ConflictError{BaseRevision: base, Author: "nobody", Changes: catalogue.Diff(current, d)}
	if current != nil {
		e.CurrentRevision, e.Author = current.Revision, "another operator"
		if current.Edit != nil {
			e.Author = current.Edit.Author
		}
	}
	return e
}

// writeCurrent replaces the current document. If a response is lost, it repeats the same write; if that
// conflicts, it compares the ID of the stored edit with its own.
func (e *Editor) writeCurrent(ctx context.Context, base, storeVersion int64, next *catalogue.Document) error {
	data, err := json.MarshalIndent(next, "", "  ")
	if err != nil {
		return err
	}
	if len(data) > catalogue.MaxDocumentBytes {
		return &catalogue.FieldError{Path: "document", Value: fmt.Sprint(len(data)), Rule: fmt.Sprintf("must have at most %d bytes", catalogue.MaxDocumentBytes)}
	}
	for attempt := range maxWriteAttempts {
		if attempt > 0 && !waitForRetry(ctx) {
			break
		}
		if _, err = e.Store.CompareAndSwap(ctx, CatalogueKey, storeVersion, data); err == nil {
			return nil
		}
		var c *platform.ConflictError
		if !errors.As(err, &c) {
			continue
		}
		current, decodeErr := catalogue.Decode(c.Current.Data)
		if decodeErr != nil {
			return errors.Wrap(decodeErr, "the service holds an invalid catalogue")
		}
		if current.Edit != nil && current.Edit.ID == next.Edit.ID {
			return nil
		}
		return newConflict(current, next, base)
	}
	return errors.Wrap(err, "the outcome of the edit is unknown; run 'catalogue get' once the service is available")
}

// waitForRetry waits for the retry interval and reports whether it elapsed before ctx ended.
func waitForRetry(ctx context.Context) bool {
	select {
	case <-time.After(writeRetryInterval):
		return true
	case <-ctx.Done():
		return false
	}
}

// archive copies the current revision to the history.
//
// It runs before the current document is replaced, so that a crash in between loses no revision.
func (e *Editor) archive(ctx context.Context, d *catalogue.Document) error {
	if d == nil {
		return nil
	}
	key := historyKey(d.Revision)
	archived, version, err := e.read(ctx, key)
	if err != nil || archived != nil && archived.Revision >= d.Revision {
		return err
	}
	data, err := json.Marshal(d)
	if err != nil {
		return err
	}
	_, err = e.Store.CompareAndSwap(ctx, key, version, data)
	var c *platform.ConflictError
	if errors.As(err, &c) {
		// Another editor has archived the same revision.
		return nil
	}
	return err
}

func historyKey(revision int64) string {
	return fmt.Sprintf("catalogue_history/%d", revision%HistoryLimit)
}

// Revision returns a revision by number, the current one or one from the history.
func (e *Editor) Revision(ctx context.Context, revision int64) (*catalogue.Document, error) {
	d, _, err := e.Current(ctx)
	if err != nil {
		return nil, err
	}
	if d == nil || d.Revision != revision {
		d, _, err = e.read(ctx, historyKey(revision))
	}
	if err == nil && (d == nil || d.Revision != revision) {
		return nil, &UnknownRevisionError{Revision: revision}
	}
	return d, err
}

// History returns up to n revisions, newest first.
func (e *Editor) History(ctx context.Context, n int) ([]*catalogue.Document, error) {
	d, _, err := e.Current(ctx)
	if err != nil || d == nil {
		return nil, err
	}
	list := []*catalogue.Document{d}
	for r := d.Revision - 1; r > 0 && len(list) < min(n, HistoryLimit); r-- {
		d, _, err := e.read(ctx, historyKey(r))
		if err != nil {
			return list, err
		}
		if d != nil && d.Revision == r {
			list = append(list, d)
		}
	}
	return list, nil
}

// Revert writes the content of an earlier revision as the next revision.
func (e *Editor) Revert(ctx context.Context, now time.Time, revision int64) (*catalogue.Document, []catalogue.FieldChange, error) {
	d, err := e.Revision(ctx, revision)
	if err != nil {
		return nil, nil, err
	}
	current, _, err := e.Current(ctx)
	if err != nil {
		return nil, nil, err
	}
	next := *d
	next.Revision = current.Revision
	changes, err := e.Put(ctx, now, &next, fmt.Sprintf("revert to revision %d", revision))
	return &next, changes, err
}

func newEditID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
