package engine

import (
	"context"
	"net/http"
	"time"

	"bambooferry.example/bambooferry/pkg/engine"
)

const (
	loadPeriod = 50 * time.Millisecond
	loadsKept  = 200
)

// report takes a load sample in each period and forgets records nobody asks for.
func (e *Engine) report(ctx context.Context) {
	t := time.NewTicker(loadPeriod)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			e.sample(now)
		case <-ctx.Done():
			return
		}
	}
}

func (e *Engine) sample(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loads = append(e.loads, e.loadNow(now))
	if len(e.loads) > loadsKept {
		e.loads = e.loads[1:]
	}
	for _, rec := range e.records {
		ended := rec.end != "" && rec.readers == 0 && now.Sub(rec.endedAt) > e.Retention
		left := rec.end == "" && rec.readers == 0 && !rec.leftAt.IsZero() && now.Sub(rec.leftAt) > e.Linger
		if ended || left {
			e.drop(rec)
		}
	}
}

func (e *Engine) loadNow(now time.Time) engine.Load {
	return engine.Load{At: now, Running: e.running, Waiting: len(e.queue), Slots: e.Slots, Versions: e.Versions, Role: e.Orders.role}
}

// CurrentLoad returns the engine's present load, without the delay that its load reports may have.
func (e *Engine) CurrentLoad() engine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loadNow(time.Now())
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	l := e.loadNow(now)
	if lag := time.Duration(e.faults.LoadLag); lag > 0 {
		for i := len(e.loads) - 1; i >= 0 && l.At.After(now.Add(-lag)); i-- {
			l = e.loads[i]
		}
	}
	reply(w, http.StatusOK, l)
}
