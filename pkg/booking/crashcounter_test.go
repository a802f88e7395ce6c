package booking

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCrashCounter guards against a request that crashes one target after another, and against
// refusing one that was only lost along with others.
func TestCrashCounter(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	c := CrashCounter{Retention: 30 * time.Second}
	require.True(t, c.Empty())
	require.False(t, c.RecordCrash(at(1), at(0), "", "poison"))
	require.False(t, c.RecordCrash(at(3), at(2), "", "poison"))
	require.False(t, c.IsMarked(at(3), "poison"))
	require.True(t, c.RecordCrash(at(5), at(4), "", "poison"))
	require.True(t, c.IsMarked(at(6), "poison"))
	require.False(t, c.IsMarked(at(6), "other"))
	require.False(t, c.IsMarked(at(36), "poison"), "the count must expire after the retention")
	require.True(t, c.Empty())

	for range 5 {
		require.False(t, c.RecordCrash(at(50), at(40), "", "popular"), "the request was lost at several targets that crashed together")
	}
	require.False(t, c.RecordCrash(at(52), at(51), "", "popular"))
	require.True(t, c.RecordSuccess("popular"))
	require.False(t, c.RecordCrash(at(54), at(53), "", "popular"), "one attempt succeeded in between")
	require.False(t, c.IsMarked(at(54), "popular"))
}

// counterModel simulates instances that each count the crashes of one request and share them over a network that loses messages.
type counterModel struct {
	rng      *rand.Rand
	counters []*CrashCounter
	crashes  []time.Time
	late     int
}

const modelDigest = "request"

// share applies a report at all instances but the sender, with losses; each report is sent three times.
func (m *counterModel) share(from int, apply func(c *CrashCounter)) {
	for i, c := range m.counters {
		if i != from && m.rng.Float64() >= 0.1*0.1*0.1 {
			apply(c)
		}
	}
}

// restart replaces an instance with one that knows what is stored: what another one refuses.
func (m *counterModel) restart(now time.Time, i int) {
	next := &CrashCounter{Retention: 2 * time.Hour}
	if other := m.counters[(i+1)%len(m.counters)]; other.IsMarked(now, modelDigest) {
		for _, crash := range other.CountedCrashes(modelDigest) {
			next.RecordCrash(crash.At, crash.StartedAt, crash.Target, modelDigest)
		}
		next.RecordTrials(modelDigest, other.Trials(modelDigest))
	}
	m.counters[i] = next
}

// arrive adds the request at a random instance.
func (m *counterModel) arrive(now time.Time) {
	i := m.rng.IntN(len(m.counters))
	c := m.counters[i]
	if c.IsMarked(now, modelDigest) {
		if !c.BeginTrial(now, modelDigest, i) {
			return
		}
		trials := c.Trials(modelDigest)
		m.share(i, func(c *CrashCounter) { c.RecordTrials(modelDigest, trials) })
	}
	if len(m.crashes) >= 3 && now.Sub(m.crashes[2]) > 3*time.Second {
		m.late++
	}
	at, target := now.Add(30*time.Millisecond), fmt.Sprint("e", len(m.crashes))
	m.crashes = append(m.crashes, at)
	c.RecordCrash(at, now, target, modelDigest)
	m.share(i, func(c *CrashCounter) { c.RecordCrash(at, now, target, modelDigest) })
}

// Guards against a request that is refused for some seconds only, and crashes targets again each time, also while instances restart.
func TestRequestThatComesForAnHourIsRefused(t *testing.T) {
	for _, every := range []time.Duration{time.Second, 3 * time.Second, 30 * time.Second, 5 * time.Minute} {
		for _, restarts := range []int{0, 3} {
			t.Run(fmt.Sprintf("%s, %d restarts", every, restarts), func(t *testing.T) {
				for seed := range uint64(50) {
					m := &counterModel{rng: rand.New(rand.NewPCG(seed, 3))}
					for range 8 {
						m.counters = append(m.counters, &CrashCounter{Retention: 2 * time.Hour})
					}
					start := time.Unix(1000, 0)
					for now, n := start, 0; now.Before(start.Add(time.Hour)); now, n = now.Add(every), n+1 {
						// Instances restart while the request is refused, a quarter of an hour apart.
						if at := now.Sub(start); restarts > 0 && at >= 15*time.Minute && at < 15*time.Minute+time.Duration(restarts)*15*time.Minute && at%(15*time.Minute) < every {
							m.restart(now, m.rng.IntN(len(m.counters)))
						}
						m.arrive(now)
					}
					require.LessOrEqual(t, m.late, 3, "seed %d", seed)
				}
			})
		}
	}
}

// Guards against a request that is refused for good after its targets were repaired.
func TestRefusedRequestIsTestedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	c := CrashCounter{Retention: 2 * time.Hour}
	for n := range 3 {
		at := now.Add(time.Duration(n) * time.Second)
		c.RecordCrash(at, at.Add(-100*time.Millisecond), fmt.Sprint("e", n), "r")
	}
	require.True(t, c.IsMarked(now.Add(time.Minute), "r"))
	require.False(t, c.BeginTrial(now.Add(9*time.Minute), "r", 0))
	require.False(t, c.BeginTrial(now.Add(11*time.Minute), "r", -1), "an instance that is not listed")
	require.True(t, c.BeginTrial(now.Add(11*time.Minute), "r", 3))
	require.False(t, c.BeginTrial(now.Add(11*time.Minute), "r", 0), "one trial at a time")
	require.True(t, c.IsMarked(now.Add(11*time.Minute), "r"))
	require.True(t, c.RecordSuccess("r"))
	require.False(t, c.IsMarked(now.Add(12*time.Minute), "r"))
	require.Zero(t, c.Trials("r").Count)
}

// Guards against memory that grows with each request that was lost in a crash.
func TestCrashedRequestsAreBounded(t *testing.T) {
	c := CrashCounter{Retention: 2 * time.Hour}
	for n := range 2 * maxCrashedRequests {
		at := time.Unix(1000, int64(n))
		c.RecordCrash(at, at, "e", fmt.Sprint(n))
	}
	require.LessOrEqual(t, len(c.attempts), maxCrashedRequests)
}

// Guards against a request that is refused since it was lost in one power loss after another, each time beside requests at other targets.
func TestPowerLossesDoNotMarkARequest(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, others := range []int{2, 3} {
		c := CrashCounter{Retention: 2 * time.Hour}
		for n := range 4 {
			at := now.Add(time.Duration(n) * 6 * time.Second)
			for i := range others {
				c.RecordCrash(at.Add(time.Duration(i)*time.Millisecond), at.Add(-time.Second), fmt.Sprint("other", i, n), fmt.Sprint("other", i))
			}
			// The request shares its target with another one.
			c.RecordCrash(at, at.Add(-time.Second), fmt.Sprint("e", n), "beside")
			c.RecordCrash(at, at.Add(-time.Second), fmt.Sprint("e", n), "r")
		}
		require.Equal(t, others < minCommonCause, c.IsMarked(now.Add(30*time.Second), "r"), "%d other targets", others)
	}
}
