package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/route"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testLossTracker() *lossTracker {
	l := newLossTracker()
	return &l
}

// firstLetter returns the first letter of a target's name, which stands for its data centre.
func firstLetter(id string) string { return id[:1] }

// Guards against streams that wait for an engine that other instances have lost, and against
// streams that leave an engine that only one instance can't reach.
func TestLossReportsOfOtherInstances(t *testing.T) {
	l := testLossTracker()
	l.recordReport(t0, "i1", []string{"a1"})
	require.False(t, l.silentSince(t0, "a1", t0.Add(-time.Second), firstLetter, 8), "one instance may be cut off")
	l.recordReport(t0, "i2", []string{"a1"})
	require.True(t, l.silentSince(t0, "a1", t0.Add(-time.Second), firstLetter, 8))
	require.False(t, l.silentSince(t0, "a1", t0.Add(time.Second), firstLetter, 8), "a request that was sent later is not affected")
	require.False(t, l.silentSince(t0.Add(lossWindow+time.Second), "a1", t0.Add(-time.Second), firstLetter, 8))
}

// Guards against sending new requests to one engine after another in a data centre that is
// unavailable.
func TestFailingDataCentre(t *testing.T) {
	l := testLossTracker()
	l.recordLocal(t0, "a1", false)
	require.Empty(t, l.failingDataCentres(t0, firstLetter))
	l.recordLocal(t0, "a2", false)
	require.Equal(t, []string{"a"}, l.failingDataCentres(t0, firstLetter))
	require.Empty(t, l.failingDataCentres(t0.Add(lossWindow+time.Millisecond), firstLetter))

	l = testLossTracker()
	l.recordReport(t0, "i1", []string{"b1", "b2", "b3"})
	require.Empty(t, l.failingDataCentres(t0, firstLetter), "one instance may be cut off from a data centre")
	l.recordReport(t0, "i2", []string{"b4"})
	require.Equal(t, []string{"b"}, l.failingDataCentres(t0, firstLetter))
	require.True(t, l.silentSince(t0, "b9", t0.Add(-time.Second), firstLetter, 8), "half of its data centre went silent")
	require.False(t, l.silentSince(t0, "b9", t0.Add(-time.Second), firstLetter, 9))
	require.False(t, l.silentSince(t0, "a9", t0.Add(-time.Second), firstLetter, 8))
}

// Guards against healthy streams that leave an engine because another stream's connection was
// reset: each of them would mark the engine as lost again.
func TestResetConnectionIsNotReported(t *testing.T) {
	l := testLossTracker()
	l.recordLocal(t0, "a1", false)
	require.False(t, l.silentSince(t0, "a1", t0.Add(-time.Second), firstLetter, 8))
	require.Empty(t, l.recentSilent(t0, t0.Add(time.Millisecond)))
	l.recordLocal(t0, "a1", true)
	require.True(t, l.silentSince(t0, "a1", t0.Add(-time.Second), firstLetter, 8))
	require.Empty(t, l.recentSilent(t0, t0), "an instance that hears from no target may itself be cut off")
	require.Equal(t, []string{"a1"}, l.recentSilent(t0, t0.Add(time.Millisecond)))
}

// Guards against retrying a target at whose address another incarnation has responded, and against
// excluding it after it has returned under its former id.
func TestMisdirectedTargetIsExcluded(t *testing.T) {
	table := testRelayTable()
	targets := &TargetRegistry{DataCentre: "a", RetryRatio: 0.5, RetrySlack: 20, RetryWindow: 10 * time.Second, Instances: func() int { return 1 }}
	entry := route.Target{ID: "e1", Pool: "p", Slots: 8, StartedAt: t0}
	targets.Update(time.Now(), table, map[string][]route.Target{"p": {entry}})
	p := targets.pool("p")
	p.recordMisdirected("e1")
	_, _, ok := p.chooseTarget(t0, "a", targetCriteria{})
	require.False(t, ok)
	require.Equal(t, []string{"e1"}, targets.LocalProgress(t0).ReplacedTargets)

	other := &TargetRegistry{DataCentre: "a", RetryRatio: 0.5, RetrySlack: 20, RetryWindow: 10 * time.Second, Instances: func() int { return 1 }}
	other.Update(time.Now(), table, map[string][]route.Target{"p": {entry}})
	other.ApplyRemoteProgress(t0, "i1", targets.LocalProgress(t0))
	_, _, ok = other.pool("p").chooseTarget(t0, "a", targetCriteria{})
	require.False(t, ok, "the exclusion is reported to other instances")

	entry.StartedAt = t0.Add(time.Second)
	targets.Update(time.Now(), table, map[string][]route.Target{"p": {entry}})
	_, _, ok = p.chooseTarget(t0, "a", targetCriteria{})
	require.True(t, ok)
}
