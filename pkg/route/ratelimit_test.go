package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var limitEpoch = time.Unix(1000, 0)

func limitTime(ms int) time.Time { return limitEpoch.Add(time.Duration(ms) * time.Millisecond) }

func limitOf(perSecond float64, ms int) RateStatement {
	return RateStatement{PerSecond: perSecond, Limited: true, HeardAt: limitTime(ms)}
}

// Guards against statements that lift, lower or revive a limit though a newer one, or another incarnation's,
// holds.
func TestNewestStatementHolds(t *testing.T) {
	first := Target{ID: "e", StartedAt: limitTime(0)}
	next := Target{ID: "e", StartedAt: limitTime(5000)}
	none := func(ms int) RateStatement { return RateStatement{HeardAt: limitTime(ms)} }
	type step struct {
		t     Target
		s     RateStatement
		local bool
	}
	for name, c := range map[string]struct {
		steps   []step
		of      Target
		want    float64
		limited bool
	}{
		"named":                          {[]step{{first, limitOf(3, 100), true}}, first, 3, true},
		"lowered":                        {[]step{{first, limitOf(3, 100), true}, {first, limitOf(2, 200), true}}, first, 2, true},
		"ended":                          {[]step{{first, limitOf(3, 100), true}, {first, none(200), true}}, first, 0, false},
		"old report of another instance": {[]step{{first, limitOf(3, 300), true}, {first, limitOf(9, 200), false}}, first, 3, true},
		"old report after the end":       {[]step{{first, limitOf(3, 100), true}, {first, none(200), true}, {first, limitOf(3, 210), false}}, first, 0, false},
		"new report of another instance": {[]step{{first, limitOf(3, 300), true}, {first, limitOf(9, 500), false}}, first, 9, true},
		"late answer of a former incarnation": {
			[]step{{next, limitOf(3, 5100), true}, {first, limitOf(9, 5200), true}, {first, none(5300), true}},
			next, 3, true,
		},
		"next incarnation":               {[]step{{first, limitOf(3, 100), true}}, next, 0, false},
		"next incarnation says nothing":  {[]step{{first, limitOf(3, 100), true}, {next, none(5100), true}}, next, 0, false},
		"a limit that limits nothing":    {[]step{{first, limitOf(1e9, 100), true}}, first, 0, false},
		"a limit of 0 takes no requests": {[]step{{first, limitOf(0, 100), true}}, first, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := RateLimits{}
			for _, s := range c.steps {
				l.Record(s.t, s.s, s.local)
			}
			got, limited := l.Limit(c.of)
			require.Equal(t, c.limited, limited)
			require.InDelta(t, c.want, got, 0)
		})
	}
}

// Guards against a burst after a pause, after a limit was named again, and at an instance that has just
// learned of it.
func TestNoBurst(t *testing.T) {
	l, target := RateLimits{}, Target{ID: "e"}
	count := func(fromMillis, toMillis int) (n int) {
		for ms := fromMillis; ms < toMillis; ms += 10 {
			if l.Wait(limitTime(ms), target, 1) == 0 {
				l.Take(limitTime(ms), target, 1)
				n++
			}
		}
		return n
	}
	l.Record(target, limitOf(2, 0), true)
	require.Zero(t, count(0, 400))
	require.LessOrEqual(t, count(400, 2000), 4)
	require.LessOrEqual(t, count(100_000, 101_000), 4, "two saved and two new ones")
	l.Record(target, RateStatement{HeardAt: limitTime(101_000)}, true)
	l.Record(target, limitOf(2, 102_000), true)
	require.Zero(t, count(102_000, 102_400))
	require.LessOrEqual(t, count(102_400, 103_000), 2)
}

// limitModel simulates instances that send requests to one target with a limit.
type limitModel struct {
	rng       *rand.Rand
	instances []RateLimits
	arrivals  []time.Time
	ranks     []int
}

// run sends demand requests a second for a time from some instances and returns the requests that the target
// allowed. perSecond is the limit at a time.
func (m *limitModel) run(d time.Duration, demand []float64, perSecond func(now time.Time) float64) (allowed float64) {
	target, n := Target{ID: "e"}, len(m.instances)
	for now := limitEpoch; now.Before(limitEpoch.Add(d)); now = now.Add(10 * time.Millisecond) {
		limit := perSecond(now)
		allowed += limit / 100
		for i := range m.instances {
			for k := demand[i] / 100; k > 0 && m.rng.Float64() < k; k-- {
				known, ok := m.instances[i].Limit(target)
				if ok && (m.ranks[i] >= Users(known, n) || m.instances[i].Wait(now, target, n) > 0) {
					continue
				}
				m.instances[i].Take(now, target, n)
				if ok {
					m.arrivals = append(m.arrivals, now)
				}
				m.instances[i].Record(target, RateStatement{PerSecond: limit, Limited: true, HeardAt: now}, true)
			}
		}
		if now.Sub(limitEpoch)%time.Second == 0 {
			m.exchange(now, target)
		}
	}
	return allowed
}

// exchange reports what each instance has heard to the others; a third of the messages is lost.
func (m *limitModel) exchange(now time.Time, target Target) {
	for i := range m.instances {
		for _, s := range m.instances[i].Recent(now) {
			for j := range m.instances {
				if i != j && m.rng.IntN(3) > 0 {
					m.instances[j].Record(target, s, false)
				}
			}
		}
	}
}

// Guards against instances that together exceed a limit, or leave most of it unused, with few and many
// instances, skewed demand, lost messages and limits that change.
func TestInstancesKeepALimitTogether(t *testing.T) {
	for _, n := range []int{1, 8, 30, 295} {
		for _, limit := range []float64{0, 0.5, 2.6, 10, 50} {
			for _, skewed := range []bool{false, true} {
				for _, changes := range []bool{false, true} {
					t.Run(fmt.Sprintf("%d instances limit %v skewed %t changes %t", n, limit, skewed, changes), func(t *testing.T) {
						m := &limitModel{rng: rand.New(rand.NewPCG(uint64(n), uint64(limit*10))), instances: make([]RateLimits, n)}
						m.ranks = m.rng.Perm(n)
						// Each instance has three times the demand of its share, or a third of them does.
						demand := make([]float64, n)
						for i := range demand {
							demand[i] = 3 * max(limit, lowestRate) / float64(Users(limit, n))
							if skewed && i%3 > 0 {
								demand[i] /= 10
							}
						}
						highest := func(time.Time) float64 { return limit }
						perSecond := highest
						if changes {
							perSecond = func(now time.Time) float64 {
								return limit * (1 - 0.5*float64(now.Sub(limitEpoch)/(10*time.Second)%2))
							}
						}
						allowed := m.run(60*time.Second, demand, perSecond)
						from := 0
						for to, at := range m.arrivals {
							for at.Sub(m.arrivals[from]) >= 4*time.Second {
								from++
							}
							if at.Sub(limitEpoch) < 3*time.Second {
								continue
							}
							bound := 1.5*4*max(perSecond(at), perSecond(at.Add(-5*time.Second))) + 5
							require.LessOrEqual(t, float64(to-from+1), bound, "at %v", at.Sub(limitEpoch))
						}
						if limit >= 0.5 && !skewed {
							require.GreaterOrEqual(t, float64(len(m.arrivals)), 0.8*allowed)
						}
					})
				}
			}
		}
	}
}
