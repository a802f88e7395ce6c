package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// cutDuration is how long the links of some relays are cut; adaptTime is the time from its beginning after
	// which requests count.
	cutDuration = 4 * time.Second
	adaptTime   = time.Second
	// minCutShare is the least share of first tries that cut relays serve, of the others' share, and
	// minOtherShare the least that the others serve.
	minCutShare   = 0.95
	minOtherShare = 0.97
)

// Guards against instances that serve almost nothing while only their own links to the targets are cut, and
// against a cut that spoils the others.
func TestInstancesWithoutPathToTargetsServeTheirCallers(t *testing.T) {
	all := []int{0, 1, 2, 3, 4, 5}
	for _, c := range []struct {
		name string
		mode cutMode
		// cutRelays is the number of relays that are cut, of four, and targets those that they lose.
		cutRelays int
		targets   []int
	}{
		{"silent", cutSilent, 2, all},
		{"reset", cutReset, 2, all},
		{"new_connections", cutNewConns, 2, all},
		{"most_instances", cutSilent, 3, all},
		{"half_of_the_targets", cutSilent, 2, all[:3]},
	} {
		t.Run(c.name, func(t *testing.T) {
			engine := &fleetEngine{}
			f := startFleet(t, 4, engine.stubs(t, len(all)))
			time.Sleep(500 * time.Millisecond)
			isCut := func(relay int) bool { return relay < c.cutRelays }
			cutAt := time.Now().Add(time.Second)
			time.AfterFunc(time.Second, func() {
				for i := range c.cutRelays {
					f.cut(i, c.mode, c.targets)
				}
			})
			time.AfterFunc(time.Second+cutDuration, func() {
				for i := range c.cutRelays {
					f.cut(i, "", c.targets)
				}
			})
			list := f.runTraffic(40*time.Millisecond, time.Second+cutDuration+2*time.Second)
			engine.requireSafe(t, list)
			atCut, atOthers := servedShare(list, isCut, cutAt.Add(adaptTime), cutAt.Add(cutDuration))
			t.Logf("served of first tries: %.3f at cut instances, %.3f at others", atCut, atOthers)
			firstCut, _ := servedShare(list, isCut, cutAt, cutAt.Add(adaptTime))
			t.Logf("in the first second: %.3f at cut instances", firstCut)
			require.GreaterOrEqual(t, atOthers, minOtherShare)
			require.GreaterOrEqual(t, atCut, minCutShare*atOthers)
			after, _ := servedShare(list, isCut, cutAt.Add(cutDuration+adaptTime), cutAt.Add(time.Hour))
			require.GreaterOrEqual(t, after, minOtherShare, "after the cut")
			for i, tr := range f.relays {
				require.Empty(t, tr.log.reasons(t, "target_crashed"), "relay %d: no target has crashed", i)
				require.Empty(t, tr.log.reasons(t, "request_marked"), "relay %d: no request crashes targets", i)
				if !isCut(i) {
					require.NotContains(t, tr.log.reasons(t, "attempt_lost"), reasonLostByOthers, "relay %d reaches all targets", i)
				}
			}
		})
	}
}

// Guards against a log that reports an overload when no target was reached.
func TestUnreachableTargetsAreNotLoggedAsRefusing(t *testing.T) {
	for _, path := range []string{"/book/1", "/view/1", "/draft/1"} {
		t.Run(path, func(t *testing.T) {
			var stubs []*engineStub
			for _, id := range []string{"e1", "e2", "e3", "e4"} {
				s := startStub(t, id, nil)
				require.NoError(t, s.closeListener())
				stubs = append(stubs, s)
			}
			tr := startRelay(t, stubs...)
			got := tr.request("POST", path, "x", "Patience", "400ms")
			require.NoError(t, got.err)
			require.Equal(t, 503, got.status)
			require.Contains(t, got.body, codeTargetsUnreachable)
			require.Equal(t, []string{codeTargetsUnreachable}, tr.log.reasons(t, "request_refused"))
			for _, why := range tr.log.reasons(t, "attempt_ended") {
				require.Equal(t, reasonUnreachable, why)
			}
			require.NotContains(t, tr.log.reasons(t, "attempt_begun"), "refused_by_target")
		})
	}
}

// Guards against requests that wait for connections which no instance can make, and against refusals that outlast the
// cut.
func TestRequestsAreRefusedAtOnceWhileNoInstanceReachesTargets(t *testing.T) {
	for _, mode := range []cutMode{cutSilent, cutReset} {
		t.Run(string(mode), func(t *testing.T) {
			all := []int{0, 1, 2, 3, 4, 5}
			engine := &fleetEngine{}
			f := startFleet(t, 2, engine.stubs(t, len(all)))
			cutAt := time.Now().Add(500 * time.Millisecond)
			time.AfterFunc(500*time.Millisecond, func() {
				f.cut(0, mode, all)
				f.cut(1, mode, all)
			})
			time.AfterFunc(4*time.Second, func() {
				f.cut(0, "", all)
				f.cut(1, "", all)
			})
			list := f.runTraffic(40*time.Millisecond, 7*time.Second)
			engine.requireSafe(t, list)
			soon, late, served, sent := 0, 0, 0, 0
			for i := range list {
				r := &list[i]
				switch since := r.sentAt.Sub(cutAt); {
				case since > 1500*time.Millisecond && since < 3*time.Second && !r.served():
					require.Equal(t, 503, r.status, "%s sent %v after the cut, took %v, %q, %v", r.id, since, r.took, r.body, r.err)
					require.Contains(t, r.body, codeTargetsUnreachable)
					if r.took < 50*time.Millisecond {
						soon++
					} else {
						late++
					}
				case since > 4500*time.Millisecond:
					sent++
					if r.served() {
						served++
					}
				}
			}
			t.Logf("%d refused at once, %d later; %d of %d served after the cut", soon, late, served, sent)
			require.Less(t, late, soon/2, "only a few requests try again")
			require.GreaterOrEqual(t, float64(served), minOtherShare*float64(sent))
		})
	}
}
