package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/route"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testLosses() *losses {
	l := newLosses()
	return &l
}

// centre takes the first letter of a target's name as its data centre.
func centre(id string) string { return id[:1] }

// Guards against streams that wait for an engine that others have lost, and against leaving
// engines that only one instance can't reach.
func TestWordOfOthers(t *testing.T) {
	l := testLosses()
	l.tell(t0, "i1", []string{"a1"})
	require.False(t, l.since(t0, "a1", t0.Add(-time.Second), centre, 8), "one instance may be cut off")
	l.tell(t0, "i2", []string{"a1"})
	require.True(t, l.since(t0, "a1", t0.Add(-time.Second), centre, 8))
	require.False(t, l.since(t0, "a1", t0.Add(time.Second), centre, 8), "a request that was sent later is not concerned")
	require.False(t, l.since(t0.Add(lossMemory+time.Second), "a1", t0.Add(-time.Second), centre, 8))
}

// Guards against a lost data centre that gets new work, engine by engine.
func TestLostDataCentre(t *testing.T) {
	l := testLosses()
	l.saw(t0, "a1", false)
	require.Empty(t, l.centres(t0, centre))
	l.saw(t0, "a2", false)
	require.Equal(t, []string{"a"}, l.centres(t0, centre))
	require.Empty(t, l.centres(t0.Add(lossMemory+time.Millisecond), centre))

	l = testLosses()
	l.tell(t0, "i1", []string{"b1", "b2", "b3"})
	require.Empty(t, l.centres(t0, centre), "one instance may be cut off from a data centre")
	l.tell(t0, "i2", []string{"b4"})
	require.Equal(t, []string{"b"}, l.centres(t0, centre))
	require.True(t, l.since(t0, "b9", t0.Add(-time.Second), centre, 8), "half of its data centre went silent")
	require.False(t, l.since(t0, "b9", t0.Add(-time.Second), centre, 9))
	require.False(t, l.since(t0, "a9", t0.Add(-time.Second), centre, 8))
}

// Guards against healthy streams that leave an engine because a connection of another one was
// reset: each of them would mark the engine as lost again.
func TestResetConnectionTellsNothingOfOthers(t *testing.T) {
	l := testLosses()
	l.saw(t0, "a1", false)
	require.False(t, l.since(t0, "a1", t0.Add(-time.Second), centre, 8))
	require.Empty(t, l.recent(t0))
	l.saw(t0, "a1", true)
	require.True(t, l.since(t0, "a1", t0.Add(-time.Second), centre, 8))
	require.Equal(t, []string{"a1"}, l.recent(t0))
}

// Guards against asking again a target at whose address another incarnation has answered, and
// against leaving it out when it is back under its former id.
func TestMisdirectedTargetIsLeftOut(t *testing.T) {
	table := testRelayTable()
	targets := &Targets{DataCentre: "a", RetryShare: 0.5, RetrySlack: 20, RetryWindow: 10 * time.Second, Instances: func() int { return 1 }}
	entry := route.Target{ID: "e1", Pool: "p", Slots: 8, Born: t0}
	targets.Update(time.Now(), table, map[string][]route.Target{"p": {entry}})
	p := targets.pool("p")
	p.misdirected("e1")
	_, _, ok := p.choose(t0, "a", question{})
	require.False(t, ok)
	require.Equal(t, []string{"e1"}, targets.Own(t0).Gone)

	other := &Targets{DataCentre: "a", RetryShare: 0.5, RetrySlack: 20, RetryWindow: 10 * time.Second, Instances: func() int { return 1 }}
	other.Update(time.Now(), table, map[string][]route.Target{"p": {entry}})
	other.Others(t0, "i1", targets.Own(t0))
	_, _, ok = other.pool("p").choose(t0, "a", question{})
	require.False(t, ok, "other instances hear of it")

	entry.Born = t0.Add(time.Second)
	targets.Update(time.Now(), table, map[string][]route.Target{"p": {entry}})
	_, _, ok = p.choose(t0, "a", question{})
	require.True(t, ok)
}
