package relay

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/route"
)

// Guards against crashes that are not counted since the instances have little traffic, and against counting a refusal of
// the own links, or of those of an instance that is asked, as a crash.
func TestRefusalIsConfirmedByAnotherInstance(t *testing.T) {
	engine := &fleetEngine{}
	f := startFleet(t, 3, engine.stubs(t, 3))
	target := func(relay int) route.Target {
		return route.Target{ID: "e0", Pool: "p", Address: f.links[relay][0].address}
	}
	f.relays[0].relay.init()
	c, err := f.relays[0].relay.reconnect(t.Context(), target(0))
	require.NoError(t, err)
	require.NoError(t, c.Close())

	f.cut(0, cutReset, []int{0, 1, 2})
	c, err = f.relays[0].relay.reconnect(t.Context(), target(0))
	require.NoError(t, err, "another instance reaches the target")
	require.NotEmpty(t, c.carrier)
	require.NoError(t, c.Close())

	f.cut(1, cutReset, []int{0, 1, 2})
	f.cut(2, cutReset, []int{0, 1, 2})
	_, err = f.relays[0].relay.reconnect(t.Context(), target(0))
	unconfirmed := (*UnconfirmedRefusalError)(nil)
	require.ErrorAs(t, err, &unconfirmed, "no instance reaches any target")
	require.NotEmpty(t, err.Error())

	for relay := range f.relays {
		f.cut(relay, "", []int{1, 2})
		f.cut(relay, cutReset, []int{0})
	}
	require.Eventually(t, func() bool {
		_, err = f.relays[0].relay.reconnect(t.Context(), target(0))
		return isCertainCrash(err)
	}, 5*time.Second, 100*time.Millisecond, "the others refuse as well, and reach another target")
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
}
