package feed

import (
	"cmp"
	"context"
	"crypto/subtle"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// peerCallTimeout bounds one call to another instance; instances of one region respond in
// milliseconds.
const peerCallTimeout = 200 * time.Millisecond

// restoredMemberGrace is how long members that a restored store lacks are kept: they list themselves
// again within restoreWriteSpread and the time of two calls.
const restoredMemberGrace = 5 * time.Second

// Member describes an instance in the store.
type Member struct {
	Name       string         `json:"name"`
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"data_centre"`
	// StartedAt is when its process started.
	StartedAt time.Time `json:"started"`
	// TunnelAddress is where it carries connections for other instances, or the zero value; TunnelKey proves to
	// others that a connection is from this instance.
	TunnelAddress netip.AddrPort `json:"tunnel,omitzero"`
	TunnelKey     string         `json:"tunnel_key,omitempty"`
	// EvidenceFormat is the latest format of evidence that it reads; 0 is the first one.
	EvidenceFormat int `json:"evidence_format,omitempty"`
}

// PeerCaller calls a method of another instance; it is *peer.Network.
type PeerCaller interface {
	Call(ctx context.Context, to netip.AddrPort, method string, in, out any) error
}

// Membership tracks the other instances; set its exported fields before the first call.
type Membership struct {
	// Self is the address at which other instances call this one.
	Self netip.AddrPort
	// KeyPrefix is the prefix of the members' keys in the store.
	KeyPrefix string
	// Seeds are the addresses to call when no member is known.
	Seeds  []netip.AddrPort
	Caller PeerCaller

	mu      sync.Mutex
	members map[string]Member
	// missing holds the time until which members that a restored store lacks are kept.
	missing map[string]time.Time
}

// Apply applies the members of an update. The last known members are kept while the store is
// unavailable, since their leases expire then, and for a while after it was restored from a copy.
func (m *Membership) Apply(now time.Time, update Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var former map[string]Member
	if update.Restored {
		former, m.missing = maps.Clone(m.members), map[string]time.Time{}
	}
	if update.Full || m.members == nil {
		m.members = map[string]Member{}
	}
	for _, it := range update.Changed {
		member := Member{}
		if strings.HasPrefix(it.Key, m.KeyPrefix) && json.Unmarshal(it.Value, &member) == nil && member.Address.IsValid() {
			m.members[it.Key] = member
			delete(m.missing, it.Key)
		}
	}
	for _, key := range update.Removed {
		delete(m.members, key)
		delete(m.missing, key)
	}
	m.keepMissing(now, former)
}

// keepMissing keeps the members before a restore that the restored store lacks until they had the time
// to list themselves again; the caller holds mu.
func (m *Membership) keepMissing(now time.Time, former map[string]Member) {
	for key, member := range former {
		if _, listed := m.members[key]; !listed {
			m.missing[key] = now.Add(restoredMemberGrace)
			m.members[key] = member
		}
	}
	for key, until := range m.missing {
		if !now.Before(until) {
			delete(m.missing, key)
			delete(m.members, key)
		}
	}
}

// SetSeeds replaces the seeds.
func (m *Membership) SetSeeds(seeds []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Seeds = seeds
}

// Count returns the number of instances, including this one.
func (m *Membership) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(len(m.members), 1)
}

// IsReader reports whether this instance is one of those that read the store for all: those with
// the lowest hashes of their keys. Instances that know the same members agree on them.
func (m *Membership) IsReader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	selfKey := m.KeyPrefix + m.Self.String()
	if _, ok := m.members[selfKey]; !ok {
		return true
	}
	selfHash, lowerHashes := xxhash.Sum64String(selfKey), 0
	for key := range m.members {
		if key != selfKey && xxhash.Sum64String(key) < selfHash {
			lowerHashes++
		}
	}
	return lowerHashes < readerCount
}

// IsAmong reports whether this instance is one of n instances for a key: those with the lowest hashes of
// their keys and the key. An instance that is not listed is none.
func (m *Membership) IsAmong(key string, n int) bool {
	rank := m.Rank(key)
	return rank >= 0 && rank < n
}

// Rank returns the number of instances whose hash of their key and the given one is lower than this instance's, or -1 if
// it is not listed.
func (m *Membership) Rank(key string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	selfKey := m.KeyPrefix + m.Self.String()
	if _, ok := m.members[selfKey]; !ok {
		return -1
	}
	selfHash, lowerHashes := xxhash.Sum64String(key+selfKey), 0
	for other := range m.members {
		if other != selfKey && xxhash.Sum64String(key+other) < selfHash {
			lowerHashes++
		}
	}
	return lowerHashes
}

// FirstByRank returns the addresses of the first n members in the order of Rank for a key.
func (m *Membership) FirstByRank(key string, n int) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	keys := slices.SortedFunc(maps.Keys(m.members), func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(key+a), xxhash.Sum64String(key+b)), cmp.Compare(a, b))
	})
	list := make([]netip.AddrPort, 0, n)
	for _, k := range keys[:min(len(keys), n)] {
		list = append(list, m.members[k].Address)
	}
	return list
}

// Readers returns the instances that read the store for all, without this one.
func (m *Membership) Readers() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	keys := slices.SortedFunc(maps.Keys(m.members), func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	var list []Member
	for _, key := range keys[:min(len(keys), readerCount)] {
		if member := m.members[key]; member.Address != m.Self {
			list = append(list, member)
		}
	}
	return list
}

// OtherAddresses returns the addresses of the other members, and the seeds if there are none.
func (m *Membership) OtherAddresses() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []netip.AddrPort
	for _, member := range m.members {
		list = append(list, member.Address)
	}
	if len(list) <= 1 {
		list = append(list, m.Seeds...)
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	list = slices.Compact(list)
	return slices.DeleteFunc(list, func(a netip.AddrPort) bool { return a == m.Self })
}

// Others returns the other members.
func (m *Membership) Others() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]Member, 0, len(m.members))
	for _, member := range m.members {
		if member.Address != m.Self {
			list = append(list, member)
		}
	}
	return list
}

// HasTunnelKey reports whether a member with an address has a key.
func (m *Membership) HasTunnelKey(address, key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	member, ok := m.members[m.KeyPrefix+address]
	return ok && key != "" && subtle.ConstantTimeCompare([]byte(member.TunnelKey), []byte(key)) == 1
}

// FetchSnapshotAfter asks two random members at a time until one has a copy newer than a version.
func (m *Membership) FetchSnapshotAfter(ctx context.Context, after Version) (Snapshot, string, bool) {
	list := m.OtherAddresses()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for len(list) > 0 && ctx.Err() == nil {
		n := min(2, len(list))
		if snapshot, from, ok := m.fetchFrom(ctx, list[:n], after); ok {
			return snapshot, from, true
		}
		list = list[n:]
	}
	return Snapshot{}, "", false
}

// sourceFanOut is the number of instances of a data centre that fetch changes from the same one.
const sourceFanOut = 4

// source is an instance from which changes are fetched.
type source struct {
	address netip.AddrPort
	// precedes is set if it comes before this instance in the tree of its data centre, so that it never waits for this one.
	precedes bool
	// reads is set if it reads the store for the others.
	reads bool
}

// sources returns the instances from which this one fetches changes, in the order in which it asks them.
//
// The members of a data centre form a tree in the order of their hashes. Each one asks its parent, then the parent's
// parent and so on; the root asks the readers, the one that has announced the changes first. Two random members follow,
// for when those are lost.
func (m *Membership) sources(reader string) []source {
	others := m.OtherAddresses()
	m.mu.Lock()
	defer m.mu.Unlock()
	selfKey := m.KeyPrefix + m.Self.String()
	own, listed := m.members[selfKey]
	keys := slices.SortedFunc(maps.Keys(m.members), func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	readers := keys[:min(len(keys), readerCount)]
	var list []source
	if listed {
		local := slices.DeleteFunc(slices.Clone(keys), func(key string) bool {
			return m.members[key].DataCentre != own.DataCentre || key != selfKey && slices.Contains(readers, key)
		})
		for rank := slices.Index(local, selfKey); rank > 0; {
			rank = (rank - 1) / sourceFanOut
			list = append(list, source{address: m.members[local[rank]].Address, precedes: true})
		}
	}
	first := len(list)
	for _, key := range readers {
		if member := m.members[key]; member.Name == reader {
			list = slices.Insert(list, first, source{address: member.Address, reads: true})
		} else {
			list = append(list, source{address: member.Address, reads: true})
		}
	}
	for range min(2, len(others)) {
		list = append(list, source{address: others[rand.IntN(len(others))]})
	}
	seen := map[netip.AddrPort]bool{m.Self: true}
	return slices.DeleteFunc(list, func(s source) bool {
		known := seen[s.address]
		seen[s.address] = true
		return known
	})
}

// sourceReply is the reply of a source to a request for changes.
type sourceReply struct {
	ChangesReply
	from   source
	failed bool
}

// FetchChanges asks the sources of this instance for changes, a further one when one does not have them or takes long.
//
// A source that waits for the changes itself is waited for only if it comes before this instance in the tree: the first one
// there stops waiting after silentSources and reads the store, while instances that wait for each other would wait until the
// timeout. Once a source has replied that it does not know the changes, only the readers can still know them.
func (m *Membership) FetchChanges(ctx context.Context, request ChangesRequest, reader string) Fetched {
	sources := m.sources(reader)
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	replies := make(chan sourceReply, len(sources))
	next, silent := time.NewTimer(0), time.NewTimer(silentSources)
	defer next.Stop()
	defer silent.Stop()
	// unknown fires once the sources that may still know the changes have had the time to reply.
	unknown := time.NewTimer(catchUpTimeout)
	defer unknown.Stop()
	askedAt := time.Now()
	fetched := Fetched{}
	// pending counts the sources that have to reply, readers the readers among them and those not yet asked, and waiting holds the
	// sources that have replied that they wait.
	pending, readers, waiting := 0, len(onlyReaders(sources)), map[netip.AddrPort]bool{}
	for pending > 0 || len(sources) > 0 {
		select {
		case now := <-next.C:
			if len(sources) == 0 {
				continue
			}
			go m.askSource(ctx, sources[0], &request, replies)
			sources = sources[1:]
			pending++
			askedAt = now
			next.Reset(silentSource)
		case r := <-replies:
			switch {
			case len(r.Data) > 0:
				fetched.Data, fetched.From = r.Data, r.from.address.String()
				return fetched
			case r.Waiting:
				waiting[r.from.address] = true
				if r.from.precedes {
					silent.Reset(silentSources)
				}
				next.Reset(max(time.Until(askedAt.Add(waitingSource)), 0))
				go m.askSource(ctx, r.from, &request, replies)
			default:
				pending--
				delete(waiting, r.from.address)
				if r.from.reads {
					readers--
				}
				if !r.failed && request.until().After(request.after()) {
					if fetched.Unknown == 0 {
						unknown.Reset(silentSource)
						sources = readersFirst(sources)
					}
					fetched.Unknown++
				}
				next.Reset(0)
			}
		case <-unknown.C:
			return fetched
		case <-silent.C:
			return fetched
		case <-ctx.Done():
			return fetched
		}
		fetched.Waiting = len(waiting)
		if fetched.Unknown > 0 && readers == 0 {
			return fetched
		}
	}
	return fetched
}

func onlyReaders(sources []source) []source {
	return slices.DeleteFunc(slices.Clone(sources), func(s source) bool { return !s.reads })
}

// readersFirst returns the sources with the readers before the others.
func readersFirst(sources []source) []source {
	return append(onlyReaders(sources), slices.DeleteFunc(sources, func(s source) bool { return s.reads })...)
}

func (m *Membership) askSource(ctx context.Context, to source, request *ChangesRequest, replies chan<- sourceReply) {
	reply := sourceReply{from: to}
	if m.Caller.Call(ctx, to.address, "feed.Changes", request, &reply.ChangesReply) != nil {
		reply.ChangesReply, reply.failed = ChangesReply{}, true
	}
	replies <- reply
}

type snapshotReply struct {
	snapshot Snapshot
	from     netip.AddrPort
	ok       bool
}

func (m *Membership) fetchFrom(ctx context.Context, list []netip.AddrPort, after Version) (Snapshot, string, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	replies := make(chan snapshotReply, len(list))
	for _, to := range list {
		go func() {
			out := LaterReply{}
			err := m.Caller.Call(ctx, to, "feed.Later", &LaterRequest{After: after.Revision, Era: after.Era}, &out)
			snapshot := Snapshot{Version: Version{Era: out.Era, Revision: out.Revision}, Items: out.Items}
			replies <- snapshotReply{snapshot: snapshot, from: to, ok: err == nil && snapshot.After(after)}
		}()
	}
	for range list {
		if r := <-replies; r.ok {
			return r.snapshot, r.from.String(), true
		}
	}
	return Snapshot{}, "", false
}

// LaterRequest asks for a copy newer than a revision of an era.
type LaterRequest struct {
	After int64
	Era   int64
}

// LaterReply is a complete copy, or has revision 0 if there is no newer one.
type LaterReply struct {
	Revision int64
	Era      int64
	Items    []Item
}

// SnapshotService serves a replicator's copy to other instances.
type SnapshotService struct{ Replicator *Replicator }

// Later returns the copy if it is newer than that of the calling instance.
func (s *SnapshotService) Later(in *LaterRequest, out *LaterReply) error {
	if snapshot, ok := s.Replicator.SnapshotAfter(Version{Era: in.Era, Revision: in.After}); ok {
		out.Revision, out.Era, out.Items = snapshot.Revision, snapshot.Era, snapshot.Items
	}
	return nil
}
