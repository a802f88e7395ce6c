package server

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"bambooferry.example/bambooferry/pkg/instance"
)

const (
	// listInterval is the time between two reads of the platform's list by one of its readers.
	listInterval = 10 * time.Second
	// minListRetry is the first wait of an instance that knows no other; it doubles up to listInterval.
	minListRetry = 250 * time.Millisecond
	// jobHolders is how many members watch the catalogue, and how many read the list.
	jobHolders      = 2
	listReaderKey   = "platform-list"
	exchangeTimeout = time.Second
	maxJoinAttempts = 6
)

// holdsJob reports whether the instance is one of the few live members that do a job on the service.
func (s *Server) holdsJob(key string) bool {
	v, _ := Members.Get(s.Board)
	for _, m := range instance.RankByRendezvousHash(v.Live(), key, jobHolders) {
		if m.ID == s.ID {
			return true
		}
	}
	return false
}

// isAlone reports whether the instance knows no other member that is not dead.
func (s *Server) isAlone() bool {
	v, _ := Members.Get(s.Board)
	for _, m := range v.Members {
		if m.ID != s.ID && m.State != instance.Dead {
			return false
		}
	}
	return true
}

// runListReader joins the other instances and then reads the platform's list periodically.
func (s *Server) runListReader(ctx context.Context) {
	s.joinMembers(ctx)
	close(s.membership.joined)
	wait := minListRetry
	for sleep(ctx, jitter(wait)) == nil {
		wait = min(2*wait, listInterval)
		if s.isAlone() {
			s.joinMembers(ctx)
			continue
		}
		wait = listInterval
		if s.holdsJob(listReaderKey) {
			s.readList(ctx)
		}
	}
}

// joinMembers exchanges member tables with instances at known addresses until one answers.
func (s *Server) joinMembers(ctx context.Context) {
	addresses := append([]netip.AddrPort(nil), s.Seeds...)
	for _, m := range s.readList(ctx) {
		addresses = append(addresses, m.Address)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for i, a := range addresses {
		if a == s.PeerAddress || ctx.Err() != nil {
			continue
		}
		if s.exchangeTables(ctx, a, false) == nil || i >= maxJoinAttempts {
			break
		}
	}
	s.sendHeartbeats(ctx)
}

func (s *Server) readList(ctx context.Context) []instance.Member {
	if s.Lister == nil {
		return nil
	}
	list, err := s.Lister.ListInstances(ctx)
	if err != nil {
		return nil
	}
	var rows []instance.Member
	for _, l := range list {
		state := instance.Alive
		if l.Leaving {
			state = instance.Leaving
		}
		rows = append(rows, instance.Member{ID: l.ID, Address: l.Address, DataCentre: l.DataCentre, Incarnation: l.Incarnation, State: state})
	}
	m := &s.membership
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.AddProbeCandidates(rows)
	return rows
}

// exchangeTables exchanges member tables with another instance; an instance that joins sends only its own entry.
func (s *Server) exchangeTables(ctx context.Context, to netip.AddrPort, whole bool) error {
	m := &s.membership
	m.mu.Lock()
	in, out := Tables{Notes: m.table.Notes()}, Tables{}
	m.mu.Unlock()
	if !whole {
		in.Notes = in.Notes[:1]
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if err := s.Peers.Call(ctx, to, "Member.Exchange", &in, &out); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.MergeNotes(time.Now(), out.Notes)
	s.publishChanges(time.Now())
	return nil
}

// jitter returns a random wait between half and one and a half of d, so that instances do not act simultaneously.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d+1)
}
