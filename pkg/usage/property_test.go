package usage

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelItem is a key of the model store.
type modelItem struct {
	value    []byte
	revision int64
}

// modelStore gives out revisions again after a restore, and may execute a write later.
type modelStore struct {
	era, revision int64
	items         map[string]modelItem
	copies        []modelCopy
}

type modelCopy struct {
	revision int64
	items    map[string]modelItem
}

func (s *modelStore) commit(conditions map[string]int64, key string, value []byte) (revision int64, ok bool) {
	for k, revision := range conditions {
		if s.items[k].revision != revision {
			return 0, false
		}
	}
	s.revision++
	s.items[key] = modelItem{value: value, revision: s.revision}
	return s.revision, true
}

const dutyKey = "duty"

func recordKey(era int64) string { return fmt.Sprint("usage/", era) }

// model runs three instances against a store that is restored and a platform that executes calls late.
type model struct {
	rt *rapid.T
	// rng is seeded by rapid, whose own integers are mostly small.
	rng       *rand.Rand
	at        time.Duration
	store     *modelStore
	delayed   []func()
	instances [3]*modelInstance
	reports   map[int64]uint64
}

type modelInstance struct {
	*model
	planner *Planner
	status  Status
	wrong   time.Duration
	// dutyRevision is that of the duty's key under which it believes to hold the duty, or 0.
	dutyRevision int64
}

func (m *model) chance(percent int) bool { return m.rng.IntN(100) < percent }

func (m *model) start(i int) {
	m.instances[i] = &modelInstance{
		model: m, planner: &Planner{Window: testWindow},
		wrong:  time.Duration(m.rng.IntN(401)-200) * time.Millisecond,
		status: Status{Instances: 1, Heard: 1, Era: m.store.era, Bound: 200 * time.Millisecond},
	}
}

func (in *modelInstance) tick() {
	in.status.Now, in.status.True = start.Add(in.at), time.Unix(5000, 0).Add(in.at+in.wrong)
	in.planner.ObserveEra(&in.status)
	in.elect()
	// The counts differ at each instance and time.
	action := in.planner.Next(&in.status, func(int64) map[string]int64 {
		return map[string]int64{"a": in.rng.Int64N(1000)}
	})
	token := in.status.Token
	switch action.Kind {
	case Read:
		in.status.Era = max(in.status.Era, in.store.era)
		if in.chance(20) {
			in.planner.HandleFailure(in.status.Now)
			return
		}
		in.planner.HandleRead(&in.status, token, in.store.era, in.store.records(in.rt))
	case Write:
		in.write(token, action)
	case Send:
		in.send(action.Report)
	case Wait:
	}
}

// elect acquires the duty if its key is missing; the key of another one that still acts may have been removed.
func (in *modelInstance) elect() {
	if in.status.Held && (in.status.Era != in.status.TermEra || in.chance(3)) {
		in.status.Held, in.dutyRevision = false, 0
	}
	if in.status.Held || in.store.items[dutyKey].revision != 0 || !in.chance(40) {
		return
	}
	revision, _ := in.store.commit(nil, dutyKey, nil)
	in.dutyRevision, in.status.Era = revision, in.store.era
	in.status.Held, in.status.Token, in.status.TermEra = true, in.store.era<<36|revision, in.store.era
}

func (s *modelStore) records(rt *rapid.T) []StoredRecord {
	var list []StoredRecord
	for era := int64(0); era <= s.era; era++ {
		if it, ok := s.items[recordKey(era)]; ok {
			r, err := DecodeRecord(it.value)
			if err != nil {
				rt.Fatal(err)
			}
			list = append(list, StoredRecord{Era: era, Revision: it.revision, Record: r})
		}
	}
	return list
}

func (in *modelInstance) write(token int64, action Action) {
	value, _ := json.Marshal(action.Record)
	conditions := map[string]int64{dutyKey: in.dutyRevision, recordKey(in.status.TermEra): action.Revision}
	key := recordKey(in.status.TermEra)
	switch {
	case in.chance(20):
		in.delayed = append(in.delayed, func() { in.store.commit(conditions, key, value) })
		in.planner.HandleFailure(in.status.Now)
		return
	case in.chance(10):
		in.store.commit(conditions, key, value)
		in.planner.HandleFailure(in.status.Now)
		return
	}
	revision, ok := in.store.commit(conditions, key, value)
	in.status.Era = max(in.status.Era, in.store.era)
	if !ok {
		in.planner.HandleFailure(in.status.Now)
		return
	}
	in.planner.HandleWritten(&in.status, token, in.store.era, revision)
}

func (in *modelInstance) send(r Report) {
	hash := r.Hash()
	execute := func() {
		if former, ok := in.reports[r.Window]; ok && former != hash {
			in.rt.Fatalf("two different reports of window %d", r.Window)
		}
		in.reports[r.Window] = hash
	}
	if in.chance(25) {
		in.delayed = append(in.delayed, execute)
		in.planner.HandleSent(in.status.Now, r.Window, false)
		return
	}
	execute()
	in.planner.HandleSent(in.status.Now, r.Window, !in.chance(20))
}

// disturb crashes, restores, executes late and tells what is recorded.
func (m *model) disturb() {
	if m.chance(2) {
		m.start(m.rng.IntN(len(m.instances)))
	}
	if m.chance(6) {
		delete(m.store.items, dutyKey)
	}
	if m.chance(10) {
		m.store.copies = append(m.store.copies, modelCopy{revision: m.store.revision, items: maps.Clone(m.store.items)})
	}
	if n := len(m.store.copies); n > 0 && m.chance(4) {
		c := m.store.copies[max(0, n-1-m.rng.IntN(3))]
		m.store.era++
		m.store.revision, m.store.items = c.revision, maps.Clone(c.items)
	}
	for i := 0; i < len(m.delayed); {
		if m.chance(15) {
			m.delayed[i]()
			m.delayed = append(m.delayed[:i], m.delayed[i+1:]...)
			continue
		}
		i++
	}
	for _, in := range m.instances {
		if m.chance(60) {
			in.status.Era = max(in.status.Era, m.store.era)
		}
		if in.status.Held {
			window, hash := in.planner.Recorded()
			for _, other := range m.instances {
				if other != in && m.chance(50) {
					other.planner.ObserveRecorded(&other.status, window, hash)
				}
			}
		}
	}
}

// Guards against two different reports of one window, under random crashes, ends of leases, lost answers, restores of
// the store that give out revisions again, and late executions by the store and the platform; and against rules so strict
// that nothing is reported.
func TestNeverTwoReportsOfOneWindow(t *testing.T) {
	windows, accepted := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{rt: rt, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)), store: &modelStore{items: map[string]modelItem{}}, reports: map[int64]uint64{}}
		for i := range m.instances {
			m.start(i)
		}
		for m.at < 60*time.Second {
			m.at += time.Duration(50+m.rng.IntN(550)) * time.Millisecond
			m.disturb()
			for _, in := range m.instances {
				in.tick()
			}
		}
		windows += 11
		accepted += len(m.reports)
	})
	t.Logf("%d of %d windows reported", accepted, windows)
	if accepted*2 < windows {
		t.Fatal("less than half of the windows were reported")
	}
}
