package server

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/instance"
)

const (
	// maxStatusQueries bounds the concurrent queries to members, statusTimeout each query.
	maxStatusQueries = 16
	statusTimeout    = 500 * time.Millisecond
)

// Status is one instance's view of the deployment, as GET /status returns it.
type Status struct {
	Instance    string `json:"instance"`
	Incarnation int64  `json:"incarnation"`
	DataCentre  string `json:"data_centre"`
	Revision    int64  `json:"revision"`
	Ready       bool   `json:"ready"`
	// HighestRevision is the highest revision that any member has in force.
	HighestRevision int64          `json:"highest_revision"`
	Members         []MemberStatus `json:"members"`
	Changes         []ChangeStatus `json:"changes"`
	// RoundTripsMicroseconds holds the measured round-trip time to each data centre.
	RoundTripsMicroseconds map[string]int64 `json:"round_trips_microseconds"`
}

// MemberStatus is one member as an instance sees it.
type MemberStatus struct {
	instance.Member
	// Revision is the revision that the member itself reported, or nil if it did not answer.
	Revision *int64 `json:"revision,omitempty"`
	// LagMillis is a lower bound on how long a higher revision has been in force elsewhere, if there is one.
	LagMillis int64 `json:"lag_ms,omitempty"`
	// Load is the load that the member itself reported, or nil if it did not answer.
	Load *Load `json:"load,omitempty"`

	revisionAge time.Duration
}

// Lags reports whether the member is known to have a lower revision than another.
func (s *Status) Lags(m *MemberStatus) bool {
	return m.Revision != nil && *m.Revision < s.HighestRevision
}

// Status queries all members and returns the deployment's status.
func (s *Server) Status(ctx context.Context) Status {
	v, _ := Members.Get(s.Board)
	revision, _ := s.revisionInForce()
	if len(v.Members) == 0 {
		v.Members = []instance.Member{{ID: s.ID, Address: s.PeerAddress, DataCentre: s.DataCentre, Incarnation: s.Incarnation, State: instance.Alive}}
	}
	st := Status{
		Instance: s.ID, Incarnation: s.Incarnation, DataCentre: s.DataCentre, Revision: revision, Ready: s.Ready(),
		Members: make([]MemberStatus, len(v.Members)), Changes: s.changeStatuses(), RoundTripsMicroseconds: map[string]int64{},
	}
	roundTrips, _ := RoundTripTimes.Get(s.Board)
	for dc, d := range roundTrips {
		st.RoundTripsMicroseconds[dc] = d.Microseconds()
	}
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxStatusQueries)
	for i, m := range v.Members {
		st.Members[i].Member = m
		if m.State == instance.Dead {
			continue
		}
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			s.queryMember(ctx, &st.Members[i])
		})
	}
	group.Wait()
	s.computeLags(time.Now(), &st)
	return st
}

// computeLags finds the highest revision and how long each member has been behind a higher one.
//
// Each age is measured by a single clock, so differences between the instances' clocks do not matter.
func (s *Server) computeLags(now time.Time, st *Status) {
	for i := range st.Members {
		if r := st.Members[i].Revision; r != nil {
			st.HighestRevision = max(st.HighestRevision, *r)
		}
	}
	for i := range st.Members {
		m := &st.Members[i]
		if !st.Lags(m) {
			continue
		}
		lag := s.oldestAgeAbove(now, *m.Revision, maxArrivals)
		for j := range st.Members {
			if o := &st.Members[j]; o.Revision != nil && *o.Revision > *m.Revision {
				lag = max(lag, o.revisionAge)
			}
		}
		m.LagMillis = lag.Milliseconds()
	}
}

// queryMember fills in the member's own report.
func (s *Server) queryMember(ctx context.Context, m *MemberStatus) {
	out := Told{}
	if m.ID == s.ID {
		out = s.ownStatus()
	} else {
		ctx, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		// A late reply may still be written to the value of the call.
		late := &Told{}
		if s.Peers.Call(ctx, m.Address, "Member.Status", &Ask{}, late) != nil || late.ID != m.ID {
			return
		}
		out = *late
	}
	m.Revision, m.Load, m.revisionAge = &out.Revision, &out.Load, out.Age
}

// ServeStatus handles GET /status.
func (s *Server) ServeStatus(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Status(r.Context()))
}
