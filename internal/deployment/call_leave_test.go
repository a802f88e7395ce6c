package deployment

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/server"
	standinplatform "bambooferry.example/bambooferry/internal/standin/platform"
	"bambooferry.example/bambooferry/internal/standin/service"
	"bambooferry.example/bambooferry/pkg/catalogue"
)

// quickStop is below the minute for which a result is offered to a service that is down.
const quickStop = 5 * time.Second

func stopWithin(t *testing.T, in *Instance, most time.Duration) {
	t.Helper()
	begun := time.Now()
	select {
	case <-in.Stop():
	case <-time.After(most):
		t.Fatal("the graceful stop takes too long")
	}
	t.Logf("stopped after %v", time.Since(begun))
}

// TestLeaveDuringOutage guards against a graceful stop that waits for a service that is down, and
// against results and unused tickets that are lost by it.
func TestLeaveDuringOutage(t *testing.T) {
	d := startCalls(t, func(p *Config) { p.Limits.Calls.RecordDelay = time.Second })
	ran := booking(1)
	first := ask(t, d, 0, ran)
	require.Nil(t, first.Error)
	d.Platform.SetFaults(standinplatform.Faults{Down: true})
	used, unused := booking(2), booking(3)
	a := ask(t, d, 0, used)
	requireRefusal(t, a, "claims_unavailable", "not_run")
	used.IdempotencyKey = a.Header.Get(server.TicketHeader)
	usedFirst := ask(t, d, 1, used)
	require.Nil(t, usedFirst.Error)
	a = ask(t, d, 0, unused)
	requireRefusal(t, a, "claims_unavailable", "not_run")
	unused.IdempotencyKey = a.Header.Get(server.TicketHeader)

	stopWithin(t, d.Instances[0], quickStop)
	// The process ends; its links to the others go.
	d.Instances[0].Kill()

	a = ask(t, d, 1, unused)
	requireRefusal(t, a, "ticket_holder_left", "not_run")
	require.Zero(t, d.runsOf(unused))
	unused.IdempotencyKey = a.Header.Get(server.TicketHeader)
	require.Nil(t, ask(t, d, 2, unused).Error)
	require.Equal(t, 1, d.runsOf(unused))
	require.Equal(t, usedFirst.Body, ask(t, d, 2, used).Body)
	other := used
	other.Body = "{}"
	requireRefusal(t, ask(t, d, 2, other), "key_reused", "not_run")
	require.Equal(t, 1, d.runsOf(used))

	d.Platform.SetFaults(standinplatform.Faults{})
	require.Eventually(t, func() bool {
		again, err := ran.Do(t.Context(), d.Instances[1].Address())
		return err == nil && again.Error == nil && again.Body == first.Body
	}, 5*time.Second, 50*time.Millisecond, "the result must have been handed over")
	require.Equal(t, 1, d.runsOf(ran))
}

// TestLeaveFinishesTickets guards against a graceful stop that cuts a call which another instance forwarded.
func TestLeaveFinishesTickets(t *testing.T) {
	d := startCalls(t, nil)
	for _, s := range d.Services {
		s.SetFaults(service.Faults{Delay: catalogue.Duration(700 * time.Millisecond)})
	}
	d.Platform.SetFaults(standinplatform.Faults{Down: true})
	c := booking(1)
	a := ask(t, d, 0, c)
	requireRefusal(t, a, "claims_unavailable", "not_run")
	c.IdempotencyKey = a.Header.Get(server.TicketHeader)
	answer := make(chan error, 1)
	go func() {
		b, err := c.Do(t.Context(), d.Instances[1].Address())
		if err == nil && b.Error != nil {
			err = errors.New(b.Error.Code)
		}
		answer <- err
	}()
	require.Eventually(t, func() bool { return d.runsOf(c) == 1 }, 3*time.Second, time.Millisecond)
	stopWithin(t, d.Instances[0], quickStop)
	d.Instances[0].Kill()
	require.NoError(t, <-answer)
	require.Equal(t, 1, d.runsOf(c))
}
