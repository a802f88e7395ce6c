package rollout

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/feed"
	"bambooferry.example/bambooferry/pkg/version"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	testPool = "pool"
	tickTime = 100 * time.Millisecond
	// exposeShare, badVersionSlack, badAnswers and rollbackTime are the bounds of the platform's pages.
	exposeShare     = 0.1
	badVersionSlack = 50
	badAnswers      = 50
	rollbackTime    = 5 * time.Second
)

// fleet simulates instances before a store, with traffic to two versions of a pool.
type fleet struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	members  []*member
	items    map[string]feed.Item
	leases   map[int64]time.Time
	leaseOf  map[string]int64
	revision int64
	era      int64
	down     bool
	// lossRate is the share of the messages between instances that are lost.
	lossRate float64
	// noDecider is set if no instance may decide.
	noDecider bool
	// noCandidates is set if no instance ranks among those that may decide at once.
	noCandidates bool
	// loseAnswers makes the store execute calls without an answer.
	loseAnswers bool
	// slots holds the open slots by pool and version.
	slots map[string]map[string]int
	// result returns how a version handles a request.
	result func(version, route string, since time.Duration) (failed bool, took time.Duration)
	rate   float64
	sent   map[string]int
	// messages are those on their way between instances.
	messages []func()
	// badAt holds when the new version gave each bad answer, and lastNewAt when it last got a request.
	badAt     []time.Time
	lastNewAt time.Time
	orderedAt time.Time
	statuses  []string
}

// member is one instance.
type member struct {
	*Controller
	fleet *fleet
	index int
	// dead instances do nothing; cut ones neither reach the store nor get its updates, and isolated ones get no messages of
	// others. Frozen ones do nothing until they are not any more.
	dead, cut, isolated, frozen bool
	splits                      map[string]version.Split
	allowances                  map[string]*version.Allowance
	changes                     map[string]uint64
	queue                       []feed.Update
	diedAt, nextStep            time.Time
}

func newFleet(t *testing.T, seed uint64, n int, rate float64) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: t0, items: map[string]feed.Item{}, leases: map[int64]time.Time{}, leaseOf: map[string]int64{}, era: 1, rate: rate,
		slots: map[string]map[string]int{testPool: {"v1": 30}}, sent: map[string]int{},
	}
	for i := range n {
		f.members = append(f.members, f.newMember(i))
	}
	return f
}

func (f *fleet) newMember(i int) *member {
	m := &member{fleet: f, index: i, splits: map[string]version.Split{}, allowances: map[string]*version.Allowance{}, changes: map[string]uint64{}}
	m.Controller = &Controller{
		Instance: "i" + strconv.Itoa(i), Address: testAddress(i), Incarnation: f.now.UnixNano() + int64(i),
		Store: m, Pools: m, OrderPrefix: "orders/", RecordPrefix: "records/", DeciderKey: "decider",
		Exposure:    version.ExposureLimit{Share: exposeShare, Slack: badVersionSlack},
		DecodeOrder: decodeTestOrder,
		EncodeStatus: func(o Order, s State) (string, []byte) {
			return "status/" + o.Pool, []byte(string(s) + " " + o.Version)
		},
		IsCandidate: func() bool { return slices.Contains(f.candidates(), i) },
		Candidates: func(decider string) (list []Candidate) {
			for _, other := range f.members {
				if other.index != i && (slices.Contains(f.candidates(), other.index) || other.Instance == decider) {
					list = append(list, Candidate{Address: testAddress(other.index), Format: EvidenceFormat})
				}
			}
			return list
		},
		Place: func() (n, rank int) {
			if f.noDecider {
				return len(f.members), -1
			}
			return len(f.members), i
		},
		Messenger: m,
	}
	return m
}

func testAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7200)
}

// deliver passes a message to another instance unless it is lost.
func (m *member) deliver(to netip.AddrPort, handle func(c *Controller)) {
	f := m.fleet
	other := f.members[to.Addr().As4()[3]]
	if other.dead || other.frozen || other.isolated || m.isolated || f.rng.Float64() < f.lossRate {
		return
	}
	f.messages = append(f.messages, func() { handle(other.Controller) })
}

func (m *member) SendEvidence(data []byte, to netip.AddrPort) {
	m.deliver(to, func(c *Controller) { c.HandleEvidence(m.fleet.now, data) })
}

func (m *member) SendReport(data []byte, to netip.AddrPort) {
	m.deliver(to, func(c *Controller) { c.HandleReport(m.fleet.now, data) })
}

func (m *member) SendConfirmation(data []byte, to netip.AddrPort) {
	m.deliver(to, func(c *Controller) { c.HandleConfirmation(m.fleet.now, data) })
}

func decodeTestOrder(_ string, data []byte) (Order, error) {
	o := Order{}
	err := json.Unmarshal(data, &o)
	return o, err
}

// candidates returns the first two instances that are listed; dead ones are unlisted after memberTTL.
func (f *fleet) candidates() []int {
	var list []int
	if f.noDecider || f.noCandidates {
		return nil
	}
	for _, m := range f.members {
		if (!m.dead || f.now.Sub(m.diedAt) < memberTTL) && len(list) < 2 {
			list = append(list, m.index)
		}
	}
	return list
}

// memberTTL is how long an instance stays listed after its death.
const memberTTL = 30 * time.Second

// kill ends an instance.
func (m *member) kill() { m.dead, m.diedAt = true, m.fleet.now }

// restart replaces an instance's process by a new one, which reads the store.
func (f *fleet) restart(i int) {
	f.members[i] = f.newMember(i)
	f.members[i].readStore()
}

func (m *member) readStore() {
	update := feed.Update{Full: true, Revision: m.fleet.revision, Era: m.fleet.era}
	for _, it := range m.fleet.items {
		update.Changed = append(update.Changed, it)
	}
	m.queue = []feed.Update{update}
}

func (m *member) SetSplit(pool string, s version.Split) {
	m.splits[pool] = s
	if m.allowances[pool] == nil || m.changes[pool] != s.Change {
		m.allowances[pool], m.changes[pool] = version.NewAllowance(s.Limit, m.fleet.rng.Uint64()), s.Change
	}
}

func (m *member) Exposure(pool string) (sent, exposed float64) {
	if m.allowances[pool] == nil {
		return 0, 0
	}
	return m.allowances[pool].Counts()
}

func (m *member) OpenSlots(_ time.Time, pool string) map[string]int { return m.fleet.slots[pool] }

func (m *member) RequestRate(time.Time, string) float64 {
	return m.fleet.rate / float64(len(m.fleet.members))
}

func (m *member) Grant(_ context.Context, ttl time.Duration) (feed.Lease, error) {
	f := m.fleet
	if f.down || m.cut || f.noDecider {
		return feed.Lease{}, context.DeadlineExceeded
	}
	f.revision++
	f.leases[f.revision] = f.now.Add(ttl)
	return feed.Lease{ID: f.revision, Era: f.era}, nil
}

func (m *member) Renew(_ context.Context, lease feed.Lease) error {
	f := m.fleet
	if f.down || m.cut {
		return context.DeadlineExceeded
	}
	if _, ok := f.leases[lease.ID]; !ok || lease.Era != f.era {
		return &feed.LeaseEndedError{Lease: lease.ID}
	}
	f.leases[lease.ID] = f.now.Add(leaseTTL)
	return nil
}

func (m *member) Revoke(_ context.Context, lease feed.Lease) error {
	f := m.fleet
	if f.down || m.cut || lease.Era != f.era {
		return context.DeadlineExceeded
	}
	f.endLease(lease.ID)
	return nil
}

func (m *member) Commit(_ context.Context, conditions []feed.Condition, writes []feed.Write) (feed.Version, error) {
	f := m.fleet
	if f.down || m.cut {
		return feed.Version{}, context.DeadlineExceeded
	}
	for _, c := range conditions {
		if f.items[c.Key].Revision != c.Revision {
			conflict := &feed.ConflictError{Key: c.Key}
			for _, c := range conditions {
				if it, ok := f.items[c.Key]; ok {
					conflict.Current = append(conflict.Current, it)
				}
			}
			return feed.Version{}, conflict
		}
	}
	update := feed.Update{Era: f.era}
	for _, w := range writes {
		// Each write has a revision of its own.
		f.revision++
		update.Revision = f.revision
		update.Changed = append(update.Changed, f.put(w.Key, w.Value, w.Lease.ID))
	}
	f.notify(update)
	if f.loseAnswers {
		return feed.Version{}, context.DeadlineExceeded
	}
	return feed.Version{Era: f.era, Revision: f.revision}, nil
}

// put writes a key at the present revision.
func (f *fleet) put(key string, value []byte, lease int64) feed.Item {
	it := feed.Item{Key: key, Value: value, Revision: f.revision, Era: f.era}
	f.items[key] = it
	if lease != 0 {
		f.leaseOf[key] = lease
	}
	if strings.HasPrefix(key, "status/") {
		if s := string(value); len(f.statuses) == 0 || f.statuses[len(f.statuses)-1] != s {
			f.statuses = append(f.statuses, s)
		}
	}
	return it
}

// notify queues an update for all instances that the store reaches.
func (f *fleet) notify(update feed.Update) {
	for _, m := range f.members {
		if !m.dead {
			m.queue = append(m.queue, update)
		}
	}
}

func (f *fleet) endLease(id int64) {
	delete(f.leases, id)
	for key, lease := range f.leaseOf {
		if lease == id {
			f.revision++
			delete(f.items, key)
			delete(f.leaseOf, key)
			f.notify(feed.Update{Removed: []string{key}, Revision: f.revision, Era: f.era})
		}
	}
}

func (f *fleet) order(pool, v string, interval time.Duration) {
	data, err := json.Marshal(Order{Pool: pool, Version: v, Interval: interval})
	require.NoError(f.t, err)
	f.revision++
	f.orderedAt = f.now
	f.notify(feed.Update{Changed: []feed.Item{f.put("orders/"+pool, data, 0)}, Revision: f.revision, Era: f.era})
}

// copy and restore replace the store's content with an earlier one.
func (f *fleet) copy() storeCopy {
	return storeCopy{items: maps.Clone(f.items), leaseOf: maps.Clone(f.leaseOf), revision: f.revision}
}

// storeCopy is what a store can be restored from.
type storeCopy struct {
	items    map[string]feed.Item
	leaseOf  map[string]int64
	revision int64
}

func (f *fleet) restore(from storeCopy) {
	items, revision := from.items, from.revision
	f.era++
	f.items, f.revision, f.leases, f.leaseOf = map[string]feed.Item{}, revision, map[int64]time.Time{}, map[string]int64{}
	for key, lease := range from.leaseOf {
		f.leaseOf[key], f.leases[lease] = lease, f.now.Add(leaseTTL)
	}
	update := feed.Update{Full: true, Restored: true, OutageEndedAt: f.now, Revision: revision, Era: f.era}
	for key, it := range items {
		it.Era = f.era
		f.items[key] = it
		update.Changed = append(update.Changed, it)
	}
	f.notify(update)
}

// run simulates some time.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tickTime) {
		for id, until := range f.leases {
			if !f.down && !f.now.Before(until) {
				f.endLease(id)
			}
		}
		for _, m := range f.members {
			if !m.dead && !m.frozen && !m.cut && !f.down {
				for _, u := range m.queue {
					m.Apply(f.now, u)
				}
				m.queue = nil
			}
		}
		f.sendTraffic()
		for _, m := range f.members {
			if !m.dead && !m.frozen && !f.now.Before(m.nextStep) {
				m.Step(context.Background(), f.now)
				m.nextStep = f.now.Add(m.stepDelay(f.now))
			}
		}
		f.deliverMessages()
	}
}

// deliverMessages delivers the messages that were on their way at the call; answers follow with the next call.
func (f *fleet) deliverMessages() {
	list := f.messages
	f.messages = nil
	for _, deliver := range list {
		deliver()
	}
}

func (f *fleet) sendTraffic() {
	for n := f.rate * tickTime.Seconds(); n > 0; n-- {
		m := f.members[f.rng.IntN(len(f.members))]
		if m.dead || m.frozen || n < 1 && f.rng.Float64() > n {
			continue
		}
		s, a := m.splits[testPool], m.allowances[testPool]
		v := "v1"
		usesNew := s.Change != 0 && s.UsesNew(f.now, a, true) && f.slots[testPool][s.Version] > 0
		if usesNew {
			v = s.Version
		} else if s.Version == "v1" {
			v = "v0"
		}
		if s.Change != 0 {
			a.Choose(s.ShareAt(f.now), true, usesNew)
			a.CountSent()
		}
		route := "r" + strconv.Itoa(f.rng.IntN(3))
		failed, took := f.result(v, route, f.now.Sub(f.orderedAt))
		f.sent[v]++
		if v == "v2" {
			f.lastNewAt = f.now
			if failed || took > 3*goodTime {
				f.badAt = append(f.badAt, f.now)
			}
		}
		m.Observe(f.now, testPool, version.Result{Version: v, Route: route, Ended: true, Failed: failed, FirstToken: took, Expected: 4 * goodTime})
	}
}

const goodTime = 40 * time.Millisecond

// good returns the result of a sound version.
func (f *fleet) good() (bool, time.Duration) {
	return f.rng.Float64() < 0.01, time.Duration(float64(goodTime) * (0.6 + 0.8*f.rng.Float64()))
}

// requireExposureWithinBounds checks the bounds for a bad version.
func (f *fleet) requireExposureWithinBounds(before int) {
	f.requireVersionExposureWithinBounds("v2", before)
	if len(f.badAt) >= badAnswers {
		require.False(f.t, f.lastNewAt.After(f.badAt[badAnswers-1].Add(rollbackTime)))
	}
}

// requireVersionExposureWithinBounds checks how many requests a bad version got, of all since before.
func (f *fleet) requireVersionExposureWithinBounds(version string, before int) {
	total := f.sent["v1"] + f.sent[version] - before
	require.LessOrEqual(f.t, float64(f.sent[version]), exposeShare*float64(total)+badVersionSlack)
}

func (f *fleet) lastStatus() string {
	if len(f.statuses) == 0 {
		return ""
	}
	return f.statuses[len(f.statuses)-1]
}

func removal(key string, f *fleet) feed.Update {
	return feed.Update{Removed: []string{key}, Revision: f.revision, Era: f.era}
}
