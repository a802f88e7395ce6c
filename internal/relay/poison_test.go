package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/route"
)

// Guards against reports of cut instances that make the others leave a target from which they get answers.
func TestOwnAnswersCountMoreThanReports(t *testing.T) {
	l := testLossTracker()
	for _, instance := range []string{"i1", "i2", "i3", "i4"} {
		l.recordReport(t0, instance, []string{"a1", "a2", "a3"})
	}
	require.True(t, l.silentSince(t0, "a1", t0.Add(-time.Second), firstLetter, 4))
	require.True(t, l.lostRecently(t0, "a1"))
	require.Equal(t, []string{"a"}, l.failingDataCentres(t0, firstLetter))
	for _, id := range []string{"a1", "a2", "a3"} {
		l.recordHeard(t0.Add(time.Millisecond), id)
	}
	now := t0.Add(2 * time.Millisecond)
	require.False(t, l.silentSince(now, "a1", t0.Add(-time.Second), firstLetter, 4))
	require.False(t, l.lostRecently(now, "a1"))
	require.Empty(t, l.failingDataCentres(now, firstLetter))
	l.recordReport(t0.Add(3*time.Millisecond), "i1", []string{"a1"})
	l.recordReport(t0.Add(3*time.Millisecond), "i2", []string{"a1"})
	require.True(t, l.lostRecently(t0.Add(4*time.Millisecond), "a1"), "it may be lost later")
}

// Guards against targets that stay out of use here after a loss that was one of the own links.
func TestLossOfThePathIsNotHeldAgainstTargets(t *testing.T) {
	targets := &TargetRegistry{DataCentre: "a", RetryRatio: 0.5, RetrySlack: 20, RetryWindow: 10 * time.Second, Instances: func() int { return 1 }, Links: &Links{}}
	list := []route.Target{{ID: "a1", Pool: "p", Slots: 8}, {ID: "a2", Pool: "p", Slots: 8}}
	targets.Update(t0, testRelayTable(), map[string][]route.Target{"p": list})
	p := targets.pool("p")
	lose := func() {
		for _, target := range list {
			p.enginePool.RecordSent(t0, target.ID, nil)
			p.losses.recordLocal(t0, target.ID, true)
		}
	}
	lose()
	targets.forgetLosses(list[0], t0.Add(-time.Second), false)
	require.False(t, p.losses.lostRecently(t0, "a1"))
	require.True(t, p.losses.lostRecently(t0, "a2"))
	lose()
	targets.forgetLosses(list[0], t0.Add(-time.Second), true)
	require.False(t, p.losses.lostRecently(t0, "a2"))
	lose()
	targets.forgetLosses(list[0], t0.Add(time.Second), true)
	require.True(t, p.losses.lostRecently(t0, "a2"), "it was lost before the path")
}
