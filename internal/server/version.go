package server

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/platform"
	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/version"
)

// VersionChanges is the blackboard key of the version changes by entry, which the status command shows.
var VersionChanges = blackboard.Key[map[string]ChangeView]{Name: "changes"}

// ChangeView is what an instance knows of one change; it is never changed in place.
type ChangeView struct {
	Record version.Record
	// Version is the record's version in the key-value service; a higher one wins.
	Version int64
	// Mark is why an instance found the new version bad; it is empty otherwise.
	Mark string
	// Confirmed is when a decider last confirmed the share.
	Confirmed time.Time
}

// Leaser takes leases in the key-value service.
type Leaser interface {
	Acquire(ctx context.Context, name, holder string, ttl time.Duration) (platform.Lease, error)
}

// Versions is an instance's part in version changes; set its exported fields before Run.
//
// It owns the counters, and the changes while this instance is a candidate for
// the decider; both are guarded by its lock.
type Versions struct {
	Server *Server
	Leases Leaser
	Limits version.Limits
	// ReportInterval is the time between two reports of an instance.
	ReportInterval time.Duration
	// LeaseDuration is the duration of the decider's lease.
	LeaseDuration time.Duration
	// MaxConcurrentLoads bounds the model loads that run at the same time, over all entries.
	MaxConcurrentLoads int

	mu       sync.Mutex
	counters map[uint64]*version.Counter
	received map[uint64]version.Report
	// answered is closed once the next report was answered, and next is when the one after is due.
	answered chan struct{}
	next     time.Time
	heard    version.RouteDictionary
	marks    map[uint64]string
	seen     map[uint64]time.Time
	decider  decider
	orders   orders
	// sent belongs to the goroutine that reports.
	sent map[netip.AddrPort]*version.RouteDictionary
}

// confirmWait is how long a share above 0 holds without a word from a candidate.
//
// An instance that is cut off from all candidates cannot learn that the version is
// bad, so it must fall back before the 3 s in which every instance has to obey. The time
// counts from what a candidate said, through all collectors, and allows for one lost call.
const confirmWait = 2500 * time.Millisecond

// NewVersions returns the part of a server in version changes, with the default times.
func NewVersions(s *Server, l Leaser) *Versions {
	return &Versions{Server: s, Leases: l, Limits: version.DefaultLimits(), ReportInterval: 250 * time.Millisecond, LeaseDuration: 2 * time.Second, MaxConcurrentLoads: 2}
}

// Run takes part in version changes until ctx ends.
func (v *Versions) Run(ctx context.Context) error {
	if v.Server.Peers != nil {
		if err := v.Server.Peers.Register("Versions", &versionCalls{v}); err != nil {
			return errors.Wrap(err, "register calls for version changes")
		}
	}
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { v.reports(ctx) })
	group.Go(func() { v.every(ctx, v.ReportInterval/2, v.decide) })
	group.Go(func() { v.every(ctx, orderPeriod, v.order) })
	<-ctx.Done()
	return ctx.Err()
}

func (v *Versions) every(ctx context.Context, period time.Duration, f func(context.Context)) {
	t := time.NewTicker(period)
	defer t.Stop()
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}

// plans returns the changes that the catalogue in force asks for, at most MaxReports.
func (v *Versions) plans() []version.Plan {
	d, ok := Catalogue.Get(v.Server.Board)
	if !ok {
		return nil
	}
	var list []version.Plan
	for i := range d.Entries {
		if p, ok := version.PlanOf(&d.Entries[i], d.Revision); ok && len(list) < version.MaxReports {
			list = append(list, p)
		}
	}
	return list
}

// VersionFor returns the version that a new request of the entry goes to.
func (s *Server) VersionFor(now time.Time, e *catalogue.Entry, request string) string {
	p, ok := version.PlanOf(e, 0)
	if !ok {
		return e.Version
	}
	views, _ := VersionChanges.Get(s.Board)
	view := views[e.Name]
	r := &view.Record
	switch {
	case r.ID != p.ID || view.Mark != "":
		return e.Version
	case (r.State == version.Trial || r.State == version.Moving) && now.Sub(view.Confirmed) > confirmWait:
		return e.Version
	case version.RoutesToNew(p.ID, r.Share, request):
		return p.To
	}
	return e.Version
}

// take puts a record on the blackboard if it is newer than what stands there; a candidate confirmed its share at now.
func (v *Versions) take(now time.Time, r version.Record, at int64) {
	// Not inside the update, which holds a lock of the blackboard.
	mark := v.markOf(r.ID)
	v.update(r.Entry, func(w ChangeView) ChangeView {
		if at <= w.Version {
			return w
		}
		if w.Record.ID == r.ID && now.Before(w.Confirmed) {
			now = w.Confirmed
		}
		return ChangeView{Record: r, Version: at, Mark: mark, Confirmed: now}
	})
}

func (v *Versions) update(entry string, f func(ChangeView) ChangeView) {
	VersionChanges.Update(v.Server.Board, func(old map[string]ChangeView, _ bool) (map[string]ChangeView, bool) {
		views := make(map[string]ChangeView, len(old)+1)
		for k, w := range old {
			views[k] = w
		}
		views[entry] = f(views[entry])
		return views, true
	})
}

func (v *Versions) markOf(id uint64) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.marks[id]
}

// Observe counts what a request did; it is cheap when the entry is not changing.
func (v *Versions) Observe(now time.Time, e *catalogue.Entry, r version.Result) {
	if v == nil || e.Change == nil {
		return
	}
	p, _ := version.PlanOf(e, 0)
	v.mu.Lock()
	if v.counters == nil {
		v.counters = map[uint64]*version.Counter{}
	}
	c := v.counters[p.ID]
	if c == nil && len(v.counters) < version.MaxReports {
		c = version.NewCounter(p)
		v.counters[p.ID] = c
	}
	v.mu.Unlock()
	if c != nil {
		c.Add(now, r)
	}
}
