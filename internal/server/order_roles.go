package server

import (
	"slices"
	"time"

	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/order"
)

// Roles is the blackboard's place for what the sender of orders last read of engines' roles.
var Roles = blackboard.Key[RoleReport]{Name: "roles"}

// RoleReport tells how the roles that the catalogue asks for stand.
type RoleReport struct {
	// Fence is the sender's fencing number; of two reports the one with the higher number is newer.
	Fence int64        `json:"fence"`
	Roles []RoleStatus `json:"roles"`
}

// RoleStatus tells how many engines of an entry are asked to have a role and report it.
type RoleStatus struct {
	Entry  string `json:"entry"`
	Role   string `json:"role"`
	Wanted int    `json:"wanted"`
	Held   int    `json:"held"`
	// Unknown counts engines that gave no report, Others names some that report another role.
	Unknown int      `json:"unknown,omitempty"`
	Others  []string `json:"others,omitempty"`
}

// pollDue returns when the engines are to be polled next.
func (v *Versions) pollDue(revision int64, wants []order.DesiredState, targets int) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	wait := time.Duration(targets) * callEvery
	if v.orders.revision == revision && !slices.ContainsFunc(wants, func(w order.DesiredState) bool { return changes(&w) }) {
		calm := max(time.Duration(targets)*settledEvery, settledLeast)
		wait = min(max(wait, orderPeriod)<<v.orders.unsettled, calm)
		if v.orders.settled {
			wait = calm
		}
	}
	return v.orders.polled.Add(wait)
}

// noteRoles takes in whether a poll found all engines in their roles.
func (o *orders) noteRoles(revision int64, settled bool) {
	if o.revision != revision || o.settled {
		o.unsettled = 0
	} else {
		o.unsettled = min(o.unsettled+1, maxDoublings)
	}
	o.revision, o.settled = revision, settled
}

// rolesOf sums up which engines have the roles that are asked for.
func rolesOf(wants []order.DesiredState) RoleReport {
	out := RoleReport{}
	for _, w := range wants {
		for _, e := range w.Engines {
			if e.WantedRole != "" {
				out.add(w.Entry, &e)
			}
		}
	}
	return out
}

func (r *RoleReport) add(entry string, e *order.Engine) {
	i := slices.IndexFunc(r.Roles, func(s RoleStatus) bool { return s.Entry == entry && s.Role == e.WantedRole })
	if i < 0 {
		if len(r.Roles) >= maxRoleRows {
			return
		}
		i = len(r.Roles)
		r.Roles = append(r.Roles, RoleStatus{Entry: entry, Role: e.WantedRole})
	}
	s := &r.Roles[i]
	s.Wanted++
	switch {
	case !e.HasReport:
		s.Unknown++
	case e.Role == e.WantedRole:
		s.Held++
	case len(s.Others) < maxRoleNames:
		s.Others = append(s.Others, e.Name)
	}
}

// settled reports whether all engines that gave a report have the roles that are asked for.
func (r *RoleReport) settled() bool {
	return !slices.ContainsFunc(r.Roles, func(s RoleStatus) bool { return s.Held+s.Unknown < s.Wanted })
}

// asksRoles reports whether an entry of the catalogue in force asks for a role.
func (v *Versions) asksRoles() bool {
	d, ok := Catalogue.Get(v.Server.Board)
	return ok && slices.ContainsFunc(d.Entries, func(e catalogue.Entry) bool {
		return slices.ContainsFunc(e.Targets, func(t catalogue.Target) bool { return t.Role != "" && !t.Leaving })
	})
}
