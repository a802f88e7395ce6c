package server

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/instance"
)

// memberService is the net/rpc service for other instances.
type memberService struct{ s *Server }

// Tables carries a whole member table.
type Tables struct{ Notes []instance.Note }

// Check returns an error for the first note that is out of bounds.
func (t *Tables) Check() error {
	if len(t.Notes) > instance.MaxMembers+1 {
		return &instance.MessageError{Field: "notes", Value: strconv.Itoa(len(t.Notes)), Rule: "must be at most 1025"}
	}
	for i := range t.Notes {
		if err := t.Notes[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// Ask requests an instance's own status.
type Ask struct{}

// Told is an instance's own status, the reply to Ask.
type Told struct {
	ID          string
	Incarnation int64
	Revision    int64
	// Age is how long the revision has been in force at the instance.
	Age  time.Duration
	Load Load
}

// Check returns an error for the first field of a status that is out of bounds.
func (t *Told) Check() error {
	switch {
	case t.Revision < 0:
		return &instance.MessageError{Field: "revision", Value: strconv.FormatInt(t.Revision, 10), Rule: "must not be negative"}
	case t.Age < 0:
		return &instance.MessageError{Field: "age", Value: t.Age.String(), Rule: "must not be negative"}
	case len(t.Load.Slots) > maxPoolKinds:
		return &instance.MessageError{Field: "load.slots", Value: strconv.Itoa(len(t.Load.Slots)), Rule: "must be at most 8"}
	}
	return nil
}

// Beat handles a heartbeat and replies with one.
func (m *memberService) Beat(in, out *instance.Beat) error {
	s := m.s
	revision, content := s.revisionInForce()
	now := time.Now()
	s.membership.mu.Lock()
	s.membership.table.HandleBeat(now, in)
	*out = s.membership.table.NextBeat(in.From.ID, revision, content)
	s.publishChanges(now)
	s.membership.mu.Unlock()
	s.compareRevision(now, in)
	return nil
}

// Exchange merges another instance's table and replies with this one's.
func (m *memberService) Exchange(in, out *Tables) error {
	s := m.s
	s.membership.mu.Lock()
	defer s.membership.mu.Unlock()
	s.membership.table.MergeNotes(time.Now(), in.Notes)
	out.Notes = s.membership.table.Notes()
	s.publishChanges(time.Now())
	return nil
}

// Catalogue replies with the revision in force if it is newer than the caller's.
func (m *memberService) Catalogue(in *Fetch, out *Fetched) error {
	kept, _ := catalogueForms.Get(m.s.Board)
	var err error
	*out, err = buildFetched(kept, *in)
	return errors.Wrap(err, "pack catalogue")
}

// Status replies with the instance's own status.
func (m *memberService) Status(_ *Ask, out *Told) error {
	*out = m.s.ownStatus()
	return nil
}

func (s *Server) ownStatus() Told {
	revision, _ := s.revisionInForce()
	return Told{ID: s.ID, Incarnation: s.Incarnation, Revision: revision, Age: s.revisionAge(time.Now()), Load: s.currentLoad()}
}
