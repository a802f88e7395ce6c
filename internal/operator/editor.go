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
	// HistoryLimit is the number of revisions that the service keeps.
	HistoryLimit = 1000
	writeTries   = 5
	writePause   = 200 * time.Millisecond
)

// Store is the part of the key-value service that an edit needs.
type Store interface {
	Get(ctx context.Context, key string) (platform.Value, error)
	CompareAndSwap(ctx context.Context, key string, old int64, data []byte) (int64, error)
}

// Editor edits the catalogue for one operator; set its exported fields before use.
type Editor struct {
	Store  Store
	Author string
}

// ConflictError tells that the catalogue changed since the edit was begun.
type ConflictError struct {
	// BaseRevision is the revision that was edited, Current the one in the service.
	BaseRevision    int64
	CurrentRevision int64
	// Author put the current revision.
	Author string
	// Changes leads from the current document to the refused one.
	Changes []catalogue.FieldChange
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the edit was made on revision %d, but %s has put revision %d", e.BaseRevision, e.Author, e.CurrentRevision)
}

// UnknownRevisionError tells that a revision is not kept.
type UnknownRevisionError struct{ Revision int64 }

func (e *UnknownRevisionError) Error() string {
	return fmt.Sprintf("revision %d is not kept; the service keeps the last %d", e.Revision, HistoryLimit)
}

// Current reads the catalogue and its version in the service; the document is nil if there is none.
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

// Put makes a document that was edited from its revision the next one and returns what changed.
func (e *Editor) Put(ctx context.Context, now time.Time, d *catalogue.Document, note string) ([]catalogue.FieldChange, error) {
	if err := d.Check(); err != nil {
		return nil, err
	}
	current, version, err := e.Current(ctx)
	if err != nil {
		return nil, err
	}
	if err := conflict(current, d); err != nil {
		return nil, err
	}
	if err := e.archive(ctx, current); err != nil {
		return nil, err
	}
	base, next := d.Revision, *d
	next.Revision, next.Edit = base+1, &catalogue.Edit{ID: newID(), Author: e.Author, At: now.UTC(), Note: note}
	if err := e.write(ctx, base, version, &next); err != nil {
		return nil, err
	}
	changes := catalogue.Diff(current, &next)
	*d = next
	return changes, nil
}

// conflict compares the revision that was edited with the present one.
func conflict(current, d *catalogue.Document) error {
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

// write swaps the document in; a lost answer is resolved by the same write again and by reading back.
func (e *Editor) write(ctx context.Context, base, version int64, next *catalogue.Document) error {
	data, err := json.MarshalIndent(next, "", "  ")
	if err != nil {
		return err
	}
	if len(data) > catalogue.MaxDocumentBytes {
		return &catalogue.FieldError{Path: "document", Value: fmt.Sprint(len(data)), Rule: fmt.Sprintf("must have at most %d bytes", catalogue.MaxDocumentBytes)}
	}
	for try := range writeTries {
		if try > 0 && !pause(ctx) {
			break
		}
		if _, err = e.Store.CompareAndSwap(ctx, CatalogueKey, version, data); err == nil {
			return nil
		}
		var c *platform.ConflictError
		if !errors.As(err, &c) {
			continue
		}
		got, derr := catalogue.Decode(c.Current.Data)
		if derr != nil {
			return errors.Wrap(derr, "the service holds an invalid catalogue")
		}
		if got.Edit != nil && got.Edit.ID == next.Edit.ID {
			return nil
		}
		return newConflict(got, next, base)
	}
	return errors.Wrap(err, "it is not known whether the edit took effect; 'catalogue get' tells once the service answers")
}

func pause(ctx context.Context) bool {
	select {
	case <-time.After(writePause):
		return true
	case <-ctx.Done():
		return false
	}
}

// archive keeps the present revision before it is replaced.
//
// It comes before the swap, so that an editor that dies in between loses no revision.
func (e *Editor) archive(ctx context.Context, d *catalogue.Document) error {
	if d == nil {
		return nil
	}
	key := historyKey(d.Revision)
	old, version, err := e.read(ctx, key)
	if err != nil || old != nil && old.Revision >= d.Revision {
		return err
	}
	data, err := json.Marshal(d)
	if err != nil {
		return err
	}
	_, err = e.Store.CompareAndSwap(ctx, key, version, data)
	var c *platform.ConflictError
	if errors.As(err, &c) {
		// Another editor keeps the same revision.
		return nil
	}
	return err
}

func historyKey(revision int64) string {
	return fmt.Sprintf("catalogue_history/%d", revision%HistoryLimit)
}

// Revision reads one revision, the present or a kept one.
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

// History returns the newest revisions, newest first, at most n.
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

// Revert makes the content of an earlier revision the next one.
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

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
