package rollout

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// defects are the ways in which the version of a random play is bad from a time on; strength is from 0 to 1.
var defects = map[string]func(f *fleet, route string, strength float64) (bool, time.Duration){
	"fails": func(f *fleet, _ string, strength float64) (bool, time.Duration) {
		return f.rng.Float64() < 0.1+0.8*strength, goodTime
	},
	"on one route": func(f *fleet, route string, strength float64) (bool, time.Duration) {
		return route == "r1" && f.rng.Float64() < 0.4+0.6*strength, goodTime
	},
	"slow": func(_ *fleet, _ string, strength float64) (bool, time.Duration) {
		return false, time.Duration((4 + 4*strength) * float64(goodTime))
	},
	"under load": func(f *fleet, _ string, strength float64) (bool, time.Duration) {
		if f.members[7].splits[testPool].Share < 0.6 {
			return f.good()
		}
		return f.rng.Float64() < 0.3+0.6*strength, goodTime
	},
}

// disturbances are the faults of a random play; each is applied at a random time and ended by the function that it returns.
var disturbances = []struct {
	name  string
	apply func(f *fleet) (end func())
}{
	{"none", func(*fleet) func() { return func() {} }},
	{"messages lost", func(f *fleet) func() { f.lossRate = 0.3; return func() { f.lossRate = 0 } }},
	{"store down", func(f *fleet) func() { f.down = true; return func() { f.down = false } }},
	{"decider killed", func(f *fleet) func() { f.members[0].kill(); return func() {} }},
	{"both candidates killed", func(f *fleet) func() {
		f.members[0].kill()
		f.members[1].kill()
		return func() {}
	}},
	{"both candidates cut off", func(f *fleet) func() {
		for _, m := range f.members[:2] {
			m.cut, m.isolated = true, true
		}
		return func() {
			for _, m := range f.members[:2] {
				m.cut, m.isolated = false, false
			}
		}
	}},
	{"decider frozen", func(f *fleet) func() { f.members[0].frozen = true; return func() { f.members[0].frozen = false } }},
	{"decider isolated", func(f *fleet) func() { f.members[0].isolated = true; return func() { f.members[0].isolated = false } }},
	{"traffic falls", func(f *fleet) func() { f.rate /= 4; return func() {} }},
}

// play is one random play of the whole controller.
type play struct {
	seed              uint64
	interval          time.Duration
	rate              float64
	defect            string
	strength, turnsAt float64
	disturbance       int
}

func drawPlay(seed uint64, bad, disturbed bool) play {
	rng := rand.New(rand.NewPCG(seed, 99))
	p := play{seed: seed, interval: time.Duration(8+rng.IntN(53)) * time.Second, rate: float64(10 + rng.IntN(291)), strength: rng.Float64(), turnsAt: 0.95 * rng.Float64()}
	if rng.IntN(4) == 0 {
		p.turnsAt = 0
	}
	names := []string{"fails", "on one route", "slow", "under load"}
	if drawn := names[rng.IntN(len(names))]; bad {
		p.defect = drawn
	}
	if disturbed {
		p.disturbance = 1 + rng.IntN(len(disturbances)-1)
	}
	return p
}

// result is how a play ended.
type result struct{ promoted, promotedWhileBad, rolledBack, overExposed, late bool }

func (p *play) run(t *testing.T) (r result) {
	f := newFleet(t, p.seed, 8, p.rate)
	turned := func() bool {
		return !f.orderedAt.IsZero() && f.now.Sub(f.orderedAt) >= time.Duration(p.turnsAt*float64(p.interval))
	}
	f.result = func(v, route string, _ time.Duration) (bool, time.Duration) {
		if v == "v2" && p.defect != "" && turned() {
			return defects[p.defect](f, route, p.strength)
		}
		return f.good()
	}
	f.run(8 * time.Second)
	before := f.sent["v1"]
	f.order(testPool, "v2", p.interval)
	f.run(500 * time.Millisecond)
	f.slots[testPool]["v2"] = 30
	d := disturbances[p.disturbance]
	begins := f.now.Add(time.Duration(f.rng.Float64() * 0.8 * float64(p.interval)))
	ends := begins.Add(time.Duration(1+f.rng.IntN(6)) * time.Second)
	end := func() {}
	for begun := false; f.now.Before(f.orderedAt.Add(p.interval)); f.run(tickTime) {
		if !begun && !f.now.Before(begins) {
			begun, end = true, d.apply(f)
		}
		if begun && !f.now.Before(ends) {
			end()
			end = func() {}
		}
		if f.lastStatus() == "succeeded v2" && !r.promoted {
			r.promoted, r.promotedWhileBad = true, p.defect != "" && turned() && p.defect != "under load"
			f.slots[testPool]["v1"] = 0
		}
	}
	r.promoted = f.lastStatus() == "succeeded v2"
	r.rolledBack = f.lastStatus() == "rolled_back v2"
	total := f.sent["v1"] + f.sent["v2"] - before
	r.overExposed = p.defect != "" && float64(f.sent["v2"]) > exposeShare*float64(total)+badVersionSlack
	r.late = p.defect != "" && len(f.badAt) >= badAnswers && f.lastNewAt.After(f.badAt[badAnswers-1].Add(rollbackTime))
	return r
}

// TestExposureOfRandomPlays guards against bad versions over their bounds, whatever turns bad when and fails beside it.
func TestExposureOfRandomPlays(t *testing.T) {
	// PLAYS sets how many plays of each kind are made, and PLAYS_FIRST the first seed.
	plays, first := 150, uint64(0)
	if n, err := strconv.Atoi(os.Getenv("PLAYS")); err == nil {
		plays = n
	}
	if n, err := strconv.ParseUint(os.Getenv("PLAYS_FIRST"), 10, 64); err == nil {
		first = n
	}
	for _, kind := range []struct{ bad, disturbed bool }{{false, false}, {true, false}, {true, true}, {false, true}} {
		name := fmt.Sprintf("bad=%v disturbed=%v", kind.bad, kind.disturbed)
		var mu sync.Mutex
		counts, exposed := map[string]int{}, []string{}
		t.Run(name, func(t *testing.T) {
			for worker := range 4 {
				t.Run(strconv.Itoa(worker), func(t *testing.T) {
					t.Parallel()
					for i := worker; i < plays; i += 4 {
						p := drawPlay(first+uint64(i), kind.bad, kind.disturbed)
						r := p.run(t)
						mu.Lock()
						for what, is := range map[string]bool{
							"promoted": r.promoted, "promoted while bad": r.promotedWhileBad, "rolled back": r.rolledBack, "over-exposed": r.overExposed, "late": r.late,
						} {
							if is {
								counts[what]++
							}
						}
						if kind.bad && (r.overExposed || r.late || r.promotedWhileBad) || !kind.bad && !kind.disturbed && !r.promoted {
							exposed = append(exposed, fmt.Sprintf("%+v %s: %+v", p, disturbances[p.disturbance].name, r))
						}
						mu.Unlock()
					}
				})
			}
		})
		slices.Sort(exposed)
		t.Logf("%s, %d plays: %v\n%s", name, plays, counts, strings.Join(exposed[:min(len(exposed), 30)], "\n"))
		require.Zero(t, counts["over-exposed"], name)
		require.Zero(t, counts["late"], name)
	}
}
