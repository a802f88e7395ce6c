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

// maxStopTime is below the minute for which an instance tries to write a result while the key-value service is down.
const maxStopTime = 5 * time.Second

// stopWithin stops an instance gracefully and fails the test if that takes longer than limit.
func stopWithin(t *testing.T, in *Instance, limit time.Duration) {
	t.Helper()
	startedAt := time.Now()
	select {
	case <-in.Stop():
	case <-time.After(limit):
		t.Fatal("the graceful stop took too long")
	}
	t.Logf("stopped after %v", time.Since(startedAt))
}

// TestLeaveDuringOutage guards against a graceful stop that waits for the key-value service while it is
// down, and against results and unused tickets that are lost in the stop.
func TestLeaveDuringOutage(t *testing.T) {
	d := startCalls(t, func(cfg *Config) { cfg.Limits.Calls.RecordDelay = time.Second })
	finished := bookingCall(1)
	firstResponse := mustCall(t, d, 0, finished)
	require.Nil(t, firstResponse.Error)
	d.Platform.SetFaults(standinplatform.Faults{Down: true})
	withUsedTicket, withUnusedTicket := bookingCall(2), bookingCall(3)
	response := mustCall(t, d, 0, withUsedTicket)
	requireRefusal(t, response, "claims_unavailable", "not_run")
	withUsedTicket.IdempotencyKey = response.Header.Get(server.TicketHeader)
	usedTicketResponse := mustCall(t, d, 1, withUsedTicket)
	require.Nil(t, usedTicketResponse.Error)
	response = mustCall(t, d, 0, withUnusedTicket)
	requireRefusal(t, response, "claims_unavailable", "not_run")
	withUnusedTicket.IdempotencyKey = response.Header.Get(server.TicketHeader)

	stopWithin(t, d.Instances[0], maxStopTime)
	// The process ends, which closes its connections to the other instances.
	d.Instances[0].Kill()

	response = mustCall(t, d, 1, withUnusedTicket)
	requireRefusal(t, response, "ticket_holder_left", "not_run")
	require.Zero(t, d.runCount(withUnusedTicket))
	withUnusedTicket.IdempotencyKey = response.Header.Get(server.TicketHeader)
	require.Nil(t, mustCall(t, d, 2, withUnusedTicket).Error)
	require.Equal(t, 1, d.runCount(withUnusedTicket))
	require.Equal(t, usedTicketResponse.Body, mustCall(t, d, 2, withUsedTicket).Body)
	other := withUsedTicket
	other.Body = "{}"
	requireRefusal(t, mustCall(t, d, 2, other), "key_reused", "not_run")
	require.Equal(t, 1, d.runCount(withUsedTicket))

	d.Platform.SetFaults(standinplatform.Faults{})
	require.Eventually(t, func() bool {
		repeated, err := finished.Do(t.Context(), d.Instances[1].Address())
		return err == nil && repeated.Error == nil && repeated.Body == firstResponse.Body
	}, 5*time.Second, 50*time.Millisecond, "the result must have been handed over")
	require.Equal(t, 1, d.runCount(finished))
}

// TestLeaveFinishesTickets guards against a graceful stop that aborts a call which another instance forwarded.
func TestLeaveFinishesTickets(t *testing.T) {
	d := startCalls(t, nil)
	for _, s := range d.Services {
		s.SetFaults(service.Faults{Delay: catalogue.Duration(700 * time.Millisecond)})
	}
	d.Platform.SetFaults(standinplatform.Faults{Down: true})
	c := bookingCall(1)
	response := mustCall(t, d, 0, c)
	requireRefusal(t, response, "claims_unavailable", "not_run")
	c.IdempotencyKey = response.Header.Get(server.TicketHeader)
	result := make(chan error, 1)
	go func() {
		forwarded, err := c.Do(t.Context(), d.Instances[1].Address())
		if err == nil && forwarded.Error != nil {
			err = errors.New(forwarded.Error.Code)
		}
		result <- err
	}()
	require.Eventually(t, func() bool { return d.runCount(c) == 1 }, 3*time.Second, time.Millisecond)
	stopWithin(t, d.Instances[0], maxStopTime)
	d.Instances[0].Kill()
	require.NoError(t, <-result)
	require.Equal(t, 1, d.runCount(c))
}
