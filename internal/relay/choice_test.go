package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/route"
)

// Guards against two concurrent requests that both take the last place of a brittle target, since the first one counts
// only some time after the choice.
func TestTargetChosenTwiceAtOnceIsNotSentMoreThanItHasRoomFor(t *testing.T) {
	targets := &TargetRegistry{DataCentre: "a", RetryRatio: 0.5, RetrySlack: 20, RetryWindow: 10 * time.Second, Instances: func() int { return 1 }, Links: &Links{}}
	target := route.Target{ID: "a1", Pool: "p", Slots: 4}
	targets.Update(t0, testRelayTable(), map[string][]route.Target{"p": {target}})
	p := targets.pool("p")
	p.refusalLimits.Record(target, route.RefusalStatement{PerSecond: 1, Brittle: true, HeardAt: t0, Room: 1, RoomAt: t0}, true)
	now := t0.Add(100 * time.Millisecond)
	_, _, ok := p.chooseTarget(now, "a", targetCriteria{})
	require.True(t, ok)
	_, _, ok = p.chooseTarget(now, "a", targetCriteria{})
	require.False(t, ok)
	p.releaseTarget(now, target)
	_, _, ok = p.chooseTarget(now, "a", targetCriteria{})
	require.True(t, ok, "the first choice was taken back")
}
