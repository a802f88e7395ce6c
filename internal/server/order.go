package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/order"
	"bambooferry.example/bambooferry/pkg/timeline"
	"bambooferry.example/bambooferry/pkg/version"
)

const (
	orderPeriod = 250 * time.Millisecond
	// orderWait bounds a call to an engine, and with the lease's duration the time
	// after which no order of an old sender can arrive.
	orderWait = time.Second
	// loadAnswerBytes bounds a load report.
	loadAnswerBytes = 64 << 10
	// callsAtOnce bounds the calls to engines that run at once, and callEvery their
	// mean rate, so that control stays small with hundreds of engines.
	callsAtOnce = 16
	callEvery   = 20 * time.Millisecond
	// settledEvery is the time for each engine between two polls while all engines have
	// their roles and no version is changing: 5 calls a second, as roles are kept for good.
	// Until then the time doubles with each poll, at most maxDoublings times, since an
	// engine may refuse its role for good.
	settledEvery = 200 * time.Millisecond
	settledLeast = 5 * time.Second
	maxDoublings = 16
)

// orders is what the sender of orders knows of the engines; the lock of Versions guards it.
type orders struct {
	planner order.Planner
	fence   int64
	polled  time.Time
	engines map[string][]order.Engine
	// revision is the catalogue's at the last poll; settled is set if all engines that gave a
	// report had their roles then, and unsettled counts the polls since then.
	revision  int64
	settled   bool
	unsettled int
}

const (
	// maxRoleRows and maxRoleNames bound a report.
	maxRoleRows  = 64
	maxRoleNames = 8
)

// ordered reports whether engines of the entry are ordered to load the new version.
//
// They are not when the catalogue has targets of that version already.
func ordered(e *catalogue.Entry, to string) bool {
	return e.Kind == catalogue.Model && !slices.ContainsFunc(e.Targets, func(t catalogue.Target) bool { return t.Version == to && !t.Leaving })
}

// able tells which share the targets of the new version can take.
func (v *Versions) able(p version.Plan) version.Event {
	d, _ := Catalogue.Get(v.Server.Board)
	ev := version.Event{Kind: version.CapacityChanged, Capacity: 1}
	if d == nil || d.Entry(p.Entry) == nil || !ordered(d.Entry(p.Entry), p.To) {
		return ev
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	ev.Ordered = true
	list, known := v.orders.engines[p.Entry]
	if !known {
		if c := v.decider.changes[p.ID]; c != nil {
			ev.Loaded, ev.Capacity = c.Record.Loaded, c.Record.Share
		}
		return ev
	}
	for _, e := range list {
		if slices.Contains(e.Versions, p.To) {
			ev.Loaded = append(ev.Loaded, e.Name)
		}
	}
	ev.Capacity = float64(len(ev.Loaded)) / float64(max(len(list), 1))
	return ev
}

// order polls the engines, plans and sends, while this instance holds the lease.
func (v *Versions) order(ctx context.Context) {
	now := time.Now()
	d, ok := Catalogue.Get(v.Server.Board)
	v.mu.Lock()
	holds := ok && v.holds(now)
	if v.orders.fence != v.decider.lease.Fence {
		limits := order.DefaultLimits()
		limits.MaxConcurrentLoads, limits.Grace = v.MaxConcurrentLoads, v.LeaseDuration+orderWait
		v.orders = orders{fence: v.decider.lease.Fence, planner: order.Planner{Limits: limits, FenceAcquired: v.decider.since}}
	}
	v.mu.Unlock()
	if !holds {
		Roles.Put(v.Server.Board, RoleReport{})
		return
	}
	wants, targets := v.wants(d)
	if len(wants) == 0 {
		Roles.Put(v.Server.Board, RoleReport{})
		return
	}
	if now.Before(v.pollDue(d.Revision, wants, len(targets))) {
		return
	}
	v.poll(ctx, wants, targets)
	report := rolesOf(wants)
	v.mu.Lock()
	v.orders.noteRoles(d.Revision, report.settled())
	v.orders.polled = now
	v.orders.engines = map[string][]order.Engine{}
	for _, w := range wants {
		if changes(&w) {
			v.orders.engines[w.Entry] = w.Engines
		}
	}
	report.Fence = v.orders.fence
	Roles.Put(v.Server.Board, report)
	actions, warnings := v.orders.planner.Plan(time.Now(), wants)
	fence := v.orders.fence
	v.mu.Unlock()
	v.warn(wants, warnings)
	var group errgroup.Group
	group.SetLimit(callsAtOnce)
	for _, a := range actions {
		a.Order.Fence = fence
		group.Go(func() error { v.sendOrder(ctx, targets[a.Entry+"/"+a.Engine], a); return nil })
	}
	_ = group.Wait()
}

// changes reports whether a want belongs to a version change and not to roles only.
func changes(w *order.DesiredState) bool { return w.Load != "" || w.Unload != "" }

// wants returns what the engines of changing entries and those with roles are to hold, and their targets.
func (v *Versions) wants(d *catalogue.Document) ([]order.DesiredState, map[string]catalogue.Target) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []order.DesiredState
	targets := map[string]catalogue.Target{}
	for i := range d.Entries {
		e := &d.Entries[i]
		// Roles do not depend on a change; engines that do not take part in it have a want of their own.
		w, changing := v.changeWant(e, d.Revision)
		rest := order.DesiredState{Entry: e.Name}
		for _, t := range e.Targets {
			one := order.Engine{Name: t.Name, Slots: t.Slots, WantedRole: t.Role}
			switch {
			case t.Leaving:
				continue
			case changing && t.Version == e.Version:
				w.Engines = append(w.Engines, one)
			case t.Role != "":
				rest.Engines = append(rest.Engines, one)
			default:
				continue
			}
			targets[e.Name+"/"+t.Name] = t
		}
		if changing {
			list = append(list, w)
		}
		if len(rest.Engines) > 0 {
			list = append(list, rest)
		}
	}
	return list, targets
}

// changeWant returns which version the engines of an entry are to load or drop, if the
// entry is changing by orders; the caller holds the lock.
func (v *Versions) changeWant(e *catalogue.Entry, revision int64) (order.DesiredState, bool) {
	p, ok := version.PlanOf(e, revision)
	c := v.decider.changes[p.ID]
	if !ok || c == nil || c.at < 0 || !ordered(e, p.To) {
		return order.DesiredState{}, false
	}
	w := order.DesiredState{Entry: e.Name, Deadline: p.Deadline, Load: p.To, Adapter: e.VersionNamed(p.To).Adapter}
	switch c.Record.State {
	case version.RolledBack:
		w.Load, w.Unload = "", p.To
	case version.Closed:
		w.Unload = p.From
	default:
	}
	return w, true
}

// poll reads the engines' load reports into the wants.
func (v *Versions) poll(ctx context.Context, wants []order.DesiredState, targets map[string]catalogue.Target) {
	var group errgroup.Group
	group.SetLimit(callsAtOnce)
	for i := range wants {
		for j := range wants[i].Engines {
			e, t := &wants[i].Engines[j], targets[wants[i].Entry+"/"+wants[i].Engines[j].Name]
			group.Go(func() error {
				l := engine.Load{}
				if v.call(ctx, http.MethodGet, t, "/load", nil, &l) == nil {
					e.HasReport, e.Versions, e.Role, e.Running = true, l.Versions, l.Role, l.Running+l.Waiting
				}
				return nil
			})
		}
	}
	_ = group.Wait()
}

// sendOrder sends one order, unless the lease has ended since it was planned.
func (v *Versions) sendOrder(ctx context.Context, t catalogue.Target, a order.PlannedOrder) {
	now := time.Now()
	v.mu.Lock()
	holds := v.holds(now) && v.decider.lease.Fence == a.Order.Fence
	v.mu.Unlock()
	if !holds {
		return
	}
	body, _ := json.Marshal(a.Order)
	err := v.call(ctx, http.MethodPost, t, "/orders", body, nil)
	why := "accepted"
	if err != nil {
		why = err.Error()
		v.mu.Lock()
		v.orders.planner.HandleRefusal(time.Now(), a)
		v.mu.Unlock()
	}
	decision := string(a.Order.Kind)
	if a.Order.Kind == order.Role {
		decision += "_" + a.Order.Role
	}
	v.Server.Events.Write(time.Now(), timeline.Event{
		Kind: "order_sent", Entry: a.Entry, Target: a.Engine, Version: a.Order.Version, Decision: decision, Why: why,
		Inputs: []timeline.Input{{Name: "fence", Value: a.Order.Fence}},
	})
}

// call makes one call to an engine.
func (v *Versions) call(ctx context.Context, method string, t catalogue.Target, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, orderWait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s%s", t.Address, path), bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := v.Server.Client.Do(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, loadAnswerBytes))
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return &statusError{Status: res.StatusCode}
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}

// warn puts the planner's warnings on the records of the changes.
func (v *Versions) warn(wants []order.DesiredState, warnings []order.Warning) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, c := range v.decider.changes {
		for _, w := range wants {
			if w.Entry != c.Plan.Entry {
				continue
			}
			why := ""
			for _, x := range warnings {
				if x.Entry == w.Entry {
					why = x.Why
				}
			}
			if why == "" && c.Record.State != version.Waiting {
				continue
			}
			for _, a := range c.Step(now, version.Event{Kind: version.WarningChanged, Why: why}) {
				c.dirty = true
				v.note(now, c, a)
			}
		}
	}
}
