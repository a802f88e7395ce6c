package link

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func carrierList(dataCentres ...string) []Carrier {
	var list []Carrier
	for i, dc := range dataCentres {
		list = append(list, Carrier{Name: fmt.Sprintf("i%d", i), DataCentre: dc})
	}
	return list
}

func reaching(ms int) Statement {
	return Statement{Contact: map[string]time.Duration{"p": time.Duration(ms) * time.Millisecond}}
}

// Guards against connections through instances that can't carry them while others can.
func TestCarrierThatReachesTargetsGoesFirst(t *testing.T) {
	c := &Carriers{DataCentre: "a", Seed: 1}
	list := carrierList("a", "a", "a", "b", "b")
	c.SetStatement(t0, "i0", Statement{LostPools: []string{"p"}})
	c.SetStatement(t0, "i1", Statement{Stopping: true})
	c.SetStatement(t0, "i2", reaching(1000))
	c.SetStatement(t0, "i3", reaching(10))
	var order, avoid []string
	for {
		got, ok := c.Choose(at(10), "p", list, avoid)
		if !ok {
			break
		}
		order, avoid = append(order, got.Name), append(avoid, got.Name)
	}
	require.Equal(t, []string{"i3", "i2", "i4"}, order, "fresh contact, some contact, nothing known; none that states that it can't carry")
	got, ok := c.Choose(at(10), "q", list[:1], nil)
	require.True(t, ok, "it has lost the paths to another pool only")
	require.Equal(t, "i0", got.Name)
	require.False(t, c.Usable(at(10), "i1", "p"))
	require.True(t, c.Usable(at(3000), "i1", "p"), "its statement is old")
}

// Guards against staying with a carrier that has failed, and against having none when all have.
func TestFailedCarrierIsPassedOver(t *testing.T) {
	c := &Carriers{DataCentre: "a", Seed: 1}
	list := carrierList("a", "a")
	c.SetStatement(t0, "i0", reaching(0))
	c.RecordFailure(at(1), "i0", "p")
	got, _ := c.Choose(at(2), "p", list, nil)
	require.Equal(t, "i1", got.Name)
	require.False(t, c.Usable(at(2), "i0", "p"))
	require.True(t, c.Usable(at(2), "i0", "q"))
	c.RecordFailure(at(3), "i1", "")
	_, ok := c.Choose(at(4), "p", list, nil)
	require.True(t, ok)
	require.True(t, c.Usable(at(1100), "i0", "p"))
}

// Guards against one carrier that carries everything, and against bytes between data centres that can be spared.
func TestConnectionsAreSpreadOverCarriers(t *testing.T) {
	c := &Carriers{DataCentre: "a", Seed: 1}
	list := carrierList("a", "a", "b", "b")
	open := map[string]int{}
	for range 60 {
		got, ok := c.Choose(t0, "p", list, nil)
		require.True(t, ok)
		c.Begin(got.Name)
		open[got.Name]++
	}
	for name, n := range open {
		want := 10
		if name == "i0" || name == "i1" {
			want = 20
		}
		require.InDelta(t, want, n, 2, name)
	}
	for range 100 {
		c.End("i0")
	}
	got, _ := c.Choose(t0, "p", list, nil)
	require.Equal(t, "i0", got.Name)
	c.Retain(nil)
	require.Len(t, c.states, 3, "those that carry something are kept")
}
