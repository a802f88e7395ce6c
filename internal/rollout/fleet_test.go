package rollout

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
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
	// loseAnswers makes the store execute calls without an answer.
	loseAnswers bool
	// slots holds the open slots by pool and version.
	slots map[string]map[string]int
	// result returns how a version handles a request.
	result func(version, route string, since time.Duration) (failed bool, took time.Duration)
	rate   float64
	sent   map[string]int
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
	// dead instances do nothing; cut ones neither reach the store nor get its updates.
	dead, cut bool
	splits    map[string]version.Split
	queue     []feed.Update
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
	m := &member{fleet: f, index: i, splits: map[string]version.Split{}}
	m.Controller = &Controller{
		Instance: "i" + strconv.Itoa(i), Store: m, Pools: m, OrderPrefix: "orders/", RecordPrefix: "records/", DeciderKey: "decider",
		Exposure:    version.ExposureLimit{Share: exposeShare, Slack: badVersionSlack},
		DecodeOrder: decodeTestOrder,
		EncodeStatus: func(o Order, s State) (string, []byte) {
			return "status/" + o.Pool, []byte(string(s) + " " + o.Version)
		},
		IsCandidate: func() bool { return f.candidates()[0] == i || f.candidates()[1] == i },
		SendEvidence: func(data []byte) {
			for _, c := range f.candidates() {
				if c != i && !f.members[c].dead {
					f.members[c].HandleEvidence(f.now, data)
				}
			}
		},
	}
	return m
}

func decodeTestOrder(_ string, data []byte) (Order, error) {
	o := Order{}
	err := json.Unmarshal(data, &o)
	return o, err
}

// candidates returns the first two instances that are alive.
func (f *fleet) candidates() [2]int {
	out, n := [2]int{-1, -1}, 0
	for _, m := range f.members {
		if !m.dead && n < 2 {
			out[n] = m.index
			n++
		}
	}
	return out
}

func (m *member) SetSplit(pool string, s version.Split) { m.splits[pool] = s }

func (m *member) OpenSlots(_ time.Time, pool string) map[string]int { return m.fleet.slots[pool] }

func (m *member) RequestRate(time.Time, string) float64 { return m.fleet.rate }

func (m *member) Grant(_ context.Context, ttl time.Duration) (feed.Lease, error) {
	f := m.fleet
	if f.down || m.cut {
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
			if !m.dead && !m.cut && !f.down {
				for _, u := range m.queue {
					m.Apply(f.now, u)
				}
				m.queue = nil
			}
		}
		f.sendTraffic()
		if f.now.Sub(t0)%stepInterval == 0 {
			for _, m := range f.members {
				if !m.dead {
					m.Step(context.Background(), f.now)
				}
			}
		}
	}
}

func (f *fleet) sendTraffic() {
	for n := f.rate * tickTime.Seconds(); n > 0; n-- {
		m := f.members[f.rng.IntN(len(f.members))]
		if m.dead || n < 1 && f.rng.Float64() > n {
			continue
		}
		s := m.splits[testPool]
		v := "v1"
		if s.UsesNew(strconv.FormatUint(f.rng.Uint64(), 36), true) && f.slots[testPool][s.Version] > 0 {
			v = s.Version
		} else if s.Version == "v1" {
			v = "v0"
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
	total := f.sent["v1"] + f.sent["v2"] - before
	require.LessOrEqual(f.t, float64(f.sent["v2"]), exposeShare*float64(total)+badVersionSlack)
	if len(f.badAt) >= badAnswers {
		require.False(f.t, f.lastNewAt.After(f.badAt[badAnswers-1].Add(rollbackTime)))
	}
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
