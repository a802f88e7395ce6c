package scaling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against numbers that go down before the first requests come, or while the window of the rate is not full yet, and
// against a start that is taken for growth and keeps the numbers up.
func TestStartOfTraffic(t *testing.T) {
	const begin, window = 60 * time.Second, 10 * time.Second
	s := newSimulation(40, func(at time.Duration) float64 {
		return 33 * max(min((at-begin).Seconds()/window.Seconds(), 1), 0)
	})
	s.demand = func(_ time.Duration, d *Demand) { d.Window, d.Slots = window, 32 }
	s.view = func(at time.Duration) View { return View{CostUnknown: at < begin+1500*time.Millisecond} }
	s.run(0, begin+12*time.Second)
	require.Empty(t, s.log)
	s.run(begin+12*time.Second, begin+15*time.Second)
	require.Equal(t, 90, s.total())
	s.run(begin+15*time.Second, begin+34*time.Second)
	require.Zero(t, s.up)
	require.GreaterOrEqual(t, s.total(), 66)
	require.LessOrEqual(t, s.total(), 72)
}

// Guards against a step down that was decided before a loss, not accepted for the rate, and made during the loss.
func TestStepDownWaitsForEndOfLoss(t *testing.T) {
	s := newSimulation(20, steady(15))
	at, orders := time.Duration(0), []Order(nil)
	for ; len(orders) == 0; at += testStep {
		orders = s.step(at)
	}
	s.supply = func(_ time.Duration, supply Supply) { supply["b"] = DataCentre{Present: 20, Lost: 18, Failing: true} }
	require.Empty(t, s.step(at))
	_, ok := s.plan.Due("a")
	require.False(t, ok)
	s.supply = func(time.Duration, Supply) {}
	require.Empty(t, s.step(at+2*time.Second))
	require.Equal(t, orders, s.step(at+4*time.Second))
}
