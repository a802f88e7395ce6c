package feed

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// peerTimeout bounds one question to another instance; instances of one region answer in milliseconds.
const peerTimeout = 200 * time.Millisecond

// Member is an instance as it describes itself in the store.
type Member struct {
	Name       string         `json:"name"`
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"data_centre"`
	// Started is the start of its process.
	Started time.Time `json:"started"`
}

// Caller calls a method of another instance; it is *peer.Network.
type Caller interface {
	Call(ctx context.Context, to netip.AddrPort, method string, in, out any) error
}

// Members knows the other instances; set its exported fields before the first call.
type Members struct {
	// Self is the address at which this instance is asked.
	Self netip.AddrPort
	// Prefix begins the keys of members in the store.
	Prefix string
	// Seeds are addresses to ask when no member is known.
	Seeds  []netip.AddrPort
	Caller Caller

	mu    sync.Mutex
	known map[string]Member
}

// Apply takes in the members of an update. The last members that were known are kept while
// the store is away, since their leases end then.
func (m *Members) Apply(u Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if u.Whole || m.known == nil {
		m.known = map[string]Member{}
	}
	for _, it := range u.Changed {
		v := Member{}
		if strings.HasPrefix(it.Key, m.Prefix) && json.Unmarshal(it.Value, &v) == nil && v.Address.IsValid() {
			m.known[it.Key] = v
		}
	}
	for _, key := range u.Removed {
		delete(m.known, key)
	}
}

// SetSeeds replaces the seeds.
func (m *Members) SetSeeds(seeds []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Seeds = seeds
}

// Count returns the number of instances, this one included.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(len(m.known), 1)
}

// Reads reports whether this instance is one of those that read the store for all: the first
// ones by the hash of their keys, on which instances agree that know the same members.
func (m *Members) Reads() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.Prefix + m.Self.String()
	if _, ok := m.known[self]; !ok {
		return true
	}
	own, before := xxhash.Sum64String(self), 0
	for key := range m.known {
		if key != self && xxhash.Sum64String(key) < own {
			before++
		}
	}
	return before < readers
}

// Others returns the addresses of the other members, and the seeds when there are none.
func (m *Members) Others() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []netip.AddrPort
	for _, v := range m.known {
		list = append(list, v.Address)
	}
	if len(list) <= 1 {
		list = append(list, m.Seeds...)
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	list = slices.Compact(list)
	return slices.DeleteFunc(list, func(a netip.AddrPort) bool { return a == m.Self })
}

// Later asks two random members at a time until one has a copy later than a revision.
func (m *Members) Later(ctx context.Context, after int64) (State, string, bool) {
	list := m.Others()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for len(list) > 0 && ctx.Err() == nil {
		n := min(2, len(list))
		if s, from, ok := m.ask(ctx, list[:n], after); ok {
			return s, from, true
		}
		list = list[n:]
	}
	return State{}, "", false
}

type copyReply struct {
	state State
	from  netip.AddrPort
	ok    bool
}

func (m *Members) ask(ctx context.Context, list []netip.AddrPort, after int64) (State, string, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	replies := make(chan copyReply, len(list))
	for _, to := range list {
		go func() {
			out := LaterReply{}
			err := m.Caller.Call(ctx, to, "feed.Later", &LaterRequest{After: after}, &out)
			replies <- copyReply{state: State{Revision: out.Revision, Items: out.Items}, from: to, ok: err == nil && out.Revision > after}
		}()
	}
	for range list {
		if r := <-replies; r.ok {
			return r.state, r.from.String(), true
		}
	}
	return State{}, "", false
}

// LaterRequest asks for a copy later than a revision.
type LaterRequest struct{ After int64 }

// LaterReply is a whole copy, or revision 0 if there is none later.
type LaterReply struct {
	Revision int64
	Items    []Item
}

// Service answers other instances from a follower's copy.
type Service struct{ Follower *Follower }

// Later answers with the copy if it is later than the one that the asking instance has.
func (s *Service) Later(in *LaterRequest, out *LaterReply) error {
	if st, ok := s.Follower.State(in.After); ok {
		out.Revision, out.Items = st.Revision, st.Items
	}
	return nil
}
