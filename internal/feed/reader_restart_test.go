package feed

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxDrainTime is the time after which no instance may use an engine that leaves.
const maxDrainTime = 2 * time.Second

// requireLater requires that all instances that were not killed have a table within a time.
func (f *testFleet) requireLater(t *testing.T, table string, changedAt time.Time) {
	t.Helper()
	for {
		var late []string
		for _, in := range f.instances {
			if !in.ended.Load() && in.recorder.get("operators/table") != table {
				late = append(late, in.name)
			}
		}
		if len(late) == 0 {
			return
		}
		if time.Since(changedAt) > maxDrainTime {
			require.Empty(t, late[:min(len(late), 5)], "%d instances lack the change after %s", len(late), maxDrainTime)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// listenerCalls returns the calls to the store of the instances that were not killed and read for nobody.
func (f *testFleet) listenerCalls() int64 {
	n := int64(0)
	for _, in := range f.instances {
		if !in.ended.Load() && !in.membership.IsReader() {
			n += in.calls.Load()
		}
	}
	return n
}

// readersFirst returns the instances, those that read the store for the others first.
func (f *testFleet) readersFirst() []*testInstance {
	var readers, others []*testInstance
	for _, in := range f.instances {
		if in.membership.IsReader() {
			readers = append(readers, in)
		} else {
			others = append(others, in)
		}
	}
	return append(readers, others...)
}

// Guards against a change that is in force late at instances that were not touched, since the readers of the store have restarted
// after it and do not know it as a change.
func TestChangeBesideRestartOfReadersIsInForceInTime(t *testing.T) {
	const restartAfter, changeAfter = 500 * time.Millisecond, 100 * time.Millisecond
	for _, instances := range []int{8, 60, 295, 420} {
		if instances > largestFleet {
			continue
		}
		for name, killed := range map[string]int{"one reader": 1, "both readers": 2, "both readers and three others": 5, "all but three": instances - 3} {
			if instances > 100 && killed != 2 {
				continue
			}
			runFleetTest(t, fmt.Sprintf("%d instances %s", instances, name), func(t *testing.T) {
				f := startFleet(t, instances, routeTable(100))
				for round := range 2 {
					list := f.readersFirst()[:killed]
					for _, in := range list {
						in.kill()
					}
					go func() {
						time.Sleep(restartAfter)
						for _, in := range list {
							in.restart(t)
						}
					}()
					time.Sleep(changeAfter)
					before, table := f.listenerCalls(), routeTable(101+round)
					changedAt := time.Now()
					f.store.put("operators/table", table)
					f.requireLater(t, table, changedAt)
					t.Logf("in force after %s with %d calls of others to the store", time.Since(changedAt), f.listenerCalls()-before)
					require.LessOrEqual(t, f.listenerCalls()-before, int64(5), "calls of others to the store")
					time.Sleep(5 * time.Second)
					for i, in := range f.instances {
						f.instances[i] = f.at(in.address)
					}
				}
			})
		}
	}
}

// Guards against an order of kills, restarts and changes in which a change is in force late.
func TestChangesInAnyOrderWithRestartsAreInForceInTime(t *testing.T) {
	for seed := range min(100, largestFleet/6) {
		runFleetTest(t, fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(uint64(seed), 60))
			between := func(from, to time.Duration) time.Duration { return from + time.Duration(rng.Int64N(int64(to-from))) }
			f := startFleet(t, 5+rng.IntN(20), routeTable(20))
			start := time.Now()
			killed := f.readersFirst()[:1+rng.IntN(4)]
			for _, in := range killed {
				killAfter, restartAfter := between(0, 1500*time.Millisecond), between(100*time.Millisecond, 4*time.Second)
				go func() {
					time.Sleep(killAfter)
					in.kill()
					time.Sleep(restartAfter)
					in.restart(t)
				}()
			}
			for n := range 3 {
				time.Sleep(between(0, 800*time.Millisecond))
				table := routeTable(21 + n)
				changedAt := time.Now()
				f.store.put("operators/table", table)
				f.requireLater(t, table, changedAt)
				t.Logf("%s: in force after %s", changedAt.Sub(start), time.Since(changedAt))
			}
			time.Sleep(time.Until(start.Add(7 * time.Second)))
		})
	}
}

// Guards against instances that wait for each other until the timeout, since those that announced a change have ended before anyone
// got it.
func TestInstancesDoNotWaitForEachOther(t *testing.T) {
	for _, instances := range []int{4, 12, 60} {
		runFleetTest(t, fmt.Sprint(instances), func(t *testing.T) {
			f := startFleet(t, instances, routeTable(20))
			for _, in := range f.readersFirst()[:readerCount] {
				in.kill()
			}
			table := routeTable(21)
			changedAt := time.Now()
			f.store.put("operators/table", table)
			version := Version{Revision: f.store.revision}
			data, ok := encodeMessage(&ChangeMessage{FromRevision: version.Revision, ToRevision: version.Revision, Reader: f.readersFirst()[0].name})
			require.True(t, ok)
			for _, in := range f.instances {
				in.replicator.HandleMessage(time.Now(), data)
			}
			f.requireLater(t, table, changedAt)
			t.Logf("in force after %s", time.Since(changedAt))
		})
	}
}
