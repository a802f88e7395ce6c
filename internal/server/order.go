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
	orderInterval = 250 * time.Millisecond
	// orderTimeout bounds a call to an engine. Together with the lease's duration it gives the time
	// after which no order of a former sender can arrive.
	orderTimeout = time.Second
	// maxLoadReportBytes bounds a load report.
	maxLoadReportBytes = 64 << 10
	// maxConcurrentCalls bounds the concurrent calls to engines, and callInterval their
	// mean rate, so that control traffic stays small with hundreds of engines.
	maxConcurrentCalls = 16
	callInterval       = 20 * time.Millisecond
	// settledPollInterval is the time for each engine between two polls while all engines have
	// their roles and no version is changing: 5 calls a second, as engines keep their roles permanently.
	// Until then the time doubles with each poll, at most maxPollDoublings times, since an
	// engine may refuse its role permanently.
	settledPollInterval = 200 * time.Millisecond
	minSettledInterval  = 5 * time.Second
	maxPollDoublings    = 16
)

// orderState is the state of the sender of orders about the engines; the lock of Versions guards it.
type orderState struct {
	planner  order.Planner
	fence    int64
	polledAt time.Time
	engines  map[string][]order.Engine
	// revision is the catalogue's revision at the last poll. settled is set if all engines that gave a
	// report had their roles at that poll. unsettled counts the successive polls that followed an unsettled
	// poll of the same revision.
	revision  int64
	settled   bool
	unsettled int
}

const (
	// maxRoleRows and maxRoleNames bound a RoleReport.
	maxRoleRows  = 64
	maxRoleNames = 8
)

// needsLoadOrders reports whether engines of the entry are ordered to load the new version.
//
// They are not if the catalogue already has targets of that version.
func needsLoadOrders(e *catalogue.Entry, to string) bool {
	return e.Kind == catalogue.Model && !slices.ContainsFunc(e.Targets, func(t catalogue.Target) bool { return t.Version == to && !t.Leaving })
}

// capacityEvent returns the event that states which share of the requests the targets of the new version can take.
func (v *Versions) capacityEvent(p version.Plan) version.Event {
	d, _ := Catalogue.Get(v.Server.Board)
	ev := version.Event{Kind: version.CapacityChanged, Capacity: 1}
	if d == nil || d.Entry(p.Entry) == nil || !needsLoadOrders(d.Entry(p.Entry), p.To) {
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

// processOrders polls the engines, plans orders and sends them, while this instance holds the lease.
func (v *Versions) processOrders(ctx context.Context) {
	now := time.Now()
	d, ok := Catalogue.Get(v.Server.Board)
	v.mu.Lock()
	isDecider := ok && v.holdsLease(now)
	if v.orders.fence != v.decider.lease.Fence {
		limits := order.DefaultLimits()
		limits.MaxConcurrentLoads, limits.Grace = v.MaxConcurrentLoads, v.LeaseDuration+orderTimeout
		v.orders = orderState{fence: v.decider.lease.Fence, planner: order.Planner{Limits: limits, FenceAcquired: v.decider.leaseSince}}
	}
	v.mu.Unlock()
	if !isDecider {
		Roles.Put(v.Server.Board, RoleReport{})
		return
	}
	states, targets := v.desiredStates(d)
	if len(states) == 0 {
		Roles.Put(v.Server.Board, RoleReport{})
		return
	}
	if now.Before(v.nextPoll(d.Revision, states, len(targets))) {
		return
	}
	v.pollEngines(ctx, states, targets)
	report := summariseRoles(states)
	v.mu.Lock()
	v.orders.recordPoll(d.Revision, report.allSettled())
	v.orders.polledAt = now
	v.orders.engines = map[string][]order.Engine{}
	for _, s := range states {
		if isVersionChange(&s) {
			v.orders.engines[s.Entry] = s.Engines
		}
	}
	report.Fence = v.orders.fence
	Roles.Put(v.Server.Board, report)
	planned, warnings := v.orders.planner.Plan(time.Now(), states)
	fence := v.orders.fence
	v.mu.Unlock()
	v.recordWarnings(states, warnings)
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, p := range planned {
		p.Order.Fence = fence
		group.Go(func() error { v.sendOrder(ctx, targets[p.Entry+"/"+p.Engine], p); return nil })
	}
	_ = group.Wait()
}

// isVersionChange reports whether a desired state belongs to a version change and not only to roles.
func isVersionChange(s *order.DesiredState) bool { return s.LoadVersion != "" || s.UnloadVersion != "" }

// desiredStates returns the desired state of the engines of changing entries and of those with roles, and their targets.
func (v *Versions) desiredStates(d *catalogue.Document) ([]order.DesiredState, map[string]catalogue.Target) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []order.DesiredState
	targets := map[string]catalogue.Target{}
	for i := range d.Entries {
		e := &d.Entries[i]
		// Roles do not depend on a change; engines that do not take part in it get a separate desired state.
		s, changing := v.changeState(e, d.Revision)
		rest := order.DesiredState{Entry: e.Name}
		for _, t := range e.Targets {
			one := order.Engine{Name: t.Name, Slots: t.Slots, WantedRole: t.Role}
			switch {
			case t.Leaving:
				continue
			case changing && t.Version == e.Version:
				s.Engines = append(s.Engines, one)
			case t.Role != "":
				rest.Engines = append(rest.Engines, one)
			default:
				continue
			}
			targets[e.Name+"/"+t.Name] = t
		}
		if changing {
			list = append(list, s)
		}
		if len(rest.Engines) > 0 {
			list = append(list, rest)
		}
	}
	return list, targets
}

// changeState returns which version the engines of an entry must load or unload, if the
// entry's change needs load orders; the caller holds the lock.
func (v *Versions) changeState(e *catalogue.Entry, revision int64) (order.DesiredState, bool) {
	p, ok := version.PlanOf(e, revision)
	c := v.decider.changes[p.ID]
	if !ok || c == nil || c.storeVersion < 0 || !needsLoadOrders(e, p.To) {
		return order.DesiredState{}, false
	}
	s := order.DesiredState{Entry: e.Name, Deadline: p.Deadline, LoadVersion: p.To, Adapter: e.VersionNamed(p.To).Adapter}
	switch c.Record.State {
	case version.RolledBack:
		s.LoadVersion, s.UnloadVersion = "", p.To
	case version.Closed:
		s.UnloadVersion = p.From
	default:
	}
	return s, true
}

// pollEngines reads the engines' load reports into the desired states.
func (v *Versions) pollEngines(ctx context.Context, states []order.DesiredState, targets map[string]catalogue.Target) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for i := range states {
		for j := range states[i].Engines {
			e, t := &states[i].Engines[j], targets[states[i].Entry+"/"+states[i].Engines[j].Name]
			group.Go(func() error {
				l := engine.Load{}
				if v.callEngine(ctx, http.MethodGet, t, "/load", nil, &l) == nil {
					e.HasReport, e.Versions, e.Role, e.Running = true, l.Versions, l.Role, l.Running+l.Waiting
				}
				return nil
			})
		}
	}
	_ = group.Wait()
}

// sendOrder sends one order unless the lease has ended since the order was planned.
func (v *Versions) sendOrder(ctx context.Context, t catalogue.Target, p order.PlannedOrder) {
	now := time.Now()
	v.mu.Lock()
	isDecider := v.holdsLease(now) && v.decider.lease.Fence == p.Order.Fence
	v.mu.Unlock()
	if !isDecider {
		return
	}
	body, _ := json.Marshal(p.Order)
	err := v.callEngine(ctx, http.MethodPost, t, "/orders", body, nil)
	result := "accepted"
	if err != nil {
		result = err.Error()
		v.mu.Lock()
		v.orders.planner.HandleRefusal(time.Now(), p)
		v.mu.Unlock()
	}
	decision := string(p.Order.Kind)
	if p.Order.Kind == order.Role {
		decision += "_" + p.Order.Role
	}
	v.Server.Events.Write(time.Now(), timeline.Event{
		Kind: "order_sent", Entry: p.Entry, Target: p.Engine, Version: p.Order.Version, Decision: decision, Why: result,
		Inputs: []timeline.Input{{Name: "fence", Value: p.Order.Fence}},
	})
}

// callEngine sends one HTTP request to an engine.
func (v *Versions) callEngine(ctx context.Context, method string, t catalogue.Target, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
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
	data, err := io.ReadAll(io.LimitReader(res.Body, maxLoadReportBytes))
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

// recordWarnings adds the planner's warnings to the records of the changes.
func (v *Versions) recordWarnings(states []order.DesiredState, warnings []order.Warning) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, c := range v.decider.changes {
		for _, s := range states {
			if s.Entry != c.Plan.Entry {
				continue
			}
			reason := ""
			for _, x := range warnings {
				if x.Entry == s.Entry {
					reason = x.Why
				}
			}
			if reason == "" && c.Record.State != version.Waiting {
				continue
			}
			for _, a := range c.Step(now, version.Event{Kind: version.WarningChanged, Why: reason}) {
				c.dirty = true
				v.writeStepEvent(now, c, a)
			}
		}
	}
}
