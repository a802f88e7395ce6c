package server

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"bambooferry.example/bambooferry/pkg/instance"
)

const (
	// listEvery is the time between two reads of the platform's list by one of its readers.
	listEvery = 10 * time.Second
	// listRetry is the first wait of an instance that knows no other, doubled up to listEvery.
	listRetry = 250 * time.Millisecond
	// keyHolders is how many members hold the watch, and how many read the list.
	keyHolders   = 2
	listKey      = "platform-list"
	exchangeWait = time.Second
	joinTries    = 6
)

// holds reports whether the instance is one of the few live members that do a job on the service.
func (s *Server) holds(key string) bool {
	v, _ := Members.Get(s.Board)
	for _, m := range instance.RankByRendezvousHash(v.Live(), key, keyHolders) {
		if m.ID == s.ID {
			return true
		}
	}
	return false
}

// alone reports whether the instance knows no other live member.
func (s *Server) alone() bool {
	v, _ := Members.Get(s.Board)
	for _, m := range v.Members {
		if m.ID != s.ID && m.State != instance.Dead {
			return false
		}
	}
	return true
}

// followList joins the other instances and reads the platform's list from time to time.
func (s *Server) followList(ctx context.Context) {
	s.join(ctx)
	close(s.membership.joined)
	wait := listRetry
	for sleep(ctx, jitter(wait)) == nil {
		wait = min(2*wait, listEvery)
		if s.alone() {
			s.join(ctx)
			continue
		}
		wait = listEvery
		if s.holds(listKey) {
			s.readList(ctx)
		}
	}
}

// join asks instances at known addresses for their members until one answers.
func (s *Server) join(ctx context.Context) {
	addresses := append([]netip.AddrPort(nil), s.Seeds...)
	for _, m := range s.readList(ctx) {
		addresses = append(addresses, m.Address)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for i, a := range addresses {
		if a == s.PeerAddress || ctx.Err() != nil {
			continue
		}
		if s.exchange(ctx, a, false) == nil || i >= joinTries {
			break
		}
	}
	s.tick(ctx)
}

func (s *Server) readList(ctx context.Context) []instance.Member {
	if s.Lister == nil {
		return nil
	}
	list, err := s.Lister.Instances(ctx)
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

// exchange swaps tables with another instance; one that joins sends only itself.
func (s *Server) exchange(ctx context.Context, to netip.AddrPort, whole bool) error {
	m := &s.membership
	m.mu.Lock()
	in, out := Tables{Notes: m.table.Notes()}, Tables{}
	m.mu.Unlock()
	if !whole {
		in.Notes = in.Notes[:1]
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeWait)
	defer cancel()
	if err := s.Peers.Call(ctx, to, "Member.Exchange", &in, &out); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.MergeNotes(time.Now(), out.Notes)
	s.announce(time.Now())
	return nil
}

// jitter spreads a wait over half to one and a half of it, so that instances do not act in step.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d+1)
}
