package duty

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/feed"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	testKey    = "duties/usage"
	separation = 3 * time.Second
	thawSlack  = 300 * time.Millisecond
	tick       = 50 * time.Millisecond
)

var errNoResponse = errors.New("no response")

// storeState is what a restore of the store brings back.
type storeState struct {
	revision int64
	items    map[string]storedItem
	leases   map[int64]storedLease
}

type storedItem struct {
	value    []byte
	revision int64
	lease    int64
}

type storedLease struct {
	ttl   time.Duration
	until time.Time
}

func (s *storeState) clone() storeState {
	return storeState{revision: s.revision, items: maps.Clone(s.items), leases: maps.Clone(s.leases)}
}

// fakeStore is a stand-in for the store, whose clock is that of the cluster.
type fakeStore struct {
	storeState
	now time.Time
	era int64
	// nextLease is not restored with the content, as far as the numbers are not used again.
	nextLease int64
	// copies are those from which the store can be restored, by time.
	copies map[time.Time]storeState
	// late holds the writes that are executed later.
	late []lateWrite
}

type lateWrite struct {
	at  time.Time
	run func()
}

func newFakeStore(now time.Time) *fakeStore {
	return &fakeStore{now: now, nextLease: 1, storeState: storeState{revision: 5, items: map[string]storedItem{}, leases: map[int64]storedLease{}}, copies: map[time.Time]storeState{}}
}

func (s *fakeStore) advance(now time.Time) {
	s.now = now
	for id, l := range s.leases {
		if !now.Before(l.until) {
			s.endLease(id)
		}
	}
	for i := 0; i < len(s.late); i++ {
		if w := s.late[i]; !now.Before(w.at) {
			s.late = append(s.late[:i], s.late[i+1:]...)
			i--
			w.run()
		}
	}
	s.copies[now] = s.clone()
	delete(s.copies, now.Add(-10*time.Second))
}

func (s *fakeStore) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.lease == id {
			s.revision++
			delete(s.items, key)
		}
	}
}

// restore replaces the content by that of an earlier time; the leases run on from now.
func (s *fakeStore) restore(at time.Time) bool {
	c, ok := s.copies[at]
	if !ok {
		return false
	}
	s.storeState = c.clone()
	for id, l := range s.leases {
		s.leases[id] = storedLease{ttl: l.ttl, until: s.now.Add(l.ttl)}
	}
	s.era++
	return true
}

func (s *fakeStore) commit(c feed.Condition, w feed.Write) (feed.Version, error) {
	if _, ok := s.leases[w.Lease.ID]; !ok {
		return feed.Version{}, &feed.LeaseEndedError{Lease: w.Lease.ID}
	}
	if it := s.items[c.Key]; it.revision != c.Revision {
		conflict := &feed.ConflictError{Key: c.Key}
		if it.revision != 0 {
			conflict.Current = []feed.Item{s.item(c.Key)}
		}
		return feed.Version{}, conflict
	}
	s.revision++
	s.items[w.Key] = storedItem{value: w.Value, revision: s.revision, lease: w.Lease.ID}
	if w.Lease.Era != s.era {
		return feed.Version{}, &feed.LeaseEndedError{Lease: w.Lease.ID}
	}
	return feed.Version{Era: s.era, Revision: s.revision}, nil
}

func (s *fakeStore) item(key string) feed.Item {
	it := s.items[key]
	return feed.Item{Key: key, Value: it.value, Revision: it.revision, Era: s.era}
}

// storeClient is the store as one instance reaches it.
type storeClient struct {
	*fakeStore
	cut bool
	// loseCommit makes the next commit get no response; if lateBy is over 0, it is executed later.
	loseCommit bool
	lateBy     time.Duration
	calls      map[string]int
	era        int64
}

func (c *storeClient) call(name string) error {
	if c.calls == nil {
		c.calls = map[string]int{}
	}
	c.calls[name]++
	if c.cut {
		return errNoResponse
	}
	c.era = c.fakeStore.era
	return nil
}

func (c *storeClient) Grant(_ context.Context, ttl time.Duration) (feed.Lease, error) {
	if err := c.call("grant"); err != nil {
		return feed.Lease{}, err
	}
	id := c.nextLease
	c.nextLease++
	c.leases[id] = storedLease{ttl: ttl, until: c.now.Add(ttl)}
	return feed.Lease{ID: id, Era: c.era}, nil
}

func (c *storeClient) Renew(_ context.Context, l feed.Lease) error {
	if err := c.call("renew"); err != nil {
		return err
	}
	held, ok := c.leases[l.ID]
	if ok {
		c.leases[l.ID] = storedLease{ttl: held.ttl, until: c.now.Add(held.ttl)}
	}
	if !ok || l.Era != c.era {
		return &feed.LeaseEndedError{Lease: l.ID}
	}
	return nil
}

func (c *storeClient) Revoke(_ context.Context, l feed.Lease) error {
	if err := c.call("revoke"); err != nil {
		return err
	}
	if l.Era == c.era {
		c.endLease(l.ID)
	}
	return nil
}

func (c *storeClient) Commit(_ context.Context, conditions []feed.Condition, writes []feed.Write) (feed.Version, error) {
	if err := c.call("commit"); err != nil {
		return feed.Version{}, err
	}
	if !c.loseCommit {
		return c.commit(conditions[0], writes[0])
	}
	c.loseCommit = false
	if c.lateBy > 0 {
		c.late = append(c.late, lateWrite{at: c.now.Add(c.lateBy), run: func() { _, _ = c.commit(conditions[0], writes[0]) }})
	} else {
		_, _ = c.commit(conditions[0], writes[0])
	}
	return feed.Version{}, errNoResponse
}

func (c *storeClient) Get(_ context.Context, key string) (feed.Item, error) {
	if err := c.call("get"); err != nil {
		return feed.Item{}, err
	}
	return c.item(key), nil
}

// node is an instance of the cluster.
type node struct {
	*Holder
	client *storeClient
	frozen bool
	// copied is the version of the store that the node knows, after lag.
	copied  feed.Version
	stopped bool
	// pending is a call that a frozen node sends when it is thawed.
	pending int64
}

// cluster is a set of instances with one store and one platform, on one clock.
type cluster struct {
	t     require.TestingT
	now   time.Time
	store *fakeStore
	nodes []*node
	// platformCut and callDelay change what happens to the calls of the nodes.
	platformCut map[int]bool
	callDelay   time.Duration
	waiting     []call
	// accepted are the calls that the platform has executed, and holders who has sent each token.
	accepted []call
	holders  map[int64]int
	refused  int
}

// call is a call to the platform, for the only subject of the duty.
type call struct {
	at    time.Time
	node  int
	token int64
}

func newCluster(t require.TestingT, n int) *cluster {
	c := &cluster{t: t, now: time.Unix(5000, 0), platformCut: map[int]bool{}, holders: map[int64]int{}}
	c.store = newFakeStore(c.now)
	for i := range n {
		c.nodes = append(c.nodes, nil)
		c.start(i)
	}
	return c
}

// start starts a new process of an instance.
func (c *cluster) start(i int) {
	n := &node{client: &storeClient{fakeStore: c.store}}
	n.Holder = &Holder{
		Name: "usage", Key: testKey, Instance: fmt.Sprintf("i%d", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(i)),
		Store: n.client, Era: func() int64 { return n.client.era }, Rank: func() int { return i },
		ThawSlack: thawSlack, Separation: separation, Log: &timeline.Writer{Out: io.Discard, Clock: &timeline.Clock{}}, Metrics: metrics.NewSet(),
		Now: func() time.Time { return c.now },
	}
	c.nodes[i] = n
}

// run lets time pass.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.tick()
	}
}

func (c *cluster) tick() {
	c.now = c.now.Add(tick)
	c.store.advance(c.now)
	for i, n := range c.nodes {
		if n.stopped || n.frozen {
			continue
		}
		if n.pending != 0 {
			c.send(i, n.pending)
			n.pending = 0
		}
		c.copyTo(n)
		n.Step(context.Background(), c.now)
		if term, ok := n.Term(c.now); ok {
			c.send(i, term.Token)
		}
	}
	c.deliver()
}

// copyTo updates a node's copy of the store.
func (c *cluster) copyTo(n *node) {
	version := feed.Version{Era: c.store.era, Revision: c.store.revision}
	if n.client.cut || n.copied == version {
		return
	}
	n.client.era = version.Era
	update := feed.Update{Full: true, Revision: version.Revision, Era: version.Era, Restored: n.copied.Revision != 0 && version.Era > n.copied.Era}
	if it := c.store.item(testKey); it.Revision != 0 {
		update.Changed = []feed.Item{it}
	}
	n.copied = version
	n.Apply(c.now, update)
}

// send makes a call of a node to the platform.
func (c *cluster) send(i int, token int64) {
	if holder, ok := c.holders[token]; ok {
		require.Equal(c.t, holder, i, "two holders with token %d", token)
	}
	c.holders[token] = i
	if c.platformCut[i] {
		c.nodes[i].RecordSilent(c.now, c.now)
		return
	}
	if c.callDelay > 0 {
		c.nodes[i].RecordSilent(c.now, c.now)
		c.waiting = append(c.waiting, call{at: c.now.Add(c.callDelay), node: i, token: token})
		return
	}
	if c.executeCall(call{at: c.now, node: i, token: token}) {
		c.nodes[i].RecordAnswered(c.now)
	} else {
		c.nodes[i].RecordRefused(c.now, token)
	}
}

// deliver executes the calls that were delayed.
func (c *cluster) deliver() {
	var rest []call
	for _, w := range c.waiting {
		if c.now.Before(w.at) {
			rest = append(rest, w)
		} else {
			c.executeCall(w)
		}
	}
	c.waiting = rest
}

// executeCall executes a call and reports whether it was accepted; it checks that holders don't act in the order A, B, A.
func (c *cluster) executeCall(n call) bool {
	if len(c.accepted) > 0 && n.token < c.accepted[len(c.accepted)-1].token {
		c.refused++
		return false
	}
	c.accepted = append(c.accepted, n)
	other := false
	for i := len(c.accepted) - 1; i >= 0 && n.at.Sub(c.accepted[i].at) <= separation; i-- {
		if c.accepted[i].node != n.node {
			other = true
		} else {
			require.False(c.t, other, "instance %d acts again %v after it acted before another one", n.node, n.at.Sub(c.accepted[i].at))
		}
	}
	return true
}

// holder returns the node that holds the duty, or -1.
func (c *cluster) holder() int {
	holder := -1
	for i, n := range c.nodes {
		if _, ok := n.Term(c.now); ok && !n.stopped && !n.frozen {
			require.Equal(c.t, -1, holder, "two holders")
			holder = i
		}
	}
	return holder
}

// await lets time pass until a node holds the duty, and returns it.
func (c *cluster) await(within time.Duration) int { return c.awaitOther(-1, within) }

// awaitOther lets time pass until another node than the given one holds the duty, and returns it.
func (c *cluster) awaitOther(former int, within time.Duration) int {
	for end := c.now.Add(within); c.now.Before(end); {
		c.tick()
		if i := c.holder(); i >= 0 && i != former {
			return i
		}
	}
	require.Fail(c.t, "no holder", "within %v", within)
	return -1
}

func newRunningCluster(t *testing.T, n int) *cluster {
	c := newCluster(t, n)
	require.Equal(t, 0, c.await(2*separation+time.Second))
	c.run(time.Second)
	return c
}
