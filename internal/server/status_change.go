package server

import (
	"slices"
	"strings"
	"time"

	"bambooferry.example/bambooferry/pkg/version"
)

// NotBegun is the state of a change of which the instance has no record yet.
const NotBegun version.State = "not_begun"

// ChangeStatus tells how the version change of one entry stands and why.
type ChangeStatus struct {
	Entry    string        `json:"entry"`
	From     string        `json:"from"`
	To       string        `json:"to"`
	State    version.State `json:"state"`
	Share    float64       `json:"share"`
	Deadline time.Time     `json:"deadline"`
	// Why is the reason of the last step, Mark why an instance found the new version bad.
	Why     string `json:"why,omitempty"`
	Mark    string `json:"mark,omitempty"`
	Warning string `json:"warning,omitempty"`
	Decider string `json:"decider,omitempty"`
	// Old and New sum up the evidence; OwnFailures are those of the new version alone.
	Old         version.Counts `json:"old"`
	New         version.Counts `json:"new"`
	OwnFailures uint32         `json:"own_failures"`
}

// RolledBack reports whether the new version was found bad.
func (c *ChangeStatus) RolledBack() bool { return c.State == version.RolledBack || c.Mark != "" }

// changeStatus lists the changes that the catalogue in force asks for, at most version.MaxReports.
func (s *Server) changeStatus() []ChangeStatus {
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
		// The record of an earlier change of the entry says nothing about this one.
		if w := views[p.Entry]; w.Record.ID == p.ID {
			r := &w.Record
			c.State, c.Share, c.Why, c.Mark, c.Warning, c.Decider = r.State, r.Share, r.Why, w.Mark, r.Warning, r.Decider
			c.Old, c.New, c.OwnFailures = r.Old, r.New, r.OwnFailures
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b ChangeStatus) int { return strings.Compare(a.Entry, b.Entry) })
	return list
}
