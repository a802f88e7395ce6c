package deployment

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/platform"
	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/pkg/instance"
)

// refusedWatcher is a client whose watches the service refuses while refused is set.
type refusedWatcher struct {
	*platform.Client
	refused *atomic.Bool
}

func (w *refusedWatcher) Watch(ctx context.Context, key string, after int64, wait time.Duration) (platform.Value, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A watch in progress ends as well.
	go func() {
		for ctx.Err() == nil && !w.refused.Load() {
			time.Sleep(5 * time.Millisecond)
		}
		cancel()
	}()
	if w.refused.Load() {
		return platform.Value{}, errors.New("refused")
	}
	return w.Client.Watch(ctx, key, after, wait)
}

// Guards against a catalogue that reaches no instance while the service turns away those that watch it for all.
func TestCatalogueChangesWhileItsWatchersAreTurnedAway(t *testing.T) {
	const n = 4
	var refused [n]atomic.Bool
	var watchers [n]*refusedWatcher
	d, err := Start(context.Background(), Config{
		Instances: n, EngineTemplate: DefaultEngine(), Limits: server.DefaultLimits(),
		PrepareInstance: func(in *Instance) { in.CatalogueLookInterval = 200 * time.Millisecond },
		StoreFor: func(i int, c *platform.Client) (server.Store, server.Leaser) {
			watchers[i] = &refusedWatcher{Client: c, refused: &refused[i]}
			return watchers[i], c
		},
	})
	require.NoError(t, err)
	defer d.Close()
	requireEventually(t, func() bool {
		for _, in := range d.Instances {
			if len(memberView(in).Live()) != n {
				return false
			}
		}
		return true
	})
	for _, m := range instance.RankByRendezvousHash(memberView(d.Instances[0]).Live(), server.CatalogueKey, 2) {
		for i, in := range d.Instances {
			if in.ID == m.ID {
				refused[i].Store(true)
			}
		}
	}
	// The watches in progress end.
	time.Sleep(100 * time.Millisecond)
	publishRevision(t, d, 2)
	took := requireEventually(t, func() bool {
		for _, in := range d.Instances {
			if doc, ok := server.Catalogue.Get(in.Board); !ok || doc.Revision != 2 {
				return false
			}
		}
		return true
	})
	t.Logf("in force after %s", took)
}
