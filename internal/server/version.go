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

// ChangeView is an instance's view of one change; it is never modified in place.
type ChangeView struct {
	Record version.Record
	// Version is the record's version in the key-value service; a higher one wins.
	Version int64
	// Mark is why an instance found the new version bad; it is empty otherwise.
	Mark string
	// ConfirmedAt is when a candidate last confirmed the share.
	ConfirmedAt time.Time
}

// Leaser takes leases in the key-value service.
type Leaser interface {
	AcquireLease(ctx context.Context, name, holder string, ttl time.Duration) (platform.Lease, error)
}

// Versions runs an instance's part in version changes; set its exported fields before Run.
//
// It owns the counters, and the changes while this instance is a candidate to become
// the decider; its lock guards both.
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

	mu             sync.Mutex
	counters       map[uint64]*version.Counter
	relayedReports map[uint64]version.Report
	// reportAnswered is closed once the next report has been answered. nextReport is when the report after it is due.
	reportAnswered chan struct{}
	nextReport     time.Time
	receivedNames  version.RouteDictionary
	marks          map[uint64]string
	lastStored     map[uint64]time.Time
	decider        decider
	orders         orderState
	// sentNames is used only by the reporting goroutine.
	sentNames map[netip.AddrPort]*version.RouteDictionary
}

// confirmTimeout is how long a share above 0 stays valid without confirmation by a candidate.
//
// An instance that has no connection to any candidate cannot learn that the version is
// bad, so it must fall back within the 3 s in which every instance has to react to a mark. The time
// is counted from the candidate's confirmation, through all collectors, and allows for one lost RPC.
const confirmTimeout = 2500 * time.Millisecond

// NewVersions returns a Versions for a server, with the default limits and intervals.
func NewVersions(s *Server, l Leaser) *Versions {
	return &Versions{Server: s, Leases: l, Limits: version.DefaultLimits(), ReportInterval: 250 * time.Millisecond, LeaseDuration: 2 * time.Second, MaxConcurrentLoads: 2}
}

// Run reports evidence, decides changes and sends orders until ctx ends.
func (v *Versions) Run(ctx context.Context) error {
	if v.Server.Peers != nil {
		if err := v.Server.Peers.Register("Versions", &versionService{v}); err != nil {
			return errors.Wrap(err, "register RPC service for version changes")
		}
	}
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { v.runReports(ctx) })
	group.Go(func() { v.runPeriodically(ctx, v.ReportInterval/2, v.decideChanges) })
	group.Go(func() { v.runPeriodically(ctx, orderInterval, v.processOrders) })
	<-ctx.Done()
	return ctx.Err()
}

func (v *Versions) runPeriodically(ctx context.Context, interval time.Duration, f func(context.Context)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}

// plans returns the changes that the catalogue in force requests, at most MaxReports.
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
	case (r.State == version.Trial || r.State == version.Moving) && now.Sub(view.ConfirmedAt) > confirmTimeout:
		return e.Version
	case version.RoutesToNew(p.ID, r.Share, request):
		return p.To
	}
	return e.Version
}

// applyRecord puts a record on the blackboard if it is newer than the one there; now is when a candidate confirmed its share.
func (v *Versions) applyRecord(now time.Time, r version.Record, storeVersion int64) {
	// Not done inside the update, which holds a lock of the blackboard.
	mark := v.markFor(r.ID)
	v.updateView(r.Entry, func(w ChangeView) ChangeView {
		if storeVersion <= w.Version {
			return w
		}
		if w.Record.ID == r.ID && now.Before(w.ConfirmedAt) {
			now = w.ConfirmedAt
		}
		return ChangeView{Record: r, Version: storeVersion, Mark: mark, ConfirmedAt: now}
	})
}

func (v *Versions) updateView(entry string, f func(ChangeView) ChangeView) {
	VersionChanges.Update(v.Server.Board, func(old map[string]ChangeView, _ bool) (map[string]ChangeView, bool) {
		views := make(map[string]ChangeView, len(old)+1)
		for k, w := range old {
			views[k] = w
		}
		views[entry] = f(views[entry])
		return views, true
	})
}

func (v *Versions) markFor(id uint64) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.marks[id]
}

// Observe counts the result of a request; it is cheap when the entry has no change.
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
