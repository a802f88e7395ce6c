package engine

import (
	"context"
	"net/http"
	"time"

	"bambooferry.example/bambooferry/pkg/engine"
)

const (
	loadSampleInterval = 50 * time.Millisecond
	maxLoadSamples     = 200
)

// sampleLoads records the load at regular intervals and removes expired records.
func (e *Engine) sampleLoads(ctx context.Context) {
	t := time.NewTicker(loadSampleInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			e.sampleAndExpire(now)
		case <-ctx.Done():
			return
		}
	}
}

// sampleAndExpire records one load sample and removes records without readers once their Linger or Retention time has passed.
func (e *Engine) sampleAndExpire(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadHistory = append(e.loadHistory, e.loadAt(now))
	if len(e.loadHistory) > maxLoadSamples {
		e.loadHistory = e.loadHistory[1:]
	}
	for _, rec := range e.records {
		expired := rec.endReason != "" && rec.readers == 0 && now.Sub(rec.endedAt) > e.Retention
		abandoned := rec.endReason == "" && rec.readers == 0 && !rec.lastReaderLeftAt.IsZero() && now.Sub(rec.lastReaderLeftAt) > e.Linger
		if expired || abandoned {
			e.remove(rec)
		}
	}
}

// loadAt returns the present load with the given time stamp. The caller holds the lock.
func (e *Engine) loadAt(now time.Time) engine.Load {
	return engine.Load{At: now, Running: e.running, Waiting: len(e.queue), Slots: e.Slots, Versions: e.Versions, Role: e.Orders.role}
}

// CurrentLoad returns the engine's present load, without the delay that its load reports may have.
func (e *Engine) CurrentLoad() engine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loadAt(time.Now())
}

// handleLoad answers GET /load with the load as it was Faults.LoadLag ago.
func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	l := e.loadAt(now)
	if lag := time.Duration(e.faults.LoadLag); lag > 0 {
		for i := len(e.loadHistory) - 1; i >= 0 && l.At.After(now.Add(-lag)); i-- {
			l = e.loadHistory[i]
		}
	}
	writeJSON(w, http.StatusOK, l)
}
