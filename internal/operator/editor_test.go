package operator

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/platform"
	standin "bambooferry.example/bambooferry/internal/standin/platform"
	"bambooferry.example/bambooferry/pkg/catalogue"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// startService runs the stand-in key-value service and returns a constructor of editors for it.
func startService(t *testing.T) (*standin.Service, func(author string) *Editor) {
	t.Helper()
	s := &standin.Service{}
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return s, func(author string) *Editor {
		return &Editor{Store: &platform.Client{Address: address, HTTP: server.Client(), Timeout: time.Second}, Author: author}
	}
}

func newDocument(revision int64) *catalogue.Document {
	return &catalogue.Document{Format: 1, Revision: revision, Entries: []catalogue.Entry{{
		Name: "ferry-llm", Owner: "assistant team", Kind: catalogue.Model, Class: catalogue.Interactive,
		Limits:  catalogue.Limits{InProgress: 10, Queue: 5, Deadline: catalogue.Duration(time.Minute), BodyBytes: 1000, Tokens: 100},
		Version: "v1", Versions: []catalogue.Version{{Name: "v1"}},
	}}}
}

// Guards against concurrent edits of which one silently overwrites another.
func TestConcurrentEditsConflict(t *testing.T) {
	_, editor := startService(t)
	ctx := context.Background()
	_, err := editor("ann").Put(ctx, t0, newDocument(0), "")
	require.NoError(t, err)
	var accepted atomic.Int32
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			d := newDocument(1)
			d.Entries[0].Limits.Queue = 100 + i
			_, err := editor(fmt.Sprint("operator-", i)).Put(ctx, t0, d, "")
			if err == nil {
				accepted.Add(1)
				return
			}
			var c *ConflictError
			require.ErrorAs(t, err, &c)
			require.EqualValues(t, 2, c.CurrentRevision)
			require.Equal(t, "entries[ferry-llm].limits.queue", c.Changes[0].Path)
		})
	}
	wg.Wait()
	require.EqualValues(t, 1, accepted.Load())
}

// Guards against an edit that is reported as failed, or written twice, because a response was lost.
func TestLostWriteResponseIsResolved(t *testing.T) {
	for _, lost := range []int{1, 2, 3} {
		s, editor := startService(t)
		ctx := context.Background()
		_, err := editor("ann").Put(ctx, t0, newDocument(0), "")
		require.NoError(t, err)
		s.SetFaults(standin.Faults{LoseResponses: lost})
		d := newDocument(1)
		d.Entries[0].Owner = "night team"
		_, err = editor("bob").Put(ctx, t0, d, "")
		if err != nil {
			// The lost response was that of the history write; nothing was put, and a retry may succeed.
			s.SetFaults(standin.Faults{})
			_, err = editor("bob").Put(ctx, t0, d, "")
		}
		require.NoError(t, err, "lost %d", lost)
		got, _, err := editor("ann").Current(ctx)
		require.NoError(t, err)
		require.EqualValues(t, 2, got.Revision)
		require.Equal(t, "night team", got.Entries[0].Owner)
	}
}

// Guards against a revert that decreases the revision number, and against a history that loses revisions.
func TestRevertIsANewRevision(t *testing.T) {
	_, editor := startService(t)
	ctx := context.Background()
	ann := editor("ann")
	for i := range 4 {
		d := newDocument(int64(i))
		d.Entries[0].Limits.Queue = i
		_, err := ann.Put(ctx, t0, d, fmt.Sprint("edit ", i))
		require.NoError(t, err)
	}
	d, changes, err := ann.Revert(ctx, t0, 2)
	require.NoError(t, err)
	require.EqualValues(t, 5, d.Revision)
	require.Equal(t, []catalogue.FieldChange{{Path: "entries[ferry-llm].limits.queue", Old: "3", New: "1"}}, changes)
	list, err := ann.History(ctx, 10)
	require.NoError(t, err)
	require.Len(t, list, 5)
	for i, d := range list {
		require.EqualValues(t, 5-i, d.Revision)
	}
	_, err = ann.Revision(ctx, 77)
	var unknown *UnknownRevisionError
	require.ErrorAs(t, err, &unknown)
}

// Guards against an edit that is reported as applied although the service did not confirm it.
func TestOutageDuringAnEdit(t *testing.T) {
	s, editor := startService(t)
	s.SetFaults(standin.Faults{Down: true})
	_, err := editor("ann").Put(context.Background(), t0, newDocument(0), "")
	require.Error(t, err)
}
