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
	statusParallel = 16
	statusWait     = 500 * time.Millisecond
)

// Status tells what one instance knows, as GET /status answers it.
type Status struct {
	Instance    string `json:"instance"`
	Incarnation int64  `json:"incarnation"`
	DataCentre  string `json:"data_centre"`
	Revision    int64  `json:"revision"`
	Ready       bool   `json:"ready"`
	// Highest is the highest revision that a member has in force.
	Highest int64          `json:"highest_revision"`
	Members []MemberStatus `json:"members"`
	Changes []ChangeStatus `json:"changes"`
	// RoundTripsMicroseconds holds the measured round-trip time to each data centre.
	RoundTripsMicroseconds map[string]int64 `json:"round_trips_microseconds"`
}

// MemberStatus is one member as an instance knows it.
type MemberStatus struct {
	instance.Member
	// Revision is what the member itself answered, or absent if it did not.
	Revision *int64 `json:"revision,omitempty"`
	// LagMillis is how long at least another revision has been in force elsewhere, if a higher one is.
	LagMillis int64 `json:"lag_ms,omitempty"`
	// Load is what the member itself answered, or absent if it did not.
	Load *Load `json:"load,omitempty"`

	age time.Duration
}

// Lags reports whether the member is known to have a lower revision than another.
func (s *Status) Lags(m *MemberStatus) bool { return m.Revision != nil && *m.Revision < s.Highest }

// Status asks all members for the revision they have in force.
func (s *Server) Status(ctx context.Context) Status {
	v, _ := Members.Get(s.Board)
	revision, _ := s.inForce()
	if len(v.Members) == 0 {
		v.Members = []instance.Member{{ID: s.ID, Address: s.PeerAddress, DataCentre: s.DataCentre, Incarnation: s.Incarnation, State: instance.Alive}}
	}
	st := Status{
		Instance: s.ID, Incarnation: s.Incarnation, DataCentre: s.DataCentre, Revision: revision, Ready: s.Ready(),
		Members: make([]MemberStatus, len(v.Members)), Changes: s.changeStatus(), RoundTripsMicroseconds: map[string]int64{},
	}
	distances, _ := RoundTripTimes.Get(s.Board)
	for dc, d := range distances {
		st.RoundTripsMicroseconds[dc] = d.Microseconds()
	}
	var group sync.WaitGroup
	places := make(chan struct{}, statusParallel)
	for i, m := range v.Members {
		st.Members[i].Member = m
		if m.State == instance.Dead {
			continue
		}
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			s.ask(ctx, &st.Members[i])
		})
	}
	group.Wait()
	s.judgeLags(time.Now(), &st)
	return st
}

// judgeLags finds the highest revision and how long each member has been behind a higher one.
//
// Ages are measured by one clock each, so that clocks that differ between instances do not matter.
func (s *Server) judgeLags(now time.Time, st *Status) {
	for i := range st.Members {
		if r := st.Members[i].Revision; r != nil {
			st.Highest = max(st.Highest, *r)
		}
	}
	for i := range st.Members {
		m := &st.Members[i]
		if !st.Lags(m) {
			continue
		}
		lag := s.ageAbove(now, *m.Revision, keepArrivals)
		for j := range st.Members {
			if o := &st.Members[j]; o.Revision != nil && *o.Revision > *m.Revision {
				lag = max(lag, o.age)
			}
		}
		m.LagMillis = lag.Milliseconds()
	}
}

// ask fills in what a member itself tells.
func (s *Server) ask(ctx context.Context, m *MemberStatus) {
	out := Told{}
	if m.ID == s.ID {
		out = s.told()
	} else {
		ctx, cancel := context.WithTimeout(ctx, statusWait)
		defer cancel()
		// A late answer may still be written to the value of the call.
		late := &Told{}
		if s.Peers.Call(ctx, m.Address, "Member.Status", &Ask{}, late) != nil || late.ID != m.ID {
			return
		}
		out = *late
	}
	m.Revision, m.Load, m.age = &out.Revision, &out.Load, out.Age
}

// ServeStatus answers GET /status.
func (s *Server) ServeStatus(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Status(r.Context()))
}
