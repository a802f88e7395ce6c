package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/feed"
)

// TestShareEndsWithoutDecider guards against a bad version that goes on to get requests while nobody decides.
func TestShareEndsWithoutDecider(t *testing.T) {
	for name, silence := range map[string]func(m *member){
		"killed":                   func(m *member) { m.kill() },
		"frozen":                   func(m *member) { m.frozen = true },
		"cut off from all":         func(m *member) { m.cut, m.isolated = true, true },
		"isolated, with the store": func(m *member) { m.isolated = true },
		"cut off from the store":   func(m *member) { m.cut = true },
	} {
		t.Run(name, func(t *testing.T) {
			const interval = 40 * time.Second
			turned := false
			f, before := startInterval(t, 1, interval, func(f *fleet, _ string, _ time.Duration) (bool, time.Duration) {
				if turned {
					return f.rng.Float64() < 0.5, goodTime
				}
				return f.good()
			})
			f.run(10 * time.Second)
			turned = true
			silence(f.members[0])
			silence(f.members[1])
			f.run(f.orderedAt.Add(interval).Sub(f.now))
			require.Equal(t, "rolled_back v2", f.lastStatus(), "%v", f.statuses)
			f.requireExposureWithinBounds(before)
		})
	}
}

// startInterval is startChange with an interval.
func startInterval(t *testing.T, seed uint64, interval time.Duration, result func(f *fleet, route string, since time.Duration) (bool, time.Duration)) (f *fleet, before int) {
	f = newFleet(t, seed, 8, 120)
	f.result = func(v, route string, since time.Duration) (bool, time.Duration) {
		if v == "v2" {
			return result(f, route, since)
		}
		return f.good()
	}
	f.run(8 * time.Second)
	before = f.sent["v1"]
	f.order(testPool, "v2", interval)
	f.run(500 * time.Millisecond)
	f.slots[testPool]["v2"] = 30
	return f, before
}

// TestSuccessorDecidesWithAllEvidence guards against a decider that knows nothing of what was counted before it took over.
func TestSuccessorDecidesWithAllEvidence(t *testing.T) {
	f, _ := startInterval(t, 2, 30*time.Second, func(f *fleet, _ string, _ time.Duration) (bool, time.Duration) { return f.good() })
	f.run(10 * time.Second)
	alive := 0.0
	for _, m := range f.members[2:] {
		_, exposed := m.Exposure(testPool)
		alive += exposed
	}
	f.members[0].kill()
	f.members[1].kill()
	f.run(7 * time.Second)
	for _, m := range f.members {
		if m.Instance != f.members[7].decider || m.dead {
			continue
		}
		require.GreaterOrEqual(t, float64(m.pools[testPool].change.Record.New.Requests), alive)
		return
	}
	t.Fatal("nobody has taken over")
}

// TestEvidenceOfAllInstancesIsCounted guards against results that are lost or counted twice on their way to the decider.
func TestEvidenceOfAllInstancesIsCounted(t *testing.T) {
	f, _ := startInterval(t, 3, 30*time.Second, func(f *fleet, _ string, _ time.Duration) (bool, time.Duration) { return f.good() })
	f.lossRate = 0.2
	f.run(15 * time.Second)
	f.lossRate = 0
	f.slots[testPool]["v2"] = 0
	f.run(time.Second)
	require.Positive(t, f.sent["v2"])
	require.EqualValues(t, f.sent["v2"], f.members[0].pools[testPool].change.Record.New.Requests)
}

// TestTrafficThatFalls guards against a share that was planned for requests that never come.
func TestTrafficThatFalls(t *testing.T) {
	for _, at := range []time.Duration{3 * time.Second, 8 * time.Second, 13 * time.Second} {
		f, before := startChange(t, 4, badVersions["half way"])
		f.run(at)
		f.rate /= 10
		f.run(f.orderedAt.Add(testInterval).Sub(f.now))
		f.requireExposureWithinBounds(before)
		require.NotEqual(t, "succeeded v2", f.lastStatus())
	}
}

// TestRestartedInstancesGetNoSlack guards against a bound that starts anew with each process.
func TestRestartedInstancesGetNoSlack(t *testing.T) {
	f, before := startInterval(t, 5, 30*time.Second, badVersions["half way"])
	f.run(3 * time.Second)
	for i := range 40 {
		f.run(500 * time.Millisecond)
		f.restart(i % len(f.members))
	}
	f.run(f.orderedAt.Add(30 * time.Second).Sub(f.now))
	f.requireExposureWithinBounds(before)
}

// TestRestoreBringsBackFormerOrder guards against a former order that a restore brings back in place of the latest one.
func TestRestoreBringsBackFormerOrder(t *testing.T) {
	f, _ := startChange(t, 6, nil)
	f.run(testInterval)
	require.Equal(t, "succeeded v2", f.lastStatus())
	f.slots[testPool]["v1"] = 0
	saved := f.copy()
	f.run(3 * time.Second)
	f.result = func(v, route string, since time.Duration) (bool, time.Duration) {
		if v == "v3" {
			return badVersions["half way"](f, route, since)
		}
		return f.good()
	}
	at, former := f.now, f.sent["v1"]
	f.order(testPool, "v3", 40*time.Second)
	f.run(500 * time.Millisecond)
	f.slots[testPool]["v3"] = 30
	f.run(1500 * time.Millisecond)
	f.restore(saved)
	f.run(time.Second)
	for _, m := range f.members {
		require.Equal(t, "v3", m.splits[testPool].Version)
		require.NotContains(t, m.splits[testPool].Barred, "v2", "the version in use must serve")
	}
	f.order(testPool, "v3", 40*time.Second)
	f.orderedAt = at
	f.run(at.Add(40 * time.Second).Sub(f.now))
	require.Equal(t, "rolled_back v3", f.lastStatus(), "%v", f.statuses)
	f.requireVersionExposureWithinBounds("v3", former)
	for _, m := range f.members {
		require.NotContains(t, m.splits[testPool].Barred, "v2", "the version in use must serve")
	}
}

// TestRestoredOrderIsAcceptedInTime guards against an order that is ignored for ever because a restore brought it.
func TestRestoredOrderIsAcceptedInTime(t *testing.T) {
	f := newFleet(t, 7, 8, 120)
	f.result = func(string, string, time.Duration) (bool, time.Duration) { return f.good() }
	f.order(testPool, "v2", 60*time.Second)
	f.run(time.Second)
	saved := f.copy()
	f.order(testPool, "v3", 60*time.Second)
	f.run(time.Second)
	f.restore(saved)
	f.run(withdrawalGrace - time.Second)
	require.Equal(t, "v3", f.members[3].pools[testPool].order.Version)
	f.run(2 * time.Second)
	require.Equal(t, "v2", f.members[3].pools[testPool].order.Version)
}

// TestRollbackOfDeciderWithSlowClock guards against a rollback that others ignore since the decider's clock steps back.
func TestRollbackOfDeciderWithSlowClock(t *testing.T) {
	trial := &record{Order: Order{Pool: testPool, Version: "v2", Interval: testInterval}, Number: 1, Sequence: 4, Updated: t0}
	rollback := *trial
	rollback.Sequence, rollback.Updated = 5, t0.Add(-5*time.Second)
	require.True(t, rollback.later(trial))
	require.False(t, trial.later(&rollback))
	former := rollback
	former.Sequence, former.Updated = 0, t0.Add(time.Second)
	require.True(t, former.later(trial), "a decider of the former build has written later")
}

// TestUnconfirmedShareEnds guards against a share that stays in force at instances without confirmations.
func TestUnconfirmedShareEnds(t *testing.T) {
	f, _ := startInterval(t, 8, 40*time.Second, func(f *fleet, _ string, _ time.Duration) (bool, time.Duration) { return f.good() })
	f.run(10 * time.Second)
	f.members[0].kill()
	f.members[1].kill()
	f.run(confirmTimeout + tickTime)
	sent := f.sent["v2"]
	f.run(leaseTTL + takeoverDelay - confirmTimeout - tickTime)
	require.Equal(t, sent, f.sent["v2"])
	f.run(5 * time.Second)
	require.Greater(t, f.sent["v2"], sent, "a successor goes on")
}

// formerRecord is a record as a decider of the build 31acda8 writes it, with a share that exceeds the bounds.
const formerRecord = `{"order":{"pool":"pool","version":"v2","interval":%d},"number":1,"order_era":1,"order_revision":1,"change":{"format":1,` +
	`"id":%d,"entry":"pool","from":"former","to":"v2","revision":0,"deadline":"2026-01-01T00:00:40Z","state":"trial","share":0.5,"why":"no_sign_of_harm",` +
	`"fence":9,"decider":"x","started":"2026-01-01T00:00:09Z","since":"2026-01-01T00:00:09Z","stepped":"2026-01-01T00:00:10Z",` +
	`"old":{"requests":0,"failed":0,"firsts":0,"firsts_slow":0,"paces":0,"paces_slow":0},"new":{"requests":%d,"failed":0,"firsts":0,"firsts_slow":0,"paces":0,"paces_slow":0},` +
	`"own_failures":0,"wealth":1,"accepted":[0,0,0]},"updated":%q}`

// TestShareOfFormerBuildStaysWithinBounds guards against following a decider of the former build beyond the bounds, or not at all.
func TestShareOfFormerBuildStaysWithinBounds(t *testing.T) {
	const interval = 40 * time.Second
	f := newFleet(t, 9, 8, 120)
	f.noDecider = true
	f.result = func(string, string, time.Duration) (bool, time.Duration) { return f.good() }
	f.slots[testPool]["v2"] = 30
	f.run(8 * time.Second)
	before := f.sent["v1"]
	f.order(testPool, "v2", interval)
	o := Order{Pool: testPool, Version: "v2", Interval: interval}
	f.run(time.Second)
	for i := range 30 {
		f.revision++
		data := fmt.Sprintf(formerRecord, int64(interval), o.changeID(1), i, f.now.Format(time.RFC3339Nano))
		f.notify(feed.Update{Changed: []feed.Item{f.put("records/"+testPool, []byte(data), 0)}, Revision: f.revision, Era: f.era})
		f.run(time.Second)
	}
	require.Greater(t, f.sent["v2"], 300)
	f.requireExposureWithinBounds(before)
	f.run(confirmTimeout)
	sent := f.sent["v2"]
	f.run(3 * time.Second)
	require.Equal(t, sent, f.sent["v2"])
}

// TestCandidatesThatDoNotExist guards against an order without a status since odd entries rank among the candidates.
func TestCandidatesThatDoNotExist(t *testing.T) {
	f, _ := startInterval(t, 11, 20*time.Second, func(f *fleet, _ string, _ time.Duration) (bool, time.Duration) { return f.good() })
	f.noCandidates = true
	for _, m := range f.members {
		m.resign()
	}
	f.run(6 * time.Second)
	require.Equal(t, "running v2", f.lastStatus())
	f.run(f.orderedAt.Add(20 * time.Second).Sub(f.now))
	require.Equal(t, "succeeded v2", f.lastStatus())
}
