package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testInterval = 14 * time.Second

// startChange warms up the references of the old version, gives the order and starts the new targets.
func startChange(t *testing.T, seed uint64, bad func(f *fleet, route string, since time.Duration) (bool, time.Duration)) (f *fleet, before int) {
	f = newFleet(t, seed, 8, 120)
	f.result = func(v, route string, since time.Duration) (bool, time.Duration) {
		if v == "v2" && bad != nil {
			return bad(f, route, since)
		}
		return f.good()
	}
	f.run(8 * time.Second)
	before = f.sent["v1"]
	f.order(testPool, "v2", testInterval)
	f.run(500 * time.Millisecond)
	f.slots[testPool]["v2"] = 30
	return f, before
}

// Guards against a good version that is not in use by the end of its interval, also when what decides fails.
func TestGoodVersionSucceeds(t *testing.T) {
	for name, disturb := range map[string]func(f *fleet){
		"calm": func(*fleet) {},
		"decider killed": func(f *fleet) {
			f.run(3 * time.Second)
			f.members[0].kill()
		},
		"both candidates killed": func(f *fleet) {
			f.run(3 * time.Second)
			f.members[0].kill()
			f.members[1].kill()
		},
		"decider cut off from the store": func(f *fleet) {
			f.run(3 * time.Second)
			f.members[0].cut = true
			f.run(4 * time.Second)
			f.members[0].cut = false
		},
		"store down": func(f *fleet) {
			f.run(3 * time.Second)
			f.down = true
			f.run(3 * time.Second)
			f.down = false
		},
		"answers lost": func(f *fleet) {
			f.run(2 * time.Second)
			f.loseAnswers = true
			f.run(3 * time.Second)
			f.loseAnswers = false
		},
		"restored from a copy": func(f *fleet) {
			f.run(2 * time.Second)
			saved := f.copy()
			f.run(2 * time.Second)
			f.restore(saved)
		},
		"restored from a copy without the order": func(f *fleet) {
			f.run(3 * time.Second)
			f.restore(storeCopy{revision: 1})
			f.run(500 * time.Millisecond)
			at := f.orderedAt
			f.order(testPool, "v2", testInterval)
			f.orderedAt = at
		},
		"restored twice": func(f *fleet) {
			f.run(2 * time.Second)
			saved := f.copy()
			f.run(time.Second)
			f.restore(saved)
			f.run(time.Second)
			f.restore(saved)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f, _ := startChange(t, 1, nil)
			disturb(f)
			f.run(f.orderedAt.Add(testInterval).Sub(f.now))
			require.Equal(t, "succeeded v2", f.lastStatus(), "%v", f.statuses)
			require.Contains(t, f.statuses, "running v2")
			old := f.sent["v1"]
			f.run(2 * time.Second)
			require.Equal(t, old, f.sent["v1"], "the old targets have stopped")
		})
	}
}

// badVersions are ways in which a version is bad.
var badVersions = map[string]func(f *fleet, route string, since time.Duration) (bool, time.Duration){
	"fails": func(f *fleet, _ string, _ time.Duration) (bool, time.Duration) {
		return f.rng.Float64() < 0.4, goodTime
	},
	"all fail": func(*fleet, string, time.Duration) (bool, time.Duration) { return true, goodTime },
	"slow":     func(*fleet, string, time.Duration) (bool, time.Duration) { return false, 5 * goodTime },
	"on one route": func(f *fleet, route string, _ time.Duration) (bool, time.Duration) {
		return route == "r1" && f.rng.Float64() < 0.9, goodTime
	},
	"late": func(f *fleet, _ string, since time.Duration) (bool, time.Duration) {
		return since > 4*time.Second && f.rng.Float64() < 0.5, goodTime
	},
	"half way": func(f *fleet, _ string, since time.Duration) (bool, time.Duration) {
		return since > testInterval/2 && f.rng.Float64() < 0.5, goodTime
	},
}

// Guards against a bad version that is promoted, that gets more requests than its bounds allow, or that gets
// any long after it has shown that it is bad.
func TestBadVersionIsRolledBack(t *testing.T) {
	for name, bad := range badVersions {
		t.Run(name, func(t *testing.T) {
			f, before := startChange(t, 2, bad)
			f.run(testInterval)
			require.Equal(t, "rolled_back v2", f.lastStatus(), "%v", f.statuses)
			f.requireExposureWithinBounds(before)
			sent := f.sent["v2"]
			f.run(5 * time.Second)
			require.Equal(t, sent, f.sent["v2"])
		})
	}
}

// Guards against a bad version that is forgotten or promoted because what decides fails.
func TestBadVersionIsRolledBackUnderFailure(t *testing.T) {
	for name, disturb := range map[string]func(f *fleet){
		"decider killed":                 func(f *fleet) { f.members[0].kill() },
		"decider cut off from the store": func(f *fleet) { f.members[0].cut = true },
		"store down for 3 s": func(f *fleet) {
			f.down = true
			f.run(3 * time.Second)
			f.down = false
		},
		"restored from a copy": func(f *fleet) {
			saved := f.copy()
			f.run(time.Second)
			f.restore(saved)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f, before := startChange(t, 3, badVersions["fails"])
			f.run(1500 * time.Millisecond)
			disturb(f)
			f.run(f.orderedAt.Add(testInterval).Sub(f.now))
			require.Equal(t, "rolled_back v2", f.lastStatus(), "%v", f.statuses)
			f.requireExposureWithinBounds(before)
		})
	}
}

// Guards against a rolled-back version that gets requests again after a restore of the store from before the
// rollback.
func TestRollbackSurvivesRestore(t *testing.T) {
	f, _ := startChange(t, 4, badVersions["all fail"])
	saved := f.copy()
	f.run(testInterval)
	require.Equal(t, "rolled_back v2", f.lastStatus())
	sent := f.sent["v2"]
	f.restore(saved)
	f.run(10 * time.Second)
	require.Equal(t, sent, f.sent["v2"])
	require.Equal(t, "rolled_back v2", string(f.items["status/pool"].Value), "it must be written again")
}

// Guards against a change without an end if the ordered version never starts.
func TestVersionThatNeverStarts(t *testing.T) {
	f := newFleet(t, 5, 8, 120)
	f.result = func(string, string, time.Duration) (bool, time.Duration) { return f.good() }
	f.order(testPool, "v2", testInterval)
	f.run(testInterval)
	require.Equal(t, []string{"running v2", "rolled_back v2"}, f.statuses)
	require.Zero(t, f.sent["v2"])
}

// Guards against requests to an ordered version before its change has started.
func TestOrderedVersionWaitsForTheDecider(t *testing.T) {
	f := newFleet(t, 6, 8, 120)
	f.result = func(string, string, time.Duration) (bool, time.Duration) { return f.good() }
	f.slots[testPool]["v2"] = 30
	for _, m := range f.members {
		m.cut = m.index < 2
	}
	f.order(testPool, "v2", testInterval)
	f.run(tickTime)
	for _, m := range f.members {
		p := m.pools[testPool]
		require.Equal(t, m.index >= 2, p != nil && p.order != nil)
		m.cut = true
	}
	f.run(5 * time.Second)
	require.Zero(t, f.sent["v2"])
}

// Guards against the former order's version that keeps its requests, and against a status of another order.
func TestOrderIsReplacedAndWithdrawn(t *testing.T) {
	f, _ := startChange(t, 7, nil)
	f.run(2 * time.Second)
	require.Positive(t, f.sent["v2"])
	sent := f.sent["v2"]
	f.order(testPool, "v3", testInterval)
	f.run(time.Second)
	sentAfter := f.sent["v2"]
	f.slots[testPool]["v3"] = 30
	f.run(2 * time.Second)
	require.Equal(t, "running v3", f.lastStatus())
	require.Less(t, sentAfter-sent, 60)
	require.Equal(t, sentAfter, f.sent["v2"])

	f.revision++
	delete(f.items, "orders/"+testPool)
	f.notify(removal("orders/"+testPool, f))
	f.run(2 * time.Second)
	require.Equal(t, "rolled_back v3", f.lastStatus())
	sent = f.sent["v3"]
	f.run(time.Second)
	require.Equal(t, sent, f.sent["v3"])
}

// Guards against an order that is ignored because it was given, and rolled back, before.
func TestOrderIsRepeatedAfterRollback(t *testing.T) {
	broken := true
	f, _ := startChange(t, 8, nil)
	f.result = func(v, _ string, _ time.Duration) (bool, time.Duration) {
		if v == "v2" && broken {
			return true, goodTime
		}
		return f.good()
	}
	f.run(testInterval)
	require.Equal(t, "rolled_back v2", f.lastStatus())
	broken = false
	f.order(testPool, "v2", testInterval)
	f.run(testInterval)
	require.Equal(t, "succeeded v2", f.lastStatus(), "%v", f.statuses)
}

// Guards against two instances that decide at the same time: each write depends on the key that only one holds.
func TestOneDeciderAtATime(t *testing.T) {
	f, _ := startChange(t, 9, nil)
	f.run(time.Second)
	holders := func() (n int) {
		for _, m := range f.members {
			if m.lease.ID != 0 && f.now.Before(m.lease.until) {
				n++
			}
		}
		return n
	}
	for i := range 60 {
		if i == 20 {
			f.members[0].cut = true
		}
		f.run(tickTime)
		require.LessOrEqual(t, holders(), 1)
	}
}

// Guards against a decider that never writes again because it took a wrong revision for its record's, as after an
// answer that was lost.
func TestDeciderRecoversFromConflict(t *testing.T) {
	f, _ := startChange(t, 10, nil)
	f.run(2 * time.Second)
	for _, m := range f.members {
		for key, v := range m.versions {
			if key == "records/"+testPool {
				v.Revision += 1000
				m.versions[key] = v
			}
		}
	}
	f.run(f.orderedAt.Add(testInterval).Sub(f.now))
	require.Equal(t, "succeeded v2", f.lastStatus(), "%v", f.statuses)
}
