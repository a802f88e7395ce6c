package server

import (
	"slices"
	"time"

	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/order"
)

// Roles is the blackboard key of the engines' roles as the sender of orders last read them.
var Roles = blackboard.Key[RoleReport]{Name: "roles"}

// RoleReport states which of the roles that the catalogue requests are in effect.
type RoleReport struct {
	// Fence is the sender's fencing number; of two reports the one with the higher number is newer.
	Fence int64        `json:"fence"`
	Roles []RoleStatus `json:"roles"`
}

// RoleStatus states how many engines of an entry are to have a role and how many report it.
type RoleStatus struct {
	Entry  string `json:"entry"`
	Role   string `json:"role"`
	Wanted int    `json:"wanted"`
	Held   int    `json:"held"`
	// Unknown counts engines that gave no report, Others names some of those that report another role.
	Unknown int      `json:"unknown,omitempty"`
	Others  []string `json:"others,omitempty"`
}

// nextPoll returns when the engines are to be polled next.
func (v *Versions) nextPoll(revision int64, states []order.DesiredState, targets int) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	wait := time.Duration(targets) * callInterval
	if v.orders.revision == revision && !slices.ContainsFunc(states, func(s order.DesiredState) bool { return isVersionChange(&s) }) {
		settledWait := max(time.Duration(targets)*settledPollInterval, minSettledInterval)
		wait = min(max(wait, orderInterval)<<v.orders.unsettled, settledWait)
		if v.orders.settled {
			wait = settledWait
		}
	}
	return v.orders.polledAt.Add(wait)
}

// recordPoll records whether a poll found all engines in their roles.
func (o *orderState) recordPoll(revision int64, settled bool) {
	if o.revision != revision || o.settled {
		o.unsettled = 0
	} else {
		o.unsettled = min(o.unsettled+1, maxPollDoublings)
	}
	o.revision, o.settled = revision, settled
}

// summariseRoles counts the engines that have the requested roles.
func summariseRoles(states []order.DesiredState) RoleReport {
	out := RoleReport{}
	for _, s := range states {
		for _, e := range s.Engines {
			if e.WantedRole != "" {
				out.addEngine(s.Entry, &e)
			}
		}
	}
	return out
}

func (r *RoleReport) addEngine(entry string, e *order.Engine) {
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

// allSettled reports whether all engines that gave a report have the requested roles.
func (r *RoleReport) allSettled() bool {
	return !slices.ContainsFunc(r.Roles, func(s RoleStatus) bool { return s.Held+s.Unknown < s.Wanted })
}

// wantsRoles reports whether the catalogue in force requests a role for any target.
func (v *Versions) wantsRoles() bool {
	d, ok := Catalogue.Get(v.Server.Board)
	return ok && slices.ContainsFunc(d.Entries, func(e catalogue.Entry) bool {
		return slices.ContainsFunc(e.Targets, func(t catalogue.Target) bool { return t.Role != "" && !t.Leaving })
	})
}
