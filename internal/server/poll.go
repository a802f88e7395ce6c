package server

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/engine"
)

const (
	// pollInterval limits an instance to 20 polls a second, whatever the number of targets.
	pollInterval = 50 * time.Millisecond
	pollTimeout  = 500 * time.Millisecond
)

// polledEngine is a target whose reports are fetched.
type polledEngine struct {
	entry  string
	target catalogue.Target
}

// heldEngines returns the engines whose slots this instance holds.
func (p *Pools) heldEngines(d *catalogue.Document) []polledEngine {
	var list []polledEngine
	for i := range d.Entries {
		e := &d.Entries[i]
		if e.Kind != catalogue.Model {
			continue
		}
		for _, t := range e.Targets {
			if p.Slots.HoldsPool(TargetPool(e.Name, t.Name)) {
				list = append(list, polledEngine{e.Name, t})
			}
		}
	}
	return list
}

// poll fetches a target's load and cache events unless a poll of it is still in progress.
func (p *Pools) poll(ctx context.Context, t polledEngine) {
	key := TargetPool(t.entry, t.target.Name)
	p.mu.Lock()
	if p.polling == nil {
		p.polling = map[string]bool{}
	}
	busy := p.polling[key]
	p.polling[key] = true
	p.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.polling, key)
	}()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	result := "ok"
	if err := p.fetch(ctx, t); err != nil {
		result = "failed"
	}
	p.Metrics.GetOrCreateCounter(`bambooferry_target_polls_total{result="` + result + `"}`).Inc()
}

func (p *Pools) fetch(ctx context.Context, t polledEngine) error {
	pool := p.poolFor(t.entry)
	data, err := p.get(ctx, fmt.Sprintf("http://%s/load", t.target.Address), engine.MaxLoadBytes)
	if err != nil {
		return err
	}
	load, err := engine.DecodeLoad(time.Now(), data)
	if err != nil {
		return err
	}
	pool.mu.Lock()
	pool.SetLoad(t.target.Name, load)
	since := pool.CacheSequence(t.target.Name)
	pool.mu.Unlock()
	data, err = p.get(ctx, fmt.Sprintf("http://%s/cache-events?since=%d", t.target.Address, since), engine.MaxCacheEventsBytes)
	if err != nil {
		return err
	}
	events, err := engine.DecodeCacheEvents(time.Now(), data)
	if err != nil {
		return err
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.ApplyCacheEvents(t.target.Name, events)
	return nil
}

// get reads a body of at most limit bytes.
func (p *Pools) get(ctx context.Context, url string, limit int64) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	res, err := p.Client.Do(r)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %d", res.StatusCode)
	}
	// Read one byte more than the limit, so that a body that is too long is rejected.
	return io.ReadAll(io.LimitReader(res.Body, limit+1))
}
