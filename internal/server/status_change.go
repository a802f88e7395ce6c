package server

import (
	"slices"
	"strings"
	"time"

	"bambooferry.example/bambooferry/pkg/version"
)

// NotBegun is the state of a change for which the instance has no record yet.
const NotBegun version.State = "not_begun"

// ChangeStatus is the state of one entry's version change and the reason for it.
type ChangeStatus struct {
	Entry    string        `json:"entry"`
	From     string        `json:"from"`
	To       string        `json:"to"`
	State    version.State `json:"state"`
	Share    float64       `json:"share"`
	Deadline time.Time     `json:"deadline"`
	// Reason is the reason for the last step, Mark the reason why an instance found the new version bad.
	Reason  string `json:"why,omitempty"`
	Mark    string `json:"mark,omitempty"`
	Warning string `json:"warning,omitempty"`
	Decider string `json:"decider,omitempty"`
	// Old and New are the totals of the evidence; OwnFailures counts failures of the new version only.
	Old         version.Counts `json:"old"`
	New         version.Counts `json:"new"`
	OwnFailures uint32         `json:"own_failures"`
}

// RolledBack reports whether the new version was found bad.
func (c *ChangeStatus) RolledBack() bool { return c.State == version.RolledBack || c.Mark != "" }

// changeStatuses lists the changes that the catalogue in force requests, at most version.MaxReports.
func (s *Server) changeStatuses() []ChangeStatus {
	d, ok := Catalogue.Get(s.Board)
	if !ok {
		return []ChangeStatus{}
	}
	views, _ := VersionChanges.Get(s.Board)
	list := []ChangeStatus{}
	for i := range d.Entries {
		p, ok := version.PlanOf(&d.Entries[i], d.Revision)
		if !ok || len(list) >= version.MaxReports {
			continue
		}
		c := ChangeStatus{Entry: p.Entry, From: p.From, To: p.To, State: NotBegun, Deadline: p.Deadline}
		// The record may belong to an earlier change of the entry.
		if w := views[p.Entry]; w.Record.ID == p.ID {
			r := &w.Record
			c.State, c.Share, c.Reason, c.Mark, c.Warning, c.Decider = r.State, r.Share, r.Why, w.Mark, r.Warning, r.Decider
			c.Old, c.New, c.OwnFailures = r.Old, r.New, r.OwnFailures
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b ChangeStatus) int { return strings.Compare(a.Entry, b.Entry) })
	return list
}
